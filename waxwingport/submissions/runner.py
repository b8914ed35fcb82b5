"""Runs the items of the submissions whose partition this node holds."""

import asyncio
from collections.abc import Coroutine
from collections.abc import Sequence
import functools
import logging

from expression import Result

from waxwingport import clocks
from waxwingport.fleet import registry
from waxwingport.gateway import routes
from waxwingport.log import base
from waxwingport import metrics
from waxwingport.scheduling import order
from waxwingport.scheduling import placement
from waxwingport.submissions import generation
from waxwingport.submissions import journal
from waxwingport.submissions import model
from waxwingport.submissions import partition_state
from waxwingport.submissions import results
from waxwingport.submissions import runs
from waxwingport.submissions import scores
from waxwingport.submissions import selection
from waxwingport.submissions import texts
from waxwingport.submissions import view
from waxwingport.tenancy import active

__all__ = ['ItemRunner']

_DISPATCH_INTERVAL_S = 0.05
"""Longest time between two attempts to start waiting items.  An engine may
become usable by the passing of time alone, which does not wake the runner."""
_RETRY_DELAYS_S = {
    generation.RunEnd.BROKEN: 0.02,
    generation.RunEnd.FAILED: 0.1,
    generation.RunEnd.OUTDATED: 0.2,
    generation.RunEnd.SILENT: 0.02,
}
"""Delay before an item is run again, by how its last run ended.  After
``OUTDATED`` the engine needs time to load weights, or the registry to show the
engine's version."""
_ERROR_DELAY_S = 1.0
"""Delay before an item is run again after an unexpected error, which may occur
at each run."""
_RESTORE_TIMEOUT_S = 1.0
"""Bounds the read of drafts.  An item whose draft is not read starts anew;
most drafts can be generated anew in a few times this bound."""

_LOG = logging.getLogger(__name__)


_RunKey = tuple[str, model.SubmissionId]
"""Tenant and id: two tenants may have submitted the same id at once, to
different partitions."""


