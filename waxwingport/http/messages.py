"""Requests, responses and faults of the HTTP client, and its settings."""

import abc
import enum

import msgspec
from tornado import httputil

__all__ = [
    'ClientSettings',
    'Peer',
    'Request',
    'TransportFault',
    'TransportFaultKind',
    'WholeResponse',
]

_MIB = 1024 * 1024


class ClientSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Limits of outgoing connections, in seconds and bytes.

    ``progress_timeout`` has to exceed the longest time between two bytes from
    a healthy target, including the wait for the first byte.
    """

    connect_timeout: float = 1.0
    progress_timeout: float = 15.0
    idle_timeout: float = 30.0
    idle_connections: int = 64
    """Maximum number of idle connections to each address."""
    buffer_size: int = 1 * _MIB
    """Maximum number of bytes of a response buffered for a slow reader."""
    max_body_size: int = 256 * _MIB
    """Bytes of a body that is read piece by piece."""
    max_whole_size: int = 32 * _MIB
    """Bytes of a response that is read as a whole."""
    whole_memory: int = 64 * _MIB
    """Bytes of all such responses that are being received."""


class TransportFaultKind(enum.Enum):
    """Why there is no complete response."""

    BROKEN = 'broken'
    """The connection was closed or the response was invalid."""
    CONNECT = 'connect'
    """No connection was opened."""
    SILENT = 'silent'
    """The peer sent nothing for the progress timeout."""
    TIMEOUT = 'timeout'
    """The deadline of the request passed."""
    WITHDRAWN = 'withdrawn'
    """The peer accepted no request when this one was to be sent."""


class TransportFault(msgspec.Struct, frozen=True):
    """A failed exchange.

    ``sent`` is false only if no byte of the request can have been sent.
    """

    kind: TransportFaultKind
    detail: str
    sent: bool


class Peer(abc.ABC):
    """The server of a request, as the client has to treat it."""

    @abc.abstractmethod
    def admit(self) -> bool:
        """Called once for each request, before a connection is opened.

        Returns whether the request may be sent, as far as the number of
        requests decides.
        """

    @abc.abstractmethod
    def accepts_requests(self) -> bool:
        """Returns whether a request may be sent.

        Called right before the request is written, which may be some time
        after it was made, and before a connection is kept for another one.
        """

    @abc.abstractmethod
    def record_head(self, status: int, headers: httputil.HTTPHeaders) -> None:
        """Called with the head of each response, whatever follows it.

        Informational responses are left out.
        """


class Request(msgspec.Struct, frozen=True):
    """A request; ``fresh`` asks for a new connection.

    ``peer`` decides whether it is still sent and is told the head of its
    response.
    """

    method: str
    path: str
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b''
    fresh: bool = False
    peer: Peer | None = None


class WholeResponse(msgspec.Struct, frozen=True):
    """A complete response."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes
