"""Follows a keyed topic: its newest records, then each change."""

import abc
import asyncio
from collections.abc import Callable
from collections.abc import Sequence
import logging

from expression import Error
from expression import Ok
from expression import Result

from waxwingport import coalescing
from waxwingport import ids
from waxwingport.log import base
from waxwingport.log import dependency
from waxwingport.log import reads
from waxwingport.log import tails

__all__ = ['KeyedFollower', 'KeyedListener']

_LOG = logging.getLogger(__name__)


class KeyedListener(abc.ABC):
    """Receives the keys that a follower reads."""

    @abc.abstractmethod
    def replace(self, records: Sequence[base.KeyedRecord]) -> None:
        """Replaces all keys by those of ``records``."""

    @abc.abstractmethod
    def update(self, record: base.KeyedRecord) -> None:
        """Applies one changed or removed key."""


class KeyedFollower:
    """Passes a keyed topic's newest records and changes to a listener.

    ``needs_records`` returns whether changes are needed at once; if not, the
    follower pauses between reads, as ``PartitionTail`` does.
    """

    def __init__(
        self,
        log: base.PartitionLog,
        topic: base.Topic,
        listener: KeyedListener,
        needs_records: Callable[[], bool] = lambda: True,
    ) -> None:
        self._log = log
        self._needs_records = needs_records
        self._partition = base.Partition(topic, 0)
        self._listener = listener
        self._reader = reads.WaitingReader(log, self._partition)
        self._position: ids.Offset | None = None
        self._expired_at = float('-inf')
        """Loop time at which records were last found to have expired."""
        self._oldest = ids.Offset(0)
        """Offset of the oldest record that was stored then."""
        self.dependency = dependency.Dependency(f'log:{topic}')
        self.started = asyncio.Event()
        """Set once the whole topic has been read."""
        self._advanced = asyncio.Event()
        """Set and replaced at each change of the position."""
        self._checks = coalescing.Coalescing(self._check_end)

    async def run(self) -> None:
        """Follows the topic until cancelled.

        Reads the whole topic again if changes have expired unread.
        """
        loop = asyncio.get_running_loop()
        while True:
            before = self._position
            started_at = loop.time()
            match await self._advance():
                case Result(tag='ok'):
                    self.dependency.record_success()
                    if self._position != before and not self._needs_records():
                        await asyncio.sleep(tails.PAUSE_S)
                case Result(error=fault):
                    if fault.kind is base.FaultKind.EXPIRED:
                        # The topic is read again at once, unless records
                        # expired just before too.
                        started_at = self._expired_at
                        self._forget_position(fault)
                    else:
                        self.dependency.record_failure(fault.detail)
                    elapsed = loop.time() - started_at
                    await asyncio.sleep(reads.compute_retry_pause(elapsed))

    async def catch_up(self) -> bool:
        """Waits until the listener has all records that exist now.

        Returns ``False`` if the log does not tell what these are.  Has to be
        bounded by the caller, as ``run`` may not be able to read them.
        """
        return await self._checks.run()

    async def _check_end(self) -> bool:
        end: ids.Offset | None = None
        while end is None or self._position is None or self._position < end:
            if end is None and self._position is not None:
                advanced = self._advanced
                match await self._log.read(self._partition, self._position):
                    case Result(tag='ok', ok=page):
                        end = page.end
                        continue
                    case Result(error=fault) if (
                        fault.kind is not base.FaultKind.EXPIRED
                    ):
                        return False
                # ``run`` reads the topic again.
                await advanced.wait()
            else:
                await self._advanced.wait()
        return True

    def _set_position(self, position: ids.Offset | None) -> None:
        self._position = position
        self._advanced.set()
        self._advanced = asyncio.Event()

    async def _advance(self) -> Result[None, base.Fault]:
        if self._position is None:
            return await self._read_topic()
        offset = self._position
        found = await self._reader.read(offset)
        return found.map(lambda page: self._apply_page(offset, page))

    async def _read_topic(self) -> Result[None, base.Fault]:
        newest: list[base.KeyedRecord] = []
        position: ids.Offset | None = None
        after = None
        while True:
            match await self._log.read_newest(self._partition.topic, after):
                case Result(tag='ok', ok=page):
                    pass
                case Result(error=fault):
                    return Error(fault)
            # The pages are no consistent snapshot, and one may lag behind the
            # end that it names.  Following from what the first one covers
            # repeats the changes made during the read.
            if position is None:
                position = max(page.covered, self._oldest)
            newest += page.records
            if not page.more or not page.records:
                break
            after = page.records[-1].key
        self._replace([row for row in newest if row.value is not None])
        self._set_position(position)
        self.started.set()
        return Ok(None)

    def _apply_page(self, offset: ids.Offset, page: base.Page) -> None:
        for record in page.records:
            match self._log.parse_keyed(record):
                case Result(tag='ok', ok=keyed):
                    self._update(keyed)
                case Result(error=fault):
                    _LOG.warning(
                        'record-skipped',
                        extra={
                            'partition': str(self._partition),
                            'reason': fault.detail,
                        },
                    )
        self._set_position(ids.Offset(offset + len(page.records)))

    def _replace(self, records: Sequence[base.KeyedRecord]) -> None:
        """Passes on all records, one at a time if one of them is faulty."""
        try:
            self._listener.replace(records)
        except Exception:
            _LOG.exception(
                'records-failed',
                extra={
                    'partition': str(self._partition),
                    'count': len(records),
                },
            )
            self._listener.replace([])
            for record in records:
                self._update(record)

    def _update(self, record: base.KeyedRecord) -> None:
        """Passes on a record; one that the listener fails on is skipped.

        It would end every node that reads it, and each again after its start.
        """
        try:
            self._listener.update(record)
        except Exception:
            _LOG.exception(
                'record-failed',
                extra={
                    'partition': str(self._partition),
                    'key': record.key,
                    'size': len(record.value or b''),
                },
            )

    def _forget_position(self, fault: base.Fault) -> None:
        _LOG.info(
            'topic-reread',
            extra={
                'partition': str(self._partition),
                'position': self._position,
                'reason': fault.detail,
            },
        )
        self._expired_at = asyncio.get_running_loop().time()
        self._oldest = fault.oldest or self._oldest
        self._set_position(None)
