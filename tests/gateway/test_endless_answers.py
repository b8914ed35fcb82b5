"""Bytes that are no answer and come without end, in a head or a body."""

import asyncio

import pytest

from tests.gateway import raw_server
from waxwingport.gateway import routes
from waxwingport.http import client
from waxwingport.http import exchange

MIB = 1024 * 1024


@pytest.fixture
async def make_client():
    """Returns a function that makes an HTTP client with settings."""
    made = []

    def make(**options):
        made.append(client.HttpClient(client.ClientSettings(**options)))
        return made[-1]

    yield make
    for found in made:
        found.close()


@pytest.fixture
async def start_server():
    """Returns a function that starts a server with one behaviour."""
    started = []

    async def start(*behaviours):
        started.append(await raw_server.RawServer(*behaviours).start())
        return started[-1]

    yield start
    for server in started:
        await server.stop()


def make_request():
    return client.Request('GET', '/a', (('Request-Id', 'q1'),))


async def wait_until_closed(server):
    async with asyncio.timeout(5.0):
        while server.open_connections:
            await asyncio.sleep(0.01)


@pytest.mark.parametrize(
    'behaviour',
    [
        raw_server.Behaviour.ENDLESS_HEAD,
        raw_server.Behaviour.ENDLESS_INTERIM,
    ],
)
async def test_a_head_does_not_end(make_client, start_server, behaviour):
    server = await start_server(behaviour)
    found = await make_client().fetch(server.address, make_request(), 30.0)
    assert found.is_error()
    await wait_until_closed(server)
    assert server.endless_bytes < 16 * MIB


@pytest.mark.parametrize(
    'behaviour',
    [
        raw_server.Behaviour.TRICKLES_BODY,
        raw_server.Behaviour.TRICKLES_HEAD,
    ],
)
async def test_an_answer_comes_byte_by_byte(
    make_client, start_server, behaviour
):
    # Guards against a timeout that each byte renews.
    server = await start_server(behaviour)
    http = make_client(progress_timeout=0.3)
    started_at = asyncio.get_running_loop().time()
    found = await http.fetch(server.address, make_request(), 1.0)
    assert found.is_error()
    assert asyncio.get_running_loop().time() - started_at < 3.0
    await wait_until_closed(server)


async def test_a_body_that_does_not_end_fills_the_memory(
    make_client, start_server
):
    server = await start_server(raw_server.Behaviour.ENDLESS_BODY)
    http = make_client(max_whole_size=MIB)
    found = await http.fetch(server.address, make_request(), 30.0)
    assert found.is_error()
    await wait_until_closed(server)
    assert server.endless_bytes < 16 * MIB


async def test_several_large_bodies_together_fill_the_memory(
    make_client, start_server
):
    server = await start_server(*[raw_server.Behaviour.ENDLESS_BODY] * 8)
    http = make_client(max_whole_size=64 * MIB, whole_memory=2 * MIB)
    found = await asyncio.gather(
        *(http.fetch(server.address, make_request(), 30.0) for _ in range(8))
    )
    assert all(answer.is_error() for answer in found)
    await wait_until_closed(server)
    assert server.endless_bytes < 32 * MIB
    answer = await http.fetch(server.address, make_request(), 5.0)
    assert answer.ok.body == b'body of q1'


async def test_the_rest_of_a_refusal_does_not_end(
    harness, start_servers, monkeypatch
):
    # Guards against a discarded rest that is bounded in time alone.
    monkeypatch.setattr(client, '_DISCARD_TIMEOUT_S', 30.0)
    harness.configure(kind=routes.RouteKind.STREAMING, timeout=5.0)
    refusing, other = await start_servers(
        [raw_server.Behaviour.ENDLESS_REFUSAL], []
    )
    harness.targets.find('i1').running = 3
    assert (await harness.call()).is_ok()
    await wait_until_closed(refusing)
    assert refusing.endless_bytes < exchange._MAX_DISCARDED_BYTES + 2 * MIB
