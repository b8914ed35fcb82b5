"""What admission knows of one pool or service."""

from collections.abc import Iterator
import math

from waxwingport.limits import decay
from waxwingport.limits import fairness
from waxwingport.limits import grants
from waxwingport.routing import candidates

__all__ = ['AdmissionGroup']

_HOLD_WEIGHT = 0.05
_DEVIATIONS = 5.0
_MOST_OF_TIMEOUT = 0.85
_LONGEST_RATIO = 6.0
"""Bound on the time of a long request over the mean."""
_WIDTH_WINDOW = 5.0
"""Seconds over which the rollouts in progress are averaged."""
_ROLLOUT_SHARE = 0.05
"""Share of the grants that rollouts get while live calls wait."""
_LONGEST_VICTIMS = 64
"""Rollouts that are compared when one has to give way."""

_LIVE = candidates.WorkClass.LIVE
_ROLLOUT = candidates.WorkClass.ROLLOUT


class _Hold:
    """Mean and spread of the time from grant to answer, in seconds."""

    def __init__(self) -> None:
        self.mean = 0.0
        self._variance = 0.0
        self._known = False

    @property
    def longest(self) -> float:
        """The mean and some standard deviations, within bounds."""
        wanted = self.mean + _DEVIATIONS * math.sqrt(self._variance)
        return min(wanted, _LONGEST_RATIO * self.mean)

    @property
    def likely(self) -> float:
        """The mean and a standard deviation: five in six are quicker."""
        return self.mean + math.sqrt(self._variance)

    def record(self, taken: float) -> None:
        """Takes the time of one request."""
        if not self._known:
            self._known = True
            self.mean = taken
            return
        difference = taken - self.mean
        step = _HOLD_WEIGHT * difference
        self.mean += step
        kept = 1.0 - _HOLD_WEIGHT
        self._variance = kept * (self._variance + difference * step)


class AdmissionGroup:
    """Waiters, grants and usual times of one pool or service."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.queues = {row: fairness.FairQueue() for row in (_LIVE, _ROLLOUT)}
        self.in_progress = {_LIVE: 0, _ROLLOUT: 0}
        self.preempting = 0
        self._holds = {row: _Hold() for row in (_LIVE, _ROLLOUT)}
        self._rollouts: dict[grants.Grant, None] = {}
        self._rollout_width = decay.DecayingMean(_WIDTH_WINDOW)
        self._protected = 0
        self._credit = 0.0

    @property
    def waiting(self) -> int:
        """Requests that wait."""
        return sum(len(row) for row in self.queues.values())

    @property
    def total(self) -> int:
        """Requests in progress."""
        return sum(self.in_progress.values())

    def has_waiters_before(self, work: candidates.Work) -> bool:
        """Returns whether ``work`` has to let others go first."""
        if self.queues[_LIVE]:
            return True
        return work.work_class is _ROLLOUT and bool(self.queues[_ROLLOUT])

    def list_classes(self) -> list[candidates.WorkClass]:
        """Returns the classes that wait, the one to serve first first."""
        order = (
            [_ROLLOUT, _LIVE] if self.owes_rollouts() else [_LIVE, _ROLLOUT]
        )
        return [row for row in order if self.queues[row]]

    def owes_rollouts(self) -> bool:
        """Returns whether a rollout goes before the live calls now."""
        if not self.queues[_ROLLOUT] or not self.queues[_LIVE]:
            return False
        most = max(1.0, _ROLLOUT_SHARE * self.total)
        return self._credit >= 1.0 and self._protected < most

    def read_expected_time(self, work_class: candidates.WorkClass) -> float:
        """Returns the usual time in seconds from grant to answer."""
        return self._holds[work_class].mean

    def find_wait_deadline(self, work: candidates.Work) -> float:
        """Returns until when ``work`` may go on waiting.

        That leaves the time within which most are answered.  It is later than
        the last moment for which a wait is begun: whoever waits already had
        reason to expect its turn.

        Load pattern: live calls below the pool's capacity that come at one
        node in a burst, beside rollouts far above it.
        """
        hold = self._holds[work.work_class]
        return work.deadline - hold.likely

    def find_latest_start(self, work: candidates.Work, now: float) -> float:
        """Returns until when ``work`` has to start to be answered in time.

        That leaves the time within which nearly all are answered, or the
        most of the timeout where that is less, so that a short one gets its
        chance.
        """
        hold = self._holds[work.work_class]
        most = _MOST_OF_TIMEOUT * (work.deadline - now)
        return work.deadline - max(hold.mean, min(hold.longest, most))

    def estimate_wait(self, work: candidates.Work, slots: int) -> float:
        """Returns the seconds that ``work`` would wait for a target.

        By Little's law: the requests ahead, at the rate at which as many as
        now in progress finish.  For a live call these are all, ``slots`` at
        the least, and of those ahead as many as there are rollouts to give
        way wait for nothing.  For a rollout they are what live calls left to
        rollouts lately.
        """
        ahead = self.queues[work.work_class].count_ahead(work) + 1
        if work.work_class is _LIVE:
            width = max(slots, self.total)
            ahead = max(0, ahead - self._count_yielding())
        else:
            running = self.in_progress[_ROLLOUT]
            width = max(1.0, running, self._rollout_width.read())
        return (
            ahead * self.read_expected_time(work.work_class) / max(1.0, width)
        )

    def _count_yielding(self) -> int:
        """Returns how many rollouts give way or could."""
        kept = max(self._protected, int(_ROLLOUT_SHARE * self.total))
        return max(0, len(self._rollouts) - kept)

    def record_time(
        self, work_class: candidates.WorkClass, taken: float
    ) -> None:
        """Takes the time of an answered request."""
        self._holds[work_class].record(taken)

    def add_grant(self, grant: grants.Grant) -> None:
        """Takes a new grant."""
        work = grant.work
        self.in_progress[work.work_class] += 1
        self.queues[work.work_class].clock.charge(work.owner, work.weight)
        if work.work_class is _ROLLOUT:
            self._rollouts[grant] = None
            self._rollout_width.record(len(self._rollouts))
            if grant.protected:
                self._protected += 1
                self._credit = 0.0
        elif self.queues[_ROLLOUT]:
            self._credit = min(1.0, self._credit + _ROLLOUT_SHARE)

    def remove_grant(self, grant: grants.Grant) -> None:
        """Takes the end of a grant."""
        self.in_progress[grant.work.work_class] -= 1
        if grant in self._rollouts:
            del self._rollouts[grant]
            self._rollout_width.record(len(self._rollouts))
            self._protected -= grant.protected

    def list_preemptible(self) -> Iterator[grants.Grant]:
        """Yields rollouts that may give way, the youngest first.

        The rollouts' own share of what is in progress is left alone.
        """
        spare = self._count_yielding()
        youngest = []
        for row in reversed(self._rollouts):
            if row.preempted.is_set():
                spare -= 1
            elif not row.protected and len(youngest) < _LONGEST_VICTIMS:
                youngest.append(row)
        youngest.sort(key=lambda row: row.work.priority)
        yield from youngest[: max(0, spare)]
