"""The engines of each pool, kept up to date with the table of targets."""

import collections
from collections.abc import Iterable
from collections.abc import Sequence

from waxwingport.configuration import declarations
from waxwingport.configuration import selectors
from waxwingport import ids
from waxwingport.targets import listeners
from waxwingport.targets import table
from waxwingport.weights import plan

__all__ = ['Fleet']


class Fleet(listeners.TableListener):
    """Engines by pool, those of this data centre apart from the others.

    An engine that several pools select counts under the one of the highest
    priority, then of the first name.
    """

    def __init__(
        self, targets: table.TargetTable, own: ids.DataCentre
    ) -> None:
        self._targets = targets
        self._own = own
        self._pools: list[tuple[ids.PoolName, selectors.Selector]] = []
        self._pool_of: dict[ids.TargetName, ids.PoolName] = {}
        self._here: dict[ids.PoolName, dict[ids.TargetName, table.Target]] = (
            collections.defaultdict(dict)
        )
        self._away: dict[ids.PoolName, dict[ids.TargetName, table.Target]] = (
            collections.defaultdict(dict)
        )
        targets.listen(self)

    def set_pools(self, pools: Iterable[declarations.Pool]) -> None:
        """Takes the declared pools and assigns every engine anew."""
        ordered = sorted(pools, key=lambda pool: (-pool.priority, pool.name))
        self._pools = [
            (pool.name, parsed)
            for pool in ordered
            if (parsed := selectors.parse(pool.selector).default_value(None))
        ]
        for target in self._targets:
            self.handle_labels(target)

    def list_local(self, pool: ids.PoolName) -> Sequence[table.Target]:
        """Returns the pool's engines in this data centre."""
        return list(self._here[pool].values())

    def count(self, pool: ids.PoolName) -> int:
        """Returns the number of the pool's engines in all data centres."""
        return len(self._here[pool]) + len(self._away[pool])

    def summarise_remote(
        self, wish: plan.DesiredPool
    ) -> list[plan.DataCentreSummary]:
        """Returns the counts of the pool's engines in other data centres."""
        waiting: collections.Counter[ids.DataCentre] = collections.Counter()
        loading: collections.Counter[ids.DataCentre] = collections.Counter()
        for target in self._away[wish.pool].values():
            found = target.engine_state
            if found is None:
                continue
            if found.loading is not None:
                loading[target.data_centre] += 1
            elif plan.is_outdated(wish, found.weight_version):
                waiting[target.data_centre] += 1
        return [
            plan.DataCentreSummary(centre, waiting[centre], loading[centre])
            for centre in sorted({*waiting, *loading})
        ]

    def handle_labels(self, target: table.Target) -> None:
        """Assigns an engine that is new or has other labels."""
        self.handle_removal(target)
        pool = self._find_pool(target)
        if pool is None:
            return
        here = target.data_centre == self._own
        rows = self._here if here else self._away
        rows[pool][target.name] = target
        self._pool_of[target.name] = pool

    def handle_change(self, target: table.Target) -> None:
        """Does nothing: states are read when they are needed."""

    def handle_removal(self, target: table.Target) -> None:
        """Forgets an engine."""
        pool = self._pool_of.pop(target.name, None)
        if pool is not None:
            self._here[pool].pop(target.name, None)
            self._away[pool].pop(target.name, None)

    def _find_pool(self, target: table.Target) -> ids.PoolName | None:
        if target.engine is None:
            return None
        return next(
            (
                name
                for name, selector in self._pools
                if selector.matches(target.labels)
            ),
            None,
        )
