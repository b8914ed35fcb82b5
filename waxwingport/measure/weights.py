"""Measurement of the plans that load new weights onto engines."""

import random
import time

from waxwingport import ids
from waxwingport.measure import base
from waxwingport.weights import plan

__all__ = ['WeightPlan']

_ENGINE_COUNTS = (400, 1000, 3000, 10000)
_DATA_CENTRES = 25
_POOLS = 6
_LOADING_SHARE = 0.4
_ROUND_S = 0.25
_SWAP_TARGET_S = 32.0
_VERSION = ids.WeightVersion(2)


class WeightPlan(base.Measurement):
    """Time of one plan, and the rounds of loads that update all engines."""

    name = 'weight-plan'
    summary = 'plan time by engines; waves to 10,000 engines in 25 centres'

    async def run(self, options: base.Options) -> base.Report:
        """Measures plans of each size, then counts the rounds of an update."""
        rng = random.Random(options.seed)
        figures = [
            base.Figure(f'plan of {size} engines', _time_plan(size, rng), 'ms')
            for size in _ENGINE_COUNTS
        ]
        waves = _count_waves(_make_engines(_ENGINE_COUNTS[-1], rng))
        figures.append(base.Figure('waves', waves, ''))
        longest_load = _SWAP_TARGET_S / waves - 2 * _ROUND_S
        figures.append(
            base.Figure(
                f'longest load for {_SWAP_TARGET_S:g} s in all',
                longest_load,
                's',
            )
        )
        return base.Report(self.name, options, tuple(figures))


def _make_engines(size: int, rng: random.Random) -> list[plan.EngineView]:
    return [
        plan.EngineView(
            name=ids.TargetName(f'engine-{index}'),
            data_centre=ids.DataCentre(f'centre-{index % _DATA_CENTRES}'),
            pool=ids.PoolName(f'pool-{index % _POOLS}'),
            version=ids.WeightVersion(1),
            in_progress=rng.randrange(16),
        )
        for index in range(size)
    ]


def _make_desired_pools(loads_per_pool: int) -> list[plan.DesiredPool]:
    return [
        plan.DesiredPool(
            pool=ids.PoolName(f'pool-{index}'),
            version=_VERSION,
            reference='weights/2',
            loads_at_once=loads_per_pool,
            need=index / _POOLS,
        )
        for index in range(_POOLS)
    ]


def _time_plan(size: int, rng: random.Random) -> float:
    """Returns the milliseconds of processor time of one plan."""
    engines = _make_engines(size, rng)
    load_limit = int(size * _LOADING_SHARE)
    desired = _make_desired_pools(load_limit // _POOLS)
    start = time.process_time()
    plan.plan_loads(desired, engines, load_limit)
    return (time.process_time() - start) * 1000


def _count_waves(engines: list[plan.EngineView]) -> int:
    waves = 0
    load_limit = int(len(engines) * _LOADING_SHARE)
    desired = _make_desired_pools(load_limit // _POOLS)
    views = {view.name: view for view in engines}
    while any(view.version != _VERSION for view in views.values()):
        loads = plan.plan_loads(desired, list(views.values()), load_limit)
        for load in loads:
            old = views[load.engine]
            views[load.engine] = plan.EngineView(
                old.name, old.data_centre, old.pool, load.version
            )
        waves += 1
    return waves
