"""Refusals of requests as values.

Functions that can fail return ``expression.Result``: ``Ok`` with the value or
``Error`` with a typed fault such as ``Refusal``.  Exceptions are reserved for
broken invariants.
"""

import enum

import msgspec

__all__ = ['Ran', 'Reason', 'Refusal']


class Ran(enum.Enum):
    """Whether a refused request may have been executed by a target.

    A caller may safely repeat a request that was refused with ``NO``.
    """

    NO = 'no'
    UNKNOWN = 'unknown'


class Reason(enum.Enum):
    """Kind of a refusal; the value ends the ``type`` of the problem body."""

    BAD_REQUEST = 'bad-request'
    CONFLICT = 'conflict'
    CRASHES_TARGETS = 'crashes-targets'
    DEADLINE = 'deadline-cannot-be-met'
    FORBIDDEN = 'forbidden'
    INTERRUPTED = 'interrupted'
    LOG_UNAVAILABLE = 'log-unavailable'
    NOT_FOUND = 'not-found'
    NOT_RESUMABLE = 'not-resumable'
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
    """Why a request failed, and whether a target may have executed it.

    ``detail`` is a sentence for the caller.  ``retry_after`` is in seconds
    and is set only if ``ran`` is ``NO``.
    """

    reason: Reason
    detail: str
    ran: Ran = Ran.NO
    retry_after: float | None = None
