"""Runs the items of the submissions whose partition this node holds."""

import asyncio
from collections.abc import Coroutine
from collections.abc import Sequence
import functools
import logging
import random

from expression import Result

from waxwingport import clocks
from waxwingport.fleet import model as fleet
from waxwingport.fleet import registry
from waxwingport.gateway import routes
from waxwingport import ids
from waxwingport.log import base
from waxwingport import metrics
from waxwingport.submissions import archive
from waxwingport.submissions import batches
from waxwingport.submissions import fold
from waxwingport.submissions import generation
from waxwingport.submissions import journal
from waxwingport.submissions import model
from waxwingport.submissions import order
from waxwingport.submissions import placement
from waxwingport.submissions import scores
from waxwingport.submissions import texts

__all__ = ['ItemRunner']

_DISPATCH_INTERVAL_S = 0.05
"""Longest time between two attempts to start waiting items: the estimates of
load and the avoidance of targets change with time alone."""
_RETRY_DELAYS_S = {
    generation.End.BROKEN: 0.02,
    generation.End.FAILED: 0.1,
    generation.End.OUTDATED: 0.2,
}
"""Delay before an item is run again, by how its last run ended.  An engine
with outdated weights is loading new ones, or its entry is about to show that
it lacks them."""

_RESTORE_TIMEOUT_S = 1.0
"""Bounds the read of drafts; most of them could be generated again in a few
times as long."""
_EXPECTED_EVENTS = 25
"""Events expected of an item: the mean of the trainers' specifications."""

_LOG = logging.getLogger(__name__)


