"""Writes one partition as its only holder, in batches."""

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

__all__ = ['FencedWriter', 'append_with_retries']

_NAME = 'holder'
"""One name for all holders, so that each epoch fences all lower ones."""
_LEAST_ANSWER_TIME = 0.25
"""Seconds for the answer to an append before it is repeated: twenty times the
usual one.  A lost answer holds up all that is written behind it."""
_LONGEST_ANSWER_TIME = 1.0
"""Seconds likewise: twice the answer of a store 60 times slower than usual,
behind another append."""
_ANSWER_TIME_GROWTH = 1.5
"""Ratio of the times for one try and the next: slowness looks like loss."""
_ANSWER_TIME_SLACK = 4.0
"""Times the last answer's time that the next one gets."""
_SLOWEST_PACE = 4e6
"""Bytes a second; a quarter of the pace of large appends."""
_FIRST_RETRY = 0.05
"""Seconds before an append is repeated, doubled with each try."""
_LONGEST_RETRY = 0.5
"""Seconds."""

_LOG = logging.getLogger(__name__)


class _Pending(msgspec.Struct, eq=False):
    records: Sequence[bytes]
    done: asyncio.Future


class FencedWriter:
    """Appends records under one epoch.

    ``epoch`` must not have been used by another life of any process.  The
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
    ) -> None:
        self._log = log
        self._call_size = call_size
        self._sequence = sequence
        self._queue: collections.deque[_Pending] = collections.deque()
        self._wake = asyncio.Event()
        self._lost: base.Fault | None = None
        self._answer_time = _LEAST_ANSWER_TIME
        self.partition = partition
        self.epoch = epoch

    async def write(
        self, records: Sequence[bytes]
    ) -> Result[ids.Offset, base.Fault]:
        """Appends ``records`` together; returns once they are acknowledged.

        Returns the first one's offset.  Fails when a later holder has taken
        the partition.
        """
        if self._lost is not None:
            return Error(self._lost)
        pending = _Pending(records, asyncio.get_running_loop().create_future())
        self._queue.append(pending)
        self._wake.set()
        return await pending.done

    async def run(self) -> base.Fault:
        """Appends what is written until the partition is lost."""
        while True:
            await self._wake.wait()
            self._wake.clear()
            while self._queue:
                batch = self._take_batch()
                match await self._append(batch):
                    case Result(tag='ok', ok=done):
                        _confirm(batch, done.offset)
                    case Result(error=fault):
                        self._queue.extendleft(reversed(batch))
                        return fault

    def abandon(self, fault: base.Fault) -> None:
        """Fails what has not been acknowledged and all that comes."""
        self._lost = fault
        for pending in self._queue:
            _resolve(pending, Error(fault))
        self._queue.clear()

    def _take_batch(self) -> list[_Pending]:
        batch: list[_Pending] = []
        size = 0
        while self._queue:
            size += sum(len(row) + 4 for row in self._queue[0].records)
            if batch and size > self._call_size:
                break
            batch.append(self._queue.popleft())
        return batch

    async def _append(
        self, batch: Sequence[_Pending]
    ) -> Result[base.AppendResult, base.Fault]:
        records = [row for pending in batch for row in pending.records]
        writer = base.Writer(_NAME, self.epoch, self._sequence)
        pause = _FIRST_RETRY
        while True:
            answer = await self._try_append(records, writer)
            match answer:
                case Result(tag='ok'):
                    self._sequence += 1
                    return answer
                case Result(error=fault) if not _may_repeat(fault):
                    return answer
            await asyncio.sleep(pause)
            pause = min(2 * pause, _LONGEST_RETRY)

    async def _try_append(
        self, records: Sequence[bytes], writer: base.Writer
    ) -> Result[base.AppendResult, base.Fault]:
        size = sum(len(record) for record in records)
        allowed = self._answer_time + size / _SLOWEST_PACE
        loop = asyncio.get_running_loop()
        sent_at = loop.time()
        try:
            async with asyncio.timeout(allowed):
                answer = await self._log.append(
                    self.partition, records, writer
                )
        except TimeoutError:
            self._answer_time = _limit_answer_time(
                _ANSWER_TIME_GROWTH * self._answer_time
            )
            return _report_silence(allowed)
        if answer.is_ok():
            self._answer_time = _limit_answer_time(
                _ANSWER_TIME_SLACK * (loop.time() - sent_at)
            )
        return answer


def _limit_answer_time(wanted: float) -> float:
    return min(max(wanted, _LEAST_ANSWER_TIME), _LONGEST_ANSWER_TIME)


def _report_silence(waited: float) -> Result[base.AppendResult, base.Fault]:
    detail = f'no answer within {waited:g} s'
    return Error(base.Fault(base.FaultKind.UNKNOWN, detail))


def _may_repeat(fault: base.Fault) -> bool:
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
    """Appends records that do no harm when they stand there twice.

    Repeats the append until the loop's time ``deadline``.  The fault's
    ``had_no_effect`` is true only if no try can have taken effect.
    """
    loop = asyncio.get_running_loop()
    pause = _FIRST_RETRY
    unknown: base.Fault | None = None
    while True:
        match await log.append(partition, records):
            case Result(tag='ok') as answer:
                return answer
            case Result(error=fault):
                pass
        if not fault.had_no_effect:
            unknown = fault
        if not _may_repeat(fault) or loop.time() + pause >= deadline:
            return Error(unknown or fault)
        await asyncio.sleep(pause)
        pause = min(2 * pause, _LONGEST_RETRY)
