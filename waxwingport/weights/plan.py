"""Which engine loads which weights next, as a pure plan.

Loads go out in waves: no more at a time than the weight store bears, and so
that the declared share of each pool keeps serving.  Each data centre plans
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
    'EngineView',
    'Load',
    'DesiredPool',
    'compute_need',
    'count_loads_at_once',
    'is_outdated',
    'needs_load',
    'plan_loads',
    'share_rate',
    'summarise',
]

_ROUNDING = 1e-9


class DesiredPool(msgspec.Struct, frozen=True):
    """The version that the engines of a pool should run.

    ``loads_at_once`` bounds the loads in this data centre.  ``rollback`` lets
    engines go back to a lower version.  Pools with more ``need`` load first.
    """

    pool: ids.PoolName
    version: ids.WeightVersion
    reference: str
    loads_at_once: int
    need: float = 0.0
    rollback: bool = False


class EngineView(msgspec.Struct, frozen=True):
    """An engine as the planner sees it.

    ``blocked`` engines get no order now: unreachable, leaving, or waiting
    after a failed load.
    """

    name: ids.TargetName
    data_centre: ids.DataCentre
    pool: ids.PoolName
    version: ids.WeightVersion | None
    loading: ids.WeightVersion | None = None
    in_progress: int = 0
    blocked: bool = False


class DataCentreSummary(msgspec.Struct, frozen=True):
    """How many of a data centre's engines wait for weights or load them."""

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
    """Returns how much a trainer needs its engines swapped, 0 to 1.

    ``idle_share`` is the trainer's share of time spent waiting for samples,
    ``behind_share`` the share of its engines that are out of its staleness
    bound.
    """
    return idle_weight * idle_share + (1 - idle_weight) * behind_share


def share_rate(
    rate: int, centres: Iterable[DataCentreSummary], own: ids.DataCentre
) -> int:
    """Returns how many loads data centre ``own`` may have under way.

    Shares are in proportion to the engines that wait or load; the shares of
    all data centres add up to ``rate`` at most.  Equal remainders go to the
    data centre that has most engines left, then by name.
    """
    sizes: collections.Counter[ids.DataCentre] = collections.Counter()
    for row in centres:
        sizes[row.data_centre] += row.waiting + row.loading
    total = sizes.total()
    rate = min(rate, total)
    exact = {
        centre: rate * size / total for centre, size in sizes.items() if size
    }
    shares = {centre: int(value) for centre, value in exact.items()}
    ranked = sorted(
        exact, key=lambda centre: (shares[centre] - exact[centre], centre)
    )
    for centre in ranked[: rate - sum(shares.values())]:
        shares[centre] += 1
    return shares.get(own, 0)


def summarise(
    wish: DesiredPool, engines: Iterable[EngineView]
) -> list[DataCentreSummary]:
    """Returns the counts of a pool's engines by data centre."""
    waiting = collections.Counter(
        row.data_centre for row in engines if needs_load(wish, row)
    )
    loading = collections.Counter(
        row.data_centre for row in engines if row.loading is not None
    )
    return [
        DataCentreSummary(centre, waiting[centre], loading[centre])
        for centre in sorted({*waiting, *loading})
    ]


def count_loads_at_once(share: float, total: int, blocked: int) -> int:
    """Returns how many of a pool's engines may load at the same time.

    ``share`` of the ``total`` engines keep serving, and ``blocked`` ones do
    not serve.  It is 1 at least: weights that never arrive are worse than a
    short loss of capacity.
    """
    kept = math.ceil(share * total - _ROUNDING)
    return max(1, total - blocked - kept)


def plan_loads(
    wishes: Iterable[DesiredPool],
    engines: Sequence[EngineView],
    rate: int,
) -> list[Load]:
    """Returns the loads to start now in one data centre, most needed first.

    ``rate`` is how many loads this data centre may have under way, those that
    have started included.
    """
    members: dict[ids.PoolName, list[EngineView]] = collections.defaultdict(
        list
    )
    for engine in engines:
        members[engine.pool].append(engine)
    room = rate - _count_loading(engines)
    loads: list[Load] = []
    for wish in sorted(wishes, key=lambda wish: (-wish.need, wish.pool)):
        rows = members[wish.pool]
        budget = min(room, wish.loads_at_once - _count_loading(rows))
        waiting = [row for row in rows if needs_load(wish, row)]
        chosen = sorted(waiting, key=_rank)[: max(0, budget)]
        loads.extend(_make_load(wish, row, len(waiting)) for row in chosen)
        room -= len(chosen)
    return loads


def _count_loading(engines: Iterable[EngineView]) -> int:
    return sum(engine.loading is not None for engine in engines)


def needs_load(wish: DesiredPool, engine: EngineView) -> bool:
    """Returns whether an engine should get an order to load now."""
    if engine.blocked or engine.loading is not None:
        return False
    return is_outdated(wish, engine.version)


def is_outdated(wish: DesiredPool, version: ids.WeightVersion | None) -> bool:
    """Returns whether an engine at ``version`` should load the wish's."""
    if version is None or version < wish.version:
        return True
    return wish.rollback and version > wish.version


def _rank(engine: EngineView) -> tuple[int, int, str]:
    return engine.version or 0, engine.in_progress, engine.name


def _make_load(wish: DesiredPool, engine: EngineView, waiting: int) -> Load:
    reason = (
        f'at={engine.version} need={wish.need:.2f} waiting={waiting} '
        f'rollback={wish.rollback}'
    )
    return Load(
        engine.name,
        engine.data_centre,
        wish.pool,
        wish.version,
        wish.reference,
        reason,
    )
