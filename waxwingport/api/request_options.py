"""Options of a request that its headers set."""

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

_ID_PATTERN = re.compile(r'[A-Za-z0-9._:/+=@-]{1,256}')
_MAX_KEY_LENGTH = 256
"""Characters."""
_MAX_TIMEOUT_MS = 86_400_000
"""One day."""
_MAX_PRIORITY = 100
_TIMEOUT_PATTERN = re.compile(r'[0-9]{1,9}')
_PRIORITY_PATTERN = re.compile(r'[+-]?[0-9]{1,4}')


class RequestOptions(msgspec.Struct, frozen=True):
    """Checked options of a request.

    ``given_id`` is the id that the caller sent; ``request_id`` is generated
    and unique, also if callers repeat theirs.  ``key`` is the idempotency
    key.  ``timeout`` is in seconds.  ``None`` means that a header is absent.
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
    """Returns the options, or a refusal that names the invalid header."""
    given_id = headers.get('Waxwingport-Request-Id')
    if given_id is not None and not _ID_PATTERN.fullmatch(given_id):
        return _refuse(
            'Waxwingport-Request-Id: expected 1 to 256 letters, digits or '
            '._:/+=@-'
        )
    key = headers.get('Idempotency-Key')
    if key is not None and not (
        0 < len(key) <= _MAX_KEY_LENGTH and key.isprintable()
    ):
        return _refuse(
            'Idempotency-Key: expected 1 to 256 printable characters'
        )
    timeout = headers.get('Waxwingport-Timeout-Ms')
    if timeout is not None and not _is_timeout(timeout):
        return _refuse(
            'Waxwingport-Timeout-Ms: expected an integer from 1 to '
            f'{_MAX_TIMEOUT_MS}'
        )
    priority = headers.get('Waxwingport-Priority', '0')
    if not _is_priority(priority):
        return _refuse(
            'Waxwingport-Priority: expected an integer from '
            f'{-_MAX_PRIORITY} to {_MAX_PRIORITY}'
        )
    idempotent_text = headers.get('Waxwingport-Idempotent')
    if idempotent_text is not None and idempotent_text.lower() not in (
        'true',
        'false',
    ):
        return _refuse('Waxwingport-Idempotent: expected true or false')
    return Ok(
        RequestOptions(
            request_id=ids.RequestId(uuid.uuid4().hex),
            given_id=given_id,
            key=key,
            timeout=int(timeout) / 1000 if timeout else None,
            priority=int(priority),
            idempotent=idempotent_text.lower() == 'true'
            if idempotent_text
            else None,
        )
    )


def _is_timeout(text: str) -> bool:
    return bool(_TIMEOUT_PATTERN.fullmatch(text)) and (
        0 < int(text) <= _MAX_TIMEOUT_MS
    )


def _is_priority(text: str) -> bool:
    return bool(_PRIORITY_PATTERN.fullmatch(text)) and (
        abs(int(text)) <= _MAX_PRIORITY
    )


def _refuse(detail: str) -> Result[RequestOptions, outcomes.Refusal]:
    return Error(outcomes.Refusal(outcomes.Reason.BAD_REQUEST, detail))
