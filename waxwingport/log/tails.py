"""Reads a partition from its start and follows its end."""

import abc
import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import logging
import random

from expression import Error
from expression import Ok
from expression import Result

from waxwingport import ids
from waxwingport.log import base
from waxwingport.log import dependency
from waxwingport.log import reads

__all__ = ['PartitionTail', 'RecordListener']

_TIMED_PAGES = 2
"""Pages whose times are taken at a start; the first one of a node may be
answered before those of others are asked for."""
PAUSE_S = 0.2
"""Pause after a read that returned records, unless they are needed at once.
One read then returns the records of that time, so that the reads of a node do
not grow with the rate of appends."""
_START_JITTER_S = 0.025
"""Least upper bound of the random delay of a start, for each page of history
that is still to be read."""
_MAX_START_JITTER_S = 6.0
"""Upper bound of that delay for any number of pages; a start has to end before
callers give up on a submission."""
_NEVER = float('-inf')

_LOG = logging.getLogger(__name__)


class RecordListener(abc.ABC):
    """Receives the records of one partition in order."""

    @abc.abstractmethod
    def handle_record(self, record: bytes) -> None:
        """Handles the next record."""

    @abc.abstractmethod
    def handle_gap(self) -> None:
        """Called if records before the next one expired before a read."""


