import asyncio
import random

import pytest

from tests import bench
from waxwingport import ids
from waxwingport.membership import base as membership
from waxwingport.peers import base as peers
from waxwingport.peers import memory
from waxwingport.routing import model
from waxwingport.standins import engine
from waxwingport.standins import factory
from waxwingport.targets import digests
from waxwingport.targets import poller

pytestmark = pytest.mark.looptime
DATA_CENTRE = ids.DataCentre('muenchen')


class Node:
    """A target table with a poller, which counts the polls that it sends."""

    def __init__(self, number, network, members, vms, engines):
        self.bench = bench.Bench(vms)
        for target in self.bench.targets:
            target.engine = CountingEngine(engines[target.name])
        member = members[number]
        self.transport = network.join(
            member.name, member.peer_address, member.incarnation
        )
        others = [row for row in members if row is not member]
        self.members = membership.StaticMembership(member, others)
        self.index = self.bench.gate.router.index
        self.poller = poller.EnginePoller(
            self.bench.targets, self.index, self.members, self.transport
        )
        self.task = asyncio.create_task(self.poller.run())

    def find(self, name):
        return self.bench.targets.find(name)

    def count_polls(self):
        return [row.engine.polls for row in self.bench.targets]


class CountingEngine:
    """Forwards all calls to an engine and counts the polls of its load."""

    def __init__(self, found):
        self.found = found
        self.polls = 0

    def __getattr__(self, name):
        return getattr(self.found, name)

    async def read_load(self):
        self.polls += 1
        return await self.found.read_load()


class Cluster:
    def __init__(self, nodes, engines):
        self.network = memory.MemoryNetwork()
        self.vms = factory.make_vms(engines)
        self.engines = {
            vm.name: engine.StandInEngine(vm.name) for vm in self.vms
        }
        self.members = [
            membership.Member(
                ids.NodeName(f'n{number}'),
                DATA_CENTRE,
                f'10.1.0.{number}:1',
                ids.Incarnation(1),
            )
            for number in range(nodes)
        ]
        self.nodes = [
            Node(number, self.network, self.members, self.vms, self.engines)
            for number in range(nodes)
        ]

    def stop(self):
        for node in self.nodes:
            node.task.cancel()


@pytest.fixture
async def cluster():
    made = []

    def make(nodes=3, engines=6):
        made.append(Cluster(nodes, engines))
        return made[-1]

    yield make
    for found in made:
        found.stop()
    await asyncio.sleep(0)


async def generate(found, prompt, count=1):
    for number in range(count):
        request = bench.make_generation(f'g{number}', prompt)
        async for _ in found.stream(request, 30.0):
            pass


async def test_one_node_polls_each_engine_and_all_know_its_load(cluster):
    found = cluster()
    await asyncio.sleep(10.0)
    for name in found.engines:
        polls = [row.find(name).engine.polls for row in found.nodes]
        # Each node polls once when it starts and then receives digests.
        assert sorted(polls)[:2] == [1, 1]
        assert max(polls) >= 30
        assert all(row.find(name).report is not None for row in found.nodes)
        assert all(row.find(name).weight_version for row in found.nodes)


async def test_a_node_polls_itself_when_no_digests_arrive(cluster):
    found = cluster(2, 6)
    await asyncio.sleep(3.0)
    found.network.partition({'10.1.0.0:1'}, {'10.1.0.1:1'})
    await asyncio.sleep(10.0)
    for node in found.nodes:
        assert all(polls > 0 for polls in node.count_polls())


async def test_digests_stay_within_their_byte_rate(cluster):
    found = cluster(1, 400)
    node = found.nodes[0]
    node.members.others += [
        membership.Member(
            ids.NodeName(f'absent-{number}'),
            DATA_CENTRE,
            f'10.2.0.{number}:1',
            1,
        )
        for number in range(26)
    ]
    await asyncio.sleep(2.0)
    before = found.network.sent_bytes
    for vm in found.vms:
        for block in range(200):
            node.poller._requested_blocks.add_block(vm.name, block)
            node.index.add_unconfirmed(vm.name, [block], 0.0, float('inf'))
    await asyncio.sleep(20.0)
    assert 0 < found.network.sent_bytes - before <= 20.0 * 16 * 1024


