"""Differences between the tenants of two versions of a configuration."""

from collections.abc import Iterable
from collections.abc import Iterator

from waxwingport.checks import changes
from waxwingport.checks import document as documents
from waxwingport.tenancy import keys
from waxwingport.tenancy import model as tenancy

__all__ = ['compare']

_REFUSED = 'get 401 unless their route is public'
_ENDS = 'requests in progress are completed'


def compare(
    before: documents.Document, after: documents.Document
) -> Iterator[changes.Difference]:
    """Yields the differences; keys are shown as short digests.

    A key that another tenant holds now is reported as moved.
    """
    place = after.locate('$', 'Configuration.tenants')
    if before.tenants is None and after.tenants is None:
        return
    if before.tenants is None:
        yield changes.Difference(
            changes.Importance.LOST_ACCESS,
            place,
            'keys are required',
            f'new requests without a key {_REFUSED};'
            f' {_ENDS}, and submissions accepted before can be used with any'
            ' key',
            'yes, by a higher version without tenants',
        )
        return
    if after.tenants is None:
        yield changes.Difference(
            changes.Importance.OTHER,
            place,
            'keys are no longer required',
            f'{_ENDS}; new ones are served without a tenant',
            changes.REPUBLISHED,
        )
        return
    yield from _compare_tenants(before, after)


def _compare_tenants(
    before: documents.Document, after: documents.Document
) -> Iterator[changes.Difference]:
    old = _index(before)
    new = _index(after)
    holders = {
        key: placed.tenant.name
        for placed in new.values()
        for key in placed.tenant.keys
    }
    for name, placed in old.items():
        if name not in new:
            yield changes.Difference(
                changes.Importance.LOST_ACCESS,
                placed.place,
                f'tenant {name!r} dropped with its keys'
                f' ({len(placed.tenant.keys)})',
                f'new requests with its keys {_REFUSED}; {_ENDS}, and its'
                ' submissions run on, but nobody can read them',
                changes.REPUBLISHED,
                in_former=True,
            )
        yield from _compare_keys(before, placed, new.get(name), holders)
    for name, placed in new.items():
        yield from _describe_new(after, placed, old.get(name))


def _index(
    document: documents.Document,
) -> dict[tenancy.TenantName, documents.PlacedTenant]:
    return {placed.tenant.name: placed for placed in document.tenants or ()}


def _compare_keys(
    before: documents.Document,
    old: documents.PlacedTenant,
    new: documents.PlacedTenant | None,
    holders: dict[tenancy.KeyDigest, tenancy.TenantName],
) -> Iterator[changes.Difference]:
    """Yields the keys that a tenant lost, those of one holder together."""
    name = old.tenant.name
    place = before.locate(old.place, 'Tenant.keys')
    dropped: list[tenancy.KeyDigest] = []
    moved: dict[tenancy.TenantName, list[tenancy.KeyDigest]] = {}
    for key in old.tenant.keys:
        holder = holders.get(key)
        if holder is None:
            dropped.append(key)
        elif holder != name:
            moved.setdefault(holder, []).append(key)
    if dropped and new is not None:
        yield changes.Difference(
            changes.Importance.LOST_ACCESS,
            place,
            f'tenant {name!r}: keys dropped: {_show(dropped)}',
            f'new requests with them {_REFUSED}; {_ENDS}, and submissions go'
            ' on under the other keys of the tenant',
            changes.REPUBLISHED,
            in_former=True,
        )
    for holder in sorted(moved):
        yield changes.Difference(
            changes.Importance.LOST_ACCESS,
            place,
            f'tenant {name!r}: keys moved to tenant {holder!r}:'
            f' {_show(moved[holder])}',
            f'new requests with them count for {holder!r} and get 404 for the'
            f' submissions of {name!r}; {_ENDS}',
            changes.REVERTED,
            in_former=True,
        )


def _describe_new(
    after: documents.Document,
    placed: documents.PlacedTenant,
    former: documents.PlacedTenant | None,
) -> Iterator[changes.Difference]:
    tenant = placed.tenant
    if former is None:
        yield changes.Difference(
            changes.Importance.OTHER,
            placed.place,
            f'tenant {tenant.name!r} added with its keys ({len(tenant.keys)})',
            'none',
            changes.REMOVED,
        )
        return
    added = set(tenant.keys) - set(former.tenant.keys)
    if added:
        yield changes.Difference(
            changes.Importance.OTHER,
            after.locate(placed.place, 'Tenant.keys'),
            f'tenant {tenant.name!r}: keys added: {_show(added)}',
            'none',
            changes.REMOVED,
        )
    if tenant.priority != former.tenant.priority:
        yield changes.Difference(
            changes.Importance.OTHER,
            after.locate(placed.place, 'Tenant.priority'),
            f'tenant {tenant.name!r}: priority'
            f' {_show_priority(former.tenant.priority)} ->'
            f' {_show_priority(tenant.priority)}',
            f'{changes.LATER}; waiting items are held to the new one at once',
            changes.REVERTED,
        )


def _show(digests: Iterable[tenancy.KeyDigest]) -> str:
    return ', '.join(keys.shorten(digest) for digest in sorted(digests))


def _show_priority(priority: int | None) -> str:
    return "of each request's route" if priority is None else str(priority)
