"""Membership in a group of the log, which deals its partitions out."""

import abc
import asyncio
from collections.abc import Sequence
import logging

from expression import Result

from waxwingport import clocks
from waxwingport.log import base
from waxwingport.log import dependency

__all__ = ['AssignmentListener', 'GroupMember']

_JOIN_INTERVAL = 0.4
"""Seconds between signs of life: three within the shortest time-out of a
group that the platform allows, and a bit."""

_LOG = logging.getLogger(__name__)


class AssignmentListener(abc.ABC):
    """Learns which partitions this process holds."""

    @abc.abstractmethod
    def assign(self, assignment: base.Assignment) -> None:
        """Takes the whole present assignment; called after each change."""


class GroupMember:
    """Stays in a group and tells listeners what it holds.

    ``member`` has to name one life of a process, not a machine: the writers
    of two lives must never share an epoch.
    """

    def __init__(
        self,
        log: base.PartitionLog,
        group: str,
        member: base.MemberName,
        topics: Sequence[base.Topic],
        clock: clocks.SuspendAwareClock,
    ) -> None:
        self._log = log
        self._group = group
        self._topics = topics
        self._clock = clock
        self._listeners: list[AssignmentListener] = []
        self.member = member
        self.assignment = base.Assignment(base.Generation(0), frozenset())
        self.renewed_at = float('-inf')
        """Suspend-aware time at which the last answered join was sent."""
        self.dependency = dependency.Dependency(f'group:{group}')

    def add_listener(self, listener: AssignmentListener) -> None:
        """Tells ``listener`` of every change from now on."""
        self._listeners.append(listener)

    async def run(self) -> None:
        """Joins again and again until cancelled."""
        while True:
            await self._join()
            await asyncio.sleep(_JOIN_INTERVAL)

    async def leave(self) -> None:
        """Hands everything back, so that others need not wait."""
        self._take(base.Assignment(self.assignment.generation, frozenset()))
        match await self._log.leave(self._group, self.member):
            case Result(tag='error', error=fault):
                self.dependency.note_failure(fault.detail)

    async def _join(self) -> None:
        sent_at = self._clock.read()
        answer = await self._log.join(
            self._group,
            self.member,
            self._topics,
            self.assignment.generation,
        )
        match answer:
            case Result(tag='ok', ok=assignment):
                self.renewed_at = sent_at
                self.dependency.note_success()
                self._take(assignment)
            case Result(error=fault):
                self.dependency.note_failure(fault.detail)

    def _take(self, assignment: base.Assignment) -> None:
        before = self.assignment
        self.assignment = assignment
        if assignment.partitions == before.partitions:
            return
        _LOG.info(
            'partitions-assigned',
            extra={
                'generation': assignment.generation,
                'gained': _name(assignment.partitions - before.partitions),
                'lost': _name(before.partitions - assignment.partitions),
            },
        )
        for listener in self._listeners:
            listener.assign(assignment)


def _name(partitions: frozenset[base.Partition]) -> list[str]:
    return sorted(map(str, partitions))
