"""Records that operators and targets write to the platform's store."""

from collections.abc import Iterable
import ipaddress
import logging
import re
from typing import Annotated

from expression import Error
from expression import Ok
from expression import Result
import msgspec

from waxwingport import decoding
from waxwingport.fleet import model as fleet
from waxwingport.gateway import routes
from waxwingport import ids
from waxwingport.log import base
from waxwingport import numerals
from waxwingport.platform import tenant_entries

__all__ = [
    'CONFIGURATION_FORMAT',
    'OPERATOR_TOPIC',
    'ROUTE_KINDS',
    'TARGET_TOPIC',
    'PublishedVersion',
    'is_configuration',
    'parse_configuration',
    'read_configuration',
    'read_published_version',
    'read_target',
]

OPERATOR_TOPIC = base.Topic('keyed.op')
TARGET_TOPIC = base.Topic('keyed.servers')

_LOG = logging.getLogger(__name__)

_CONFIGURATION_KEY = 'config'
_VERSION_KEY_PREFIX = 'version/'
_ROUTE_KINDS = {
    'idempotent': routes.RouteKind.IDEMPOTENT,
    'non_idempotent': routes.RouteKind.NON_IDEMPOTENT,
    'rollout': routes.RouteKind.BATCH,
    'streaming': routes.RouteKind.STREAMING,
}
ROUTE_KINDS = tuple(_ROUTE_KINDS)
"""Kinds of routes as operators write them."""
_STAGES = {
    'draining': fleet.Stage.DRAINING,
    'ready': fleet.Stage.READY,
}
_INSTANCE_PATTERN = re.compile('[!-~]+')
"""Visible ASCII: the id is sent in a header of each request."""
_MAX_PORT = 65535
_MAX_SLOTS = 1_000_000
"""More requests at once than an engine can hold; an entry with more of them
is no engine's."""


class _Share(msgspec.Struct, frozen=True):
    service: str
    weight: float


class _Route(msgspec.Struct, frozen=True, rename='kebab'):
    name: str
    host: str
    path_prefix: str
    kind: str
    timeout_ms: float
    latency_target_ms: float = 1000.0
    priority: float = 0.0
    service: str | None = None
    traffic_split: list[_Share] | None = None
    max_attempts: float = 1.0
    resumable: bool = False
    streaming: bool = False
    single_version: bool = False
    run_target_ms: float = 60_000.0
    retention_s: float = 300.0
    public: bool = False


class _Model(msgspec.Struct, frozen=True):
    name: str


class _Engine(msgspec.Struct, frozen=True, rename='kebab'):
    models: list[_Model] = []


class _Service(msgspec.Struct, frozen=True, rename='kebab'):
    name: str
    engine: _Engine | None = None


class _Limits(msgspec.Struct, frozen=True, rename='kebab'):
    max_header_bytes: float = 16_384.0
    max_body_bytes: float = 33_554_432.0
    header_timeout_ms: float = 3000.0
    idle_timeout_ms: float = 15_000.0


class _Configuration(msgspec.Struct, frozen=True):
    version: decoding.WholeNumber
    routes: list[_Route]
    services: list[_Service]
    limits: _Limits = _Limits()
    tenants: list[tenant_entries.TenantEntry] | msgspec.UnsetType = (
        msgspec.UNSET
    )
    """``null`` is no list, so that it does not end the check of keys."""


CONFIGURATION_FORMAT: type[msgspec.Struct] = _Configuration
"""What a configuration is decoded to; fields that it lacks are ignored."""


class _LoadedModel(msgspec.Struct, frozen=True):
    name: decoding.Name
    version: decoding.WholeNumber


class _Target(msgspec.Struct, frozen=True, rename='kebab'):
    service: decoding.Name
    address: decoding.Name
    zone: decoding.Name
    version: decoding.Name
    slots: Annotated[int, msgspec.Meta(ge=0, le=_MAX_SLOTS)]
    state: decoding.Name
    models: list[_LoadedModel] = []
    born: decoding.WholeNumber | None = None


class _Publication(msgspec.Struct, frozen=True):
    model: decoding.Name
    version: Annotated[float, msgspec.Meta(ge=0, le=decoding.MAX_WHOLE_NUMBER)]


class PublishedVersion(msgspec.Struct, frozen=True):
    """The version of a model's weights that was published last."""

    model: str
    version: ids.WeightVersion


def is_configuration(key: str) -> bool:
    """Returns whether an operator's record has the configuration's key."""
    return key == _CONFIGURATION_KEY


def read_configuration(
    value: bytes,
) -> Result[routes.Configuration, str]:
    """Returns the configuration; fails with what is wrong.

    Routes of unknown kinds, keys and tenants that cannot be used are left out
    and listed in the configuration; the routes are logged.
    """
    return parse_configuration(value).map(_log_routes)


