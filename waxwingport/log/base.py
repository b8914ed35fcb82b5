"""Interface of the partitioned log: appends, reads, newest records.

The adapter for the platform and the in-memory stand-in implement it; one
contract test suite covers both.
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
"""Number of a claim of a partition; higher for each later holder."""
MemberName = NewType('MemberName', str)
"""Name of one run of a process; a restarted process has another."""
Topic = NewType('Topic', str)


class FaultKind(enum.Enum):
    """Why a call to the log failed."""

    BUSY = 'busy'
    """Refused before it had any effect; may be retried."""
    CONFLICT = 'conflict'
    """The partition does not end at the offset that the append expects."""
    EXPIRED = 'expired'
    """The requested records are no longer stored."""
    FENCED = 'fenced'
    """A writer with a higher epoch has written to the partition."""
    INVALID = 'invalid'
    """The call itself is wrong, or its answer can't be decoded."""
    SEQUENCE = 'sequence'
    """The append's sequence number does not follow the writer's last one."""
    UNKNOWN = 'unknown'
    """No answer; the call may have taken effect or may still do so."""
    UNREACHABLE = 'unreachable'
    """The call was not sent."""


class Fault(msgspec.Struct, frozen=True):
    """A failed call to the log."""

    kind: FaultKind
    detail: str
    oldest: ids.Offset | None = None
    """Oldest offset still stored, if ``kind`` is ``EXPIRED``."""

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
    """Identity under which the holder of a partition appends.

    The log refuses an ``epoch`` lower than the highest that it has seen for
    ``name``, and requires consecutive ``sequence`` numbers in an epoch.
    """

    name: str
    epoch: Epoch
    sequence: int


class AppendResult(msgspec.Struct, frozen=True):
    """A successful append; ``end`` is the offset of the next record."""

    offset: ids.Offset
    """Offset of the first appended record."""
    end: ids.Offset


class Page(msgspec.Struct, frozen=True):
    """Consecutive records from the requested offset on."""

    records: tuple[bytes, ...]
    end: ids.Offset
    """Offset after the partition's last record, also if that is not here."""
    oldest: ids.Offset
    """Offset of the oldest record that is still stored."""


class KeyedRecord(msgspec.Struct, frozen=True):
    """The newest record of a key; ``value`` is ``None`` for a removed key."""

    key: str
    value: bytes | None


class KeyedPage(msgspec.Struct, frozen=True):
    """Newest records of consecutive keys."""

    records: tuple[KeyedRecord, ...]
    more: bool
    """Whether there are further keys after the last one."""
    end: ids.Offset
    """Offset after the partition's last record."""
    covered: ids.Offset = ids.Offset(0)
    """Offset after the newest of ``records``.  Changes between it and ``end``
    may be missing from the page."""


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

        Fails with ``CONFLICT`` if ``at`` is given and the partition does not
        end there.  A call with a ``writer`` but no records only raises the
        epoch, which fences every lower one.  A repeated call with the same
        ``writer`` has the outcome of the first.
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

        Waits up to ``wait`` seconds for the first one; the page is empty if
        none was appended.  ``size`` is a hint of how many bytes of records to
        return; the log may return fewer or more, but at least one record if
        there is one.  Fails with ``EXPIRED`` if ``offset`` is no longer
        stored.
        """

    @abc.abstractmethod
    async def read_newest(
        self, topic: Topic, after: str | None = None
    ) -> Result[KeyedPage, Fault]:
        """Returns the newest record of each key of a keyed topic.

        Starts behind the key ``after`` if it is given.
        """

    @abc.abstractmethod
    def make_keyed(self, keyed: KeyedRecord) -> bytes:
        """Returns the record that writes or removes a key of a keyed topic.

        Raises ``ValueError`` if the key is too long.
        """

    @abc.abstractmethod
    def parse_keyed(self, record: bytes) -> Result[KeyedRecord, Fault]:
        """Returns the key and value of one record of a keyed topic.

        Fails with ``INVALID`` if the record can't be decoded.
        """
