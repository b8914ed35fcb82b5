"""Weighted fair queueing of waiters among flows.

Start-time fair queueing: each flow has a tag that grows by the inverse of its
weight with each grant, and the flow with the lowest tag is served next.  An
idle flow starts at the present virtual time, so that it gains no credit.
"""

import asyncio
from collections.abc import Iterator

import msgspec
import sortedcontainers

from waxwingport.routing import model

__all__ = ['FairQueue', 'StartTags', 'Waiter']

_MIN_PRUNE_SIZE = 1024
"""Number of stored tags above which those of idle flows are dropped."""
_MAX_SCANNED_FLOWS = 32
"""Flows whose waiters ``iterate_in_order`` yields."""
_MAX_SCANNED_DEPTH = 4
"""Waiters of each flow that ``iterate_in_order`` yields."""


class StartTags:
    """Start tags of flows, in virtual time.

    The flows are the owners in a queue, or the pools and services of a node.
    """

    def __init__(self) -> None:
        self._virtual_time = 0.0
        self._tags: dict[str, float] = {}
        self._prune_size = _MIN_PRUNE_SIZE

    def compute_start_tag(self, flow: str) -> float:
        """Returns the virtual start time of the flow's next grant."""
        return max(self._virtual_time, self._tags.get(flow, 0.0))

    def charge(self, flow: str, weight: float) -> None:
        """Advances the tag of ``flow`` by one grant."""
        start = self.compute_start_tag(flow)
        self._virtual_time = start
        self._tags[flow] = start + 1.0 / weight
        if len(self._tags) > self._prune_size:
            self._prune_idle()

    def _prune_idle(self) -> None:
        """Drops the tags that the virtual time has passed.

        Their flows would start at the virtual time anyway.
        """
        self._tags = {
            flow: tag
            for flow, tag in self._tags.items()
            if tag > self._virtual_time
        }
        self._prune_size = max(_MIN_PRUNE_SIZE, 2 * len(self._tags))


class Waiter(msgspec.Struct, eq=False):
    """A request that waits for a grant.

    ``grant_result`` resolves to the grant or a refusal.
    """

    work: model.Work
    grant_result: asyncio.Future
    arrival_number: int
    """Position in the order in which the waiters of this node arrived."""
    timer: asyncio.TimerHandle | None = None

    @property
    def order(self) -> tuple[int, float, int]:
        """Sort key of the waiters of one flow: priority, deadline, arrival."""
        return -self.work.priority, self.work.deadline, self.arrival_number


def _get_order(waiter: Waiter) -> tuple[int, float, int]:
    return waiter.order


class FairQueue:
    """Waiters by flow; each owner of work is a flow."""

    def __init__(self) -> None:
        self.start_tags = StartTags()
        self._flows: dict[str, sortedcontainers.SortedKeyList] = {}
        self._weights: dict[str, float] = {}
        self._size = 0

    def __len__(self) -> int:
        return self._size

    def __iter__(self) -> Iterator[Waiter]:
        for flow in self._flows.values():
            yield from flow

    def add(self, waiter: Waiter) -> None:
        """Adds ``waiter`` and sets its owner's weight to that of its work."""
        owner = waiter.work.owner
        flow = self._flows.get(owner)
        if flow is None:
            flow = sortedcontainers.SortedKeyList(key=_get_order)
            self._flows[owner] = flow
        self._weights[owner] = waiter.work.weight
        flow.add(waiter)
        self._size += 1

    def discard(self, waiter: Waiter) -> bool:
        """Removes ``waiter``; returns false if it was not queued."""
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

    def iterate_in_order(self) -> Iterator[Waiter]:
        """Yields waiters in the order in which to serve them.

        Covers only the first waiters of the first flows, so that the cost
        does not grow with the queue.
        """
        owners = sorted(self._flows, key=self.start_tags.compute_start_tag)[
            :_MAX_SCANNED_FLOWS
        ]
        flows = [self._flows[owner] for owner in owners]
        for depth in range(_MAX_SCANNED_DEPTH):
            for flow in flows:
                if depth < len(flow):
                    yield flow[depth]

    def find_displaceable(self) -> Waiter | None:
        """Returns the last waiter of the flow with the most for its weight.

        Returns ``None`` if the queue is empty.
        """
        if not self._flows:
            return None
        owner = max(
            self._flows,
            key=lambda name: len(self._flows[name]) / self._weights[name],
        )
        return self._flows[owner][-1]

    def count_ahead(self, work: model.Work) -> float:
        """Returns about how many waiters would be served before ``work``."""
        flow = self._flows.get(work.owner)
        order = (-work.priority, work.deadline, float('inf'))
        own = flow.bisect_key_left(order) if flow else 0
        # Each round serves a flow as many times as its weight.
        rounds = (own + 1) / work.weight
        others = sum(
            min(len(waiters), rounds * self._weights[owner])
            for owner, waiters in self._flows.items()
            if owner != work.owner
        )
        return own + others
