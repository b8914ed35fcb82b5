"""Routes in force: which requests go to which services, and how."""

import enum

import msgspec

from waxwingport import ids

__all__ = [
    'Configuration',
    'Limits',
    'Route',
    'RouteKind',
    'Share',
    'find_route',
    'split_host',
]


class RouteKind(enum.Enum):
    """What may be repeated, and how an answer comes."""

    BATCH = 'batch'
    """Submissions whose items run later."""
    IDEMPOTENT = 'idempotent'
    NON_IDEMPOTENT = 'non-idempotent'
    STREAMING = 'streaming'


class Share(msgspec.Struct, frozen=True):
    """A service's part of a route's requests."""

    service: ids.ServiceName
    weight: int


class Route(msgspec.Struct, frozen=True):
    """How requests under a host and a path prefix are handled."""

    name: str
    host: str
    prefix: str
    kind: RouteKind
    shares: tuple[Share, ...]
    max_attempts: int
    """Targets to which one request may be sent."""
    timeout: float
    """Seconds that a request may be kept waiting."""
    target_time: float
    """Seconds within which an answer is worth most."""
    priority: int = 0
    """0 is the most urgent."""
    resumable: bool = False
    """Whether a stream may go on at another target."""
    single_version: bool = False
    """Whether all of a text has to come from one version of the weights."""
    run_target: float = 60.0
    """Seconds within which all items of a submission are due."""
    retention: float = 300.0
    """Seconds after which an item may be given up."""


class Limits(msgspec.Struct, frozen=True):
    """Bounds on what a caller may send; bytes and seconds."""

    header_size: int = 16_384
    body_size: int = 33_554_432
    header_timeout: float = 3.0
    idle_timeout: float = 15.0


class Configuration(msgspec.Struct, frozen=True):
    """The routes of one version."""

    version: int
    routes: tuple[Route, ...]
    limits: Limits
    models: dict[ids.ServiceName, tuple[str, ...]]
    """Models that the targets of each service serve."""


def find_route(
    configuration: Configuration, host: str, path: str
) -> Route | None:
    """Returns the route of ``host`` with the longest fitting prefix."""
    found = None
    for route in configuration.routes:
        if route.host != host or not path.startswith(route.prefix):
            continue
        if found is None or len(route.prefix) > len(found.prefix):
            found = route
    return found


def split_host(host: str) -> str:
    """Returns a ``Host`` header's name without its port, in lower case."""
    return host.partition(':')[0].lower()
