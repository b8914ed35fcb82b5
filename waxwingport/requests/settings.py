"""Limits of the requests that a node accepts."""

import msgspec

__all__ = ['RequestSettings']

_KIB = 1024
_MIB = 1024 * _KIB


class RequestSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Limits of callers' requests; seconds, bytes and counts."""

    header_timeout: float = 10.0
    """For the headers, and for idle connections between two requests."""
    body_timeout: float = 30.0
    """For the whole body of one request."""
    write_timeout: float = 15.0
    """For a caller to accept the next byte of its answer."""
    write_buffer: int = 64 * _KIB
    """Bytes of a stream that may wait to be sent to its caller."""
    max_header_size: int = 32 * _KIB
    body_memory: int = 256 * _MIB
    """Bytes of all bodies that are being received or processed."""
    max_tokens: int = 131_072
    """Tokens that one completion may request."""
    drain_delay: float = 3.0
    """Between failing the readiness check and refusing requests in a
    shutdown."""
    final_timeout: float = 1.0
    """For the error events of the requests that a shutdown interrupts."""
    probe_timeout: float = 1.0
    """For the connection that tells a failed target from a broken
    connection."""
    id_lifetime: float = 900.0
    """From issuing a request id to its first use."""
    answer_lifetime: float = 600.0
    """From the end of a call, in which repeats get its answer."""
    answers_held: int = 65_536
    """Calls that are stored at the same time."""
    answer_bytes: int = 16 * _MIB
    """Bytes of all stored answers."""
