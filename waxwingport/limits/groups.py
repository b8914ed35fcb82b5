"""State of admission for one pool or service."""

from collections.abc import Iterator
import math

from waxwingport.limits import decay
from waxwingport.limits import fairness
from waxwingport.limits import grants
from waxwingport.routing import model

__all__ = ['AdmissionGroup']

_TIME_WEIGHT = 0.05
"""Weight of the latest request in the mean time of requests."""
_BOUND_DEVIATIONS = 5.0
"""Standard deviations between the mean time and its upper bound."""
_MAX_TIMEOUT_SHARE = 0.85
"""Largest share of the time to the deadline that is reserved for the request
itself."""
_MAX_BOUND_RATIO = 6.0
"""Largest ratio of the upper bound to the mean."""
_CONCURRENCY_TIME_CONSTANT_S = 5.0
"""Time constant of the mean number of rollouts in progress."""
_ROLLOUT_SHARE = 0.05
"""Share of the grants that go to rollouts while live calls wait."""
_MAX_COMPARED_ROLLOUTS = 64
"""Youngest rollouts that are compared when some must be preempted."""

_LIVE = model.WorkClass.LIVE
_ROLLOUT = model.WorkClass.ROLLOUT


class _GrantTime:
    """Mean and variance of the seconds from a grant to the answer."""

    def __init__(self) -> None:
        self.mean = 0.0
        self._variance = 0.0
        self._known = False

    @property
    def upper_bound(self) -> float:
        """A time that nearly all requests stay below, in seconds."""
        bound = self.mean + _BOUND_DEVIATIONS * math.sqrt(self._variance)
        return min(bound, _MAX_BOUND_RATIO * self.mean)

    @property
    def likely(self) -> float:
        """Mean plus one standard deviation: exceeded by one request in six."""
        return self.mean + math.sqrt(self._variance)

    def record(self, elapsed: float) -> None:
        """Adds the time of one request to the mean and variance."""
        if not self._known:
            self._known = True
            self.mean = elapsed
            return
        difference = elapsed - self.mean
        step = _TIME_WEIGHT * difference
        self.mean += step
        kept = 1.0 - _TIME_WEIGHT
        self._variance = kept * (self._variance + difference * step)


