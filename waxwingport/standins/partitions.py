"""In-memory stand-in for the partitioned log, with fault injection."""

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

_MAX_RECORDED_READS = 10_000
_DEDUPLICATED_APPENDS = 5
"""Newest appends of a writer whose repeats get the first answer again."""


class LogFailure(enum.Enum):
    """How an append fails."""

    BUSY = 'busy'
    """Rejected, without effect."""
    LOST = 'lost'
    """Applied, but the answer is lost."""
    LATE = 'late'
    """No answer; applied when ``MemoryLog.execute_late_appends`` is called."""
    SILENT = 'silent'
    """Applied, but the call never returns."""
    NONE = 'none'
    """The append succeeds."""


class _WriterState(msgspec.Struct):
    epoch: int = -1
    sequence: int | None = None
    recent: collections.deque[tuple[int, base.AppendResult]] = msgspec.field(
        default_factory=lambda: collections.deque(maxlen=_DEDUPLICATED_APPENDS)
    )


class _PartitionState(msgspec.Struct):
    records: list[bytes] = msgspec.field(default_factory=list)
    oldest: int = 0
    writers: dict[str, _WriterState] = msgspec.field(default_factory=dict)
    changed: asyncio.Event = msgspec.field(default_factory=asyncio.Event)

    @property
    def end(self) -> ids.Offset:
        return ids.Offset(self.oldest + len(self.records))


class MemoryLog(base.PartitionLog):
    """All partitions of one log; several clients may share one object.

    ``failures`` lists how the next appends fail, in order; ``down`` makes
    every call fail.
    """

    def __init__(self) -> None:
        self._states: dict[base.Partition, _PartitionState] = {}
        self._late_appends: list[tuple] = []
        self.failures: collections.deque[LogFailure] = collections.deque()
        self.failures_without_writer: collections.deque[LogFailure] = (
            collections.deque()
        )
        """How the next appends without a writer fail; others ignore it."""
        self.reads: collections.deque[base.Partition] = collections.deque(
            maxlen=_MAX_RECORDED_READS
        )
        self.answer_delay = 0.0
        """Seconds between an append and its answer."""
        self.unanswered_reads = 0
        """How many of the next reads never return."""
        self.unreadable_topics: set[base.Topic] = set()
        """Topics whose reads are rejected."""
        self.down = False
        self.appends = 0
        """Appends that were requested."""

    def get_records(self, partition: base.Partition) -> list[bytes]:
        """Returns the records of a partition, without expired ones."""
        return list(self._get_state(partition).records)

    def expire(self, partition: base.Partition, count: int) -> None:
        """Removes the oldest ``count`` records, as retention does."""
        state = self._get_state(partition)
        del state.records[:count]
        state.oldest += count

    def execute_late_appends(self) -> None:
        """Applies the appends that failed as LATE, in their order."""
        late_appends, self._late_appends = self._late_appends, []
        for call in late_appends:
            self._append(*call)

    async def append(
        self,
        partition: base.Partition,
        records: Sequence[bytes],
        writer: base.Writer | None = None,
        at: ids.Offset | None = None,
    ) -> Result[base.AppendResult, base.Fault]:
        """Appends all ``records`` or none, see the base class."""
        await asyncio.sleep(0)
        self.appends += 1
        failures = self.failures
        if writer is None and self.failures_without_writer:
            failures = self.failures_without_writer
        failure = failures.popleft() if failures else None
        if self.down or failure is LogFailure.BUSY:
            return _fail(base.FaultKind.BUSY, 'rejected')
        if failure is LogFailure.LATE:
            self._late_appends.append((partition, records, writer, at))
            return _fail(base.FaultKind.UNKNOWN, 'no answer')
        result = self._append(partition, records, writer, at)
        await asyncio.sleep(self.answer_delay)
        if failure is LogFailure.SILENT:
            await asyncio.Event().wait()
        if failure is LogFailure.LOST:
            return _fail(base.FaultKind.UNKNOWN, 'answer lost')
        return result

    async def read(
        self,
        partition: base.Partition,
        offset: ids.Offset,
        wait: float = 0.0,
        size: int | None = None,
    ) -> Result[base.Page, base.Fault]:
        """Returns records from ``offset`` on, see the base class."""
        await asyncio.sleep(0)
        self.reads.append(partition)
        if self.down or partition.topic in self.unreadable_topics:
            return _fail(base.FaultKind.BUSY, 'rejected')
        if self.unanswered_reads:
            self.unanswered_reads -= 1
            await asyncio.Event().wait()
        state = self._get_state(partition)
        if state.end <= offset and wait:
            await _wait_for_change(state.changed, wait)
        if offset < state.oldest:
            return Error(
                base.Fault(
                    base.FaultKind.EXPIRED,
                    'offset has expired',
                    ids.Offset(state.oldest),
                )
            )
        records = _select_records(state.records[offset - state.oldest :], size)
        return Ok(base.Page(records, state.end, ids.Offset(state.oldest)))

    async def read_newest(
        self, topic: base.Topic, after: str | None = None
    ) -> Result[base.KeyedPage, base.Fault]:
        """Returns the newest record of each key that follows ``after``."""
        await asyncio.sleep(0)
        if self.down:
            return _fail(base.FaultKind.BUSY, 'rejected')
        state = self._get_state(base.Partition(topic, 0))
        newest: dict[str, tuple[int, bytes | None]] = {}
        for offset, record in enumerate(state.records, state.oldest):
            parsed = self.parse_keyed(record).default_value(
                base.KeyedRecord('', None)
            )
            newest[parsed.key] = (offset, parsed.value)
        selected = [
            (offset, base.KeyedRecord(key, value))
            for key, (offset, value) in sorted(newest.items())
            if value is not None and (after is None or key > after)
        ]
        covered = 1 + max((offset for offset, _ in selected), default=-1)
        return Ok(
            base.KeyedPage(
                tuple(record for _, record in selected),
                False,
                state.end,
                ids.Offset(covered),
            )
        )

    def write_keyed(
        self, topic: base.Topic, key: str, value: bytes = b''
    ) -> None:
        """Writes without a writer; an empty value removes the key."""
        record = self.make_keyed(base.KeyedRecord(key, value))
        self._append(base.Partition(topic, 0), (record,), None, None)

    def make_keyed(self, keyed: base.KeyedRecord) -> bytes:
        """Returns the record that writes a key, or removes it.

        Raises ``ValueError`` if the key has over 255 bytes.
        """
        key = keyed.key.encode()
        return bytes([len(key)]) + key + (keyed.value or b'')

    def parse_keyed(
        self, record: bytes
    ) -> Result[base.KeyedRecord, base.Fault]:
        """Returns the key and value of one record of a keyed topic.

        Fails when the record is shorter than its key.
        """
        size = record[0] if record else 0
        if len(record) < 1 + size:
            return _fail(base.FaultKind.INVALID, 'record ends within its key')
        key = record[1 : 1 + size].decode()
        return Ok(base.KeyedRecord(key, record[1 + size :] or None))

    def _get_state(self, partition: base.Partition) -> _PartitionState:
        return self._states.setdefault(partition, _PartitionState())

    def _append(
        self,
        partition: base.Partition,
        records: Sequence[bytes],
        writer: base.Writer | None,
        at: ids.Offset | None,
    ) -> Result[base.AppendResult, base.Fault]:
        state = self._get_state(partition)
        if writer is not None:
            answer = _check_writer(state, writer, bool(records))
            if answer is not None:
                return answer
        if at is not None and at != state.end:
            return _fail(
                base.FaultKind.CONFLICT, f'partition ends at {state.end}'
            )
        offset = state.end
        state.records.extend(records)
        result = base.AppendResult(offset, state.end)
        if writer is not None:
            _record_writer(state, writer, result if records else None)
        if records:
            state.changed.set()
            state.changed = asyncio.Event()
        return Ok(result)


