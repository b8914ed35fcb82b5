"""Measurements of the path of a request through one node."""

import asyncio
import json
import random
import time

from hdrh import histogram

from waxwingport.http import client
from waxwingport.measure import base
from waxwingport.measure import loopback

__all__ = ['AddedTime', 'RequestCost', 'TokenRate']

_ADDED_TARGET = 5.0
"""Milliseconds at the 99th percentile."""
_RATE_TARGET = 24_600.0
"""Tokens a second on one core."""
_PROBE_RATE = 2_500.0
"""Tokens a second, well below half load."""
_STREAM_TOKENS = 368
"""As the size to design for has it: 17 million tokens, 46,000 requests."""
_CHUNK_TOKENS = 4
_TOKENS_PER_STREAM = 96.0
"""Tokens a second of one stream."""
_STREAMS_PER_TARGET = 8
_BATCH = 16
"""Callers that start together."""
_RAMP = 0.02
"""Seconds between two batches."""
_WARM_UP = 1.0
"""Seconds."""
_MICROSECONDS = 1_000_000
_LONGEST_DELAY = 60 * _MICROSECONDS
_DIGITS = 3
_PROMPT = 'Entwurf fuer den Kurs am Samstag. ' * 6


class _Load:
    """What one run over loopback saw."""

    def __init__(self, tokens: float, cpu: float, wall: float) -> None:
        self.rate = tokens / wall
        self.cpu = cpu / wall
        self.chunks = tokens / _CHUNK_TOKENS
        self.cpu_seconds = cpu
        self.delays: list[float] = []
        self.first: list[float] = []

    def find(self, kind: str, percentile: float) -> float:
        """Returns a percentile of ``delays`` or ``first``, milliseconds."""
        rows = getattr(self, kind)
        if not rows:
            raise AssertionError(f'no sample of {kind!r} was seen')
        found = histogram.HdrHistogram(1, _LONGEST_DELAY, _DIGITS)
        for row in rows:
            found.record_value(max(1, round(row * _MICROSECONDS)))
        return found.get_value_at_percentile(percentile) / 1000


