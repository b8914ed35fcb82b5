"""Measurement of the index of idempotency keys."""

import asyncio
import random
import statistics
import time
import tracemalloc

from waxwingport import ids
from waxwingport.keys import fold
from waxwingport.keys import index
from waxwingport.measure import base
from waxwingport.membership import base as membership
from waxwingport.peers import memory
from waxwingport.standins import platform as standins

__all__ = ['KeyIndexCost']

_KEYS = 100_000
_CLUSTER_SIZES = (2, 8, 32)
_NODES_PER_DATA_CENTRE = 4
_CLAIMS_PER_SECOND = 200
_WINDOW_S = 3600.0
_APPENDS_TARGET = 300
_TIMEOUT_S = 5.0


class KeyIndexCost(base.Measurement):
    """Bytes a key, fold time, appends a second and time of a claim.

    The nodes run in one process on the in-memory transport and the stand-in
    log.  The total rate of claims is the same for every number of nodes.
    """

    name = 'key-index'
    summary = 'bytes a key, appends a second and claim time by nodes'

    async def run(self, options: base.Options) -> base.Report:
        """Measures the fold, then clusters of growing size."""
        figures = _measure_fold()
        seconds = options.seconds / len(_CLUSTER_SIZES)
        for size in _CLUSTER_SIZES:
            cluster = _Cluster(size, options.seed)
            figures += await cluster.measure(seconds)
        return base.Report(self.name, options, tuple(figures))


def _measure_fold() -> list[base.Figure]:
    batches = [
        fold.Batch(ids.Offset(0), (_make_intent(number),))
        for number in range(_KEYS)
    ]
    tracemalloc.start()
    key_fold = fold.KeyFold(ids.Offset(0))
    _fill(key_fold, batches)
    used = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    start = time.process_time()
    _fill(fold.KeyFold(ids.Offset(0)), batches)
    elapsed = time.process_time() - start
    return [
        base.Figure('index', used / _KEYS, 'bytes a key'),
        base.Figure('fold', 1e6 * elapsed / _KEYS, 'us an intent'),
    ]


def _fill(key_fold: fold.KeyFold, batches: list[fold.Batch]) -> None:
    for offset, batch in enumerate(batches):
        key_fold.apply(ids.Offset(offset), batch)


def _make_intent(number: int) -> fold.Intent:
    return fold.Intent(
        fold.hash_key(ids.CallerName('caller'), f'key-{number}'),
        fold.hash_fingerprint(f'text-{number}'),
        ids.NodeName(f'muenchen-{number % 12}'),
        ids.generate_incarnation(),
        ids.RequestId(f'k1.{number:032x}'),
        number,
    )


class _Cluster:
    """The key indexes of some nodes on one log."""

    def __init__(self, size: int, seed: int) -> None:
        self._rng = random.Random(seed)
        self._size = size
        self._log = standins.StandInLog()
        network = memory.MemoryNetwork()
        members = [_make_member(number) for number in range(size)]
        self._nodes = [
            index.LogKeyIndex(
                self._log,
                membership.StaticMembership(
                    member, [other for other in members if other is not member]
                ),
                network.join(
                    member.name, member.peer_address, member.incarnation
                ),
                lambda: _WINDOW_S,
            )
            for member in members
        ]

    async def measure(self, seconds: float) -> list[base.Figure]:
        running = [asyncio.ensure_future(node.run()) for node in self._nodes]
        await asyncio.sleep(1.0)
        appends, cpu = self._log.appends, time.process_time()
        times = await self._claim_for(seconds)
        cpu = time.process_time() - cpu
        rate = (self._log.appends - appends) / seconds
        for task in running:
            task.cancel()
        data_centres = -(-self._size // _NODES_PER_DATA_CENTRE)
        label = f'{self._size} nodes, {data_centres} data centres'
        cuts = statistics.quantiles(times, n=100)
        return [
            base.Figure(f'{label}: appends', rate, '1/s', _APPENDS_TARGET),
            base.Figure(f'{label}: claim, median', 1e3 * cuts[49], 'ms'),
            base.Figure(f'{label}: claim, p99', 1e3 * cuts[98], 'ms'),
            base.Figure(f'{label}: CPU', 1e6 * cpu / len(times), 'us a claim'),
        ]

    async def _claim_for(self, seconds: float) -> list[float]:
        claims = []
        for number in range(int(seconds * _CLAIMS_PER_SECOND)):
            claims.append(asyncio.ensure_future(self._claim(number)))
            await asyncio.sleep(1 / _CLAIMS_PER_SECOND)
        return await asyncio.gather(*claims)

    async def _claim(self, number: int) -> float:
        start = time.perf_counter()
        outcome = await self._rng.choice(self._nodes).claim(
            ids.CallerName('caller'),
            f'key-{number}',
            'text',
            ids.RequestId(f'request-{number}'),
            _TIMEOUT_S,
        )
        if outcome.is_error():
            raise RuntimeError(outcome.error.detail)
        return time.perf_counter() - start


def _make_member(number: int) -> membership.Member:
    return membership.Member(
        ids.NodeName(f'n{number:02}'),
        ids.DataCentre(f'dc-{number // _NODES_PER_DATA_CENTRE}'),
        f'n{number}:1',
        ids.generate_incarnation(),
    )