class ItemRunner:
    """Starts waiting items on free engine slots and stores their results."""

    def __init__(
        self,
        generator: generation.ItemGenerator,
        scorer: scores.RewardScorer,
        targets: registry.Registry,
        view_: view.SubmissionView,
        reader: texts.TextReader,
        find_route: scores.FindRoute,
        placer: placement.Placement,
        wall_clock: clocks.WallClock,
        counters: metrics.Metrics,
        tenants: active.ActiveTenants,
    ) -> None:
        self._metrics = counters
        self._tenants = tenants
        self._results = results.ResultWriter(counters)
        self._generator = generator
        self._scorer = scorer
        self._view = view_
        self._texts = reader
        self._find_route = find_route
        self._selector = selection.EngineSelector(
            targets, find_route, placer, tenants
        )
        self._wall_clock = wall_clock
        self._runs: dict[_RunKey, runs.SubmissionRun] = {}
        self._wake = asyncio.Event()

    def add(
        self, entry: partition_state.Entry, journal_: journal.Journal
    ) -> None:
        """Starts to run the items of a submission that have no result.

        Has no effect if the submission is run already or needs no more
        results.  Reuses results and drafts of the same items in earlier
        submissions.
        """
        submission_id = entry.submission.submission_id
        if _make_key(entry.submission) in self._runs or not entry.open:
            return
        resumed_groups = frozenset(
            item.group
            for item in entry.submission.items
            if self._is_in_earlier_submission(item, entry.submission)
        )
        jobs = {
            item.item_id: runs.Job(item, generation.Text([], []))
            for item in entry.find_unfinished()
        }
        submission_run = runs.SubmissionRun(
            entry,
            journal_,
            jobs,
            order.rank_groups(
                runs.find_longest_outputs(entry.submission.items),
                resumed_groups,
            ),
            set(),
            {},
        )
        self._runs[_make_key(entry.submission)] = submission_run
        _LOG.info(
            'submission-started',
            extra={
                'submission': submission_id,
                'waiting': len(jobs),
                'epoch': journal_.epoch,
                'carried_groups': len(resumed_groups),
            },
        )
        self._reuse_results(submission_run)
        self._resume_drafts(submission_run)
        self._wake.set()

    def count_waiting(self) -> int:
        """Returns the number of items that wait for a slot."""
        return sum(
            len(submission_run.waiting)
            for submission_run in self._runs.values()
        )

    def drop(self, submission: model.Submission) -> runs.SubmissionRun | None:
        """Stops a submission's run; returns it, ``None`` if there is none."""
        submission_run = self._runs.pop(_make_key(submission), None)
        if submission_run is None:
            return None
        for task in submission_run.tasks:
            task.cancel()
        self._selector.forget(submission_run)
        _LOG.info(
            'submission-stopped',
            extra={
                'submission': submission.submission_id,
                'running': len(submission_run.tasks),
                'waiting': len(submission_run.waiting),
            },
        )
        return submission_run

    def find_runs(self, partition: base.Partition) -> list[runs.SubmissionRun]:
        """Returns the runs of a partition's submissions."""
        return [
            submission_run
            for submission_run in self._runs.values()
            if submission_run.journal.partition == partition
        ]

    def wake(self) -> None:
        """Makes ``run`` try to start waiting items soon."""
        self._wake.set()

    async def run(self) -> None:
        """Starts items until cancelled."""
        while True:
            self._dispatch()
            self._wake.clear()
            if any(
                submission_run.waiting
                for submission_run in self._runs.values()
            ):
                try:
                    async with asyncio.timeout(_DISPATCH_INTERVAL_S):
                        await self._wake.wait()
                except TimeoutError:
                    continue
            else:
                await self._wake.wait()

    def _is_in_earlier_submission(
        self, item: model.Item, submission: model.Submission
    ) -> bool:
        return any(
            entry.submission.submission_id != submission.submission_id
            for entry in self._view.find_with_item(
                item.item_id, submission.tenant
            )
        )

    def _reuse_results(self, submission_run: runs.SubmissionRun) -> None:
        """Stores the results of items that an earlier submission completed."""
        submission = submission_run.entry.submission
        for job in list(submission_run.waiting.values()):
            reused = self._view.find_result(
                job.item.item_id, submission.tenant
            )
            route = self._find_route(submission.host, job.item.path)
            if reused is None or route is None:
                continue
            if generation.is_usable(
                reused.versions,
                submission.minimum_version,
                route.single_version,
            ):
                self._spawn(
                    submission_run,
                    job,
                    self._results.store_reused(submission_run, reused),
                )

    def _resume_drafts(self, submission_run: runs.SubmissionRun) -> None:
        """Delays items with a usable draft until the draft's text is read."""
        submission = submission_run.entry.submission
        minimum = submission.minimum_version
        usable: dict[model.ItemId, model.StoredDraft] = {}
        for item_id in submission_run.waiting:
            draft = self._view.find_draft(item_id, submission.tenant)
            if (
                draft
                and draft.origin
                and generation.is_usable(draft.versions, minimum, False)
            ):
                usable[item_id] = draft
        if usable:
            jobs = [submission_run.waiting.pop(item_id) for item_id in usable]
            self._track(
                submission_run,
                self._restore(submission_run, jobs, list(usable.values())),
            )

    async def _restore(
        self,
        submission_run: runs.SubmissionRun,
        jobs: Sequence[runs.Job],
        drafts: Sequence[model.StoredDraft],
    ) -> None:
        found = await self._texts.fetch(
            [draft.text for draft in drafts], _RESTORE_TIMEOUT_S
        )
        unread = 0
        for job, draft, outcome in zip(jobs, drafts, found, strict=True):
            match outcome:
                case Result(tag='ok', ok=events):
                    job.text.events.extend(events)
                    job.text.versions.extend(draft.versions)
                    job.text.origin = draft.origin
                    job.stored_events = len(events)
                case Result(tag='error'):
                    # The item starts anew, which only costs time.
                    unread += 1
            submission_run.waiting[job.item.item_id] = job
        _LOG.info(
            'drafts-restored',
            extra={
                'submission': submission_run.entry.submission.submission_id,
                'restored': len(jobs) - unread,
                'unread': unread,
            },
        )
        self._wake.set()

    def _dispatch(self) -> None:
        """Starts waiting items, the most urgent first, while slots are free.

        Engines are compared once for all items of a submission.
        """
        waiting: list[selection.JobKey] = []
        for submission_run in list(self._runs.values()):
            for job in list(submission_run.waiting.values()):
                if self._is_too_old(submission_run, job):
                    self._spawn_give_up(
                        submission_run,
                        job,
                        'older than the retention of its route',
                    )
                else:
                    waiting.append((submission_run, job))
        now = asyncio.get_running_loop().time()
        for choice in self._selector.select(
            waiting, now, self._wall_clock.read()
        ):
            self._start(choice)

    def _is_too_old(
        self, submission_run: runs.SubmissionRun, job: runs.Job
    ) -> bool:
        submission = submission_run.entry.submission
        route = self._find_route(submission.host, job.item.path)
        age = self._wall_clock.read() - submission.accepted_at
        return route is not None and age > route.retention

    def _start(self, choice: selection.Choice) -> None:
        """Starts a job at the engine that was selected for it."""
        slot = runs.EngineSlot(choice.target)
        task = self._spawn(
            choice.submission_run,
            choice.job,
            self._run_item(
                choice.submission_run, choice.job, slot, choice.route
            ),
        )
        # A task that is cancelled before it starts does not release the slot.
        task.add_done_callback(lambda _: slot.release())

    def _spawn_give_up(
        self, submission_run: runs.SubmissionRun, job: runs.Job, reason: str
    ) -> None:
        self._spawn(
            submission_run, job, self._give_up(submission_run, job, reason)
        )

    def _spawn(
        self,
        submission_run: runs.SubmissionRun,
        job: runs.Job,
        coroutine: Coroutine[None, None, None],
    ) -> asyncio.Task[None]:
        submission_run.waiting.pop(job.item.item_id, None)
        submission_run.started[job.item.item_id] = job
        task = self._track(
            submission_run, self._run_guarded(submission_run, job, coroutine)
        )
        task.add_done_callback(lambda _: self._wake.set())
        return task

    async def _run_guarded(
        self,
        submission_run: runs.SubmissionRun,
        job: runs.Job,
        work: Coroutine[None, None, None],
    ) -> None:
        """Runs work on a job; after an unexpected error the job runs again."""
        try:
            await work
        except Exception:
            submission = submission_run.entry.submission
            _LOG.critical(
                'item-task-failed',
                extra={
                    'submission': submission.submission_id,
                    'item': job.item.item_id,
                },
                exc_info=True,
            )
            now = asyncio.get_running_loop().time()
            job.not_before = now + _ERROR_DELAY_S
            job.start_over()
            submission_run.waiting[job.item.item_id] = job

    def _track(
        self,
        submission_run: runs.SubmissionRun,
        coroutine: Coroutine[None, None, None],
    ) -> asyncio.Task[None]:
        task = asyncio.get_running_loop().create_task(coroutine)
        submission_run.tasks.add(task)
        task.add_done_callback(submission_run.tasks.discard)
        return task

    async def _run_item(
        self,
        submission_run: runs.SubmissionRun,
        job: runs.Job,
        slot: runs.EngineSlot,
        route: routes.Route,
    ) -> None:
        submission = submission_run.entry.submission
        outcome = await self._generator.run(
            generation.ItemRun(
                submission,
                job.item,
                job.text,
                slot.target,
                route.single_version,
                self._tenants.compute_priority(route, submission.tenant),
                job.silent_runs,
                functools.partial(
                    self._selector.should_move,
                    submission_run,
                    job,
                    slot.target,
                    len(job.text.events),
                ),
                self._tenants.identify_owner(submission.tenant),
            )
        )
        slot.release()
        self._count_run(outcome)
        match outcome:
            case Result(tag='ok'):
                self._selector.record_length(submission_run, job)
                self._count_cuts(job)
                self._wake.set()
                await self._finish(submission_run, job)
                return
            case Result(error=(end, detail)):
                pass
        _LOG.info(
            'item-interrupted',
            extra={
                'submission': submission.submission_id,
                'item': job.item.item_id,
                'instance': slot.target.entry.instance,
                'end': end.value,
                'reason': detail,
                'events': len(job.text.events),
            },
        )
        if end is generation.RunEnd.TO_FASTER_ENGINE:
            now = asyncio.get_running_loop().time()
            self._selector.record_cut(submission_run, job, slot.target, now)
        await self._run_again(submission_run, job, route, end)

    def _count_cuts(self, job: runs.Job) -> None:
        """Counts the runs of a finished item that this node has ended."""
        now = asyncio.get_running_loop().time()
        for cut in job.cut_runs:
            gain = cut.compute_gain(now, len(job.text.events))
            self._metrics.count(
                'waxwingport_item_cuts_total',
                'Runs that the node ended to move their items, by whether '
                'the item finished sooner than it would have there.',
                paid='yes' if gain > 0.0 else 'no',
            )

    def _count_run(self, outcome: generation.Outcome) -> None:
        match outcome:
            case Result(tag='ok'):
                end = generation.RunEnd.COMPLETE
            case Result(error=(end, _)):
                pass
        self._metrics.count(
            'waxwingport_item_runs_total',
            'Runs of items by how they ended.',
            end=end.value,
        )

    async def _run_again(
        self,
        submission_run: runs.SubmissionRun,
        job: runs.Job,
        route: routes.Route,
        end: generation.RunEnd,
    ) -> None:
        if end is generation.RunEnd.IMPOSSIBLE:
            await self._give_up(
                submission_run,
                job,
                'an engine answered that it can never run the item',
            )
            return
        now = asyncio.get_running_loop().time()
        job.not_before = now + _RETRY_DELAYS_S.get(end, 0.0)
        if end is generation.RunEnd.SILENT:
            job.silent_runs += 1
        if end is generation.RunEnd.FAILED:
            job.failures += 1
        if job.failures >= route.max_attempts:
            await self._give_up(
                submission_run, job, f'failed {job.failures} times'
            )
            return
        submission_run.waiting[job.item.item_id] = job
        self._wake.set()

    async def _finish(
        self, submission_run: runs.SubmissionRun, job: runs.Job
    ) -> None:
        score = None
        if job.item.reward is not None:
            score = await self._scorer.fetch(job.item.reward)
            if score is None:
                await self._give_up(
                    submission_run, job, 'no score after too many failed calls'
                )
                return
        await self._results.store(
            submission_run,
            model.ItemResult(
                job.item.item_id,
                model.ItemState.COMPLETED,
                tuple(job.text.events),
                tuple(job.text.versions),
                score,
            ),
        )

    async def _give_up(
        self, submission_run: runs.SubmissionRun, job: runs.Job, reason: str
    ) -> None:
        _LOG.warning(
            'item-given-up',
            extra={
                'submission': submission_run.entry.submission.submission_id,
                'item': job.item.item_id,
                'reason': reason,
                'failures': job.failures,
            },
        )
        result = model.ItemResult(
            job.item.item_id, model.ItemState.ERRORED, (), (), None
        )
        await self._results.store(submission_run, result)


def _make_key(submission: model.Submission) -> _RunKey:
    return submission.tenant, submission.submission_id
