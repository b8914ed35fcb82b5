"""Measurements of requests that pass through one node."""

import asyncio
import json
import random
import time

from hdrh import histogram

from waxwingport.http import client
from waxwingport.measure import base
from waxwingport.measure import loopback

__all__ = ['AddedTime', 'RequestCost', 'TokenRate']

_ADDED_TARGET_MS = 5.0
"""Longest added time at the 99th percentile."""
_TOKEN_RATE_TARGET = 24_600.0
"""Tokens a second on one core."""
_PROBE_TOKEN_RATE = 2_500.0
"""Tokens a second, well below half load."""
_STREAM_TOKENS = 368
"""Mean of the design load: 17 million tokens in 46,000 requests."""
_CHUNK_TOKENS = 4
_STREAM_TOKEN_RATE = 96.0
"""Tokens a second of one stream."""
_STREAMS_PER_TARGET = 8
_CALLER_BATCH = 16
"""Callers that connect at the same time."""
_BATCH_INTERVAL_S = 0.02
"""Time between two batches of callers."""
_WARM_UP_S = 1.0
_MICROSECONDS_PER_SECOND = 1_000_000
_MAX_DELAY_US = 60 * _MICROSECONDS_PER_SECOND
_SIGNIFICANT_DIGITS = 3
_PROMPT = 'Entwurf fuer den Kurs am Samstag. ' * 6


class _LoadResult:
    """Throughput, processor time and delays of one run.

    ``rate`` is in tokens a second, ``cpu_share`` in cores, the delays are in
    seconds.
    """

    def __init__(self, tokens: float, cpu: float, elapsed: float) -> None:
        self.rate = tokens / elapsed
        self.cpu_share = cpu / elapsed
        self.chunks = tokens / _CHUNK_TOKENS
        self.cpu_seconds = cpu
        self.delays: list[float] = []
        self.first_delays: list[float] = []

    def find_percentile(self, kind: str, percentile: float) -> float:
        """Returns a percentile of the list named ``kind``, in milliseconds.

        ``kind`` is ``'delays'`` or ``'first_delays'``.

        Raises:
            AssertionError: The list is empty.
        """
        delays = getattr(self, kind)
        if not delays:
            raise AssertionError(f'no sample of {kind!r} was seen')
        recorded = histogram.HdrHistogram(
            1, _MAX_DELAY_US, _SIGNIFICANT_DIGITS
        )
        for delay in delays:
            recorded.record_value(
                max(1, round(delay * _MICROSECONDS_PER_SECOND))
            )
        return recorded.get_value_at_percentile(percentile) / 1000