def _check_writer(
    state: _PartitionState, writer: base.Writer, has_records: bool
) -> Result[base.AppendResult, base.Fault] | None:
    """Returns the answer to a fenced, repeated or out-of-order append.

    Returns ``None`` for an append that may be applied.
    """
    writer_state = state.writers.get(writer.name, _WriterState())
    if writer.epoch < writer_state.epoch:
        return _fail(
            base.FaultKind.FENCED, f'fenced by epoch {writer_state.epoch}'
        )
    if (
        not has_records
        or writer.epoch > writer_state.epoch
        or writer_state.sequence is None
    ):
        return None
    for sequence, answer in writer_state.recent:
        if sequence == writer.sequence:
            return Ok(answer)
    if writer.sequence != writer_state.sequence + 1:
        detail = f'expected sequence number {writer_state.sequence + 1}'
        return _fail(base.FaultKind.SEQUENCE, detail)
    return None


def _record_writer(
    state: _PartitionState,
    writer: base.Writer,
    result: base.AppendResult | None,
) -> None:
    writer_state = state.writers.setdefault(writer.name, _WriterState())
    if writer.epoch > writer_state.epoch:
        writer_state.epoch = writer.epoch
        writer_state.sequence = None
        writer_state.recent.clear()
    if result is not None:
        writer_state.sequence = writer.sequence
        writer_state.recent.append((writer.sequence, result))


def _select_records(
    records: Sequence[bytes], size: int | None
) -> tuple[bytes, ...]:
    """Returns the first records of up to ``size`` bytes, and at least one."""
    if size is None:
        return tuple(records)
    selected: list[bytes] = []
    bytes_left = size
    for record in records:
        bytes_left -= len(record)
        if selected and bytes_left < 0:
            break
        selected.append(record)
    return tuple(selected)


def _fail(kind: base.FaultKind, detail: str) -> Result:
    return Error(base.Fault(kind, detail))


async def _wait_for_change(changed: asyncio.Event, wait: float) -> None:
    try:
        async with asyncio.timeout(wait):
            await changed.wait()
    except TimeoutError:
        return
