"""Selection of engines for the jobs of submissions.

The decisions are those of ``scheduling``; this module describes jobs and
engines to them.
"""

import asyncio
from collections.abc import Iterable
from collections.abc import Iterator
import logging

import msgspec

from waxwingport.fleet import model as fleet
from waxwingport.fleet import registry
from waxwingport.gateway import routes
from waxwingport import ids
from waxwingport.scheduling import cuts
from waxwingport.scheduling import lengths
from waxwingport.scheduling import order
from waxwingport.scheduling import placement
from waxwingport.scheduling import software_versions
from waxwingport.scheduling import urgency
from waxwingport.submissions import model
from waxwingport.submissions import runs
from waxwingport.submissions import scores
from waxwingport.tenancy import active

__all__ = ['Choice', 'EngineSelector', 'JobKey']

_LOG = logging.getLogger(__name__)

JobKey = tuple[runs.SubmissionRun, runs.Job]
_PoolKey = tuple[str, model.SubmissionId, str]
"""Tenant, submission and path, which together decide the engines of an
item."""


class Choice(msgspec.Struct, frozen=True):
    """A job and the engine that it should start at."""

    submission_run: runs.SubmissionRun
    job: runs.Job
    target: fleet.Target
    route: routes.Route
    eligible_count: int
    """Engines that it was chosen from."""
    ready_count: int
    """Engines of the route that accept requests, whatever their weights."""


class _Pool(msgspec.Struct):
    """Engines for the items of one submission, during one dispatch."""

    eligible: list[fleet.Target]
    """Empty once all are full."""
    ready_count: int
    by_cost: bool = False
    """Whether its jobs are ordered by the cost of their delay."""


