"""Membership in a group of the log, which deals its partitions out."""

import abc
import asyncio
from collections.abc import Sequence
import logging

from expression import Result

from waxwingport.log import base
from waxwingport.log import dependency

__all__ = ['AssignmentListener', 'GroupMember']

_JOIN_INTERVAL = 0.4
"""Seconds between signs of life: three within the shortest time-out of a
group that the platform allows, and a bit."""

_RELEASE_TIMEOUT = 0.5
"""Seconds for handing partitions over; with the interval between joins it
stays within the shortest time-out of a group."""

_LOG = logging.getLogger(__name__)


class AssignmentListener(abc.ABC):
    """Learns which partitions this process holds."""

    @abc.abstractmethod
    def assign(self, assignment: base.Assignment) -> None:
        """Takes the whole present assignment; called after each change."""

    async def release(  # noqa: B027
        self, lost: frozenset[base.Partition]
    ) -> None:
        """Hands partitions over that were assigned elsewhere.

        The group waits with its next holder until this returns; called before
        ``assign``.
        """


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
    ) -> None:
        self._log = log
        self._group = group
        self._topics = topics
        self._listeners: list[AssignmentListener] = []
        self.member = member
        self.assignment = base.Assignment(base.Generation(0), frozenset())
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
        await self._take(
            base.Assignment(self.assignment.generation, frozenset())
        )
        match await self._log.leave(self._group, self.member):
            case Result(tag='error', error=fault):
                self.dependency.note_failure(fault.detail)

    async def _join(self) -> None:
        answer = await self._log.join(
            self._group,
            self.member,
            self._topics,
            self.assignment.generation,
        )
        match answer:
            case Result(tag='ok', ok=assignment):
                self.dependency.note_success()
                await self._take(assignment)
            case Result(error=fault):
                self.dependency.note_failure(fault.detail)

    async def _take(self, assignment: base.Assignment) -> None:
        before = self.assignment
        lost = before.partitions - assignment.partitions
        if lost:
            await self._release(lost)
        self.assignment = assignment
        if assignment.partitions == before.partitions:
            return
        _LOG.info(
            'partitions-assigned',
            extra={
                'generation': assignment.generation,
                'gained': _name(assignment.partitions - before.partitions),
                'lost': _name(lost),
            },
        )
        for listener in self._listeners:
            listener.assign(assignment)

    async def _release(self, lost: frozenset[base.Partition]) -> None:
        try:
            async with asyncio.timeout(_RELEASE_TIMEOUT):
                for listener in self._listeners:
                    await listener.release(lost)
        except TimeoutError:
            _LOG.warning('release-timeout', extra={'partitions': _name(lost)})


def _name(partitions: frozenset[base.Partition]) -> list[str]:
    return sorted(map(str, partitions))
