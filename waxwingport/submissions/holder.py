"""Holds partitions of submissions: takes them over, hands them on."""

import asyncio
import logging
import random

from expression import Result
import msgspec

from waxwingport import clocks
from waxwingport.log import base
from waxwingport.log import leases
from waxwingport.log import writers
from waxwingport.submissions import archive
from waxwingport.submissions import batches
from waxwingport.submissions import fold
from waxwingport.submissions import journal
from waxwingport.submissions import runner
from waxwingport.submissions import texts

__all__ = ['AppendLimits', 'Holder']

_DRAFT_INTERVAL = 0.5
"""Seconds between looks for texts to keep: what a holder's loss costs the
runs that decide when a step is whole."""
_DRAFT_EVENTS = 10
"""Events that a text has grown by before it is kept again, as many as an
engine makes in the interval."""
_RESIGN_TIMEOUT = 1.0
"""Seconds for handing a partition on before a stop."""

_LOG = logging.getLogger(__name__)


class AppendLimits(msgspec.Struct, frozen=True):
    """Bounds of the log, in bytes."""

    record_size: int
    call_size: int


class Holder:
    """Runs the submissions of the partitions that this process holds.

    A later holder fences this one in the log, so that two that both believe
    to hold a partition can run an item twice but never list it twice.
    """

    def __init__(
        self,
        log: base.PartitionLog,
        archive_: archive.Archive,
        items: runner.ItemRunner,
        settings: AppendLimits,
        member: base.MemberName,
        reader: texts.TextReader,
        wall: clocks.WallClock,
        rng: random.Random,
    ) -> None:
        journals = _JournalFactory(log, reader, settings, wall, rng)
        self._tenures = [
            _Tenure(partition, items, journals) for partition in archive_
        ]
        self._leases = [
            leases.PartitionLease(
                log,
                tenure.partition.tail,
                member,
                tenure,
                settings.call_size,
                wall,
                rng,
                self.count_held,
            )
            for tenure in self._tenures
        ]
        for tenure, lease in zip(self._tenures, self._leases, strict=True):
            tenure.partition.lease = lease

    def count_held(self) -> int:
        """Returns how many partitions this process holds."""
        return sum(tenure.journal is not None for tenure in self._tenures)

    async def run(self) -> None:
        """Claims partitions and keeps long texts until cancelled."""
        async with asyncio.TaskGroup() as group:
            for lease in self._leases:
                group.create_task(lease.run())
            group.create_task(self._keep_long_texts())

    async def resign(self) -> None:
        """Hands every partition on, with the texts begun."""
        try:
            async with asyncio.timeout(_RESIGN_TIMEOUT):
                for tenure, lease in zip(
                    self._tenures, self._leases, strict=True
                ):
                    await tenure.hand_on()
                    await lease.resign()
        except TimeoutError:
            _LOG.warning(
                'resignation-timeout', extra={'held': self.count_held()}
            )

    async def _keep_long_texts(self) -> None:
        """Writes texts under way from time to time.

        A holder that dies then costs its runs little more than the interval.
        """
        while True:
            await asyncio.sleep(_DRAFT_INTERVAL)
            for tenure in self._tenures:
                await tenure.keep_texts(_DRAFT_EVENTS)


class _JournalFactory:
    """Makes the journals of the partitions that this process gains."""

    def __init__(
        self,
        log: base.PartitionLog,
        reader: texts.TextReader,
        settings: AppendLimits,
        wall: clocks.WallClock,
        rng: random.Random,
    ) -> None:
        self._log = log
        self._reader = reader
        self._settings = settings
        self._wall = wall
        self._rng = rng

    def make(
        self, index: writers.FencedWriter
    ) -> tuple[journal.Journal, texts.TextWriter]:
        """Returns the journal and the writer of its texts, yet to be run."""
        writer = writers.FencedWriter(
            self._log,
            base.Partition(texts.TOPIC, index.partition.number),
            index.epoch,
            self._rng.getrandbits(leases.SEQUENCE_BITS),
            self._settings.call_size,
        )
        kept = texts.TextWriter(
            writer, self._reader, self._settings.record_size, self._wall
        )
        made = journal.Journal(index, kept, self._settings.record_size)
        return made, kept


