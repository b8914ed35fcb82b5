"""When the answers to requests that were at a crash are known everywhere.

Load pattern: the log is away while targets end one after the other.  When it
returns, the reports of the crashes are read before the nodes that got answers
to some of the requests have told of them.
"""

from collections.abc import Collection
from collections.abc import Mapping
import math

from waxwingport.scheduling import attribution

__all__ = ['SettlingTimes']

_MAX_READ_LAG_S = 1.0
"""Age of a crash above which its report was held up, and with it the answers
that other nodes got: several times that of an append and its read."""
_SETTLING_S = 0.75
"""Time after such a report in which nodes that got answers tell of them:
their delay, an append and its read."""


class SettlingTimes:
    """Tells for each crash whether answers would be known by now.

    ``started_at`` is the start of this node in seconds since 1970.  What was
    written before is read together with the answers to it.
    """

    def __init__(self, started_at: float) -> None:
        self._started_at = started_at
        self._settled_at: dict[attribution.TargetStart, float] = {}
        """Loop time from which on each crash in the log is settled."""

    def update(
        self,
        times: Mapping[attribution.TargetStart, float],
        unwritten: Collection[attribution.TargetStart],
        now: float,
        loop_time: float,
    ) -> None:
        """Takes over the crashes that are known, with their times.

        ``times`` and ``now`` are in seconds since 1970.  ``unwritten`` crashes
        are not in the log yet.
        """
        self._settled_at = {
            start: self._settled_at.get(
                start, loop_time + self._compute_delay(at, now)
            )
            for start, at in times.items()
            if start not in unwritten
        }

    def is_settled(
        self, start: attribution.TargetStart, loop_time: float
    ) -> bool:
        """Returns whether a crash is settled."""
        return self._settled_at.get(start, math.inf) <= loop_time

    def _compute_delay(self, at: float, now: float) -> float:
        held_up = at > self._started_at and now - at > _MAX_READ_LAG_S
        return _SETTLING_S if held_up else 0.0
