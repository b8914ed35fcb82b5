"""Who a caller is and what it may use."""

from collections.abc import Iterable
import hashlib
import hmac
import re

from expression import Error
from expression import Ok
from expression import Result
from tornado import httputil

from waxwingport.configuration import declarations
from waxwingport import ids
from waxwingport import outcomes

__all__ = ['ANONYMOUS', 'check_allowed', 'check_operator', 'identify']

ANONYMOUS = ids.CallerName('anonymous')

_BEARER = 'bearer '
_NAME = re.compile(r'[\x21-\x7e]{1,128}')


def identify(
    headers: httputil.HTTPHeaders, declared: Iterable[declarations.Caller]
) -> Result[declarations.Caller, outcomes.Refusal]:
    """Returns the caller that sent ``headers``.

    By its bearer token where callers are declared, else by the name that it
    gives itself, without operators' rights being asked for.
    """
    known = tuple(declared)
    if not known:
        return _read_name(headers)
    given = headers.get('Authorization', '')
    if not given.lower().startswith(_BEARER):
        return Error(_refuse_token('a bearer token is needed'))
    token = given[len(_BEARER) :].strip()
    digest = hashlib.sha256(token.encode('utf-8', 'surrogateescape'))
    found = _find(known, digest.hexdigest())
    if found is None:
        return Error(_refuse_token('the bearer token is not known'))
    return Ok(found)


def check_allowed(
    caller: declarations.Caller, name: str
) -> outcomes.Refusal | None:
    """Returns why ``caller`` may not use what is called ``name``."""
    if not caller.allow or name in caller.allow:
        return None
    return outcomes.Refusal(
        outcomes.Reason.FORBIDDEN,
        f'caller {caller.name!r} may not use {name!r}',
    )


def check_operator(caller: declarations.Caller) -> outcomes.Refusal | None:
    """Returns why ``caller`` may not do what operators do."""
    if caller.operator:
        return None
    return outcomes.Refusal(
        outcomes.Reason.FORBIDDEN, f'caller {caller.name!r} is no operator'
    )


def _find(
    known: Iterable[declarations.Caller], digest: str
) -> declarations.Caller | None:
    # Looks at every row, so that the time does not tell which one matched.
    found = None
    for row in known:
        if hmac.compare_digest(row.token_sha256, digest):
            found = row
    return found


def _read_name(
    headers: httputil.HTTPHeaders,
) -> Result[declarations.Caller, outcomes.Refusal]:
    name = headers.get('Waxwingport-Caller', ANONYMOUS)
    if not _NAME.fullmatch(name):
        return Error(
            outcomes.Refusal(
                outcomes.Reason.BAD_REQUEST,
                'Waxwingport-Caller: 1 to 128 visible ASCII characters',
            )
        )
    return Ok(
        declarations.Caller(
            name=ids.CallerName(name), token_sha256='', operator=True
        )
    )


def _refuse_token(detail: str) -> outcomes.Refusal:
    return outcomes.Refusal(outcomes.Reason.UNAUTHENTICATED, detail)