class ItemRunner:
    """Starts waiting items on free engine slots and stores their results."""

    def __init__(
        self,
        generator: generation.Generator,
        scorer: scores.Scorer,
        targets: registry.Registry,
        archive_: archive.Archive,
        reader: texts.TextReader,
        find_route: scores.FindRoute,
        local_data_centre: ids.DataCentre,
        wall_clock: clocks.WallClock,
        rng: random.Random,
        counters: metrics.Metrics,
    ) -> None:
        self._metrics = counters
        self._rng = rng
        self._generator = generator
        self._scorer = scorer
        self._targets = targets
        self._archive = archive_
        self._texts = reader
        self._find_route = find_route
        self._local_data_centre = local_data_centre
        self._wall_clock = wall_clock
        self._batches: dict[model.SubmissionId, batches.Batch] = {}
        self._prompt_caches: dict[ids.GroupId, set[fleet.InstanceId]] = {}
        self._writes: set[asyncio.Task[None]] = set()
        self._wake = asyncio.Event()

    def add(self, entry: fold.Entry, journal_: journal.Journal) -> None:
        """Starts to run the items of a submission that have no result.

        Has no effect if it is run already or needs no more results.  Results
        and drafts of an earlier submission's items are reused.
        """
        submission_id = entry.submission.submission_id
        if submission_id in self._batches or not entry.open:
            return
        carried = frozenset(
            item.group
            for item in entry.submission.items
            if self._was_seen_before(item, submission_id)
        )
        jobs = {
            item.item_id: batches.Job(item, generation.Text([], []))
            for item in entry.find_unlisted()
        }
        batch = batches.Batch(
            entry,
            journal_,
            jobs,
            order.rank_groups(entry.submission.items, carried),
            set(),
            {},
        )
        self._batches[submission_id] = batch
        _LOG.info(
            'submission-started',
            extra={
                'submission': submission_id,
                'waiting': len(jobs),
                'epoch': journal_.epoch,
                'carried_groups': len(carried),
            },
        )
        self._reuse_results(batch)
        self._resume_drafts(batch)
        self._wake.set()

    def count_waiting(self) -> int:
        """Returns the number of items that wait for a slot."""
        return sum(len(batch.waiting) for batch in self._batches.values())

    def drop(self, submission_id: model.SubmissionId) -> batches.Batch | None:
        """Stops a submission's runs; returns its batch if it has one."""
        batch = self._batches.pop(submission_id, None)
        if batch is None:
            return None
        for task in batch.tasks:
            task.cancel()
        for item in batch.entry.submission.items:
            self._prompt_caches.pop(item.group, None)
        _LOG.info(
            'submission-stopped',
            extra={
                'submission': submission_id,
                'running': len(batch.tasks),
                'waiting': len(batch.waiting),
            },
        )
        return batch

    def find_batches(self, partition: base.Partition) -> list[batches.Batch]:
        """Returns the batches of a partition's submissions."""
        return [
            batch
            for batch in self._batches.values()
            if batch.journal.partition == partition
        ]

    def wake(self) -> None:
        """Makes ``run`` try to start waiting items soon."""
        self._wake.set()

    async def run(self) -> None:
        """Starts items until cancelled."""
        while True:
            self._dispatch()
            self._wake.clear()
            if any(batch.waiting for batch in self._batches.values()):
                try:
                    async with asyncio.timeout(_DISPATCH_INTERVAL_S):
                        await self._wake.wait()
                except TimeoutError:
                    continue
            else:
                await self._wake.wait()

    def _was_seen_before(
        self, item: model.Item, submission_id: model.SubmissionId
    ) -> bool:
        return any(
            entry.submission.submission_id != submission_id
            for entry in self._archive.find_with_item(item.item_id)
        )

    def _reuse_results(self, batch: batches.Batch) -> None:
        """Lists the results of items that an earlier submission completed."""
        submission = batch.entry.submission
        for job in list(batch.waiting.values()):
            known = self._archive.find_result(job.item.item_id)
            route = self._find_route(submission.host, job.item.path)
            if known is None or route is None:
                continue
            if generation.is_usable(
                known.versions,
                submission.minimum_version,
                route.single_version,
            ):
                self._spawn(batch, job, self._list_known(batch, known))

    def _resume_drafts(self, batch: batches.Batch) -> None:
        """Delays items with a usable draft until the draft's text is read."""
        minimum = batch.entry.submission.minimum_version
        usable: dict[model.ItemId, model.StoredDraft] = {}
        for item_id in batch.waiting:
            draft = self._archive.find_draft(item_id)
            if draft and generation.is_usable(draft.versions, minimum, False):
                usable[item_id] = draft
        if usable:
            jobs = [batch.waiting.pop(item_id) for item_id in usable]
            self._track(
                batch, self._restore(batch, jobs, list(usable.values()))
            )

    async def _restore(
        self,
        batch: batches.Batch,
        jobs: Sequence[batches.Job],
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
                    job.stored_events = len(events)
                case Result(tag='error'):
                    # The item starts anew, which costs time only.
                    unread += 1
            batch.waiting[job.item.item_id] = job
        _LOG.info(
            'drafts-restored',
            extra={
                'submission': batch.entry.submission.submission_id,
                'restored': len(jobs) - unread,
                'unread': unread,
            },
        )
        self._wake.set()

    def _dispatch(self) -> None:
        now = asyncio.get_running_loop().time()
        jobs: dict[tuple[model.SubmissionId, model.ItemId], batches.Job] = {}
        for batch in list(self._batches.values()):
            for item_id, job in list(batch.waiting.items()):
                if self._is_too_old(batch, job):
                    self._spawn(
                        batch, job, self._give_up(batch, job, 'too old')
                    )
                    continue
                if job.not_before <= now:
                    key = (batch.entry.submission.submission_id, item_id)
                    jobs[key] = job
        if not jobs:
            return
        for candidate in order.sort_candidates(
            [self._describe(key[0], job) for key, job in jobs.items()]
        ):
            batch = self._batches[candidate.submission_id]
            self._try_start(
                batch, jobs[candidate.submission_id, candidate.item_id]
            )

    def _describe(
        self, submission_id: model.SubmissionId, job: batches.Job
    ) -> order.Candidate:
        batch = self._batches[submission_id]
        submission = batch.entry.submission
        route = self._find_route(submission.host, submission.path)
        run_target = route.run_target if route else 0.0
        tokens = job.item.expected_tokens or job.item.tokens
        return order.Candidate(
            submission_id,
            job.item.item_id,
            job.item.group,
            submission.accepted_at + run_target,
            batch.ranks[job.item.group],
            submission.target_groups,
            route.priority if route else 0,
            tokens,
        )

    def _is_too_old(self, batch: batches.Batch, job: batches.Job) -> bool:
        submission = batch.entry.submission
        route = self._find_route(submission.host, job.item.path)
        age = self._wall_clock.read() - submission.accepted_at
        return route is not None and age > route.retention

    def _try_start(self, batch: batches.Batch, job: batches.Job) -> None:
        submission = batch.entry.submission
        route = self._find_route(submission.host, job.item.path)
        if route is None:
            return
        now = asyncio.get_running_loop().time()
        ready = self._find_ready(route)
        eligible = placement.find_eligible(
            ready, submission.model, submission.minimum_version, now
        )
        if route.single_version:
            eligible = _select_same_version(job, eligible, submission.model)
        cached_at = self._prompt_caches.setdefault(job.item.group, set())
        target = placement.choose_engine(
            eligible,
            self._local_data_centre,
            frozenset(cached_at),
            now,
            self._rng,
        )
        if target is None:
            return
        cached_at.add(target.entry.instance)
        _LOG.info(
            'item-started',
            extra={
                'submission': submission.submission_id,
                'item': job.item.item_id,
                'instance': target.entry.instance,
                'fitting': len(eligible),
                'ready': len(ready),
                'load': round(target.compute_load(now), 2),
                'load_age_s': target.compute_load_age(now),
                'version': target.versions.get(submission.model),
                'minimum_version': submission.minimum_version,
                'after_event': len(job.text.events),
            },
        )
        slot = batches.Slot(target)
        task = self._spawn(batch, job, self._run_item(batch, job, slot, route))
        # A task that is cancelled before it starts does not release the slot.
        task.add_done_callback(lambda _: slot.release())

    def _find_ready(self, route: routes.Route) -> list[fleet.Target]:
        services = {share.service for share in route.shares if share.weight}
        return [
            target
            for service in services
            for target in self._targets.find_ready(service)
        ]

    def _may_move(
        self, batch: batches.Batch, job: batches.Job, target: fleet.Target
    ) -> bool:
        submission = batch.entry.submission
        route = self._find_route(submission.host, job.item.path)
        if route is None or route.single_version:
            return False
        now = asyncio.get_running_loop().time()
        eligible = placement.find_eligible(
            self._find_ready(route),
            submission.model,
            submission.minimum_version,
            now,
        )
        return placement.should_move(
            target, eligible, len(job.text.events), _EXPECTED_EVENTS, now
        )

    def _spawn(
        self,
        batch: batches.Batch,
        job: batches.Job,
        work: Coroutine[None, None, None],
    ) -> asyncio.Task[None]:
        batch.waiting.pop(job.item.item_id, None)
        batch.drafts[job.item.item_id] = job
        task = self._track(batch, work)
        task.add_done_callback(lambda _: self._wake.set())
        return task

    def _track(
        self, batch: batches.Batch, work: Coroutine[None, None, None]
    ) -> asyncio.Task[None]:
        task = asyncio.get_running_loop().create_task(work)
        batch.tasks.add(task)
        task.add_done_callback(batch.tasks.discard)
        return task

    async def _run_item(
        self,
        batch: batches.Batch,
        job: batches.Job,
        slot: batches.Slot,
        route: routes.Route,
    ) -> None:
        outcome = await self._generator.run(
            generation.Run(
                batch.entry.submission,
                job.item,
                job.text,
                slot.target,
                route.single_version,
                route.priority,
                functools.partial(self._may_move, batch, job, slot.target),
            )
        )
        slot.release()
        self._count_run(outcome)
        match outcome:
            case Result(tag='ok'):
                self._wake.set()
                await self._finish(batch, job)
                return
            case Result(error=(end, detail)):
                pass
        _LOG.info(
            'item-interrupted',
            extra={
                'submission': batch.entry.submission.submission_id,
                'item': job.item.item_id,
                'instance': slot.target.entry.instance,
                'end': end.value,
                'reason': detail,
                'events': len(job.text.events),
            },
        )
        await self._run_again(batch, job, route, end)

    def _count_run(self, outcome: generation.Outcome) -> None:
        match outcome:
            case Result(tag='ok'):
                end = generation.End.COMPLETE
            case Result(error=(end, _)):
                pass
        self._metrics.count(
            'waxwingport_item_runs_total',
            'Runs of items by how they ended.',
            end=end.value,
        )

    async def _run_again(
        self,
        batch: batches.Batch,
        job: batches.Job,
        route: routes.Route,
        end: generation.End,
    ) -> None:
        if end is generation.End.IMPOSSIBLE:
            await self._give_up(batch, job, 'engine can never run it')
            return
        now = asyncio.get_running_loop().time()
        job.not_before = now + _RETRY_DELAYS_S.get(end, 0.0)
        if end is generation.End.FAILED:
            job.failures += 1
        if job.failures >= route.max_attempts:
            await self._give_up(batch, job, f'failed {job.failures} times')
            return
        batch.waiting[job.item.item_id] = job
        self._wake.set()

    async def _finish(self, batch: batches.Batch, job: batches.Job) -> None:
        score = None
        if job.item.reward is not None:
            score = await self._scorer.fetch(job.item.reward)
            if score is None:
                await self._give_up(
                    batch, job, 'no score after too many failures'
                )
                return
        await self._write(
            batch,
            model.ItemResult(
                job.item.item_id,
                model.ItemState.COMPLETED,
                tuple(job.text.events),
                tuple(job.text.versions),
                score,
            ),
        )

    async def _give_up(
        self, batch: batches.Batch, job: batches.Job, reason: str
    ) -> None:
        _LOG.warning(
            'item-given-up',
            extra={
                'submission': batch.entry.submission.submission_id,
                'item': job.item.item_id,
                'reason': reason,
                'failures': job.failures,
            },
        )
        result = model.ItemResult(
            job.item.item_id, model.ItemState.ERRORED, (), (), None
        )
        await self._write(batch, result)

    async def _write(
        self, batch: batches.Batch, result: model.ItemResult
    ) -> None:
        submission_id = batch.entry.submission.submission_id
        work = batch.journal.list_item(submission_id, result)
        await self._complete_write(batch, result, work)

    async def _list_known(
        self, batch: batches.Batch, known: model.ListedItem
    ) -> None:
        submission_id = batch.entry.submission.submission_id
        work = batch.journal.list_stored_result(submission_id, known)
        await self._complete_write(batch, known, work)

    async def _complete_write(
        self,
        batch: batches.Batch,
        result: model.ItemResult | model.ListedItem,
        work: Coroutine[None, None, Result[None, base.Fault]],
    ) -> None:
        """Waits for a write and records its outcome.

        The write continues if the batch is dropped meanwhile: the batch's
        last record is often read back before the log has confirmed it, and
        that ends the batch.
        """

        async def write() -> None:
            self._record_outcome(batch, result, await work)

        task = asyncio.get_running_loop().create_task(write())
        self._writes.add(task)
        task.add_done_callback(self._writes.discard)
        await asyncio.shield(task)

    def _record_outcome(
        self,
        batch: batches.Batch,
        result: model.ItemResult | model.ListedItem,
        done: Result[None, base.Fault],
    ) -> None:
        submission_id = batch.entry.submission.submission_id
        match done:
            case Result(tag='ok'):
                batch.drafts.pop(result.item_id, None)
                self._metrics.count(
                    'waxwingport_items_listed_total',
                    'Items listed by their state.',
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


def _select_same_version(
    job: batches.Job, eligible: list[fleet.Target], name: str
) -> list[fleet.Target]:
    """Returns the engines with the version that generated the text so far.

    Discards the text and returns all of ``eligible`` if none has it any more.
    """
    versions = job.text.versions
    if not versions:
        return eligible
    same = [
        target
        for target in eligible
        if target.versions.get(name) == versions[-1]
    ]
    if same:
        return same
    job.start_over()
    return eligible
