"""Abstract base classes of the targets that a node sends work to.

Each has an HTTP adapter and an in-memory stand-in for tests; the same contract
tests run on both.
"""

import abc
from collections.abc import AsyncIterator
from collections.abc import Sequence
import enum

from expression import Result
import msgspec

from waxwingport import ids

__all__ = [
    'CacheEvent',
    'CacheEventKind',
    'CacheEvents',
    'Chunk',
    'Engine',
    'EngineState',
    'FinishReason',
    'Generation',
    'LoadReport',
    'Order',
    'OrderKind',
    'ScoringService',
    'Service',
    'ServiceAnswer',
    'ServiceCall',
    'TargetFault',
    'TargetFaultKind',
]


class TargetFaultKind(enum.Enum):
    """Why a request to a target failed."""

    BROKEN = 'broken'
    """The connection broke or the answer was invalid."""
    CANCELLED = 'cancelled'
    """This node cancelled the request."""
    REFUSED = 'refused'
    """The target reported that it did not run the request."""
    REJECTED = 'rejected'
    """The target reported an error in the request itself (HTTP 4xx)."""
    SILENT = 'silent'
    """No data arrived within the progress timeout."""
    TIMEOUT = 'timeout'
    """The deadline of the request passed."""
    UNREACHABLE = 'unreachable'
    """No connection could be opened."""


class TargetFault(msgspec.Struct, frozen=True):
    """A failed request to a target.

    ``sent`` is false only if no byte of the request can have reached the
    target, or if the target reported that the request did not run.
    ``retry_after`` is in seconds, ``status`` the HTTP status.
    """

    kind: TargetFaultKind
    detail: str
    sent: bool
    retry_after: float | None = None
    status: int | None = None


class FinishReason(enum.Enum):
    """Why a generation ended."""

    LENGTH = 'length'
    STOP = 'stop'


class Generation(msgspec.Struct, frozen=True):
    """A generation for an engine to run, or to resume from a position.

    ``text`` is what was generated before and ``position`` the number of its
    tokens.  ``parameters`` are passed to the engine unchanged.
    """

    request_id: ids.RequestId
    prompt: str
    max_tokens: int
    priority: int = 0
    parameters: dict[str, msgspec.Raw] = {}
    text: str = ''
    position: int = 0
    adapter: str | None = None


class Chunk(msgspec.Struct, frozen=True):
    """A part of a generation.

    ``position`` is the number of tokens before it.  ``weight_version`` is
    ``None`` when the engine did not name one.  ``software`` is empty at an
    engine that does not state the version of its software.
    """

    position: int
    tokens: int
    text: str
    weight_version: ids.WeightVersion | None
    finish_reason: FinishReason | None = None
    software: ids.SoftwareVersion = ids.SoftwareVersion('')


class LoadReport(msgspec.Struct, frozen=True):
    """An engine's report of its load, which arrives with a delay.

    ``running`` and ``waiting`` count requests, ``capacity`` those that can run
    at the same time.  ``measured_at`` is in seconds of the engine's own clock,
    so only differences between reports of one engine are meaningful.
    """

    running: int
    waiting: int
    capacity: int
    measured_at: float = 0.0
    cache_used: float = 0.0
    """Share of the cache memory in use, 0 to 1."""


class CacheEventKind(enum.Enum):
    """The change that a cache event reports."""

    CLEARED = 'cleared'
    REMOVED = 'removed'
    STORED = 'stored'


class CacheEvent(msgspec.Struct, frozen=True):
    """One change of an engine's prefix cache.

    ``block`` is the hash of a prompt prefix; see
    ``waxwingport.routing.prefixes``.
    """

    offset: int
    kind: CacheEventKind
    block: int = 0


class CacheEvents(msgspec.Struct, frozen=True):
    """Cache events from an offset on.

    ``first`` is the oldest offset that the engine still stores: a reader that
    asked for an older one has missed events.  ``next`` is the offset to read
    from next.
    """

    events: tuple[CacheEvent, ...]
    first: int
    next: int


