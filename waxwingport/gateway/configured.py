"""The configuration in force at this node."""

import asyncio
from collections.abc import Callable
from collections.abc import Sequence
import logging

from expression import Result

from waxwingport.gateway import routes
from waxwingport.log import base
from waxwingport.log import followers

__all__ = ['ActiveConfiguration', 'ReadConfiguration', 'ReadOther']

ReadConfiguration = Callable[
    [base.KeyedRecord], Result[routes.Configuration, str]
]
ReadOther = Callable[[base.KeyedRecord], None]

_LOG = logging.getLogger(__name__)


class ActiveConfiguration(followers.KeyedListener):
    """Takes the operator's records; a version never goes back.

    ``is_configuration`` tells the configuration from the operator's other
    records, which ``read_other`` takes.
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
        self.current: routes.Configuration | None = None
        self.applied_at = float('-inf')
        """Loop's time at which the current version came."""

    def add_listener(
        self, listener: Callable[[routes.Configuration], None]
    ) -> None:
        """Calls ``listener`` with each version put in force."""
        self._listeners.append(listener)

    def find_route(self, host: str, path: str) -> routes.Route | None:
        """Returns the route of a request, if there is one."""
        if self.current is None:
            return None
        return routes.find_route(self.current, host, path)

    def replace(self, rows: Sequence[base.KeyedRecord]) -> None:
        """Takes all of the operator's records."""
        for row in rows:
            self.update(row)

    def update(self, row: base.KeyedRecord) -> None:
        """Takes one record; a removed one changes nothing."""
        if row.value is None:
            return
        if not self._is_configuration(row.key):
            self._read_other(row)
            return
        match self._read(row):
            case Result(tag='ok', ok=found):
                self._take(found)
            case Result(error=reason):
                _LOG.error(
                    'configuration-unreadable', extra={'reason': reason}
                )

    def _take(self, found: routes.Configuration) -> None:
        if self.current is not None and found.version <= self.current.version:
            return
        _LOG.info(
            'configuration-in-force',
            extra={
                'version': found.version,
                'before': self.current.version if self.current else None,
                'routes': len(found.routes),
            },
        )
        self.current = found
        self.applied_at = asyncio.get_running_loop().time()
        for listener in self._listeners:
            listener(found)
