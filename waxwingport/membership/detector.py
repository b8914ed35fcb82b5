"""Failure detector that learns the rhythm of what it watches."""

import collections
import math
import statistics

import msgspec

__all__ = ['Detector', 'DetectorSettings']

_ASSUMED_SAMPLES = 8
_HIGHEST = 1 - 1e-12


class DetectorSettings(msgspec.Struct, frozen=True):
    """How sure a detector has to be; times in seconds."""

    threshold: float = 8.0
    """Suspects at a chance of error of 10 to the minus this."""
    samples: int = 32
    least_deviation: float = 0.25
    """Standard deviation assumed at least, as a share of the mean."""
    longest: float = 6.0
    """Longest bound, in expected intervals."""


class Detector:
    """Phi accrual detector over the intervals between signs of life.

    ``expected`` is the interval in seconds to assume at the start.
    """

    def __init__(
        self, settings: DetectorSettings, expected: float, now: float
    ) -> None:
        self.heard_at = now
        self._settings = settings
        self._expected = expected
        self._intervals: collections.deque[float] = collections.deque(
            [expected] * _ASSUMED_SAMPLES, maxlen=settings.samples
        )
        self._bound: float | None = None

    def record_arrival(self, now: float) -> None:
        """Takes a sign of life.

        What pauses often gets a longer bound, but one outage counts for no
        more than the bound itself.
        """
        self._intervals.append(min(now - self.heard_at, self.bound))
        self._bound = None
        self.heard_at = now

    def is_late(self, now: float) -> bool:
        """Returns whether the silence is longer than the rhythm explains."""
        silence = now - self.heard_at
        return silence > self._expected and silence > self.bound

    def discount_pause(self, pause: float) -> None:
        """Discounts a time in which this process itself was paused."""
        self.heard_at += pause

    @property
    def bound(self) -> float:
        """Longest silence in seconds that is not late."""
        if self._bound is None:
            mean = statistics.fmean(self._intervals)
            squares = ((row - mean) ** 2 for row in self._intervals)
            spread = math.sqrt(statistics.fmean(squares))
            mean = max(mean, self._expected)
            deviation = max(spread, self._settings.least_deviation * mean)
            sure = min(1 - 10**-self._settings.threshold, _HIGHEST)
            bound = statistics.NormalDist(mean, deviation).inv_cdf(sure)
            longest = self._settings.longest * self._expected
            self._bound = min(bound, longest)
        return self._bound
