"""Measurements of weight placement."""

import random
import time

from waxwingport import ids
from waxwingport.measure import base
from waxwingport.weights import plan

__all__ = ['WeightPlan']

_SIZES = (400, 1000, 3000, 10000)
_CENTRES = 25
_POOLS = 6
_LOADS_AT_ONCE = 0.4
_ROUND_SECONDS = 0.25
_SWAP_TARGET = 32.0
_VERSION = ids.WeightVersion(2)


class WeightPlan(base.Measurement):
    """Time of one placement plan, and the waves that reach all engines."""

    name = 'weight-plan'
    summary = 'plan time by engines; waves to 10,000 engines in 25 centres'

    async def run(self, options: base.Options) -> base.Report:
        """Measures and returns plan times and the length of a rollout."""
        rng = random.Random(options.seed)
        figures = [
            base.Figure(f'plan of {size} engines', _time(size, rng), 'ms')
            for size in _SIZES
        ]
        waves = _count_waves(_make_engines(_SIZES[-1], rng))
        figures.append(base.Figure('waves', waves, ''))
        longest = _SWAP_TARGET / waves - 2 * _ROUND_SECONDS
        figures.append(
            base.Figure(
                f'longest load for {_SWAP_TARGET:g} s in all', longest, 's'
            )
        )
        return base.Report(self.name, options, tuple(figures))


def _make_engines(size: int, rng: random.Random) -> list[plan.EngineView]:
    return [
        plan.EngineView(
            name=ids.TargetName(f'engine-{index}'),
            data_centre=ids.DataCentre(f'centre-{index % _CENTRES}'),
            pool=ids.PoolName(f'pool-{index % _POOLS}'),
            version=ids.WeightVersion(1),
            in_progress=rng.randrange(16),
        )
        for index in range(size)
    ]


def _make_wishes(bound: int) -> list[plan.DesiredPool]:
    return [
        plan.DesiredPool(
            pool=ids.PoolName(f'pool-{index}'),
            version=_VERSION,
            reference='weights/2',
            loads_at_once=bound,
            need=index / _POOLS,
        )
        for index in range(_POOLS)
    ]


def _time(size: int, rng: random.Random) -> float:
    """Returns the milliseconds of processor time of one plan."""
    engines = _make_engines(size, rng)
    rate = int(size * _LOADS_AT_ONCE)
    wishes = _make_wishes(rate // _POOLS)
    start = time.process_time()
    plan.plan_loads(wishes, engines, rate)
    return (time.process_time() - start) * 1000


def _count_waves(engines: list[plan.EngineView]) -> int:
    waves = 0
    rate = int(len(engines) * _LOADS_AT_ONCE)
    wishes = _make_wishes(rate // _POOLS)
    views = {row.name: row for row in engines}
    while any(row.version != _VERSION for row in views.values()):
        loads = plan.plan_loads(wishes, list(views.values()), rate)
        for load in loads:
            old = views[load.engine]
            views[load.engine] = plan.EngineView(
                old.name, old.data_centre, old.pool, load.version
            )
        waves += 1
    return waves
