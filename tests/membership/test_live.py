"""Membership of nodes that run in one process, in virtual time."""

import asyncio

import pytest

from waxwingport.membership import base
from waxwingport.membership import rendezvous
from waxwingport.outside import base as platform

pytestmark = pytest.mark.looptime


async def test_all_nodes_see_all_others_live(world):
    world.start_all()
    await asyncio.sleep(10)
    for name in world.nodes:
        states = world.states(name)
        assert states == dict.fromkeys(world.nodes, 'live')


async def test_crash_is_suspected_then_gone(world):
    world.start_all(size=3)
    await asyncio.sleep(40)
    world.crash('muenchen-2')
    await asyncio.sleep(4)
    assert world.states('muenchen-1')['muenchen-2'] == 'suspect'
    await asyncio.sleep(16)
    assert 'muenchen-2' not in world.states('muenchen-1')
    assert 'muenchen-2' not in world.states('nuernberg-1')


async def test_suspect_that_is_heard_again_is_live(world):
    world.start_all(data_centres=['muenchen'])
    await asyncio.sleep(10)
    before = world.nodes['muenchen-1'].find('muenchen-2').incarnation
    others = {world.address(n) for n in world.nodes if n[-1] != '2'}
    world.network.partition({world.address('muenchen-2')}, others)
    await asyncio.sleep(6)
    assert world.states('muenchen-1')['muenchen-2'] == 'suspect'
    world.network.heal()
    await asyncio.sleep(2)
    found = world.nodes['muenchen-1'].find('muenchen-2')
    assert found.state is base.MemberState.LIVE
    assert found.incarnation == before


async def test_higher_incarnation_replaces_the_member(world):
    world.start_all(data_centres=['muenchen'])
    await asyncio.sleep(5)
    before = world.nodes['muenchen-1'].find('muenchen-2').incarnation
    world.crash('muenchen-2', listed=True)
    world.start('muenchen-2')
    await asyncio.sleep(2)
    found = world.nodes['muenchen-1'].find('muenchen-2')
    assert found.incarnation > before
    assert found.state is base.MemberState.LIVE


async def test_leave_is_announced_at_once(world):
    world.start_all(size=2)
    await asyncio.sleep(10)
    world.nodes['muenchen-2'].leave()
    await asyncio.sleep(0.1)
    assert world.states('muenchen-1')['muenchen-2'] == 'leaving'
    await asyncio.sleep(5)
    assert world.states('nuernberg-1')['muenchen-2'] == 'leaving'


async def test_node_listed_as_leaving_is_leaving(world):
    world.start_all(data_centres=['muenchen'])
    await asyncio.sleep(5)
    vm = world.listed['muenchen-2']
    world.listed['muenchen-2'] = platform.Vm(
        vm.name,
        vm.kind,
        vm.data_centre,
        vm.address,
        platform.VmState.LEAVING,
        vm.peer_address,
    )
    await asyncio.sleep(1)
    assert world.states('muenchen-1')['muenchen-2'] == 'leaving'


async def test_node_that_is_not_ready_is_joining(world):
    world.start_all(data_centres=['muenchen'], size=2)
    ready = []
    world.start('muenchen-3', ready=lambda: bool(ready))
    await asyncio.sleep(5)
    assert world.states('muenchen-1')['muenchen-3'] == 'joining'
    ready.append(True)
    await asyncio.sleep(2)
    assert world.states('muenchen-1')['muenchen-3'] == 'live'


async def test_members_stay_live_while_the_list_is_down(world):
    world.start_all()
    await asyncio.sleep(10)
    world.list_down = True
    world.crash('muenchen-3')
    await asyncio.sleep(60)
    expected = dict.fromkeys(world.nodes, 'live')
    assert world.states('muenchen-1') == expected
    assert world.states('augsburg-1') == expected


async def test_unlisted_node_that_sends_heartbeats_is_a_member(world):
    world.start_all(data_centres=['muenchen'], size=2)
    node = world.start('muenchen-9', listed=False)
    await asyncio.sleep(3)
    assert node.local_member.state is base.MemberState.LIVE
    assert world.states('muenchen-1')['muenchen-9'] == 'live'


async def test_isolated_data_centre_is_suspect_until_healed(world):
    world.start_all()
    await asyncio.sleep(20)
    world.isolate('muenchen')
    await asyncio.sleep(20)
    inside = world.states('muenchen-1')
    for name, state in inside.items():
        expected = 'live' if name.startswith('muenchen') else 'suspect'
        assert state == expected
    assert world.states('nuernberg-1', 'muenchen') == dict.fromkeys(
        [f'muenchen-{n}' for n in (1, 2, 3, 4)], 'suspect'
    )
    assert world.states('nuernberg-1')['augsburg-1'] == 'live'
    world.network.heal()
    await asyncio.sleep(15)
    for name in world.nodes:
        assert world.states(name) == dict.fromkeys(world.nodes, 'live')


async def test_all_nodes_replaced_while_isolated(world):
    world.start_all(size=3)
    await asyncio.sleep(20)
    world.isolate('muenchen')
    for number in (1, 2, 3):
        world.crash(f'muenchen-{number}')
        world.start(f'muenchen-{number + 10}')
    world.isolate('muenchen')
    await asyncio.sleep(30)
    world.network.heal()
    await asyncio.sleep(20)
    for name in world.nodes:
        assert world.states(name) == dict.fromkeys(world.nodes, 'live')


async def test_crashed_gateway_is_replaced(world):
    world.start_all()
    await asyncio.sleep(20)
    names = [name for name in world.nodes if name.startswith('muenchen')]
    for name in rendezvous.rank('muenchen>augsburg', names)[:2]:
        world.crash(name)
    await asyncio.sleep(40)
    for name in world.nodes:
        assert world.states(name) == dict.fromkeys(world.nodes, 'live')


async def test_hints_reach_every_node_by_maximum(world):
    world.start_all()
    await asyncio.sleep(10)
    heard = []
    world.nodes['augsburg-4'].listen_for_hints(
        lambda *hint: heard.append(hint)
    )
    world.nodes['muenchen-1'].publish_hint('configuration', 7)
    world.nodes['nuernberg-1'].publish_hint('configuration', 5)
    await asyncio.sleep(8)
    for node in world.nodes.values():
        assert node.hints.highest == {'configuration': 7}
    assert heard[-1] == ('configuration', 7)
    near = world.nodes['muenchen-2']
    assert near.find_hint('muenchen-1', 'configuration') == 7


async def test_own_pause_raises_no_suspicion(world):
    world.start_all(data_centres=['muenchen'])
    await asyncio.sleep(10)
    node = world.nodes['muenchen-1']
    node._roster.discount_pause(-30)
    node._checked_at -= 30
    await asyncio.sleep(0.5)
    assert set(world.states('muenchen-1').values()) == {'live'}


async def test_interval_grows_with_the_data_centre(world):
    world.start_all(data_centres=['muenchen'], size=2)
    await asyncio.sleep(2)
    node = world.nodes['muenchen-1']
    assert node.interval == 1
    node._cache['muenchen'] = [node.local_member] * 96
    assert node.interval == 3
