"""Corrects an engine's lagging load report by what this node knows.

A report names the work at an engine at a time in the past.  This node knows
how many requests it had there then, and how many it has now; the rest of the
report is the work of others.
"""

import bisect
import collections

from waxwingport.targets import base

__all__ = ['LoadEstimate']

_LONGEST_LAG = 5.0
"""Seconds for which this node's own counts are kept."""
_COUNTS_HELD = 512
_OFFSET_DRIFT = 0.001
"""Seconds a second by which two clocks may drift apart."""


class LoadEstimate:
    """Estimate of the work of others at one engine.

    ``counted`` is this node's own work at the time that the report describes.

    The lag of a report has a part that is common to all reports of the
    engine, which can't be told from the offset between the two clocks, and a
    part of its own.  The own part is how much later than the quickest report
    it came.  Of the common part only a lower bound is known: a report that
    counts less work than this node alone had there must describe an earlier
    time.
    """

    def __init__(self) -> None:
        self.others = 0
        self.counted = 0
        self.lag = 0.0
        self._offset: float | None = None
        self._common = 0.0
        self._received = 0.0
        self._times: collections.deque[float] = collections.deque(
            maxlen=_COUNTS_HELD
        )
        self._counts: collections.deque[int] = collections.deque(
            maxlen=_COUNTS_HELD
        )

    def record_own_count(self, count: int, now: float) -> None:
        """Takes this node's requests in progress there from ``now`` on."""
        self._times.append(now)
        self._counts.append(count)

    def record_report(self, report: base.LoadReport, now: float) -> None:
        """Takes a report that came ``now``."""
        self._forget(now - _LONGEST_LAG)
        own_part = self._measure_own_part(report, now)
        total = report.running + report.waiting
        self._received = now
        lag = min(own_part + self._common, _LONGEST_LAG)
        counted = self._count_at(now - lag)
        if counted > total:
            lag = self._find_lag(total, now, lag)
            self._common = max(self._common, lag - own_part)
            counted = self._count_at(now - lag)
        self.lag = lag
        self.counted = counted
        self.others = max(0, total - counted)

    def _measure_own_part(self, report: base.LoadReport, now: float) -> float:
        offset = now - report.measured_at
        if self._offset is None:
            self._offset = offset
        drift = (now - self._received) * _OFFSET_DRIFT
        self._offset = min(offset, self._offset + drift)
        self._common = max(0.0, self._common - drift)
        return offset - self._offset

    def _find_lag(self, total: int, now: float, lag: float) -> float:
        """Returns the least lag at which the report can be true."""
        last = bisect.bisect_right(self._times, now - lag) - 1
        for index in range(last, -1, -1):
            if self._counts[index] <= total:
                return now - self._times[index + 1]
        return min(_LONGEST_LAG, now - self._times[0]) if self._times else lag

    def _count_at(self, when: float) -> int:
        index = bisect.bisect_right(self._times, when) - 1
        return self._counts[index] if index >= 0 else 0

    def _forget(self, oldest: float) -> None:
        while len(self._times) > 1 and self._times[1] <= oldest:
            self._times.popleft()
            self._counts.popleft()
