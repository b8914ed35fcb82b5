"""Estimates of how long a text becomes, learned from finished texts."""

import bisect
import collections

__all__ = ['LengthEstimator']

_WINDOW = 256
"""Finished texts that an estimate covers: a few steps of one trainer."""


class LengthEstimator:
    """Expected events of the texts of one trainer.

    A submitter's hint, in tokens, is right at the median but often far off;
    the estimator learns how many events a hinted token stands for.  Lengths
    have a long tail, so that a text which has grown long is expected to grow
    on.
    """

    def __init__(self) -> None:
        self._recent: collections.deque[tuple[int, float | None]] = (
            collections.deque()
        )
        self._lengths: list[int] = []
        """Sorted."""
        self._ratios: list[float] = []
        """Events for each token of the hint, sorted."""

    def record(self, hint: int | None, events: int) -> None:
        """Adds the length of a finished text and its hint in tokens."""
        ratio = events / hint if hint else None
        self._recent.append((events, ratio))
        bisect.insort(self._lengths, events)
        if ratio is not None:
            bisect.insort(self._ratios, ratio)
        if len(self._recent) > _WINDOW:
            self._forget(*self._recent.popleft())

    def estimate_total(self, hint: int | None) -> float:
        """Returns the expected events of a text of which none are known.

        Without any finished text, this is the hint itself: the order of
        estimates is then right, their unit is not.
        """
        if not self._lengths:
            return float(hint or 0)
        if not hint or not self._ratios:
            return float(self._lengths[len(self._lengths) // 2])
        median = self._ratios[len(self._ratios) // 2]
        return min(hint * median, float(self._lengths[-1]))

    def estimate_remaining(self, hint: int | None, events: int) -> float:
        """Returns the events expected after the first ``events``.

        A text that is longer than expected is compared with the finished
        texts that became longer still; if there is none, it is expected to
        grow by as much again.
        """
        total = self.estimate_total(hint)
        if total > events and (self._lengths or not events):
            return total - events
        longer = self._lengths[bisect.bisect_right(self._lengths, events) :]
        if not longer:
            return float(events)
        return sum(longer) / len(longer) - events

    def _forget(self, events: int, ratio: float | None) -> None:
        del self._lengths[bisect.bisect_left(self._lengths, events)]
        if ratio is not None:
            del self._ratios[bisect.bisect_left(self._ratios, ratio)]
