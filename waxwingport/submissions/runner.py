"""Runs the items of the submissions that this node holds."""

import asyncio
from collections.abc import Callable
from collections.abc import Coroutine
import functools
import logging
import random

from expression import Result
import msgspec

from waxwingport import clocks
from waxwingport.fleet import model as fleet
from waxwingport.fleet import registry
from waxwingport.gateway import calls
from waxwingport.gateway import dialect
from waxwingport.gateway import routes
from waxwingport import ids
from waxwingport.log import base
from waxwingport.log import writers
from waxwingport import metrics
from waxwingport.submissions import archive
from waxwingport.submissions import fold
from waxwingport.submissions import generation
from waxwingport.submissions import model
from waxwingport.submissions import order
from waxwingport.submissions import placement
from waxwingport.submissions import records

__all__ = ['Batch', 'ItemRunner']

_DISPATCH_INTERVAL = 0.05
"""Seconds after which waiting items are looked at again in any case: loads
fade and targets are avoided by time."""
_PAUSES = {
    generation.End.BROKEN: 0.02,
    generation.End.FAILED: 0.1,
    generation.End.OUTDATED: 0.2,
}
"""Seconds before an item runs again, by how its run ended: an engine with old
weights is loading them, or its entry is about to say that it has them not."""
_REWARD_PAUSE = 0.15
"""Seconds before a reward call that got no answer is made again."""

_LOG = logging.getLogger(__name__)

_FAILED = 500
"""Status with which a target says that a run failed."""
_EXPECTED_EVENTS = 25
"""Events expected of an item: the mean of the trainers' sheets."""

FindRoute = Callable[[str, str], routes.Route | None]


class _Job(msgspec.Struct, eq=False):
    """One item to run."""

    item: model.Item
    text: generation.Text
    failures: int = 0
    kept_events: int = 0
    """Events of the text that the log holds."""
    not_before: float = 0.0
    """Loop's time."""


class _Slot:
    """A place at an engine, taken before the run begins there."""

    def __init__(self, target: fleet.Target) -> None:
        self.target = target
        self._held = True
        target.running += 1

    def release(self) -> None:
        """Gives the place back; does nothing the second time."""
        if self._held:
            self._held = False
            self.target.running -= 1


class Batch(msgspec.Struct, eq=False):
    """The items of one submission that this node runs."""

    entry: fold.Entry
    writer: writers.FencedWriter
    waiting: dict[model.ItemId, _Job]
    ranks: dict[ids.GroupId, int]
    tasks: set[asyncio.Task[None]]
    drafts: dict[model.ItemId, _Job]
    """Jobs that have begun and are not listed."""

    def make_drafts(self, new_events: int) -> tuple[model.Draft, ...]:
        """Returns the texts without a result that have grown.

        ``new_events`` is by how many events at least since they were returned
        last.
        """
        grown = [
            job
            for job in self.drafts.values()
            if len(job.text.events) >= job.kept_events + new_events
        ]
        for job in grown:
            job.kept_events = len(job.text.events)
        return tuple(
            model.Draft(
                job.item.item_id,
                tuple(job.text.events),
                tuple(job.text.versions),
            )
            for job in grown
        )


