"""Holds partitions of submissions: takes them over, hands them on."""

import asyncio
import logging
import random

from expression import Result
import msgspec

from waxwingport.log import base
from waxwingport.log import leases
from waxwingport.log import writers
from waxwingport.submissions import archive
from waxwingport.submissions import batches
from waxwingport.submissions import fold
from waxwingport.submissions import records
from waxwingport.submissions import runner

__all__ = ['Holder', 'HolderSettings']

_DRAFT_INTERVAL = 1.0
"""Seconds between looks for texts to keep."""
_DRAFT_EVENTS = 20
"""Events that a text has grown by before it is kept again: most texts end
before, the long ones decide when a step is whole."""
_RESIGN_TIMEOUT = 1.0
"""Seconds for handing a partition on before a stop."""

_LOG = logging.getLogger(__name__)


class HolderSettings(msgspec.Struct, frozen=True):
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
        shelves: archive.Archive,
        items: runner.ItemRunner,
        settings: HolderSettings,
        member: base.MemberName,
        rng: random.Random,
    ) -> None:
        self._tenures = [
            _Tenure(shelf, items, settings.record_size) for shelf in shelves
        ]
        self._leases = [
            leases.PartitionLease(
                log,
                tenure.shelf.tail,
                member,
                tenure,
                settings.call_size,
                rng,
                self.count_held,
            )
            for tenure in self._tenures
        ]
        for tenure, lease in zip(self._tenures, self._leases, strict=True):
            tenure.shelf.lease = lease

    def count_held(self) -> int:
        """Returns how many partitions this process holds."""
        return sum(tenure.writer is not None for tenure in self._tenures)

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


class _Tenure(leases.LeaseListener):
    """The work on one partition while this process holds it."""

    def __init__(
        self,
        shelf: archive.Shelf,
        items: runner.ItemRunner,
        record_size: int,
    ) -> None:
        self.shelf = shelf
        self.writer: writers.FencedWriter | None = None
        self._runner = items
        self._record_size = record_size
        self._writes: set[asyncio.Task[None]] = set()
        shelf.add_listener(self._note_change)

    def gain(self, writer: writers.FencedWriter) -> None:
        """Runs what is open."""
        self.writer = writer
        for entry in self.shelf.state:
            self._runner.add(entry, writer)

    def lose(self, reason: str) -> None:
        """Stops every run."""
        _LOG.warning(
            'partition-lost',
            extra={'partition': str(self.shelf.partition), 'reason': reason},
        )
        self._stop_runs()

    async def hand_on(self) -> None:
        """Stops every run and keeps the texts begun."""
        writer = self.writer
        if writer is None:
            return
        for batch in self._stop_runs():
            await self._write_texts(batch, writer, 1)

    async def keep_texts(self, new_events: int) -> None:
        """Writes the texts that have grown by ``new_events`` or more."""
        writer = self.writer
        if writer is None:
            return
        for batch in self._runner.find_batches(self.shelf.partition):
            await self._write_texts(batch, writer, new_events)

    def _stop_runs(self) -> list[batches.Batch]:
        self.writer = None
        batches = self._runner.find_batches(self.shelf.partition)
        for batch in batches:
            self._runner.drop(batch.entry.submission.submission_id)
        return batches

    def _note_change(self, shelf: archive.Shelf, entry: fold.Entry) -> None:
        writer = self.writer
        if writer is None:
            return
        if entry.open:
            self._runner.add(entry, writer)
            return
        batch = self._runner.drop(entry.submission.submission_id)
        if batch is not None and entry.ended:
            # A later submission may hold the same groups.
            task = asyncio.get_running_loop().create_task(
                self._write_texts(batch, writer, 1)
            )
            self._writes.add(task)
            task.add_done_callback(self._writes.discard)

    async def _write_texts(
        self,
        batch: batches.Batch,
        writer: writers.FencedWriter,
        new_events: int,
    ) -> None:
        drafts = batch.make_drafts(new_events)
        if not drafts:
            return
        submission_id = batch.entry.submission.submission_id
        rows = records.encode(
            records.Drafted(submission_id, drafts), self._record_size
        )
        match await writer.write(rows):
            case Result(tag='error', error=fault):
                _LOG.info(
                    'drafts-dropped',
                    extra={
                        'submission': submission_id,
                        'reason': fault.detail,
                    },
                )
