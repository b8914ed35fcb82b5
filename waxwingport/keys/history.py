"""Tells which records of a stream are certainly older than the window."""

import bisect

from waxwingport import ids

__all__ = ['ReadHistory']

_SAMPLES_PER_WINDOW = 64
_KEPT_WINDOWS = 2


class ReadHistory:
    """Times at which this process had read a stream up to given offsets.

    A record that was read a window ago is older than the window; only this
    process's own clock is needed to know that.  Records before ``start``,
    which the log had already dropped, count as older, so the log must retain
    records for at least the window.  Times are in seconds.
    """

    def __init__(self, start: ids.Offset) -> None:
        self._start = start
        self._times: list[float] = []
        self._ends: list[ids.Offset] = []

    def record(self, end: ids.Offset, window: float, now: float) -> None:
        """Adds a sample: every record before ``end`` was read by ``now``.

        Keeps one sample for each ``window / 64`` seconds, and drops samples
        older than two windows.
        """
        spacing = window / _SAMPLES_PER_WINDOW
        if not self._times or now - self._times[-1] >= spacing:
            self._times.append(now)
            self._ends.append(end)
        while self._times[0] <= now - _KEPT_WINDOWS * window:
            del self._times[0]
            self._start = self._ends.pop(0)

    def find_window_start(self, window: float, now: float) -> ids.Offset:
        """Returns an offset before which every record is out of the window."""
        older = bisect.bisect_right(self._times, now - window)
        return self._ends[older - 1] if older else self._start

    def is_truncated(
        self, oldest: ids.Offset, window: float, now: float
    ) -> bool:
        """Returns whether the log dropped records within the window."""
        younger = bisect.bisect_right(self._times, now - window)
        return younger < len(self._ends) and oldest > self._ends[younger]
