"""Health of targets as judged by the requests sent to them.

A target that is avoided is ordered after all others.
"""

import enum

from waxwingport.fleet import model

__all__ = ['HealthSignal', 'record_failure', 'record_success', 'record_time']

_FIRST_AVOIDANCE_S = 0.3
"""Time for which a target is avoided after a failure; doubled with each
consecutive one."""
_MAX_AVOIDANCE_S = 4.0
"""Longest avoidance: by then a crashed target has usually restarted or been
deregistered."""
_FULL_AVOIDANCE_S = 0.05
"""Avoidance of a target that rejected a request because it is full."""
_MOVED_AVOIDANCE_S = 2.0
"""Avoidance of a target whose address belongs to another instance now; its
entry is expected to change within that time."""
_SMOOTHING = 0.2
"""Weight of the latest request in a target's slowness."""
_SLOWNESS_RANGE = (0.5, 8.0)
"""Bounds of the ratio of elapsed to expected time of one request."""


class HealthSignal(enum.Enum):
    """How a request to a target failed, as far as its health is concerned."""

    BROKEN = 'broken'
    """The connection broke, fell silent or returned an invalid response."""
    FAILED = 'failed'
    """The target returned an error response."""
    FULL = 'full'
    """The target rejected the request for lack of capacity."""
    MOVED = 'moved'
    """Another instance uses the target's address."""
    UNREACHABLE = 'unreachable'
    """No connection could be opened."""
    WITHHELD = 'withheld'
    """The target takes no new work now; the request was not sent."""


def record_failure(
    target: model.Target, signal: HealthSignal, now: float
) -> None:
    """Sets until when the target is avoided, depending on ``signal``."""
    match signal:
        case HealthSignal.WITHHELD:
            return
        case HealthSignal.FULL:
            avoidance = _FULL_AVOIDANCE_S
        case HealthSignal.MOVED:
            avoidance = _MOVED_AVOIDANCE_S
        case HealthSignal.FAILED:
            # The request may be the cause, so fewer than three consecutive
            # failures are ignored.
            target.failures += 1
            avoidance = 0.0 if target.failures < 3 else _FIRST_AVOIDANCE_S
        case _:
            avoidance = min(
                _FIRST_AVOIDANCE_S * 2 ** min(target.failures, 8),
                _MAX_AVOIDANCE_S,
            )
            target.failures += 1
            target.proven = False
    target.avoided_until = max(target.avoided_until, now + avoidance)


def record_success(target: model.Target) -> None:
    """Ends the avoidance and resets the failures after an answer."""
    target.proven = True
    target.failures = 0
    target.avoided_until = float('-inf')


def record_time(target: model.Target, elapsed: float, expected: float) -> None:
    """Updates the slowness by a request; both times are in seconds.

    Does nothing if the expected time is unknown, which is 0.  The speed of a
    target that reports its slowdown is learned while nothing waits there: a
    wait says nothing about the machine.
    """
    if expected <= 0.0:
        return
    low, high = _SLOWNESS_RANGE
    ratio = min(high, max(low, elapsed / expected))
    target.slowness += _SMOOTHING * (ratio - target.slowness)
    load = target.load
    if (
        load is not None
        and load.slowdown is not None
        and load.working <= target.entry.slots
    ):
        target.speed.record_time(elapsed, expected, load.slowdown)
