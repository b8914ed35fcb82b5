"""The tenants of the configuration in force."""

from collections.abc import Sequence

from waxwingport.gateway import routes
from waxwingport.tenancy import model

__all__ = ['ActiveTenants', 'TenantIndex']


class TenantIndex:
    """Finds the tenants of one version of the configuration.

    Each look-up takes constant time.
    """

    def __init__(self, tenants: Sequence[model.Tenant]) -> None:
        self._by_key = {
            digest: tenant for tenant in tenants for digest in tenant.keys
        }
        self._by_name = {tenant.name: tenant for tenant in tenants}
        self.has_priorities = any(
            tenant.priority is not None for tenant in tenants
        )
        """Whether a tenant has a priority of its own."""

    def find_by_key(self, digest: model.KeyDigest) -> model.Tenant | None:
        """Returns the tenant that has a key, ``None`` if no tenant has it."""
        return self._by_key.get(digest)

    def find_by_name(self, name: str) -> model.Tenant | None:
        """Returns the tenant with a name, ``None`` if there is none."""
        return self._by_name.get(model.TenantName(name))


class ActiveTenants:
    """Holds the index of the configuration in force.

    Without an index no tenants are in force, as before the first call of
    ``replace`` and where the configuration has none.
    """

    def __init__(self) -> None:
        self._index: TenantIndex | None = None

    @property
    def in_force(self) -> bool:
        """Whether requests need a key."""
        return self._index is not None

    @property
    def have_priorities(self) -> bool:
        """Whether tenants in force have priorities of their own."""
        return self._index is not None and self._index.has_priorities

    def replace(self, tenants: Sequence[model.Tenant] | None) -> None:
        """Replaces the whole index; keeps the last one if that raises."""
        self._index = None if tenants is None else TenantIndex(tenants)

    def find_by_key(self, digest: model.KeyDigest) -> model.Tenant | None:
        """Returns the tenant that has a key, ``None`` if no tenant has it."""
        return None if self._index is None else self._index.find_by_key(digest)

    def compute_priority(
        self, route: routes.Route | None, tenant: str | None
    ) -> int:
        """Returns the priority in force for a request; 0 is the most urgent.

        It is the tenant's, or else that of the route.  ``tenant`` is the name
        of the tenant, empty or ``None`` for requests without one.
        """
        if tenant and self._index is not None:
            found = self._index.find_by_name(tenant)
            if found is not None and found.priority is not None:
                return found.priority
        return 0 if route is None else route.priority

    def identify_owner(self, tenant: str) -> model.Identity | None:
        """Returns for whom the items of a submission are sent.

        ``tenant`` is the submission's, empty if it has none.  It is kept also
        if the tenant has left the configuration since.
        """
        if not tenant and not self.in_force:
            return None
        return model.Identity(model.TenantName(tenant) if tenant else None)
