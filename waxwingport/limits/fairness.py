"""Weighted fair order among flows, and the waiters of each flow.

Start-time fair queueing: each flow has a tag that grows by the inverse of its
weight with each grant, and the flow with the lowest tag comes next.  A flow
that was idle starts at the present virtual time, so that it saves up nothing.
"""

import asyncio
from collections.abc import Iterator

import msgspec
import sortedcontainers

from waxwingport.routing import candidates

__all__ = ['FairClock', 'FairQueue', 'Waiter']

_TAGS_HELD = 1024
_SCANNED_FLOWS = 32
_SCANNED_DEPTH = 4


class FairClock:
    """Virtual times of flows."""

    def __init__(self) -> None:
        self._now = 0.0
        self._tags: dict[str, float] = {}
        self._bound = _TAGS_HELD

    def read(self, flow: str) -> float:
        """Returns the tag of the flow's next grant."""
        return max(self._now, self._tags.get(flow, 0.0))

    def charge(self, flow: str, weight: float) -> None:
        """Takes a grant to ``flow``."""
        start = self.read(flow)
        self._now = start
        self._tags[flow] = start + 1.0 / weight
        if len(self._tags) > self._bound:
            self._forget_idle()

    def _forget_idle(self) -> None:
        """Drops the flows that would start at the present time anyway."""
        self._tags = {
            flow: tag for flow, tag in self._tags.items() if tag > self._now
        }
        self._bound = max(_TAGS_HELD, 2 * len(self._tags))


class Waiter(msgspec.Struct, eq=False):
    """A request that waits for a target."""

    work: candidates.Work
    turn: asyncio.Future
    number: int
    """Counts the waiters of a node in the order of their coming."""
    timer: asyncio.TimerHandle | None = None

    @property
    def order(self) -> tuple[int, float, int]:
        """Sorts the waiters of one flow."""
        return -self.work.priority, self.work.deadline, self.number


def _read_order(waiter: Waiter) -> tuple[int, float, int]:
    return waiter.order


class FairQueue:
    """Waiters by flow; the flow is the owner of the work."""

    def __init__(self) -> None:
        self.clock = FairClock()
        self._flows: dict[str, sortedcontainers.SortedKeyList] = {}
        self._weights: dict[str, float] = {}
        self._size = 0

    def __len__(self) -> int:
        return self._size

    def __iter__(self) -> Iterator[Waiter]:
        for flow in self._flows.values():
            yield from flow

    def add(self, waiter: Waiter) -> None:
        """Adds a waiter."""
        owner = waiter.work.owner
        flow = self._flows.get(owner)
        if flow is None:
            flow = sortedcontainers.SortedKeyList(key=_read_order)
            self._flows[owner] = flow
        self._weights[owner] = waiter.work.weight
        flow.add(waiter)
        self._size += 1

    def discard(self, waiter: Waiter) -> bool:
        """Removes a waiter; returns false if it was not there."""
        owner = waiter.work.owner
        flow = self._flows.get(owner)
        if flow is None or waiter not in flow:
            return False
        flow.remove(waiter)
        self._size -= 1
        if not flow:
            del self._flows[owner]
            del self._weights[owner]
        return True

    def list_next(self) -> Iterator[Waiter]:
        """Yields waiters in the order in which to serve them.

        Only the first few of each flow and the first flows are looked at.
        """
        owners = sorted(self._flows, key=self.clock.read)[:_SCANNED_FLOWS]
        flows = [self._flows[owner] for owner in owners]
        for depth in range(_SCANNED_DEPTH):
            for flow in flows:
                if depth < len(flow):
                    yield flow[depth]

    def find_last(self) -> Waiter | None:
        """Returns the last waiter of the longest flow, by weight."""
        if not self._flows:
            return None
        owner = max(
            self._flows,
            key=lambda row: len(self._flows[row]) / self._weights[row],
        )
        return self._flows[owner][-1]

    def count_ahead(self, work: candidates.Work) -> float:
        """Returns how many waiters a new one would have before it."""
        flow = self._flows.get(work.owner)
        order = (-work.priority, work.deadline, float('inf'))
        own = flow.bisect_key_left(order) if flow else 0
        turns = (own + 1) / work.weight
        others = sum(
            min(len(row), turns * self._weights[owner])
            for owner, row in self._flows.items()
            if owner != work.owner
        )
        return own + others
