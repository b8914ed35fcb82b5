"""What a request's headers ask for besides its body."""

import re
import uuid

from expression import Error
from expression import Ok
from expression import Result
import msgspec
from tornado import httputil

from waxwingport import ids
from waxwingport import outcomes

__all__ = ['RequestOptions', 'read_options']

_ID = re.compile(r'[A-Za-z0-9._:/+=@-]{1,256}')
_LONGEST_KEY = 256
_LONGEST_TIMEOUT = 86_400_000
"""Milliseconds."""
_HIGHEST_PRIORITY = 100
_DIGITS = re.compile(r'[0-9]{1,9}')
_NUMBER = re.compile(r'[+-]?[0-9]{1,4}')


class RequestOptions(msgspec.Struct, frozen=True):
    """The checked headers of a request.

    ``given_id`` is the caller's request id, ``request_id`` one that no other
    request has, whatever callers send.  ``timeout`` is in seconds.
    """

    request_id: ids.RequestId
    given_id: str | None = None
    key: str | None = None
    timeout: float | None = None
    priority: int = 0
    idempotent: bool | None = None


def read_options(
    headers: httputil.HTTPHeaders,
) -> Result[RequestOptions, outcomes.Refusal]:
    """Returns the terms, or a refusal that names the header at fault."""
    given_id = headers.get('Waxwingport-Request-Id')
    if given_id is not None and not _ID.fullmatch(given_id):
        return _refuse(
            'Waxwingport-Request-Id: 1 to 256 letters, digits or ._:/+=@-'
        )
    key = headers.get('Idempotency-Key')
    if key is not None and not (
        0 < len(key) <= _LONGEST_KEY and key.isprintable()
    ):
        return _refuse('Idempotency-Key: 1 to 256 printable characters')
    timeout = headers.get('Waxwingport-Timeout-Ms')
    if timeout is not None and not _is_timeout(timeout):
        return _refuse(
            f'Waxwingport-Timeout-Ms: a number from 1 to {_LONGEST_TIMEOUT}'
        )
    priority = headers.get('Waxwingport-Priority', '0')
    if not _is_priority(priority):
        return _refuse(
            f'Waxwingport-Priority: a number from {-_HIGHEST_PRIORITY} '
            f'to {_HIGHEST_PRIORITY}'
        )
    asked = headers.get('Waxwingport-Idempotent')
    if asked is not None and asked.lower() not in ('true', 'false'):
        return _refuse('Waxwingport-Idempotent: true or false')
    return Ok(
        RequestOptions(
            request_id=ids.RequestId(uuid.uuid4().hex),
            given_id=given_id,
            key=key,
            timeout=int(timeout) / 1000 if timeout else None,
            priority=int(priority),
            idempotent=asked.lower() == 'true' if asked else None,
        )
    )


def _is_timeout(text: str) -> bool:
    return bool(_DIGITS.fullmatch(text)) and (
        0 < int(text) <= _LONGEST_TIMEOUT
    )


def _is_priority(text: str) -> bool:
    return bool(_NUMBER.fullmatch(text)) and (
        abs(int(text)) <= _HIGHEST_PRIORITY
    )


def _refuse(detail: str) -> Result[RequestOptions, outcomes.Refusal]:
    return Error(outcomes.Refusal(outcomes.Reason.BAD_REQUEST, detail))
