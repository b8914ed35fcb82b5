"""View of all submissions in memory, kept current from the log."""

import asyncio
from collections.abc import Callable
from collections.abc import Iterator
import logging
import zlib

from expression import Error
from expression import Ok
from expression import Result
import msgspec

from waxwingport import clocks
from waxwingport import coalescing
from waxwingport.log import base
from waxwingport.log import dependency
from waxwingport.log import leases
from waxwingport.log import tails
from waxwingport.submissions import model
from waxwingport.submissions import partition_state
from waxwingport.submissions import records

__all__ = ['SubmissionPartition', 'SubmissionSettings', 'SubmissionView']

TOPIC = base.Topic('submissions')
_EVICTION_INTERVAL_S = 5.0
_READ_TIMEOUT_S = 0.4
"""Bounds the reads that all lookups of unknown submissions share, so that a
lost answer holds up no later lookup for long."""

_LOG = logging.getLogger(__name__)

ChangeListener = Callable[['SubmissionPartition', partition_state.Entry], None]
"""Called with a partition and the entry that a record changed."""


class SubmissionSettings(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True
):
    """How submissions are stored and read."""

    partitions: int = 4
    """Number of partitions.  Every node reads all of them, and one node holds
    the lease of each.  All submissions for one model share a partition."""
    status_time: float = 120.0
    """Seconds after a submission's acceptance for which its results can be
    read."""
    text_memory: int = 4_000_000
    """Bytes of compressed texts that a node caches: enough for the current
    steps of three trainers."""
    freshness: float = 0.4
    """There are no further results of a submission if the log was read to its
    end at most this many seconds ago.  This is less than half of the time
    within which a result has to be visible on every node."""


class SubmissionPartition(tails.RecordListener):
    """State of one partition and the reader that keeps it current."""

    def __init__(
        self,
        log: base.PartitionLog,
        log_partition: base.Partition,
        dependency_: dependency.Dependency,
    ) -> None:
        self.log_partition = log_partition
        self.state = partition_state.PartitionState()
        self.tail = tails.PartitionTail(
            log,
            log_partition,
            self,
            dependency_,
            needs_records=lambda: self.lease is not None and self.lease.held,
        )
        self.lease: leases.PartitionLease | None = None
        """Receives the partition's lease records, once set."""
        self._assembler = records.Assembler()
        self._listeners: list[ChangeListener] = []

    def add_listener(self, listener: ChangeListener) -> None:
        """Calls ``listener`` for each entry that a record changes."""
        self._listeners.append(listener)

    def handle_record(self, record: bytes) -> None:
        """Applies the next record of the partition to the state or lease.

        A record that cannot be decoded is logged and skipped.
        """
        match self._assembler.feed(record):
            case Result(tag='ok', ok=found):
                pass
            case Result(error=reason):
                _LOG.warning(
                    'record-skipped',
                    extra={
                        'partition': str(self.log_partition),
                        'position': self.tail.position,
                        'reason': reason,
                    },
                )
                return
        if isinstance(found, leases.LeaseRecord):
            if self.lease is not None:
                self.lease.handle_record(found)
            return
        entry = self.state.apply(found) if found else None
        if entry is None:
            return
        for listener in self._listeners:
            listener(self, entry)

    def handle_gap(self) -> None:
        """Drops the fragments of a record whose other ones have expired."""
        self._assembler.reset()


