"""Measurements of how the configuration is distributed and folded."""

import asyncio
import random
import time
import tracemalloc

from waxwingport.configuration import declarations
from waxwingport.configuration import distribution
from waxwingport.configuration import initial_state
from waxwingport.configuration import keys
from waxwingport.configuration import reader
from waxwingport.configuration import records
from waxwingport.configuration import state
from waxwingport import ids
from waxwingport.measure import base
from waxwingport.membership import base as membership
from waxwingport.outside import base as platform
from waxwingport.peers import memory
from waxwingport.standins import platform as standins

__all__ = ['ConfigurationFold', 'ConfigurationSpread', 'ConfigurationTraffic']

_DESIGN_NODES = 690
_DESIGN_DATA_CENTRES = 25
_CHANGES_PER_DAY = 12_000
_SECONDS_PER_DAY = 86_400.0
_CHANGES_PER_YEAR = _CHANGES_PER_DAY * 365
_SPREAD_TARGET_S = 3.0
"""Time from an accepted change to its being in force on every node."""
_TRAFFIC_TARGET = 16_384.0
"""Bytes a second that a node may send for all control traffic."""
_MEMORY_TARGET = 32.0
"""MB that a node may use for all control data."""
_FLEET_SIZES = (4, 16, 64)
_DATA_CENTRES = 4
_NETWORK_DELAY_S = 0.0005
_WARM_UP_S = 2.0
_POOLS = 2_000
"""Number of pools, each one key, whose changes are folded."""
_PAGE_RECORDS = 200
_MIB = 1024 * 1024


def _make_change(index: int, rng: random.Random) -> records.Change:
    """Returns a change of the weight of one random pool."""
    name = ids.PoolName(f'pool-{rng.randrange(_POOLS):05d}')
    pool = declarations.Pool(
        name, f'role = drafting, pool = {name}', weight=1.0 + index % 7
    )
    return records.make_change(
        ids.generate_record_id(),
        'measurement',
        ids.Revision(index - 1),
        {keys.make_key('pools', name): pool},
    )


class _Node:
    """A node's configuration state and its distribution."""

    def __init__(self, fleet: '_Fleet', index: int, data_centres: int) -> None:
        self.member = membership.Member(
            ids.NodeName(f'node-{index}'),
            ids.DataCentre(f'centre-{index % data_centres}'),
            f'node-{index}',
            None,
        )
        self.state = state.ConfigurationState()
        self.members = membership.StaticMembership(self.member)
        transport = fleet.network.join(
            self.member.name, self.member.peer_address, ids.Incarnation(0)
        )
        self.distribution = distribution.Distribution(
            fleet.log,
            self.state,
            self.members,
            transport,
            rng=random.Random(index),
        )


class _Fleet:
    """Nodes that share a stand-in log; used as a context manager."""

    def __init__(self, size: int, data_centres: int) -> None:
        self.log = standins.StandInLog()
        self.network = memory.MemoryNetwork(_NETWORK_DELAY_S)
        self.nodes = [
            _Node(self, index, data_centres) for index in range(size)
        ]
        for node in self.nodes:
            node.members.others = [
                other.member for other in self.nodes if other is not node
            ]
        self._tasks: list[asyncio.Task[None]] = []
        self.changes = 0

    async def __aenter__(self) -> '_Fleet':
        self._tasks = [
            asyncio.create_task(node.distribution.run()) for node in self.nodes
        ]
        await asyncio.sleep(_WARM_UP_S)
        return self

    async def __aexit__(self, *_: object) -> None:
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def publish(self, rng: random.Random) -> float:
        """Returns the seconds from accepted to in force on every node."""
        change = _make_change(self.changes, rng)
        self.changes += 1
        appended = await self.log.append(reader.STREAM, records.encode(change))
        start = time.perf_counter()
        before = ids.Revision(appended.ok - 1)
        await asyncio.gather(
            *(node.state.wait_beyond(before, 60.0) for node in self.nodes)
        )
        return time.perf_counter() - start


