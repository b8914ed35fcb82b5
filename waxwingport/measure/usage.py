"""Measurement of what the reports of usage cost a node."""

import random
import time

import msgspec

from waxwingport import clocks
from waxwingport.duties import base as duties
from waxwingport.duties import counting
from waxwingport.duties import counts
from waxwingport.duties import records
from waxwingport import ids
from waxwingport.log import base as log_base
from waxwingport.log import turn_leases
from waxwingport.measure import base
from waxwingport.standins import partitions

__all__ = ['UsageCost']

_WINDOW = 100
_RECORDS_PER_NODE = 6
"""Appends of a node in a window of 5 s."""
_PARTITIONS = 4
_LARGE_TENANTS = 5
"""Tenants that send half of all requests."""
_SITES = ((75, 80, 40), (690, 690, 53))
"""Nodes, tenants, and requests of a node between two appends: today's size
and the size to design for."""
_COUNTED = 100_000


class UsageCost(base.Measurement):
    """Records of counts, the composition of a report, and one count."""

    name = 'usage-cost'
    summary = 'what counting requests and composing a report cost'

    async def run(self, options: base.Options) -> base.Report:
        """Measures a window at both sizes, and the hook of a request."""
        rng = random.Random(options.seed)
        figures: list[base.Figure] = []
        for nodes, tenants, requests in _SITES:
            figures += await _measure_window(nodes, tenants, requests, rng)
        for name, counter in (
            ('without reports', duties.NoCounter()),
            ('with reports', _make_counter()),
        ):
            figures.append(await _measure_count(name, counter))
        return base.Report(self.name, options, tuple(figures))


async def _measure_window(
    nodes: int, tenants: int, requests: int, rng: random.Random
) -> list[base.Figure]:
    log = partitions.MemoryLog()
    size = 0
    for node in range(nodes):
        for sequence in range(_RECORDS_PER_NODE):
            record = msgspec.msgpack.encode(
                records.Counts(
                    log_base.MemberName(f'edge-{node}-abcdef'),
                    sequence,
                    _WINDOW,
                    _draw_counts(tenants, requests, rng),
                )
            )
            size += len(record)
            partition = log_base.Partition(
                records.COUNTS_TOPIC, node % _PARTITIONS
            )
            await log.append(partition, (record,))
    found = counts.UsageCounts(log, _PARTITIONS, (), _WINDOW - 1)
    began_at = time.process_time()
    await found.read(_WINDOW)
    report = found.compose(_WINDOW)
    taken = time.process_time() - began_at
    encoded = msgspec.msgpack.encode(
        records.Report(_WINDOW, report, found.find_positions(_WINDOW))
    )
    site = f'{nodes} nodes'
    return [
        base.Figure(f'{site}: records', nodes * _RECORDS_PER_NODE, ''),
        base.Figure(f'{site}: size of them', size / 1e6, 'MB'),
        base.Figure(f'{site}: read and composed', taken, 's'),
        base.Figure(f'{site}: size of the report', len(encoded) / 1e3, 'KB'),
    ]


def _draw_counts(
    tenants: int, requests: int, rng: random.Random
) -> dict[str, int]:
    found: dict[str, int] = {}
    for _ in range(requests):
        bound = _LARGE_TENANTS if rng.random() < 0.5 else tenants
        name = f'tenant-{rng.randrange(bound)}'
        found[name] = found.get(name, 0) + 1
    return found


def _make_counter() -> counting.UsageCounter:
    return counting.UsageCounter(
        partitions.MemoryLog(),
        turn_leases.Holder(ids.NodeName('a'), log_base.MemberName('a-1')),
        _PARTITIONS,
        5.0,
        1 << 20,
        clocks.SystemWallClock(),
        bool,
    )


class _Request:
    """A request, as the forwarders pass it to the counter."""


async def _measure_count(
    name: str, counter: duties.RequestCounter
) -> base.Figure:
    async def attempt() -> bool:
        return True

    began_at = time.process_time()
    for _ in range(_COUNTED):
        await counter.count(_Request(), 't', attempt)
    taken = time.process_time() - began_at
    return base.Figure(f'{name}: a request', taken / _COUNTED * 1e6, 'µs')