def parse_configuration(value: bytes) -> Result[routes.Configuration, str]:
    """Returns what ``read_configuration`` does, and logs nothing."""
    return decoding.read_json(value, _Configuration).map(_make_configuration)


def _log_routes(found: routes.Configuration) -> routes.Configuration:
    """Logs the routes that are left out."""
    for omission in found.omissions:
        if omission.kind is routes.OmissionKind.UNKNOWN_ROUTE_KIND:
            _LOG.error(
                'route-skipped',
                extra={'route': omission.name, 'reason': omission.reason},
            )
    return found


def _make_configuration(found: _Configuration) -> routes.Configuration:
    known_routes, omitted_routes = _read_routes(found.routes)
    limits = found.limits
    found_tenants, omissions, unlisted = None, (), {}
    if not isinstance(found.tenants, msgspec.UnsetType):
        found_tenants, omissions, unlisted = tenant_entries.read_tenants(
            found.tenants
        )
    return routes.Configuration(
        found.version,
        known_routes,
        routes.Limits(
            int(limits.max_header_bytes),
            int(limits.max_body_bytes),
            limits.header_timeout_ms / 1000,
            limits.idle_timeout_ms / 1000,
        ),
        {
            ids.ServiceName(service.name): tuple(
                model.name for model in service.engine.models
            )
            for service in found.services
            if service.engine is not None
        },
        found_tenants,
        (*omitted_routes, *omissions),
        unlisted,
    )


def read_published_version(
    key: str, value: bytes
) -> Result[PublishedVersion | None, str]:
    """Returns the version in a record, ``None`` for records of other kinds."""
    if not key.startswith(_VERSION_KEY_PREFIX):
        return Ok(None)
    return decoding.read_json(value, _Publication).map(
        lambda found: PublishedVersion(
            found.model, ids.WeightVersion(int(found.version))
        )
    )


def read_target(key: str, value: bytes) -> Result[fleet.TargetEntry, str]:
    """Returns a target's entry; fails if a field is missing or invalid."""
    return decoding.read_json(value, _Target).bind(
        lambda found: _make_entry(key, found)
    )


def _make_entry(key: str, found: _Target) -> Result[fleet.TargetEntry, str]:
    if not _INSTANCE_PATTERN.fullmatch(key):
        return Error('the key cannot be sent in a header')
    stage = _STAGES.get(found.state)
    if stage is None:
        return Error(f'state {found.state!r} is unknown')
    if not _is_address(found.address):
        return Error(f'address {found.address[:40]!r} is not ip:port')
    return Ok(
        fleet.TargetEntry(
            fleet.InstanceId(key),
            ids.ServiceName(found.service),
            found.address,
            ids.DataCentre(found.zone),
            max(1, found.slots),
            stage,
            found.born,
            {
                model.name: ids.WeightVersion(model.version)
                for model in found.models
            },
            ids.SoftwareVersion(found.version),
        )
    )


def _is_address(address: str) -> bool:
    host, _, text = address.rpartition(':')
    port = numerals.read_whole_number(text)
    try:
        ipaddress.IPv4Address(host)
    except ValueError:
        return False
    return port is not None and 0 < port <= _MAX_PORT


def _read_routes(
    entries: Iterable[_Route],
) -> tuple[tuple[routes.Route, ...], list[routes.Omission]]:
    """Returns the routes of known kinds, and lists the others."""
    known: list[routes.Route] = []
    omitted: list[routes.Omission] = []
    for number, entry in enumerate(entries):
        kind = _ROUTE_KINDS.get(entry.kind)
        if kind is None:
            omitted.append(
                routes.Omission(
                    f'routes[{number}]',
                    routes.OmissionKind.UNKNOWN_ROUTE_KIND,
                    f'unknown kind {entry.kind!r}',
                    entry.name,
                )
            )
        else:
            known.append(_read_route(entry, kind))
    return tuple(known), omitted


def _read_route(route: _Route, kind: routes.RouteKind) -> routes.Route:
    if route.streaming:
        kind = routes.RouteKind.STREAMING
    split = route.traffic_split or [_Share(route.service or '', 1)]
    return routes.Route(
        route.name,
        route.host.lower(),
        route.path_prefix,
        kind,
        tuple(
            routes.Share(ids.ServiceName(share.service), share.weight)
            for share in split
        ),
        max(1, int(route.max_attempts)),
        route.timeout_ms / 1000,
        route.latency_target_ms / 1000,
        routes.read_priority(route.priority),
        route.resumable,
        route.single_version,
        route.run_target_ms / 1000,
        route.retention_s,
        route.public,
    )
