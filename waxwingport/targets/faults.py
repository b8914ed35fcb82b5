"""Conversion of transport faults and HTTP errors to target faults."""

import msgspec

from waxwingport import decoding
from waxwingport.http import client
from waxwingport.targets import base

__all__ = ['from_decode_error', 'from_status', 'from_transport']

_KINDS = {
    client.TransportFaultKind.BROKEN: base.TargetFaultKind.BROKEN,
    client.TransportFaultKind.CONNECT: base.TargetFaultKind.UNREACHABLE,
    client.TransportFaultKind.SILENT: base.TargetFaultKind.SILENT,
    client.TransportFaultKind.TIMEOUT: base.TargetFaultKind.TIMEOUT,
    client.TransportFaultKind.WITHDRAWN: base.TargetFaultKind.UNREACHABLE,
}

_MAX_RETRY_AFTER_S = 3600.0
"""Longest ``Retry-After`` of a target; a longer one is ignored."""
_TRANSIENT_STATUSES = (408, 425, 429)
"""Client errors that are not caused by the request itself."""


class _Problem(msgspec.Struct):
    """The members of a problem body (RFC 9457) that are used here."""

    ran: str = 'unknown'
    detail: str = ''


def from_transport(fault: client.TransportFault) -> base.TargetFault:
    """Returns the target fault for a failed HTTP exchange."""
    return base.TargetFault(_KINDS[fault.kind], fault.detail, fault.sent)


def from_status(response: client.WholeResponse) -> base.TargetFault:
    """Returns the target fault for a response other than a success.

    A target reports that it did not run a request by the status 429 or 503
    together with ``"ran": "no"`` in a problem body.
    """
    problem = decoding.read_json(response.body, _Problem).default_with(
        lambda _: _Problem(
            detail=response.body[:200].decode('utf-8', 'replace')
        )
    )
    headers = {name.lower(): value for name, value in response.headers}
    detail = f'status {response.status}: {problem.detail}'
    if response.status in (429, 503) and problem.ran == 'no':
        kind = base.TargetFaultKind.REFUSED
    elif (
        400 <= response.status < 500
        and response.status not in _TRANSIENT_STATUSES
    ):
        kind = base.TargetFaultKind.REJECTED
    else:
        kind = base.TargetFaultKind.BROKEN
    return base.TargetFault(
        kind,
        detail,
        sent=kind is not base.TargetFaultKind.REFUSED,
        retry_after=_parse_retry_after(headers.get('retry-after')),
        status=response.status,
    )


def from_decode_error(reason: str) -> base.TargetFault:
    """Returns the target fault for a response that could not be decoded."""
    return base.TargetFault(
        base.TargetFaultKind.BROKEN, f'undecodable answer: {reason}', sent=True
    )


def _parse_retry_after(text: str | None) -> float | None:
    try:
        seconds = float(text) if text else None
    except ValueError:
        return None
    if seconds is None or not 0.0 <= seconds <= _MAX_RETRY_AFTER_S:
        return None
    return seconds