async def test_another_node_learns_of_requested_cached_prefixes(cluster):
    found = cluster(2, 2)
    prompt = 'system prompt ' * 40
    blocks = bench.hash_blocks(prompt)
    await generate(found.engines['engine-0'], prompt)
    await asyncio.sleep(1.0)
    poll, other = sorted(
        found.nodes,
        key=lambda row: row.poller.is_responsible('engine-0'),
        reverse=True,
    )
    rng = random.Random(1)
    assert poll.index.match(blocks, 4, rng) == {'engine-0': len(blocks)}
    assert other.index.match(blocks, 4, rng) == {}
    poll.index.record_requested(blocks)
    await asyncio.sleep(2.5)
    assert other.index.match(blocks, 4, rng) == {'engine-0': len(blocks)}


async def test_lost_cache_events_remove_the_entries_of_the_engine(cluster):
    found = cluster(1, 1)
    node = found.nodes[0]
    prompt = 'a prompt that repeats itself ' * 20
    blocks = bench.hash_blocks(prompt)
    await generate(found.engines['engine-0'], prompt)
    await asyncio.sleep(1.0)
    assert node.index.match(blocks, 4, random.Random(1))
    found.engines['engine-0']._next_event += 3
    await generate(found.engines['engine-0'], 'another prompt ' * 20)
    await asyncio.sleep(1.0)
    assert node.index.match(blocks, 4, random.Random(1)) == {}


async def test_new_weights_remove_the_cached_prefixes_at_every_node(cluster):
    found = cluster(2, 1)
    prompt = 'system prompt ' * 40
    blocks = bench.hash_blocks(prompt)
    await generate(found.engines['engine-0'], prompt)
    await asyncio.sleep(1.0)
    for node in found.nodes:
        node.index.record_requested(blocks)
    await asyncio.sleep(2.5)
    found.engines['engine-0']._start_swap(ids.WeightVersion(2))
    await asyncio.sleep(4.0)
    for node in found.nodes:
        assert node.find('engine-0').weight_version == 2
        assert node.index.match(blocks, 4, random.Random(1)) == {}


@pytest.mark.parametrize('fault', ['crashed', 'silent'])
async def test_an_unreachable_engine_turns_suspect_and_recovers(
    cluster, fault
):
    found = cluster(1, 4)
    await asyncio.sleep(2.0)
    broken = found.engines['engine-0']
    setattr(broken, fault, True)
    target = found.nodes[0].find('engine-0')
    await asyncio.sleep(6.0)
    assert target.state is model.TargetState.SUSPECT
    setattr(broken, fault, False)
    await asyncio.sleep(2.0)
    assert target.state is model.TargetState.JOINING
    await asyncio.sleep(11.0)
    assert target.state is model.TargetState.LIVE


async def test_a_node_that_reaches_no_engine_suspects_at_most_half(
    cluster,
):
    found = cluster(1, 4)
    await asyncio.sleep(2.0)
    for broken in found.engines.values():
        broken.crashed = True
    await asyncio.sleep(5.0)
    suspects = [
        row
        for row in found.nodes[0].bench.targets
        if row.state is model.TargetState.SUSPECT
    ]
    assert len(suspects) <= 2


async def test_an_invalid_digest_is_ignored(cluster):
    found = cluster(2, 2)
    await asyncio.sleep(3.0)
    kind = peers.MessageKind.LOAD
    for body in (b'', b'\xc1', b'\x92\x01\x91\x91\xa1x'):
        found.nodes[0].transport.send(found.members[1].peer, kind, body)
    row = digests.EngineSummary(digests.hash_name('nobody'), 1, 1, 1, 1)
    body = bench.encode(digests.Digest(1, (row,)))
    found.nodes[0].transport.send(found.members[1].peer, kind, body)
    await asyncio.sleep(1.0)
    assert not found.nodes[1].task.done()
