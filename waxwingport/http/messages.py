"""Requests, responses and faults of the HTTP client, and its settings."""

import enum

import msgspec

__all__ = [
    'ClientSettings',
    'Request',
    'TransportFault',
    'TransportFaultKind',
    'WholeResponse',
]

_MIB = 1024 * 1024


class ClientSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Limits of outgoing connections; seconds and bytes.

    ``progress_timeout`` has to exceed the longest time that a healthy target
    takes between two bytes, the wait for its first byte included.
    """

    connect_timeout: float = 1.0
    progress_timeout: float = 15.0
    idle_timeout: float = 30.0
    idle_connections: int = 64
    """Idle connections kept for each address."""
    buffer_size: int = 1 * _MIB
    """Bytes of one response that may wait for a slow reader."""
    max_body_size: int = 256 * _MIB


class TransportFaultKind(enum.Enum):
    """Why no whole response came."""

    BROKEN = 'broken'
    CONNECT = 'connect'
    SILENT = 'silent'
    TIMEOUT = 'timeout'


class TransportFault(msgspec.Struct, frozen=True):
    """A failed exchange.

    ``sent`` is false only when no byte of the request can have left.
    """

    kind: TransportFaultKind
    detail: str
    sent: bool


class Request(msgspec.Struct, frozen=True):
    """A request; ``fresh`` asks for a connection of its own."""

    method: str
    path: str
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b''
    fresh: bool = False


class WholeResponse(msgspec.Struct, frozen=True):
    """A response that came whole."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes
