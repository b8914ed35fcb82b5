"""What callers ask of submissions: accept, read, end."""

import asyncio
from collections.abc import Callable
from collections.abc import Sequence
import logging

from expression import Error
from expression import Ok
from expression import Result
import msgspec

from waxwingport import clocks
from waxwingport.log import base
from waxwingport.log import writers
from waxwingport import outcomes
from waxwingport.submissions import archive
from waxwingport.submissions import fold
from waxwingport.submissions import model
from waxwingport.submissions import records
from waxwingport.submissions import texts

__all__ = ['SubmissionService', 'Results']

_APPEND_TIME = 2.5
"""Seconds for which an append is repeated: a store that restarts takes about
as long, and the caller's own retry comes later."""
_RETRY_AFTER = 0.5
"""Seconds; about what a node takes to reach a store that is back."""
_READ_TIME = 0.4
"""Seconds to find out whether something is there before saying so."""

_TEXT_TIME = 1.0
"""Seconds to read the texts of an answer; callers wait a little longer after
the time for which a read of results may be held."""
_ANSWER_SIZE = 500_000
"""Bytes of texts, compressed, read for one answer: more than an answer of a
megabyte holds of them."""

_LOG = logging.getLogger(__name__)


class Results(msgspec.Struct, frozen=True):
    """Results from a position on."""

    total: int
    results: Sequence[model.ItemResult]


