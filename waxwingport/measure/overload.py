"""Measurements of useful throughput under overload, in virtual time."""

import asyncio
import functools

import msgspec

from waxwingport.measure import base
from waxwingport.measure import fixture
from waxwingport.measure import traffic
from waxwingport.measure import virtual
from waxwingport.peers import memory
from waxwingport.routing import candidates
from waxwingport.standins import engine
from waxwingport.standins import factory

__all__ = ['Overload', 'Scenario', 'estimate_capacity', 'measure']

_ENGINES = 3
_SLOTS = 8
_MEAN_TOKENS = 24.0
_TOKEN_TIME = 0.01
_MIXED = 0.2
"""Live calls in the offered load, where rollouts make up the rest."""
_NODES = 10
_LIVE_TIMEOUT = 2.5
_ROLLOUT_TIMEOUT = 15.0
_FACTORS = (0.5, 1.0, 2.0, 4.0)
_LIVE = candidates.WorkClass.LIVE
_ROLLOUT = candidates.WorkClass.ROLLOUT


class Scenario(msgspec.Struct, frozen=True):
    """Who sends, what share is live, how much load from how many nodes."""

    client: type[traffic.Client]
    live_share: float
    factor: float
    nodes: int

    @property
    def gated(self) -> bool:
        """Whether requests go by admission."""
        return self.client is traffic.GatedClient


class Overload(base.Measurement):
    """Answers within their timeouts, offered 0.5 to 4 times the capacity."""

    name = 'overload'
    summary = (
        'useful throughput and refusals at 0.5 to 4 times the capacity '
        '(virtual time)'
    )

    async def run(self, options: base.Options) -> base.Report:
        """Measures admission and the baseline at each load."""
        figures = await _compare('mixed', _MIXED, _FACTORS, options)
        extremes = (1.0, 4.0)
        figures += await _compare('live only', 1.0, extremes, options)
        figures += await _compare(
            f'mixed, {_NODES} nodes', _MIXED, extremes, options, _NODES
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
        for kind in (traffic.GatedClient, traffic.StraightClient):
            scenario = Scenario(kind, live_share, factor, nodes)
            tally = await virtual.run(measure(scenario, options))
            in_time = tally.count_useful(until=options.seconds)
            rate = in_time / options.seconds
            if scenario.gated:
                useful[factor] = rate
            name = 'admission' if scenario.gated else 'baseline'
            label = f'{load}, {name} at {factor:g}x'
            figures += _describe(tally, label, rate, scenario)
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
    tally: traffic.Tally, label: str, rate: float, scenario: Scenario
) -> list[base.Figure]:
    live = [row for row in tally.select(_LIVE) if not row.refused]
    if scenario.live_share < 1.0:
        # The live calls alone are below the capacity: none needs a refusal.
        live = tally.select(_LIVE)
    in_time = tally.count_useful(_LIVE) / max(1, len(live))
    refused = [row for row in tally.rows if row.refused]
    waits = [row.ended - row.started for row in refused]
    goal = 0.99 if scenario.gated else None
    return [
        base.Figure(f'{label}: useful', rate, 'answers/s'),
        base.Figure(
            f'{label}: live calls answered in time',
            in_time,
            'share',
            goal,
            base.Bound.AT_LEAST,
        ),
        base.Figure(
            f'{label}: refused', len(refused) / len(tally.rows), 'share'
        ),
        base.Figure(
            f'{label}: neither answered nor refused',
            1.0
            - (tally.count_useful() + len(refused)) / max(1, len(tally.rows)),
            'share',
        ),
        base.Figure(
            f'{label}: time to a refusal, mean',
            sum(waits) / max(1, len(waits)),
            's',
        ),
    ]


async def measure(scenario: Scenario, options: base.Options) -> traffic.Tally:
    """Returns how the requests of one scenario ended."""
    made = factory.StandInTargetFactory(
        lambda name: engine.StandInEngineSettings(
            capacity=_SLOTS,
            token_time=_TOKEN_TIME,
            median_tokens=_MEAN_TOKENS,
            seed=options.seed,
        )
    )
    network = memory.MemoryNetwork()
    found = [
        fixture.Fixture(
            factory.make_vms(_ENGINES), made, options.seed + number
        )
        for number in range(scenario.nodes)
    ]
    polling = [
        row.start_polling(network, number, scenario.nodes)
        for number, row in enumerate(found)
    ]
    tallies = await asyncio.gather(
        *(
            _drive(row, scenario, number, options.seconds)
            for number, row in enumerate(found)
        )
    )
    for task in polling:
        task.cancel()
    return traffic.merge(tallies)


async def _drive(
    found: fixture.Fixture, scenario: Scenario, number: int, seconds: float
) -> traffic.Tally:
    rate = scenario.factor * estimate_capacity() / scenario.nodes
    share = scenario.live_share
    makers = [(rate * share, functools.partial(_make_live, number))]
    if share < 1.0:
        make = functools.partial(_make_rollout, number)
        makers.append((rate * (1.0 - share), make))
    return await traffic.drive(
        scenario.client(found), makers, seconds, found.rng
    )


def estimate_capacity() -> float:
    """Returns the requests a second that all engines finish when full."""
    # The mean of the lognormal lengths with spread 0.6 is 1.2 times e^mu.
    hold = 1.2 * _MEAN_TOKENS * _TOKEN_TIME * 2.0
    return _ENGINES * _SLOTS / hold


def _make_live(
    node: int, number: int, now: float
) -> tuple[candidates.Work, str]:
    name = f'live-{node}-{number}'
    work = traffic.make_work(
        name, _LIVE, f'caller-{number % 8}', now + _LIVE_TIMEOUT
    )
    return work, f'prompt of {name}'


def _make_rollout(
    node: int, number: int, now: float
) -> tuple[candidates.Work, str]:
    name = f'rollout-{node}-{number}'
    work = traffic.make_work(
        name, _ROLLOUT, f'trainer-{number % 2}', now + _ROLLOUT_TIMEOUT
    )
    return work, f'prompt of {name}'
