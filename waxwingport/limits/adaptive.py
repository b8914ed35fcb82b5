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
"""Weight of the latest answer in the recent latency."""
_BASELINE_RISE_SHARE = 0.002
"""Share of the gap to the recent latency by which each answer raises the
baseline.  A recent latency below the baseline replaces it."""


class AdaptiveLimit:
    """The limit on requests in progress at one target.

    ``value`` is the limit and ``ceiling`` the highest value it may reach.
    The limit grows fast, by one with each answer, up to the value after its
    latest decrease, and above it by about one for as many answers as the
    limit.  Times are in seconds of the event loop's clock.
    """

    def __init__(self, initial: float, ceiling: float) -> None:
        self.value = min(initial, ceiling)
        self.ceiling = ceiling
        self._ceiling_known = False
        self._fast_growth_limit = ceiling
        self._recent_latency: float | None = None
        self._baseline_latency: float | None = None
        self._decreased_at = float('-inf')

    def set_ceiling(self, ceiling: float) -> None:
        """Sets the highest value of the limit.

        The first call with another ceiling also sets the limit to it: the
        target's capacity was unknown until then.
        """
        if ceiling == self.ceiling:
            return
        if not self._ceiling_known or self.value >= self.ceiling:
            self.value = ceiling
        self._ceiling_known = True
        self.value = max(_MIN_LIMIT, min(self.value, ceiling))
        self._fast_growth_limit = min(
            max(self._fast_growth_limit, self.value), ceiling
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
        grows_fast = self.value < self._fast_growth_limit
        step = 1.0 if grows_fast else 1.0 / self.value
        self.value = min(self.ceiling, self.value + step)

    def record_refusal(self, sent_at: float, now: float) -> None:
        """Lowers the limit after a target refused a request.

        ``sent_at`` is the time at which the request was sent.
        """
        self._decrease(_REFUSAL_FACTOR, sent_at, now)

    def reset_to_minimum(self) -> None:
        """Lowers the limit to its minimum after the target turned suspect.

        Fast growth then ends at half of the former limit.
        """
        self._fast_growth_limit = max(self.value / 2, _MIN_LIMIT)
        self.value = _MIN_LIMIT
        self._recent_latency = None

    def _decrease(self, factor: float, sent_at: float, now: float) -> None:
        # Requests that were in progress together cause one decrease only.
        if sent_at <= self._decreased_at:
            return
        self._decreased_at = now
        self.value = max(_MIN_LIMIT, self.value * factor)
        self._fast_growth_limit = self.value

    def _is_slow(self, latency: float) -> bool:
        """Adds ``latency``; returns whether recent answers are slow."""
        if self._baseline_latency is None or self._recent_latency is None:
            self._baseline_latency = self._baseline_latency or latency
            self._recent_latency = latency
            return False
        self._recent_latency += _RECENT_WEIGHT * (
            latency - self._recent_latency
        )
        if self._recent_latency < self._baseline_latency:
            self._baseline_latency = self._recent_latency
        else:
            self._baseline_latency += _BASELINE_RISE_SHARE * (
                self._recent_latency - self._baseline_latency
            )
        return (
            self._recent_latency
            > _SLOW_RATIO * self._baseline_latency + _SLOW_MARGIN_S
        )
