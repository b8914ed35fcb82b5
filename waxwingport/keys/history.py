"""How far back the records of a stream are surely out of the window."""

import bisect

from waxwingport import ids

__all__ = ['ReadHistory']

_SAMPLES_PER_WINDOW = 64
_WINDOWS_KEPT = 2


class ReadHistory:
    """Remembers when each part of a stream had been seen.

    A record seen a window ago is older than the window, by this process's
    own clock alone.  What the log no longer held at the start is taken for
    older: the log has to keep records for the window at least.
    """

    def __init__(self, start: ids.Offset) -> None:
        self._start = start
        self._times: list[float] = []
        self._ends: list[ids.Offset] = []

    def record(self, end: ids.Offset, window: float, now: float) -> None:
        """Takes that all records before ``end`` have been seen."""
        spacing = window / _SAMPLES_PER_WINDOW
        if not self._times or now - self._times[-1] >= spacing:
            self._times.append(now)
            self._ends.append(end)
        while self._times[0] <= now - _WINDOWS_KEPT * window:
            del self._times[0]
            self._start = self._ends.pop(0)

    def find_window_start(self, window: float, now: float) -> ids.Offset:
        """Returns an offset before which all is older than the window."""
        older = bisect.bisect_right(self._times, now - window)
        return self._ends[older - 1] if older else self._start

    def is_truncated(
        self, oldest: ids.Offset, window: float, now: float
    ) -> bool:
        """Returns whether the log dropped records within the window."""
        younger = bisect.bisect_right(self._times, now - window)
        return younger < len(self._ends) and oldest > self._ends[younger]
