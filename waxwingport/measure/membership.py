"""Measurements of membership: cost, failure detection and peer requests."""

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

_DATA_CENTRE_SIZES = (4, 16, 28)
_DATA_CENTRES = 25
_NODES = 690
_WARM_UP_S = 4.0
_SECRET = 'measurement-secret'  # noqa: S105
_CPU_TARGET_PERCENT = 4.8
_TRAFFIC_TARGET = 16_000
_FRAME_OVERHEAD = 66
"""Bytes of Ethernet, IP, TCP and library headers of a small message."""


class _CountingTransport(transport.PynngTransport):
    """Counts the messages and bytes that a node sends and receives."""

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


class _Nodes:
    """``size`` nodes in data centre dc-00 and one in each of some others."""

    def __init__(self, size: int, other_data_centres: int, seed: int) -> None:
        self.nodes: list[live.LiveMembership] = []
        self.transports: list[_CountingTransport] = []
        data_centres = ['dc-00'] * size
        data_centres += [
            f'dc-{n:02}' for n in range(1, other_data_centres + 1)
        ]
        for index, data_centre in enumerate(data_centres):
            self._add(
                f'{data_centre}-{index:02}',
                ids.DataCentre(data_centre),
                seed + index,
            )

    def _add(self, name: str, data_centre: ids.DataCentre, seed: int) -> None:
        settings = peers.PeerSettings(secret=_SECRET)
        incarnation = ids.generate_incarnation()
        node_name = ids.NodeName(name)
        node_transport = _CountingTransport(
            node_name, '127.0.0.1:0', incarnation, settings
        )
        local_member = members.Member(
            node_name, data_centre, node_transport.address, incarnation
        )
        self.transports.append(node_transport)
        self.nodes.append(
            live.LiveMembership(
                local_member, node_transport, random.Random(seed)
            )
        )

    def list_vms(self) -> list[platform.Vm]:
        """Returns these nodes as VMs of the platform's list."""
        return [
            platform.Vm(
                node.local_member.name,
                platform.VmKind.NODE,
                node.local_member.data_centre,
                '127.0.0.1:1',
                peer_address=node.local_member.peer_address,
            )
            for node in self.nodes
        ]

    async def measure(self, seconds: float) -> tuple[float, float, float]:
        """Returns the share of a core, bytes and messages a second of a node.

        Bytes and messages are means over the nodes of dc-00, the CPU share
        is the mean over all nodes.
        """
        vms = self.list_vms()
        for node in self.nodes:
            node.update(vms)
        running = [asyncio.ensure_future(node.run()) for node in self.nodes]
        await asyncio.sleep(_WARM_UP_S)
        local_transports = [
            node_transport
            for node_transport, node in zip(
                self.transports, self.nodes, strict=True
            )
            if node.local_member.data_centre == 'dc-00'
        ]
        byte_count = sum(local.bytes for local in local_transports)
        message_count = sum(local.messages for local in local_transports)
        start, cpu = time.perf_counter(), time.process_time()
        await asyncio.sleep(seconds)
        elapsed = time.perf_counter() - start
        cpu = time.process_time() - cpu
        byte_count = (
            sum(local.bytes for local in local_transports) - byte_count
        )
        message_count = (
            sum(local.messages for local in local_transports) - message_count
        )
        for task in running:
            task.cancel()
        for node_transport in self.transports:
            await node_transport.close()
        cpu_share = cpu / elapsed / len(self.nodes)
        return (
            cpu_share,
            byte_count / elapsed / len(local_transports),
            message_count / elapsed / len(local_transports),
        )


class MembershipCost(base.Measurement):
    """Heartbeats and digests over real sockets in one process.

    CPU is the processor time of the process, including the threads of the
    messaging library, divided by the number of nodes.  Bytes are counted in
    both directions.
    """

    name = 'membership-cost'
    summary = 'CPU and bytes of heartbeats and digests by nodes'

    async def run(self, options: base.Options) -> base.Report:
        """Measures and returns the figures."""
        seconds = options.seconds / (len(_DATA_CENTRE_SIZES) + 1)
        figures = []
        for size in _DATA_CENTRE_SIZES:
            cost = await _Nodes(size, 0, options.seed).measure(seconds)
            figures += _make_cost_figures(f'{size} nodes, 1 data centre', cost)
        design_size = round(_NODES / _DATA_CENTRES)
        cost = await _Nodes(
            design_size, _DATA_CENTRES - 1, options.seed
        ).measure(seconds)
        label = f'{design_size} nodes, {_DATA_CENTRES} data centres'
        figures += _make_cost_figures(label, cost, True)
        return base.Report(self.name, options, tuple(figures))


def _make_cost_figures(
    label: str, cost: tuple[float, float, float], with_targets: bool = False
) -> list[base.Figure]:
    cpu_share, byte_rate, message_rate = cost
    cpu_target, traffic_target = (
        (_CPU_TARGET_PERCENT, _TRAFFIC_TARGET)
        if with_targets
        else (None, None)
    )
    return [
        base.Figure(
            f'{label}: CPU', 100 * cpu_share, '% of a core', cpu_target
        ),
        base.Figure(
            f'{label}: both ways', byte_rate, 'bytes/s', traffic_target
        ),
        base.Figure(f'{label}: messages', message_rate, '1/s'),
    ]


