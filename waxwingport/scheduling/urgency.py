"""Order of waiting work by what its delay costs, as pure functions.

The rule is that of apparent tardiness cost (Vepsalainen and Morton, 1987):
of two pieces of work the one with the greater weight for each second of work
goes first, discounted by the time that it can still wait.  With one time
constant for all, the order of two pieces does not change while both can still
be done in time, so that each has a fixed position, a virtual deadline.

Load pattern: for some seconds callers ask for more than targets can do.
"""

from collections.abc import Iterable
import math

import msgspec

from waxwingport.fleet import model as fleet

__all__ = ['Position', 'Work', 'applies', 'compute_position']

_TIME_CONSTANT_S = 1.0
"""Seconds by which a virtual deadline is earlier if the weight for each second
of work is greater by a factor of e.  In the replays 0.3 s lets urgent calls
wait longer, and 4 s makes more steps late."""
_PRIORITY_FACTOR = 2.0
"""Ratio of the weights of two priorities that follow each other."""
_LEAST_WORK_S = 0.001
"""Shortest work that is told apart: a round trip takes longer."""
_CALL_RESERVE = 2.0
"""Multiple of the expected time that has to be left for a call to count as in
time: one that is longer than expected, or meets a slowed machine, would else
run without an answer."""
_MAX_LATE_S = 20.0
"""Time after its deadline from which work that is late goes first, so that it
is not overtaken for ever by work that is in time."""


class Work(msgspec.Struct, frozen=True):
    """Work that waits; times are seconds of any one clock."""

    priority: int
    """0 is the most urgent."""
    deadline: float
    """Time until which it has to be done."""
    seconds: float
    """Expected time that it takes at the present speed of its targets."""
    reserve: float = _CALL_RESERVE
    """Multiple of that time that has to be left for it to be in time."""


class Position(msgspec.Struct, frozen=True, order=True):
    """Place in the order; the least goes first."""

    late: bool
    """Whether it can't be done in time any more."""
    virtual_deadline: float
    """The latest start, earlier for urgent and for short work."""


def compute_position(work: Work, now: float) -> Position:
    """Returns the position of work that waits at the time ``now``.

    Work that can't be done in time comes after all that can, until it is
    20 s late.  Work that is in time is overtaken only by work that arrives
    within a time that the priorities and the lengths of both bound.
    """
    seconds = max(work.seconds, _LEAST_WORK_S)
    latest_start = work.deadline - seconds
    late = (
        work.deadline - work.reserve * seconds
        < now
        <= work.deadline + _MAX_LATE_S
    )
    advantage = -work.priority * math.log(_PRIORITY_FACTOR)
    advantage -= math.log(seconds)
    return Position(late, latest_start - _TIME_CONSTANT_S * advantage)


def applies(
    targets: Iterable[fleet.Target], tenants_have_priorities: bool
) -> bool:
    """Returns whether work for these targets is ordered by cost of delay.

    It is if one of them reports its slowdown, or if the configuration has
    tenants with priorities.
    """
    return tenants_have_priorities or any(
        target.reports_slowdown for target in targets
    )
