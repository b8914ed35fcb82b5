"""Limits of the requests that a node accepts."""

import msgspec

__all__ = ['RequestSettings']

_KIB = 1024
_MIB = 1024 * _KIB


class RequestSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Limits of callers' requests; seconds, bytes and counts."""

    header_timeout: float = 10.0
    """Seconds for the headers of a request, and for which a connection may be
    idle between two requests."""
    body_timeout: float = 30.0
    """Seconds for the whole body of one request."""
    write_timeout: float = 15.0
    """Seconds for a caller to accept the next byte of its answer."""
    write_buffer: int = 64 * _KIB
    """Bytes of a stream that may wait to be sent to its caller."""
    max_header_size: int = 32 * _KIB
    """Bytes of the headers of one request."""
    body_memory: int = 256 * _MIB
    """Bytes of all bodies that are being received or processed."""
    max_tokens: int = 131_072
    """Tokens that one completion may request."""
    drain_delay: float = 3.0
    """Seconds of a shutdown from failing the readiness check to refusing
    requests."""
    final_timeout: float = 1.0
    """Seconds to send the error events of requests that a shutdown
    interrupts."""
    probe_timeout: float = 1.0
    """Seconds for the cancel request that tells a failed target from a broken
    connection."""
    id_lifetime: float = 900.0
    """Seconds from issuing a request id to its first use."""
    answer_lifetime: float = 600.0
    """Seconds from the end of a call in which repeats get its answer."""
    answers_held: int = 65_536
    """Calls that are stored at the same time."""
    answer_bytes: int = 16 * _MIB
    """Bytes of all stored answers."""
