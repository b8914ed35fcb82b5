"""Limits of the requests that one node takes."""

import msgspec

__all__ = ['RequestSettings']

_KIB = 1024
_MIB = 1024 * _KIB


class RequestSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Limits of callers' requests; seconds, bytes and counts."""

    header_timeout: float = 10.0
    """For the headers, and for the idle time between two requests."""
    body_timeout: float = 30.0
    """For the whole body of one request."""
    write_timeout: float = 15.0
    """For a caller to take the next byte of its answer."""
    write_buffer: int = 64 * _KIB
    """Bytes of a stream that may wait for its caller."""
    max_header_size: int = 32 * _KIB
    body_memory: int = 256 * _MIB
    """Bytes of all bodies that are being received or worked on."""
    max_tokens: int = 131_072
    """Tokens that one completion may ask for."""
    drain_delay: float = 3.0
    """Between the fall of readiness and the first refusal on a stop."""
    final_timeout: float = 1.0
    """For the last error events of the requests that a stop cut off."""
    probe_timeout: float = 1.0
    """For the new connection that tells a dead target from a dead
    connection."""
    id_lifetime: float = 900.0
    """After minting, for the first use of a request id."""
    answer_lifetime: float = 600.0
    """After a call's end, in which repeats get its answer."""
    answers_held: int = 65_536
    """Calls whose outcome is kept at the same time."""
    answer_bytes: int = 16 * _MIB
    """Bodies of kept answers, all together."""
