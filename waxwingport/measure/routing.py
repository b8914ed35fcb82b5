"""Measurement of routing decisions."""

import asyncio
from collections.abc import Callable
import random
import time

from waxwingport import ids
from waxwingport.measure import base
from waxwingport.measure import fixture
from waxwingport.routing import choice
from waxwingport.routing import model
from waxwingport.standins import factory
from waxwingport.targets import base as targets

__all__ = ['RoutingRate']

_TARGET_COUNTS = (400, 10_000)
_BATCH_REQUESTS = 20
_PROMPT_BLOCKS = 32
_PROMPTS = 64


class RoutingRate(base.Measurement):
    """Grants a second on one core, compared with a naive choice.

    A grant covers the whole path: pool views, prefix match, choice, counts
    and release.  The naive choice describes every target for each request.
    """

    name = 'routing-rate'
    summary = 'routing decisions a second at 400 and 10,000 targets'

    async def run(self, options: base.Options) -> base.Report:
        """Measures both rates for each number of targets."""
        figures: list[base.Figure] = []
        seconds = options.seconds / (2 * len(_TARGET_COUNTS))
        for size in _TARGET_COUNTS:
            node_fixture = _make_fixture(size, options.seed)
            works = _make_works(options.seed)
            figures += [
                await _measure_grants(node_fixture, works, size, seconds),
                await _measure_naive_choices(
                    node_fixture, works, size, seconds
                ),
            ]
        return base.Report(self.name, options, tuple(figures))


def _make_fixture(size: int, seed: int) -> fixture.Fixture:
    node_fixture = fixture.Fixture(
        factory.make_vms(size), factory.StandInTargetFactory(), seed
    )
    for target in node_fixture.targets:
        load = node_fixture.rng.randrange(12)
        target.record_load(targets.LoadReport(load, 0, 16))
        target.engine_state = targets.EngineState(ids.WeightVersion(1))
    return node_fixture


def _make_works(seed: int) -> list[model.Work]:
    rng = random.Random(seed)
    deadline = asyncio.get_running_loop().time() + 3600.0
    return [
        model.Work(
            request_id=ids.RequestId(f'r{index}'),
            group='pool',
            owner=f'caller-{index % 16}',
            work_class=model.WorkClass.LIVE,
            deadline=deadline,
            blocks=tuple(rng.getrandbits(64) for _ in range(_PROMPT_BLOCKS)),
        )
        for index in range(_PROMPTS)
    ]


async def _measure_grants(
    node_fixture: fixture.Fixture,
    works: list[model.Work],
    size: int,
    seconds: float,
) -> base.Figure:
    async def run() -> None:
        for work in works[:_BATCH_REQUESTS]:
            (await node_fixture.gate.acquire(work)).ok.finish()

    rate = await _measure_rate(run, seconds)
    return base.Figure(f'grants at {size} targets', rate, '1/s of a core')


async def _measure_naive_choices(
    node_fixture: fixture.Fixture,
    works: list[model.Work],
    size: int,
    seconds: float,
) -> base.Figure:
    rules = node_fixture.gate.router.find_view('pool').rules

    async def run() -> None:
        for work in works[: 1 + 400 * _BATCH_REQUESTS // (10 * size)]:
            described = [
                target.describe() for target in node_fixture.targets.select('')
            ]
            choice.choose(rules, work, described, node_fixture.rng)

    count = len(works[: 1 + 400 * _BATCH_REQUESTS // (10 * size)])
    rate = await _measure_rate(run, seconds, count)
    name = f'naive choices at {size} targets'
    return base.Figure(name, rate, '1/s of a core')


async def _measure_rate(
    run_batch: Callable, seconds: float, count: int = _BATCH_REQUESTS
) -> float:
    done = 0
    start = time.process_time()
    while time.process_time() - start < seconds:
        await run_batch()
        done += count
        await asyncio.sleep(0)
    return done / (time.process_time() - start)