_PAUSE_PROBABILITY = 1 / 60
_MAX_PAUSE_S = 4.0
_FIXED_TIMEOUT_S = 3.0
_HEARTBEAT_INTERVAL_S = 1.0
_CRASHES = 200
_HOUR_S = 3600.0


class Detection(base.Measurement):
    """False suspicions caused by pauses, and time to suspect a crash.

    A simulated node sends heartbeats at jittered intervals and pauses about
    once a minute for an exponentially distributed time.  The baseline
    suspects a node after a fixed timeout.  No real time passes.
    """

    name = 'failure-detection'
    summary = 'false suspicions and detection time against a fixed timeout'

    async def run(self, options: base.Options) -> base.Report:
        """Simulates 50 hours of heartbeats for each mean pause."""
        figures = []
        for mean_pause in (0.0, 0.5, 1.5):
            rng = random.Random(options.seed)
            arrivals = _make_arrivals(rng, mean_pause, 50 * _HOUR_S)
            figures += _make_detection_figures(arrivals, mean_pause)
        return base.Report(self.name, options, tuple(figures))


def _make_arrivals(
    rng: random.Random, mean_pause: float, seconds: float
) -> list[float]:
    arrivals = [0.0]
    while arrivals[-1] < seconds:
        gap = _HEARTBEAT_INTERVAL_S * rng.uniform(0.9, 1.1)
        if mean_pause and rng.random() < _PAUSE_PROBABILITY:
            gap += min(rng.expovariate(1 / mean_pause), _MAX_PAUSE_S)
        arrivals.append(arrivals[-1] + gap)
    return arrivals


def _make_detection_figures(
    arrivals: list[float], mean_pause: float
) -> list[base.Figure]:
    failure_detector = detector.Detector(
        detector.DetectorSettings(), _HEARTBEAT_INTERVAL_S, 0.0
    )
    adaptive_suspicions = fixed_suspicions = 0
    allowed_silences = []
    for previous, arrival in zip(arrivals, arrivals[1:], strict=False):
        allowed_silences.append(failure_detector.allowed_silence)
        adaptive_suspicions += failure_detector.is_late(arrival)
        fixed_suspicions += arrival - previous > _FIXED_TIMEOUT_S
        failure_detector.record_arrival(arrival)
    days = arrivals[-1] / (24 * _HOUR_S)
    label = f'pauses of {mean_pause:g} s a minute'
    return [
        base.Figure(
            f'{label}: false suspicions', adaptive_suspicions / days, '1/day'
        ),
        base.Figure(
            f'{label}: with {_FIXED_TIMEOUT_S:g} s fixed',
            fixed_suspicions / days,
            '1/day',
        ),
        base.Figure(
            f'{label}: time to suspect a crash',
            statistics.fmean(allowed_silences),
            's',
        ),
        base.Figure(f'{label}: at the longest', max(allowed_silences), 's'),
    ]


_BODY = b'x' * 300
_CONCURRENT_REQUESTS = 32


class PeerRequests(base.Measurement):
    """Requests between two nodes over real sockets in one process."""

    name = 'peer-requests'
    summary = 'time and rate of requests between two nodes'

    async def run(self, options: base.Options) -> base.Report:
        """Measures single requests, then many concurrent ones."""
        settings = peers.PeerSettings(secret=_SECRET)
        sender, responder = (
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

        responder.set_handler(peers.MessageKind.STEP, echo)
        peer = peers.Peer(responder.name, responder.address)

        async def send_request() -> float:
            start = time.perf_counter()
            outcome = await sender.request(
                peer, peers.MessageKind.STEP, _BODY, 5.0
            )
            if outcome.is_error():
                raise RuntimeError(outcome.error.detail)
            return time.perf_counter() - start

        first_time = await send_request()
        times = await _repeat(send_request, options.seconds / 2)
        start = time.perf_counter()
        concurrent_times = await asyncio.gather(
            *(
                _repeat(send_request, options.seconds / 2)
                for _ in range(_CONCURRENT_REQUESTS)
            )
        )
        elapsed = time.perf_counter() - start
        await sender.close()
        await responder.close()
        cuts = statistics.quantiles(times, n=100)
        rate = (
            sum(len(worker_times) for worker_times in concurrent_times)
            / elapsed
        )
        figures = (
            base.Figure(
                'first request, two connections', first_time * 1e3, 'ms'
            ),
            base.Figure('one at a time, median', cuts[49] * 1e3, 'ms'),
            base.Figure('one at a time, p99', cuts[98] * 1e3, 'ms'),
            base.Figure(
                f'{_CONCURRENT_REQUESTS} at once', rate, '1/s, both ends'
            ),
        )
        return base.Report(self.name, options, figures)


async def _repeat(send_request, seconds: float) -> list[float]:
    end = time.perf_counter() + seconds
    times = []
    while time.perf_counter() < end:
        times.append(await send_request())
    return times