class AdmissionGroup:
    """Queues, grants and expected request times of one pool or service.

    Both are called groups here and in ``Work``: a group of targets that a
    request names.  The groups of samples of trainers are something else.
    ``in_progress`` counts the requests with a grant by class;
    ``preempting_count`` is the number of rollouts, of any group, that are
    being preempted for the live calls of this one.
    """

    def __init__(self, name: str) -> None:
        self.name = name
        self.queues = {
            work_class: fairness.FairQueue()
            for work_class in (_LIVE, _ROLLOUT)
        }
        self.in_progress = {_LIVE: 0, _ROLLOUT: 0}
        self.preempting_count = 0
        self._times = {
            work_class: _GrantTime() for work_class in (_LIVE, _ROLLOUT)
        }
        self._rollouts: dict[grants.Grant, None] = {}
        self._rollout_concurrency = decay.DecayingMean(
            _CONCURRENCY_TIME_CONSTANT_S
        )
        self._protected_count = 0
        # Raised by each live grant while rollouts wait; at 1 one is due.
        self._rollout_credit = 0.0

    @property
    def waiting_count(self) -> int:
        """Number of requests that wait for a grant."""
        return sum(len(queue) for queue in self.queues.values())

    @property
    def total_in_progress(self) -> int:
        """Number of requests in progress."""
        return sum(self.in_progress.values())

    def has_waiters_before(self, work: model.Work) -> bool:
        """Returns whether waiters must be served before ``work``."""
        if self.queues[_LIVE]:
            return True
        return work.work_class is _ROLLOUT and bool(self.queues[_ROLLOUT])

    def list_classes(self) -> list[model.WorkClass]:
        """Returns the classes with waiters, in the order to serve them."""
        order = (
            [_ROLLOUT, _LIVE] if self.is_rollout_due() else [_LIVE, _ROLLOUT]
        )
        return [work_class for work_class in order if self.queues[work_class]]

    def is_rollout_due(self) -> bool:
        """Returns whether the next grant belongs to a rollout.

        Rollouts get a small share of the grants while live calls wait, so
        that they do not starve.
        """
        if not self.queues[_ROLLOUT] or not self.queues[_LIVE]:
            return False
        max_protected = max(1.0, _ROLLOUT_SHARE * self.total_in_progress)
        return (
            self._rollout_credit >= 1.0
            and self._protected_count < max_protected
        )

    def read_expected_time(self, work_class: model.WorkClass) -> float:
        """Returns the mean time in seconds from a grant to the answer."""
        return self._times[work_class].mean

    def find_wait_end(self, work: model.Work) -> float:
        """Returns the time at which ``work`` stops waiting for a grant.

        That is the deadline less the time that most requests take.  It is
        later than ``find_admission_deadline``, which decides whether a wait
        begins: a waiting request was admitted on an estimate and is often
        answered in time although the estimate proves too low.  This matters
        in a burst of live calls at one node, below the pool's capacity, while
        rollouts far exceed it.
        """
        estimate = self._times[work.work_class]
        return work.deadline - estimate.likely

    def find_admission_deadline(self, work: model.Work, now: float) -> float:
        """Returns the time by which ``work`` must expect a grant to be queued.

        That is the deadline less the time that nearly all requests stay
        below, or less a fixed share of the timeout if that is less time:
        requests with a short timeout would never be admitted otherwise.
        """
        estimate = self._times[work.work_class]
        longest_reserve = _MAX_TIMEOUT_SHARE * (work.deadline - now)
        return work.deadline - max(
            estimate.mean, min(estimate.upper_bound, longest_reserve)
        )

    def estimate_wait(self, work: model.Work, target_count: int) -> float:
        """Returns the seconds that ``work`` would wait for a target.

        By Little's law: the number of requests ahead times the mean time of
        a request, divided by the number in progress.  For a live call that
        number covers both classes and is at least ``target_count``, the number
        of the group's targets; requests ahead that can preempt a rollout do
        not count, as they need not wait.  For a rollout it is the recent mean
        number of rollouts in progress, and ``target_count`` has no effect.
        """
        ahead = self.queues[work.work_class].count_ahead(work) + 1
        if work.work_class is _LIVE:
            concurrency = max(target_count, self.total_in_progress)
            ahead = max(0, ahead - self._count_preemptible())
        else:
            running = self.in_progress[_ROLLOUT]
            concurrency = max(1.0, running, self._rollout_concurrency.read())
        return (
            ahead
            * self.read_expected_time(work.work_class)
            / max(1.0, concurrency)
        )

    def _count_preemptible(self) -> int:
        """Returns how many rollouts may be preempted or are already."""
        kept = max(
            self._protected_count, int(_ROLLOUT_SHARE * self.total_in_progress)
        )
        return max(0, len(self._rollouts) - kept)

    def record_time(self, work_class: model.WorkClass, elapsed: float) -> None:
        """Updates the expected time of a class by one request.

        ``elapsed`` are the seconds from the grant to the answer.
        """
        self._times[work_class].record(elapsed)

    def add_grant(self, grant: grants.Grant) -> None:
        """Counts a new grant and charges it to its owner."""
        work = grant.work
        self.in_progress[work.work_class] += 1
        self.queues[work.work_class].start_tags.charge(work.owner, work.weight)
        if work.work_class is _ROLLOUT:
            self._rollouts[grant] = None
            self._rollout_concurrency.record(len(self._rollouts))
            if grant.protected:
                self._protected_count += 1
                self._rollout_credit = 0.0
        elif self.queues[_ROLLOUT]:
            self._rollout_credit = min(
                1.0, self._rollout_credit + _ROLLOUT_SHARE
            )

    def remove_grant(self, grant: grants.Grant) -> None:
        """Stops counting a released grant."""
        self.in_progress[grant.work.work_class] -= 1
        if grant in self._rollouts:
            del self._rollouts[grant]
            self._rollout_concurrency.record(len(self._rollouts))
            self._protected_count -= grant.protected

    def iterate_preemptible(self) -> Iterator[grants.Grant]:
        """Yields the rollouts that may be preempted.

        Rollouts of low priority come first and, among equals, the youngest.
        Those within the rollouts' guaranteed share are not preemptible.
        """
        remaining = self._count_preemptible()
        youngest = []
        for grant in reversed(self._rollouts):
            if grant.preempted.is_set():
                remaining -= 1
            elif (
                not grant.protected and len(youngest) < _MAX_COMPARED_ROLLOUTS
            ):
                youngest.append(grant)
        youngest.sort(key=lambda grant: grant.work.priority)
        yield from youngest[: max(0, remaining)]
