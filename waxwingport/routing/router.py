"""Routes requests: views of every pool and service, and the prefix index."""

import asyncio
from collections.abc import Callable
import random

from waxwingport.configuration import declarations
from waxwingport.configuration import state
from waxwingport.routing import cache
from waxwingport.routing import candidates
from waxwingport.routing import pools
from waxwingport.targets import listeners
from waxwingport.targets import table

__all__ = ['Router', 'find_rules']

_MATCHES = 4
"""Engines with a matching prefix that a decision looks at."""
_NO_MATCHES: dict = {}


def find_rules(
    declared: declarations.Declarations, group: str
) -> candidates.Rules | None:
    """Returns what a pool or service asks of targets, or ``None``."""
    pool = declared.find_pool(group)
    if pool is not None:
        return candidates.Rules(
            selector=pool.selector,
            version=pool.version,
            minimum_version=pool.minimum_version,
            priority=pool.priority,
            weight=pool.weight,
        )
    service = declared.find_service(group)
    if service is not None:
        return candidates.Rules(selector=service.selector)
    return None


class Router(listeners.TableListener):
    """Keeps one view for each pool and service in use.

    ``changes`` grows with each change of what a request may go to, other
    than of the room there.
    """

    def __init__(
        self,
        configuration: state.ConfigurationState,
        targets: table.TargetTable,
        rng: random.Random,
    ) -> None:
        self.index = cache.PrefixIndex()
        self.changes = 0
        self._configuration = configuration
        self._targets = targets
        self._rng = rng
        self._revision = configuration.revision
        self._views: dict[str, pools.PoolView] = {}
        self._room_listeners: list[Callable[[], None]] = []
        targets.listen(self)
        configuration.listen(self._take_declarations)

    def listen(self, listener: Callable[[], None]) -> None:
        """Calls ``listener`` when targets changed in any way."""
        self._room_listeners.append(listener)

    def find_view(self, group: str) -> pools.PoolView | None:
        """Returns the view of a declared pool or service, or ``None``."""
        if self._revision != self._configuration.revision:
            self._take_declarations(self._configuration.declarations)
        found = self._views.get(group)
        if found is not None:
            return found
        rules = find_rules(self._configuration.declarations, group)
        if rules is None:
            return None
        found = self._views[group] = pools.PoolView(rules)
        for target in self._targets:
            found.relabel(target)
        return found

    def decide(
        self, view: pools.PoolView, work: candidates.Work
    ) -> candidates.Decision:
        """Returns where to send ``work`` now."""
        now = asyncio.get_running_loop().time()
        matches = _NO_MATCHES
        if work.blocks:
            matches = self.index.match(work.blocks, _MATCHES, self._rng)
        return view.decide(work, matches, now, self._rng)

    def note_sent(self, work: candidates.Work, target: table.Target) -> None:
        """Takes the prompt of ``work`` as cached at ``target`` soon."""
        if work.blocks and target.engine is not None:
            now = asyncio.get_running_loop().time()
            self.index.note_asked(work.blocks)
            self.index.note_sent(target.name, work.blocks, now)

    def relabel(self, target: table.Target) -> None:
        """Takes a target that is new or has other labels."""
        for view in self._views.values():
            view.relabel(target)
        self.changes += 1
        self._tell()

    def refresh(self, target: table.Target) -> None:
        """Takes a change of a target's state, version or room."""
        for view in self._views.values():
            self.changes += view.refresh(target)
        self._tell()

    def remove(self, target: table.Target) -> None:
        """Takes a target that is gone."""
        for view in self._views.values():
            view.remove(target)
        self.index.drop(target.name)
        self.changes += 1
        self._tell()

    def _take_declarations(self, declared: declarations.Declarations) -> None:
        """Drops the views whose rules have changed."""
        self._revision = self._configuration.revision
        self._views = {
            group: view
            for group, view in self._views.items()
            if find_rules(declared, group) == view.rules
        }
        self.changes += 1
        self._tell()

    def _tell(self) -> None:
        for listener in self._room_listeners:
            listener()
