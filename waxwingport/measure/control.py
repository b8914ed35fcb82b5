"""What a node spends on control while no request comes."""

import asyncio
import pathlib
import random
import resource
import time

from waxwingport.configuration import reader
from waxwingport.configuration import records
from waxwingport import ids
from waxwingport.measure import base
from waxwingport import node
from waxwingport.outside import base as platform
from waxwingport.peers import memory
from waxwingport import settings
from waxwingport.standins import factory
from waxwingport.standins import platform as standin_platform
from waxwingport.trial import deployments

__all__ = ['ControlCost']

_CENTRES = 25
_SIZES = ((3, 40), (6, 80), (2, 400))
"""Nodes that run here, and engines in each of the data centres."""
_SETTLING_SECONDS = 4.0
_MIB = 1024 * 1024
_CPU_TARGET = 4.8
_MEMORY_TARGET = 32.0
_TRAFFIC_TARGET = 16.0


class ControlCost(base.Measurement):
    """CPU, memory and traffic of control in one data centre's nodes.

    Runs the nodes of one data centre in this process, on a memory network and
    stand-ins; the other data centres are only listed.
    """

    name = 'control'
    summary = 'CPU, memory and traffic of idle nodes, up to 10,000 engines'

    async def run(self, options: base.Options) -> base.Report:
        """Returns the figures of each size."""
        figures: list[base.Figure] = []
        for nodes, engines in _SIZES:
            figures.extend(await _measure(nodes, engines, options))
        return base.Report(self.name, options, tuple(figures))


async def _measure(
    nodes: int, engines: int, options: base.Options
) -> list[base.Figure]:
    site = _Site(nodes, engines, options.seed)
    before = _read_resident()
    await site.start()
    await asyncio.sleep(_SETTLING_SECONDS)
    traffic = site.network.sent_bytes
    appends = site.log.appends
    processor = time.process_time()
    start = time.monotonic()
    await asyncio.sleep(options.seconds)
    elapsed = time.monotonic() - start
    share = (time.process_time() - processor) / elapsed / site.size
    sent = (site.network.sent_bytes - traffic) / elapsed / site.size
    appended = (site.log.appends - appends) / elapsed
    grown = (_read_resident() - before) / site.size
    await site.stop()
    title = f'{site.size} nodes, {site.engines} engines here'
    whole = (nodes, engines) == _SIZES[-1]
    return [
        base.Figure(
            f'{title}: CPU a node',
            share * 100,
            '% of a core',
            _CPU_TARGET if whole else None,
        ),
        base.Figure(
            f'{title}: memory a node',
            grown / _MIB,
            'MiB',
            _MEMORY_TARGET if whole else None,
        ),
        base.Figure(
            f'{title}: sent a node',
            sent / 1024,
            'KiB/s',
            _TRAFFIC_TARGET if whole else None,
        ),
        base.Figure(f'{title}: log appends', appended, '1/s'),
    ]


class _Site:
    """The nodes of one data centre, with all others listed."""

    def __init__(self, nodes: int, engines: int, seed: int) -> None:
        self.size = nodes
        self.engines = engines
        self.network = memory.MemoryNetwork()
        self.log = standin_platform.StandInLog()
        self._vms = _list_vms(self.size, self.engines)
        self._targets = factory.StandInTargetFactory()
        self._rng = random.Random(seed)
        self._nodes: list[node.Node] = []

    async def start(self) -> None:
        """Starts the nodes of the first data centre."""
        deployment = deployments.DEPLOYMENTS['bavaria']
        change = deployments.make_initial_change(deployment)
        await self.log.append(reader.STREAM, records.encode(change))
        for index in range(self.size):
            made = self._make_node(index)
            self._nodes.append(made)
            await made.start()

    async def stop(self) -> None:
        """Stops the nodes."""
        for made in self._nodes:
            await made.stop()

    def _make_node(self, index: int) -> node.Node:
        row = self._vms[index]
        incarnation = ids.Incarnation(index + 1)
        configured = settings.Settings(
            node=settings.NodeSettings(
                name=ids.NodeName(row.name),
                data_centre=row.data_centre,
                listen='127.0.0.1:0',
                peer_listen='127.0.0.1:0',
            ),
            platform=settings.PlatformSettings('', '', ''),
        )
        external = node.ExternalSystems(
            log=self.log,
            vm_list=standin_platform.StandInVmList(self._vms),
            weight_store=standin_platform.StandInWeightStore(),
            targets=self._targets,
        )
        joined = self.network.join(
            ids.NodeName(row.name), row.peer_address, incarnation
        )
        rng = random.Random(self._rng.random())
        return node.Node(configured, external, rng, joined, incarnation)


def _list_vms(nodes: int, engines: int) -> list[platform.Vm]:
    rows = []
    for centre in range(_CENTRES):
        name = ids.DataCentre(f'centre-{centre:02}')
        rows.extend(_list_nodes(name, centre, nodes))
        rows.extend(_list_engines(name, centre, engines))
    return rows


def _list_nodes(
    centre: ids.DataCentre, number: int, count: int
) -> list[platform.Vm]:
    return [
        platform.Vm(
            name=f'{centre}-node-{index:02}',
            kind=platform.VmKind.NODE,
            data_centre=centre,
            address=f'10.{number}.0.{index}:80',
            peer_address=f'10.{number}.0.{index}:81',
        )
        for index in range(count)
    ]


def _list_engines(
    centre: ids.DataCentre, number: int, count: int
) -> list[platform.Vm]:
    return [
        platform.Vm(
            name=f'{centre}-engine-{index:03}',
            kind=platform.VmKind.ENGINE,
            data_centre=centre,
            address=f'10.{number}.1.{index}:80',
            # No pool selects them: the holder's plans are measured apart,
            # and here one data centre would plan for all the others.
            labels={'model': 'unpooled'},
        )
        for index in range(count)
    ]


def _read_resident() -> int:
    """Returns the resident size of this process in bytes."""
    pages = int(pathlib.Path('/proc/self/statm').read_text().split()[1])
    return pages * resource.getpagesize()
