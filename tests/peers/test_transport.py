"""Tests of the transport over real sockets, beyond the contract."""

import asyncio

import hypothesis
from hypothesis import strategies
import pynng
import pytest

from waxwingport import ids
from waxwingport.peers import base
from waxwingport.peers import envelope
from waxwingport.peers import transport

SECRET = 's' * 16
STEP = base.MessageKind.STEP


@pytest.fixture
async def join():
    made = []

    def make(name, incarnation=1, listen='127.0.0.1:0', **changes):
        settings = base.PeerSettings(
            **{'secret': SECRET, 'connect_timeout': 0.5} | changes
        )
        end = transport.PynngTransport(name, listen, incarnation, settings)
        made.append(end)
        return end

    yield make
    for end in made:
        await end.close()


@pytest.fixture
def raw():
    """Returns a function that sends raw bytes to a node's address."""
    sockets = []

    def send(address, *messages):
        socket = pynng.Push0(dial=f'tcp://{address}')
        sockets.append(socket)
        for message in messages:
            socket.send(message)

    yield send
    for socket in sockets:
        socket.close()


def peer_of(end, incarnation=None):
    return base.Peer(end.name, end.address, incarnation)


def count_runs(end):
    runs = []

    async def handle(sender, body):
        runs.append(body)
        return body

    end.set_handler(STEP, handle)
    return runs


def forge(
    target, secret=SECRET, sequence=1, version=1, kind='step', **changes
):
    forged = envelope.Envelope(
        version=version,
        role=envelope.Role.REQUEST,
        sender=ids.NodeName('x'),
        address='127.0.0.1:9',
        incarnation=ids.Incarnation(3),
        recipient=target.incarnation,
        sequence=sequence,
        number=1,
        kind=kind,
        reset=False,
        body=b'forged',
    )
    for name, value in changes.items():
        forged = envelope.msgspec.structs.replace(forged, **{name: value})
    return envelope.Sealer(secret).seal(forged)


async def wait_until(condition):
    for _ in range(200):
        if condition():
            return
        await asyncio.sleep(0.01)


REFUSED = {
    'other secret': {'secret': 'wrong' * 4},
    'an earlier incarnation of the receiver': {'recipient': 99},
    'unlisted host': {'address': '10.9.9.9:1'},
    'unknown kind': {'kind': 'from-the-future'},
}


@pytest.mark.parametrize('case', sorted(REFUSED))
async def test_message_not_from_a_peer_is_refused(join, raw, case):
    end = join('b')
    end.allow_hosts(frozenset({'127.0.0.1'}))
    runs = count_runs(end)
    raw(end.address, forge(end, **REFUSED[case]), forge(end, sequence=9))
    await wait_until(lambda: runs)
    await asyncio.sleep(0.1)
    assert runs == [b'forged']


async def test_malformed_message_is_refused(join, raw):
    end = join('b')
    runs = count_runs(end)
    raw(end.address, b'', b'x', b'y' * 5000, forge(end)[:-1])
    await wait_until(lambda: end.refused == 4)
    assert (end.refused, runs) == (4, [])


async def test_a_replayed_request_does_not_run_again(join, raw):
    end = join('b')
    runs = count_runs(end)
    message = forge(end)
    raw(end.address, message, message)
    raw(end.address, message)
    later = forge(end, sequence=2, incarnation=4)
    raw(end.address, later, message, later)
    await wait_until(lambda: end.refused == 4)
    assert (len(runs), end.refused) == (2, 4)


async def test_appended_fields_of_a_newer_version_are_ignored(join, raw):
    end = join('b')
    runs = count_runs(end)
    sealer = envelope.Sealer(SECRET)
    data = forge(end, version=2)[16:]
    fields = envelope.msgspec.msgpack.decode(data) + ['appended']
    longer = envelope.msgspec.msgpack.encode(fields)
    raw(end.address, sealer._compute_mac(longer) + longer)
    await wait_until(lambda: runs)
    assert runs == [b'forged']


async def test_unlisted_host_can_not_connect(join):
    first, second = join('a'), join('b')
    runs = count_runs(second)
    second.allow_hosts(frozenset({'10.0.0.1'}))
    outcome = await first.request(peer_of(second), STEP, b'', 1.5)
    assert outcome.is_error()
    assert runs == []


