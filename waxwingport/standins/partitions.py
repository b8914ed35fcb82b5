"""Stand-in for the partitioned log, in memory and with faults on demand."""

import asyncio
import collections
from collections.abc import Sequence
import enum

from expression import Error
from expression import Ok
from expression import Result
import msgspec

from waxwingport import ids
from waxwingport.log import base

__all__ = ['LogFailure', 'MemoryLog']

_REMEMBERED_READS = 10_000
_RECENT = 5
"""Appends of a writer whose repeats get the first answer again."""


class LogFailure(enum.Enum):
    """What goes wrong with a call."""

    BUSY = 'busy'
    """Turned away; nothing is done."""
    LOST = 'lost'
    """Done, but the answer is lost."""
    LATE = 'late'
    """No answer; applied when ``MemoryLog.execute_late_appends`` is called."""
    SILENT = 'silent'
    """Done, but neither an answer nor an end of the connection comes."""
    NONE = 'none'


class _WriterState(msgspec.Struct):
    epoch: int = -1
    sequence: int | None = None
    recent: collections.deque[tuple[int, base.AppendResult]] = msgspec.field(
        default_factory=lambda: collections.deque(maxlen=_RECENT)
    )


class _PartitionState(msgspec.Struct):
    records: list[bytes] = msgspec.field(default_factory=list)
    oldest: int = 0
    writers: dict[str, _WriterState] = msgspec.field(default_factory=dict)
    grown: asyncio.Event = msgspec.field(default_factory=asyncio.Event)

    @property
    def end(self) -> ids.Offset:
        return ids.Offset(self.oldest + len(self.records))


class MemoryLog(base.PartitionLog):
    """All partitions of one log; several clients share one object.

    ``failures`` holds what goes wrong with the next appends, in order;
    ``down`` makes every call fail.
    """

    def __init__(self) -> None:
        self._states: dict[base.Partition, _PartitionState] = {}
        self._late: list[tuple] = []
        self.failures: collections.deque[LogFailure] = collections.deque()
        self.failures_without_writer: collections.deque[LogFailure] = (
            collections.deque()
        )
        """The same for appends without a writer, apart from all others."""
        self.reads: collections.deque[base.Partition] = collections.deque(
            maxlen=_REMEMBERED_READS
        )
        self.answer_delay = 0.0
        """Seconds from an append to its answer."""
        self.unanswered_reads = 0
        """Reads to come that get no answer."""
        self.unreadable_topics: set[base.Topic] = set()
        """Topics whose reads are turned away."""
        self.down = False
        self.appends = 0

    def get_records(self, partition: base.Partition) -> list[bytes]:
        """Returns the records that a partition holds."""
        return list(self._find(partition).records)

    def expire(self, partition: base.Partition, count: int) -> None:
        """Forgets the oldest ``count`` records."""
        state = self._find(partition)
        del state.records[:count]
        state.oldest += count

    def execute_late_appends(self) -> None:
        """Does the appends that were held back, in their order."""
        late, self._late = self._late, []
        for call in late:
            self._append(*call)

    async def append(
        self,
        partition: base.Partition,
        records: Sequence[bytes],
        writer: base.Writer | None = None,
        at: ids.Offset | None = None,
    ) -> Result[base.AppendResult, base.Fault]:
        """Appends all ``records`` or none."""
        await asyncio.sleep(0)
        self.appends += 1
        failures = self.failures
        if writer is None and self.failures_without_writer:
            failures = self.failures_without_writer
        failure = failures.popleft() if failures else None
        if self.down or failure is LogFailure.BUSY:
            return _fail(base.FaultKind.BUSY, 'turned away')
        if failure is LogFailure.LATE:
            self._late.append((partition, records, writer, at))
            return _fail(base.FaultKind.UNKNOWN, 'no answer')
        done = self._append(partition, records, writer, at)
        await asyncio.sleep(self.answer_delay)
        if failure is LogFailure.SILENT:
            await asyncio.Event().wait()
        if failure is LogFailure.LOST:
            return _fail(base.FaultKind.UNKNOWN, 'answer lost')
        return done

    async def read(
        self,
        partition: base.Partition,
        offset: ids.Offset,
        wait: float = 0.0,
        size: int | None = None,
    ) -> Result[base.Page, base.Fault]:
        """Returns records from ``offset`` on."""
        await asyncio.sleep(0)
        self.reads.append(partition)
        if self.down or partition.topic in self.unreadable_topics:
            return _fail(base.FaultKind.BUSY, 'turned away')
        if self.unanswered_reads:
            self.unanswered_reads -= 1
            await asyncio.Event().wait()
        state = self._find(partition)
        if state.end <= offset and wait:
            await _wait(state.grown, wait)
        if offset < state.oldest:
            return Error(
                base.Fault(
                    base.FaultKind.EXPIRED,
                    'records expired',
                    ids.Offset(state.oldest),
                )
            )
        rows = _take(state.records[offset - state.oldest :], size)
        return Ok(base.Page(rows, state.end, ids.Offset(state.oldest)))

    async def read_newest(
        self, topic: base.Topic, after: str | None = None
    ) -> Result[base.KeyedPage, base.Fault]:
        """Returns the newest records of a keyed topic's keys."""
        await asyncio.sleep(0)
        if self.down:
            return _fail(base.FaultKind.BUSY, 'turned away')
        state = self._find(base.Partition(topic, 0))
        newest: dict[str, bytes | None] = {}
        for record in state.records:
            row = self.parse_keyed(record).default_value(
                base.KeyedRecord('', None)
            )
            newest[row.key] = row.value
        rows = tuple(
            base.KeyedRecord(key, value)
            for key, value in sorted(newest.items())
            if value is not None and (after is None or key > after)
        )
        return Ok(base.KeyedPage(rows, False, state.end))

    def write_keyed(
        self, topic: base.Topic, key: str, value: bytes = b''
    ) -> None:
        """Writes as another party does; no value removes the key."""
        name = key.encode()
        record = bytes([len(name)]) + name + value
        self._append(base.Partition(topic, 0), (record,), None, None)

    def parse_keyed(
        self, record: bytes
    ) -> Result[base.KeyedRecord, base.Fault]:
        """Returns the key and value of one record of a keyed topic."""
        size = record[0] if record else 0
        if len(record) < 1 + size:
            return _fail(base.FaultKind.INVALID, 'record without its key')
        key = record[1 : 1 + size].decode()
        return Ok(base.KeyedRecord(key, record[1 + size :] or None))

    def _find(self, partition: base.Partition) -> _PartitionState:
        return self._states.setdefault(partition, _PartitionState())

    def _append(
        self,
        partition: base.Partition,
        records: Sequence[bytes],
        writer: base.Writer | None,
        at: ids.Offset | None,
    ) -> Result[base.AppendResult, base.Fault]:
        state = self._find(partition)
        if writer is not None:
            answer = _check_writer(state, writer, bool(records))
            if answer is not None:
                return answer
        if at is not None and at != state.end:
            return _fail(base.FaultKind.CONFLICT, f'ends at {state.end}')
        offset = state.end
        state.records.extend(records)
        done = base.AppendResult(offset, state.end)
        if writer is not None:
            _note_writer(state, writer, done if records else None)
        if records:
            state.grown.set()
            state.grown = asyncio.Event()
        return Ok(done)


