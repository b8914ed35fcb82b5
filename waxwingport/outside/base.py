"""Abstract bases of the platform's services.

Each has an HTTP adapter for use and an in-memory fake for tests; one contract
suite runs on both.
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
    """Why the log did not answer as asked."""

    EXPIRED = 'expired'
    """The offset asked for is older than the oldest record held."""
    RATE_LIMITED = 'rate-limited'
    """Refused by the log; the append did not take effect."""
    UNAVAILABLE = 'unavailable'
    """Not reached; the append did not take effect."""
    UNKNOWN = 'unknown'
    """The answer was lost; the append may have taken effect."""


class LogFault(msgspec.Struct, frozen=True):
    """A failed operation on the log."""

    kind: LogFaultKind
    detail: str
    oldest: ids.Offset | None = None


class LogRecord(msgspec.Struct, frozen=True):
    """One record of a stream."""

    offset: ids.Offset
    body: bytes


class LogPage(msgspec.Struct, frozen=True):
    """Consecutive records of a stream.

    ``next`` is the offset to read from next; ``oldest`` is the oldest offset
    that the log still holds; ``end`` is the offset that the next append gets,
    or ``None`` if the log does not say.
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

        Waits up to ``wait`` seconds for the first one; the page is empty when
        none came, also for an offset beyond the end.  Fails with ``EXPIRED``
        when ``offset`` is no longer held, also if it expires meanwhile.
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
    ``labels`` are the fixed ones that the target registered with.
    """

    name: str
    kind: VmKind
    data_centre: ids.DataCentre
    address: str
    state: VmState = VmState.LIVE
    peer_address: str | None = None
    labels: dict[str, str] = {}


class VmList(abc.ABC):
    """The platform's lagging list of live and leaving VMs."""

    @abc.abstractmethod
    async def read(self) -> Result[Sequence[Vm], PlatformFault]:
        """Returns the VMs that the platform lists now."""


class Weights(msgspec.Struct, frozen=True):
    """A version of a trainer's weights as the weight store names it."""

    reference: str
    size: int
    """Bytes."""


class WeightStore(abc.ABC):
    """The rate-limited weight store."""

    @abc.abstractmethod
    async def describe(self, reference: str) -> Result[Weights, PlatformFault]:
        """Returns the size of the weights under ``reference``."""

    @abc.abstractmethod
    async def read_rate(self) -> Result[int, PlatformFault]:
        """Returns how many engines may load at the same time."""
