"""Cost, speed and mistakes of membership."""

import asyncio
import random
import statistics
import time

from waxwingport import ids
from waxwingport.measure import base
from waxwingport.membership import base as members
from waxwingport.membership import detector
from waxwingport.membership import live
from waxwingport.outside import base as platform
from waxwingport.peers import base as peers
from waxwingport.peers import transport

__all__ = ['Detection', 'MembershipCost', 'PeerRequests']

_SIZES = (4, 16, 28)
_CENTRES = 25
_NODES = 690
_WARM_UP = 4.0
_SECRET = 'measurement-secret'  # noqa: S105
_BUDGET_CPU = 4.8
_BUDGET_BYTES = 16_000
_FRAME_OVERHEAD = 66
"""Bytes of Ethernet, IP, TCP and library framing for a small message."""


class _Counted(transport.PynngTransport):
    """Counts what one node sends and receives."""

    def __init__(self, *args) -> None:
        self.messages = 0
        self.bytes = 0
        super().__init__(*args)

    def _seal(self, *args, **kwargs) -> bytes:
        return self._count(super()._seal(*args, **kwargs))

    def _read_message(self) -> bytes:
        return self._count(super()._read_message())

    def _count(self, message: bytes) -> bytes:
        self.messages += 1
        self.bytes += len(message) + _FRAME_OVERHEAD
        return message


class _Centre:
    """Nodes of one data centre and one node in each of some others."""

    def __init__(self, size: int, others: int, seed: int) -> None:
        self.nodes: list[live.LiveMembership] = []
        self.ends: list[_Counted] = []
        homes = ['dc-00'] * size
        homes += [f'dc-{n:02}' for n in range(1, others + 1)]
        for index, home in enumerate(homes):
            self._add(f'{home}-{index:02}', ids.DataCentre(home), seed + index)

    def _add(self, name: str, home: ids.DataCentre, seed: int) -> None:
        settings = peers.PeerSettings(secret=_SECRET)
        life = ids.generate_incarnation()
        node = ids.NodeName(name)
        end = _Counted(node, '127.0.0.1:0', life, settings)
        own = members.Member(node, home, end.address, life)
        self.ends.append(end)
        self.nodes.append(live.LiveMembership(own, end, random.Random(seed)))

    def list_vms(self) -> list[platform.Vm]:
        """Returns the platform's list of these nodes."""
        return [
            platform.Vm(
                row.local_member.name,
                platform.VmKind.NODE,
                row.local_member.data_centre,
                '127.0.0.1:1',
                peer_address=row.local_member.peer_address,
            )
            for row in self.nodes
        ]

    async def measure(self, seconds: float) -> tuple[float, float, float]:
        """Returns CPU share, bytes and messages a second of a home node."""
        vms = self.list_vms()
        for row in self.nodes:
            row.update(vms)
        running = [asyncio.ensure_future(row.run()) for row in self.nodes]
        await asyncio.sleep(_WARM_UP)
        home = [
            end
            for end, row in zip(self.ends, self.nodes, strict=True)
            if row.local_member.data_centre == 'dc-00'
        ]
        sent = sum(row.bytes for row in home)
        count = sum(row.messages for row in home)
        begin, cpu = time.perf_counter(), time.process_time()
        await asyncio.sleep(seconds)
        spent = time.perf_counter() - begin
        cpu = time.process_time() - cpu
        sent = sum(row.bytes for row in home) - sent
        count = sum(row.messages for row in home) - count
        for task in running:
            task.cancel()
        for end in self.ends:
            await end.close()
        share = cpu / spent / len(self.nodes)
        return share, sent / spent / len(home), count / spent / len(home)


class MembershipCost(base.Measurement):
    """Heartbeats and digests over real sockets in one process.

    CPU is that of the whole process, the library's threads included, over
    the number of nodes.  Bytes are counted both ways.
    """

    name = 'membership-cost'
    summary = 'CPU and bytes of heartbeats and digests by nodes'

    async def run(self, options: base.Options) -> base.Report:
        """Measures and returns the figures."""
        seconds = options.seconds / (len(_SIZES) + 1)
        figures = []
        for size in _SIZES:
            found = await _Centre(size, 0, options.seed).measure(seconds)
            figures += _make_cost(f'{size} nodes, 1 data centre', found)
        home = round(_NODES / _CENTRES)
        found = await _Centre(home, _CENTRES - 1, options.seed).measure(
            seconds
        )
        label = f'{home} nodes, {_CENTRES} data centres'
        figures += _make_cost(label, found, True)
        return base.Report(self.name, options, tuple(figures))


