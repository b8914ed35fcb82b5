"""Runs the submissions of the partitions whose lease this process holds."""

import asyncio
import logging
import random

from expression import Result
import msgspec

from waxwingport import clocks
from waxwingport.log import base
from waxwingport.log import leases
from waxwingport.log import writers
from waxwingport.submissions import journal
from waxwingport.submissions import partition_state
from waxwingport.submissions import runner
from waxwingport.submissions import runs
from waxwingport.submissions import texts
from waxwingport.submissions import view

__all__ = ['AppendLimits', 'Holder']

_DRAFT_INTERVAL_S = 0.5
"""Time between two writes of drafts: the work that the loss of a holder costs
the runs which decide when a step is complete."""
_DRAFT_EVENTS = 10
"""Events by which a text has to grow before its draft is stored again: about
what an engine generates in the interval."""
_RESIGN_TIMEOUT_S = 1.0
"""Bounds the hand-over of all partitions before the process stops."""

_LOG = logging.getLogger(__name__)


class AppendLimits(msgspec.Struct, frozen=True):
    """Largest record and append call of the log, in bytes."""

    max_record_bytes: int
    max_call_bytes: int


class Holder:
    """Runs the submissions of the partitions that this process holds.

    The log fences an earlier holder once a later one has claimed the
    partition.  Two processes that both consider themselves the holder
    may run an item twice, but only one of them can list its result.
    """

    def __init__(
        self,
        log: base.PartitionLog,
        view_: view.SubmissionView,
        item_runner: runner.ItemRunner,
        settings: AppendLimits,
        member: base.MemberName,
        reader: texts.TextReader,
        wall_clock: clocks.WallClock,
        rng: random.Random,
    ) -> None:
        journals = _JournalFactory(log, reader, settings, wall_clock, rng)
        self._works = [
            _PartitionWork(partition, item_runner, journals)
            for partition in view_
        ]
        self._leases = [
            leases.PartitionLease(
                log,
                work.partition.tail,
                member,
                work,
                settings.max_call_bytes,
                wall_clock,
                rng,
                self.count_held,
            )
            for work in self._works
        ]
        for work, lease in zip(self._works, self._leases, strict=True):
            work.partition.lease = lease

    def count_held(self) -> int:
        """Returns how many partitions this process holds."""
        return sum(work.journal is not None for work in self._works)

    async def run(self) -> None:
        """Claims partitions and stores drafts until cancelled."""
        async with asyncio.TaskGroup() as group:
            for lease in self._leases:
                group.create_task(lease.run())
            group.create_task(self._store_drafts_at_intervals())

    async def resign(self) -> None:
        """Stores all drafts and releases every partition.

        Stops with a warning after a time-out; other processes then claim the
        partitions once the leases are not renewed.
        """
        try:
            async with asyncio.timeout(_RESIGN_TIMEOUT_S):
                for work, lease in zip(self._works, self._leases, strict=True):
                    await work.hand_over()
                    await lease.resign()
        except TimeoutError:
            _LOG.warning(
                'resignation-timeout', extra={'held': self.count_held()}
            )

    async def _store_drafts_at_intervals(self) -> None:
        """Stores unfinished texts at intervals.

        If this process dies, its runs lose little more than an interval.
        """
        while True:
            await asyncio.sleep(_DRAFT_INTERVAL_S)
            for work in self._works:
                await work.store_drafts(_DRAFT_EVENTS)


class _JournalFactory:
    """Makes a journal for each partition that this process acquires."""

    def __init__(
        self,
        log: base.PartitionLog,
        reader: texts.TextReader,
        settings: AppendLimits,
        wall_clock: clocks.WallClock,
        rng: random.Random,
    ) -> None:
        self._log = log
        self._reader = reader
        self._settings = settings
        self._wall_clock = wall_clock
        self._rng = rng

    def make(
        self, index: writers.FencedWriter
    ) -> tuple[journal.Journal, texts.TextWriter]:
        """Returns a journal and its text writer, which has to be run."""
        writer = writers.FencedWriter(
            self._log,
            base.Partition(texts.TOPIC, index.partition.number),
            index.epoch,
            self._rng.getrandbits(leases.SEQUENCE_BITS),
            self._settings.max_call_bytes,
        )
        text_writer = texts.TextWriter(
            writer,
            self._reader,
            self._settings.max_record_bytes,
            self._wall_clock,
        )
        made = journal.Journal(
            index, text_writer, self._settings.max_record_bytes
        )
        return made, text_writer