class _Tenure(leases.LeaseListener):
    """The work on one partition while this process holds it."""

    def __init__(
        self,
        partition: archive.ArchivePartition,
        items: runner.ItemRunner,
        journals: _JournalFactory,
    ) -> None:
        self.partition = partition
        self.journal: journal.Journal | None = None
        self._runner = items
        self._journals = journals
        self._texts: texts.TextWriter | None = None
        self._text_work: asyncio.Task[None] | None = None
        self._writes: set[asyncio.Task[None]] = set()
        partition.add_listener(self._note_change)

    @property
    def busy(self) -> bool:
        """Whether submissions are run here."""
        return bool(self._runner.find_batches(self.partition.log_partition))

    def handle_acquisition(self, writer: writers.FencedWriter) -> None:
        """Runs what is open."""
        self.journal, self._texts = self._journals.make(writer)
        self._text_work = asyncio.get_running_loop().create_task(
            self._write_until_lost(self._texts)
        )
        for entry in self.partition.state:
            self._runner.add(entry, self.journal)

    def handle_loss(self, reason: str) -> None:
        """Stops every run."""
        _LOG.warning(
            'partition-lost',
            extra={
                'partition': str(self.partition.log_partition),
                'reason': reason,
            },
        )
        self._stop_runs()
        if self._text_work is not None and self._texts is not None:
            self._text_work.cancel()
            self._texts.abandon(base.Fault(base.FaultKind.FENCED, reason))

    async def hand_on(self) -> None:
        """Stops every run and keeps the texts begun."""
        journal_ = self.journal
        if journal_ is None:
            return
        for batch in self._stop_runs():
            await self._keep_drafts(batch, journal_, 1)

    async def keep_texts(self, new_events: int) -> None:
        """Keeps the texts that have grown by ``new_events`` or more."""
        journal_ = self.journal
        if journal_ is None:
            return
        for batch in self._runner.find_batches(self.partition.log_partition):
            await self._keep_drafts(batch, journal_, new_events)

    async def _write_until_lost(self, kept: texts.TextWriter) -> None:
        fault = await kept.run()
        if self.partition.lease is not None:
            # Without its texts the partition can't be worked on either.
            self.partition.lease.drop(
                f'texts can not be written: {fault.detail}'
            )

    def _stop_runs(self) -> list[batches.Batch]:
        self.journal = None
        stopped = self._runner.find_batches(self.partition.log_partition)
        for batch in stopped:
            self._runner.drop(batch.entry.submission.submission_id)
        return stopped

    def _note_change(
        self, partition: archive.ArchivePartition, entry: fold.Entry
    ) -> None:
        journal_ = self.journal
        if journal_ is None:
            return
        if entry.open:
            self._runner.add(entry, journal_)
            return
        batch = self._runner.drop(entry.submission.submission_id)
        if batch is not None and entry.ended:
            # A later submission may hold the same groups.
            task = asyncio.get_running_loop().create_task(
                self._keep_drafts(batch, journal_, 1)
            )
            self._writes.add(task)
            task.add_done_callback(self._writes.discard)

    async def _keep_drafts(
        self,
        batch: batches.Batch,
        journal_: journal.Journal,
        new_events: int,
    ) -> None:
        drafts = batch.make_drafts(new_events)
        if not drafts:
            return
        submission_id = batch.entry.submission.submission_id
        match await journal_.store_drafts(submission_id, drafts):
            case Result(tag='error', error=fault):
                _LOG.info(
                    'drafts-dropped',
                    extra={
                        'submission': submission_id,
                        'reason': fault.detail,
                    },
                )
