"""Measurement of prefix-cache hits, in virtual time."""

import random

from waxwingport.measure import base
from waxwingport.measure import fixture
from waxwingport.measure import traffic
from waxwingport.measure import virtual
from waxwingport.routing import candidates
from waxwingport.routing import prefixes
from waxwingport.standins import engine
from waxwingport.standins import factory

__all__ = ['PrefixHits']

_ENGINES = 9
_SETTINGS = engine.StandInEngineSettings(
    capacity=8,
    token_time=0.004,
    prefill_time=0.003,
    cache_blocks=512,
    event_loss=0.001,
)
_RATE = 180.0
"""Requests a second; about two thirds of what the engines can do."""
_FAMILIES = 80
"""Shared beginnings of prompts, asked for by Zipf's law."""
_SHARED_BLOCKS = 24
_OWN_BLOCKS = 4
_TIMEOUT = 20.0
_CLIENTS = {
    'admission': traffic.GatedClient,
    'round robin': traffic.StraightClient,
    'least loaded': traffic.LeastLoadedClient,
}


class PrefixHits(base.Measurement):
    """Share of prompt blocks found in an engine's cache."""

    name = 'prefix-hits'
    summary = (
        'prefix-cache hits against round robin and least loaded (virtual time)'
    )

    async def run(self, options: base.Options) -> base.Report:
        """Measures each way of choosing on the same prompts."""
        figures: list[base.Figure] = []
        for name, client in _CLIENTS.items():
            figures += await virtual.run(_measure(name, client, options))
        return base.Report(self.name, options, tuple(figures))


async def _measure(
    name: str, kind: type[traffic.Client], options: base.Options
) -> list[base.Figure]:
    made = factory.StandInTargetFactory(lambda _: _SETTINGS)
    found = fixture.Fixture(factory.make_vms(_ENGINES), made, options.seed)
    polling = found.start_polling()
    prompts = _Prompts(options.seed)
    tally = await traffic.drive(
        kind(found),
        [(_RATE, prompts.make)],
        options.seconds,
        random.Random(options.seed),
    )
    polling.cancel()
    engines = made.engines.values()
    hit = sum(row.cached_blocks_hit for row in engines)
    seen = sum(row.blocks_seen for row in engines)
    return [
        base.Figure(f'{name}: blocks found in the cache', hit / seen, 'share'),
        base.Figure(f'{name}: time p50', tally.read_latency(0.5), 's'),
        base.Figure(f'{name}: time p99', tally.read_latency(0.99), 's'),
        base.Figure(
            f'{name}: answered in time',
            tally.count_useful() / len(tally.rows),
            'share',
        ),
    ]


class _Prompts:
    """Prompts of one family share their beginning."""

    def __init__(self, seed: int) -> None:
        self._rng = random.Random(seed)
        self._weights = [1.0 / (rank + 1) for rank in range(_FAMILIES)]

    def make(self, number: int, now: float) -> tuple[candidates.Work, str]:
        (family,) = self._rng.choices(range(_FAMILIES), self._weights)
        prompt = _write(f'f{family}', _SHARED_BLOCKS)
        prompt += _write(f'r{number}', _OWN_BLOCKS)
        work = traffic.make_work(
            f'r{number}',
            candidates.WorkClass.LIVE,
            f'caller-{number % 8}',
            now + _TIMEOUT,
            prefixes.hash_blocks(prompt),
        )
        return work, prompt


def _write(seed: str, blocks: int) -> str:
    size = blocks * prefixes.BLOCK_CHARACTERS
    unit = f'{seed} '
    return (unit * (size // len(unit) + 1))[:size]