class SubmissionService:
    """Answers callers from the archive, and writes to the log for them."""

    def __init__(
        self,
        log: base.PartitionLog,
        archive_: archive.Archive,
        reader: texts.TextReader,
        record_size: int,
        wall: clocks.WallClock,
    ) -> None:
        self._log = log
        self._archive = archive_
        self._texts = reader
        self._record_size = record_size
        self._wall = wall

    async def accept(
        self, submission: model.Submission, patience: float
    ) -> Result[None, outcomes.Refusal]:
        """Keeps a submission from now on; repeats have the same outcome.

        ``patience`` is in seconds.
        """
        partition = self._archive.choose_partition(submission)
        if partition.state.find(submission.submission_id) is not None:
            self._log_accept(submission, partition, repeated=True)
            return Ok(None)
        if not self._archive.dependency.available:
            return Error(_refuse('the log is out of reach'))
        outcome = await self._append(
            partition,
            records.Accepted(submission),
            patience,
            lambda: partition.state.find(submission.submission_id) is not None,
        )
        if outcome.is_ok():
            self._log_accept(submission, partition, repeated=False)
            return Ok(None)
        return outcome

    async def end(
        self, submission_id: model.SubmissionId, patience: float
    ) -> Result[None, outcomes.Refusal]:
        """Ends a submission; repeats have the same outcome."""
        match await self._find(submission_id):
            case Result(tag='ok', ok=(partition, entry)):
                pass
            case Result(error=refusal):
                return Error(refusal)
        if entry.ended:
            return Ok(None)
        outcome = await self._append(
            partition,
            records.Ended(submission_id),
            patience,
            lambda: entry.ended,
        )
        if outcome.is_ok():
            _LOG.info(
                'submission-ended',
                extra={
                    'submission': submission_id,
                    'listed': len(entry.results),
                    'total': len(entry.items),
                },
            )
            return Ok(None)
        return outcome

    async def read(
        self, submission_id: model.SubmissionId, after: int, wait: float
    ) -> Result[Results, outcomes.Refusal]:
        """Returns results from position ``after`` on.

        Waits up to ``wait`` seconds until there is one.
        """
        match await self._find(submission_id):
            case Result(tag='ok', ok=(partition, entry)):
                pass
            case Result(error=refusal):
                return Error(refusal)
        if len(entry.results) <= after and wait > 0.0:
            await _wait_for_result(partition, entry, after, wait)
        if len(entry.results) <= after:
            match await self._catch_up(partition):
                case Result(tag='error', error=refusal):
                    return Error(refusal)
        found = await self._read_texts(entry.results[after:])
        return found.map(lambda rows: Results(len(entry.items), rows))

    async def read_item(
        self, submission_id: model.SubmissionId, item_id: model.ItemId
    ) -> Result[bytes, outcomes.Refusal]:
        """Returns the body of an item of a submission."""
        match await self._find(submission_id):
            case Result(tag='ok', ok=(_, entry)):
                pass
            case Result(error=refusal):
                return Error(refusal)
        item = entry.items.get(item_id)
        if item is None:
            return Error(
                outcomes.Refusal(outcomes.Reason.NOT_FOUND, 'no such item')
            )
        return Ok(item.body)

    async def _read_texts(
        self, listed: Sequence[model.ListedItem]
    ) -> Result[list[model.ItemResult], outcomes.Refusal]:
        """Returns the first results, as many as one answer takes.

        Stops before one whose text can't be read; fails if that is the first.
        """
        wanted = _limit_size(listed)
        found = iter(
            await self._texts.fetch(
                [row.text for row in wanted if row.text], _TEXT_TIME
            )
        )
        results: list[model.ItemResult] = []
        for row in wanted:
            events: texts.Events = ()
            if row.text is not None:
                match next(found):
                    case Result(tag='ok', ok=events):
                        pass
                    case Result(error=fault) if not results:
                        return Error(_refuse(fault.detail))
                    case _:
                        break
            results.append(
                model.ItemResult(
                    row.item_id, row.state, events, row.versions, row.score
                )
            )
        return Ok(results)

    async def _find(
        self, submission_id: model.SubmissionId
    ) -> Result[tuple[archive.ArchivePartition, fold.Entry], outcomes.Refusal]:
        try:
            async with asyncio.timeout(_READ_TIME):
                found = await self._archive.find(submission_id)
        except TimeoutError:
            return Error(_refuse('the log did not answer in time'))
        match found:
            case Result(tag='ok', ok=(partition, entry)):
                return Ok((partition, entry))
            case Result(tag='ok'):
                return Error(
                    outcomes.Refusal(
                        outcomes.Reason.NOT_FOUND, 'no such submission'
                    )
                )
            case Result(error=fault):
                return Error(_refuse(fault.detail))

    async def _catch_up(
        self, partition: archive.ArchivePartition
    ) -> Result[None, outcomes.Refusal]:
        freshness = self._archive.settings.freshness
        try:
            async with asyncio.timeout(_READ_TIME):
                found = await partition.tail.catch_up(freshness)
        except TimeoutError:
            return Error(_refuse('the log did not answer in time'))
        return found.map_error(lambda fault: _refuse(fault.detail))

    async def _append(
        self,
        partition: archive.ArchivePartition,
        record: records.Record,
        patience: float,
        is_done: Callable[[], bool],
    ) -> Result[None, outcomes.Refusal]:
        """Appends a record, until the log answers or the record is read back.

        Load pattern: a log that does what it is asked and loses the answer.
        """
        rows = records.encode(record, self._record_size)
        loop = asyncio.get_running_loop()
        deadline = loop.time() + min(patience, _APPEND_TIME)
        append = loop.create_task(
            writers.append_with_retries(
                self._log, partition.log_partition, rows, deadline
            )
        )
        seen = loop.create_task(_wait_until_seen(partition, is_done))
        try:
            await asyncio.wait(
                (append, seen), return_when=asyncio.FIRST_COMPLETED
            )
            if is_done():
                return Ok(None)
            done = await append
        finally:
            append.cancel()
            seen.cancel()
        match done:
            case Result(tag='ok'):
                return Ok(None)
            case Result(error=fault) if fault.had_no_effect:
                return Error(_refuse(fault.detail))
            case Result(error=fault):
                return Error(
                    outcomes.Refusal(
                        outcomes.Reason.UNKNOWN_OUTCOME,
                        fault.detail,
                        outcomes.Ran.UNKNOWN,
                    )
                )

    def _log_accept(
        self,
        submission: model.Submission,
        partition: archive.ArchivePartition,
        repeated: bool,
    ) -> None:
        _LOG.info(
            'submission-accepted',
            extra={
                'submission': submission.submission_id,
                'partition': str(partition.log_partition),
                'step': submission.step,
                'model': submission.model,
                'minimum_version': submission.minimum_version,
                'items': len(submission.items),
                'repeated': repeated,
            },
        )


def _refuse(detail: str) -> outcomes.Refusal:
    return outcomes.Refusal(
        outcomes.Reason.LOG_UNAVAILABLE, detail, retry_after=_RETRY_AFTER
    )


def _limit_size(
    listed: Sequence[model.ListedItem],
) -> list[model.ListedItem]:
    wanted: list[model.ListedItem] = []
    size = 0
    for row in listed:
        size += row.text.size if row.text else 0
        if wanted and size > _ANSWER_SIZE:
            break
        wanted.append(row)
    return wanted


async def _wait_until_seen(
    partition: archive.ArchivePartition, is_done: Callable[[], bool]
) -> None:
    while not is_done():
        await partition.tail.wait_for_records()


async def _wait_for_result(
    partition: archive.ArchivePartition,
    entry: fold.Entry,
    after: int,
    wait: float,
) -> None:
    try:
        async with asyncio.timeout(wait):
            while len(entry.results) <= after:
                await partition.tail.wait_for_records()
    except TimeoutError:
        return