class ItemRunner:
    """Starts waiting items on free slots and writes their results."""

    def __init__(
        self,
        generator: generation.Generator,
        caller: calls.Caller,
        targets: registry.Registry,
        shelves: archive.Archive,
        find_route: FindRoute,
        home: ids.DataCentre,
        record_size: int,
        wall: clocks.WallClock,
        rng: random.Random,
        counters: metrics.Metrics,
    ) -> None:
        self._metrics = counters
        self._rng = rng
        self._generator = generator
        self._caller = caller
        self._targets = targets
        self._archive = shelves
        self._find_route = find_route
        self._home = home
        self._record_size = record_size
        self._wall = wall
        self._batches: dict[model.SubmissionId, Batch] = {}
        self._prompts: dict[ids.GroupId, set[fleet.InstanceId]] = {}
        self._wake = asyncio.Event()

    def add(self, entry: fold.Entry, writer: writers.FencedWriter) -> None:
        """Runs what is left of a submission."""
        submission_id = entry.submission.submission_id
        if submission_id in self._batches or not entry.open:
            return
        carried = frozenset(
            item.group
            for item in entry.submission.items
            if self._was_seen_before(item, submission_id)
        )
        waiting = {
            item.item_id: self._make_job(entry, item)
            for item in entry.find_unlisted()
        }
        batch = Batch(
            entry,
            writer,
            waiting,
            order.rank_groups(entry.submission.items, carried),
            set(),
            {},
        )
        self._batches[submission_id] = batch
        _LOG.info(
            'submission-started',
            extra={
                'submission': submission_id,
                'waiting': len(waiting),
                'epoch': writer.epoch,
                'carried_groups': len(carried),
            },
        )
        self._reuse_results(batch)
        self._wake.set()

    def count_waiting(self) -> int:
        """Returns the items that wait for a slot."""
        return sum(len(batch.waiting) for batch in self._batches.values())

    def drop(self, submission_id: model.SubmissionId) -> Batch | None:
        """Stops every run of a submission; returns what was under way."""
        batch = self._batches.pop(submission_id, None)
        if batch is None:
            return None
        for task in batch.tasks:
            task.cancel()
        for item in batch.entry.submission.items:
            self._prompts.pop(item.group, None)
        _LOG.info(
            'submission-stopped',
            extra={
                'submission': submission_id,
                'running': len(batch.tasks),
                'waiting': len(batch.waiting),
            },
        )
        return batch

    def find_batches(self, partition: base.Partition) -> list[Batch]:
        """Returns the batches whose submissions stand in a partition."""
        return [
            batch
            for batch in self._batches.values()
            if batch.writer.partition == partition
        ]

    def wake(self) -> None:
        """Looks at the waiting items soon."""
        self._wake.set()

    async def run(self) -> None:
        """Starts items until cancelled."""
        while True:
            self._dispatch()
            self._wake.clear()
            if any(batch.waiting for batch in self._batches.values()):
                try:
                    async with asyncio.timeout(_DISPATCH_INTERVAL):
                        await self._wake.wait()
                except TimeoutError:
                    continue
            else:
                await self._wake.wait()

    def _was_seen_before(
        self, item: model.Item, submission_id: model.SubmissionId
    ) -> bool:
        return any(
            item.item_id in entry.items
            for shelf in self._archive
            for entry in shelf.state
            if entry.submission.submission_id != submission_id
        )

    def _reuse_results(self, batch: Batch) -> None:
        """Lists the items that an earlier submission completed."""
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
                self._spawn(batch, job, self._write(batch, known))

    def _make_job(self, entry: fold.Entry, item: model.Item) -> _Job:
        draft = self._archive.find_draft(item.item_id)
        minimum = entry.submission.minimum_version
        if draft and generation.is_usable(draft.versions, minimum, False):
            return _Job(
                item, generation.restore(draft), kept_events=len(draft.events)
            )
        return _Job(item, generation.restore(None))

    def _dispatch(self) -> None:
        now = asyncio.get_running_loop().time()
        jobs: dict[tuple[model.SubmissionId, model.ItemId], _Job] = {}
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
        for row in order.sort_candidates(
            [self._describe(key[0], job) for key, job in jobs.items()]
        ):
            batch = self._batches[row.submission_id]
            self._try_start(batch, jobs[row.submission_id, row.item_id])

    def _describe(
        self, submission_id: model.SubmissionId, job: _Job
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

    def _is_too_old(self, batch: Batch, job: _Job) -> bool:
        submission = batch.entry.submission
        route = self._find_route(submission.host, job.item.path)
        age = self._wall.read() - submission.accepted_at
        return route is not None and age > route.retention

    def _try_start(self, batch: Batch, job: _Job) -> None:
        submission = batch.entry.submission
        route = self._find_route(submission.host, job.item.path)
        if route is None:
            return
        now = asyncio.get_running_loop().time()
        ready = self._find_ready(route)
        fitting = placement.find_fitting(
            ready, submission.model, submission.minimum_version, now
        )
        if route.single_version:
            fitting = _keep_version(job.text, fitting, submission.model)
        holding = self._prompts.setdefault(job.item.group, set())
        target = placement.place(
            fitting, self._home, frozenset(holding), now, self._rng
        )
        if target is None:
            return
        holding.add(target.entry.instance)
        _LOG.info(
            'item-started',
            extra={
                'submission': submission.submission_id,
                'item': job.item.item_id,
                'instance': target.entry.instance,
                'fitting': len(fitting),
                'ready': len(ready),
                'load': round(target.compute_load(now), 2),
                'load_age_s': target.compute_load_age(now),
                'version': target.versions.get(submission.model),
                'minimum_version': submission.minimum_version,
                'after_event': len(job.text.events),
            },
        )
        slot = _Slot(target)
        task = self._spawn(batch, job, self._run_item(batch, job, slot, route))
        # Also when it is cancelled before it began.
        task.add_done_callback(lambda _: slot.release())

    def _find_ready(self, route: routes.Route) -> list[fleet.Target]:
        services = {share.service for share in route.shares if share.weight}
        return [
            target
            for service in services
            for target in self._targets.find_ready(service)
        ]

    def _may_move(self, batch: Batch, job: _Job, target: fleet.Target) -> bool:
        submission = batch.entry.submission
        route = self._find_route(submission.host, job.item.path)
        if route is None or route.single_version:
            return False
        now = asyncio.get_running_loop().time()
        fitting = placement.find_fitting(
            self._find_ready(route),
            submission.model,
            submission.minimum_version,
            now,
        )
        return placement.should_move(
            target, fitting, len(job.text.events), _EXPECTED_EVENTS, now
        )

    def _spawn(
        self, batch: Batch, job: _Job, work: Coroutine[None, None, None]
    ) -> asyncio.Task[None]:
        batch.waiting.pop(job.item.item_id, None)
        batch.drafts[job.item.item_id] = job
        task = asyncio.get_running_loop().create_task(work)
        batch.tasks.add(task)
        task.add_done_callback(batch.tasks.discard)
        task.add_done_callback(lambda _: self._wake.set())
        return task

    async def _run_item(
        self,
        batch: Batch,
        job: _Job,
        slot: _Slot,
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
        batch: Batch,
        job: _Job,
        route: routes.Route,
        end: generation.End,
    ) -> None:
        if end is generation.End.IMPOSSIBLE:
            await self._give_up(batch, job, 'can never be done')
            return
        now = asyncio.get_running_loop().time()
        job.not_before = now + _PAUSES.get(end, 0.0)
        if end is generation.End.FAILED:
            job.failures += 1
        if job.failures >= route.max_attempts:
            await self._give_up(batch, job, f'failed {job.failures} times')
            return
        batch.waiting[job.item.item_id] = job
        self._wake.set()

    async def _finish(self, batch: Batch, job: _Job) -> None:
        score = None
        if job.item.reward is not None:
            score = await self._fetch_score(job.item.reward)
            if score is None:
                await self._give_up(batch, job, 'no score to be had')
                return
        await self._write(
            batch,
            model.ItemResult(
                job.item.item_id,
                model.ItemState.COMPLETED,
                '\n'.join(job.text.events),
                tuple(job.text.versions),
                score,
            ),
        )

    async def _fetch_score(self, reward: model.RewardCall) -> str | None:
        """Returns the score, or ``None`` after too many failures."""
        call = self._generator.make_reward_call(reward)
        failures = 0
        while True:
            path = call.path.partition('?')[0]
            route = self._find_route(call.host, path)
            if route is not None:
                score, failed = await self._call_reward(call, route)
                failures += failed
                if score is not None:
                    return score
                if failures >= route.max_attempts:
                    return None
            await asyncio.sleep(_REWARD_PAUSE)

    async def _call_reward(
        self, call: dialect.Call, route: routes.Route
    ) -> tuple[str | None, int]:
        """Returns the score if there is one, and the failures counted."""
        match await self._caller.run(call, route):
            case Result(tag='ok', ok=answer):
                pass
            case Result(error=refusal):
                _LOG.info(
                    'reward-call-failed',
                    extra={
                        'request': call.request_id,
                        'reason': refusal.detail,
                    },
                )
                return None, 0
        if 200 <= answer.status < 300:
            return answer.facts.signature, 0
        return None, answer.failures if answer.status == _FAILED else 0

    async def _give_up(self, batch: Batch, job: _Job, reason: str) -> None:
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
            job.item.item_id, model.ItemState.ERRORED, '', (), None
        )
        await self._write(batch, result)

    async def _write(self, batch: Batch, result: model.ItemResult) -> None:
        submission_id = batch.entry.submission.submission_id
        rows = records.encode(
            records.Listed(submission_id, result), self._record_size
        )
        match await batch.writer.write(rows):
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


def _keep_version(
    text: generation.Text, fitting: list[fleet.Target], name: str
) -> list[fleet.Target]:
    """Returns the engines at which a text of one version can go on.

    Where no engine has its version any more, the text begins anew.
    """
    if not text.versions:
        return fitting
    same = [
        target
        for target in fitting
        if target.versions.get(name) == text.versions[-1]
    ]
    if same:
        return same
    text.clear()
    return fitting
