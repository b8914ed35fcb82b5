"""A configuration together with the places of its entries."""

from collections.abc import Mapping

import msgspec

from waxwingport.checks import findings
from waxwingport.gateway import routes
from waxwingport import ids
from waxwingport.tenancy import model as tenancy

__all__ = [
    'Document',
    'PlacedRoute',
    'PlacedService',
    'PlacedTenant',
    'Range',
    'RepeatedKey',
]


class Range(msgspec.Struct, frozen=True):
    """A lower and an upper limit, which nodes don't read."""

    place: str
    minimum: float
    maximum: float


class PlacedRoute(msgspec.Struct, frozen=True):
    """A route in force and its place."""

    place: str
    route: routes.Route
    shares_place: str
    """Place of the field that names the services."""
    share_places: tuple[str, ...]
    """Place of the service of each share."""
    declared_attempts: float
    """As written; nodes use at least 1."""


class PlacedService(msgspec.Struct, frozen=True):
    """A service that the configuration declares, and its place."""

    place: str
    name: ids.ServiceName
    ranges: tuple[Range, ...] = ()


class RepeatedKey(msgspec.Struct, frozen=True):
    """A key that its tenant lists before."""

    place: str
    digest: tenancy.KeyDigest
    first_place: str


class PlacedTenant(msgspec.Struct, frozen=True):
    """A tenant in force and its place."""

    place: str
    tenant: tenancy.Tenant
    written_keys: int
    """Number of keys as written, some of which nodes may leave out."""
    repeated_keys: tuple[RepeatedKey, ...] = ()
    ignored_priorities: tuple[str, ...] = ()
    """Places of priorities that differ from the one in force."""


class Document(msgspec.Struct, frozen=True):
    """What nodes read in a document, and what the reader finds in it.

    If nodes reject the document, the entries are those that can be read.
    """

    configuration: routes.Configuration
    routes: tuple[PlacedRoute, ...]
    services: tuple[PlacedService, ...]
    findings: tuple[findings.Finding, ...]
    fields: Mapping[str, str]
    """Name of the document's field for each attribute of the model, such as
    ``Route.prefix``."""
    has_all_routes: bool = True
    """Whether nodes read every route that is written."""
    has_all_services: bool = True
    tenants: tuple[PlacedTenant, ...] | None = None
    """``None`` if the document declares none."""

    @property
    def is_rejected(self) -> bool:
        """Whether nodes don't apply the document, or it can't be checked."""
        rejecting = findings.Kind.UNREADABLE, findings.Kind.MALFORMED
        return any(finding.kind in rejecting for finding in self.findings)

    def locate(self, place: str, attribute: str) -> str:
        """Returns the place of an attribute's field in the entry at a place.

        ``attribute`` is a key of ``fields``.
        """
        return f'{place}.{self.fields[attribute]}'
