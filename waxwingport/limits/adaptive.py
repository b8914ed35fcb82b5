"""A limit on requests in progress that adapts to one target.

Additive increase while requests succeed and the limit is in use,
multiplicative decrease when the target refuses or slows down.
"""

__all__ = ['AdaptiveLimit']

_LEAST = 1.0
_REFUSAL_FACTOR = 0.7
_SLOW_FACTOR = 0.9
_SLOW_RATIO = 2.0
"""Recent latency over the usual one that counts as slow."""
_SLOW_MARGIN = 0.005
"""Seconds of latency that never count as slow."""
_RECENT_WEIGHT = 0.2
_USUAL_DRIFT = 0.002
"""Share of the difference by which the usual latency follows a higher one."""


class AdaptiveLimit:
    """Limit of one target; times are in seconds of the loop's clock."""

    def __init__(self, initial: float, ceiling: float) -> None:
        self.value = min(initial, ceiling)
        self.ceiling = ceiling
        self._trusted = False
        self._threshold = ceiling
        self._recent: float | None = None
        self._usual: float | None = None
        self._decreased_at = float('-inf')

    def set_ceiling(self, ceiling: float) -> None:
        """Takes the most that the target can run; a first one is trusted."""
        if ceiling == self.ceiling:
            return
        if not self._trusted or self.value >= self.ceiling:
            self.value = ceiling
        self._trusted = True
        self.value = max(_LEAST, min(self.value, ceiling))
        self._threshold = min(max(self._threshold, self.value), ceiling)
        self.ceiling = ceiling

    def record_success(
        self, in_progress: int, now: float, latency: float | None = None
    ) -> None:
        """Takes an answered request.

        ``in_progress`` counts the requests there while it ran, ``latency``
        is the time to its answer, where that says something of the target.
        """
        if latency is not None and self._is_slow(latency):
            self._decrease(_SLOW_FACTOR, now - latency, now)
            return
        if in_progress * 2 < self.value:
            return
        growing = self.value < self._threshold
        step = 1.0 if growing else 1.0 / self.value
        self.value = min(self.ceiling, self.value + step)

    def record_refusal(self, sent_at: float, now: float) -> None:
        """Takes a refusal of a request sent at ``sent_at``."""
        self._decrease(_REFUSAL_FACTOR, sent_at, now)

    def restart(self) -> None:
        """Starts over from the least, as for a target that was away."""
        self._threshold = max(self.value / 2, _LEAST)
        self.value = _LEAST
        self._recent = None

    def _decrease(self, factor: float, sent_at: float, now: float) -> None:
        # One decrease for all requests that were there at the same time.
        if sent_at <= self._decreased_at:
            return
        self._decreased_at = now
        self.value = max(_LEAST, self.value * factor)
        self._threshold = self.value

    def _is_slow(self, latency: float) -> bool:
        if self._usual is None or self._recent is None:
            self._usual = self._usual or latency
            self._recent = latency
            return False
        self._recent += _RECENT_WEIGHT * (latency - self._recent)
        if self._recent < self._usual:
            self._usual = self._recent
        else:
            self._usual += _USUAL_DRIFT * (self._recent - self._usual)
        return self._recent > _SLOW_RATIO * self._usual + _SLOW_MARGIN
