"""Bodies of messages between nodes that no node of this version sends."""

import asyncio

import hypothesis
from hypothesis import strategies
import msgspec
import pytest

from tests.peers import test_transport
from waxwingport.peers import base
from waxwingport.peers import envelope

join = test_transport.join
raw = test_transport.raw

VALUES = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers(-(2**63), 2**63)
    | strategies.floats()
    | strategies.text(max_size=8)
    | strategies.binary(max_size=8),
    lambda inner: (
        strategies.lists(inner, max_size=4)
        | strategies.dictionaries(strategies.text(max_size=8), inner)
    ),
    max_leaves=8,
)
BODIES = strategies.binary(max_size=40) | VALUES.map(msgspec.msgpack.encode)


@pytest.fixture
async def receivers(make_node):
    """Returns the receivers and handlers of a node by kind of message."""
    peers = make_node().node.peers
    return peers._receivers, peers._handlers


@pytest.mark.parametrize('kind', [kind.value for kind in base.MessageKind])
async def test_a_malformed_body_raises_in_its_receiver(receivers, kind):
    by_kind, _ = receivers
    receiver = by_kind.get(kind)
    if receiver is None:
        return

    @hypothesis.given(BODIES)
    @hypothesis.settings(
        suppress_health_check=[hypothesis.HealthCheck.too_slow]
    )
    def check(body):
        receiver('other', body)

    check()


async def test_an_error_in_a_receiver_stops_later_messages(join, raw, caplog):
    end = join('b')
    received = []

    def receive(sender, body):
        received.append(body)
        raise ValueError('unexpected')

    end.set_receiver(test_transport.STEP, receive)
    raw(
        end.address,
        *(
            test_transport.forge(
                end, role=envelope.Role.MESSAGE, sequence=number
            )
            for number in (1, 2, 3)
        ),
    )
    await test_transport.wait_until(lambda: len(received) == 3)
    assert len(received) == 3
    assert 'unexpected' in caplog.text


@pytest.mark.parametrize('body', [b'', b'\xff\xfe', b'no such fault'])
async def test_an_undecodable_fault_leaves_the_request_open(join, raw, body):
    end = join('b')
    runs = test_transport.count_runs(end)
    raw(
        end.address,
        test_transport.forge(end, role=envelope.Role.FAULT, body=body),
        test_transport.forge(end, sequence=2),
    )
    await test_transport.wait_until(lambda: runs)
    assert runs == [b'forged']


@pytest.mark.parametrize('kind', [kind.value for kind in base.MessageKind])
async def test_a_malformed_request_ends_its_handler_without_an_answer(
    receivers, kind, join, raw
):
    _, by_kind = receivers
    handler = by_kind.get(kind)
    if handler is None:
        return
    end = join('b')
    runs = test_transport.count_runs(end)
    end.set_handler(base.MessageKind(kind), handler)
    bodies = [b'', b'\xff', b'\xc0', msgspec.msgpack.encode({'a': [1, -1]})]
    for number, body in enumerate(bodies, 1):
        message = test_transport.forge(
            end, kind=kind, sequence=number, body=body
        )
        raw(end.address, message)
    raw(end.address, test_transport.forge(end, sequence=9))
    if kind != test_transport.STEP.value:
        await test_transport.wait_until(lambda: runs)
        assert runs == [b'forged']
    await asyncio.sleep(0.05)
    assert not end._states.find('127.0.0.1:9').in_progress


async def test_a_second_answer_of_a_peer_ends_the_next_request(join, raw):
    end, peer = join('a'), join('b')
    release = asyncio.Event()

    async def handle(sender, body):
        if body == b'second':
            await release.wait()
        return body

    peer.set_handler(test_transport.STEP, handle)
    addressee = test_transport.peer_of(peer)
    first = await end.request(addressee, test_transport.STEP, b'first', 2.0)
    assert first.ok == b'first'
    waiting = asyncio.ensure_future(
        end.request(addressee, test_transport.STEP, b'second', 2.0)
    )
    await test_transport.wait_until(lambda: end._pending)
    (number,) = end._pending
    raw(
        end.address,
        *(
            test_transport.forge(
                end,
                role=envelope.Role.ANSWER,
                address=peer.address,
                incarnation=peer.incarnation,
                sequence=1000 + earlier,
                number=earlier,
                body=b'late',
            )
            for earlier in range(number)
        ),
    )
    await asyncio.sleep(0.2)
    assert not waiting.done()
    release.set()
    assert (await waiting).ok == b'second'
