"""Which callers may use a submission."""

from waxwingport.tenancy import model

__all__ = ['may_use']


def may_use(owner: str, identity: model.Identity | None) -> bool:
    """Returns whether a caller may use a submission of the tenant ``owner``.

    A submission without an owner was accepted while no tenants were in force,
    or on a public route without a key, and any caller that passed the check of
    its key may use it; refusing all of them would lose the submission.  The
    same holds for all submissions while no tenants are in force.
    """
    return identity is None or not owner or owner == identity.tenant
