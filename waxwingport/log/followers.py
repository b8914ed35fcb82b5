"""Follows the newest records of a keyed topic."""

import abc
import asyncio
from collections.abc import Sequence
import logging

from expression import Error
from expression import Ok
from expression import Result

from waxwingport import ids
from waxwingport.log import base
from waxwingport.log import dependency

__all__ = ['KeyedFollower', 'KeyedListener']

_WAIT = 1.0
"""Seconds that a read waits for a record.  A connection that fell silent is
noticed after this and the log's timeout, within the 2 s in which a change has
to be in force plus the time that such a connection counts as a fault."""
_RETRY_INTERVAL = 0.2
"""Seconds between tries while the log is away."""

_LOG = logging.getLogger(__name__)


class KeyedListener(abc.ABC):
    """Takes what a follower reads."""

    @abc.abstractmethod
    def replace(self, rows: Sequence[base.KeyedRecord]) -> None:
        """Takes all keys; those that are not among them are removed."""

    @abc.abstractmethod
    def update(self, row: base.KeyedRecord) -> None:
        """Takes one changed or removed key."""


class KeyedFollower:
    """Hands a keyed topic's records to a listener, from the newest on."""

    def __init__(
        self,
        log: base.PartitionLog,
        topic: base.Topic,
        listener: KeyedListener,
    ) -> None:
        self._log = log
        self._partition = base.Partition(topic, 0)
        self._listener = listener
        self._position: ids.Offset | None = None
        self.dependency = dependency.Dependency(f'log:{topic}')
        self.started = asyncio.Event()
        """Set once the topic has been read whole."""

    async def run(self) -> None:
        """Follows the topic until cancelled."""
        while True:
            match await self._advance():
                case Result(tag='ok'):
                    self.dependency.record_success()
                case Result(error=fault):
                    self._note_fault(fault)
                    await asyncio.sleep(_RETRY_INTERVAL)

    async def _advance(self) -> Result[None, base.Fault]:
        if self._position is None:
            return await self._read_whole()
        offset = self._position
        found = await self._log.read(self._partition, offset, _WAIT)
        return found.map(lambda page: self._take_page(offset, page))

    async def _read_whole(self) -> Result[None, base.Fault]:
        rows: list[base.KeyedRecord] = []
        end: ids.Offset | None = None
        after = None
        while True:
            match await self._log.read_newest(self._partition.topic, after):
                case Result(tag='ok', ok=page):
                    pass
                case Result(error=fault):
                    return Error(fault)
            # Pages are no snapshot: what changed after the first one is read
            # again from its end on.
            end = page.end if end is None else end
            rows += page.records
            if not page.more or not page.records:
                break
            after = page.records[-1].key
        self._listener.replace([row for row in rows if row.value is not None])
        self._position = end
        self.started.set()
        return Ok(None)

    def _take_page(self, offset: ids.Offset, page: base.Page) -> None:
        for record in page.records:
            match self._log.parse_keyed(record):
                case Result(tag='ok', ok=row):
                    self._listener.update(row)
                case Result(error=fault):
                    _LOG.warning(
                        'record-skipped',
                        extra={
                            'partition': str(self._partition),
                            'reason': fault.detail,
                        },
                    )
        self._position = ids.Offset(offset + len(page.records))

    def _note_fault(self, fault: base.Fault) -> None:
        if fault.kind is base.FaultKind.EXPIRED:
            _LOG.info(
                'topic-reread',
                extra={
                    'partition': str(self._partition),
                    'position': self._position,
                    'reason': fault.detail,
                },
            )
            self._position = None
            return
        self.dependency.record_failure(fault.detail)
