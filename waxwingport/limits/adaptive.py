"""An adaptive limit on the requests in progress at one target.

Additive increase while requests succeed and the limit is in use,
multiplicative decrease when the target refuses or slows down.
"""

__all__ = ['AdaptiveLimit']

_MIN_LIMIT = 1.0
_REFUSAL_FACTOR = 0.7
"""Factor by which a refusal lowers the limit."""
_SLOW_FACTOR = 0.9
"""Factor by which slow answers lower the limit."""
_SLOW_RATIO = 2.0
"""Ratio of recent latency to the baseline above which answers are slow."""
_SLOW_MARGIN_S = 0.005
"""Seconds added to the slow threshold, so that the jitter of very quick
answers does not count as slow."""
_RECENT_WEIGHT = 0.2
"""Weight of the latest sample in the recent latency."""
_BASELINE_DRIFT = 0.002
"""Share of the difference by which the baseline rises, with each sample,
towards a higher recent latency; it follows a lower one at once."""


class AdaptiveLimit:
    """The limit on requests in progress at one target.

    ``value`` is the limit and ``ceiling`` the highest value it may reach.
    Times are in seconds of the event loop's clock.
    """

    def __init__(self, initial: float, ceiling: float) -> None:
        self.value = min(initial, ceiling)
        self.ceiling = ceiling
        self._ceiling_known = False
        self._fast_growth_end = ceiling
        self._recent: float | None = None
        self._baseline: float | None = None
        self._decreased_at = float('-inf')

    def set_ceiling(self, ceiling: float) -> None:
        """Sets the highest value of the limit.

        The first call also raises the limit to ``ceiling``: the target's
        capacity was unknown until then.
        """
        if ceiling == self.ceiling:
            return
        if not self._ceiling_known or self.value >= self.ceiling:
            self.value = ceiling
        self._ceiling_known = True
        self.value = max(_MIN_LIMIT, min(self.value, ceiling))
        self._fast_growth_end = min(
            max(self._fast_growth_end, self.value), ceiling
        )
        self.ceiling = ceiling

    def record_success(
        self, in_progress: int, now: float, latency: float | None = None
    ) -> None:
        """Raises the limit after an answer, or lowers it after a slow one.

        ``in_progress`` is the number of requests at the target while this one
        ran.  ``latency`` is the time to the answer in seconds, or ``None``
        where it depends on the request rather than on the target.  The limit
        does not grow while less than half of it is in use.
        """
        if latency is not None and self._is_slow(latency):
            self._decrease(_SLOW_FACTOR, now - latency, now)
            return
        if in_progress * 2 < self.value:
            return
        growing = self.value < self._fast_growth_end
        step = 1.0 if growing else 1.0 / self.value
        self.value = min(self.ceiling, self.value + step)

    def record_refusal(self, sent_at: float, now: float) -> None:
        """Lowers the limit after a target refused a request.

        ``sent_at`` is the time at which the request was sent.
        """
        self._decrease(_REFUSAL_FACTOR, sent_at, now)

    def reset_to_minimum(self) -> None:
        """Lowers the limit to its minimum, as for an unreachable target."""
        self._fast_growth_end = max(self.value / 2, _MIN_LIMIT)
        self.value = _MIN_LIMIT
        self._recent = None

    def _decrease(self, factor: float, sent_at: float, now: float) -> None:
        # Requests that were in progress together cause one decrease only.
        if sent_at <= self._decreased_at:
            return
        self._decreased_at = now
        self.value = max(_MIN_LIMIT, self.value * factor)
        self._fast_growth_end = self.value

    def _is_slow(self, latency: float) -> bool:
        if self._baseline is None or self._recent is None:
            self._baseline = self._baseline or latency
            self._recent = latency
            return False
        self._recent += _RECENT_WEIGHT * (latency - self._recent)
        if self._recent < self._baseline:
            self._baseline = self._recent
        else:
            self._baseline += _BASELINE_DRIFT * (self._recent - self._baseline)
        return self._recent > _SLOW_RATIO * self._baseline + _SLOW_MARGIN_S
