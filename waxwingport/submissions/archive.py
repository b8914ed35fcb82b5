"""Every submission as this node has read it from the log."""

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
from waxwingport.log import base
from waxwingport.log import dependency
from waxwingport.log import leases
from waxwingport.log import tails
from waxwingport.submissions import fold
from waxwingport.submissions import model
from waxwingport.submissions import records

__all__ = ['Archive', 'ArchiveSettings', 'ArchivePartition']

TOPIC = base.Topic('submissions')
_EVICTION_INTERVAL = 5.0
"""Seconds."""

_LOG = logging.getLogger(__name__)

ChangeListener = Callable[['ArchivePartition', fold.Entry], None]


class ArchiveSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """How submissions are kept."""

    partitions: int = 4
    """Partitions in use: each is read by every node and held by one, and all
    submissions for one model stand in one."""
    status_time: float = 120.0
    """Seconds after its acceptance for which results can be read."""
    text_memory: int = 4_000_000
    """Bytes of texts, compressed, that a node remembers: those of the steps
    under way of three trainers."""
    freshness: float = 0.4
    """Seconds: age of the newest read on which "not there" may rest; under
    half of the time in which what was accepted has to be visible."""


class ArchivePartition(tails.RecordListener):
    """One partition: its state and the reader that keeps it up."""

    def __init__(
        self,
        log: base.PartitionLog,
        log_partition: base.Partition,
        dependency_: dependency.Dependency,
    ) -> None:
        self.log_partition = log_partition
        self.state = fold.PartitionState()
        self.tail = tails.PartitionTail(log, log_partition, self, dependency_)
        self.lease: leases.PartitionLease | None = None
        """Learns who holds the partition."""
        self._assembler = records.Assembler()
        self._listeners: list[ChangeListener] = []

    def add_listener(self, listener: ChangeListener) -> None:
        """Tells ``listener`` of each entry that changes."""
        self._listeners.append(listener)

    def handle_record(self, record: bytes) -> None:
        """Takes the next record of the partition."""
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
        """Drops what was read of a record whose rest has expired."""
        self._assembler.reset()


class Archive:
    """The partitions of all partitions."""

    def __init__(
        self,
        log: base.PartitionLog,
        settings: ArchiveSettings,
        wall: clocks.WallClock,
    ) -> None:
        self._wall = wall
        self.settings = settings
        self.dependency = dependency.Dependency('log:submissions')
        self._partitions = [
            ArchivePartition(
                log, base.Partition(TOPIC, number), self.dependency
            )
            for number in range(settings.partitions)
        ]

    def __iter__(self) -> Iterator[ArchivePartition]:
        return iter(self._partitions)

    async def run(self) -> None:
        """Follows every partition until cancelled."""
        async with asyncio.TaskGroup() as group:
            for partition in self._partitions:
                group.create_task(partition.tail.run())
            group.create_task(self._evict())

    def choose_partition(
        self, submission: model.Submission
    ) -> ArchivePartition:
        """Returns the partition on which a submission has to stand.

        Those of one trainer stand together, so that one node runs them, which
        knows the engines' paces and what they have read, and keeps its
        connections to them.
        """
        number = zlib.crc32(submission.model.encode()) % len(self._partitions)
        return self._partitions[number]

    def locate(
        self, submission_id: model.SubmissionId
    ) -> tuple[ArchivePartition, fold.Entry] | None:
        """Returns where a submission stands, if it has been read."""
        for partition in self._partitions:
            entry = partition.state.find(submission_id)
            if entry is not None:
                return partition, entry
        return None

    def find_with_item(self, item_id: model.ItemId) -> Iterator[fold.Entry]:
        """Yields the submissions that hold an item."""
        for partition in self._partitions:
            yield from partition.state.find_with_item(item_id)

    def find_result(self, item_id: model.ItemId) -> model.ListedItem | None:
        """Returns a completed result of an item in any submission.

        The log holds its text for as long as a submission of now is read.
        """
        since = self._wall.read() - self.settings.status_time
        for entry in self.find_with_item(item_id):
            found = entry.listed.get(item_id)
            if (
                found
                and found.state is model.ItemState.COMPLETED
                and (found.text is None or found.text.stored_at >= since)
            ):
                return found
        return None

    def find_draft(self, item_id: model.ItemId) -> model.StoredDraft | None:
        """Returns the longest text kept of an item in any submission."""
        drafts = [
            entry.drafts[item_id]
            for entry in self.find_with_item(item_id)
            if item_id in entry.drafts
        ]
        return max(drafts, key=lambda row: row.events, default=None)

    async def find(
        self, submission_id: model.SubmissionId
    ) -> Result[tuple[ArchivePartition, fold.Entry] | None, base.Fault]:
        """Returns where a submission stands, ``None`` if it certainly doesn't.

        Fails when the log can't be read as far as that takes.
        """
        found = self.locate(submission_id)
        if found is not None:
            return Ok(found)
        outcomes = await asyncio.gather(
            *(
                partition.tail.catch_up(self.settings.freshness)
                for partition in self._partitions
            )
        )
        found = self.locate(submission_id)
        for outcome in outcomes:
            match outcome:
                case Result(tag='error', error=fault) if found is None:
                    return Error(fault)
        return Ok(found)

    async def _evict(self) -> None:
        while True:
            await asyncio.sleep(_EVICTION_INTERVAL)
            before = self._wall.read() - 2 * self.settings.status_time
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
