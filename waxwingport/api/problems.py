"""Problem details for refusals (RFC 9457)."""

import math

import msgspec
from tornado import web

from waxwingport import outcomes

__all__ = [
    'CONTENT_TYPE',
    'Problem',
    'describe',
    'find_status',
    'render',
    'send',
]

CONTENT_TYPE = 'application/problem+json'

_TYPE_PREFIX = 'urn:waxwingport:problem:'
_STATUS_BY_REASON = {
    outcomes.Reason.BAD_REQUEST: 400,
    outcomes.Reason.CONFLICT: 409,
    outcomes.Reason.DEADLINE: 503,
    outcomes.Reason.FORBIDDEN: 403,
    outcomes.Reason.INTERRUPTED: 502,
    outcomes.Reason.LOG_UNAVAILABLE: 503,
    outcomes.Reason.NOT_FOUND: 404,
    outcomes.Reason.NO_TARGET: 503,
    outcomes.Reason.OVERLOADED: 503,
    outcomes.Reason.SHUTTING_DOWN: 503,
    outcomes.Reason.TARGET_FAILED: 502,
    outcomes.Reason.TIMEOUT: 504,
    outcomes.Reason.TOO_LARGE: 413,
    outcomes.Reason.TOO_MANY_REQUESTS: 429,
    outcomes.Reason.UNAUTHENTICATED: 401,
    outcomes.Reason.UNKNOWN_OUTCOME: 502,
    outcomes.Reason.UNKNOWN_STEP: 404,
}


class Problem(msgspec.Struct):
    """Body of a refusal.

    ``ran`` says whether a target may have executed the request.
    """

    type: str
    title: str
    status: int
    detail: str
    ran: str


def find_status(refusal: outcomes.Refusal) -> int:
    """Returns the HTTP status of a refusal.

    502 and 504 mean that a target may have executed the request, so they are
    replaced if ``ran`` is ``NO``.  429 and 503 mean that none has, so they
    are replaced if ``ran`` is ``UNKNOWN``.
    """
    status = _STATUS_BY_REASON[refusal.reason]
    if refusal.ran is outcomes.Ran.NO and status in (502, 504):
        return 503
    if refusal.ran is outcomes.Ran.UNKNOWN and status in (429, 503):
        return 502
    return status


def describe(refusal: outcomes.Refusal) -> Problem:
    """Returns the problem body of a refusal."""
    return Problem(
        type=_TYPE_PREFIX + refusal.reason.value,
        title=refusal.reason.value.replace('-', ' '),
        status=find_status(refusal),
        detail=refusal.detail,
        ran=refusal.ran.value,
    )


def render(
    refusal: outcomes.Refusal, status: int | None = None
) -> tuple[int, dict[str, str], bytes]:
    """Returns status, headers and body of a refusal.

    ``status`` replaces the one that ``find_status`` returns.
    """
    problem = describe(refusal)
    if status is not None:
        problem.status = status
    headers = {'Content-Type': CONTENT_TYPE}
    if refusal.ran is outcomes.Ran.NO and problem.status in (429, 503):
        seconds = max(1, math.ceil(refusal.retry_after or 1.0))
        headers['Retry-After'] = str(seconds)
    return problem.status, headers, msgspec.json.encode(problem)


def send(handler: web.RequestHandler, refusal: outcomes.Refusal) -> None:
    """Answers the request of ``handler`` with a refusal."""
    status, headers, body = render(refusal)
    handler.set_status(status)
    for name, value in headers.items():
        handler.set_header(name, value)
    handler.finish(body)
