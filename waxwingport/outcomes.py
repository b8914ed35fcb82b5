"""Outcomes of requests as values.

Functions that can fail return ``expression.Result``: ``Ok`` with the value or
``Error`` with one of the typed faults below.  Exceptions are left for broken
invariants.
"""

import enum

import msgspec

__all__ = ['Ran', 'Reason', 'Refusal']


class Ran(enum.Enum):
    """Whether a refused request may have run at a target."""

    NO = 'no'
    UNKNOWN = 'unknown'


class Reason(enum.Enum):
    """Kind of a refusal: the last part of the problem's ``type``."""

    BAD_REQUEST = 'bad-request'
    CONFLICT = 'conflict'
    DEADLINE = 'deadline-cannot-be-met'
    FORBIDDEN = 'forbidden'
    INTERRUPTED = 'interrupted'
    LOG_UNAVAILABLE = 'log-unavailable'
    NOT_FOUND = 'not-found'
    NO_TARGET = 'no-target'
    OVERLOADED = 'overloaded'
    SHUTTING_DOWN = 'shutting-down'
    TARGET_FAILED = 'target-failed'
    TIMEOUT = 'timeout'
    TOO_LARGE = 'too-large'
    TOO_MANY_REQUESTS = 'too-many-requests'
    UNAUTHENTICATED = 'unauthenticated'
    UNKNOWN_OUTCOME = 'unknown-outcome'
    UNKNOWN_STEP = 'unknown-step'


class Refusal(msgspec.Struct, frozen=True):
    """A request that gets no answer, and whether it may have run.

    ``retry_after`` is in seconds and is set only where ``ran`` is ``NO``.
    """

    reason: Reason
    detail: str
    ran: Ran = Ran.NO
    retry_after: float | None = None
