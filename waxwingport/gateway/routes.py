"""Routes: which requests go to which services, and how."""

from collections.abc import Mapping
import enum

import msgspec

from waxwingport import ids
from waxwingport.tenancy import model as tenancy

__all__ = [
    'Configuration',
    'LEAST_URGENT_PRIORITY',
    'Limits',
    'Omission',
    'OmissionKind',
    'Route',
    'RouteKind',
    'Share',
    'find_route',
    'normalize_host',
    'read_priority',
]


LEAST_URGENT_PRIORITY = 1_000_000
"""Larger numbers count as this one; arithmetic on an integer of hundreds of
digits would fail."""


class RouteKind(enum.Enum):
    """Whether a request may be repeated, and how it is answered."""

    BATCH = 'batch'
    """Submissions; their items run after the submission is accepted."""
    IDEMPOTENT = 'idempotent'
    NON_IDEMPOTENT = 'non-idempotent'
    STREAMING = 'streaming'


class Share(msgspec.Struct, frozen=True):
    """A service and its relative share of a route's requests."""

    service: ids.ServiceName
    weight: float


class Route(msgspec.Struct, frozen=True):
    """How requests for a host and a path prefix are handled."""

    name: str
    host: str
    prefix: str
    kind: RouteKind
    shares: tuple[Share, ...]
    max_attempts: int
    """Number of targets that may run one request."""
    timeout: float
    """Seconds after which a request without a response is refused."""
    target_time: float
    """Seconds within which a response should come."""
    priority: int = 0
    """0 is the most urgent."""
    resumable: bool = False
    """Whether a broken stream may be resumed at another target."""
    single_version: bool = False
    """Whether one version of the weights has to generate all of a text."""
    run_target: float = 60.0
    """Seconds within which all items of a submission should be done."""
    retention: float = 300.0
    """Seconds after which an item may be abandoned."""
    public: bool = False
    """Whether requests need no key of a tenant."""


class Limits(msgspec.Struct, frozen=True):
    """Limits for callers' connections, in bytes and seconds."""

    header_size: int = 16_384
    body_size: int = 33_554_432
    header_timeout: float = 3.0
    idle_timeout: float = 15.0


class OmissionKind(enum.Enum):
    """Why a part of a configuration is not in force."""

    MALFORMED_KEY = 'malformed-key'
    MALFORMED_TENANT = 'malformed-tenant'
    SHARED_KEY = 'shared-key'
    """Several tenants have the key, so that it names none of them."""
    UNKNOWN_ROUTE_KIND = 'unknown-route-kind'


class Omission(msgspec.Struct, frozen=True):
    """A part of a configuration that was left out when it was read."""

    place: str
    """Path into the document, such as ``tenants[2].api-keys[0]``."""
    kind: OmissionKind
    reason: str
    """Contains no key."""
    name: str
    """Name of the tenant or route."""


class Configuration(msgspec.Struct, frozen=True):
    """One version of the operator's configuration."""

    version: int
    routes: tuple[Route, ...]
    limits: Limits
    models: dict[ids.ServiceName, tuple[str, ...]]
    """Names of the models that the targets of each service run."""
    tenants: tuple[tenancy.Tenant, ...] | None = None
    """``None`` if the configuration declares none, so that no request needs a
    key."""
    omissions: tuple[Omission, ...] = ()
    """What is left out of the document; the rest is in force."""
    unlisted_omissions: Mapping[OmissionKind, int] = {}
    """Number of further omissions by kind; a document may have millions."""


def find_route(
    configuration: Configuration, host: str, path: str
) -> Route | None:
    """Returns the route of ``host`` with the longest matching prefix."""
    best = None
    for route in configuration.routes:
        if route.host != host or not path.startswith(route.prefix):
            continue
        if best is None or len(route.prefix) > len(best.prefix):
            best = route
    return best


def read_priority(value: float) -> int:
    """Returns a priority as operators state it, within its bounds."""
    return int(min(max(value, 0.0), LEAST_URGENT_PRIORITY))


def normalize_host(host: str) -> str:
    """Returns the value of a ``Host`` header in lower case without port."""
    return host.partition(':')[0].lower()
