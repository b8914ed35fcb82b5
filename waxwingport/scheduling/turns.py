"""Turns of nodes that share the limit of a target, as pure functions.

A target names how many requests a second it takes from all nodes together.
Time is divided into turns of one request each, which belong to the sharing
nodes one after the other.  So the sum over all nodes keeps to the limit
whatever their number, also where each may send less than one request in many
seconds, and without a message for each request.

Times are in seconds of a clock that all nodes have in common.
"""

from collections.abc import Iterable
import heapq
import math
from typing import TypeVar

import msgspec
import xxhash

__all__ = [
    'Place',
    'Schedule',
    'choose_sharers',
    'count_places',
    'count_turns',
    'draw_position',
    'find_nth_turn',
    'find_turn_after',
]

Node = TypeVar('Node', bound=str)

_MAX_PERIOD_S = 10.0
"""Longest time between two turns of a node: callers do not wait for longer.
Further nodes get no turns at the target."""


class Place(msgspec.Struct, frozen=True):
    """A node's place among those that share a limit."""

    position: int
    """From 0 to ``count`` - 1."""
    count: int


class Schedule(msgspec.Struct, frozen=True):
    """The turns of one node at one target."""

    rate: float
    """Requests a second from all nodes together."""
    place: Place

    @property
    def period(self) -> float:
        """Seconds between two turns of the node."""
        return self.place.count / self.rate

    def find_start(self, number: int) -> float:
        """Returns the start of the node's turn with a number."""
        place = self.place
        return (place.position + number * place.count) / self.rate

    def find_number(self, time: float) -> int:
        """Returns the number of the node's last turn not after ``time``."""
        place = self.place
        return math.floor((time * self.rate - place.position) / place.count)


def count_turns(schedule: Schedule, after: float, until: float) -> int:
    """Returns how many turns start after ``after`` and up to ``until``."""
    return max(0, schedule.find_number(until) - schedule.find_number(after))


def find_turn_after(schedule: Schedule, time: float) -> float:
    """Returns the start of the first turn after ``time``."""
    return schedule.find_start(schedule.find_number(time) + 1)


def find_nth_turn(
    schedules: Iterable[tuple[Schedule, float]], number: int
) -> float | None:
    """Returns the start of the next turn but ``number`` at any target.

    Each schedule has the time after which its turns count.  Returns ``None``
    without schedules.

    Load pattern: all targets of a service name a limit, and calls wait for
    turns.  A call that finds its turn too late is refused at once.
    """
    upcoming = [
        (find_turn_after(schedule, after), index, schedule)
        for index, (schedule, after) in enumerate(schedules)
    ]
    heapq.heapify(upcoming)
    for _ in range(number):
        if not upcoming:
            return None
        start, index, schedule = upcoming[0]
        heapq.heapreplace(upcoming, (start + schedule.period, index, schedule))
    return upcoming[0][0] if upcoming else None


def choose_sharers(ranked: list[Node], rate: float) -> list[Node]:
    """Returns the nodes that share a limit, of those that ask for a share.

    ``ranked`` is in an order that all nodes compute alike.  The first ones
    are chosen, as many as get a turn in time.

    Load pattern: hundreds of nodes find work for one target that takes two
    requests a second.
    """
    return ranked[: count_places(rate)]


def count_places(rate: float) -> int:
    """Returns how many nodes may share a limit."""
    return max(1, math.floor(rate * _MAX_PERIOD_S))


def draw_position(name: str, count: int) -> int:
    """Returns a place that depends on ``name`` alone."""
    return xxhash.xxh3_64_intdigest(name.encode()) % count
