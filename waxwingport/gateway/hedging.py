"""Decisions on further attempts for a call and on its refusal.

The functions have no side effects and read no clock.
"""

from collections.abc import Iterable
from collections.abc import Sequence
import random

import msgspec

from waxwingport.fleet import limits
from waxwingport.fleet import model as fleet
from waxwingport.gateway import routes
from waxwingport import ids

__all__ = [
    'ResponseTimes',
    'compute_hedge_delay',
    'compute_latest_start',
    'compute_retry_after',
    'compute_turn_wait',
    'estimate_wait',
    'is_infeasible',
    'pick_service',
]

_SMOOTHING = 0.05
"""Weight of the latest call in a route's mean response time."""
_OVERDUE_DEVIATIONS = 4.0
"""Mean deviations above the mean after which a call is overdue: later than
that, a lost response or a stalled target is more likely than longer work."""
_MIN_HEDGE_DELAY_S = 0.03
"""Shortest delay before a second attempt; a round trip takes 2 ms."""
_MAX_DELAY_SHARE = 0.5
"""Share of a route's target time after which a second attempt starts at the
latest, so that its response can still meet the target time."""
_MIN_ANSWER_SHARE = 0.1
"""Least share of a call's time that is left for its answer: a response that
is held up on its way takes many times the mean."""
_RETRY_AFTER_RANGE_S = (0.05, 2.0)
"""At least a round trip, at most the time in which an avoided target usually
recovers."""
_RETRY_AFTER_JITTER = 0.25
"""Largest random share added to a ``Retry-After``."""


class ResponseTimes(msgspec.Struct):
    """Smoothed mean and mean deviation of a route's response times.

    Both are in seconds, and 0 until the first call is recorded.
    """

    mean: float = 0.0
    deviation: float = 0.0

    def record(self, elapsed: float) -> None:
        """Adds the response time of an answered call."""
        if self.mean == 0.0:
            self.mean = elapsed
            self.deviation = elapsed / 2
            return
        self.deviation += _SMOOTHING * (
            abs(elapsed - self.mean) - self.deviation
        )
        self.mean += _SMOOTHING * (elapsed - self.mean)


def compute_hedge_delay(route: routes.Route, times: ResponseTimes) -> float:
    """Returns the seconds after which a second attempt starts.

    This matters when the responses of single calls are lost or their targets
    stall, while other calls are answered within their normal time.
    """
    overdue = times.mean + _OVERDUE_DEVIATIONS * times.deviation
    latest = _MAX_DELAY_SHARE * route.target_time
    if times.mean == 0.0:
        return latest
    # ``overdue`` may exceed ``latest``, so that calls which usually take
    # longer than ``latest`` are not sent twice for that reason alone.
    return max(_MIN_HEDGE_DELAY_S, overdue, min(latest, 2 * times.mean))


def compute_latest_start(
    started_at: float, deadline: float, mean_time: float = 0.0
) -> float:
    """Returns the loop time until which a call may wait to be sent.

    ``mean_time`` is the mean response time in seconds where it is known.

    Load pattern: targets name limits, so that calls wait until shortly before
    their deadlines; one that is sent then may run without an answer.
    """
    least = _MIN_ANSWER_SHARE * (deadline - started_at)
    return deadline - max(mean_time, least)


def estimate_wait(
    target: fleet.Target, times: ResponseTimes, now: float
) -> float:
    """Returns the seconds until a target starts one more call.

    This is the number of queued calls per slot, times the mean response time
    and the target's slowness, or the time until this node may send one.

    Load pattern: the machines of some targets are slowed in bursts, which
    these report.
    """
    slots = target.entry.slots
    ahead = max(0.0, target.compute_load(now) + 1 - slots)
    usual = ahead / slots * times.mean
    queued = usual * target.estimate_slowness(now, usual)
    return max(queued, target.compute_turn_wait(now))


def is_infeasible(
    targets: Iterable[fleet.Target],
    times: ResponseTimes,
    remaining: float,
    now: float,
) -> bool:
    """Returns whether no target can answer within ``remaining`` seconds.

    This matters under sustained overload, when calls would wait in the queues
    of all targets for longer than their callers do.

    A free slot at a target that reports its slowdown makes every call
    feasible.  Load pattern: an overload has ended, and the mean of the last
    response times, which had waited, is longer than callers wait.
    """
    targets = list(targets)
    if any(_is_free(target, now) for target in targets):
        return False
    waits = [estimate_wait(target, times, now) for target in targets]
    return bool(waits) and min(waits) + times.mean > remaining


def _is_free(target: fleet.Target, now: float) -> bool:
    """Returns whether a target that reports its slowdown has a free slot."""
    return (
        target.reports_slowdown
        and target.avoided_until <= now
        and target.count_turns(now) >= 1
        and target.compute_load(now) + 1 <= target.entry.slots
    )


def compute_turn_wait(
    targets: Iterable[fleet.Target], ahead: int, now: float
) -> float | None:
    """Returns the seconds until a call may be sent, behind ``ahead`` others.

    ``None`` without targets; 0 if one of them has no limit.

    Load pattern: all targets of a service name a limit, and callers ask for
    more than that.
    """
    targets = list(targets)
    if any(target.limit is None for target in targets):
        return 0.0
    known = [
        limit for target in targets if (limit := target.limit) is not None
    ]
    return limits.compute_nth_wait(known, ahead, now)


def compute_retry_after(
    targets: Sequence[fleet.Target],
    times: ResponseTimes,
    now: float,
    rng: random.Random,
    waiting: int = 0,
) -> float:
    """Returns the seconds after which a refused call should be retried.

    This is the earliest time at which a target has a free slot, is no longer
    avoided and takes a call besides the ``waiting`` ones.  Jitter keeps
    callers that were refused together from returning together.
    """
    low, high = _RETRY_AFTER_RANGE_S
    waits = [
        max(target.avoided_until - now, estimate_wait(target, times, now))
        for target in targets
    ]
    turn_wait = compute_turn_wait(targets, waiting, now) or 0.0
    wait = min(high, max(low, turn_wait, min(waits, default=high)))
    return wait * (1.0 + rng.uniform(0.0, _RETRY_AFTER_JITTER))


def pick_service(route: routes.Route, rng: random.Random) -> ids.ServiceName:
    """Returns a random service of the route, in proportion to the weights.

    Returns the first one if no weight is positive.
    """
    weights = [max(0, share.weight) for share in route.shares]
    if not any(weights):
        return route.shares[0].service
    return rng.choices(route.shares, weights)[0].service
