"""What callers get for each fault of a target."""

import asyncio

import pytest

from tests.gateway.raw_server import Behaviour
from waxwingport.gateway import routes
from waxwingport.http import client
from waxwingport.log import base

REPEATED = [
    Behaviour.CLOSES_AFTER_HEAD,
    Behaviour.FULL,
    Behaviour.GARBAGE,
    Behaviour.MOVED,
    Behaviour.OTHER_ID,
    Behaviour.RESETS,
    Behaviour.SILENT,
    Behaviour.UNFRAMED_RESET,
]
MAY_HAVE_RUN = [
    Behaviour.CLOSES_AFTER_HEAD,
    Behaviour.GARBAGE,
    Behaviour.OTHER_ID,
    Behaviour.RESETS,
    Behaviour.UNFRAMED_RESET,
]
NOT_RUN = [Behaviour.FULL, Behaviour.MOVED]


def find_header(response, name):
    return dict(response.headers).get(name)


@pytest.mark.parametrize('behaviour', REPEATED)
async def test_an_idempotent_call_is_answered_by_another_target(
    harness, start_servers, behaviour
):
    harness.configure()
    servers = await start_servers([behaviour] * 3, [Behaviour.ANSWERS])
    for number in range(3):
        name = f'q{number}'
        response = (await harness.call(name)).ok
        assert response.status == 200
        assert response.body == b'body of ' + name.encode()
        assert find_header(response, 'Response-Signature') == f'sig-{name}'
    assert servers[1].runs


@pytest.mark.parametrize('behaviour', MAY_HAVE_RUN)
async def test_a_call_that_may_have_run_is_not_repeated_nor_refused_as_not_run(
    harness, start_servers, behaviour
):
    harness.configure(kind=routes.RouteKind.NON_IDEMPOTENT)
    servers = await start_servers([behaviour], [behaviour])
    response = (await harness.call()).ok
    assert response.status in (502, 504)
    assert sum(len(server.runs) for server in servers) == 1


@pytest.mark.parametrize('behaviour', NOT_RUN)
async def test_a_call_that_no_target_ran_is_refused_as_not_run(
    harness, start_servers, behaviour
):
    harness.configure(kind=routes.RouteKind.NON_IDEMPOTENT)
    servers = await start_servers([behaviour] * 9, [behaviour] * 9)
    response = (await harness.call()).ok
    assert response.status == 503
    assert float(find_header(response, 'Retry-After')) > 0.0
    assert all(server.runs == [] for server in servers)


@pytest.mark.parametrize('behaviour', NOT_RUN)
async def test_a_call_that_was_not_run_may_go_to_the_next_target(
    harness, start_servers, behaviour
):
    harness.configure(kind=routes.RouteKind.NON_IDEMPOTENT)
    servers = await start_servers([behaviour] * 3, [Behaviour.ANSWERS] * 3)
    for number in range(3):
        assert (await harness.call(f'q{number}')).ok.status == 200
    assert len(servers[1].runs) == 3


async def test_an_unsolicited_response_is_discarded(harness, start_servers):
    harness.configure()
    await start_servers([Behaviour.EXTRA_ANSWER] * 4)
    for number in range(4):
        response = (await harness.call(f'q{number}')).ok
        assert response.body == b'body of q%d' % number


async def test_a_response_that_ends_with_its_connection_is_complete(
    harness, start_servers
):
    harness.configure()
    await start_servers([Behaviour.UNFRAMED])
    assert (await harness.call()).ok.body == b'whole'


async def test_a_targets_failure_is_returned_after_the_last_attempt(
    harness, start_servers
):
    harness.configure()
    servers = await start_servers(
        [Behaviour.FAILS], [Behaviour.FAILS], [Behaviour.FAILS]
    )
    response = (await harness.call()).ok
    assert response.status == 500
    assert find_header(response, 'Response-Signature') == 'sig-q1'
    assert sum(len(server.runs) for server in servers) == 3


