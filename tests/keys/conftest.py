import asyncio

import pytest

from waxwingport import ids
from waxwingport.keys import index
from waxwingport.membership import base as membership
from waxwingport.peers import memory
from waxwingport.standins import platform

WINDOW = 40.0


class Cluster:
    """Nodes with a key index over an in-memory network and log."""

    def __init__(self):
        self.log = platform.StandInLog(
            platform.StandInLogSettings(retention=2 * WINDOW)
        )
        self.network = memory.MemoryNetwork()
        self.members = {}
        self.nodes = {}
        self.tasks = {}
        self._incarnations = 0

    def start(self, name, data_centre='m', log=None):
        self._incarnations += 1
        address = f'{name}:1'
        member = membership.Member(
            ids.NodeName(name), data_centre, address, self._incarnations
        )
        end = self.network.join(name, address, self._incarnations)
        view = membership.StaticMembership(member)
        self.members[name] = view
        for other in self.members.values():
            other.others = [
                peer.local_member
                for peer in self.members.values()
                if peer is not other
            ]
        found = index.LogKeyIndex(log or self.log, view, end, lambda: WINDOW)
        self.nodes[name] = found
        self.tasks[name] = asyncio.ensure_future(found.run())
        return found

    def crash(self, name):
        """Ends a node; the others' membership still lists it as live."""
        self.tasks.pop(name).cancel()
        for task in self.nodes.pop(name)._tasks.values():
            task.cancel()
        self.network.leave(f'{name}:1')

    async def claim(self, name, request, key='k', text='f', timeout=5.0):
        return await self.nodes[name].claim(
            ids.CallerName('caller'),
            key,
            text,
            ids.RequestId(request),
            timeout,
        )

    async def stop(self):
        for name in list(self.nodes):
            self.crash(name)


@pytest.fixture
async def cluster():
    made = Cluster()
    yield made
    await made.stop()