async def test_request_is_never_run_twice(join):
    """The peer is restarted while a request is in progress."""
    first, second = join('a'), join('b', 5)
    runs = count_runs(second)
    second.set_handler(STEP, _hang(runs))
    waiting = asyncio.ensure_future(
        first.request(peer_of(second), STEP, b'once', 10)
    )
    await wait_until(lambda: runs)
    await second.close()
    outcome = await waiting
    assert outcome.error.kind is base.PeerFaultKind.BROKEN
    assert outcome.error.sent
    third = join('b', 6, second.address)
    runs_after = count_runs(third)
    await first.request(peer_of(third), STEP, b'other', 5)
    await asyncio.sleep(0.3)
    assert (runs, runs_after) == ([b'once'], [b'other'])


def _hang(runs):
    async def handle(_, body):
        runs.append(body)
        await asyncio.sleep(60)
        return b''

    return handle


async def test_request_to_a_closed_address_is_not_sent(join):
    first, second = join('a'), join('b')
    peer = peer_of(second)
    await second.close()
    outcome = await first.request(peer, STEP, b'', 3)
    assert outcome.error.kind is base.PeerFaultKind.UNREACHABLE
    assert not outcome.error.sent
    third = join('b', 2, second.address)
    runs = count_runs(third)
    await asyncio.sleep(0.3)
    assert runs == []


async def test_restart_with_the_clock_set_back_is_accepted(join):
    first, second = join('a', 1), join('b', 9)
    count_runs(second)
    count_runs(first)
    await first.request(peer_of(second), STEP, b'', 5)
    await second.close()
    await wait_until(lambda: first.connections == 0)
    third = join('b', 4, second.address)
    count_runs(third)
    outcome = await first.request(peer_of(third), STEP, b'1', 5)
    assert outcome.ok == b'1'
    outcome = await third.request(peer_of(first), STEP, b'2', 5)
    assert outcome.ok == b'2'


async def test_silent_connection_is_replaced(join):
    """Both directions stop passing data, but new connections work."""
    first, second = join('a'), join('b')
    count_runs(second)
    peer = peer_of(second)
    await first.request(peer, STEP, b'', 5)
    forward = first._states.find(second.address).channel
    backward = second._states.find(first.address).channel
    for silent in (forward, backward):
        silent._try_send = lambda item: setattr(item, 'sent_at', 1e9) or True
    outcome = await first.request(peer, STEP, b'1', 0.3)
    assert outcome.error.sent
    outcome = await first.request(peer, STEP, b'2', 5)
    assert outcome.ok == b'2'


async def test_full_queue_drops_and_stays_bounded(join):
    first, second, third = join('a', queue_length=8), join('b'), join('c')
    count_runs(third)
    peer = peer_of(second)
    await second.close()
    queued = sum(first.send(peer, STEP, b'x') for _ in range(100))
    assert queued == 8
    outcome = await first.request(peer, STEP, b'', 1)
    assert outcome.error.kind is base.PeerFaultKind.OVERLOADED
    outcome = await first.request(peer_of(third), STEP, b'', 5)
    assert outcome.is_ok()


async def test_too_many_requests_are_refused_not_run(join):
    first, second = join('a'), join('b', requests_at_once=2)
    runs = []
    second.set_handler(STEP, _hang(runs))
    peer = peer_of(second)
    outcomes = await asyncio.gather(
        *(first.request(peer, STEP, b'%d' % n, 0.5) for n in range(5))
    )
    kinds = [outcome.error.kind for outcome in outcomes]
    assert kinds.count(base.PeerFaultKind.OVERLOADED) == 3
    assert len(runs) == 2


async def test_idle_connections_are_closed(join):
    first, second = join('a', idle_timeout=0.2), join('b', idle_timeout=0.2)
    count_runs(second)
    await first.request(peer_of(second), STEP, b'', 5)
    await wait_until(lambda: first.connections + second.connections == 0)
    assert first.connections + second.connections == 0
    outcome = await first.request(peer_of(second), STEP, b'', 5)
    assert outcome.is_ok()


async def test_failed_handler_is_reported_to_the_sender(join):
    first, second = join('a'), join('b')

    async def fail(_, body):
        raise RuntimeError('broken on purpose')

    second.set_handler(STEP, fail)
    outcome = await first.request(peer_of(second), STEP, b'', 5)
    assert outcome.error.kind is base.PeerFaultKind.BROKEN
    assert outcome.error.sent


@hypothesis.given(
    strategies.lists(strategies.integers(min_value=0, max_value=3000))
)
def test_replay_window_accepts_no_number_twice(numbers):
    window = envelope.ReplayWindow()
    accepted = [number for number in numbers if window.accept(number)]
    assert len(accepted) == len(set(accepted))
    highest = -1
    for number in numbers:
        assert number <= highest - 1024 or number in accepted
        highest = max(highest, number)
