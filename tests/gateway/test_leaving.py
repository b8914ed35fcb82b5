"""A target whose answer says that it leaves gets nothing new."""

import asyncio

import pytest

from tests.gateway import conftest
from tests.gateway import raw_server
from tests.gateway import test_calls
from tests.gateway import test_node
from tests.gateway import test_streams
from waxwingport.fleet import health
from waxwingport.gateway import routes

deployment = test_node.deployment

ANSWERED = [
    raw_server.Behaviour.ANSWERS,
    raw_server.Behaviour.CLOSES_AFTER_HEAD,
    raw_server.Behaviour.FAILS,
    raw_server.Behaviour.FULL,
    raw_server.Behaviour.MOVED,
    raw_server.Behaviour.OTHER_ID,
    raw_server.Behaviour.UNFRAMED_RESET,
]


@pytest.fixture
async def harness():
    """A gateway that waits for connections to a busy process."""
    found = conftest.Harness(connect_timeout=3.0)
    yield found
    await found.stop()


@pytest.mark.parametrize('behaviour', ANSWERED)
async def test_a_target_gets_no_call_after_any_answer_that_it_leaves(
    harness, start_servers, behaviour
):
    harness.configure()
    (leaving,) = await start_servers([behaviour] * 9)
    leaving.leaving = True
    # The first call may end before a busy process reads its answer.
    for _ in range(9):
        await harness.call()
        if harness.targets.find('i0').leaving:
            break
    sent = len(leaving.heads)
    other = await raw_server.RawServer().start()
    harness.register('i9', other.address)
    for target in harness.targets:
        # Otherwise its failure alone keeps calls away for some time.
        health.record_success(target)
    # Of two equal targets each gets some of the first calls.
    responses = await asyncio.gather(
        *(harness.call(f'q{number}', timeout_ms=4000) for number in range(20))
    )
    await other.stop()
    assert [response.ok.status for response in responses] == [200] * 20
    assert harness.targets.find('i0').leaving
    assert len(leaving.heads) == sent


async def test_the_answer_of_a_leaving_target_is_forwarded_with_its_header(
    harness, start_servers
):
    harness.configure()
    (server,) = await start_servers([])
    server.leaving = True
    response = (await harness.call()).ok
    assert response.status == 200
    assert test_calls.find_header(response, 'Server-Leaving') == '1'


async def test_a_call_is_refused_at_once_if_all_targets_leave(
    harness, start_servers
):
    harness.configure()
    for server in await start_servers([], []):
        server.leaving = True
    for number in range(2):
        assert (await harness.call(f'q{number}')).ok.status == 200
    started_at = asyncio.get_running_loop().time()
    response = (await harness.call('q2')).ok
    assert response.status == 503
    assert float(test_calls.find_header(response, 'Retry-After')) > 0.0
    assert asyncio.get_running_loop().time() - started_at < 0.2


async def test_a_stream_is_refused_at_once_if_all_targets_leave(
    harness, start_servers
):
    harness.configure()
    (server,) = await start_servers([])
    server.leaving = True
    await harness.call('q0')
    harness.configure(version=2, kind=routes.RouteKind.STREAMING)
    response = (await harness.call('q1')).ok
    assert response.status == 503
    assert float(test_calls.find_header(response, 'Retry-After')) > 0.0


async def test_idle_connections_to_a_leaving_target_are_closed(
    harness, start_servers
):
    harness.configure()
    (server,) = await start_servers([])
    await asyncio.gather(*(harness.call(f'q{number}') for number in range(3)))
    assert server.open_connections > 0
    server.leaving = True
    await harness.call('q3')
    async with asyncio.timeout(2.0):
        while server.open_connections:
            await asyncio.sleep(0.01)


@pytest.mark.parametrize(
    'kind', [routes.RouteKind.IDEMPOTENT, routes.RouteKind.NON_IDEMPOTENT]
)
async def test_a_call_that_is_not_sent_yet_is_placed_again(
    harness, start_servers, monkeypatch, kind
):
    # Guards against a call that waits for its connection meanwhile.
    harness.configure(kind=kind)
    servers = await start_servers([], [])
    connect = harness.http._connect
    connected_to = []

    async def connect_late(address, timeout):
        is_first = not connected_to
        connected_to.append(address)
        # A second attempt may start before this one is connected.
        await asyncio.sleep(0.3)
        found = await connect(address, timeout)
        if is_first:
            for target in harness.targets.find_at(address):
                harness.targets.record_leaving(target)
        return found

    monkeypatch.setattr(harness.http, '_connect', connect_late)
    assert (await harness.call()).ok.status == 200
    runs = {server.address: server.runs for server in servers}
    assert not runs[connected_to[0]]
    assert runs[connected_to[1]]


