"""Measurement with a slow and a silent engine, in virtual time."""

import random

from waxwingport.measure import base
from waxwingport.measure import fixture
from waxwingport.measure import traffic
from waxwingport.measure import virtual
from waxwingport.routing import candidates
from waxwingport.standins import engine
from waxwingport.standins import factory

__all__ = ['DegradedEngines']

_ENGINES = 9
_SETTINGS = engine.StandInEngineSettings(capacity=8, token_time=0.004)
_RATE = 110.0
"""Requests a second; about half of what seven engines can do."""
_SLOWDOWN = 10.0
_TIMEOUT = 10.0
_CLIENTS = {
    'admission': traffic.GatedClient,
    'round robin': traffic.StraightClient,
    'least loaded': traffic.LeastLoadedClient,
}


class DegradedEngines(base.Measurement):
    """Answers with one engine ten times slower and one silent, of nine."""

    name = 'degraded-engines'
    summary = 'a slow and a silent engine among nine (virtual time)'

    async def run(self, options: base.Options) -> base.Report:
        """Measures each way of choosing under the same load."""
        figures: list[base.Figure] = []
        for name, client in _CLIENTS.items():
            healthy = await virtual.run(_measure(client, options, False))
            broken = await virtual.run(_measure(client, options, True))
            figures += [
                base.Figure(
                    f'{name}: p99, all well', healthy.read_latency(0.99), 's'
                ),
                base.Figure(f'{name}: p50', broken.read_latency(0.5), 's'),
                base.Figure(f'{name}: p99', broken.read_latency(0.99), 's'),
                base.Figure(
                    f'{name}: answered in time',
                    broken.count_useful() / len(broken.rows),
                    'share',
                ),
            ]
        return base.Report(self.name, options, tuple(figures))


async def _measure(
    kind: type[traffic.Client], options: base.Options, broken: bool
) -> traffic.Tally:
    made = factory.StandInTargetFactory(lambda _: _SETTINGS)
    found = fixture.Fixture(factory.make_vms(_ENGINES), made, options.seed)
    if broken:
        made.engines['engine-0'].slowdown = _SLOWDOWN
        made.engines['engine-1'].silent = True
    polling = found.start_polling()
    tally = await traffic.drive(
        kind(found),
        [(_RATE, _make)],
        options.seconds,
        random.Random(options.seed),
    )
    polling.cancel()
    return tally


def _make(number: int, now: float) -> tuple[candidates.Work, str]:
    name = f'r{number}'
    work = traffic.make_work(
        name,
        candidates.WorkClass.LIVE,
        f'caller-{number % 8}',
        now + _TIMEOUT,
    )
    return work, f'prompt of {name}'
