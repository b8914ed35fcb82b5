"""Measurement of prefix-cache hits, in virtual time."""

import random

from waxwingport.measure import base
from waxwingport.measure import fixture
from waxwingport.measure import traffic
from waxwingport.measure import virtual
from waxwingport.routing import model
from waxwingport.routing import prefixes
from waxwingport.standins import engine
from waxwingport.standins import factory

__all__ = ['PrefixHits']

_ENGINES = 9
_ENGINE_SETTINGS = engine.StandInEngineSettings(
    capacity=8,
    token_time=0.004,
    prefill_time=0.003,
    cache_blocks=512,
    event_loss=0.001,
)
_REQUESTS_PER_SECOND = 180.0
"""About two thirds of the capacity of the engines."""
_PROMPT_FAMILIES = 80
"""Number of shared prompt prefixes, drawn by Zipf's law."""
_SHARED_BLOCKS = 24
_UNIQUE_BLOCKS = 4
_TIMEOUT_S = 20.0
_CLIENT_CLASSES = {
    'admission': traffic.AdmissionClient,
    'round robin': traffic.RoundRobinClient,
    'least loaded': traffic.LeastLoadedClient,
}


class PrefixHits(base.Measurement):
    """Share of prompt blocks found in an engine's cache."""

    name = 'prefix-hits'
    summary = (
        'prefix-cache hits against round robin and least loaded (virtual time)'
    )

    async def run(self, options: base.Options) -> base.Report:
        """Measures each client with the same prompts."""
        figures: list[base.Figure] = []
        for name, client_class in _CLIENT_CLASSES.items():
            figures += await virtual.run(_measure(name, client_class, options))
        return base.Report(self.name, options, tuple(figures))


async def _measure(
    name: str, client_class: type[traffic.Client], options: base.Options
) -> list[base.Figure]:
    target_factory = factory.StandInTargetFactory(lambda _: _ENGINE_SETTINGS)
    node_fixture = fixture.Fixture(
        factory.make_vms(_ENGINES), target_factory, options.seed
    )
    polling = node_fixture.start_polling()
    prompts = _PromptSource(options.seed)
    results = await traffic.generate_load(
        client_class(node_fixture),
        [(_REQUESTS_PER_SECOND, prompts.make)],
        options.seconds,
        random.Random(options.seed),
    )
    polling.cancel()
    engines = target_factory.engines.values()
    blocks_hit = sum(standin.cached_blocks_hit for standin in engines)
    blocks_seen = sum(standin.blocks_seen for standin in engines)
    return [
        base.Figure(
            f'{name}: blocks found in the cache',
            blocks_hit / blocks_seen,
            'share',
        ),
        base.Figure(f'{name}: time p50', results.compute_latency(0.5), 's'),
        base.Figure(f'{name}: time p99', results.compute_latency(0.99), 's'),
        base.Figure(
            f'{name}: answered in time',
            results.count_useful() / len(results.requests),
            'share',
        ),
    ]


class _PromptSource:
    """Makes requests whose prompts share the prefix of their family."""

    def __init__(self, seed: int) -> None:
        self._rng = random.Random(seed)
        self._weights = [1.0 / (rank + 1) for rank in range(_PROMPT_FAMILIES)]

    def make(self, number: int, now: float) -> tuple[model.Work, str]:
        (family,) = self._rng.choices(range(_PROMPT_FAMILIES), self._weights)
        prompt = _make_text(f'f{family}', _SHARED_BLOCKS)
        prompt += _make_text(f'r{number}', _UNIQUE_BLOCKS)
        work = traffic.make_work(
            f'r{number}',
            model.WorkClass.LIVE,
            f'caller-{number % 8}',
            now + _TIMEOUT_S,
            prefixes.hash_blocks(prompt),
        )
        return work, prompt


def _make_text(seed: str, blocks: int) -> str:
    size = blocks * prefixes.BLOCK_CHARACTERS
    unit = f'{seed} '
    return (unit * (size // len(unit) + 1))[:size]