class SubmissionView:
    """All partitions of submissions, as read by this node."""

    def __init__(
        self,
        log: base.PartitionLog,
        settings: SubmissionSettings,
        wall_clock: clocks.WallClock,
    ) -> None:
        self._wall_clock = wall_clock
        self.settings = settings
        self.dependency = dependency.Dependency('log:submissions')
        self._partitions = [
            SubmissionPartition(
                log, base.Partition(TOPIC, number), self.dependency
            )
            for number in range(settings.partitions)
        ]
        self._reads = coalescing.Coalescing(self._read_to_end)

    def __iter__(self) -> Iterator[SubmissionPartition]:
        return iter(self._partitions)

    async def run(self) -> None:
        """Follows every partition until cancelled."""
        async with asyncio.TaskGroup() as group:
            for partition in self._partitions:
                group.create_task(partition.tail.run())
            group.create_task(self._evict())

    def choose_partition(
        self, submission: model.Submission
    ) -> SubmissionPartition:
        """Returns the partition that a submission belongs to.

        All submissions for one model share a partition, so that one node runs
        them.  That node knows how fast the engines are and which prompts they
        have cached, and reuses its connections to them.
        """
        number = zlib.crc32(submission.model.encode()) % len(self._partitions)
        return self._partitions[number]

    def find_in_memory(
        self,
        submission_id: model.SubmissionId,
        may_use: Callable[[model.Submission], bool] = lambda _: True,
    ) -> tuple[SubmissionPartition, partition_state.Entry] | None:
        """Returns a submission's partition and entry, ``None`` if unknown.

        Passes over those that ``may_use`` rejects, as two tenants may have
        submitted the same id at once to different partitions.

        Knows what has been read so far; ``find`` reads on in the log.
        """
        for partition in self._partitions:
            entry = partition.state.find(submission_id)
            if entry is not None and may_use(entry.submission):
                return partition, entry
        return None

    def find_with_item(
        self, item_id: model.ItemId, tenant: str
    ) -> Iterator[partition_state.Entry]:
        """Yields the entries of a tenant's submissions that contain an item.

        ``tenant`` is empty for the submissions without a tenant.
        """
        for partition in self._partitions:
            for entry in partition.state.find_with_item(item_id):
                if entry.submission.tenant == tenant:
                    yield entry

    def find_result(
        self, item_id: model.ItemId, tenant: str
    ) -> model.FinishedItem | None:
        """Returns a completed result of an item in any of its submissions.

        Leaves out a result whose text was stored more than ``status_time``
        ago: the log might drop it while a new submission can still be read.
        """
        since = self._wall_clock.read() - self.settings.status_time
        for entry in self.find_with_item(item_id, tenant):
            found = entry.finished.get(item_id)
            if (
                found
                and found.state is model.ItemState.COMPLETED
                and (found.text is None or found.text.stored_at >= since)
            ):
                return found
        return None

    def find_draft(
        self, item_id: model.ItemId, tenant: str
    ) -> model.StoredDraft | None:
        """Returns the longest draft of an item in any of its submissions."""
        drafts = [
            entry.drafts[item_id]
            for entry in self.find_with_item(item_id, tenant)
            if item_id in entry.drafts
        ]
        return max(drafts, key=lambda draft: draft.event_count, default=None)

    async def find(
        self,
        submission_id: model.SubmissionId,
        may_use: Callable[[model.Submission], bool] = lambda _: True,
    ) -> Result[
        tuple[SubmissionPartition, partition_state.Entry] | None, base.Fault
    ]:
        """Returns a submission's partition and entry, ``None`` if unknown.

        Reads to the log's end before it returns ``None``, as the submission
        may have been accepted by another node since the last read.  Fails if
        the log can't be read for that.
        """
        found = self.find_in_memory(submission_id, may_use)
        if found is not None:
            return Ok(found)
        outcomes = await self._reads.run()
        found = self.find_in_memory(submission_id, may_use)
        for outcome in outcomes:
            match outcome:
                case Result(tag='error', error=fault) if found is None:
                    return Error(fault)
        return Ok(found)

    async def _read_to_end(self) -> list[Result[None, base.Fault]]:
        try:
            async with asyncio.timeout(_READ_TIMEOUT_S):
                return await asyncio.gather(
                    *(
                        partition.tail.read_to_end()
                        for partition in self._partitions
                    )
                )
        except TimeoutError:
            detail = f'no answer of the log within {_READ_TIMEOUT_S:g} s'
            return [Error(base.Fault(base.FaultKind.UNKNOWN, detail))]

    async def _evict(self) -> None:
        """Drops old submissions at intervals.

        They are kept for twice ``status_time``, as ``find_result`` looks for
        reusable results in submissions that can't be read any more.
        """
        while True:
            await asyncio.sleep(_EVICTION_INTERVAL_S)
            before = self._wall_clock.read() - 2 * self.settings.status_time
            for partition in self._partitions:
                count = partition.state.evict(before)
                if count:
                    _LOG.info(
                        'submissions-forgotten',
                        extra={
                            'partition': str(partition.log_partition),
                            'count': count,
                        },
                    )
