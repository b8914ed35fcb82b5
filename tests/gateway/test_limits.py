"""An engine that names a limit gets no more than that from all nodes."""

import asyncio

import pytest

from tests.gateway import test_node

deployment = test_node.deployment

LIMIT = 2.0
"""Requests a second that a limited engine names."""
WINDOW_S = 4.0
SETTLING_S = 3.0
"""Time after an engine first named its limit from which on it is kept."""
ALLOWED = 1.5 * WINDOW_S * LIMIT + 5
"""Most requests that may reach the engine in a window."""


def count_busiest(engine, since):
    """Returns the most requests that reached an engine in one window."""
    times = sorted(at for at, _, _ in engine.arrivals if at >= since)
    return max(
        (
            sum(first <= at < first + WINDOW_S for at in times)
            for first in times
        ),
        default=0,
    )


async def call_often(deployment, nodes, seconds, gap):
    """Sends each node a call every ``gap`` seconds; returns the statuses."""
    end = asyncio.get_running_loop().time() + seconds
    calls = []
    while asyncio.get_running_loop().time() < end:
        for served in nodes:
            name = f'q{len(calls)}'
            calls.append(
                asyncio.ensure_future(
                    deployment.call(served, 'POST', '/score/a', name=name)
                )
            )
        await asyncio.sleep(gap)
    return [answer.status for answer in await asyncio.gather(*calls)]


@pytest.mark.parametrize('all_limited', [False, True])
async def test_nodes_together_send_more_than_the_limit_of_an_engine(
    deployment, all_limited
):
    other = deployment.add_engine('i2')
    engines = (
        [deployment.engine, other] if all_limited else [deployment.engine]
    )
    nodes = [await deployment.start_node() for _ in range(4)]
    for engine in engines:
        engine.limit = str(LIMIT)
    started_at = asyncio.get_running_loop().time()
    statuses = await call_often(deployment, nodes, 9.0, 0.1)
    for engine in engines:
        busiest = count_busiest(engine, started_at + SETTLING_S)
        assert busiest <= ALLOWED
    assert set(statuses) <= ({200, 503} if all_limited else {200})


async def test_waiting_for_a_limited_engine_counts_as_its_slowness(
    deployment,
):
    # Guards against bursts that are refused for the waits of earlier ones.
    deployment.engine.limit = '10'
    served = await deployment.start_node()
    await learn_limit(deployment, served)
    for burst in range(3):
        calls = [
            deployment.call(served, 'POST', '/score/a', name=f'{burst}-{n}')
            for n in range(30)
        ]
        answers = await asyncio.gather(*calls)
        assert sum(answer.status == 200 for answer in answers) >= 10
    times = served.call_forwarder._times['r2']
    assert times.mean < 0.3
    assert served.targets.find('i1').slowness < 3.0


async def learn_limit(deployment, served):
    """Makes the node hear of the limit of the first engine."""
    async with asyncio.timeout(5.0):
        while served.targets.find('i1').limit is None:
            await deployment.call(served, 'POST', '/score/a', name='first')


async def test_items_and_scores_of_a_submission_exceed_the_limit(deployment):
    # Guards against requests that reach an engine by another way than calls.
    deployment.engine.limit = str(LIMIT)
    deployment.add_engine('i2')
    nodes = [await deployment.start_node() for _ in range(2)]
    await learn_limit(deployment, nodes[0])
    since = asyncio.get_running_loop().time()
    for number in range(3):
        name = f's{number}'
        assert (
            await deployment.submit(nodes[number % 2], 16, name)
        ).status == 202
    for number in range(3):
        await deployment.read_all(nodes[0], 16, f's{number}')
    assert count_busiest(deployment.engine, since) <= ALLOWED


async def test_submissions_finish_while_all_engines_are_limited(deployment):
    deployment.engine.limit = '20'
    served = await deployment.start_node()
    await learn_limit(deployment, served)
    assert (await deployment.submit(served)).status == 202
    assert len(await deployment.read_all(served)) == 4


async def test_an_order_reaches_a_limited_engine_at_once(deployment):
    # Guards against weights that wait for the turn of the node that orders.
    deployment.engine.limit = '0'
    served = await deployment.start_node()
    await learn_limit(deployment, served)
    deployment.publish(2)
    assert (await deployment.submit(served, minimum=2)).status == 202
    async with asyncio.timeout(10.0):
        while not deployment.engine.orders:
            await asyncio.sleep(0.02)


async def test_a_call_without_a_turn_before_its_deadline_is_refused_at_once(
    deployment,
):
    deployment.engine.limit = '0.2'
    served = await deployment.start_node()
    await learn_limit(deployment, served)
    await deployment.call(served, 'POST', '/score/a', name='second')
    started_at = asyncio.get_running_loop().time()
    answers = await asyncio.gather(
        *(
            deployment.call(served, 'POST', '/score/a', name=f'q{number}')
            for number in range(5)
        )
    )
    elapsed = asyncio.get_running_loop().time() - started_at
    assert {answer.status for answer in answers} == {503}
    assert elapsed < 1.0
    for answer in answers:
        fields = dict(answer.headers)
        assert float(fields['Retry-After']) > 0.5
    assert not {f'q{n}' for n in range(5)} & {
        name for name, _ in deployment.engine.runs
    }


async def test_an_answer_without_the_header_ends_the_limit(deployment):
    deployment.engine.limit = str(LIMIT)
    served = await deployment.start_node()
    await learn_limit(deployment, served)
    deployment.engine.limit = None
    statuses = await call_often(deployment, [served], 2.0, 0.05)
    assert served.targets.find('i1').limit is None
    assert statuses.count(200) > 15


@pytest.mark.parametrize('text', ['', 'many', '-1', 'nan', 'inf', '1,5'])
async def test_an_unreadable_limit_leaves_the_one_in_force(
    deployment, caplog, text
):
    deployment.engine.limit = '30'
    served = await deployment.start_node()
    await learn_limit(deployment, served)
    deployment.engine.limit = text
    async with asyncio.timeout(5.0):
        while 'target-limit-unreadable' not in caplog.text:
            await deployment.call(served, 'POST', '/score/a', name='q1')
    assert served.targets.find('i1').limit.rate == 30.0


async def test_an_engine_that_starts_anew_has_no_limit(deployment):
    deployment.engine.limit = '0'
    served = await deployment.start_node()
    await learn_limit(deployment, served)
    deployment.engine.limit = None
    deployment.engine.begin_start()
    deployment.write_entry()
    async with asyncio.timeout(5.0):
        while served.targets.find('i1').limit is not None:
            await asyncio.sleep(0.01)
    answer = await deployment.call(served, 'POST', '/score/a', name='q1')
    assert answer.status == 200
