"""Whether a run that the node itself ended to move its item has paid off.

Load pattern: machines are slowed in bursts, and runs move away from them.
"""

import msgspec

__all__ = ['Cut']


class Cut(msgspec.Struct, frozen=True):
    """The end of a run whose item was to go on at a faster engine."""

    at: float
    """Time of the event loop's clock."""
    events: int
    """Events of the text until then."""
    gap: float
    """Expected seconds between two events at the engine that it left."""

    def compute_gain(self, finished_at: float, events: int) -> float:
        """Returns the seconds by which the item finished sooner.

        The comparison is with the expected end at the engine that it left,
        for the length of ``events`` that the text has reached.  A negative
        result is a loss.
        """
        return self.at + (events - self.events) * self.gap - finished_at