def _extrapolate(points: list[tuple[float, float]], x: float) -> float:
    """Returns the value at ``x`` on the line through the outer points."""
    (x0, y0), (x1, y1) = points[0], points[-1]
    return y1 + (y1 - y0) / (x1 - x0) * (x - x1)


class ConfigurationSpread(base.Measurement):
    """Time from an accepted change to its being in force on every node."""

    name = 'configuration-spread'
    summary = 'time from accepted to in force, and log reads, by nodes'

    async def run(self, options: base.Options) -> base.Report:
        """Measures fleets of growing size in four data centres."""
        rng = random.Random(options.seed)
        seconds_per_size = options.seconds / len(_FLEET_SIZES)
        figures: list[base.Figure] = []
        slowest_by_size: list[tuple[float, float]] = []
        for size in _FLEET_SIZES:
            async with _Fleet(size, _DATA_CENTRES) as fleet:
                times, reads = await _measure_spread(
                    fleet, seconds_per_size - _WARM_UP_S, rng
                )
            figures += _make_spread_figures(size, times, reads)
            slowest_by_size.append((size, max(times)))
        figures.append(
            base.Figure(
                f'slowest by slope at {_DESIGN_NODES} nodes',
                _extrapolate(slowest_by_size, _DESIGN_NODES),
                's',
                _SPREAD_TARGET_S,
            )
        )
        readers = distribution.DistributionSettings().readers
        read_wait = distribution.DistributionSettings().read_wait
        figures += [
            base.Figure(
                'idle log reads at the design size',
                _DESIGN_DATA_CENTRES * readers / read_wait,
                '1/s',
            ),
            base.Figure(
                'baseline: idle log reads if every node reads',
                _DESIGN_NODES / read_wait,
                '1/s',
            ),
        ]
        return base.Report(self.name, options, tuple(figures))


async def _measure_spread(
    fleet: _Fleet, seconds: float, rng: random.Random
) -> tuple[list[float], float]:
    """Returns the sorted times of changes and the idle reads a second."""
    half = max(seconds / 2, 1.0)
    reads_before = fleet.log.reads
    await asyncio.sleep(half)
    read_rate = (fleet.log.reads - reads_before) / half
    times = []
    end = time.perf_counter() + half
    while time.perf_counter() < end:
        times.append(await fleet.publish(rng))
        await asyncio.sleep(rng.uniform(0.0, 0.05))
    return sorted(times), read_rate


