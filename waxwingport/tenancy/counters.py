"""Metrics of tenants, and log lines of what a configuration leaves out."""

import heapq
import logging

from waxwingport.gateway import routes
from waxwingport import metrics

__all__ = ['OmissionRecorder', 'TenantCounters']

_MAX_NAMED = 50
"""Tenants with a series of their own; collectors keep every series for long,
and a deployment may have many tenants."""
_OTHERS = 'all others'
"""Label of the other tenants' series; no tenant's name contains a space."""
_MAX_COUNTED = 1000
"""Tenants whose requests are counted to find out which have the most.  Beyond
it those with the fewest are forgotten, so that tenants that come and go need
no more memory."""
_MAX_LINES = 100
"""Log lines for the omissions of one version; a last line has the number of
the others."""

_LOG = logging.getLogger(__name__)


class TenantCounters:
    """Counts requests by tenant: those with the most by name, others as one.

    Which tenants are named changes only with ``render``.  Each series only
    rises and all of them together are all requests: a tenant that is no
    longer named has its requests added to the others', and the series of one
    that is named again starts at 0.
    """

    def __init__(self, counters: metrics.Metrics) -> None:
        self._metrics = counters
        self._totals: dict[str, int] = {}
        self._named: dict[str, int] = {}
        self._others = 0

    def count(self, tenant: str | None) -> None:
        """Counts a request of a tenant; nothing for ``None``."""
        if tenant is None:
            return
        self._totals[tenant] = self._totals.get(tenant, 0) + 1
        if tenant in self._named:
            self._named[tenant] += 1
        elif len(self._named) < _MAX_NAMED:
            self._named[tenant] = 1
        else:
            self._others += 1

    def render(self) -> None:
        """Chooses the tenants to name and sets the metrics."""
        most = set(self._find_most(_MAX_NAMED))
        for tenant in [name for name in self._named if name not in most]:
            self._others += self._named.pop(tenant)
        for tenant in most:
            self._named.setdefault(tenant, 0)
        if len(self._totals) > _MAX_COUNTED:
            kept = self._find_most(_MAX_COUNTED)
            self._totals = {name: self._totals[name] for name in kept}
        if not self._named:
            return
        self._metrics.replace_counts(
            'waxwingport_tenant_requests_total',
            'Requests by tenant: those with the most by name, others as one.',
            'tenant',
            self._named | {_OTHERS: self._others},
        )

    def _find_most(self, count: int) -> list[str]:
        """Returns the tenants with the most requests.

        Of equals those that are named go first, so that names change little.
        """
        return heapq.nlargest(
            count,
            self._totals,
            key=lambda name: (self._totals[name], name in self._named),
        )


class OmissionRecorder:
    """Logs and counts what the versions of the configuration leave out."""

    def __init__(self, counters: metrics.Metrics) -> None:
        self._metrics = counters
        self._last: frozenset[routes.Omission] = frozenset()
        self._last_unlisted = 0

    def record(self, configuration: routes.Configuration) -> None:
        """Records the omissions of a version that comes into force.

        Logs those that the last version did not have, as most versions change
        something else.  The reader itself logs the routes.
        """
        found = configuration.omissions
        unlisted = configuration.unlisted_omissions
        added = [
            omission
            for omission in found
            if omission not in self._last
            and omission.kind is not routes.OmissionKind.UNKNOWN_ROUTE_KIND
        ]
        self._last = frozenset(found)
        for kind in routes.OmissionKind:
            self._metrics.set(
                'waxwingport_configuration_omissions',
                'Parts of the configuration in force that are left out.',
                sum(omission.kind is kind for omission in found)
                + unlisted.get(kind, 0),
                kind=kind.value,
            )
        for omission in added[:_MAX_LINES]:
            _LOG.error(
                'tenant-part-skipped',
                extra={
                    'version': configuration.version,
                    'place': omission.place,
                    'kind': omission.kind.value,
                    'tenant': omission.name,
                    'reason': omission.reason,
                },
            )
        count = max(0, len(added) - _MAX_LINES)
        if sum(unlisted.values()) != self._last_unlisted:
            self._last_unlisted = sum(unlisted.values())
            count += self._last_unlisted
        if count:
            _LOG.error(
                'tenant-parts-skipped',
                extra={'version': configuration.version, 'count': count},
            )
