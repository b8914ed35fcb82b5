"""Measurement of what an idle node spends on control."""

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

_DATA_CENTRES = 25
_DATA_CENTRE_SIZES = ((3, 40), (6, 80), (2, 400))
"""Pairs of the nodes and the engines in each data centre."""
_WARM_UP_S = 4.0
_MIB = 1024 * 1024
_CPU_TARGET_PERCENT = 4.8
_MEMORY_TARGET_MIB = 32.0
_TRAFFIC_TARGET_KIB = 16.0


class ControlCost(base.Measurement):
    """CPU, memory and traffic of control in one data centre's nodes.

    Runs the nodes of one data centre in this process, on an in-memory network
    and stand-ins; the VM list names the VMs of the other data centres, but
    nothing runs there.
    """

    name = 'control'
    summary = 'CPU, memory and traffic of idle nodes, up to 10,000 engines'

    async def run(self, options: base.Options) -> base.Report:
        """Returns the figures of each size."""
        figures: list[base.Figure] = []
        for nodes, engines in _DATA_CENTRE_SIZES:
            figures.extend(await _measure(nodes, engines, options))
        return base.Report(self.name, options, tuple(figures))


async def _measure(
    nodes: int, engines: int, options: base.Options
) -> list[base.Figure]:
    local = _LocalDataCentre(nodes, engines, options.seed)
    memory_before = _read_resident_size()
    await local.start()
    await asyncio.sleep(_WARM_UP_S)
    sent_before = local.network.sent_bytes
    appends_before = local.log.appends
    cpu_before = time.process_time()
    start = time.monotonic()
    await asyncio.sleep(options.seconds)
    elapsed = time.monotonic() - start
    cpu_share = (time.process_time() - cpu_before) / elapsed / local.size
    sent_rate = (local.network.sent_bytes - sent_before) / elapsed / local.size
    append_rate = (local.log.appends - appends_before) / elapsed
    memory_growth = (_read_resident_size() - memory_before) / local.size
    await local.stop()
    title = f'{local.size} nodes, {local.engines} engines here'
    is_design_size = (nodes, engines) == _DATA_CENTRE_SIZES[-1]
    return [
        base.Figure(
            f'{title}: CPU a node',
            cpu_share * 100,
            '% of a core',
            _CPU_TARGET_PERCENT if is_design_size else None,
        ),
        base.Figure(
            f'{title}: memory a node',
            memory_growth / _MIB,
            'MiB',
            _MEMORY_TARGET_MIB if is_design_size else None,
        ),
        base.Figure(
            f'{title}: sent a node',
            sent_rate / 1024,
            'KiB/s',
            _TRAFFIC_TARGET_KIB if is_design_size else None,
        ),
        base.Figure(f'{title}: log appends', append_rate, '1/s'),
    ]


class _LocalDataCentre:
    """The running nodes of one data centre; the others are only listed."""

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
            new_node = self._make_node(index)
            self._nodes.append(new_node)
            await new_node.start()

    async def stop(self) -> None:
        """Stops the nodes."""
        for running_node in self._nodes:
            await running_node.stop()

    def _make_node(self, index: int) -> node.Node:
        vm = self._vms[index]
        incarnation = ids.Incarnation(index + 1)
        node_settings = settings.Settings(
            node=settings.NodeSettings(
                name=ids.NodeName(vm.name),
                data_centre=vm.data_centre,
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
        peer_transport = self.network.join(
            ids.NodeName(vm.name), vm.peer_address, incarnation
        )
        rng = random.Random(self._rng.random())
        return node.Node(
            node_settings, external, rng, peer_transport, incarnation
        )


def _list_vms(nodes: int, engines: int) -> list[platform.Vm]:
    vms = []
    for number in range(_DATA_CENTRES):
        name = ids.DataCentre(f'centre-{number:02}')
        vms.extend(_list_nodes(name, number, nodes))
        vms.extend(_list_engines(name, number, engines))
    return vms


def _list_nodes(
    data_centre: ids.DataCentre, number: int, count: int
) -> list[platform.Vm]:
    return [
        platform.Vm(
            name=f'{data_centre}-node-{index:02}',
            kind=platform.VmKind.NODE,
            data_centre=data_centre,
            address=f'10.{number}.0.{index}:80',
            peer_address=f'10.{number}.0.{index}:81',
        )
        for index in range(count)
    ]


def _list_engines(
    data_centre: ids.DataCentre, number: int, count: int
) -> list[platform.Vm]:
    return [
        platform.Vm(
            name=f'{data_centre}-engine-{index:03}',
            kind=platform.VmKind.ENGINE,
            data_centre=data_centre,
            address=f'10.{number}.1.{index}:80',
            # No pool selects these engines. Otherwise the only running data
            # centre would plan weight loads for all the others; another
            # measurement covers the lease holder's plans.
            labels={'model': 'unpooled'},
        )
        for index in range(count)
    ]


def _read_resident_size() -> int:
    """Returns the resident size of this process in bytes."""
    pages = int(pathlib.Path('/proc/self/statm').read_text().split()[1])
    return pages * resource.getpagesize()