def _check_writer(
    state: _PartitionState, writer: base.Writer, writes: bool
) -> Result[base.AppendResult, base.Fault] | None:
    """Returns the answer to an append that is not done, if it isn't."""
    known = state.writers.get(writer.name, _WriterState())
    if writer.epoch < known.epoch:
        return _fail(base.FaultKind.FENCED, f'epoch {known.epoch} was seen')
    if not writes or writer.epoch > known.epoch or known.sequence is None:
        return None
    for sequence, answer in known.recent:
        if sequence == writer.sequence:
            return Ok(answer)
    if writer.sequence != known.sequence + 1:
        detail = f'expected {known.sequence + 1}'
        return _fail(base.FaultKind.SEQUENCE, detail)
    return None


def _note_writer(
    state: _PartitionState, writer: base.Writer, done: base.AppendResult | None
) -> None:
    known = state.writers.setdefault(writer.name, _WriterState())
    if writer.epoch > known.epoch:
        known.epoch = writer.epoch
        known.sequence = None
        known.recent.clear()
    if done is not None:
        known.sequence = writer.sequence
        known.recent.append((writer.sequence, done))


def _take(records: Sequence[bytes], size: int | None) -> tuple[bytes, ...]:
    """Returns the first records, ``size`` bytes of them or else one."""
    if size is None:
        return tuple(records)
    taken: list[bytes] = []
    left = size
    for record in records:
        left -= len(record)
        if taken and left < 0:
            break
        taken.append(record)
    return tuple(taken)


def _fail(kind: base.FaultKind, detail: str) -> Result:
    return Error(base.Fault(kind, detail))


async def _wait(grown: asyncio.Event, wait: float) -> None:
    try:
        async with asyncio.timeout(wait):
            await grown.wait()
    except TimeoutError:
        return
