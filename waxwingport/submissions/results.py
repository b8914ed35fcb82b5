"""Stores the results of items and records the outcome."""

import asyncio
from collections.abc import Coroutine
import logging

from expression import Result

from waxwingport.log import base
from waxwingport import metrics
from waxwingport.submissions import model
from waxwingport.submissions import runs

__all__ = ['ResultWriter']

_LOG = logging.getLogger(__name__)


class ResultWriter:
    """Writes results to the journals of submissions."""

    def __init__(self, counters: metrics.Metrics) -> None:
        self._metrics = counters
        self._writes: set[asyncio.Task[None]] = set()

    async def store(
        self, submission_run: runs.SubmissionRun, result: model.ItemResult
    ) -> None:
        """Stores a result; returns once its outcome is known."""
        submission_id = submission_run.entry.submission.submission_id
        storing = submission_run.journal.store_result(submission_id, result)
        await self._complete_write(submission_run, result, storing)

    async def store_reused(
        self, submission_run: runs.SubmissionRun, reused: model.FinishedItem
    ) -> None:
        """Stores the result that an earlier submission has of an item."""
        submission_id = submission_run.entry.submission.submission_id
        storing = submission_run.journal.store_finished_item(
            submission_id, reused
        )
        await self._complete_write(submission_run, reused, storing)

    async def _complete_write(
        self,
        submission_run: runs.SubmissionRun,
        result: model.ItemResult | model.FinishedItem,
        storing: Coroutine[None, None, Result[None, base.Fault]],
    ) -> None:
        """Waits until a result is written and records the outcome.

        The write continues if the submission's run is dropped meanwhile: the
        record of the last result is often read back before the log has
        confirmed it, and reading it drops the run.
        """

        async def write() -> None:
            self._record_outcome(submission_run, result, await storing)

        task = asyncio.get_running_loop().create_task(write())
        self._writes.add(task)
        task.add_done_callback(self._writes.discard)
        await asyncio.shield(task)

    def _record_outcome(
        self,
        submission_run: runs.SubmissionRun,
        result: model.ItemResult | model.FinishedItem,
        done: Result[None, base.Fault],
    ) -> None:
        submission_id = submission_run.entry.submission.submission_id
        match done:
            case Result(tag='ok'):
                submission_run.started.pop(result.item_id, None)
                self._metrics.count(
                    'waxwingport_items_listed_total',
                    'Items whose result was stored, by state.',
                    state=result.state.value,
                )
                _LOG.info(
                    'item-listed',
                    extra={
                        'submission': submission_id,
                        'item': result.item_id,
                        'state': result.state.value,
                        'versions': result.versions,
                    },
                )
            case Result(error=fault):
                _LOG.warning(
                    'result-dropped',
                    extra={
                        'submission': submission_id,
                        'item': result.item_id,
                        'reason': fault.detail,
                    },
                )
