"""Tenants as a configuration declares them."""

from typing import NewType

import msgspec

__all__ = ['Identity', 'KeyDigest', 'Tenant', 'TenantName']

KeyDigest = NewType('KeyDigest', bytes)
"""Digest of an API key; keys themselves are not kept."""
TenantName = NewType('TenantName', str)


class Tenant(msgspec.Struct, frozen=True):
    """A customer's organisation, whose requests carry one of its keys."""

    name: TenantName
    keys: tuple[KeyDigest, ...]
    priority: int | None = None
    """Takes precedence over the route's, 0 is the most urgent; ``None`` if
    the route's applies."""


class Identity(msgspec.Struct, frozen=True):
    """Who sends a request, where the configuration in force has tenants.

    Functions take ``None`` in place of an identity where it has none.
    """

    tenant: TenantName | None
    """``None`` on a public route without a known key."""
