"""Estimate of how slow a target is, relative to the expected times."""

import math

__all__ = ['SlownessEstimate']

_SMOOTHING = 0.15
"""Weight of the latest request in the moving average."""
_SLOW_RATIO = 1.5
"""Ratio of elapsed to expected time above which a target is slow."""
_OVERDUE_RATIO = 2.0
"""Time without the end of any request, as a ratio to the expected time, above
which a busy target is slow."""
_MAX_RATIO = 32.0
"""Upper bound of the ratio, for one request and for the estimate."""
_DECAY_TIME_S = 10.0
"""Time constant with which the ratio returns to 1: after this time an
observation has about a third of its weight."""


class SlownessEstimate:
    """Estimate of one target's slowness; times are in seconds.

    Each request is compared with the time expected for its kind, so that long
    and short requests can be mixed.
    """

    def __init__(self) -> None:
        self._ratio = 1.0
        self._updated_at = 0.0
        self._expected = 0.0
        self._last_end_at = 0.0

    def record_start(self, expected: float, idle: bool, now: float) -> None:
        """Records that a request was sent.

        ``idle`` tells whether it is the only one at the target.
        """
        self._expected = max(expected, self._expected * (1.0 - _SMOOTHING))
        if idle:
            self._last_end_at = now

    def record_end(self, now: float) -> None:
        """Records the end of a request without its elapsed time."""
        self._last_end_at = now

    def record_time(self, elapsed: float, expected: float, now: float) -> None:
        """Records the elapsed time of an answered request."""
        self._last_end_at = now
        if expected <= 0.0:
            return
        ratio = min(elapsed / expected, _MAX_RATIO)
        before = self._decay_ratio(now)
        self._ratio = before + _SMOOTHING * (ratio - before)
        self._updated_at = now

    def read(self, busy: bool, now: float) -> float:
        """Returns the ratio of elapsed to expected time, 1 if not slow.

        A busy target also counts as slow while none of its requests ends.
        """
        ratio = self._decay_ratio(now) if self._ratio > _SLOW_RATIO else 1.0
        if ratio <= _SLOW_RATIO:
            ratio = 1.0
        if busy and self._expected > 0.0:
            silence = (now - self._last_end_at) / self._expected
            if silence > _OVERDUE_RATIO:
                ratio = max(ratio, min(silence, _MAX_RATIO))
        return ratio

    def _decay_ratio(self, now: float) -> float:
        decay = math.exp((self._updated_at - now) / _DECAY_TIME_S)
        return 1.0 + (self._ratio - 1.0) * decay
