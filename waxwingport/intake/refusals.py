"""Refusals of callers' requests: statuses, bodies and common reasons."""

from waxwingport import outcomes

__all__ = [
    'find_status',
    'make_bad_request',
    'make_body',
    'make_overload',
    'make_oversize',
    'make_stopping',
]

_STATUSES = {
    outcomes.Reason.BAD_REQUEST: 400,
    outcomes.Reason.CRASHES_TARGETS: 503,
    outcomes.Reason.DEADLINE: 503,
    outcomes.Reason.LOG_UNAVAILABLE: 503,
    outcomes.Reason.NOT_FOUND: 404,
    outcomes.Reason.NOT_RESUMABLE: 503,
    outcomes.Reason.NO_TARGET: 503,
    outcomes.Reason.OVERLOADED: 503,
    outcomes.Reason.SHUTTING_DOWN: 503,
    outcomes.Reason.TARGET_FAILED: 502,
    outcomes.Reason.TIMEOUT: 504,
    outcomes.Reason.TOO_LARGE: 413,
    outcomes.Reason.UNAUTHENTICATED: 401,
    outcomes.Reason.UNKNOWN_OUTCOME: 502,
}
_UNKNOWN_STATUS = 500
_FULL_RETRY_AFTER_S = 0.5
"""Sent when there is no memory for a body: by then most requests in progress
have been answered."""
_STOPPING_RETRY_AFTER_S = 0.05
"""Sent while the node stops: the load balancer already uses other nodes."""


def find_status(refusal: outcomes.Refusal) -> int:
    """Returns the HTTP status of a refusal."""
    return _STATUSES.get(refusal.reason, _UNKNOWN_STATUS)


def make_body(refusal: outcomes.Refusal) -> bytes:
    """Returns the body of a refusal, in JSON."""
    return b'{"reason":"%s"}' % refusal.reason.value.encode()


def make_bad_request(reason: str) -> outcomes.Refusal:
    """Returns the refusal of a request that can't be read."""
    return outcomes.Refusal(outcomes.Reason.BAD_REQUEST, reason)


def make_overload() -> outcomes.Refusal:
    """Returns the refusal of a body for which there is no memory."""
    return outcomes.Refusal(
        outcomes.Reason.OVERLOADED,
        'request bodies in progress exceed the memory limit',
        retry_after=_FULL_RETRY_AFTER_S,
    )


def make_oversize() -> outcomes.Refusal:
    """Returns the refusal of a body over the published limit."""
    return outcomes.Refusal(
        outcomes.Reason.TOO_LARGE, 'the body exceeds the published limit'
    )


def make_stopping() -> outcomes.Refusal:
    """Returns the refusal of a node that stops."""
    return outcomes.Refusal(
        outcomes.Reason.SHUTTING_DOWN,
        'the node stops',
        retry_after=_STOPPING_RETRY_AFTER_S,
    )
