"""Differences between two versions of a configuration, as callers see them."""

from collections.abc import Iterator
from collections.abc import Mapping
import enum

import msgspec

from waxwingport.checks import changes
from waxwingport.checks import document as documents
from waxwingport.checks import tenant_differences
from waxwingport.gateway import routes
from waxwingport import ids

__all__ = ['compare']

_AT_ONCE = 'items of submissions are held to the new value at once'
"""Calls and streams keep the route that they began with; the route of an item
is looked up at each step."""
_UNUSED = (
    'none: nodes take targets and their models from what targets register'
)
_BATCH = routes.RouteKind.BATCH


class _Pair(msgspec.Struct, frozen=True):
    """A route in both documents."""

    document: documents.Document
    placed: documents.PlacedRoute
    before: routes.Route
    after: routes.Route

    def describe(
        self,
        importance: changes.Importance,
        attribute: str,
        effect: str,
        revert: str = changes.REVERTED,
    ) -> Iterator[changes.Difference]:
        """Yields the difference of an attribute of the routes, if any."""
        before = getattr(self.before, attribute)
        after = getattr(self.after, attribute)
        if before == after:
            return
        field = self.document.fields[f'Route.{attribute}']
        yield changes.Difference(
            importance,
            f'{self.placed.place}.{field}',
            f'{_name(self.after)}: {_show(attribute, before)} ->'
            f' {_show(attribute, after)}',
            effect,
            revert,
        )


def compare(
    before: documents.Document, after: documents.Document
) -> list[changes.Difference]:
    """Returns the differences in the order in which they matter to callers.

    Routes are the same if host and prefix are; of several, only the first is
    compared, since it hides the others.
    """
    found = [
        *_compare_routes(before, after),
        *_compare_services(before, after),
        *_compare_limits(before, after),
        *tenant_differences.compare(before, after),
    ]
    return sorted(found, key=lambda difference: difference.importance)


_Key = tuple[str, str]


def _index(document: documents.Document) -> dict[_Key, documents.PlacedRoute]:
    """Returns the routes that requests can reach by host and prefix."""
    found: dict[_Key, documents.PlacedRoute] = {}
    for placed in document.routes:
        found.setdefault((placed.route.host, placed.route.prefix), placed)
    return found


def _compare_routes(
    before: documents.Document, after: documents.Document
) -> Iterator[changes.Difference]:
    old, new = _index(before), _index(after)
    for key, placed in old.items():
        if key not in new:
            yield _describe_dropped(placed, new)
    for key, placed in new.items():
        if key in old:
            former = old[key].route
            yield from _compare_route(
                _Pair(after, placed, former, placed.route)
            )
        else:
            yield _describe_added(placed, old)


def _describe_dropped(
    placed: documents.PlacedRoute, new: Mapping[_Key, documents.PlacedRoute]
) -> changes.Difference:
    route = placed.route
    fallback = _find_fallback(route, new)
    if fallback is None:
        effect = 'new requests get 404'
    else:
        effect = f'new requests are handled by {_name(fallback)}'
    effect += '; requests in progress are completed'
    if route.kind is _BATCH:
        effect += (
            '; running items are completed, waiting items wait for a route of'
            ' their path'
        )
    if route.resumable:
        effect += '; broken streams cannot be resumed'
    return changes.Difference(
        changes.Importance.LOST_ACCESS,
        placed.place,
        f'{_name(route)} dropped',
        effect,
        changes.REPUBLISHED,
        in_former=True,
    )


def _describe_added(
    placed: documents.PlacedRoute, old: Mapping[_Key, documents.PlacedRoute]
) -> changes.Difference:
    route = placed.route
    fallback = _find_fallback(route, old)
    effect = 'none'
    if fallback is not None:
        effect = (
            f'new requests that {_name(fallback)} handled go to it; requests'
            ' in progress are completed under the former route'
        )
    return changes.Difference(
        changes.Importance.OTHER
        if fallback is None
        else changes.Importance.SERVICE,
        placed.place,
        f'{_name(route)} added',
        effect,
        changes.REMOVED,
    )


def _find_fallback(
    route: routes.Route, others: Mapping[_Key, documents.PlacedRoute]
) -> routes.Route | None:
    """Returns the route that handles a route's requests in its absence."""
    prefix = route.prefix
    for length in range(len(prefix) - 1, -1, -1):
        placed = others.get((route.host, prefix[:length]))
        if placed is not None:
            return placed.route
    return None


