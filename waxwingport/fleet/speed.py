"""Speed of a target, learned from its answers and from what it reports."""

from collections.abc import Iterable
import statistics

import msgspec

__all__ = ['LearnedSpeed', 'compute_mean', 'compute_weight']

_REPORT_LIFETIME_S = 0.6
"""Time after which a report of a machine's slowdown says nothing any more.
Targets share their machines with others, whose load is drawn anew about every
600 ms; the share of instants that lie in one such interval with the report
falls linearly to 0."""
_MEAN_WEIGHT = 0.02
"""Weight of the latest report in the mean slowdown: about 50 answers, several
of the bursts."""
_SLOWNESS_WEIGHT = 0.05
"""Weight of the latest request in the learned slowness.  The speed of a
target's hardware does not change, so noise matters more than delay."""
_PRIOR_COUNT = 5
"""Requests for which the assumption of a usual speed counts."""
_SLOWNESS_RANGE = (0.25, 4.0)
"""Bounds of the slowness that one request may show: engines differ by a factor
of 2.2, and single requests need much more or less work than others."""
_SLOWDOWN_RANGE = (0.25, 20.0)
"""Bounds of a reported slowdown; others count as these."""


def compute_weight(age: float, seconds: float) -> float:
    """Returns how much a report says of the work that begins now.

    ``age`` is that of the report in seconds, ``seconds`` the length of the
    work.  The result is the mean, over that time, of a weight that falls from
    1 to 0 within the report's lifetime.
    """
    begin = min(max(0.0, age), _REPORT_LIFETIME_S)
    if seconds <= 0.0:
        return 1.0 - begin / _REPORT_LIFETIME_S
    end = min(begin + seconds, _REPORT_LIFETIME_S)
    covered = end - begin - (end**2 - begin**2) / (2 * _REPORT_LIFETIME_S)
    return covered / seconds


def compute_mean(values: Iterable[float]) -> float:
    """Returns the mean of some values, 0 without any."""
    found = list(values)
    return statistics.fmean(found) if found else 0.0


class LearnedSpeed(msgspec.Struct):
    """What the answers of a target that reports its slowdown have shown.

    Load pattern: machines are slowed in bursts of some hundred milliseconds,
    and the engines on them differ in speed.
    """

    slowness: float = 1.0
    """Time that a request takes at the target's usual speed, over the mean of
    its route."""
    requests: int = 0
    """Requests that the slowness was learned from."""
    mean_slowdown: float = 1.0
    """Moving mean of what the target reported."""
    mean_error: float = 0.0
    """Moving mean of the difference between a report and its estimate."""

    def record_report(self, slowdown: float, estimate: float) -> None:
        """Adds the slowdown that an answer reports; 1 means as usual.

        ``estimate`` is what was expected of it before.
        """
        low, high = _SLOWDOWN_RANGE
        slowdown = min(high, max(low, slowdown))
        error = abs(slowdown - estimate)
        self.mean_error += _MEAN_WEIGHT * (error - self.mean_error)
        self.mean_slowdown += _MEAN_WEIGHT * (slowdown - self.mean_slowdown)

    def record_time(
        self, elapsed: float, expected: float, slowdown: float
    ) -> None:
        """Adds a request that did not wait at the target.

        Times are in seconds; ``slowdown`` is what its answer reported.
        """
        during = self.estimate_slowdown(slowdown, 0.0, elapsed)
        low, high = _SLOWNESS_RANGE
        ratio = min(high, max(low, elapsed / expected / during))
        self.requests += 1
        weight = max(_SLOWNESS_WEIGHT, 1 / (self.requests + _PRIOR_COUNT))
        self.slowness += weight * (ratio - self.slowness)

    def estimate_slowdown(
        self, reported: float, age: float, seconds: float
    ) -> float:
        """Returns the mean slowdown expected during ``seconds`` of work.

        ``reported`` is the last report, ``age`` seconds old.  It decays to the
        mean of the target's reports.
        """
        low, high = _SLOWDOWN_RANGE
        reported = min(high, max(low, reported))
        weight = compute_weight(age, seconds)
        return self.mean_slowdown + weight * (reported - self.mean_slowdown)
