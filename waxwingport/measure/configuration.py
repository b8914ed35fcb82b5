"""Measurements of the configuration: its spread, its fold and its cost."""

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
_DESIGN_CENTRES = 25
_CHANGES_A_DAY = 12_000
_DAY = 86_400.0
_YEAR_CHANGES = _CHANGES_A_DAY * 365
_SPREAD_TARGET = 3.0
"""Seconds."""
_BYTES_TARGET = 16_384.0
"""Bytes a second of a node, for all control."""
_MEMORY_TARGET = 32.0
"""MB of a node, for all control."""
_SIZES = (4, 16, 64)
_CENTRES = 4
_DELAY = 0.0005
_WARM_UP = 2.0
_DECLARED = 2_000
"""Keys that the fold is measured with."""
_PAGE = 200
_MIB = 1024 * 1024


def _make_change(index: int, rng: random.Random) -> records.Change:
    """Returns a change of one pool, as an operator's weights move."""
    name = ids.PoolName(f'pool-{rng.randrange(_DECLARED):05d}')
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
    """A node's part of the configuration, in this process."""

    def __init__(self, fleet: '_Fleet', index: int, centres: int) -> None:
        self.member = membership.Member(
            ids.NodeName(f'node-{index}'),
            ids.DataCentre(f'centre-{index % centres}'),
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
    """Nodes on one stand-in log; use it as a context manager."""

    def __init__(self, size: int, centres: int) -> None:
        self.log = standins.StandInLog()
        self.network = memory.MemoryNetwork(_DELAY)
        self.nodes = [_Node(self, index, centres) for index in range(size)]
        for node in self.nodes:
            node.members.others = [
                row.member for row in self.nodes if row is not node
            ]
        self._tasks: list[asyncio.Task[None]] = []
        self.changes = 0

    async def __aenter__(self) -> '_Fleet':
        self._tasks = [
            asyncio.create_task(node.distribution.run()) for node in self.nodes
        ]
        await asyncio.sleep(_WARM_UP)
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
            *(row.state.wait_beyond(before, 60.0) for row in self.nodes)
        )
        return time.perf_counter() - start


def _extrapolate(points: list[tuple[float, float]], to: float) -> float:
    """Returns the value at ``to`` on the line through the outer points."""
    (x0, y0), (x1, y1) = points[0], points[-1]
    return y1 + (y1 - y0) / (x1 - x0) * (to - x1)


class ConfigurationSpread(base.Measurement):
    """Time from an accepted change to its being in force on every node."""

    name = 'configuration-spread'
    summary = 'time from accepted to in force, and log reads, by nodes'

    async def run(self, options: base.Options) -> base.Report:
        """Measures fleets of growing size in four data centres."""
        rng = random.Random(options.seed)
        share = options.seconds / len(_SIZES)
        figures: list[base.Figure] = []
        slowest: list[tuple[float, float]] = []
        for size in _SIZES:
            async with _Fleet(size, _CENTRES) as fleet:
                found, reads = await _observe(fleet, share - _WARM_UP, rng)
            figures += _describe_spread(size, found, reads)
            slowest.append((size, max(found)))
        figures.append(
            base.Figure(
                f'slowest by slope at {_DESIGN_NODES} nodes',
                _extrapolate(slowest, _DESIGN_NODES),
                's',
                _SPREAD_TARGET,
            )
        )
        readers = distribution.DistributionSettings().readers
        wait = distribution.DistributionSettings().read_wait
        figures += [
            base.Figure(
                'idle log reads at the design size',
                _DESIGN_CENTRES * readers / wait,
                '1/s',
            ),
            base.Figure(
                'baseline: idle log reads if every node reads',
                _DESIGN_NODES / wait,
                '1/s',
            ),
        ]
        return base.Report(self.name, options, tuple(figures))


async def _observe(
    fleet: _Fleet, seconds: float, rng: random.Random
) -> tuple[list[float], float]:
    """Returns the times of changes and the idle reads a second."""
    half = max(seconds / 2, 1.0)
    reads = fleet.log.reads
    await asyncio.sleep(half)
    rate = (fleet.log.reads - reads) / half
    found = []
    end = time.perf_counter() + half
    while time.perf_counter() < end:
        found.append(await fleet.publish(rng))
        await asyncio.sleep(rng.uniform(0.0, 0.05))
    return sorted(found), rate


