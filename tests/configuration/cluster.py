"""Nodes of several data centres on one log, in one process."""

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


class OwnLog(base.Log):
    """One node's way to the log, which can break or fall silent."""

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
    def __init__(self, cluster, centre, index):
        self.cluster = cluster
        self.centre = centre
        self.name = ids.NodeName(f'{centre}-{index}')
        self.log = OwnLog(cluster.log)
        self.tasks = []
        self.start()

    @property
    def member(self):
        return membership.Member(
            self.name, ids.DataCentre(self.centre), self.name, None
        )

    @property
    def revision(self):
        return self.state.revision

    def start(self):
        """Starts with empty memory."""
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
        others = [row for row in self.cluster.nodes if row is not self]
        self.members.others = [row.member for row in others]
        work = [self.distribution.run(), self.writer.run()]
        self.tasks = [asyncio.ensure_future(row) for row in work]

    async def crash(self):
        """Stops; the others still take it for a live member."""
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
    def __init__(self, centres=3, size=4, snapshot_settings=None, **log):
        log.setdefault('retention', 1e9)
        self.snapshot_settings = snapshot_settings
        self.log = platform.StandInLog(platform.StandInLogSettings(**log))
        self.network = memory.MemoryNetwork(0.0005)
        self.nodes = []
        for centre in 'abcdefgh'[:centres]:
            for index in range(size):
                self.nodes.append(Node(self, centre, index))
        for node in self.nodes:
            node.run()

    @property
    def revisions(self):
        return [node.revision for node in self.nodes]

    def list_centre(self, centre):
        return [row for row in self.nodes if row.centre == centre]

    def list_readers(self, centre):
        rows = self.list_centre(centre)
        return [row for row in rows if row.distribution.is_reader()]

    def list_names(self, rows):
        return {row.name for row in rows}

    async def append(self, change):
        body = records.encode(change)
        return (await self.log.append(reader.STREAM, body)).ok

    async def await_revision(self, revision, rows=None):
        """Returns after how many seconds all nodes hold ``revision``."""
        loop = asyncio.get_running_loop()
        start = loop.time()
        rows = self.nodes if rows is None else rows
        found = await asyncio.gather(
            *(row.state.wait_beyond(revision - 1, 60.0) for row in rows)
        )
        assert all(found), self.revisions
        return loop.time() - start

    async def close(self):
        for node in self.nodes:
            await node.crash()
