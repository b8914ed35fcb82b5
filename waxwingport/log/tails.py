"""Reads one partition to its end and keeps on reading."""

import abc
import asyncio
import logging
import random

from expression import Error
from expression import Ok
from expression import Result

from waxwingport import ids
from waxwingport.log import base
from waxwingport.log import dependency

__all__ = ['PartitionTail', 'RecordListener']

_WAIT = 1.0
"""Seconds that a read waits for a record; bounds how long a connection that
fell silent delays what others wrote."""
_ANSWER_TIME = 0.7
"""Seconds beyond its wait for the answer to a waiting read: an answer that
takes a store 60 times slower than its usual 4 ms comes in half of it."""
_RETRY_INTERVAL = 0.2
"""Seconds between tries while the log is away."""

_SPREAD = 0.025
"""Seconds over which nodes spread for each page of history."""
_LONGEST_SPREAD = 1.5
"""Seconds; a start has to be over long before callers' patience is."""
_NEVER = float('-inf')

_LOG = logging.getLogger(__name__)


class RecordListener(abc.ABC):
    """Takes the records of one partition in their order."""

    @abc.abstractmethod
    def handle_record(self, record: bytes) -> None:
        """Takes the next record."""

    @abc.abstractmethod
    def handle_gap(self) -> None:
        """Learns that records before the next one have expired unread."""


class PartitionTail:
    """Hands every record of a partition to a listener, once, in order."""

    def __init__(
        self,
        log: base.PartitionLog,
        partition: base.Partition,
        listener: RecordListener,
        dependency_: dependency.Dependency,
        rng: random.Random | None = None,
    ) -> None:
        self._log = log
        self._rng = rng or random.Random()
        self._listener = listener
        self.dependency = dependency_
        self._advanced = asyncio.Event()
        self.partition = partition
        self._end = ids.Offset(0)
        self.position = ids.Offset(0)
        """Offset of the next record to take."""
        self.caught_up_at = _NEVER
        """Loop's time at which a read that found the end was sent."""
        self.caught_up = asyncio.Event()
        """Set once a read has found the end."""
        self.first_caught_up_at: float | None = None
        """The same of the first such read: what came before is history."""

    async def run(self) -> None:
        """Reads until cancelled."""
        await self._read_history()
        while True:
            wait = 0.0 if self.caught_up_at == _NEVER else _WAIT
            match await self._read_in_time(wait):
                case Result(tag='ok'):
                    self.dependency.record_success()
                case Result(error=fault):
                    self.dependency.record_failure(fault.detail)
                    await asyncio.sleep(_RETRY_INTERVAL)

    async def _read_in_time(self, wait: float) -> Result[None, base.Fault]:
        if not wait:
            return await self._read(wait)
        try:
            async with asyncio.timeout(wait + _ANSWER_TIME):
                return await self._read(wait)
        except TimeoutError:
            detail = f'no answer {_ANSWER_TIME:g} s after the wait'
            return Error(base.Fault(base.FaultKind.UNKNOWN, detail))

    async def _read_history(self) -> None:
        """Reads the first page, and spreads the nodes if there are more.

        Nodes that start together would share the log's bandwidth, and none
        would know the present before all of them do.
        """
        match await self._read(0.0):
            case Result(tag='error', error=fault):
                self.dependency.record_failure(fault.detail)
                return
        if self.position and self.caught_up_at == _NEVER:
            pages = (self._end - self.position) / self.position
            spread = min(_LONGEST_SPREAD, _SPREAD * pages)
            await asyncio.sleep(self._rng.uniform(0.0, spread))

    async def catch_up(self, within: float) -> Result[None, base.Fault]:
        """Reads to an end that is at most ``within`` seconds old by now."""
        wanted = asyncio.get_running_loop().time() - within
        while self.caught_up_at < wanted:
            match await self._read(0.0):
                case Result(tag='error', error=fault):
                    return Error(fault)
        return Ok(None)

    async def wait_for_offset(
        self, offset: ids.Offset, timeout: float
    ) -> bool:
        """Waits until all records before ``offset`` were taken."""
        try:
            async with asyncio.timeout(timeout):
                while self.position < offset:
                    await self.wait_for_records()
        except TimeoutError:
            return False
        return True

    async def wait_for_records(self) -> None:
        """Waits until records were taken."""
        await self._advanced.wait()

    async def _read(self, wait: float) -> Result[None, base.Fault]:
        loop = asyncio.get_running_loop()
        sent_at = loop.time()
        offset = self.position
        match await self._log.read(self.partition, offset, wait):
            case Result(tag='ok', ok=page):
                self._take_page(offset, page, sent_at)
                return Ok(None)
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
        return Ok(None)

    def _take_page(
        self, offset: ids.Offset, page: base.Page, sent_at: float
    ) -> None:
        # Another read may have taken some of these records meanwhile.
        for record in page.records[max(0, self.position - offset) :]:
            self._listener.handle_record(record)
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