def _describe_spread(
    size: int, found: list[float], reads: float
) -> list[base.Figure]:
    median = found[len(found) // 2]
    return [
        base.Figure(f'median at {size} nodes', median, 's'),
        base.Figure(
            f'slowest of {len(found)} at {size} nodes',
            found[-1],
            's',
            _SPREAD_TARGET,
        ),
        base.Figure(f'idle log reads at {size} nodes', reads, '1/s'),
    ]


class ConfigurationTraffic(base.Measurement):
    """Bytes that a node sends for the configuration."""

    name = 'configuration-traffic'
    summary = 'bytes a second for the configuration, by data centre size'

    async def run(self, options: base.Options) -> base.Report:
        """Measures one data centre of the design's size, idle and busy."""
        rng = random.Random(options.seed)
        size = _DESIGN_NODES // _DESIGN_CENTRES
        seconds = max(options.seconds - _WARM_UP, 2.0) / 2
        async with _Fleet(size, 1) as fleet:
            await fleet.publish(rng)
            idle = await _count_bytes(fleet, seconds)
            cpu = time.process_time()
            sent = fleet.network.sent_bytes
            start = time.perf_counter()
            count = 0
            while time.perf_counter() - start < seconds:
                await fleet.publish(rng)
                await asyncio.sleep(0.05)
                count += 1
            took = time.perf_counter() - start
            sent = fleet.network.sent_bytes - sent
            cpu = (time.process_time() - cpu) / took / size
        change = max(sent - idle * took, 0.0) / count
        total = idle + change * _CHANGES_A_DAY / _DAY
        readers = distribution.DistributionSettings().readers
        figures = (
            base.Figure(f'idle, {size} nodes together', idle, 'B/s'),
            base.Figure(f'a change, {size} nodes together', change, 'B'),
            base.Figure(
                'a reader at the design rate',
                total / readers,
                'B/s',
                _BYTES_TARGET,
            ),
            base.Figure('any other node, sent', 0.0, 'B/s'),
            base.Figure(
                f'processor at {count / took:.0f} changes a second, a node',
                cpu * 100,
                '% of a core',
            ),
        )
        return base.Report(self.name, options, figures)


async def _count_bytes(fleet: _Fleet, seconds: float) -> float:
    before = fleet.network.sent_bytes
    start = time.perf_counter()
    await asyncio.sleep(seconds)
    took = time.perf_counter() - start
    return (fleet.network.sent_bytes - before) / took


class ConfigurationFold(base.Measurement):
    """Time and memory of folding a year's changes."""

    name = 'configuration-fold'
    summary = "fold time and memory of a year's changes, snapshots"

    async def run(self, options: base.Options) -> base.Report:
        """Folds pages of records for half the time; then starts anew."""
        rng = random.Random(options.seed)
        found = state.ConfigurationState()
        spent, count = _fold_for(found, options.seconds / 2, rng)
        first = _measure_memory(rng, _DECLARED * 2)
        second = _measure_memory(rng, _DECLARED * 4)
        folded = found.folded
        start = time.perf_counter()
        body = records.encode(initial_state.make_snapshot(folded))
        written = time.perf_counter() - start
        start = time.perf_counter()
        restored = initial_state.restore_snapshot(records.decode(body).ok)
        read = time.perf_counter() - start
        if restored.ok != folded:
            raise AssertionError('a snapshot restores another state')
        entries = len(folded.entries)
        figures = (
            base.Figure('records folded', count, ''),
            base.Figure('a record, in pages', spent / count * 1e6, 'us'),
            base.Figure(
                "a year's records by slope",
                spent / count * _YEAR_CHANGES,
                's',
            ),
            base.Figure(
                f'memory with {entries} keys',
                first / _MIB,
                'MB',
                _MEMORY_TARGET,
            ),
            base.Figure(
                'growth of memory a further record',
                (second - first) / (_DECLARED * 2),
                'B',
            ),
            base.Figure(f'snapshot of {entries} keys', len(body), 'B'),
            base.Figure('writing a snapshot', written, 's'),
            base.Figure('starting from a snapshot', read, 's'),
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
    found: state.ConfigurationState, seconds: float, rng: random.Random
) -> tuple[float, int]:
    """Folds pages until they took ``seconds`` or all keys are declared."""
    spent, count = 0.0, 0
    while spent < seconds or count < _DECLARED * 4:
        page = _make_page(count, _PAGE, rng)
        start = time.perf_counter()
        found.advance(page)
        spent += time.perf_counter() - start
        count += len(page)
    return spent, count


def _measure_memory(rng: random.Random, count: int) -> int:
    """Returns the bytes that a state holds after ``count`` records."""
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    found = state.ConfigurationState()
    for start in range(0, count, _PAGE):
        found.advance(_make_page(start, _PAGE, rng))
    held = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    return held
