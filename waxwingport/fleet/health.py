"""What answers and failures say of a target."""

import enum

from waxwingport.fleet import model

__all__ = ['HealthSignal', 'record_failure', 'record_success', 'record_time']

_FIRST_AVOIDANCE = 0.3
"""Seconds; doubled with each failure in a row."""
_LONGEST_AVOIDANCE = 4.0
"""Seconds: a crashed target is usually back or gone from the list by then."""
_FULL_AVOIDANCE = 0.05
"""Seconds for which a target that turned work away as full goes last."""
_MOVED_AVOIDANCE = 2.0
"""Seconds; its address belongs to another instance, the list will say so."""
_SMOOTHING = 0.2
"""Weight of the latest time in a target's slowness."""
_SLOWNESS_RANGE = (0.5, 8.0)


class HealthSignal(enum.Enum):
    """How a request to a target failed."""

    BROKEN = 'broken'
    """It broke off, fell silent or answered what is no answer to it."""
    FAILED = 'failed'
    """It answered with a failure of its own."""
    FULL = 'full'
    """It did not take the request."""
    MOVED = 'moved'
    """Another instance has its address."""
    UNREACHABLE = 'unreachable'
    """No connection could be opened."""


def record_failure(
    target: model.Target, sign: HealthSignal, now: float
) -> None:
    """Lets other targets go first for a while."""
    match sign:
        case HealthSignal.FULL:
            pause = _FULL_AVOIDANCE
        case HealthSignal.MOVED:
            pause = _MOVED_AVOIDANCE
        case HealthSignal.FAILED:
            # A failure of the request itself is as likely as the target's.
            target.failures += 1
            pause = 0.0 if target.failures < 3 else _FIRST_AVOIDANCE
        case _:
            pause = min(
                _FIRST_AVOIDANCE * 2 ** min(target.failures, 8),
                _LONGEST_AVOIDANCE,
            )
            target.failures += 1
    target.avoided_until = max(target.avoided_until, now + pause)


def record_success(target: model.Target) -> None:
    """Takes an answer as a sign that the target works."""
    target.failures = 0
    target.avoided_until = float('-inf')


def record_time(target: model.Target, taken: float, usual: float) -> None:
    """Takes the time of a request beside the usual one for such requests."""
    if usual <= 0.0:
        return
    low, high = _SLOWNESS_RANGE
    ratio = min(high, max(low, taken / usual))
    target.slowness += _SMOOTHING * (ratio - target.slowness)
