"""The limit that a target names for the requests of all nodes together."""

import collections
from collections.abc import Sequence
import math

import msgspec

from waxwingport.scheduling import turns

__all__ = ['RateLimit', 'compute_nth_wait']

_MIN_RATE = 0.1
"""Requests a second that are sent to a target that takes fewer or none: its
answers are the only news of the end of its limit."""
_VALIDITY_S = 1.5
"""Time after its start within which a turn may be used.  In any four seconds
the target then gets at most the requests of 5.5 s, and one."""
_MIN_SPACING = 0.9
"""Least time between two turns of a node as a share of its period; matters
when its place or the rate changes."""
_MAX_ADVANCE_S = 30.0
"""Time by which the last used turn may lie ahead: reports and orders use up
turns in advance.  A later one is from before the shared clock was set back."""
_RESERVATION_S = 1.0
"""Time within which a reserved turn has to be used: longer than it takes to
open a connection."""
_UNPLACED_WAIT_S = 0.1
"""Time in which a node without a place may get one: several times that of an
append and its read by all nodes."""


class RateLimit(msgspec.Struct, eq=False):
    """A target's limit and this node's share of it.

    Methods take ``now`` in seconds of the event loop's clock.
    """

    rate: float
    """Requests a second from all nodes together, as the target names it."""
    heard_at: float
    """Loop time of the last answer that named it."""
    clock_offset: float = 0.0
    """Seconds by which the clock that nodes share is ahead of the loop's."""
    began_at: float = 0.0
    """Loop time of the first answer that named it."""
    wanted_at: float = float('-inf')
    """Loop time at which a request was last to be sent to the target."""
    place: turns.Place | None = None
    """This node's place among those that share it; without one the node sends
    no requests."""
    excluded: bool = False
    """Whether the node gets no place, as enough others share the limit."""
    used_until: float = float('-inf')
    """Start of the last turn that was used, by the shared clock."""
    reservations: collections.deque[float] = msgspec.field(
        default_factory=collections.deque
    )
    """Loop times of the turns that were reserved and are not used yet."""

    def __post_init__(self) -> None:
        self.began_at = self.heard_at

    def hear(self, rate: float, now: float) -> None:
        """Records a further answer that names the limit."""
        self.rate = rate
        self.heard_at = now

    def want(self, now: float) -> None:
        """Records that there is a request for the target."""
        self.wanted_at = now

    def make_schedule(self) -> turns.Schedule | None:
        """Returns this node's turns, ``None`` if it has no place."""
        if self.place is None:
            return None
        return turns.Schedule(max(self.rate, _MIN_RATE), self.place)

    def count_turns(self, now: float) -> int:
        """Returns how many requests this node may send now."""
        schedule = self.make_schedule()
        if schedule is None:
            return 0
        time = now + self.clock_offset
        return turns.count_turns(
            schedule, self.find_first(schedule, time), time
        )

    def compute_wait(self, now: float) -> float:
        """Returns the seconds until this node may send a request.

        Without a place it is the time in which the node may get one, and
        infinite if enough others share the limit.
        """
        schedule = self.make_schedule()
        if schedule is None:
            return math.inf if self.excluded else _UNPLACED_WAIT_S
        time = now + self.clock_offset
        start = turns.find_turn_after(
            schedule, self.find_first(schedule, time)
        )
        return max(0.0, start - time)

    def reserve(self, now: float) -> bool:
        """Uses up a turn for a request that is about to be sent.

        Returns ``False`` if there is none.
        """
        if not self.count_turns(now):
            return False
        self._use_turn(now)
        self.reservations.append(now)
        return True

    def redeem(self, now: float) -> bool:
        """Returns whether a request has a reserved turn, and uses it."""
        while self.reservations:
            if now - self.reservations.popleft() <= _RESERVATION_S:
                return True
        return False

    def charge(self, now: float) -> None:
        """Uses up the next turn for a request that does not wait for one.

        A node without a place uses up none.
        """
        if self.place is not None:
            self._use_turn(now)

    def _use_turn(self, now: float) -> None:
        schedule = self.make_schedule()
        if schedule is not None:
            time = now + self.clock_offset
            self.used_until = turns.find_turn_after(
                schedule, self.find_first(schedule, time)
            )

    def find_first(self, schedule: turns.Schedule, time: float) -> float:
        """Returns the time after which turns can be used at ``time``.

        Both are in seconds of the shared clock.
        """
        first = time - _VALIDITY_S
        if self.used_until > time + _MAX_ADVANCE_S:
            return first
        return max(first, self.used_until + _MIN_SPACING * schedule.period)


def compute_nth_wait(
    known: Sequence[RateLimit], number: int, now: float
) -> float | None:
    """Returns the seconds until the next turn but ``number`` at any target.

    Returns ``None`` without limits.  Where this node has no place it counts
    as having a turn once it may have got one.
    """
    schedules = []
    time = now
    for limit in known:
        schedule = limit.make_schedule()
        if schedule is not None:
            time = now + limit.clock_offset
            schedules.append((schedule, limit.find_first(schedule, time)))
    start = turns.find_nth_turn(schedules, number)
    if start is not None:
        return max(0.0, start - time)
    waits = [limit.compute_wait(now) for limit in known]
    return min(waits, default=None)
