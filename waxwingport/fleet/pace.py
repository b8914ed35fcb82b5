"""Estimate of the time between two events of a generation."""

import msgspec

__all__ = ['EventPace']

_SMOOTHING = 0.04
"""Weight of the latest gap: the estimate covers about 25 gaps, which eight
runs at an engine produce in an eighth of a second."""
_MIN_GAPS = 15
"""Gaps that are needed for an estimate: the first ones include the processing
of prompts and events that arrive together."""
_STEADY_WEIGHT = 0.002
"""Weight of the latest gap in the steady estimate: it covers about 500 gaps,
some seconds, in which several bursts of the machine begin and end."""
_MAX_RATIO = 1.5
"""Largest ratio of a gap to the estimate, or of the estimate to a gap; others
count as this one.  Engines process new prompts between the events of other
runs, which lengthens single gaps."""


class EventPace(msgspec.Struct):
    """Moving estimate of the gap between events at one engine.

    Load pattern: several runs start at an engine at once, and the processing
    of their prompts delays single events of the runs that are there.  A mean
    would take the engine for a slow one.
    """

    count: int = 0
    """Number of gaps recorded."""
    estimate: float = 0.0
    """Seconds; reliable only as returned by ``seconds``."""
    max_ratio: float = _MAX_RATIO
    """See ``_MAX_RATIO``; infinite for a plain mean."""
    steady_estimate: float = 0.0
    """Seconds, over a longer time; reliable only as returned by ``steady``."""

    def record(self, gap: float) -> None:
        """Adds the time between two events of one run, in seconds.

        Events that arrive together count with the mean of their gaps.
        """
        self.count += 1
        if self.count > _MIN_GAPS:
            low = self.estimate / self.max_ratio
            gap = max(low, min(self.estimate * self.max_ratio, gap))
        weight = max(_SMOOTHING, 1.0 / self.count)
        self.estimate += weight * (gap - self.estimate)
        weight = max(_STEADY_WEIGHT, 1.0 / self.count)
        self.steady_estimate += weight * (gap - self.steady_estimate)

    @property
    def seconds(self) -> float | None:
        """Seconds between two events, ``None`` until it is reliable."""
        return self.estimate if self.count >= _MIN_GAPS else None

    @property
    def steady(self) -> float | None:
        """Seconds between two events in the long run, if it is reliable."""
        return self.steady_estimate if self.count >= _MIN_GAPS else None
