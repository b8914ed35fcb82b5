"""The right to order engines: one VM at a time, with a rising number."""

import asyncio

from waxwingport import clocks
from waxwingport.log import base
from waxwingport.log import groups

__all__ = ['OrderLease', 'TOPIC']

TOPIC = base.Topic('orders')
_PARTITION = base.Partition(TOPIC, 0)
_VALIDITY = 1.0
"""Seconds after a join was sent for which its answer is relied on: the group
gives nobody else the partition within its shortest time-out, unless it deals
all of them out anew, which the wait of the next holder allows for."""


class OrderLease(groups.AssignmentListener):
    """Held while the group assigns the partition of orders to this node.

    A new holder waits until the last one can no longer believe to hold it
    and ``turn_time`` seconds have passed since.
    """

    def __init__(
        self,
        member: groups.GroupMember,
        turn_time: float,
        clock: clocks.SuspendAwareClock,
    ) -> None:
        self._member = member
        self._turn_time = turn_time
        self._clock = clock
        self._held_since: float | None = None
        self.fence = base.Generation(0)
        """Number of this tenure; higher than that of every earlier one."""
        self.changed = asyncio.Event()
        member.add_listener(self)

    def assign(self, assignment: base.Assignment) -> None:
        """Takes the partition up or gives it up."""
        if _PARTITION not in assignment.partitions:
            self._held_since = None
        elif self._held_since is None:
            self._held_since = self._clock.read()
            self.fence = assignment.generation
        self.changed.set()

    @property
    def held(self) -> bool:
        """Whether an order may be sent right now."""
        if self._held_since is None:
            return False
        now = self._clock.read()
        if now - self._member.renewed_at > _VALIDITY:
            # Somebody else may have held it meanwhile: wait anew.
            self._held_since = now
            return False
        return now - self._held_since >= self._turn_time + _VALIDITY
