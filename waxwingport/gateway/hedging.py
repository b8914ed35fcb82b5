"""Pure decisions on a call's further attempts and on its refusal."""

from collections.abc import Iterable
import random

import msgspec

from waxwingport.fleet import model as fleet
from waxwingport.gateway import routes
from waxwingport import ids

__all__ = [
    'ResponseTimes',
    'compute_hedge_delay',
    'compute_retry_after',
    'estimate_wait',
    'is_infeasible',
    'pick_service',
]

_SMOOTHING = 0.05
"""Weight of the latest time in a route's usual time."""
_DEVIATIONS = 4.0
"""Mean deviations over the usual time after which a call is overdue: beyond
it lie lost answers and stalled targets rather than longer work."""
_SHORTEST_DELAY = 0.03
"""Seconds before a second attempt; a hop there and back takes 2 ms."""
_SHARE_OF_TARGET_TIME = 0.5
"""Part of a route's target time after which a second attempt starts at the
latest, so that it can still be in time."""
_RETRY_AFTER_RANGE = (0.05, 2.0)
"""Seconds: a hop there and back at least, a target's return at most."""
_JITTER = 0.25


class ResponseTimes(msgspec.Struct):
    """Mean and mean deviation of a route's times, in seconds."""

    mean: float = 0.0
    deviation: float = 0.0

    def record(self, elapsed: float) -> None:
        """Takes the time of an answered call."""
        if self.mean == 0.0:
            self.mean = elapsed
            self.deviation = elapsed / 2
            return
        self.deviation += _SMOOTHING * (
            abs(elapsed - self.mean) - self.deviation
        )
        self.mean += _SMOOTHING * (elapsed - self.mean)


def compute_hedge_delay(route: routes.Route, usual: ResponseTimes) -> float:
    """Returns the seconds after which a second attempt starts.

    Load pattern: single calls whose answers are lost or whose target has
    stalled, among others that are answered as usual.
    """
    overdue = usual.mean + _DEVIATIONS * usual.deviation
    latest = _SHARE_OF_TARGET_TIME * route.target_time
    if usual.mean == 0.0:
        return latest
    # A route whose work usually takes longer is not sent twice for it.
    return max(_SHORTEST_DELAY, overdue, min(latest, 2 * usual.mean))


def estimate_wait(
    target: fleet.Target, usual: ResponseTimes, now: float
) -> float:
    """Returns the seconds until a target begins one more call.

    The rounds of work ahead of it, each as long as such calls usually take
    there.
    """
    slots = target.entry.slots
    ahead = max(0.0, target.compute_load(now) + 1 - slots)
    return ahead / slots * usual.mean * target.slowness


def is_infeasible(
    targets: Iterable[fleet.Target],
    usual: ResponseTimes,
    left: float,
    now: float,
) -> bool:
    """Returns whether no target can answer within ``left`` seconds.

    Load pattern: more work than slots for longer than callers wait.
    """
    waits = [estimate_wait(target, usual, now) for target in targets]
    return bool(waits) and min(waits) + usual.mean > left


def compute_retry_after(
    targets: Iterable[fleet.Target],
    usual: ResponseTimes,
    now: float,
    rng: random.Random,
) -> float:
    """Returns the seconds after which a refused call may fit.

    The earliest time at which a target has worked off what is ahead and is
    tried again, spread so that callers refused together do not return
    together.
    """
    low, high = _RETRY_AFTER_RANGE
    waits = [
        max(target.avoided_until - now, estimate_wait(target, usual, now))
        for target in targets
    ]
    wait = min(high, max(low, min(waits, default=high)))
    return wait * (1.0 + rng.uniform(0.0, _JITTER))


def pick_service(route: routes.Route, rng: random.Random) -> ids.ServiceName:
    """Returns one of the route's services, by its weights."""
    weights = [max(0, share.weight) for share in route.shares]
    if not any(weights):
        return route.shares[0].service
    return rng.choices(route.shares, weights)[0].service
