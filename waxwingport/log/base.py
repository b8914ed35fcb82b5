"""Abstract partitioned log: appends, reads, newest records.

The adapter for the platform in use and the stand-in for tests implement it;
one contract suite runs on both.
"""

import abc
from collections.abc import Sequence
import enum
from typing import NewType

from expression import Result
import msgspec

from waxwingport import ids

__all__ = [
    'AppendResult',
    'Epoch',
    'Fault',
    'FaultKind',
    'KeyedPage',
    'KeyedRecord',
    'MemberName',
    'Page',
    'Partition',
    'PartitionLog',
    'Topic',
    'Writer',
]

Epoch = NewType('Epoch', int)
"""Counts the holders of a partition; never falls."""
MemberName = NewType('MemberName', str)
"""Name of one life of a process."""
Topic = NewType('Topic', str)


class FaultKind(enum.Enum):
    """Why the log did not do what it was asked."""

    BUSY = 'busy'
    """Turned away before anything was done; may be repeated."""
    CONFLICT = 'conflict'
    """The partition does not end where the append was to start."""
    EXPIRED = 'expired'
    """The records asked for are no longer held."""
    FENCED = 'fenced'
    """A later writer has taken the partition."""
    INVALID = 'invalid'
    """The call itself is wrong, or its answer can't be read."""
    SEQUENCE = 'sequence'
    """The append does not follow this writer's last one."""
    UNKNOWN = 'unknown'
    """No answer; the call may have been done, or may still be done."""
    UNREACHABLE = 'unreachable'
    """The call did not leave this process."""


class Fault(msgspec.Struct, frozen=True):
    """A failed call to the log."""

    kind: FaultKind
    detail: str
    oldest: ids.Offset | None = None
    """Oldest offset still held, where ``kind`` is ``EXPIRED``."""

    @property
    def had_no_effect(self) -> bool:
        """Whether the call certainly had and will have no effect."""
        return self.kind not in (FaultKind.UNKNOWN, FaultKind.INVALID)


class Partition(msgspec.Struct, frozen=True, order=True):
    """One ordered sequence of records of a topic."""

    topic: Topic
    number: int

    def __str__(self) -> str:
        return f'{self.topic}/{self.number}'


class Writer(msgspec.Struct, frozen=True):
    """Identity under which a partition is written by one holder at a time.

    The log refuses an ``epoch`` lower than one that it has seen for ``name``,
    and within an epoch wants consecutive numbers in ``sequence``.
    """

    name: str
    epoch: Epoch
    sequence: int


class AppendResult(msgspec.Struct, frozen=True):
    """A done append; ``end`` is the offset that the next record gets."""

    offset: ids.Offset
    end: ids.Offset


class Page(msgspec.Struct, frozen=True):
    """Consecutive records from the offset asked for on."""

    records: tuple[bytes, ...]
    end: ids.Offset
    """Offset after the partition's last record, also if not in this page."""
    oldest: ids.Offset


class KeyedRecord(msgspec.Struct, frozen=True):
    """The newest record of a key; ``value`` is ``None`` for a removed key."""

    key: str
    value: bytes | None


class KeyedPage(msgspec.Struct, frozen=True):
    """Keys in their order; ``end`` is the end of the partition."""

    records: tuple[KeyedRecord, ...]
    more: bool
    end: ids.Offset


class PartitionLog(abc.ABC):
    """A log of topics with numbered partitions."""

    @abc.abstractmethod
    async def append(
        self,
        partition: Partition,
        records: Sequence[bytes],
        writer: Writer | None = None,
        at: ids.Offset | None = None,
    ) -> Result[AppendResult, Fault]:
        """Appends all ``records`` or none.

        With ``at`` the partition has to end there, else it fails with
        ``CONFLICT``.
        No records and a ``writer`` set the epoch only, which fences every
        lower one.  A repeat under the same ``writer`` has the first outcome.
        """

    @abc.abstractmethod
    async def read(
        self,
        partition: Partition,
        offset: ids.Offset,
        wait: float = 0.0,
        size: int | None = None,
    ) -> Result[Page, Fault]:
        """Returns records from ``offset`` on.

        Waits up to ``wait`` seconds for the first one; the page is empty when
        none came.  ``size`` is how many bytes of records are wanted; the log
        may return fewer or more, but at least one record if there is one.
        Fails with ``EXPIRED`` when ``offset`` is no longer held.
        """

    @abc.abstractmethod
    async def read_newest(
        self, topic: Topic, after: str | None = None
    ) -> Result[KeyedPage, Fault]:
        """Returns the newest records of a keyed topic's keys."""

    @abc.abstractmethod
    def parse_keyed(self, record: bytes) -> Result[KeyedRecord, Fault]:
        """Returns the key and value of one record of a keyed topic."""