class EngineSelector:
    """Selects engines for waiting jobs and decides on moves of runs."""

    def __init__(
        self,
        targets: registry.Registry,
        find_route: scores.FindRoute,
        placer: placement.Placement,
        tenants: active.ActiveTenants,
    ) -> None:
        self._tenants = tenants
        self._targets = targets
        self._find_route = find_route
        self._placement = placer
        self._prompt_caches: dict[ids.GroupId, set[fleet.InstanceId]] = {}
        self._lengths: dict[str, lengths.LengthEstimator] = {}
        """By model, which stands for one trainer."""

    def select(
        self, waiting: Iterable[JobKey], now: float, wall_now: float
    ) -> Iterator[Choice]:
        """Yields jobs to start, the most urgent first, while slots are free.

        ``now`` is the loop time, ``wall_now`` in seconds since 1970.

        The caller starts each job before it asks for the next, so that its
        slot counts.  Engines are compared once for all items of a submission.
        Leaves out jobs that must not start before a later loop time.
        """
        pools: dict[_PoolKey, _Pool] = {}
        candidates = [
            self._describe(submission_run, job)
            for submission_run, job in waiting
            if job.not_before <= now
            and self._find_pool(submission_run, job, pools, now).eligible
        ]
        for candidate in self._sort(candidates, pools, now, wall_now):
            submission_run, job = candidate.key
            choice = self._choose(submission_run, job, pools, now)
            if choice is not None:
                self._log_start(choice, candidate, now, wall_now)
                yield choice

    def _sort(
        self,
        candidates: list[order.Candidate[JobKey]],
        pools: dict[_PoolKey, _Pool],
        now: float,
        wall_now: float,
    ) -> list[order.Candidate[JobKey]]:
        """Returns jobs in the order in which they should start."""
        engines = _mark_by_cost(pools.values(), self._tenants.have_priorities)
        by_cost, others = [], []
        for candidate in candidates:
            pool = pools[_make_pool_key(*candidate.key)]
            (by_cost if pool.by_cost else others).append(candidate)
        # The two do not compete for engines.
        return order.sort_candidates(others) + order.sort_by_cost(
            order.add_rests(
                by_cost,
                _identify_submission,
                placement.describe_capacity(list(engines.values()), now),
            ),
            wall_now,
        )

    def should_move(
        self,
        submission_run: runs.SubmissionRun,
        job: runs.Job,
        target: fleet.Target,
        first_event: int,
    ) -> bool:
        """Returns whether a run should move; decides at some events only.

        ``first_event`` is the number of events before the run.
        """
        if not self._placement.checks_move(len(job.text.events)):
            return False
        submission = submission_run.entry.submission
        route = self._find_route(submission.host, job.item.path)
        if route is None or route.single_version:
            return False
        now = asyncio.get_running_loop().time()
        eligible = placement.find_eligible(
            [
                ready
                for ready in self._find_ready(route)
                if ready.origin == target.origin
            ],
            submission.model,
            submission.minimum_version,
            now,
        )
        progress = placement.RunProgress(
            len(job.text.events) - first_event,
            first_event > 0,
            self._estimate_remaining(submission.model, job),
        )
        return self._placement.should_move(target, eligible, progress, now)

    def record_cut(
        self,
        submission_run: runs.SubmissionRun,
        job: runs.Job,
        target: fleet.Target,
        now: float,
    ) -> None:
        """Records that a run was ended so that its item may move."""
        remaining = self._estimate_remaining(
            submission_run.entry.submission.model, job
        )
        gap = target.estimate_gap(now, remaining)
        if gap is not None:
            job.cut_runs.append(cuts.Cut(now, len(job.text.events), gap))

    def record_length(
        self, submission_run: runs.SubmissionRun, job: runs.Job
    ) -> None:
        """Records the length of a job's complete text."""
        model_name = submission_run.entry.submission.model
        self._find_lengths(model_name).record(
            job.item.expected_output_tokens, len(job.text.events)
        )

    def forget(self, submission_run: runs.SubmissionRun) -> None:
        """Forgets which engines processed the prompts of a submission."""
        for item in submission_run.entry.submission.items:
            self._prompt_caches.pop(item.group, None)

    def _find_pool(
        self,
        submission_run: runs.SubmissionRun,
        job: runs.Job,
        pools: dict[_PoolKey, _Pool],
        now: float,
    ) -> _Pool:
        """Returns the engines that may run a job; none if all are full.

        ``pools`` keeps them during one dispatch.
        """
        submission = submission_run.entry.submission
        key = _make_pool_key(submission_run, job)
        if key not in pools:
            route = self._find_route(submission.host, job.item.path)
            ready = self._find_ready(route) if route else []
            for target in ready:
                if target.limit is not None:
                    target.limit.want(now)
            pools[key] = _Pool(
                placement.find_eligible(
                    ready, submission.model, submission.minimum_version, now
                ),
                len(ready),
            )
        pool = pools[key]
        if not any(
            self._placement.count_free_slots(target, now) >= 1
            for target in pool.eligible
        ):
            pool.eligible = []
        return pool

    def _describe(
        self, submission_run: runs.SubmissionRun, job: runs.Job
    ) -> order.Candidate[JobKey]:
        submission = submission_run.entry.submission
        route = self._find_route(submission.host, submission.path)
        run_target = route.run_target if route else 0.0
        return order.Candidate(
            (submission_run, job),
            submission.accepted_at + run_target,
            submission_run.ranks[job.item.group],
            submission.wanted_groups,
            self._tenants.compute_priority(route, submission.tenant),
            self._estimate_remaining(submission.model, job),
        )

    def _estimate_remaining(self, model_name: str, job: runs.Job) -> float:
        """Returns the events that the text of a job is expected to lack."""
        return self._find_lengths(model_name).estimate_remaining(
            job.item.expected_output_tokens, len(job.text.events)
        )

    def _find_lengths(self, model_name: str) -> lengths.LengthEstimator:
        return self._lengths.setdefault(model_name, lengths.LengthEstimator())

    def _choose(
        self,
        submission_run: runs.SubmissionRun,
        job: runs.Job,
        pools: dict[_PoolKey, _Pool],
        now: float,
    ) -> Choice | None:
        submission = submission_run.entry.submission
        route = self._find_route(submission.host, job.item.path)
        pool = self._find_pool(submission_run, job, pools, now)
        if route is None:
            return None
        eligible = placement.find_accepting(
            pool.eligible, submission.model, now
        )
        if not eligible:
            return None
        eligible = self._select_same_origin(
            submission_run, job, route, eligible, now
        )
        if route.single_version and eligible:
            eligible = _select_or_start_over(job, eligible, submission.model)
        engines_with_prompt = self._prompt_caches.setdefault(
            job.item.group, set()
        )
        target = self._placement.choose_engine(
            eligible,
            frozenset(engines_with_prompt),
            now,
            self._estimate_remaining(submission.model, job),
        )
        if target is None:
            return None
        engines_with_prompt.add(target.entry.instance)
        self._placement.record_start(target, submission.model, now)
        return Choice(
            submission_run, job, target, route, len(eligible), pool.ready_count
        )

    def _select_same_origin(
        self,
        submission_run: runs.SubmissionRun,
        job: runs.Job,
        route: routes.Route,
        eligible: list[fleet.Target],
        now: float,
    ) -> list[fleet.Target]:
        """Returns the engines that may go on with the text of a job.

        Returns none while the job should wait for one of them, and all of
        ``eligible`` after its text was discarded.
        """
        origin = job.text.origin
        if origin is None:
            return eligible
        same = [target for target in eligible if target.origin == origin]
        if any(
            self._placement.count_free_slots(target, now) >= 1
            for target in same
        ):
            job.waits_since = None
            return same
        if job.waits_since is None:
            job.waits_since = now
        serves = any(
            target.origin == origin for target in self._find_ready(route)
        )
        gaps = [gap for target in eligible if (gap := target.pace.seconds)]
        if serves and software_versions.may_wait(
            now - job.waits_since,
            len(job.text.events),
            min(gaps, default=None),
        ):
            return []
        _LOG.info(
            'text-discarded',
            extra={
                'submission': submission_run.entry.submission.submission_id,
                'item': job.item.item_id,
                'software': origin.software,
                'events': len(job.text.events),
                'waited_s': round(now - job.waits_since, 3),
            },
        )
        job.start_over()
        return eligible

    def _log_start(
        self,
        choice: Choice,
        candidate: order.Candidate[JobKey],
        now: float,
        wall_now: float,
    ) -> None:
        submission = choice.submission_run.entry.submission
        target = choice.target
        _LOG.info(
            'item-started',
            extra={
                'submission': submission.submission_id,
                'item': choice.job.item.item_id,
                'instance': target.entry.instance,
                'software': target.entry.software,
                'fitting': choice.eligible_count,
                'ready': choice.ready_count,
                'limit': target.limit.rate if target.limit else None,
                'leaving': self._targets.count_leaving(target.entry.service),
                'load': round(target.compute_load(now), 2),
                'load_age_s': target.compute_load_age(now),
                'proven': target.proven,
                'version': target.versions.get(submission.model),
                'minimum_version': submission.minimum_version,
                'after_event': len(choice.job.text.events),
                'remaining': round(candidate.remaining),
                'slowness': round(target.estimate_slowness(now), 2),
                'priority': candidate.priority,
                'wanted': candidate.group_rank < candidate.wanted_groups,
                'due_in_s': round(candidate.due_at - wall_now, 3),
                'rest_s': round(candidate.rest, 3),
            },
        )

    def _find_ready(self, route: routes.Route) -> list[fleet.Target]:
        services = {share.service for share in route.shares if share.weight}
        return [
            target
            for service in services
            for target in self._targets.find_ready(service)
            if not target.outdated
        ]


