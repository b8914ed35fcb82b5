"""The check of the key that a request carries."""

from collections.abc import Callable
from collections.abc import Sequence

from expression import Error
from expression import Ok
from expression import Result

from waxwingport.gateway import configured
from waxwingport.gateway import routes
from waxwingport import outcomes
from waxwingport.tenancy import keys
from waxwingport.tenancy import model

__all__ = ['Headers', 'KeyCheck', 'ReadKey']

Headers = Sequence[tuple[str, str]]
ReadKey = Callable[[Headers], Result[str, str]]
"""Returns the key in a request's headers; fails with what is wrong."""

_MAX_UNCONFIRMED_S = 3.0
"""Time within which a new version of the configuration is applied
(``config-apply-ms``).  If the log has not answered for longer, a key may have
been added that this node does not know."""
_STARTING_RETRY_AFTER_S = 0.5
"""Sent before the first configuration was read: about the time that a node
takes to start."""
_UNCONFIRMED_RETRY_AFTER_S = 0.5
"""Sent if the log has not answered for too long: about the time that a node
takes to reconnect to it."""


class KeyCheck:
    """Finds out by the current configuration who sends a request."""

    def __init__(
        self,
        configuration: configured.ActiveConfiguration,
        read_key: ReadKey,
    ) -> None:
        self._configuration = configuration
        self._read_key = read_key

    def identify(
        self, host: str, path: str, headers: Headers
    ) -> Result[model.Identity | None, outcomes.Refusal]:
        """Returns who sends a request, ``None`` if no tenants are in force.

        ``path`` may include the query.  Needs the head of the request only.
        Fails with ``UNAUTHENTICATED`` if the request needs a key and carries
        no known one, and with ``LOG_UNAVAILABLE`` if this node can't tell.
        """
        configuration = self._configuration
        if configuration.current is None:
            return Error(_make_not_ready())
        if not configuration.tenants.in_force:
            return Ok(None)
        match self._find_tenant(headers):
            case Result(tag='error') if self._is_public(host, path):
                return Ok(model.Identity(None))
            case found:
                return found

    def _is_public(self, host: str, path: str) -> bool:
        route = self._configuration.find_route(
            routes.normalize_host(host), path.partition('?')[0]
        )
        return route is not None and route.public

    def _find_tenant(
        self, headers: Headers
    ) -> Result[model.Identity | None, outcomes.Refusal]:
        match self._read_key(headers):
            case Result(tag='ok', ok=key):
                pass
            case Result(error=reason):
                return Error(_make_unauthenticated(reason))
        digest = keys.compute_digest(key)
        tenant = self._configuration.tenants.find_by_key(digest)
        if tenant is not None:
            return Ok(model.Identity(tenant.name))
        unconfirmed = self._configuration.compute_unconfirmed_time()
        if unconfirmed is not None and unconfirmed > _MAX_UNCONFIRMED_S:
            return Error(_make_unconfirmed(digest))
        return Error(
            _make_unauthenticated(
                f'no tenant has the key of digest {keys.shorten(digest)}'
            )
        )


def _make_not_ready() -> outcomes.Refusal:
    return outcomes.Refusal(
        outcomes.Reason.LOG_UNAVAILABLE,
        'the configuration has not been read yet',
        retry_after=_STARTING_RETRY_AFTER_S,
    )


def _make_unauthenticated(detail: str) -> outcomes.Refusal:
    return outcomes.Refusal(outcomes.Reason.UNAUTHENTICATED, detail)


def _make_unconfirmed(digest: model.KeyDigest) -> outcomes.Refusal:
    return outcomes.Refusal(
        outcomes.Reason.LOG_UNAVAILABLE,
        f'the key of digest {keys.shorten(digest)} is unknown to this node, '
        'which may not have the newest configuration',
        retry_after=_UNCONFIRMED_RETRY_AFTER_S,
    )
