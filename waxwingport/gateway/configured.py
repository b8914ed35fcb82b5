"""The configuration that this node applies."""

import asyncio
from collections.abc import Callable
from collections.abc import Sequence
import logging

from expression import Result

from waxwingport.gateway import routes
from waxwingport.log import base
from waxwingport.log import dependency
from waxwingport.log import followers
from waxwingport.tenancy import active

__all__ = ['ActiveConfiguration', 'ReadConfiguration', 'ReadOther']

ReadConfiguration = Callable[
    [base.KeyedRecord], Result[routes.Configuration, str]
]
ReadOther = Callable[[base.KeyedRecord], None]

_LOG = logging.getLogger(__name__)


class ActiveConfiguration(followers.KeyedListener):
    """Keeps the newest configuration among the operator's records.

    Configurations of an older or equal version are ignored.
    ``is_configuration`` recognizes a configuration by its record's key; all
    other records are passed to ``read_other``.
    """

    def __init__(
        self,
        is_configuration: Callable[[str], bool],
        read: ReadConfiguration,
        read_other: ReadOther,
    ) -> None:
        self._is_configuration = is_configuration
        self._read = read
        self._read_other = read_other
        self._listeners: list[Callable[[routes.Configuration], None]] = []
        self._log_dependency: dependency.Dependency | None = None
        self.current: routes.Configuration | None = None
        self.tenants = active.ActiveTenants()
        """Tenants of the current version."""
        self.applied_at = float('-inf')
        """Time of the event loop's clock at which the current version was
        applied."""

    def set_log_dependency(
        self, log_dependency: dependency.Dependency
    ) -> None:
        """Sets the log's dependency, which tells when it last answered."""
        self._log_dependency = log_dependency

    def compute_unconfirmed_time(self) -> float | None:
        """Returns the seconds since the log last told what is newest.

        Returns ``None`` if it has told nothing yet.
        """
        if self._log_dependency is None or self.current is None:
            return None
        now = asyncio.get_running_loop().time()
        return round(now - self._log_dependency.answered_at, 3)

    def add_listener(
        self, listener: Callable[[routes.Configuration], None]
    ) -> None:
        """Calls ``listener`` with each version from now on."""
        self._listeners.append(listener)

    def find_route(self, host: str, path: str) -> routes.Route | None:
        """Returns the route of a request, or ``None`` if none matches."""
        if self.current is None:
            return None
        return routes.find_route(self.current, host, path)

    def replace(self, records: Sequence[base.KeyedRecord]) -> None:
        """Processes all of the operator's records; removes nothing."""
        for record in records:
            self.update(record)

    def update(self, record: base.KeyedRecord) -> None:
        """Processes one record; the removal of a key is ignored."""
        if record.value is None:
            return
        if not self._is_configuration(record.key):
            self._read_other(record)
            return
        match self._read(record):
            case Result(tag='ok', ok=configuration):
                self._apply(configuration)
            case Result(error=reason):
                _LOG.error(
                    'configuration-unreadable', extra={'reason': reason}
                )

    def _apply(self, configuration: routes.Configuration) -> None:
        if (
            self.current is not None
            and configuration.version <= self.current.version
        ):
            return
        # First, so that the current version stays in force if it raises; the
        # follower logs the error.
        self.tenants.replace(configuration.tenants)
        _LOG.info(
            'configuration-in-force',
            extra={
                'version': configuration.version,
                'before': self.current.version if self.current else None,
                'routes': len(configuration.routes),
                'tenants': (
                    None
                    if configuration.tenants is None
                    else len(configuration.tenants)
                ),
            },
        )
        self.current = configuration
        self.applied_at = asyncio.get_running_loop().time()
        for listener in self._listeners:
            listener(configuration)