def _make_spread_figures(
    size: int, times: list[float], read_rate: float
) -> list[base.Figure]:
    median = times[len(times) // 2]
    return [
        base.Figure(f'median at {size} nodes', median, 's'),
        base.Figure(
            f'slowest of {len(times)} at {size} nodes',
            times[-1],
            's',
            _SPREAD_TARGET_S,
        ),
        base.Figure(f'idle log reads at {size} nodes', read_rate, '1/s'),
    ]


class ConfigurationTraffic(base.Measurement):
    """Bytes that a node sends to distribute the configuration."""

    name = 'configuration-traffic'
    summary = 'bytes a second for the configuration, by data centre size'

    async def run(self, options: base.Options) -> base.Report:
        """Measures a data centre of the design size, idle and with changes."""
        rng = random.Random(options.seed)
        size = _DESIGN_NODES // _DESIGN_DATA_CENTRES
        seconds = max(options.seconds - _WARM_UP_S, 2.0) / 2
        async with _Fleet(size, 1) as fleet:
            await fleet.publish(rng)
            idle_rate = await _count_bytes(fleet, seconds)
            cpu = time.process_time()
            sent = fleet.network.sent_bytes
            start = time.perf_counter()
            count = 0
            while time.perf_counter() - start < seconds:
                await fleet.publish(rng)
                await asyncio.sleep(0.05)
                count += 1
            elapsed = time.perf_counter() - start
            sent = fleet.network.sent_bytes - sent
            cpu = (time.process_time() - cpu) / elapsed / size
        change_bytes = max(sent - idle_rate * elapsed, 0.0) / count
        total_rate = (
            idle_rate + change_bytes * _CHANGES_PER_DAY / _SECONDS_PER_DAY
        )
        readers = distribution.DistributionSettings().readers
        figures = (
            base.Figure(f'idle, {size} nodes together', idle_rate, 'B/s'),
            base.Figure(f'a change, {size} nodes together', change_bytes, 'B'),
            base.Figure(
                'a reader at the design rate',
                total_rate / readers,
                'B/s',
                _TRAFFIC_TARGET,
            ),
            base.Figure('any other node, sent', 0.0, 'B/s'),
            base.Figure(
                f'processor at {count / elapsed:.0f} changes a second, a node',
                cpu * 100,
                '% of a core',
            ),
        )
        return base.Report(self.name, options, figures)


async def _count_bytes(fleet: _Fleet, seconds: float) -> float:
    before = fleet.network.sent_bytes
    start = time.perf_counter()
    await asyncio.sleep(seconds)
    elapsed = time.perf_counter() - start
    return (fleet.network.sent_bytes - before) / elapsed


class ConfigurationFold(base.Measurement):
    """Time and memory of folding a year's changes."""

    name = 'configuration-fold'
    summary = "fold time and memory of a year's changes, snapshots"

    async def run(self, options: base.Options) -> base.Report:
        """Folds for half the time, then measures memory and a snapshot."""
        rng = random.Random(options.seed)
        configuration_state = state.ConfigurationState()
        elapsed, count = _fold_for(
            configuration_state, options.seconds / 2, rng
        )
        smaller_memory = _measure_memory(rng, _POOLS * 2)
        larger_memory = _measure_memory(rng, _POOLS * 4)
        folded = configuration_state.folded
        start = time.perf_counter()
        snapshot = records.encode(initial_state.make_snapshot(folded))
        write_time = time.perf_counter() - start
        start = time.perf_counter()
        restored = initial_state.restore_snapshot(records.decode(snapshot).ok)
        read_time = time.perf_counter() - start
        if restored.ok != folded:
            raise AssertionError(
                'the restored snapshot differs from the folded state'
            )
        entries = len(folded.entries)
        figures = (
            base.Figure('records folded', count, ''),
            base.Figure('a record, in pages', elapsed / count * 1e6, 'us'),
            base.Figure(
                "a year's records by slope",
                elapsed / count * _CHANGES_PER_YEAR,
                's',
            ),
            base.Figure(
                f'memory with {entries} keys',
                smaller_memory / _MIB,
                'MB',
                _MEMORY_TARGET,
            ),
            base.Figure(
                'growth of memory a further record',
                (larger_memory - smaller_memory) / (_POOLS * 2),
                'B',
            ),
            base.Figure(f'snapshot of {entries} keys', len(snapshot), 'B'),
            base.Figure('writing a snapshot', write_time, 's'),
            base.Figure('starting from a snapshot', read_time, 's'),
        )
        return base.Report(self.name, options, figures)


def _make_page(
    start: int, size: int, rng: random.Random
) -> list[platform.LogRecord]:
    return [
        platform.LogRecord(
            ids.Offset(index), records.encode(_make_change(index, rng))
        )
        for index in range(start, start + size)
    ]


def _fold_for(
    configuration_state: state.ConfigurationState,
    seconds: float,
    rng: random.Random,
) -> tuple[float, int]:
    """Folds pages for ``seconds``, at least ``4 * _POOLS`` records.

    Returns the seconds that the folding took and the number of records.
    """
    elapsed, count = 0.0, 0
    while elapsed < seconds or count < _POOLS * 4:
        page = _make_page(count, _PAGE_RECORDS, rng)
        start = time.perf_counter()
        configuration_state.advance(page)
        elapsed += time.perf_counter() - start
        count += len(page)
    return elapsed, count


def _measure_memory(rng: random.Random, count: int) -> int:
    """Returns the bytes that a state uses after ``count`` records."""
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    configuration_state = state.ConfigurationState()
    for start in range(0, count, _PAGE_RECORDS):
        configuration_state.advance(_make_page(start, _PAGE_RECORDS, rng))
    used = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    return used
