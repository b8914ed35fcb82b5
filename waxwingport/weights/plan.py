"""Plans which engine loads which weights next, as pure functions.

Loads start in waves: no more at a time than the weight store can serve, and
so that the declared share of each pool keeps serving.  Each data centre plans
its own engines.  The store's rate is divided from counts that every node
sees, so that data centres share it without asking each other.
"""

import collections
from collections.abc import Iterable
from collections.abc import Sequence
import math

import msgspec

from waxwingport import ids

__all__ = [
    'DataCentreSummary',
    'DesiredPool',
    'EngineView',
    'Load',
    'compute_need',
    'count_loads_at_once',
    'is_outdated',
    'needs_load',
    'plan_loads',
    'share_rate',
    'summarise',
]

_ROUNDING = 1e-9
"""Subtracted before rounding up, lest float errors add an engine."""


class DesiredPool(msgspec.Struct, frozen=True):
    """The version that the engines of a pool should run.

    ``reference`` is where the weight store keeps the version.
    ``loads_at_once`` limits the loads in progress in this data centre.
    ``rollback`` lets engines go back to a lower version.  Pools with more
    ``need``, 0 to 1, load first.
    """

    pool: ids.PoolName
    version: ids.WeightVersion
    reference: str
    loads_at_once: int
    need: float = 0.0
    rollback: bool = False


class EngineView(msgspec.Struct, frozen=True):
    """State of an engine as an input of the plan.

    ``blocked`` engines get no order now: they are unreachable, leaving, or
    waiting after a failed load.
    """

    name: ids.TargetName
    data_centre: ids.DataCentre
    pool: ids.PoolName
    version: ids.WeightVersion | None
    loading: ids.WeightVersion | None = None
    in_progress: int = 0
    blocked: bool = False


class DataCentreSummary(msgspec.Struct, frozen=True):
    """How many engines of a data centre wait for weights or load them."""

    data_centre: ids.DataCentre
    waiting: int
    loading: int = 0


class Load(msgspec.Struct, frozen=True):
    """An engine that should start to load a version now."""

    engine: ids.TargetName
    data_centre: ids.DataCentre
    pool: ids.PoolName
    version: ids.WeightVersion
    reference: str
    reason: str


def compute_need(
    idle_share: float, behind_share: float, idle_weight: float
) -> float:
    """Returns how urgently a trainer's engines need new weights, 0 to 1.

    ``idle_share`` is the trainer's share of time spent waiting for samples,
    ``behind_share`` the share of its engines whose version is older than its
    staleness bound allows, and ``idle_weight`` the weight of the former.
    """
    return idle_weight * idle_share + (1 - idle_weight) * behind_share


def share_rate(
    rate: int, data_centres: Iterable[DataCentreSummary], own: ids.DataCentre
) -> int:
    """Returns how many loads data centre ``own`` may have in progress.

    ``rate`` is the number for all data centres.  Shares are in proportion to
    the engines that wait or load; the shares of all data centres add up to
    ``rate`` at most.  Loads left over by rounding go to the data centres with
    the largest fractions, then by name.
    """
    sizes: collections.Counter[ids.DataCentre] = collections.Counter()
    for summary in data_centres:
        sizes[summary.data_centre] += summary.waiting + summary.loading
    total = sizes.total()
    rate = min(rate, total)
    exact = {name: rate * size / total for name, size in sizes.items() if size}
    shares = {name: int(value) for name, value in exact.items()}
    ranked = sorted(exact, key=lambda name: (shares[name] - exact[name], name))
    for name in ranked[: rate - sum(shares.values())]:
        shares[name] += 1
    return shares.get(own, 0)


def summarise(
    desired: DesiredPool, engines: Iterable[EngineView]
) -> list[DataCentreSummary]:
    """Returns the counts of a pool's engines by data centre."""
    waiting = collections.Counter(
        engine.data_centre for engine in engines if needs_load(desired, engine)
    )
    loading = collections.Counter(
        engine.data_centre for engine in engines if engine.loading is not None
    )
    return [
        DataCentreSummary(
            data_centre, waiting[data_centre], loading[data_centre]
        )
        for data_centre in sorted({*waiting, *loading})
    ]


def count_loads_at_once(share: float, total: int, blocked: int) -> int:
    """Returns how many of a pool's engines may load at the same time.

    ``share`` of the ``total`` engines keep serving, and ``blocked`` ones do
    not serve.  Returns at least 1: engines that never get new weights are
    worse than a short loss of capacity.
    """
    serving = math.ceil(share * total - _ROUNDING)
    return max(1, total - blocked - serving)


def plan_loads(
    desired_pools: Iterable[DesiredPool],
    engines: Sequence[EngineView],
    rate: int,
) -> list[Load]:
    """Returns the loads to start now in one data centre, most needed first.

    ``rate`` is how many loads this data centre may have in progress, those
    already started included.
    """
    members: dict[ids.PoolName, list[EngineView]] = collections.defaultdict(
        list
    )
    for engine in engines:
        members[engine.pool].append(engine)
    remaining = rate - _count_loading(engines)
    loads: list[Load] = []
    for desired in sorted(
        desired_pools, key=lambda desired: (-desired.need, desired.pool)
    ):
        pool_engines = members[desired.pool]
        budget = min(
            remaining, desired.loads_at_once - _count_loading(pool_engines)
        )
        waiting = [
            candidate
            for candidate in pool_engines
            if needs_load(desired, candidate)
        ]
        chosen = sorted(waiting, key=_make_sort_key)[: max(0, budget)]
        loads.extend(
            _make_load(desired, candidate, len(waiting))
            for candidate in chosen
        )
        remaining -= len(chosen)
    return loads


def _count_loading(engines: Iterable[EngineView]) -> int:
    return sum(engine.loading is not None for engine in engines)


def needs_load(desired: DesiredPool, engine: EngineView) -> bool:
    """Returns whether an engine should get an order to load now."""
    if engine.blocked or engine.loading is not None:
        return False
    return is_outdated(desired, engine.version)


def is_outdated(
    desired: DesiredPool, version: ids.WeightVersion | None
) -> bool:
    """Returns whether an engine at ``version`` should load the desired one."""
    if version is None or version < desired.version:
        return True
    return desired.rollback and version > desired.version


def _make_sort_key(engine: EngineView) -> tuple[int, int, str]:
    """Sorts the lowest version first, then the engine with least work."""
    return engine.version or 0, engine.in_progress, engine.name


def _make_load(desired: DesiredPool, engine: EngineView, waiting: int) -> Load:
    reason = (
        f'at={engine.version} need={desired.need:.2f} waiting={waiting} '
        f'rollback={desired.rollback}'
    )
    return Load(
        engine.name,
        engine.data_centre,
        desired.pool,
        desired.version,
        desired.reference,
        reason,
    )
