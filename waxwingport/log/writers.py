"""Appends to a partition, by its holder or by any process."""

import asyncio
import collections
from collections.abc import Sequence
import logging

from expression import Error
from expression import Ok
from expression import Result
import msgspec

from waxwingport import ids
from waxwingport.log import base

__all__ = ['FencedWriter', 'MemberWriter', 'append_with_retries']

_HOLDER_NAME = 'holder'
"""Writer name that all holders share, so that each epoch fences lower ones."""
_FIRST_MEMBER_EPOCH = base.Epoch(1)
_MIN_ANSWER_TIMEOUT_S = 0.25
"""Shortest timeout of an append: twenty times its usual time.  A lost answer
delays all later appends by this."""
_MAX_ANSWER_TIMEOUT_S = 1.0
"""Longest timeout: twice the time that an append takes behind another one at
a log 60 times slower than its usual 4 ms."""
_TIMEOUT_GROWTH = 1.5
"""Factor of the timeout from one attempt to the next, since a slow answer
can't be told from a lost one."""
_TIMEOUT_RATIO = 4.0
"""Time-out of an append as a multiple of the time of the last answer."""
_MIN_BYTES_PER_S = 4e6
"""Throughput assumed for the timeout: a quarter of that of large appends."""
_MIN_RETRY_DELAY_S = 0.05
"""Delay before an append is retried, doubled with each attempt."""
_MAX_RETRY_DELAY_S = 0.5
"""Upper bound of that delay."""

_LOG = logging.getLogger(__name__)


class _Pending(msgspec.Struct, eq=False):
    records: Sequence[bytes]
    done: asyncio.Future


class FencedWriter:
    """Appends records in batches, in order, under one epoch.

    ``epoch`` must not have been used by another run of any process.  The
    first append has the number ``sequence``.  ``call_size`` bounds the bytes
    of one append.
    """

    def __init__(
        self,
        log: base.PartitionLog,
        partition: base.Partition,
        epoch: base.Epoch,
        sequence: int,
        call_size: int,
        name: str = _HOLDER_NAME,
    ) -> None:
        self._log = log
        self._name = name
        self._call_size = call_size
        self._sequence = sequence
        self._queue: collections.deque[_Pending] = collections.deque()
        self._in_flight: Sequence[_Pending] = ()
        """The batch whose append is not answered yet."""
        self._wake = asyncio.Event()
        self._fault: base.Fault | None = None
        self._answer_timeout = _MIN_ANSWER_TIMEOUT_S
        self.partition = partition
        self.epoch = epoch

    @property
    def backlog(self) -> int:
        """Number of calls of ``write`` whose records are not acknowledged.

        Includes those that were cancelled, as their records stay queued.
        """
        return len(self._queue) + len(self._in_flight)

    async def write(
        self, records: Sequence[bytes]
    ) -> Result[ids.Offset, base.Fault]:
        """Appends ``records`` together; returns the offset of the first.

        Returns once they are acknowledged.  Fails when a later holder has
        claimed the partition.
        """
        if self._fault is not None:
            return Error(self._fault)
        pending = _Pending(records, asyncio.get_running_loop().create_future())
        self._queue.append(pending)
        self._wake.set()
        return await pending.done

    async def run(self) -> base.Fault:
        """Appends queued records until an append fails for good.

        Returns the fault, which the caller passes to ``abandon``.
        """
        while True:
            await self._wake.wait()
            self._wake.clear()
            while self._queue:
                batch = self._in_flight = self._pop_batch()
                match await self._append(batch):
                    case Result(tag='ok', ok=done):
                        self._in_flight = ()
                        _confirm(batch, done.offset)
                    case Result(error=fault):
                        self._in_flight = ()
                        self._queue.extendleft(reversed(batch))
                        return fault

    def abandon(self, fault: base.Fault) -> None:
        """Fails all pending calls of ``write`` and all later ones.

        An append that is not answered yet may still take effect, so that its
        calls fail with ``UNKNOWN``.
        """
        self._fault = fault
        unknown = base.Fault(base.FaultKind.UNKNOWN, fault.detail)
        for pending in self._in_flight:
            _resolve(pending, Error(unknown))
        for pending in self._queue:
            _resolve(pending, Error(fault))
        self._queue.clear()

    def _pop_batch(self) -> list[_Pending]:
        batch: list[_Pending] = []
        size = 0
        while self._queue:
            size += sum(len(record) + 4 for record in self._queue[0].records)
            if batch and size > self._call_size:
                break
            batch.append(self._queue.popleft())
        return batch

    async def _append(
        self, batch: Sequence[_Pending]
    ) -> Result[base.AppendResult, base.Fault]:
        records = [record for pending in batch for record in pending.records]
        writer = base.Writer(self._name, self.epoch, self._sequence)
        delay = _MIN_RETRY_DELAY_S
        while True:
            answer = await self._try_append(records, writer)
            match answer:
                case Result(tag='ok'):
                    self._sequence += 1
                    return answer
                case Result(error=fault) if not _may_retry(fault):
                    return answer
            await asyncio.sleep(delay)
            delay = min(2 * delay, _MAX_RETRY_DELAY_S)

    async def _try_append(
        self, records: Sequence[bytes], writer: base.Writer
    ) -> Result[base.AppendResult, base.Fault]:
        size = sum(len(record) for record in records)
        timeout = self._answer_timeout + size / _MIN_BYTES_PER_S
        loop = asyncio.get_running_loop()
        sent_at = loop.time()
        try:
            async with asyncio.timeout(timeout):
                answer = await self._log.append(
                    self.partition, records, writer
                )
        except TimeoutError:
            self._answer_timeout = _clamp_timeout(
                _TIMEOUT_GROWTH * self._answer_timeout
            )
            return _make_timeout_fault(timeout)
        if answer.is_ok():
            self._answer_timeout = _clamp_timeout(
                _TIMEOUT_RATIO * (loop.time() - sent_at)
            )
        return answer