class _PartitionWork(leases.LeaseListener):
    """Runs the work on one partition while this process holds its lease."""

    def __init__(
        self,
        partition: view.SubmissionPartition,
        item_runner: runner.ItemRunner,
        journals: _JournalFactory,
    ) -> None:
        self.partition = partition
        self.journal: journal.Journal | None = None
        self._runner = item_runner
        self._journals = journals
        self._text_writer: texts.TextWriter | None = None
        self._text_task: asyncio.Task[None] | None = None
        self._writes: set[asyncio.Task[None]] = set()
        partition.add_listener(self._handle_change)

    @property
    def busy(self) -> bool:
        """Whether submissions of the partition are run by this process."""
        return bool(self._runner.find_runs(self.partition.log_partition))

    def handle_acquisition(self, writer: writers.FencedWriter) -> None:
        """Starts the partition's open submissions."""
        self.journal, self._text_writer = self._journals.make(writer)
        self._text_task = asyncio.get_running_loop().create_task(
            self._write_until_lost(self._text_writer)
        )
        for entry in self.partition.state:
            self._runner.add(entry, self.journal)

    def handle_loss(self, reason: str) -> None:
        """Stops every run; nothing can be stored any more."""
        _LOG.warning(
            'partition-lost',
            extra={
                'partition': str(self.partition.log_partition),
                'reason': reason,
            },
        )
        self._stop_runs()
        if self._text_task is not None and self._text_writer is not None:
            self._text_task.cancel()
            self._text_writer.abandon(
                base.Fault(base.FaultKind.FENCED, reason)
            )

    async def hand_over(self) -> None:
        """Stops every run and stores the drafts."""
        journal_ = self.journal
        if journal_ is None:
            return
        for submission_run in self._stop_runs():
            await self._store_drafts(submission_run, journal_, 1)

    async def store_drafts(self, new_events: int) -> None:
        """Stores drafts that have grown by ``new_events`` events or more."""
        journal_ = self.journal
        if journal_ is None:
            return
        for submission_run in self._runner.find_runs(
            self.partition.log_partition
        ):
            await self._store_drafts(submission_run, journal_, new_events)

    async def _write_until_lost(self, text_writer: texts.TextWriter) -> None:
        fault = await text_writer.run()
        if self.partition.lease is not None:
            # Results can't be stored without their texts, so the partition
            # is of no use to this process.
            self.partition.lease.drop(
                f'texts cannot be written: {fault.detail}'
            )

    def _stop_runs(self) -> list[runs.SubmissionRun]:
        self.journal = None
        stopped = self._runner.find_runs(self.partition.log_partition)
        for submission_run in stopped:
            self._runner.drop(submission_run.entry.submission.submission_id)
        return stopped

    def _handle_change(
        self, partition: view.SubmissionPartition, entry: partition_state.Entry
    ) -> None:
        journal_ = self.journal
        if journal_ is None:
            return
        if entry.open:
            self._runner.add(entry, journal_)
            return
        submission_run = self._runner.drop(entry.submission.submission_id)
        if submission_run is not None and entry.ended:
            # A later submission may contain the same items and resume them.
            task = asyncio.get_running_loop().create_task(
                self._store_drafts(submission_run, journal_, 1)
            )
            self._writes.add(task)
            task.add_done_callback(self._writes.discard)

    async def _store_drafts(
        self,
        submission_run: runs.SubmissionRun,
        journal_: journal.Journal,
        new_events: int,
    ) -> None:
        drafts = submission_run.collect_drafts(new_events)
        if not drafts:
            return
        submission_id = submission_run.entry.submission.submission_id
        match await journal_.store_drafts(submission_id, drafts):
            case Result(tag='error', error=fault):
                _LOG.info(
                    'drafts-dropped',
                    extra={
                        'submission': submission_id,
                        'reason': fault.detail,
                    },
                )
