"""Nodes of several data data_centres that share one log, in one process."""

import asyncio
import random

from expression import Error

from waxwingport.configuration import distribution
from waxwingport.configuration import reader
from waxwingport.configuration import records
from waxwingport.configuration import snapshots
from waxwingport.configuration import state
from waxwingport import ids
from waxwingport.membership import base as membership
from waxwingport.outside import base
from waxwingport.peers import memory
from waxwingport.standins import platform


class NodeLog(base.Log):
    """One node's access to the log, which can fail or stop answering."""

    def __init__(self, log):
        self.log = log
        self.down = False
        self.silent = False

    async def append(self, stream, body):
        if self.down:
            return self._refuse()
        return await self.log.append(stream, body)

    async def read(self, stream, offset, limit=1000, wait=0.0):
        if self.silent:
            await asyncio.get_running_loop().create_future()
        if self.down:
            return self._refuse()
        page = await self.log.read(stream, offset, limit, wait)
        return self._refuse() if self.down else page

    def _refuse(self):
        kind = base.LogFaultKind.UNAVAILABLE
        return Error(base.LogFault(kind, 'cut off from the log'))


class Node:
    def __init__(self, cluster, data_centre, index):
        self.cluster = cluster
        self.data_centre = data_centre
        self.name = ids.NodeName(f'{data_centre}-{index}')
        self.log = NodeLog(cluster.log)
        self.tasks = []
        self.start()

    @property
    def member(self):
        return membership.Member(
            self.name, ids.DataCentre(self.data_centre), self.name, None
        )

    @property
    def revision(self):
        return self.state.revision

    def start(self):
        """Creates the node's parts with an empty state."""
        self.state = state.ConfigurationState()
        self.transport = self.cluster.network.join(
            self.name, self.name, ids.Incarnation(0)
        )
        self.members = membership.StaticMembership(self.member)
        self.distribution = distribution.Distribution(
            self.log,
            self.state,
            self.members,
            self.transport,
            rng=random.Random(self.name),
        )
        self.writer = snapshots.SnapshotWriter(
            self.log,
            self.state,
            self.distribution.reader,
            self.members,
            self.cluster.snapshot_settings,
        )

    def run(self):
        others = [each for each in self.cluster.nodes if each is not self]
        self.members.others = [each.member for each in others]
        coroutines = [self.distribution.run(), self.writer.run()]
        self.tasks = [asyncio.ensure_future(each) for each in coroutines]

    async def crash(self):
        """Stops the node; the others still list it as a live member."""
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        self.tasks = []
        await self.transport.close()

    async def restart(self):
        await self.crash()
        self.start()
        self.run()


class Cluster:
    def __init__(self, data_centres=3, size=4, snapshot_settings=None, **log):
        log.setdefault('retention', 1e9)
        self.snapshot_settings = snapshot_settings
        self.log = platform.StandInLog(platform.StandInLogSettings(**log))
        self.network = memory.MemoryNetwork(0.0005)
        self.nodes = []
        for data_centre in 'abcdefgh'[:data_centres]:
            for index in range(size):
                self.nodes.append(Node(self, data_centre, index))
        for node in self.nodes:
            node.run()

    @property
    def revisions(self):
        return [node.revision for node in self.nodes]

    def list_data_centre(self, data_centre):
        return [node for node in self.nodes if node.data_centre == data_centre]

    def list_readers(self, data_centre):
        nodes = self.list_data_centre(data_centre)
        return [node for node in nodes if node.distribution.is_reader()]

    def list_names(self, nodes):
        return {node.name for node in nodes}

    async def append(self, change):
        body = records.encode(change)
        return (await self.log.append(reader.STREAM, body)).ok

    async def await_revision(self, revision, nodes=None):
        """Returns how many seconds it took until all have ``revision``."""
        loop = asyncio.get_running_loop()
        start = loop.time()
        nodes = self.nodes if nodes is None else nodes
        found = await asyncio.gather(
            *(node.state.wait_beyond(revision - 1, 60.0) for node in nodes)
        )
        assert all(found), self.revisions
        return loop.time() - start

    async def close(self):
        for node in self.nodes:
            await node.crash()
