"""The configuration in force at this node."""

from collections.abc import Callable

from waxwingport.configuration import declarations
from waxwingport import ids

__all__ = ['ConfigurationState']

Listener = Callable[[declarations.Declarations], None]


class ConfigurationState:
    """Declarations in force and their revision; revisions only grow."""

    def __init__(self) -> None:
        self.revision = ids.Revision(-1)
        self.declarations = declarations.Declarations()
        self._listeners: list[Listener] = []

    def listen(self, listener: Listener) -> None:
        """Calls ``listener`` after each change."""
        self._listeners.append(listener)

    def apply(
        self,
        revision: ids.Revision,
        declared: declarations.Declarations,
    ) -> bool:
        """Puts ``declared`` in force unless ``revision`` is not newer."""
        if revision <= self.revision:
            return False
        self.revision = revision
        self.declarations = declared
        for listener in self._listeners:
            listener(declared)
        return True

    def find_selector(self, group: str) -> str | None:
        """Returns the selector of a pool or service, or ``None``."""
        pool = self.declarations.pool(group)
        if pool is not None:
            return pool.selector
        service = self.declarations.service(group)
        return service.selector if service is not None else None
