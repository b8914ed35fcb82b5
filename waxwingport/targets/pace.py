"""How long a target takes for a request against what is usual."""

import math

__all__ = ['SlownessEstimate']

_WEIGHT = 0.15
_TOLERATED = 1.5
"""Time over the usual time that does not count as slow yet."""
_OVERDUE = 2.0
"""Usual times without an end of a request from which a target is overdue."""
_SLOWEST = 32.0
_MEMORY = 10.0
"""Seconds after which an observation counts a third."""


class SlownessEstimate:
    """Follows the requests of one target; times in seconds.

    Each request is compared with the time usual for its kind, so that long
    and short ones can be mixed.
    """

    def __init__(self) -> None:
        self._ratio = 1.0
        self._updated = 0.0
        self._usual = 0.0
        self._last_sign = 0.0

    def record_start(self, usual: float, idle: bool, now: float) -> None:
        """Takes a request sent, to a target that was ``idle`` before it."""
        self._usual = max(usual, self._usual * (1.0 - _WEIGHT))
        if idle:
            self._last_sign = now

    def record_end(self, now: float) -> None:
        """Takes the end of a request that says nothing of the pace."""
        self._last_sign = now

    def record_time(self, taken: float, usual: float, now: float) -> None:
        """Takes the time of an answered request."""
        self._last_sign = now
        if usual <= 0.0:
            return
        ratio = min(taken / usual, _SLOWEST)
        before = self._recall(now)
        self._ratio = before + _WEIGHT * (ratio - before)
        self._updated = now

    def read(self, busy: bool, now: float) -> float:
        """Returns time taken over usual time, 1 unless it stands out.

        A busy target also counts as slow while none of its requests ends.
        """
        ratio = self._recall(now) if self._ratio > _TOLERATED else 1.0
        if ratio <= _TOLERATED:
            ratio = 1.0
        if busy and self._usual > 0.0:
            silence = (now - self._last_sign) / self._usual
            if silence > _OVERDUE:
                ratio = max(ratio, min(silence, _SLOWEST))
        return ratio

    def _recall(self, now: float) -> float:
        fading = math.exp((self._updated - now) / _MEMORY)
        return 1.0 + (self._ratio - 1.0) * fading
