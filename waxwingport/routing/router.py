"""Routing of requests by the views of pools and services.

The prefix index adds the engines that have a prompt in their cache.
"""

import asyncio
from collections.abc import Callable
import random

from waxwingport.configuration import declarations
from waxwingport.configuration import state
from waxwingport.routing import model
from waxwingport.routing import pools
from waxwingport.routing import prefix_index
from waxwingport.targets import listeners
from waxwingport.targets import table

__all__ = ['Router', 'find_rules']

_MAX_MATCHES = 4
"""Engines with a cached prefix that each decision compares."""
_NO_MATCHES: dict = {}


def find_rules(
    declared: declarations.Declarations, group: str
) -> model.GroupRules | None:
    """Returns the rules of a pool or service, ``None`` if not declared."""
    pool = declared.find_pool(group)
    if pool is not None:
        return model.GroupRules(
            selector=pool.selector,
            version=pool.version,
            minimum_version=pool.minimum_version,
            priority=pool.priority,
            weight=pool.weight,
        )
    service = declared.find_service(group)
    if service is not None:
        return model.GroupRules(selector=service.selector)
    return None


class Router(listeners.TableListener):
    """Decides where to send requests; has a view of each group in use.

    ``changes`` counts the changes of targets and rules, other than those of
    free capacity alone.
    """

    def __init__(
        self,
        configuration: state.ConfigurationState,
        targets: table.TargetTable,
        rng: random.Random,
    ) -> None:
        self.index = prefix_index.PrefixIndex()
        self.changes = 0
        self._configuration = configuration
        self._targets = targets
        self._rng = rng
        self._revision = configuration.revision
        self._views: dict[str, pools.PoolView] = {}
        self._listeners: list[Callable[[], None]] = []
        targets.listen(self)
        configuration.listen(self._apply_declarations)

    def listen(self, listener: Callable[[], None]) -> None:
        """Calls ``listener`` after each change of targets or rules."""
        self._listeners.append(listener)

    def find_view(self, group: str) -> pools.PoolView | None:
        """Returns the view of a pool or service, ``None`` if not declared.

        Creates the view when it is first asked for.
        """
        if self._revision != self._configuration.revision:
            self._apply_declarations(self._configuration.declarations)
        view = self._views.get(group)
        if view is not None:
            return view
        rules = find_rules(self._configuration.declarations, group)
        if rules is None:
            return None
        view = self._views[group] = pools.PoolView(rules)
        for target in self._targets:
            view.update_membership(target)
        return view

    def decide(self, view: pools.PoolView, work: model.Work) -> model.Decision:
        """Returns the decision on where to send ``work`` now."""
        now = asyncio.get_running_loop().time()
        matches = _NO_MATCHES
        if work.blocks:
            matches = self.index.match(work.blocks, _MAX_MATCHES, self._rng)
        return view.decide(work, matches, now, self._rng)

    def record_sent(self, work: model.Work, target: table.Target) -> None:
        """Adds the prompt of ``work`` to the prefix index for ``target``."""
        if work.blocks and target.engine is not None:
            now = asyncio.get_running_loop().time()
            self.index.record_requested(work.blocks)
            self.index.record_sent(target.name, work.blocks, now)

    def handle_labels(self, target: table.Target) -> None:
        """Updates all views after a target was added or its labels changed."""
        for view in self._views.values():
            view.update_membership(target)
        self.changes += 1
        self._notify()

    def handle_change(self, target: table.Target) -> None:
        """Updates all views after a target's state or capacity changed."""
        for view in self._views.values():
            self.changes += view.update_target(target)
        self._notify()

    def handle_removal(self, target: table.Target) -> None:
        """Removes a target from all views and from the prefix index."""
        for view in self._views.values():
            view.remove_target(target)
        self.index.remove_engine(target.name)
        self.changes += 1
        self._notify()

    def _apply_declarations(self, declared: declarations.Declarations) -> None:
        """Drops the views whose rules have changed."""
        self._revision = self._configuration.revision
        self._views = {
            group: view
            for group, view in self._views.items()
            if find_rules(declared, group) == view.rules
        }
        self.changes += 1
        self._notify()

    def _notify(self) -> None:
        for listener in self._listeners:
            listener()
