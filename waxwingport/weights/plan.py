"""Which engine loads which weights next, as a pure plan.

Loads go out in waves: no more at a time than the weight store bears, and so
that the declared share of each pool keeps serving.  Every node computes the
same order from the same view, so that data centres share the store's rate
without asking each other.
"""

import collections
from collections.abc import Iterable
from collections.abc import Sequence
import heapq

import msgspec

from waxwingport import ids

__all__ = [
    'EngineView',
    'Load',
    'PoolWish',
    'compute_need',
    'plan_loads',
]


class PoolWish(msgspec.Struct, frozen=True):
    """The version that the engines of a pool should run.

    ``rollback`` lets engines go back to a lower version.  Pools with more
    ``need`` load first.
    """

    pool: ids.PoolName
    version: ids.WeightVersion
    reference: str
    serving_share: float
    need: float = 0.0
    rollback: bool = False


class EngineView(msgspec.Struct, frozen=True):
    """An engine as the planner sees it.

    ``blocked`` engines get no order now: unreachable, leaving, or waiting
    after a failed load.  They count as not serving.
    """

    name: ids.TargetName
    data_centre: ids.DataCentre
    pool: ids.PoolName
    version: ids.WeightVersion | None
    loading: ids.WeightVersion | None = None
    in_progress: int = 0
    blocked: bool = False


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


def plan_loads(
    wishes: Iterable[PoolWish],
    engines: Sequence[EngineView],
    rate: int,
) -> list[Load]:
    """Returns the loads to start now, the most needed first.

    ``rate`` is how many loads the weight store bears at a time, those under
    way included.
    """
    members: dict[ids.PoolName, list[EngineView]] = collections.defaultdict(
        list
    )
    for engine in engines:
        members[engine.pool].append(engine)
    room = rate - sum(engine.loading is not None for engine in engines)
    loads: list[Load] = []
    ordered = sorted(wishes, key=lambda wish: (-wish.need, wish.pool))
    for wish in ordered:
        if room <= 0:
            break
        chosen = _plan_pool(wish, members[wish.pool], room)
        loads.extend(chosen)
        room -= len(chosen)
    return loads


def _plan_pool(
    wish: PoolWish, engines: Sequence[EngineView], room: int
) -> list[Load]:
    serving = sum(
        not engine.blocked and engine.loading is None for engine in engines
    )
    kept = _count_kept(wish.serving_share, len(engines))
    budget = min(room, serving - kept)
    waiting = [engine for engine in engines if _needs_load(wish, engine)]
    return [
        _make_load(wish, engine, len(waiting))
        for engine in _order(waiting, engines, budget)
    ]


def _count_kept(share: float, total: int) -> int:
    """Returns how many engines keep serving; one at least may load."""
    kept = -int(-share * total // 1)
    return min(kept, total - 1)


def _needs_load(wish: PoolWish, engine: EngineView) -> bool:
    if engine.blocked or engine.loading is not None:
        return False
    if engine.version is None or engine.version < wish.version:
        return True
    return wish.rollback and engine.version > wish.version


def _order(
    waiting: Sequence[EngineView],
    engines: Sequence[EngineView],
    budget: int,
) -> list[EngineView]:
    """Returns up to ``budget`` engines, spread over the data centres."""
    if budget <= 0:
        return []
    totals = collections.Counter(row.data_centre for row in engines)
    busy = collections.Counter(
        row.data_centre for row in engines if row.loading is not None
    )
    queues: dict[ids.DataCentre, list[EngineView]] = collections.defaultdict(
        list
    )
    for engine in sorted(waiting, key=_rank, reverse=True):
        queues[engine.data_centre].append(engine)
    heap = [(busy[centre] / totals[centre], centre) for centre in queues]
    heapq.heapify(heap)
    chosen: list[EngineView] = []
    while heap and len(chosen) < budget:
        _, centre = heapq.heappop(heap)
        chosen.append(queues[centre].pop())
        busy[centre] += 1
        if queues[centre]:
            heapq.heappush(heap, (busy[centre] / totals[centre], centre))
    return chosen


def _rank(engine: EngineView) -> tuple[int, int, str]:
    return engine.version or 0, engine.in_progress, engine.name


def _make_load(wish: PoolWish, engine: EngineView, waiting: int) -> Load:
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
