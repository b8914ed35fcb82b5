"""Interfaces of the platform's services.

Each has an HTTP client and an in-memory stand-in for tests; the same contract
tests run on both.
"""

import abc
from collections.abc import Sequence
import enum

from expression import Result
import msgspec

from waxwingport import ids

__all__ = [
    'Log',
    'LogFault',
    'LogFaultKind',
    'LogPage',
    'LogRecord',
    'PlatformFault',
    'Vm',
    'VmKind',
    'VmList',
    'VmState',
    'Weights',
    'WeightStore',
]


class LogFaultKind(enum.Enum):
    """Why an operation on the log failed."""

    EXPIRED = 'expired'
    """The requested offset is older than the oldest record kept."""
    RATE_LIMITED = 'rate-limited'
    """The log refused the request; nothing was appended."""
    UNAVAILABLE = 'unavailable'
    """The log was not reached or not available; nothing was appended."""
    UNKNOWN = 'unknown'
    """There was no valid response; the record may have been appended."""


class LogFault(msgspec.Struct, frozen=True):
    """A failed operation on the log.

    ``oldest`` is the oldest offset that the log keeps, set for ``EXPIRED``.
    """

    kind: LogFaultKind
    detail: str
    oldest: ids.Offset | None = None


class LogRecord(msgspec.Struct, frozen=True):
    """One record of a stream."""

    offset: ids.Offset
    body: bytes


class LogPage(msgspec.Struct, frozen=True):
    """Consecutive records of a stream.

    ``next`` is the offset at which to continue; ``oldest`` is the oldest
    offset that the log keeps; ``end`` is the offset of the next append, or
    ``None`` if the log does not report it.
    """

    records: tuple[LogRecord, ...]
    oldest: ids.Offset
    next: ids.Offset
    end: ids.Offset | None = None


class Log(abc.ABC):
    """The platform's append-only log service."""

    @abc.abstractmethod
    async def append(
        self, stream: ids.StreamName, body: bytes
    ) -> Result[ids.Offset, LogFault]:
        """Appends one record and returns its offset."""

    @abc.abstractmethod
    async def read(
        self,
        stream: ids.StreamName,
        offset: ids.Offset,
        limit: int = 1000,
        wait: float = 0.0,
    ) -> Result[LogPage, LogFault]:
        """Returns up to ``limit`` records from ``offset`` on.

        Waits up to ``wait`` seconds for the first one; the page is empty if
        none was appended, also for an offset beyond the end.  Fails with
        ``EXPIRED`` if ``offset`` is no longer kept or expires meanwhile.
        """


class PlatformFault(msgspec.Struct, frozen=True):
    """A failed operation on the VM list or the weight store."""

    detail: str


class VmKind(enum.Enum):
    """What runs on a VM."""

    ENGINE = 'engine'
    NODE = 'node'
    SCORING = 'scoring'
    SERVICE = 'service'


class VmState(enum.Enum):
    """State of a VM as the platform lists it."""

    LEAVING = 'leaving'
    LIVE = 'live'


class Vm(msgspec.Struct, frozen=True):
    """One VM of the platform's list.

    ``address`` is ``ip:port``.  ``peer_address`` is set for nodes only.
    ``labels`` are those that the target was registered with.
    """

    name: str
    kind: VmKind
    data_centre: ids.DataCentre
    address: str
    state: VmState = VmState.LIVE
    peer_address: str | None = None
    labels: dict[str, str] = {}


class VmList(abc.ABC):
    """The platform's list of live and leaving VMs; changes appear late."""

    @abc.abstractmethod
    async def read(self) -> Result[Sequence[Vm], PlatformFault]:
        """Returns the VMs that the platform currently lists."""


class Weights(msgspec.Struct, frozen=True):
    """A version of a trainer's weights in the weight store."""

    reference: str
    size: int
    """Bytes."""


class WeightStore(abc.ABC):
    """The weight store, which limits how many engines load from it."""

    @abc.abstractmethod
    async def describe(self, reference: str) -> Result[Weights, PlatformFault]:
        """Returns the size of the weights under ``reference``."""

    @abc.abstractmethod
    async def read_loading_limit(self) -> Result[int, PlatformFault]:
        """Returns how many engines may load weights at the same time."""