def _make_cost(
    label: str, found: tuple[float, float, float], targeted: bool = False
) -> list[base.Figure]:
    share, sent, messages = found
    cpu, size = (_BUDGET_CPU, _BUDGET_BYTES) if targeted else (None, None)
    return [
        base.Figure(f'{label}: CPU', 100 * share, '% of a core', cpu),
        base.Figure(f'{label}: both ways', sent, 'bytes/s', size),
        base.Figure(f'{label}: messages', messages, '1/s'),
    ]


_PAUSE_RATE = 1 / 60
_LONGEST_PAUSE = 4.0
_FIXED_TIMEOUT = 3.0
_INTERVAL = 1.0
_CRASHES = 200
_HOUR = 3600.0


class Detection(base.Measurement):
    """Suspicions under pauses, and time to suspect a crash.

    A node's heartbeats come at jittered intervals; it pauses once a minute,
    for an exponential time.  The baseline suspects after a fixed timeout.
    No real time passes.
    """

    name = 'failure-detection'
    summary = 'false suspicions and detection time against a fixed timeout'

    async def run(self, options: base.Options) -> base.Report:
        """Simulates and returns the figures."""
        figures = []
        for mean in (0.0, 0.5, 1.5):
            rng = random.Random(options.seed)
            beats = _make_beats(rng, mean, 50 * _HOUR)
            figures += _judge_beats(beats, mean)
        return base.Report(self.name, options, tuple(figures))


def _make_beats(
    rng: random.Random, mean_pause: float, seconds: float
) -> list[float]:
    beats = [0.0]
    while beats[-1] < seconds:
        gap = _INTERVAL * rng.uniform(0.9, 1.1)
        if mean_pause and rng.random() < _PAUSE_RATE:
            gap += min(rng.expovariate(1 / mean_pause), _LONGEST_PAUSE)
        beats.append(beats[-1] + gap)
    return beats


def _judge_beats(beats: list[float], mean: float) -> list[base.Figure]:
    watch = detector.Detector(detector.DetectorSettings(), _INTERVAL, 0.0)
    adaptive = fixed = 0
    bounds = []
    for before, beat in zip(beats, beats[1:], strict=False):
        bounds.append(watch.allowed_silence)
        adaptive += watch.is_late(beat)
        fixed += beat - before > _FIXED_TIMEOUT
        watch.record_arrival(beat)
    days = beats[-1] / (24 * _HOUR)
    label = f'pauses of {mean:g} s a minute'
    return [
        base.Figure(f'{label}: false suspicions', adaptive / days, '1/day'),
        base.Figure(
            f'{label}: with {_FIXED_TIMEOUT:g} s fixed', fixed / days, '1/day'
        ),
        base.Figure(
            f'{label}: time to suspect a crash', statistics.fmean(bounds), 's'
        ),
        base.Figure(f'{label}: at the longest', max(bounds), 's'),
    ]


_BODY = b'x' * 300
_AT_ONCE = 32


class PeerRequests(base.Measurement):
    """Requests between two nodes over real sockets in one process."""

    name = 'peer-requests'
    summary = 'time and rate of requests between two nodes'

    async def run(self, options: base.Options) -> base.Report:
        """Measures and returns time of one request and rate of many."""
        settings = peers.PeerSettings(secret=_SECRET)
        first, second = (
            transport.PynngTransport(
                ids.NodeName(name),
                '127.0.0.1:0',
                ids.generate_incarnation(),
                settings,
            )
            for name in 'ab'
        )

        async def echo(_: ids.NodeName, body: bytes) -> bytes:
            return body

        second.set_handler(peers.MessageKind.STEP, echo)
        peer = peers.Peer(second.name, second.address)

        async def ask() -> float:
            begin = time.perf_counter()
            outcome = await first.request(
                peer, peers.MessageKind.STEP, _BODY, 5.0
            )
            if outcome.is_error():
                raise RuntimeError(outcome.error.detail)
            return time.perf_counter() - begin

        opening = await ask()
        times = await _repeat(ask, options.seconds / 2)
        begin = time.perf_counter()
        many = await asyncio.gather(
            *(_repeat(ask, options.seconds / 2) for _ in range(_AT_ONCE))
        )
        spent = time.perf_counter() - begin
        await first.close()
        await second.close()
        cuts = statistics.quantiles(times, n=100)
        rate = sum(len(row) for row in many) / spent
        figures = (
            base.Figure('first request, two connections', opening * 1e3, 'ms'),
            base.Figure('one at a time, median', cuts[49] * 1e3, 'ms'),
            base.Figure('one at a time, p99', cuts[98] * 1e3, 'ms'),
            base.Figure(f'{_AT_ONCE} at once', rate, '1/s, both ends'),
        )
        return base.Report(self.name, options, figures)


async def _repeat(ask, seconds: float) -> list[float]:
    end = time.perf_counter() + seconds
    times = []
    while time.perf_counter() < end:
        times.append(await ask())
    return times
