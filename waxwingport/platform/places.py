"""Places of the entries of an operator's configuration.

``entries`` is the document as ``operators`` decodes it.
"""

from collections.abc import Container
from collections.abc import Iterator
from collections.abc import Mapping
import re
from typing import Any

import msgspec

from waxwingport.checks import document as documents
from waxwingport.configuration import checking
from waxwingport.gateway import routes
from waxwingport import ids
from waxwingport.tenancy import keys

__all__ = [
    'ENTRY',
    'FIELDS',
    'ROOT',
    'Readable',
    'place_routes',
    'place_services',
    'place_tenants',
]

FIELDS: Mapping[str, str] = {
    'Configuration.limits': 'limits',
    'Configuration.tenants': 'tenants',
    'Configuration.version': 'version',
    'Limits.body_size': 'max-body-bytes',
    'Limits.header_size': 'max-header-bytes',
    'Limits.header_timeout': 'header-timeout-ms',
    'Limits.idle_timeout': 'idle-timeout-ms',
    'Route.host': 'host',
    'Route.kind': 'kind',
    'Route.max_attempts': 'max-attempts',
    'Route.name': 'name',
    'Route.prefix': 'path-prefix',
    'Route.priority': 'priority',
    'Route.public': 'public',
    'Route.resumable': 'resumable',
    'Route.retention': 'retention-s',
    'Route.run_target': 'run-target-ms',
    'Route.single_version': 'single-version',
    'Route.target_time': 'latency-target-ms',
    'Route.timeout': 'timeout-ms',
    'Tenant.keys': 'api-keys',
    'Tenant.priority': 'priority',
}
"""Field of the document for each attribute of the model."""
ROOT = '$'
ENTRY = re.compile(r'\$\.([\w-]+)(?:\[(\d+)\])?')
"""A place up to the index of an entry in one of the document's lists."""


class Readable(msgspec.Struct, frozen=True):
    """The part of a document that nodes can read.

    ``kept`` has the indices of the entries of each list that was shortened.
    """

    value: bytes
    kept: Mapping[str, list[int]] = {}

    def restore(self, place: str) -> str:
        """Returns the place in the document of a place in this part."""
        found = ENTRY.match(place)
        if found is None or found[2] is None or found[1] not in self.kept:
            return place
        index = self.kept[found[1]][int(found[2])]
        return f'{ROOT}.{found[1]}[{index}]{place[found.end() :]}'


def place_routes(
    entries: Any,
    readable: Readable,
    configuration: routes.Configuration,
    omitted: Container[str],
) -> Iterator[documents.PlacedRoute]:
    """Yields the routes in force; ``entries`` is the decoded document."""
    known_routes = iter(configuration.routes)
    for index, entry in enumerate(entries.routes):
        place = f'{ROOT}.routes[{index}]'
        if place in omitted:
            continue
        place = readable.restore(place)
        route = next(known_routes)
        shares_place = f'{place}.traffic-split'
        share_places = [
            f'{shares_place}[{number}]' for number in range(len(route.shares))
        ]
        if not entry.traffic_split:
            shares_place = f'{place}.service'
            share_places = [shares_place]
        yield documents.PlacedRoute(
            place, route, shares_place, tuple(share_places), entry.max_attempts
        )


def place_services(
    data: Any, entries: Any, readable: Readable
) -> Iterator[documents.PlacedService]:
    """Yields the services; ``data`` is the whole document."""
    for index, entry in enumerate(entries.services):
        place = readable.restore(f'{ROOT}.services[{index}]')
        original = readable.kept.get('services', range(index + 1))[index]
        scaling = data['services'][original].get('scaling')
        yield documents.PlacedService(
            place,
            ids.ServiceName(entry.name),
            tuple(_find_ranges(scaling, f'{place}.scaling')),
        )


def _find_ranges(value: object, place: str) -> Iterator[documents.Range]:
    """Yields each pair of ``min`` and ``max`` in a value, at any depth."""
    remaining = [(place, value)]
    while remaining:
        place, value = remaining.pop()
        if isinstance(value, list):
            remaining += [
                (f'{place}[{index}]', item) for index, item in enumerate(value)
            ]
        if not isinstance(value, dict):
            continue
        remaining += [
            (f'{place}.{checking.quote_name(name)}', value[name])
            for name in value
        ]
        limits = value.get('min'), value.get('max')
        if all(type(limit) in (int, float) for limit in limits):
            yield documents.Range(f'{place}.min', *limits)


class _TenantPlaces(msgspec.Struct):
    """The entries of one tenant, which may have several."""

    place: str
    written_keys: int = 0
    repeated_keys: list[documents.RepeatedKey] = []
    priorities: list[tuple[str, int]] = []
    first_places: dict[str, str] = {}


def place_tenants(
    entries: Any,
    readable: Readable,
    configuration: routes.Configuration,
    omitted: Container[str],
) -> tuple[documents.PlacedTenant, ...] | None:
    """Returns the tenants in force, ``None`` if none are declared."""
    if configuration.tenants is None:
        return None
    found: dict[str, _TenantPlaces] = {}
    for index, entry in enumerate(entries.tenants):
        place = f'{ROOT}.tenants[{index}]'
        if place in omitted:
            continue
        original_place = readable.restore(place)
        tenant = found.setdefault(entry.name, _TenantPlaces(original_place))
        if entry.priority is not None:
            tenant.priorities.append(
                (
                    f'{original_place}.{FIELDS["Tenant.priority"]}',
                    int(entry.priority),
                )
            )
        tenant.written_keys += len(entry.api_keys)
        for number, key in enumerate(entry.api_keys):
            suffix = f'.api-keys[{number}]'
            if place + suffix in omitted:
                continue
            key_place = original_place + suffix
            first_place = tenant.first_places.setdefault(key, key_place)
            if first_place != key_place:
                tenant.repeated_keys.append(
                    documents.RepeatedKey(
                        key_place, keys.compute_digest(key), first_place
                    )
                )
    return tuple(
        documents.PlacedTenant(
            found[tenant.name].place,
            tenant,
            found[tenant.name].written_keys,
            tuple(found[tenant.name].repeated_keys),
            tuple(
                place
                for place, priority in found[tenant.name].priorities
                if priority != tenant.priority
            ),
        )
        for tenant in configuration.tenants
    )
