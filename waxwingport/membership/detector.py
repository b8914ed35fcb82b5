"""Phi accrual failure detector."""

import collections
import math
import statistics

import msgspec

__all__ = ['Detector', 'DetectorSettings']

_INITIAL_SAMPLES = 8
"""Samples of the expected interval that a new detector starts with."""
_MAX_PROBABILITY = 1 - 1e-12


class DetectorSettings(msgspec.Struct, frozen=True):
    """Parameters of a detector."""

    threshold: float = 8.0
    """Suspicion starts at an error probability of 10 ** -threshold."""
    samples: int = 32
    """Most recent intervals that are kept."""
    min_deviation: float = 0.25
    """Minimum standard deviation, as a share of the mean."""
    max_silence: float = 6.0
    """Upper bound of the allowed silence, in expected intervals."""


class Detector:
    """Judges silence by the distribution of the intervals between messages.

    ``expected`` is the interval at which messages are sent, in seconds; it
    also serves as the initial samples.  Times are in seconds by one
    monotonic clock.
    """

    def __init__(
        self, settings: DetectorSettings, expected: float, now: float
    ) -> None:
        self.heard_at = now
        self._settings = settings
        self._expected = expected
        self._intervals: collections.deque[float] = collections.deque(
            [expected] * _INITIAL_SAMPLES, maxlen=settings.samples
        )
        self._allowed_silence: float | None = None

    def record_arrival(self, now: float) -> None:
        """Records the arrival of a message at ``now``.

        Frequent pauses raise the allowed silence.  A single interval counts
        for no more than the allowed silence, so that one outage raises it
        only a little.
        """
        self._intervals.append(min(now - self.heard_at, self.allowed_silence))
        self._allowed_silence = None
        self.heard_at = now

    def is_late(self, now: float) -> bool:
        """Returns whether the silence is longer than expected and allowed."""
        silence = now - self.heard_at
        return silence > self._expected and silence > self.allowed_silence

    def discount_pause(self, pause: float) -> None:
        """Excludes ``pause`` seconds in which this process did not run."""
        self.heard_at += pause

    @property
    def allowed_silence(self) -> float:
        """Maximum silence in seconds that does not raise suspicion."""
        if self._allowed_silence is None:
            mean = statistics.fmean(self._intervals)
            squares = ((interval - mean) ** 2 for interval in self._intervals)
            measured_deviation = math.sqrt(statistics.fmean(squares))
            mean = max(mean, self._expected)
            deviation = max(
                measured_deviation, self._settings.min_deviation * mean
            )
            probability = min(
                1 - 10**-self._settings.threshold, _MAX_PROBABILITY
            )
            bound = statistics.NormalDist(mean, deviation).inv_cdf(probability)
            limit = self._settings.max_silence * self._expected
            self._allowed_silence = min(bound, limit)
        return self._allowed_silence