class PartitionTail:
    """Passes each record of a partition to a listener once and in order.

    ``dependency_`` records which reads of the log succeed and fail.
    ``needs_records`` returns whether records are needed at once; if not, the
    tail pauses between reads while nobody waits for records.

    Load pattern: hundreds of nodes follow a partition to which one of them
    appends results tens of times a second.
    """

    def __init__(
        self,
        log: base.PartitionLog,
        partition: base.Partition,
        listener: RecordListener,
        dependency_: dependency.Dependency,
        rng: random.Random | None = None,
        needs_records: Callable[[], bool] = lambda: True,
    ) -> None:
        self._log = log
        self._reader = reads.WaitingReader(log, partition)
        self._needs_records = needs_records
        self._waiters = 0
        self._wanted = asyncio.Event()
        """Set while somebody waits for records."""
        self._rng = rng or random.Random()
        self._listener = listener
        self.dependency = dependency_
        self._advanced = asyncio.Event()
        self.partition = partition
        self._end = ids.Offset(0)
        self.position = ids.Offset(0)
        """Offset of the next record to pass on."""
        self.caught_up_at = _NEVER
        """Loop time at which the last read to find the end was sent."""
        self.caught_up = asyncio.Event()
        """Set once a read has reached the end."""
        self.first_caught_up_at: float | None = None
        """Loop time at which the first such read was sent.

        Records that were passed on before were in the log at the start.
        """

    async def run(self) -> None:
        """Reads until cancelled; retries while the log is unavailable."""
        loop = asyncio.get_running_loop()
        await self._read_history()
        while True:
            caught_up = self.caught_up_at != _NEVER
            before = self.position
            started_at = loop.time()
            match await (self._follow() if caught_up else self._read()):
                case Result(tag='ok'):
                    self.dependency.record_success()
                    if self._end <= self.position > before:
                        await self._pause()
                case Result(error=fault):
                    self.dependency.record_failure(fault.detail)
                    elapsed = loop.time() - started_at
                    await asyncio.sleep(reads.compute_retry_pause(elapsed))

    async def _read_history(self) -> None:
        """Reads the first pages; if there are more, waits for a random time.

        Load pattern: hundreds of nodes lose power at once, start together and
        share the log's bandwidth.  Without the delay none of them would catch
        up before all of them do.  The time of a page tells how many share
        it; the delays spread over the time that all of them take.
        """
        loop = asyncio.get_running_loop()
        page_time = _START_JITTER_S
        for _ in range(_TIMED_PAGES):
            started_at = loop.time()
            match await self._read():
                case Result(tag='error', error=fault):
                    self.dependency.record_failure(fault.detail)
                    return
            if self.caught_up_at != _NEVER or not self.position:
                return
            page_time = max(page_time, loop.time() - started_at)
        pages = _TIMED_PAGES * (self._end - self.position) / self.position
        jitter = min(_MAX_START_JITTER_S, page_time * pages)
        await asyncio.sleep(self._rng.uniform(0.0, jitter))

    async def catch_up(self, max_age: float) -> Result[None, base.Fault]:
        """Reads to the partition's end unless that was done recently.

        Reads if the last read to find the end was sent more than ``max_age``
        seconds ago.  Fails if the log can't be read.
        """
        oldest_allowed = asyncio.get_running_loop().time() - max_age
        while self.caught_up_at < oldest_allowed:
            match await self._read():
                case Result(tag='error', error=fault):
                    return Error(fault)
        return Ok(None)

    async def read_to_end(self) -> Result[None, base.Fault]:
        """Reads until a read that begins from now on finds the end.

        Fails if the log can't be read.
        """
        at_end = False
        while not at_end:
            match await self._read():
                case Result(tag='ok', ok=at_end):
                    pass
                case Result(error=fault):
                    return Error(fault)
        return Ok(None)

    async def wait_for_records(self) -> None:
        """Waits until further records have been passed on."""
        self._waiters += 1
        self._wanted.set()
        try:
            await self._advanced.wait()
        finally:
            self._waiters -= 1
            if not self._waiters:
                self._wanted.clear()

    async def _pause(self) -> None:
        """Waits before the next read, unless records are needed at once."""
        if self._needs_records():
            return
        try:
            async with asyncio.timeout(PAUSE_S):
                await self._wanted.wait()
        except TimeoutError:
            return

    async def _read(self) -> Result[bool, base.Fault]:
        """Reads what is there; does not wait for records."""
        return await self._pass_on_read(
            lambda offset: self._log.read(self.partition, offset)
        )

    async def _follow(self) -> Result[bool, base.Fault]:
        """Waits for records and reads them."""
        return await self._pass_on_read(self._reader.read)

    async def _pass_on_read(
        self,
        read: Callable[[ids.Offset], Awaitable[Result[base.Page, base.Fault]]],
    ) -> Result[bool, base.Fault]:
        """Returns whether the read found the end."""
        loop = asyncio.get_running_loop()
        sent_at = loop.time()
        offset = self.position
        match await read(offset):
            case Result(tag='ok', ok=page):
                self._pass_on(offset, page, sent_at)
                return Ok(self.position >= page.end)
            case Result(error=fault):
                pass
        if fault.kind is not base.FaultKind.EXPIRED or fault.oldest is None:
            return Error(fault)
        if self.position < fault.oldest:
            _LOG.info(
                'records-expired',
                extra={
                    'partition': str(self.partition),
                    'position': self.position,
                    'oldest': fault.oldest,
                },
            )
            self.position = fault.oldest
            self._listener.handle_gap()
        return Ok(False)

    def _pass_on(
        self, offset: ids.Offset, page: base.Page, sent_at: float
    ) -> None:
        # A concurrent read may have passed on some of these records.
        for record in page.records[max(0, self.position - offset) :]:
            self._handle(record)
            self.position = ids.Offset(self.position + 1)
        self._end = page.end
        if self.position >= page.end:
            self.caught_up_at = max(self.caught_up_at, sent_at)
            if self.first_caught_up_at is None:
                self.first_caught_up_at = sent_at
                self.caught_up.set()
        if page.records:
            self._advanced.set()
            self._advanced = asyncio.Event()

    def _handle(self, record: bytes) -> None:
        """Passes on a record; one that the listener fails on is skipped.

        It would end every node that reads it, and each again after its start.
        """
        try:
            self._listener.handle_record(record)
        except Exception:
            _LOG.exception(
                'record-failed',
                extra={
                    'partition': str(self.partition),
                    'position': self.position,
                    'size': len(record),
                },
            )
