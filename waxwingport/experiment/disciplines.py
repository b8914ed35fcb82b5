"""Queueing disciplines that a replay compares."""

import abc
import collections

import msgspec

from waxwingport.scheduling import urgency

__all__ = [
    'ArrivalOrder',
    'CostOfDelay',
    'Discipline',
    'EarliestDeadline',
    'FairQueueing',
    'QueuedWork',
    'StrictPriority',
]

_FAIR_WEIGHT_FACTOR = 4.0
"""Ratio of the shares of two priorities that follow each other, as that of the
weights in the cost of delay."""


class QueuedWork(msgspec.Struct, frozen=True):
    """A call that waits at a node."""

    number: int
    """In the order of arrival."""
    tenant: str
    work: urgency.Work


class Queue(abc.ABC):
    """Gives each call its key when it arrives; the least goes first."""

    @abc.abstractmethod
    def make_key(self, queued: QueuedWork, now: float) -> tuple[float, ...]:
        """Returns the key of a call that arrives at ``now``."""

    @abc.abstractmethod
    def record_start(self, key: tuple[float, ...]) -> None:
        """Called with the key of each call that starts."""


class Discipline(abc.ABC):
    """Makes the queue of one replay."""

    @abc.abstractmethod
    def make_queue(self) -> Queue:
        """Returns an empty queue."""


class _StaticQueue(Queue):
    def __init__(self, discipline: '_StaticDiscipline') -> None:
        self._discipline = discipline

    def make_key(self, queued: QueuedWork, now: float) -> tuple[float, ...]:
        return (*self._discipline.rank(queued, now), queued.number)

    def record_start(self, key: tuple[float, ...]) -> None:
        """Does nothing: the keys do not depend on what has started."""


class _StaticDiscipline(Discipline):
    def make_queue(self) -> Queue:
        return _StaticQueue(self)

    @abc.abstractmethod
    def rank(self, queued: QueuedWork, now: float) -> tuple[float, ...]:
        """Returns what decides before the order of arrival."""


class ArrivalOrder(_StaticDiscipline):
    """First come, first served, as at targets."""

    def rank(self, queued: QueuedWork, now: float) -> tuple[float, ...]:
        """Returns nothing: the order of arrival decides."""
        return ()


class StrictPriority(_StaticDiscipline):
    """The most urgent priority first, as in the wait for turns before."""

    def rank(self, queued: QueuedWork, now: float) -> tuple[float, ...]:
        """Returns the priority."""
        return (queued.work.priority,)


class EarliestDeadline(_StaticDiscipline):
    """The earliest deadline first."""

    def rank(self, queued: QueuedWork, now: float) -> tuple[float, ...]:
        """Returns the deadline."""
        return (queued.work.deadline,)


class CostOfDelay(_StaticDiscipline):
    """The order of ``scheduling.urgency``."""

    def rank(self, queued: QueuedWork, now: float) -> tuple[float, ...]:
        """Returns the virtual deadline."""
        position = urgency.compute_position(queued.work, now)
        return (position.late, position.virtual_deadline)


class _FairQueue(Queue):
    def __init__(self) -> None:
        self._virtual_time = 0.0
        self._finish: collections.defaultdict[str, float] = (
            collections.defaultdict(float)
        )

    def make_key(self, queued: QueuedWork, now: float) -> tuple[float, ...]:
        weight = _FAIR_WEIGHT_FACTOR**-queued.work.priority
        start = max(self._virtual_time, self._finish[queued.tenant])
        finish = start + queued.work.seconds / weight
        self._finish[queued.tenant] = finish
        return (finish, queued.number)

    def record_start(self, key: tuple[float, ...]) -> None:
        self._virtual_time = max(self._virtual_time, key[0])


class FairQueueing(Discipline):
    """Weighted fair queueing between tenants, by self-clocked finish times."""

    def make_queue(self) -> Queue:
        """Returns an empty queue."""
        return _FairQueue()
