"""Tenants in the platform's configuration."""

import collections
from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence
import re

import msgspec

from waxwingport import decoding
from waxwingport.gateway import routes
from waxwingport.tenancy import keys
from waxwingport.tenancy import model

__all__ = ['TenantEntry', 'read_tenants']

_MAX_KEY_BYTES = 1024
_MAX_LISTED = 10_000
"""Omissions that are listed, which take 3 MB.  A list of all 2,000,000 empty
keys in a document of 6 MB took 350 MB, more than the smallest nodes have."""
_VISIBLE = re.compile('[!-~]+')
"""Visible ASCII, as keys and names of tenants are sent in headers."""


class _Omissions:
    """Lists the first omissions and counts the others."""

    def __init__(self) -> None:
        self.listed: list[routes.Omission] = []
        self.unlisted: collections.Counter[routes.OmissionKind] = (
            collections.Counter()
        )

    def has_room(self, kind: routes.OmissionKind) -> bool:
        """Returns whether one more may be listed; counts it if not."""
        if len(self.listed) < _MAX_LISTED:
            return True
        self.unlisted[kind] += 1
        return False


class TenantEntry(msgspec.Struct, frozen=True, rename='kebab', gc=False):
    """A tenant as operators write it."""

    name: str = ''
    api_keys: tuple[str, ...] = ()
    priority: float | None = None


def read_tenants(
    entries: Sequence[TenantEntry],
) -> tuple[
    tuple[model.Tenant, ...],
    tuple[routes.Omission, ...],
    Mapping[routes.OmissionKind, int],
]:
    """Returns the tenants, what was left out, and how much more by kind.

    Entries of one name are one tenant with the keys of all of them, and the
    first priority that is stated.
    """
    omissions = _Omissions()
    # Place and entry of each tenant that can be named.
    named: list[tuple[str, TenantEntry]] = []
    for number, entry in enumerate(entries):
        place = f'tenants[{number}]'
        if _find_name_fault(entry.name) is None:
            named.append((place, entry))
        elif omissions.has_room(routes.OmissionKind.MALFORMED_TENANT):
            omissions.listed.append(_omit_tenant(place, entry))
    digests = [_compute_digests(entry) for _, entry in named]
    shared = _find_shared(
        (entry.name, found)
        for (_, entry), found in zip(named, digests, strict=True)
    )
    priorities: dict[str, int | None] = {}
    owned: dict[str, dict[model.KeyDigest, None]] = {}
    for (place, entry), found in zip(named, digests, strict=True):
        if priorities.get(entry.name) is None:
            priorities[entry.name] = _read_priority(entry)
        keys_ = owned.setdefault(entry.name, {})
        for index, digest in enumerate(found):
            if digest is not None and digest not in shared:
                keys_[digest] = None
            elif omissions.has_room(_classify_key(digest)):
                omissions.listed.append(_omit_key(place, entry, index, digest))
    tenants = tuple(
        model.Tenant(model.TenantName(name), tuple(owned[name]), priority)
        for name, priority in priorities.items()
    )
    return tenants, tuple(omissions.listed), dict(omissions.unlisted)


def _compute_digests(entry: TenantEntry) -> list[model.KeyDigest | None]:
    """Returns the digest of each key, ``None`` for malformed ones."""
    return [
        None if _find_key_fault(key) else keys.compute_digest(key)
        for key in entry.api_keys
    ]


def _find_shared(
    held: Iterable[tuple[str, Iterable[model.KeyDigest | None]]],
) -> set[model.KeyDigest]:
    """Returns the digests of keys that several tenants have."""
    owners: dict[model.KeyDigest, str] = {}
    shared: set[model.KeyDigest] = set()
    for name, found in held:
        for digest in found:
            if digest is not None and owners.setdefault(digest, name) != name:
                shared.add(digest)
    return shared


def _read_priority(entry: TenantEntry) -> int | None:
    if entry.priority is None:
        return None
    return routes.read_priority(entry.priority)


def _find_key_fault(key: str) -> str | None:
    """Returns what is wrong with a key without quoting it."""
    if not key:
        return 'the key is empty'
    if not _VISIBLE.fullmatch(key):
        return 'the key is not visible ASCII'
    if len(key) > _MAX_KEY_BYTES:
        return f'the key has more than {_MAX_KEY_BYTES} bytes'
    return None


def _find_name_fault(name: str) -> str | None:
    """Returns what is wrong with a tenant's name."""
    if not name:
        return 'no name'
    if not _VISIBLE.fullmatch(name):
        return 'the name is not visible ASCII'
    if len(name) > decoding.MAX_NAME_CHARACTERS:
        # Nodes skip a record with such a name, and all other counts in it.
        return f'the name has more than {decoding.MAX_NAME_CHARACTERS} bytes'
    return None


def _omit_tenant(place: str, entry: TenantEntry) -> routes.Omission:
    reason = _find_name_fault(entry.name) or ''
    return routes.Omission(
        place,
        routes.OmissionKind.MALFORMED_TENANT,
        f'{reason}; its {len(entry.api_keys)} keys are left out with it',
        ascii(entry.name[:40]),
    )


def _classify_key(digest: model.KeyDigest | None) -> routes.OmissionKind:
    """Returns why a key is left out, malformed if it has no ``digest``."""
    if digest is None:
        return routes.OmissionKind.MALFORMED_KEY
    return routes.OmissionKind.SHARED_KEY


def _omit_key(
    place: str,
    entry: TenantEntry,
    index: int,
    digest: model.KeyDigest | None,
) -> routes.Omission:
    """Returns the omission of a key, malformed if it has no ``digest``."""
    if digest is None:
        reason = _find_key_fault(entry.api_keys[index]) or ''
    else:
        reason = (
            f'several tenants have the key of digest {keys.shorten(digest)}'
        )
    return routes.Omission(
        f'{place}.api-keys[{index}]', _classify_key(digest), reason, entry.name
    )