async def test_no_more_targets_run_a_call_than_its_route_allows(
    harness, start_servers
):
    harness.configure(max_attempts=2)
    servers = await start_servers(*([Behaviour.RESETS] * 2 for _ in range(4)))
    assert (await harness.call()).ok.status == 502
    assert sum(len(server.runs) for server in servers) == 2


async def test_a_call_is_refused_at_the_routes_timeout(harness, start_servers):
    harness.configure(timeout=0.3, max_attempts=1)
    await start_servers([Behaviour.SILENT])
    loop = asyncio.get_running_loop()
    started = loop.time()
    assert (await harness.call()).ok.status == 504
    assert 0.25 < loop.time() - started < 0.8


async def test_a_target_receives_the_remaining_time(harness, start_servers):
    harness.configure(timeout=1.0)
    servers = await start_servers([Behaviour.ANSWERS])
    await harness.call(timeout_ms=500)
    fields = servers[0].heads[0].lower()
    remaining_ms = int(fields.split('deadline-ms: ')[1].split('\r\n')[0])
    assert 300 < remaining_ms <= 500
    assert 'expect-instance: i0' in fields
    assert 'host: shop.example' in fields


async def test_a_callers_disconnect_cancels_the_targets_request(
    harness, start_servers
):
    harness.configure(max_attempts=1)
    servers = await start_servers([Behaviour.SILENT])
    header_fields = (('Host', 'shop.example'), ('Request-Id', 'q1'))
    request = client.Request('POST', '/a/b', header_fields)
    call = asyncio.ensure_future(
        harness.caller_http.fetch(harness.address, request, 5.0)
    )
    await asyncio.sleep(0.1)
    call.cancel()
    async with asyncio.timeout(0.5):
        while not servers[0].disconnects:
            await asyncio.sleep(0.01)


async def test_without_a_route_the_answer_is_404(harness, start_servers):
    harness.configure()
    assert (await harness.call(path='/b/')).ok.status == 404


async def test_without_a_configuration_the_answer_is_503(harness):
    assert (await harness.call()).ok.status == 503


async def test_an_older_configuration_is_ignored(harness, start_servers):
    harness.configure(version=5)
    harness.configure(version=3, prefix='/old/')
    await start_servers([Behaviour.ANSWERS])
    assert (await harness.call()).ok.status == 200


async def test_a_removed_target_receives_no_requests(harness, start_servers):
    harness.configure()
    servers = await start_servers([], [])
    harness.targets.update(base.KeyedRecord('i0', None))
    for number in range(4):
        await harness.call(f'q{number}')
    assert servers[0].heads == []


async def test_calls_are_answered_despite_an_unreachable_target(
    harness, start_servers
):
    harness.configure(kind=routes.RouteKind.NON_IDEMPOTENT)
    harness.register('gone', '127.0.0.1:1')
    await start_servers([])
    for number in range(3):
        assert (await harness.call(f'q{number}')).ok.status == 200


async def test_requests_beyond_the_body_memory_are_refused_as_not_run(
    harness, start_servers
):
    harness.configure()
    servers = await start_servers([])
    assert harness.request_tracker.reserve((1 << 20) - 5)
    assert (await harness.call()).ok.status == 503
    assert servers[0].runs == []
    harness.request_tracker.free((1 << 20) - 5)
    assert (await harness.call()).ok.status == 200


async def test_a_request_after_the_drain_is_refused_without_a_run(
    harness, start_servers
):
    harness.configure()
    servers = await start_servers([Behaviour.SILENT])
    in_progress = asyncio.ensure_future(harness.call('q1'))
    await asyncio.sleep(0.05)
    drain = asyncio.ensure_future(
        harness.request_tracker.drain(0.0, 5.0, lambda: None)
    )
    await asyncio.sleep(0.05)
    answer = (await harness.call('q2')).ok
    assert answer.status == 503
    headers = dict(answer.headers)
    assert float(headers['Retry-After']) > 0
    assert headers['Connection'] == 'close'
    assert [name for name, _ in servers[0].runs] == ['q1']
    drain.cancel()
    in_progress.cancel()