async def test_a_stream_in_progress_finishes_at_a_leaving_target(harness):
    # Guards against a target that is known to leave only at a stream's end.
    harness.configure(
        kind=routes.RouteKind.STREAMING, resumable=True, timeout=10.0
    )
    server = test_streams.StreamServer(pause=0.1, leaving=True)
    await server.start()
    harness.register('i1', server.address)
    stream = asyncio.ensure_future(harness.call('q1'))
    async with asyncio.timeout(2.0):
        while not harness.targets.count_leaving(conftest.SERVICE):
            await asyncio.sleep(0.01)
    assert not stream.done()
    assert (await harness.call('q2')).ok.status == 503
    response = (await stream).ok
    assert response.body == test_streams.make_text(test_streams.EVENTS + 1)
    assert server.starts == [0]
    await server.stop()


async def test_a_stream_resumes_at_a_target_that_does_not_leave(harness):
    # Guards against a resumption at the engine that has just said it leaves.
    harness.configure(
        kind=routes.RouteKind.STREAMING,
        resumable=True,
        timeout=10.0,
        max_attempts=4,
    )
    servers = [
        test_streams.StreamServer(stop_after=3, end='broken', leaving=True)
        for _ in range(2)
    ]
    for number, server in enumerate(servers):
        await server.start()
        harness.register(f'i{number}', server.address)
    await harness.call('q1')
    starts = [start for server in servers for start in server.starts]
    assert sorted(starts) == [0, 3]
    assert (await harness.call('q1')).ok.status == 503
    for server in servers:
        await server.stop()


async def test_a_target_is_leaving_if_its_answer_breaks_off_unread(
    harness, start_servers
):
    # Guards against a head that is dropped with a caller who has gone.
    harness.configure(timeout=5.0)
    (server,) = await start_servers([raw_server.Behaviour.BREAKS_OFF])
    server.leaving = True
    call = asyncio.ensure_future(harness.call())
    async with asyncio.timeout(2.0):
        while not harness.targets.count_leaving(conftest.SERVICE):
            await asyncio.sleep(0.01)
    call.cancel()
    assert (await harness.call('q2')).ok.status == 503
    assert len(server.heads) == 1


async def test_a_call_after_a_moved_address_bars_the_target_that_answered(
    harness, start_servers
):
    harness.configure()
    (server,) = await start_servers([raw_server.Behaviour.MOVED])
    harness.register('i9', server.address)
    server.leaving = True
    await harness.call()
    assert harness.targets.count_leaving(conftest.SERVICE) == 2


async def test_no_item_or_reward_call_reaches_a_leaving_engine(deployment):
    # Guards against items sent to an engine whose entry still says ready.
    other = deployment.add_engine('i2')
    served = await deployment.start_node()
    deployment.engine.leaving = True
    await deployment.call(served, 'POST', '/score/a', name='q1')
    async with asyncio.timeout(5.0):
        while not served.targets.count_leaving('llm'):
            await deployment.call(served, 'POST', '/score/a', name='q2')
    deployment.engine.runs.clear()
    deployment.write_entry()
    assert (await deployment.submit(served)).status == 202
    await deployment.read_all(served)
    assert other.runs
    assert deployment.engine.runs == []


async def test_no_order_reaches_an_engine_whose_report_says_it_leaves(
    deployment,
):
    deployment.engine.leaving = True
    other = deployment.add_engine('i2')
    served = await deployment.start_node()
    deployment.publish(2)
    assert (await deployment.submit(served, minimum=2)).status == 202
    await deployment.read_all(served)
    assert other.orders
    assert served.targets.count_leaving('llm') == 1
    assert deployment.engine.orders == []


async def test_a_leaving_engine_is_logged_and_counted_once(deployment, caplog):
    caplog.set_level('INFO')
    deployment.engine.leaving = True
    served = await deployment.start_node()
    for number in range(3):
        await deployment.call(served, 'POST', '/score/a', name=f'q{number}')
    lines = [
        record
        for record in caplog.records
        if record.message == 'target-leaving'
    ]
    assert [(line.instance, line.stage) for line in lines] == [('i1', 'ready')]
    text = served._render_metrics()[0].decode()
    assert 'waxwingport_targets_leaving_total{service="llm"} 1\n' in text