def _make_pool_key(
    submission_run: runs.SubmissionRun, job: runs.Job
) -> _PoolKey:
    submission = submission_run.entry.submission
    return submission.tenant, submission.submission_id, job.item.path


def _mark_by_cost(
    pools: Iterable[_Pool], tenants_have_priorities: bool
) -> dict[fleet.InstanceId, fleet.Target]:
    """Marks the pools whose jobs are ordered by the cost of their delay.

    Pools that share engines are ordered alike, since their jobs compete.
    Returns the engines of those that are marked.
    """
    engines: dict[fleet.InstanceId, fleet.Target] = {}
    others = list(pools)
    while found := [
        pool
        for pool in others
        if urgency.applies(pool.eligible, tenants_have_priorities)
        or any(target.entry.instance in engines for target in pool.eligible)
    ]:
        for pool in found:
            pool.by_cost = True
            engines.update(
                (target.entry.instance, target) for target in pool.eligible
            )
        others = [pool for pool in others if not pool.by_cost]
    return engines


def _identify_submission(key: JobKey) -> tuple[str, model.SubmissionId]:
    """Returns tenant and id, as two tenants may have submitted one id."""
    submission = key[0].entry.submission
    return submission.tenant, submission.submission_id


def _select_or_start_over(
    job: runs.Job, eligible: list[fleet.Target], model_name: str
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
        if target.versions.get(model_name) == versions[-1]
    ]
    if same:
        return same
    job.start_over()
    return eligible
