"""Measurement with a slow and a silent engine, in virtual time."""

import random

from waxwingport.measure import base
from waxwingport.measure import fixture
from waxwingport.measure import traffic
from waxwingport.measure import virtual
from waxwingport.routing import model
from waxwingport.standins import engine
from waxwingport.standins import factory

__all__ = ['DegradedEngines']

_ENGINES = 9
_ENGINE_SETTINGS = engine.StandInEngineSettings(capacity=8, token_time=0.004)
_REQUESTS_PER_SECOND = 110.0
"""About half of the capacity of the seven healthy engines."""
_SLOWDOWN = 10.0
_TIMEOUT_S = 10.0
_CLIENT_CLASSES = {
    'admission': traffic.AdmissionClient,
    'round robin': traffic.RoundRobinClient,
    'least loaded': traffic.LeastLoadedClient,
}


class DegradedEngines(base.Measurement):
    """Latency with nine engines, one ten times slower and one silent."""

    name = 'degraded-engines'
    summary = 'a slow and a silent engine among nine (virtual time)'

    async def run(self, options: base.Options) -> base.Report:
        """Measures each client under the same load, healthy and degraded."""
        figures: list[base.Figure] = []
        for name, client_class in _CLIENT_CLASSES.items():
            healthy = await virtual.run(_measure(client_class, options, False))
            degraded = await virtual.run(_measure(client_class, options, True))
            figures += [
                base.Figure(
                    f'{name}: p99, all well',
                    healthy.compute_latency(0.99),
                    's',
                ),
                base.Figure(
                    f'{name}: p50', degraded.compute_latency(0.5), 's'
                ),
                base.Figure(
                    f'{name}: p99', degraded.compute_latency(0.99), 's'
                ),
                base.Figure(
                    f'{name}: answered in time',
                    degraded.count_useful() / len(degraded.requests),
                    'share',
                ),
            ]
        return base.Report(self.name, options, tuple(figures))


async def _measure(
    client_class: type[traffic.Client], options: base.Options, degraded: bool
) -> traffic.TrafficResults:
    target_factory = factory.StandInTargetFactory(lambda _: _ENGINE_SETTINGS)
    node_fixture = fixture.Fixture(
        factory.make_vms(_ENGINES), target_factory, options.seed
    )
    if degraded:
        target_factory.engines['engine-0'].slowdown = _SLOWDOWN
        target_factory.engines['engine-1'].silent = True
    polling = node_fixture.start_polling()
    results = await traffic.generate_load(
        client_class(node_fixture),
        [(_REQUESTS_PER_SECOND, _make_request)],
        options.seconds,
        random.Random(options.seed),
    )
    polling.cancel()
    return results


def _make_request(number: int, now: float) -> tuple[model.Work, str]:
    name = f'r{number}'
    work = traffic.make_work(
        name,
        model.WorkClass.LIVE,
        f'caller-{number % 8}',
        now + _TIMEOUT_S,
    )
    return work, f'prompt of {name}'
