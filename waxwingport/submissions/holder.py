"""Runs the submissions of the partitions whose lease this node holds."""

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

__all__ = ['AppendLimits', 'Holder', 'compute_claim_delay']

_DRAFT_INTERVAL_S = 0.5
"""Interval at which drafts are stored.  When a node fails, its runs lose
little more than the work of one interval, which may delay their step."""
_DRAFT_EVENTS = 10
"""Events by which a text has to grow before its draft is stored again: about
as many as an engine generates in the interval."""
_HELD_DELAY_S = 0.1
"""Delay of a claim for each partition that the node holds already, so that the
partitions spread over the nodes."""
_WEAK_DELAY_S = 0.25
"""Delay of a claim by a node with less than one core.  The holder reads the
streams of a whole step, which take about half a core for 100 of them."""
_FULL_CORES = 1.0
"""Cores from which on a node claims without that delay: twice what the streams
of a step take."""
_RESIGN_TIMEOUT_S = 1.0
"""Bounds the release of all partitions before the node stops."""

_LOG = logging.getLogger(__name__)


class AppendLimits(msgspec.Struct, frozen=True):
    """Limits of the log on records and append calls, in bytes."""

    max_record_bytes: int
    max_call_bytes: int


def compute_claim_delay(held: int, cores: float) -> float:
    """Returns the seconds by which a node claims later than others.

    ``held`` is the number of partitions that it holds already, ``cores`` its
    processor time a second.

    Load pattern: a step of a hundred items on a fleet in which three of four
    nodes have half a core.
    """
    weak = cores < _FULL_CORES
    return _HELD_DELAY_S * held + (_WEAK_DELAY_S if weak else 0.0)


class Holder:
    """Runs the submissions of the partitions whose lease this node holds.

    The log refuses the appends of an earlier holder once a later one has
    claimed the partition.  Two nodes that both consider themselves the holder
    may run an item twice, but its result is stored and returned once only.
    ``cores`` is the processor time of the node a second; a node with less
    than one core claims later than others.
    """

    def __init__(
        self,
        log: base.PartitionLog,
        view_: view.SubmissionView,
        item_runner: runner.ItemRunner,
        limits: AppendLimits,
        member: base.MemberName,
        reader: texts.TextReader,
        wall_clock: clocks.WallClock,
        rng: random.Random,
        cores: float = _FULL_CORES,
    ) -> None:
        self._cores = cores
        journals = _JournalFactory(log, reader, limits, wall_clock, rng)
        self._partitions = [
            _HeldPartition(partition, item_runner, journals)
            for partition in view_
        ]
        self._leases = [
            leases.PartitionLease(
                log,
                held.partition.tail,
                member,
                held,
                limits.max_call_bytes,
                wall_clock,
                rng,
                lambda: compute_claim_delay(self.count_held(), self._cores),
            )
            for held in self._partitions
        ]
        for held, lease in zip(self._partitions, self._leases, strict=True):
            held.partition.lease = lease

    def count_held(self) -> int:
        """Returns how many partitions' leases this node holds."""
        return sum(held.journal is not None for held in self._partitions)

    async def run(self) -> None:
        """Claims partitions and stores drafts until cancelled."""
        async with asyncio.TaskGroup() as group:
            for lease in self._leases:
                group.create_task(lease.run())
            group.create_task(self._store_drafts_at_intervals())

    async def resign(self) -> None:
        """Stores all drafts and releases every partition.

        Logs a warning if that takes too long; other nodes then claim the
        remaining partitions when their leases expire.
        """
        try:
            async with asyncio.timeout(_RESIGN_TIMEOUT_S):
                for held, lease in zip(
                    self._partitions, self._leases, strict=True
                ):
                    await held.hand_over()
                    await lease.resign()
        except TimeoutError:
            _LOG.warning(
                'resignation-timeout', extra={'held': self.count_held()}
            )

    async def _store_drafts_at_intervals(self) -> None:
        """Stores the texts of unfinished items until cancelled."""
        while True:
            await asyncio.sleep(_DRAFT_INTERVAL_S)
            for held in self._partitions:
                await held.store_drafts(_DRAFT_EVENTS)


class _JournalFactory:
    """Makes a journal for each partition whose lease this node acquires."""

    def __init__(
        self,
        log: base.PartitionLog,
        reader: texts.TextReader,
        limits: AppendLimits,
        wall_clock: clocks.WallClock,
        rng: random.Random,
    ) -> None:
        self._log = log
        self._reader = reader
        self._limits = limits
        self._wall_clock = wall_clock
        self._rng = rng

    def make(
        self, index_writer: writers.FencedWriter
    ) -> tuple[journal.Journal, texts.TextWriter]:
        """Returns a journal and its text writer, which has to be run.

        ``index_writer`` appends to the partition of the submissions topic.
        """
        writer = writers.FencedWriter(
            self._log,
            base.Partition(texts.TOPIC, index_writer.partition.number),
            index_writer.epoch,
            self._rng.getrandbits(leases.SEQUENCE_BITS),
            self._limits.max_call_bytes,
        )
        text_writer = texts.TextWriter(
            writer,
            self._reader,
            self._limits.max_record_bytes,
            self._wall_clock,
        )
        made = journal.Journal(
            index_writer, text_writer, self._limits.max_record_bytes
        )
        return made, text_writer


class _HeldPartition(leases.LeaseListener):
    """Runs a partition's submissions while this node holds its lease."""

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
        """Whether this node runs submissions of the partition."""
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
        """Stops every run; drafts can't be stored any more."""
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
            # is left to another node.
            self.partition.lease.drop(
                f'texts cannot be written: {fault.detail}'
            )

    def _stop_runs(self) -> list[runs.SubmissionRun]:
        self.journal = None
        stopped = self._runner.find_runs(self.partition.log_partition)
        for submission_run in stopped:
            self._runner.drop(submission_run.entry.submission)
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
        submission_run = self._runner.drop(entry.submission)
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