class OrderKind(enum.Enum):
    """What an order tells an engine to do."""

    DRAIN = 'drain'
    LOAD_ADAPTER = 'load-adapter'
    LOAD_VERSION = 'load-version'
    SET_ROLE = 'set-role'


class Order(msgspec.Struct, frozen=True):
    """An order to an engine to reach a state.

    Engines that check fencing numbers reject an order whose
    ``fencing_number`` is lower than the highest they have seen.
    """

    kind: OrderKind
    fencing_number: ids.FencingNumber
    weight_version: ids.WeightVersion | None = None
    reference: str | None = None
    value: str | None = None
    """The adapter or role; ``'on'`` or ``'off'`` to drain or not."""


class EngineState(msgspec.Struct, frozen=True):
    """State that an engine reports of itself.

    ``loading`` is the version being loaded.  ``fencing_number`` is the
    highest number seen, ``None`` at an engine that ignores them.  ``software``
    is empty at an engine that does not state the version of its software.
    """

    weight_version: ids.WeightVersion
    loading: ids.WeightVersion | None = None
    role: str | None = None
    adapters: tuple[str, ...] = ()
    draining: bool = False
    fencing_number: ids.FencingNumber | None = None
    checks_fencing: bool = True
    last_error: str | None = None
    software: ids.SoftwareVersion = ids.SoftwareVersion('')


class Engine(abc.ABC):
    """A model engine with continuous batching."""

    @abc.abstractmethod
    def stream(
        self, generation: Generation, timeout: float
    ) -> AsyncIterator[Result[Chunk, TargetFault]]:
        """Yields the chunks of a generation from its position on.

        The iterator ends after a chunk with a finish reason or after one
        ``Error``.  Closing the iterator cancels the generation.  ``timeout``
        applies to the whole stream, in seconds.
        """

    @abc.abstractmethod
    async def cancel(
        self, request_id: ids.RequestId
    ) -> Result[None, TargetFault]:
        """Cancels a running generation; does nothing if it is unknown."""

    @abc.abstractmethod
    async def read_load(self) -> Result[LoadReport, TargetFault]:
        """Returns the engine's latest load report."""

    @abc.abstractmethod
    async def read_cache_events(
        self, offset: int
    ) -> Result[CacheEvents, TargetFault]:
        """Returns the cache events from ``offset`` on."""

    @abc.abstractmethod
    async def read_state(self) -> Result[EngineState, TargetFault]:
        """Returns the versions and role that the engine reports."""

    @abc.abstractmethod
    async def send_order(
        self, order: Order
    ) -> Result[EngineState, TargetFault]:
        """Sends an order and returns the state that the engine reports."""

    @abc.abstractmethod
    async def export_kv(
        self, request_id: ids.RequestId
    ) -> Result[bytes, TargetFault]:
        """Returns the KV cache of a generation, running or cancelled."""

    @abc.abstractmethod
    async def import_kv(
        self, request_id: ids.RequestId, state: bytes
    ) -> Result[None, TargetFault]:
        """Sends the engine the KV cache of a generation to resume."""


class ServiceCall(msgspec.Struct, frozen=True):
    """A call to a plain service, with end-to-end headers only."""

    method: str
    path: str
    """Path and query of the request, with a leading slash."""
    headers: tuple[tuple[str, str], ...]
    body: bytes
    idempotent: bool
    request_id: ids.RequestId


class ServiceAnswer(msgspec.Struct, frozen=True):
    """A plain service's response, with end-to-end headers only."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


class Service(abc.ABC):
    """A plain service."""

    @abc.abstractmethod
    async def call(
        self, call: ServiceCall, timeout: float
    ) -> Result[ServiceAnswer, TargetFault]:
        """Sends a call at most once and returns the complete response."""


class ScoringService(abc.ABC):
    """A service that computes scores of samples."""

    @abc.abstractmethod
    async def score(
        self, samples: Sequence[tuple[str, str]], timeout: float
    ) -> Result[Sequence[float], TargetFault]:
        """Returns one score for each pair of prompt and text, in order."""