def _compare_route(pair: _Pair) -> Iterator[changes.Difference]:
    before, after = pair.before, pair.after
    needs_keys = pair.document.tenants is not None
    if before.public and not after.public and needs_keys:
        yield from pair.describe(
            changes.Importance.LOST_ACCESS,
            'public',
            'new requests without a key get 401; requests in progress are'
            ' completed',
        )
    concerns_batches = _BATCH in (before.kind, after.kind)
    yield from pair.describe(
        changes.Importance.LOST_ACCESS
        if concerns_batches
        else changes.Importance.SERVICE,
        'kind',
        'requests in progress are completed as the former kind, new ones are'
        ' handled as the new kind'
        + ('; accepted items are run as before' if concerns_batches else ''),
    )
    yield from _compare_shares(pair)
    effect = _AT_ONCE if after.kind is _BATCH else changes.LATER
    for attribute in ('timeout', 'target_time', 'run_target'):
        yield from pair.describe(changes.Importance.TIMEOUT, attribute, effect)
    if after.retention < before.retention and after.kind is _BATCH:
        yield from pair.describe(
            changes.Importance.TIMEOUT,
            'retention',
            'waiting items older than the new value are given up at once',
            'partly: items that were given up stay given up',
        )
    else:
        yield from pair.describe(
            changes.Importance.TIMEOUT, 'retention', effect
        )
    for attribute in ('max_attempts', 'priority', 'single_version'):
        yield from pair.describe(changes.Importance.OTHER, attribute, effect)
    yield from pair.describe(
        changes.Importance.OTHER,
        'resumable',
        'streams in progress are completed under the former value; a broken'
        ' stream can be resumed if both versions allow it',
    )
    if after.public or not needs_keys:
        yield from pair.describe(changes.Importance.OTHER, 'public', 'none')
    yield from pair.describe(changes.Importance.OTHER, 'name', 'none')


def _compare_shares(pair: _Pair) -> Iterator[changes.Difference]:
    before, after = pair.before.shares, pair.after.shares
    if before == after:
        return
    used = {share.service for share in after if share.weight > 0}
    left = [
        share.service
        for share in before
        if share.weight > 0 and share.service not in used
    ]
    effect = (
        'requests in progress are completed at the service that they began at'
    )
    if left and pair.after.resumable:
        effect += (
            f'; broken streams of {", ".join(map(repr, left))} cannot be'
            ' resumed'
        )
    if pair.after.kind is _BATCH:
        effect += (
            '; waiting items go to the new services, and texts that a service'
            ' without a share began start anew'
        )
    yield changes.Difference(
        changes.Importance.SERVICE,
        pair.placed.shares_place,
        f'{_name(pair.after)}: {_show_shares(before)} ->'
        f' {_show_shares(after)}',
        effect,
        changes.REVERTED,
    )


def _compare_services(
    before: documents.Document, after: documents.Document
) -> Iterator[changes.Difference]:
    old = {service.name: service for service in before.services}
    new = {service.name: service for service in after.services}
    for name, service in old.items():
        if name not in new:
            yield changes.Difference(
                changes.Importance.SERVICE,
                service.place,
                f'service {name!r} dropped',
                _UNUSED,
                changes.REPUBLISHED,
                in_former=True,
            )
    for name, service in new.items():
        if name not in old:
            yield changes.Difference(
                changes.Importance.OTHER,
                service.place,
                f'service {name!r} added',
                _UNUSED,
                changes.REMOVED,
            )
            continue
        old_models = _get_models(before, name)
        new_models = _get_models(after, name)
        if old_models != new_models:
            change = (
                f'models {_show_names(old_models)} ->'
                f' {_show_names(new_models)}'
            )
            yield changes.Difference(
                changes.Importance.SERVICE,
                service.place,
                f'service {name!r}: {change}',
                _UNUSED,
                changes.REVERTED,
            )


def _compare_limits(
    before: documents.Document, after: documents.Document
) -> Iterator[changes.Difference]:
    old, new = before.configuration.limits, after.configuration.limits
    place = after.locate('$', 'Configuration.limits')
    for attribute in msgspec.structs.fields(routes.Limits):
        former = getattr(old, attribute.name)
        value = getattr(new, attribute.name)
        if former == value:
            continue
        is_size = attribute.name in ('body_size', 'header_size')
        unit = 'bytes' if is_size else 's'
        yield changes.Difference(
            changes.Importance.OTHER
            if is_size
            else changes.Importance.TIMEOUT,
            after.locate(place, f'Limits.{attribute.name}'),
            f'limit: {former:.16g} {unit} -> {value:.16g} {unit}',
            changes.LATER,
            changes.REVERTED,
        )


def _get_models(
    document: documents.Document, name: ids.ServiceName
) -> tuple[str, ...]:
    return document.configuration.models.get(name, ())


def _name(route: routes.Route) -> str:
    return f'route {route.name!r} at {route.host + route.prefix!r}'


def _show(attribute: str, value: object) -> str:
    if attribute in ('timeout', 'target_time', 'run_target', 'retention'):
        return f'{value:.16g} s'
    if isinstance(value, bool):
        return 'yes' if value else 'no'
    if isinstance(value, enum.Enum):
        return value.value
    return repr(value)


def _show_shares(shares: tuple[routes.Share, ...]) -> str:
    return ', '.join(f'{share.service!r} {share.weight:g}' for share in shares)


def _show_names(names: tuple[str, ...]) -> str:
    return ', '.join(map(repr, names)) or 'none'
