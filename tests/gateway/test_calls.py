"""The gateway's promises to callers, with a table of targets' faults."""

import asyncio

import pytest

from tests.gateway.raw_server import Way
from waxwingport.gateway import routes
from waxwingport.http import client
from waxwingport.log import base

REPEATED = [
    Way.CLOSES_AFTER_HEAD,
    Way.FULL,
    Way.GARBAGE,
    Way.MOVED,
    Way.OTHER_ID,
    Way.RESETS,
    Way.SILENT,
    Way.UNFRAMED_RESET,
]
MAY_HAVE_RUN = [
    Way.CLOSES_AFTER_HEAD,
    Way.GARBAGE,
    Way.OTHER_ID,
    Way.RESETS,
    Way.UNFRAMED_RESET,
]
NOT_RUN = [Way.FULL, Way.MOVED]


def find_header(response, name):
    return dict(response.headers).get(name)


@pytest.mark.parametrize('way', REPEATED)
async def test_an_idempotent_call_gets_a_whole_answer_elsewhere(
    harness, start_servers, way
):
    harness.configure()
    servers = await start_servers([way] * 3, [Way.ANSWERS])
    for number in range(3):
        name = f'q{number}'
        response = (await harness.call(name)).ok
        assert response.status == 200
        assert response.body == b'body of ' + name.encode()
        assert find_header(response, 'Response-Signature') == f'sig-{name}'
    assert servers[1].runs


@pytest.mark.parametrize('way', MAY_HAVE_RUN)
async def test_a_call_that_may_have_run_is_not_repeated_nor_called_not_run(
    harness, start_servers, way
):
    harness.configure(kind=routes.RouteKind.NON_IDEMPOTENT)
    servers = await start_servers([way], [way])
    response = (await harness.call()).ok
    assert response.status in (502, 504)
    assert sum(len(server.runs) for server in servers) == 1


@pytest.mark.parametrize('way', NOT_RUN)
async def test_a_call_that_no_target_ran_is_refused_as_not_run(
    harness, start_servers, way
):
    harness.configure(kind=routes.RouteKind.NON_IDEMPOTENT)
    servers = await start_servers([way] * 9, [way] * 9)
    response = (await harness.call()).ok
    assert response.status == 503
    assert float(find_header(response, 'Retry-After')) > 0.0
    assert all(server.runs == [] for server in servers)


@pytest.mark.parametrize('way', NOT_RUN)
async def test_a_call_that_was_not_run_may_go_to_the_next_target(
    harness, start_servers, way
):
    harness.configure(kind=routes.RouteKind.NON_IDEMPOTENT)
    servers = await start_servers([way] * 3, [Way.ANSWERS] * 3)
    for number in range(3):
        assert (await harness.call(f'q{number}')).ok.status == 200
    assert len(servers[1].runs) == 3


async def test_an_extra_answer_is_nobodys(harness, start_servers):
    harness.configure()
    await start_servers([Way.EXTRA_ANSWER] * 4)
    for number in range(4):
        response = (await harness.call(f'q{number}')).ok
        assert response.body == b'body of q%d' % number


async def test_an_answer_that_ends_with_its_connection_is_whole(
    harness, start_servers
):
    harness.configure()
    await start_servers([Way.UNFRAMED])
    assert (await harness.call()).ok.body == b'whole'


async def test_a_targets_own_failure_is_passed_on_at_the_end(
    harness, start_servers
):
    harness.configure()
    servers = await start_servers([Way.FAILS], [Way.FAILS], [Way.FAILS])
    response = (await harness.call()).ok
    assert response.status == 500
    assert find_header(response, 'Response-Signature') == 'sig-q1'
    assert sum(len(server.runs) for server in servers) == 3


async def test_no_more_targets_run_a_call_than_its_route_allows(
    harness, start_servers
):
    harness.configure(max_attempts=2)
    servers = await start_servers(*([Way.RESETS] * 2 for _ in range(4)))
    assert (await harness.call()).ok.status == 502
    assert sum(len(server.runs) for server in servers) == 2


async def test_the_answer_comes_at_the_routes_timeout(harness, start_servers):
    harness.configure(timeout=0.3, max_attempts=1)
    await start_servers([Way.SILENT])
    loop = asyncio.get_running_loop()
    started = loop.time()
    assert (await harness.call()).ok.status == 504
    assert 0.25 < loop.time() - started < 0.8


async def test_a_target_learns_what_is_left(harness, start_servers):
    harness.configure(timeout=1.0)
    servers = await start_servers([Way.ANSWERS])
    await harness.call(patience=500)
    fields = servers[0].heads[0].lower()
    left = int(fields.split('deadline-ms: ')[1].split('\r\n')[0])
    assert 300 < left <= 500
    assert 'expect-instance: i0' in fields
    assert 'host: shop.example' in fields


async def test_a_target_is_left_when_the_caller_goes(harness, start_servers):
    harness.configure(max_attempts=1)
    servers = await start_servers([Way.SILENT])
    rows = (('Host', 'shop.example'), ('Request-Id', 'q1'))
    request = client.Request('POST', '/a/b', rows)
    calling = asyncio.ensure_future(
        harness.outside.fetch(harness.address, request, 5.0)
    )
    await asyncio.sleep(0.1)
    calling.cancel()
    async with asyncio.timeout(0.5):
        while not servers[0].left:
            await asyncio.sleep(0.01)


async def test_without_a_route_the_answer_is_404(harness, start_servers):
    harness.configure()
    assert (await harness.call(path='/b/')).ok.status == 404


async def test_without_a_configuration_the_answer_is_503(harness):
    assert (await harness.call()).ok.status == 503


async def test_an_older_configuration_changes_nothing(harness, start_servers):
    harness.configure(version=5)
    harness.configure(version=3, prefix='/old/')
    await start_servers([Way.ANSWERS])
    assert (await harness.call()).ok.status == 200


async def test_a_removed_target_gets_nothing_more(harness, start_servers):
    harness.configure()
    servers = await start_servers([], [])
    harness.targets.update(base.KeyedRecord('i0', None))
    for number in range(4):
        await harness.call(f'q{number}')
    assert servers[0].heads == []


async def test_an_unreachable_target_costs_no_answer(harness, start_servers):
    harness.configure(kind=routes.RouteKind.NON_IDEMPOTENT)
    harness.register('gone', '127.0.0.1:1')
    await start_servers([])
    for number in range(3):
        assert (await harness.call(f'q{number}')).ok.status == 200


async def test_bodies_beyond_the_bound_are_refused_as_not_run(
    harness, start_servers
):
    harness.configure()
    servers = await start_servers([])
    assert harness.progress.reserve((1 << 20) - 5)
    assert (await harness.call()).ok.status == 503
    assert servers[0].runs == []
    harness.progress.free((1 << 20) - 5)
    assert (await harness.call()).ok.status == 200
