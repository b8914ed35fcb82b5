"""Headers that say who sends a request: the API key and the tenant."""

from collections.abc import Mapping
import re

from expression import Error
from expression import Ok
from expression import Result

from waxwingport.gateway import dialect
from waxwingport.tenancy import model as tenancy

__all__ = [
    'KEY_SCHEME',
    'TENANT_HEADER',
    'drop_headers',
    'name_caller',
    'read_key',
]

KEY_SCHEME = 'Token'
TENANT_HEADER = 'Tenant'
"""Tells a target the tenant whose key a request carries."""

_KEY_HEADER = 'authorization'
"""Carries the API key where tenants are in force.  Without tenants it is the
only header by which callers of the same request may differ."""
_KEY_PATTERN = re.compile('[!-~]+')
_IDENTITY_HEADERS = frozenset({_KEY_HEADER, TENANT_HEADER.lower()})


def read_key(headers: dialect.Headers) -> Result[str, str]:
    """Returns the API key among headers, which is visible ASCII.

    Fails with what is wrong, without the key.
    """
    found = [value for name, value in headers if name.lower() == _KEY_HEADER]
    if not found:
        return Error('the request carries no key')
    if len(found) > 1:
        return Error('the request carries several keys')
    scheme, _, key = found[0].strip(' \t').partition(' ')
    if scheme.lower() != KEY_SCHEME.lower():
        return Error(f'the scheme of the key is not {KEY_SCHEME}')
    key = key.lstrip(' ')
    if not _KEY_PATTERN.fullmatch(key):
        return Error('the key is not visible ASCII')
    return Ok(key)


def drop_headers(
    headers: dialect.Headers, identity: tenancy.Identity | None
) -> tuple[tuple[str, str], ...]:
    """Returns headers without keys and tenants, if tenants are in force."""
    if identity is None:
        return tuple(headers)
    return tuple(
        field
        for field in headers
        if field[0].strip().lower() not in _IDENTITY_HEADERS
    )


def name_caller(
    fields: Mapping[str, str], identity: tenancy.Identity | None
) -> str:
    """Returns what tells callers of the same request apart.

    It is the tenant, so that another key of it does not change the digest of
    a request.  ``fields`` are headers by lower-case name.
    """
    if identity is None:
        return fields.get(_KEY_HEADER, '')
    return identity.tenant or ''
