"""Accepts, reads and ends submissions on behalf of callers."""

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
from waxwingport.submissions import lookups
from waxwingport.submissions import model
from waxwingport.submissions import partition_state
from waxwingport.submissions import records
from waxwingport.submissions import texts
from waxwingport.submissions import view
from waxwingport.tenancy import model as tenancy

__all__ = ['Results', 'SubmissionService']

_APPEND_TIMEOUT_S = 2.5
"""Longest time for which an append is retried.  The log can restart within
it, and callers repeat their calls at longer intervals."""
_TEXT_TIMEOUT_S = 1.0
"""Bounds the read of an answer's texts.  Callers wait a little longer than
this in addition to the time for which a read may wait for results."""
_MAX_ANSWER_BYTES = 500_000
"""Bounds the compressed bytes of texts read for one answer.  More than an
answer of a megabyte can hold, so that this does not make answers smaller."""

_LOG = logging.getLogger(__name__)


class Results(msgspec.Struct, frozen=True):
    """Results of a submission from a position on."""

    total: int
    """Items of the submission, with and without a result."""
    results: Sequence[model.ItemResult]


class SubmissionService:
    """Answers calls about submissions from the view in memory and the log.

    ``identity`` is who calls, ``None`` if no tenants are in force.  A
    submission of another tenant is not found, like one that does not exist.
    ``max_record_bytes`` bounds the bytes of one record of the log.
    """

    def __init__(
        self,
        log: base.PartitionLog,
        view_: view.SubmissionView,
        reader: texts.TextReader,
        max_record_bytes: int,
        wall_clock: clocks.WallClock,
    ) -> None:
        self._log = log
        self._view = view_
        self._lookup = lookups.SubmissionLookup(view_)
        self._texts = reader
        self._max_record_bytes = max_record_bytes
        self._wall_clock = wall_clock

    async def accept(
        self,
        submission: model.Submission,
        timeout: float,
        identity: tenancy.Identity | None = None,
    ) -> Result[None, outcomes.Refusal]:
        """Stores a submission; a repeated call has the same outcome.

        Retries for at most ``timeout`` seconds.  Fails with
        ``LOG_UNAVAILABLE`` if nothing was stored, with ``NOT_FOUND`` if
        another tenant has a submission of this id, with ``UNKNOWN_OUTCOME``
        if the log did not confirm the append.
        """
        partition = self._view.choose_partition(submission)
        match await self._lookup.check_owner(
            submission.submission_id, identity
        ):
            case Result(tag='error', error=refusal):
                return Error(refusal)
        if partition.state.find(submission.submission_id) is not None:
            self._log_accept(submission, partition, repeated=True)
            return Ok(None)
        if not self._view.dependency.available:
            return Error(lookups.refuse('the log is not reachable'))
        outcome = await self._append(
            partition,
            records.Accepted(submission),
            timeout,
            lambda: partition.state.find(submission.submission_id) is not None,
        )
        if outcome.is_ok() and identity is not None:
            outcome = await self._lookup.confirm_owner(
                partition, submission.submission_id, identity
            )
        if outcome.is_ok():
            self._log_accept(submission, partition, repeated=False)
            return Ok(None)
        return outcome

    async def end(
        self,
        submission_id: model.SubmissionId,
        timeout: float,
        identity: tenancy.Identity | None = None,
    ) -> Result[None, outcomes.Refusal]:
        """Ends a submission; a repeated call has the same outcome.

        Retries for at most ``timeout`` seconds.  Fails with ``NOT_FOUND`` if
        there is no such submission, else like ``accept``.
        """
        match await self._lookup.find(submission_id, identity):
            case Result(tag='ok', ok=(partition, entry)):
                pass
            case Result(error=refusal):
                return Error(refusal)
        if entry.ended:
            return Ok(None)
        outcome = await self._append(
            partition,
            records.Ended(submission_id),
            timeout,
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
        self,
        submission_id: model.SubmissionId,
        start: int,
        wait: float,
        identity: tenancy.Identity | None = None,
    ) -> Result[Results, outcomes.Refusal]:
        """Returns results from position ``start`` on, possibly none.

        Waits up to ``wait`` seconds until there is one.  Fails with
        ``NOT_FOUND`` if there is no such submission, with
        ``LOG_UNAVAILABLE`` if the log can't be read.
        """
        match await self._lookup.find(submission_id, identity):
            case Result(tag='ok', ok=(partition, entry)):
                pass
            case Result(error=refusal):
                return Error(refusal)
        if len(entry.results) <= start and wait > 0.0:
            await _wait_for_result(partition, entry, start, wait)
        if len(entry.results) <= start:
            match await self._lookup.catch_up(partition):
                case Result(tag='error', error=refusal):
                    return Error(refusal)
        found = await self._read_texts(entry.results[start:])
        return found.map(lambda results: Results(len(entry.items), results))

    async def read_item(
        self,
        submission_id: model.SubmissionId,
        item_id: model.ItemId,
        identity: tenancy.Identity | None = None,
    ) -> Result[bytes, outcomes.Refusal]:
        """Returns the request body of an item of a submission.

        Fails with ``NOT_FOUND`` if the submission or the item is unknown.
        """
        match await self._lookup.find(submission_id, identity):
            case Result(tag='ok', ok=(_, entry)):
                pass
            case Result(error=refusal):
                return Error(refusal)
        item = entry.items.get(item_id)
        if item is None:
            return Error(
                outcomes.Refusal(
                    outcomes.Reason.NOT_FOUND,
                    f'submission {submission_id!r} has no item {item_id!r}',
                )
            )
        return Ok(item.body)

    async def _read_texts(
        self, finished: Sequence[model.FinishedItem]
    ) -> Result[list[model.ItemResult], outcomes.Refusal]:
        """Returns the first results, as many as fit into one answer.

        Stops before a result whose text can't be read; fails if that is the
        first one.
        """
        selected = _select_by_size(finished)
        found = iter(
            await self._texts.fetch(
                [item.text for item in selected if item.text], _TEXT_TIMEOUT_S
            )
        )
        results: list[model.ItemResult] = []
        for item in selected:
            events: texts.Events = ()
            if item.text is not None:
                match next(found):
                    case Result(tag='ok', ok=events):
                        pass
                    case Result(error=fault) if not results:
                        return Error(lookups.refuse(fault.detail))
                    case _:
                        break
            results.append(
                model.ItemResult(
                    item.item_id, item.state, events, item.versions, item.score
                )
            )
        return Ok(results)

    async def _append(
        self,
        partition: view.SubmissionPartition,
        record: records.Record,
        timeout: float,
        is_done: Callable[[], bool],
    ) -> Result[None, outcomes.Refusal]:
        """Appends a record until the log confirms it or it is read back.

        Reading it back counts, as the log may execute an append whose answer
        is lost.
        """
        encoded = records.encode(record, self._max_record_bytes)
        loop = asyncio.get_running_loop()
        deadline = loop.time() + min(timeout, _APPEND_TIMEOUT_S)
        append = loop.create_task(
            writers.append_with_retries(
                self._log, partition.log_partition, encoded, deadline
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
                return Error(lookups.refuse(fault.detail))
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
        partition: view.SubmissionPartition,
        repeated: bool,
    ) -> None:
        _LOG.info(
            'submission-accepted',
            extra={
                'submission': submission.submission_id,
                'tenant': submission.tenant or None,
                'partition': str(partition.log_partition),
                'step': submission.step,
                'model': submission.model,
                'minimum_version': submission.minimum_version,
                'items': len(submission.items),
                'repeated': repeated,
            },
        )


def _select_by_size(
    finished: Sequence[model.FinishedItem],
) -> list[model.FinishedItem]:
    selected: list[model.FinishedItem] = []
    size = 0
    for item in finished:
        size += item.text.size if item.text else 0
        if selected and size > _MAX_ANSWER_BYTES:
            break
        selected.append(item)
    return selected


async def _wait_until_seen(
    partition: view.SubmissionPartition, is_done: Callable[[], bool]
) -> None:
    while not is_done():
        await partition.tail.wait_for_records()


async def _wait_for_result(
    partition: view.SubmissionPartition,
    entry: partition_state.Entry,
    start: int,
    wait: float,
) -> None:
    try:
        async with asyncio.timeout(wait):
            while len(entry.results) <= start:
                await partition.tail.wait_for_records()
    except TimeoutError:
        return