class MemberWriter(FencedWriter):
    """Appends records of one process, which fence no other one.

    An append takes effect before all later ones or not at all, also if the
    log executes it late.
    """

    def __init__(
        self,
        log: base.PartitionLog,
        partition: base.Partition,
        member: base.MemberName,
        call_size: int,
    ) -> None:
        super().__init__(
            log, partition, _FIRST_MEMBER_EPOCH, 0, call_size, member
        )

    async def run(self) -> base.Fault:
        """Appends queued records until cancelled.

        After a fault it goes on in the next epoch, which fences the append
        that failed.
        """
        while True:
            fault = await super().run()
            _LOG.error(
                'append-failed',
                extra={
                    'partition': str(self.partition),
                    'reason': fault.detail,
                },
            )
            self.epoch = base.Epoch(self.epoch + 1)
            self._sequence = 0
            self._wake.set()
            await asyncio.sleep(_MAX_RETRY_DELAY_S)


def _clamp_timeout(timeout: float) -> float:
    return min(max(timeout, _MIN_ANSWER_TIMEOUT_S), _MAX_ANSWER_TIMEOUT_S)


def _make_timeout_fault(
    timeout: float,
) -> Result[base.AppendResult, base.Fault]:
    detail = f'no answer within {timeout:g} s'
    return Error(base.Fault(base.FaultKind.UNKNOWN, detail))


def _may_retry(fault: base.Fault) -> bool:
    return fault.kind in (
        base.FaultKind.BUSY,
        base.FaultKind.UNKNOWN,
        base.FaultKind.UNREACHABLE,
    )


def _confirm(batch: Sequence[_Pending], offset: ids.Offset) -> None:
    for pending in batch:
        _resolve(pending, Ok(offset))
        offset = ids.Offset(offset + len(pending.records))


def _resolve(
    pending: _Pending, outcome: Result[ids.Offset, base.Fault]
) -> None:
    if not pending.done.done():
        pending.done.set_result(outcome)


async def append_with_retries(
    log: base.PartitionLog,
    partition: base.Partition,
    records: Sequence[bytes],
    deadline: float,
) -> Result[base.AppendResult, base.Fault]:
    """Appends records that do no harm if they are appended more than once.

    Retries until the loop time ``deadline``.  The fault's ``had_no_effect``
    is true only if no attempt can have taken effect.
    """
    loop = asyncio.get_running_loop()
    delay = _MIN_RETRY_DELAY_S
    unknown: base.Fault | None = None
    while True:
        match await log.append(partition, records):
            case Result(tag='ok') as answer:
                return answer
            case Result(error=fault):
                pass
        if not fault.had_no_effect:
            unknown = fault
        if not _may_retry(fault) or loop.time() + delay >= deadline:
            return Error(unknown or fault)
        await asyncio.sleep(delay)
        delay = min(2 * delay, _MAX_RETRY_DELAY_S)