async def _run_load(
    rate: float, seconds: float, through: bool, seed: int
) -> _Load:
    """Streams ``rate`` tokens a second, through a node or straight."""
    streams = max(1, round(rate / _TOKENS_PER_STREAM))
    interval = _CHUNK_TOKENS / _TOKENS_PER_STREAM
    engine = loopback.PacedEngine(
        interval, _CHUNK_TOKENS, _STREAM_TOKENS, random.Random(seed)
    )
    await engine.start()
    targets = (engine.address,) * (1 + streams // _STREAMS_PER_TARGET)
    served = loopback.LoopbackNode(targets) if through else None
    address = served.address if served else engine.address
    delays: list[float] = []
    first: list[float] = []
    callers = await _start_callers(address, streams, delays, first)
    await asyncio.sleep(_WARM_UP)
    delays.clear()
    first.clear()
    wall, cpu = time.perf_counter(), time.process_time()
    await asyncio.sleep(seconds)
    wall, cpu = time.perf_counter() - wall, time.process_time() - cpu
    found = _Load(len(delays) * _CHUNK_TOKENS, cpu, wall)
    found.delays, found.first = list(delays), list(first)
    for caller in callers:
        caller.stopped = True
        caller.transport.abort()
    if served is not None:
        await served.stop()
    engine.stop()
    return found


async def _start_callers(
    address: str, count: int, delays: list[float], first: list[float]
) -> list[loopback.Caller]:
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
    for start in range(0, count, _BATCH):
        made = await asyncio.gather(
            *(
                loop.create_connection(
                    lambda: loopback.Caller(data, delays, first),
                    host,
                    int(port),
                )
                for _ in range(start, min(start + _BATCH, count))
            )
        )
        callers += [caller for _, caller in made]
        await asyncio.sleep(_RAMP)
    return callers


class AddedTime(base.Measurement):
    """Time that a node adds to the first token and to each chunk."""

    name = 'added-time'
    summary = 'time added at half load, against the engine straight'

    async def run(self, options: base.Options) -> base.Report:
        """Measures straight and through the node at the same pace."""
        half = await _find_half_load(options)
        seconds = options.seconds / 4
        straight = await _run_load(half, seconds, False, options.seed)
        through = await _run_load(half, seconds, True, options.seed)
        figures = [base.Figure('offered', half, 'tokens/s')]
        for kind, label in (('first', 'first token'), ('delays', 'chunk')):
            for percentile in (50.0, 99.0):
                figures += _compare(kind, label, percentile, straight, through)
        return base.Report(self.name, options, tuple(figures))


async def _find_half_load(options: base.Options) -> float:
    """Returns the tokens a second that take half of the core."""
    seconds = options.seconds / 4
    found = await _run_load(_PROBE_RATE, seconds, True, options.seed)
    return found.rate * 0.5 / found.cpu


def _compare(
    kind: str,
    label: str,
    percentile: float,
    straight: _Load,
    through: _Load,
) -> list[base.Figure]:
    plain = straight.find(kind, percentile)
    found = through.find(kind, percentile)
    name = f'{label} p{percentile:.0f}'
    target = _ADDED_TARGET if percentile > 50 else None
    return [
        base.Figure(f'{name} straight', plain, 'ms'),
        base.Figure(f'{name} through the node', found, 'ms'),
        base.Figure(f'{name} added', found - plain, 'ms', target),
    ]


class TokenRate(base.Measurement):
    """Tokens a second that one node passes on with one core."""

    name = 'token-rate'
    summary = 'tokens a second passed on through one core'

    async def run(self, options: base.Options) -> base.Report:
        """Offers the target's rate, straight and through the node."""
        seconds = options.seconds / 2
        seed = options.seed
        straight = await _run_load(_RATE_TARGET, seconds, False, seed)
        through = await _run_load(_RATE_TARGET, seconds, True, seed)
        harness = straight.cpu_seconds / straight.chunks
        own = through.cpu_seconds / through.chunks - harness
        rate = _CHUNK_TOKENS / max(own, 1e-9)
        figures = (
            base.Figure('offered', _RATE_TARGET, 'tokens/s'),
            base.Figure(
                'passed on, harness in the same loop',
                through.rate,
                'tokens/s',
            ),
            base.Figure('core used by node and harness', through.cpu, ''),
            base.Figure('harness alone', harness * 1e6, 'us/chunk'),
            base.Figure('node alone', own * 1e6, 'us/chunk'),
            base.Figure(
                'tokens through one core, harness taken off',
                rate,
                'tokens/s',
                _RATE_TARGET,
                base.Bound.AT_LEAST,
            ),
        )
        return base.Report(self.name, options, figures)


class RequestCost(base.Measurement):
    """Processor time of one completion and of one service call."""

    name = 'request-cost'
    summary = 'processor time of a completion and of a service call'

    async def run(self, options: base.Options) -> base.Report:
        """Measures each kind straight and through the node, one at a time."""
        seconds = options.seconds / 4
        service = loopback.PlainService()
        await service.start()
        served = loopback.LoopbackNode(services=(service.address,) * 4)
        path = f'/v1/services/{loopback.SERVICE}/x'
        calls = client.Request('POST', path, (), b'{"shares": 3}')
        straight = await _time_calls(service.address, calls, seconds)
        through = await _time_calls(served.address, calls, seconds)
        await served.stop()
        service.stop()
        figures = (
            base.Figure('service call, straight', straight, 'us'),
            base.Figure('service call, through the node', through, 'us'),
            base.Figure('service call, node alone', through - straight, 'us'),
            *await _measure_completions(seconds),
        )
        return base.Report(self.name, options, figures)


async def _time_calls(
    address: str, request: client.Request, seconds: float
) -> float:
    """Returns the processor time of one call in microseconds."""
    http = client.HttpClient()
    done = 0
    cpu, end = time.process_time(), time.perf_counter() + seconds
    while time.perf_counter() < end:
        answer = await http.fetch(address, request, 10.0)
        assert answer.is_ok() and answer.ok.status == 200
        done += 1
    http.close()
    return (time.process_time() - cpu) / done * 1e6


async def _measure_completions(seconds: float) -> list[base.Figure]:
    engine = loopback.PacedEngine(
        0.001, _CHUNK_TOKENS, _CHUNK_TOKENS, random.Random(0)
    )
    await engine.start()
    served = loopback.LoopbackNode((engine.address,) * 4)
    body = {'model': loopback.POOL, 'prompt': _PROMPT, 'stream': True}
    request = client.Request(
        'POST', '/v1/completions', (), json.dumps(body).encode()
    )
    straight = await _time_calls(engine.address, request, seconds)
    through = await _time_calls(served.address, request, seconds)
    await served.stop()
    engine.stop()
    return [
        base.Figure('completion of one chunk, straight', straight, 'us'),
        base.Figure(
            'completion of one chunk, through the node', through, 'us'
        ),
        base.Figure(
            'completion of one chunk, node alone', through - straight, 'us'
        ),
    ]
