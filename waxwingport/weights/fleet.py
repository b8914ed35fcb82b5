"""Indexes engines by pool, following the table of targets."""

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
    """Engines by pool, of one data centre and of the others.

    Local means in ``data_centre``, which need not be the node's own.
    An engine that several pools select belongs to the one of the highest
    priority, and among equals to the first by name.
    """

    def __init__(
        self, targets: table.TargetTable, data_centre: ids.DataCentre
    ) -> None:
        self._targets = targets
        self._data_centre = data_centre
        self._pools: list[tuple[ids.PoolName, selectors.Selector]] = []
        self._pool_of: dict[ids.TargetName, ids.PoolName] = {}
        self._local: dict[ids.PoolName, dict[ids.TargetName, table.Target]] = (
            collections.defaultdict(dict)
        )
        self._remote: dict[
            ids.PoolName, dict[ids.TargetName, table.Target]
        ] = collections.defaultdict(dict)
        targets.listen(self)

    def set_pools(self, pools: Iterable[declarations.Pool]) -> None:
        """Sets the declared pools and assigns every engine again."""
        ordered = sorted(pools, key=lambda pool: (-pool.priority, pool.name))
        self._pools = [
            (pool.name, parsed)
            for pool in ordered
            if (parsed := selectors.parse(pool.selector).default_value(None))
        ]
        for target in self._targets:
            self.handle_labels(target)

    def list_local(self, pool: ids.PoolName) -> Sequence[table.Target]:
        """Returns the pool's engines in the local data centre."""
        return list(self._local[pool].values())

    def count(self, pool: ids.PoolName) -> int:
        """Returns the number of the pool's engines in all data centres."""
        return len(self._local[pool]) + len(self._remote[pool])

    def summarise_remote(
        self, desired: plan.DesiredPool
    ) -> list[plan.DataCentreSummary]:
        """Returns counts of the pool's engines for each other data centre."""
        waiting: collections.Counter[ids.DataCentre] = collections.Counter()
        loading: collections.Counter[ids.DataCentre] = collections.Counter()
        for target in self._remote[desired.pool].values():
            state = target.engine_state
            if state is None:
                continue
            if state.loading is not None:
                loading[target.data_centre] += 1
            elif plan.is_outdated(desired, state.weight_version):
                waiting[target.data_centre] += 1
        return [
            plan.DataCentreSummary(
                data_centre, waiting[data_centre], loading[data_centre]
            )
            for data_centre in sorted({*waiting, *loading})
        ]

    def handle_labels(self, target: table.Target) -> None:
        """Assigns a new engine, or one whose labels changed, to its pool."""
        self.handle_removal(target)
        pool = self._find_pool(target)
        if pool is None:
            return
        is_local = target.data_centre == self._data_centre
        engines = self._local if is_local else self._remote
        engines[pool][target.name] = target
        self._pool_of[target.name] = pool

    def handle_change(self, target: table.Target) -> None:
        """Does nothing: states are read when they are needed."""

    def handle_removal(self, target: table.Target) -> None:
        """Removes an engine from its pool."""
        pool = self._pool_of.pop(target.name, None)
        if pool is not None:
            self._local[pool].pop(target.name, None)
            self._remote[pool].pop(target.name, None)

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
