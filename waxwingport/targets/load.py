"""Estimate of the work of other nodes at an engine from delayed reports.

A report describes the load of an engine at a time in the past.  This node
knows how many requests it had there at that time; the rest of the reported
load is the work of others.
"""

import bisect
import collections

from waxwingport.targets import base

__all__ = ['LoadEstimate']

_MAX_LAG_S = 5.0
"""Longest lag of a report; older counts of this node are dropped."""
_MAX_COUNTS = 512
"""Changes of this node's count that are stored for one engine."""
_MAX_CLOCK_DRIFT = 0.001
"""Seconds per second by which two clocks may drift apart."""


class LoadEstimate:
    """Estimate of the work of others at one engine.

    ``others`` is the number of requests of others, ``own_at_report`` that of
    this node at the time that the report describes, ``lag`` the time in
    seconds from then to the arrival of the report.

    The lag has a part that is common to all reports of the engine and can't
    be distinguished from the offset between the two clocks, and an extra part:
    how much later than the fastest report this one arrived.  Of the common
    part only a lower bound is known: a report of less work than this node
    alone had there must describe an earlier time.
    """

    def __init__(self) -> None:
        self.others = 0
        self.own_at_report = 0
        self.lag = 0.0
        self._clock_offset: float | None = None
        self._common_lag = 0.0
        self._received_at = 0.0
        self._times: collections.deque[float] = collections.deque(
            maxlen=_MAX_COUNTS
        )
        self._counts: collections.deque[int] = collections.deque(
            maxlen=_MAX_COUNTS
        )

    def record_own_count(self, count: int, now: float) -> None:
        """Sets the number of this node's requests there from ``now`` on."""
        self._times.append(now)
        self._counts.append(count)

    def record_report(self, report: base.LoadReport, now: float) -> None:
        """Updates the estimate by a report that arrived at ``now``."""
        self._drop_before(now - _MAX_LAG_S)
        extra_lag = self._compute_extra_lag(report, now)
        total = report.running + report.waiting
        self._received_at = now
        lag = min(extra_lag + self._common_lag, _MAX_LAG_S)
        own_at_report = self._find_count_at(now - lag)
        if own_at_report > total:
            lag = self._find_lag(total, now, lag)
            self._common_lag = max(self._common_lag, lag - extra_lag)
            own_at_report = self._find_count_at(now - lag)
        self.lag = lag
        self.own_at_report = own_at_report
        self.others = max(0, total - own_at_report)

    def _compute_extra_lag(self, report: base.LoadReport, now: float) -> float:
        offset = now - report.measured_at
        if self._clock_offset is None:
            self._clock_offset = offset
        drift = (now - self._received_at) * _MAX_CLOCK_DRIFT
        self._clock_offset = min(offset, self._clock_offset + drift)
        self._common_lag = max(0.0, self._common_lag - drift)
        return offset - self._clock_offset

    def _find_lag(self, total: int, now: float, lag: float) -> float:
        """Returns the least lag with which the report can be correct."""
        last = bisect.bisect_right(self._times, now - lag) - 1
        for index in range(last, -1, -1):
            if self._counts[index] <= total:
                return now - self._times[index + 1]
        return min(_MAX_LAG_S, now - self._times[0]) if self._times else lag

    def _find_count_at(self, when: float) -> int:
        index = bisect.bisect_right(self._times, when) - 1
        return self._counts[index] if index >= 0 else 0

    def _drop_before(self, oldest: float) -> None:
        while len(self._times) > 1 and self._times[1] <= oldest:
            self._times.popleft()
            self._counts.popleft()
