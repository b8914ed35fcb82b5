"""Contract tests that run on the fake and on the pynng transport."""

import asyncio

import pytest

from waxwingport.peers import base
from waxwingport.peers import memory
from waxwingport.peers import transport

SETTINGS = base.PeerSettings(secret='s' * 16, connect_timeout=0.5)
STEP = base.MessageKind.STEP
PULL = base.MessageKind.PULL


class MemoryWorld:
    def __init__(self):
        self.network = memory.MemoryNetwork()
        self.ends = []

    def join(self, name, incarnation=1, address=None):
        address = address or f'10.0.0.{len(self.ends) + 1}:1'
        end = self.network.join(name, address, incarnation)
        self.ends.append(end)
        return end


class PynngWorld:
    def __init__(self):
        self.ends = []

    def join(self, name, incarnation=1, address='127.0.0.1:0'):
        end = transport.PynngTransport(name, address, incarnation, SETTINGS)
        self.ends.append(end)
        return end


@pytest.fixture(params=[MemoryWorld, PynngWorld])
async def world(request):
    made = request.param()
    yield made
    for end in made.ends:
        await end.close()


def peer_of(end, incarnation=None):
    return base.Peer(end.name, end.address, incarnation)


def count_runs(end, kind=STEP, answer=b'done', wait=0.0):
    runs = []

    async def handle(sender, body):
        runs.append((sender, body))
        await asyncio.sleep(wait)
        return answer + body

    end.set_handler(kind, handle)
    return runs


async def test_request_returns_the_answer(world):
    first, second = world.join('a'), world.join('b')
    runs = count_runs(second)
    outcome = await first.request(peer_of(second), STEP, b'1', 5)
    assert outcome.ok == b'done1'
    assert runs == [('a', b'1')]


async def test_answers_match_their_requests_out_of_order(world):
    first, second = world.join('a'), world.join('b')

    async def handle(_, body):
        await asyncio.sleep(0.05 if body == b'0' else 0)
        return body

    second.set_handler(STEP, handle)
    peer = peer_of(second)
    outcomes = await asyncio.gather(
        *(first.request(peer, STEP, b'%d' % n, 5) for n in range(20))
    )
    assert [outcome.ok for outcome in outcomes] == [
        b'%d' % n for n in range(20)
    ]


async def test_two_way_requests_at_once(world):
    first, second = world.join('a'), world.join('b')
    count_runs(first, answer=b'a')
    count_runs(second, answer=b'b')
    outcomes = await asyncio.gather(
        first.request(peer_of(second), STEP, b'', 5),
        second.request(peer_of(first), STEP, b'', 5),
    )
    assert [outcome.ok for outcome in outcomes] == [b'b', b'a']


async def test_message_arrives_once(world):
    first, second = world.join('a'), world.join('b')
    received = asyncio.Queue()
    second.set_receiver(
        PULL, lambda sender, body: received.put_nowait((sender, body))
    )
    assert first.send(peer_of(second), PULL, b'x')
    assert await asyncio.wait_for(received.get(), 5) == ('a', b'x')
    assert received.empty()


FAULTS = {
    'unknown kind': (base.PeerFaultKind.REFUSED, False),
    'other incarnation': (base.PeerFaultKind.GONE, False),
    'slow handler': (base.PeerFaultKind.TIMEOUT, True),
}


@pytest.mark.parametrize('fault', sorted(FAULTS))
async def test_fault_and_whether_it_may_have_run(world, fault):
    first, second = world.join('a'), world.join('b', incarnation=7)
    runs = []
    incarnation = None
    if fault == 'slow handler':
        runs = count_runs(second, wait=10)
    if fault == 'other incarnation':
        runs = count_runs(second)
        incarnation = 6
    outcome = await first.request(peer_of(second, incarnation), STEP, b'', 0.6)
    kind, sent = FAULTS[fault]
    assert (outcome.error.kind, outcome.error.sent) == (kind, sent)
    assert len(runs) == (1 if sent else 0)


async def test_late_answer_is_dropped(world):
    first, second = world.join('a'), world.join('b')
    runs = count_runs(second, wait=0.4)
    peer = peer_of(second)
    outcome = await first.request(peer, STEP, b'old', 0.2)
    assert outcome.error.sent
    outcome = await first.request(peer, STEP, b'new', 5)
    assert outcome.ok == b'donenew'
    assert [body for _, body in runs] == [b'old', b'new']


async def test_unreachable_peer_does_not_delay_others(world):
    first, second, third = (world.join(name) for name in 'abc')
    count_runs(third)
    peer = peer_of(second)
    await second.close()
    lost = asyncio.ensure_future(first.request(peer, STEP, b'', 1.0))
    outcome = await first.request(peer_of(third), STEP, b'', 5)
    assert outcome.ok == b'done'
    assert not lost.done()
    assert (await lost).is_error()


async def test_new_incarnation_at_the_same_address(world):
    first, second = world.join('a'), world.join('b', incarnation=5)
    old = count_runs(second, answer=b'old')
    await first.request(peer_of(second, 5), STEP, b'', 5)
    await second.close()
    await asyncio.sleep(0.2)  # Until the end of the connection is detected.
    third = world.join('b', 9, second.address)
    new = count_runs(third, answer=b'new')
    outcome = await first.request(peer_of(third, 5), STEP, b'', 3)
    assert not outcome.is_ok()
    assert not outcome.error.sent
    outcome = await first.request(peer_of(third, 9), STEP, b'', 3)
    assert outcome.ok == b'new'
    assert (len(old), len(new)) == (1, 1)
