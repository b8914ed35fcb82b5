import asyncio
import random

import pytest

from waxwingport import ids
from waxwingport.membership import base
from waxwingport.membership import live
from waxwingport.outside import base as platform
from waxwingport.peers import memory

DATA_CENTRES = ('muenchen', 'nuernberg', 'augsburg')


class World:
    """Nodes of several data centres in memory, and the platform's list."""

    def __init__(self):
        self.network = memory.MemoryNetwork()
        self.nodes = {}
        self.listed = {}
        self.list_down = False
        self._tasks = {}
        self._incarnation = 0

    def address(self, name):
        data_centre, _, number = name.rpartition('-')
        return f'10.{sorted(DATA_CENTRES).index(data_centre)}.0.{number}:1'

    def start(self, name, listed=True, ready=lambda: True):
        self._incarnation += 1
        address = self.address(name)
        data_centre = name.rpartition('-')[0]
        end = self.network.join(name, address, self._incarnation)
        local_member = base.Member(
            ids.NodeName(name), data_centre, address, self._incarnation
        )
        rng = random.Random(self._incarnation)
        node = live.LiveMembership(local_member, end, rng, is_ready=ready)
        self.nodes[name] = node
        self._tasks[name] = asyncio.ensure_future(self._run(node))
        if listed:
            self.listed[name] = platform.Vm(
                name,
                platform.VmKind.NODE,
                data_centre,
                '10.0.0.0:80',
                peer_address=address,
            )
        return node

    async def _run(self, node):
        running = asyncio.ensure_future(node.run())
        try:
            while True:
                if not self.list_down:
                    node.update(tuple(self.listed.values()))
                await asyncio.sleep(0.5)
        finally:
            running.cancel()

    def start_all(self, data_centres=DATA_CENTRES, size=4):
        for data_centre in data_centres:
            for number in range(1, size + 1):
                self.start(f'{data_centre}-{number}')

    def crash(self, name, listed=False):
        self._tasks.pop(name).cancel()
        self.network.leave(self.address(name))
        if not listed:
            self.listed.pop(name, None)
        return self.nodes.pop(name)

    def isolate(self, data_centre):
        inside = {
            self.address(n) for n in self.nodes if n.startswith(data_centre)
        }
        outside = {self.address(n) for n in self.nodes} - inside
        self.network.partition(inside, outside)

    def states(self, observer, data_centre=None):
        members = self.nodes[observer].list_members(data_centre)
        return {member.name: member.state.value for member in members}

    async def stop(self):
        for task in self._tasks.values():
            task.cancel()
        await asyncio.gather(*self._tasks.values(), return_exceptions=True)


@pytest.fixture
async def world():
    made = World()
    yield made
    await made.stop()
