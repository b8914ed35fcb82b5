"""Holds partitions of submissions: fences, takes over, hands back."""

import asyncio
import logging

from expression import Result

from waxwingport.log import base
from waxwingport.log import groups
from waxwingport.log import writers
from waxwingport.submissions import archive
from waxwingport.submissions import fold
from waxwingport.submissions import records
from waxwingport.submissions import runner

__all__ = ['Holder']

_RETRY_INTERVAL = 0.2
"""Seconds before a partition is asked for again."""
_REACH_TIMEOUT = 5.0
"""Seconds to read a partition up to its end before the end is asked again."""

_DRAFT_INTERVAL = 1.0
"""Seconds between looks for texts to keep."""
_DRAFT_EVENTS = 20
"""Events that a text has grown by before it is kept again: most texts end
before, the long ones decide when a step is whole."""

_LOG = logging.getLogger(__name__)


class Holder(groups.AssignmentListener):
    """Runs the submissions of the partitions that this node is assigned.

    A later holder fences this one in the log, so that two that both believe
    to hold a partition can run an item twice but never list it twice.
    """

    def __init__(
        self,
        log: base.PartitionLog,
        shelves: archive.Archive,
        items: runner.ItemRunner,
        call_size: int,
        record_size: int,
    ) -> None:
        self._log = log
        self._runner = items
        self._call_size = call_size
        self._record_size = record_size
        self._shelves = {shelf.partition: shelf for shelf in shelves}
        self._tenures: dict[base.Partition, asyncio.Task[None]] = {}
        self._writers: dict[base.Partition, writers.FencedWriter] = {}
        self._writes: set[asyncio.Task[None]] = set()
        self._assignment = base.Assignment(base.Generation(0), frozenset())
        for shelf in shelves:
            shelf.add_listener(self._note_change)

    def assign(self, assignment: base.Assignment) -> None:
        """Takes up the partitions gained and gives up those lost."""
        self._assignment = assignment
        wanted = assignment.partitions & self._shelves.keys()
        for partition in self._tenures.keys() - wanted:
            self._tenures.pop(partition).cancel()
        for partition in wanted - self._tenures.keys():
            work = self._hold(self._shelves[partition])
            self._tenures[partition] = asyncio.get_running_loop().create_task(
                work
            )

    async def release(self, lost: frozenset[base.Partition]) -> None:
        """Keeps the texts begun, so that the next holder goes on from them."""
        for partition in lost & self._writers.keys():
            for batch in self._runner.find_batches(partition):
                self._runner.drop(batch.entry.submission.submission_id)
                await self._write_drafts(batch)

    def close(self) -> None:
        """Gives every partition up at once."""
        for task in (*self._tenures.values(), *self._writes):
            task.cancel()

    async def keep_long_texts(self) -> None:
        """Writes texts under way from time to time until cancelled.

        A holder that dies then costs its runs little more than the interval.
        """
        while True:
            await asyncio.sleep(_DRAFT_INTERVAL)
            for partition in list(self._writers):
                for batch in self._runner.find_batches(partition):
                    await self._write_drafts(batch, _DRAFT_EVENTS)

    async def _hold(self, shelf: archive.Shelf) -> None:
        """Holds one partition until cancelled, through losses."""
        epoch = base.Generation(0)
        while True:
            if self._assignment.generation <= epoch:
                # This epoch was fenced: only a later assignment helps.
                await asyncio.sleep(_RETRY_INTERVAL)
                continue
            epoch = self._assignment.generation
            writer = writers.FencedWriter(
                self._log, shelf.partition, epoch, self._call_size
            )
            if not await self._take_over(shelf, writer):
                continue
            try:
                fault = await self._serve(shelf, writer)
            finally:
                self._stop(shelf)
            _LOG.warning(
                'partition-lost',
                extra={
                    'partition': str(shelf.partition),
                    'epoch': epoch,
                    'reason': fault.detail,
                },
            )

    async def _take_over(
        self, shelf: archive.Shelf, writer: writers.FencedWriter
    ) -> bool:
        """Fences earlier holders and reads all that they wrote."""
        while True:
            match await writer.fence():
                case Result(tag='ok', ok=end):
                    pass
                case Result(error=fault):
                    if fault.kind is base.FaultKind.FENCED:
                        return False
                    await asyncio.sleep(_RETRY_INTERVAL)
                    continue
            if await shelf.tail.reach(end, _REACH_TIMEOUT):
                break
        _LOG.info(
            'partition-held',
            extra={
                'partition': str(shelf.partition),
                'epoch': writer.epoch,
                'position': end,
            },
        )
        return True

    async def _serve(
        self, shelf: archive.Shelf, writer: writers.FencedWriter
    ) -> base.Fault:
        self._writers[shelf.partition] = writer
        for entry in shelf.state:
            self._runner.add(entry, writer)
        return await writer.run()

    def _stop(self, shelf: archive.Shelf) -> None:
        writer = self._writers.pop(shelf.partition)
        for batch in self._runner.find_batches(shelf.partition):
            self._runner.drop(batch.entry.submission.submission_id)
        writer.abandon(base.Fault(base.FaultKind.FENCED, 'partition given up'))

    def _note_change(self, shelf: archive.Shelf, entry: fold.Entry) -> None:
        writer = self._writers.get(shelf.partition)
        if writer is None:
            return
        if entry.open:
            self._runner.add(entry, writer)
            return
        batch = self._runner.drop(entry.submission.submission_id)
        if batch is not None and entry.ended:
            # A later submission may hold the same groups.
            task = asyncio.get_running_loop().create_task(
                self._write_drafts(batch)
            )
            self._writes.add(task)
            task.add_done_callback(self._writes.discard)

    async def _write_drafts(
        self, batch: runner.Batch, new_events: int = 1
    ) -> None:
        """Writes the texts that have grown by ``new_events`` or more."""
        drafts = batch.make_drafts(new_events)
        if not drafts:
            return
        submission_id = batch.entry.submission.submission_id
        rows = records.encode(
            records.Drafted(submission_id, drafts), self._record_size
        )
        match await batch.writer.write(rows):
            case Result(tag='error', error=fault):
                _LOG.info(
                    'drafts-dropped',
                    extra={
                        'submission': submission_id,
                        'reason': fault.detail,
                    },
                )
