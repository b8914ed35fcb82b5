"""Authentication and authorisation of callers."""

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

_BEARER_PREFIX = 'bearer '
_NAME_PATTERN = re.compile(r'[\x21-\x7e]{1,128}')


def identify(
    headers: httputil.HTTPHeaders, declared: Iterable[declarations.Caller]
) -> Result[declarations.Caller, outcomes.Refusal]:
    """Returns the caller that sent ``headers``.

    If callers are declared, the bearer token identifies the caller, and a
    missing or unknown token is refused.  Otherwise the caller names itself
    in ``Waxwingport-Caller`` and has the rights of an operator.
    """
    callers = tuple(declared)
    if not callers:
        return _read_name(headers)
    authorization = headers.get('Authorization', '')
    if not authorization.lower().startswith(_BEARER_PREFIX):
        return Error(
            _refuse_token('the Authorization header needs a bearer token')
        )
    token = authorization[len(_BEARER_PREFIX) :].strip()
    digest = hashlib.sha256(token.encode('utf-8', 'surrogateescape'))
    caller = _find_caller(callers, digest.hexdigest())
    if caller is None:
        return Error(
            _refuse_token('the bearer token belongs to no declared caller')
        )
    return Ok(caller)


def check_allowed(
    caller: declarations.Caller, name: str
) -> outcomes.Refusal | None:
    """Returns a refusal if ``caller`` may not use ``name``, else ``None``.

    ``name`` is that of a pool, a service or a trainer.  A caller with an
    empty ``allow`` list may use all of them.
    """
    if not caller.allow or name in caller.allow:
        return None
    return outcomes.Refusal(
        outcomes.Reason.FORBIDDEN,
        f'caller {caller.name!r} may not use {name!r}',
    )


def check_operator(caller: declarations.Caller) -> outcomes.Refusal | None:
    """Returns a refusal if ``caller`` is not an operator, else ``None``."""
    if caller.operator:
        return None
    return outcomes.Refusal(
        outcomes.Reason.FORBIDDEN, f'caller {caller.name!r} is not an operator'
    )


def _find_caller(
    callers: Iterable[declarations.Caller], digest: str
) -> declarations.Caller | None:
    # Compares with every caller, so that the time does not reveal which one
    # matched.
    matched = None
    for candidate in callers:
        if hmac.compare_digest(candidate.token_sha256, digest):
            matched = candidate
    return matched


def _read_name(
    headers: httputil.HTTPHeaders,
) -> Result[declarations.Caller, outcomes.Refusal]:
    name = headers.get('Waxwingport-Caller', ANONYMOUS)
    if not _NAME_PATTERN.fullmatch(name):
        return Error(
            outcomes.Refusal(
                outcomes.Reason.BAD_REQUEST,
                'Waxwingport-Caller: expected 1 to 128 visible ASCII '
                'characters',
            )
        )
    return Ok(
        declarations.Caller(
            name=ids.CallerName(name), token_sha256='', operator=True
        )
    )


def _refuse_token(detail: str) -> outcomes.Refusal:
    return outcomes.Refusal(outcomes.Reason.UNAUTHENTICATED, detail)
