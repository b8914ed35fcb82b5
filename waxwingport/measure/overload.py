"""Measurements of useful throughput under overload, in virtual time."""

import asyncio
import functools

import msgspec

from waxwingport.measure import base
from waxwingport.measure import fixture
from waxwingport.measure import traffic
from waxwingport.measure import virtual
from waxwingport.peers import memory
from waxwingport.routing import model
from waxwingport.standins import engine
from waxwingport.standins import factory

__all__ = ['Overload', 'Scenario', 'estimate_capacity', 'measure']

_ENGINES = 3
_ENGINE_CAPACITY = 8
_MEAN_TOKENS = 24.0
_TOKEN_TIME_S = 0.01
_MIXED_LIVE_SHARE = 0.2
"""Share of live calls in the mixed load; the rest are rollouts."""
_NODES = 10
_LIVE_TIMEOUT_S = 2.5
_ROLLOUT_TIMEOUT_S = 15.0
_LOAD_FACTORS = (0.5, 1.0, 2.0, 4.0)
_LIVE = model.WorkClass.LIVE
_ROLLOUT = model.WorkClass.ROLLOUT


class Scenario(msgspec.Struct, frozen=True):
    """One offered load.

    ``live_share`` is the share of live calls, ``factor`` the offered load
    over the capacity of the engines, divided evenly among ``nodes``.
    """

    client: type[traffic.Client]
    live_share: float
    factor: float
    nodes: int

    @property
    def uses_admission(self) -> bool:
        """Whether requests pass through admission."""
        return self.client is traffic.AdmissionClient


class Overload(base.Measurement):
    """Answers within their timeouts, offered 0.5 to 4 times the capacity."""

    name = 'overload'
    summary = (
        'useful throughput and refusals at 0.5 to 4 times the capacity '
        '(virtual time)'
    )

    async def run(self, options: base.Options) -> base.Report:
        """Measures admission and the baseline at each load."""
        figures = await _compare(
            'mixed', _MIXED_LIVE_SHARE, _LOAD_FACTORS, options
        )
        extremes = (1.0, 4.0)
        figures += await _compare('live only', 1.0, extremes, options)
        figures += await _compare(
            f'mixed, {_NODES} nodes',
            _MIXED_LIVE_SHARE,
            extremes,
            options,
            _NODES,
        )
        return base.Report(self.name, options, tuple(figures))


async def _compare(
    load: str,
    live_share: float,
    factors: tuple[float, ...],
    options: base.Options,
    nodes: int = 1,
) -> list[base.Figure]:
    figures: list[base.Figure] = []
    useful: dict[float, float] = {}
    for factor in factors:
        for client_class in (
            traffic.AdmissionClient,
            traffic.RoundRobinClient,
        ):
            scenario = Scenario(client_class, live_share, factor, nodes)
            results = await virtual.run(measure(scenario, options))
            in_time = results.count_useful(until=options.seconds)
            rate = in_time / options.seconds
            if scenario.uses_admission:
                useful[factor] = rate
            name = 'admission' if scenario.uses_admission else 'baseline'
            label = f'{load}, {name} at {factor:g}x'
            figures += _describe(results, label, rate, scenario)
    figures.append(
        base.Figure(
            f'{load}: useful at 4x over that at capacity',
            useful[4.0] / useful[1.0],
            'share',
            0.9,
            base.Bound.AT_LEAST,
        )
    )
    return figures


def _describe(
    results: traffic.TrafficResults,
    label: str,
    rate: float,
    scenario: Scenario,
) -> list[base.Figure]:
    live = [
        request for request in results.select(_LIVE) if not request.refused
    ]
    if scenario.live_share < 1.0:
        # The live calls alone are below the capacity, so that a refusal of one
        # counts as a miss.
        live = results.select(_LIVE)
    in_time = results.count_useful(_LIVE) / max(1, len(live))
    refused = [request for request in results.requests if request.refused]
    waits = [request.ended - request.started for request in refused]
    target = 0.99 if scenario.uses_admission else None
    return [
        base.Figure(f'{label}: useful', rate, 'answers/s'),
        base.Figure(
            f'{label}: live calls answered in time',
            in_time,
            'share',
            target,
            base.Bound.AT_LEAST,
        ),
        base.Figure(
            f'{label}: refused', len(refused) / len(results.requests), 'share'
        ),
        base.Figure(
            f'{label}: neither answered nor refused',
            1.0
            - (results.count_useful() + len(refused))
            / max(1, len(results.requests)),
            'share',
        ),
        base.Figure(
            f'{label}: time to a refusal, mean',
            sum(waits) / max(1, len(waits)),
            's',
        ),
    ]


async def measure(
    scenario: Scenario, options: base.Options
) -> traffic.TrafficResults:
    """Sends the load of a scenario and returns how its requests ended."""
    target_factory = factory.StandInTargetFactory(
        lambda name: engine.StandInEngineSettings(
            capacity=_ENGINE_CAPACITY,
            token_time=_TOKEN_TIME_S,
            median_tokens=_MEAN_TOKENS,
            seed=options.seed,
        )
    )
    network = memory.MemoryNetwork()
    fixtures = [
        fixture.Fixture(
            factory.make_vms(_ENGINES),
            target_factory,
            options.seed + node_index,
        )
        for node_index in range(scenario.nodes)
    ]
    polling = [
        node_fixture.start_polling(network, node_index, scenario.nodes)
        for node_index, node_fixture in enumerate(fixtures)
    ]
    all_results = await asyncio.gather(
        *(
            _send_load(node_fixture, scenario, node_index, options.seconds)
            for node_index, node_fixture in enumerate(fixtures)
        )
    )
    for task in polling:
        task.cancel()
    return traffic.merge_results(all_results)


async def _send_load(
    node_fixture: fixture.Fixture,
    scenario: Scenario,
    node_index: int,
    seconds: float,
) -> traffic.TrafficResults:
    rate = scenario.factor * estimate_capacity() / scenario.nodes
    live_share = scenario.live_share
    sources = [(rate * live_share, functools.partial(_make_live, node_index))]
    if live_share < 1.0:
        make_rollout = functools.partial(_make_rollout, node_index)
        sources.append((rate * (1.0 - live_share), make_rollout))
    return await traffic.generate_load(
        scenario.client(node_fixture), sources, seconds, node_fixture.rng
    )


def estimate_capacity() -> float:
    """Returns the requests a second that all engines finish when full."""
    # The answer lengths are lognormal: with a spread of 0.6 their mean is
    # 1.2 times e^mu.
    request_time = 1.2 * _MEAN_TOKENS * _TOKEN_TIME_S * 2.0
    return _ENGINES * _ENGINE_CAPACITY / request_time


def _make_live(
    node_index: int, number: int, now: float
) -> tuple[model.Work, str]:
    name = f'live-{node_index}-{number}'
    work = traffic.make_work(
        name, _LIVE, f'caller-{number % 8}', now + _LIVE_TIMEOUT_S
    )
    return work, f'prompt of {name}'


def _make_rollout(
    node_index: int, number: int, now: float
) -> tuple[model.Work, str]:
    name = f'rollout-{node_index}-{number}'
    work = traffic.make_work(
        name, _ROLLOUT, f'trainer-{number % 2}', now + _ROLLOUT_TIMEOUT_S
    )
    return work, f'prompt of {name}'
