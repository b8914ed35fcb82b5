import asyncio

import msgspec
import pytest

from tests import bench
from waxwingport import ids
from waxwingport.membership import base as membership
from waxwingport.outside import base as platform
from waxwingport.peers import memory
from waxwingport.standins import factory
from waxwingport.standins import platform as standin
from waxwingport.targets import listing

pytestmark = pytest.mark.looptime
DATA_CENTRE = ids.DataCentre('muenchen')


class CountingList(standin.StandInVmList):
    def __init__(self):
        super().__init__()
        self.reads = 0

    async def read(self):
        self.reads += 1
        return await super().read()


class Cluster:
    """Several nodes that follow one VM list, each with a target table."""

    def __init__(self, count):
        self.network = memory.MemoryNetwork()
        self.vms = factory.make_vms(4)
        self.lists, self.benches, self.tasks = [], [], []
        members = [
            membership.Member(
                ids.NodeName(f'n{number}'), DATA_CENTRE, f'n{number}:1', 1
            )
            for number in range(count)
        ]
        for member in members:
            transport = self.network.join(member.name, member.peer_address, 1)
            found = bench.Bench([])
            source = CountingList()
            others = [row for row in members if row is not member]
            follower = listing.VmFollower(
                source,
                [found.targets.update],
                membership.StaticMembership(member, others),
                transport,
            )
            self.lists.append(source)
            self.benches.append(found)
            self.tasks.append(asyncio.create_task(follower.run()))
        self.replace(self.vms)

    def replace(self, vms):
        for source in self.lists:
            source.replace(vms)

    def list_states(self, name):
        return [row.targets.find(name).state.value for row in self.benches]


@pytest.fixture
async def start():
    """Returns a function that starts a cluster on the test's clock."""
    made = []

    def make():
        made.append(Cluster(5))
        return made[-1]

    yield make
    for task in made[0].tasks:
        task.cancel()


def leave(vms):
    first = msgspec.structs.replace(vms[0], state=platform.VmState.LEAVING)
    return [first, *vms[1:]]


async def test_a_leaving_target_is_known_everywhere_within_three_seconds(
    start,
):
    cluster = start()
    await asyncio.sleep(10.0)
    cluster.replace(leave(cluster.vms))
    await asyncio.sleep(3.0)
    assert cluster.list_states('engine-0') == ['leaving'] * 5


async def test_two_nodes_read_the_list_for_all(start):
    cluster = start()
    await asyncio.sleep(5.0)
    before = [row.reads for row in cluster.lists]
    await asyncio.sleep(10.0)
    reads = [
        row.reads - count
        for row, count in zip(cluster.lists, before, strict=True)
    ]
    assert sum(count > 0 for count in reads) == 2


async def test_a_node_cut_off_from_the_readers_reads_for_itself(start):
    cluster = start()
    await asyncio.sleep(5.0)
    ends = {f'n{number}:1' for number in range(5)}
    for end in ends:
        cluster.network.partition({end}, ends - {end})
    await asyncio.sleep(3.0)
    cluster.replace(leave(cluster.vms))
    await asyncio.sleep(3.0)
    assert cluster.list_states('engine-0') == ['leaving'] * 5


async def test_a_missed_change_is_read_from_the_list(start):
    cluster = start()
    await asyncio.sleep(5.0)
    ends = {f'n{number}:1' for number in range(5)}
    cluster.network.partition({'n0:1'}, ends - {'n0:1'})
    cluster.replace(cluster.vms[1:])
    await asyncio.sleep(1.0)
    cluster.network.heal()
    await asyncio.sleep(2.0)
    cluster.replace(leave(cluster.vms))
    await asyncio.sleep(3.0)
    assert cluster.list_states('engine-0') == ['leaving'] * 5
    assert all(len(row.targets) == 4 for row in cluster.benches)