async def _run_load(
    rate: float, seconds: float, through_node: bool, seed: int
) -> _LoadResult:
    """Streams ``rate`` tokens a second through a node or directly."""
    streams = max(1, round(rate / _STREAM_TOKEN_RATE))
    interval = _CHUNK_TOKENS / _STREAM_TOKEN_RATE
    engine = loopback.PacedEngine(
        interval, _CHUNK_TOKENS, _STREAM_TOKENS, random.Random(seed)
    )
    await engine.start()
    targets = (engine.address,) * (1 + streams // _STREAMS_PER_TARGET)
    loopback_node = loopback.LoopbackNode(targets) if through_node else None
    address = loopback_node.address if loopback_node else engine.address
    delays: list[float] = []
    first_delays: list[float] = []
    callers = await _start_callers(address, streams, delays, first_delays)
    await asyncio.sleep(_WARM_UP_S)
    delays.clear()
    first_delays.clear()
    elapsed, cpu = time.perf_counter(), time.process_time()
    await asyncio.sleep(seconds)
    elapsed, cpu = time.perf_counter() - elapsed, time.process_time() - cpu
    result = _LoadResult(len(delays) * _CHUNK_TOKENS, cpu, elapsed)
    result.delays, result.first_delays = list(delays), list(first_delays)
    for caller in callers:
        caller.stopped = True
        caller.transport.abort()
    if loopback_node is not None:
        await loopback_node.stop()
    engine.stop()
    return result


async def _start_callers(
    address: str, count: int, delays: list[float], first_delays: list[float]
) -> list[loopback.StreamingCaller]:
    body = {
        'model': loopback.POOL,
        'prompt': _PROMPT,
        'max_tokens': _STREAM_TOKENS,
        'stream': True,
    }
    data = json.dumps(body).encode()
    host, _, port = address.rpartition(':')
    loop = asyncio.get_running_loop()
    callers = []
    for start in range(0, count, _CALLER_BATCH):
        connections = await asyncio.gather(
            *(
                loop.create_connection(
                    lambda: loopback.StreamingCaller(
                        data, delays, first_delays
                    ),
                    host,
                    int(port),
                )
                for _ in range(start, min(start + _CALLER_BATCH, count))
            )
        )
        callers += [caller for _, caller in connections]
        await asyncio.sleep(_BATCH_INTERVAL_S)
    return callers


class AddedTime(base.Measurement):
    """Time that a node adds to the first token and to each chunk."""

    name = 'added-time'
    summary = 'time added at half load, against the engine straight'

    async def run(self, options: base.Options) -> base.Report:
        """Measures directly and through the node at the same token rate."""
        half = await _find_half_load(options)
        seconds = options.seconds / 4
        direct = await _run_load(half, seconds, False, options.seed)
        through_node = await _run_load(half, seconds, True, options.seed)
        figures = [base.Figure('offered', half, 'tokens/s')]
        for kind, label in (
            ('first_delays', 'first token'),
            ('delays', 'chunk'),
        ):
            for percentile in (50.0, 99.0):
                figures += _compare(
                    kind, label, percentile, direct, through_node
                )
        return base.Report(self.name, options, tuple(figures))


async def _find_half_load(options: base.Options) -> float:
    """Returns the tokens a second that use half of a core."""
    seconds = options.seconds / 4
    result = await _run_load(_PROBE_TOKEN_RATE, seconds, True, options.seed)
    return result.rate * 0.5 / result.cpu_share


def _compare(
    kind: str,
    label: str,
    percentile: float,
    direct: _LoadResult,
    through_node: _LoadResult,
) -> list[base.Figure]:
    direct_ms = direct.find_percentile(kind, percentile)
    through_node_ms = through_node.find_percentile(kind, percentile)
    name = f'{label} p{percentile:.0f}'
    target = _ADDED_TARGET_MS if percentile > 50 else None
    return [
        base.Figure(f'{name} straight', direct_ms, 'ms'),
        base.Figure(f'{name} through the node', through_node_ms, 'ms'),
        base.Figure(
            f'{name} added', through_node_ms - direct_ms, 'ms', target
        ),
    ]


class TokenRate(base.Measurement):
    """Tokens a second that a node can forward on one core."""

    name = 'token-rate'
    summary = 'tokens a second passed on through one core'

    async def run(self, options: base.Options) -> base.Report:
        """Offers the target rate directly and through the node."""
        seconds = options.seconds / 2
        seed = options.seed
        direct = await _run_load(_TOKEN_RATE_TARGET, seconds, False, seed)
        through_node = await _run_load(_TOKEN_RATE_TARGET, seconds, True, seed)
        harness_cost = direct.cpu_seconds / direct.chunks
        node_cost = (
            through_node.cpu_seconds / through_node.chunks - harness_cost
        )
        rate = _CHUNK_TOKENS / max(node_cost, 1e-9)
        figures = (
            base.Figure('offered', _TOKEN_RATE_TARGET, 'tokens/s'),
            base.Figure(
                'passed on, harness in the same loop',
                through_node.rate,
                'tokens/s',
            ),
            base.Figure(
                'core used by node and harness', through_node.cpu_share, ''
            ),
            base.Figure('harness alone', harness_cost * 1e6, 'us/chunk'),
            base.Figure('node alone', node_cost * 1e6, 'us/chunk'),
            base.Figure(
                'tokens through one core, harness taken off',
                rate,
                'tokens/s',
                _TOKEN_RATE_TARGET,
                base.Bound.AT_LEAST,
            ),
        )
        return base.Report(self.name, options, figures)


class RequestCost(base.Measurement):
    """Processor time of one completion and of one service call."""

    name = 'request-cost'
    summary = 'processor time of a completion and of a service call'

    async def run(self, options: base.Options) -> base.Report:
        """Measures each kind directly and through the node, one at a time."""
        seconds = options.seconds / 4
        service = loopback.PlainService()
        await service.start()
        loopback_node = loopback.LoopbackNode(services=(service.address,) * 4)
        path = f'/v1/services/{loopback.SERVICE}/x'
        request = client.Request('POST', path, (), b'{"shares": 3}')
        direct = await _time_calls(service.address, request, seconds)
        through_node = await _time_calls(
            loopback_node.address, request, seconds
        )
        await loopback_node.stop()
        service.stop()
        figures = (
            base.Figure('service call, straight', direct, 'us'),
            base.Figure('service call, through the node', through_node, 'us'),
            base.Figure(
                'service call, node alone', through_node - direct, 'us'
            ),
            *await _measure_completions(seconds),
        )
        return base.Report(self.name, options, figures)


async def _time_calls(
    address: str, request: client.Request, seconds: float
) -> float:
    """Returns the processor time of one call in microseconds."""
    http = client.HttpClient()
    call_count = 0
    cpu, end = time.process_time(), time.perf_counter() + seconds
    while time.perf_counter() < end:
        response = await http.fetch(address, request, 10.0)
        assert response.is_ok() and response.ok.status == 200
        call_count += 1
    http.close()
    return (time.process_time() - cpu) / call_count * 1e6


async def _measure_completions(seconds: float) -> list[base.Figure]:
    engine = loopback.PacedEngine(
        0.001, _CHUNK_TOKENS, _CHUNK_TOKENS, random.Random(0)
    )
    await engine.start()
    loopback_node = loopback.LoopbackNode((engine.address,) * 4)
    body = {'model': loopback.POOL, 'prompt': _PROMPT, 'stream': True}
    request = client.Request(
        'POST', '/v1/completions', (), json.dumps(body).encode()
    )
    direct = await _time_calls(engine.address, request, seconds)
    through_node = await _time_calls(loopback_node.address, request, seconds)
    await loopback_node.stop()
    engine.stop()
    return [
        base.Figure('completion of one chunk, straight', direct, 'us'),
        base.Figure(
            'completion of one chunk, through the node', through_node, 'us'
        ),
        base.Figure(
            'completion of one chunk, node alone', through_node - direct, 'us'
        ),
    ]
