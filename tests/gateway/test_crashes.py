"""A request that crashes engines is stopped, and no other request with it."""

import asyncio
import functools
import time

import msgspec
import pytest

from tests.gateway import test_node
from waxwingport.log import base

deployment = test_node.deployment

CRASHES = base.Topic('keyed.crashes')
CRASHING_BODY = b'a body that no engine survives'
SETTLING_S = 3.0
"""Time after the third crash from which on a request is stopped."""
ALLOWED_RETRIES = 3
"""Attempts of callers that may reach engines after that."""


async def start_cluster(deployment, nodes=4, engines=6):
    for number in range(2, engines + 1):
        deployment.add_engine(f'i{number}')
    for engine in deployment.engines:
        engine.crashing_bodies.add(CRASHING_BODY)
        engine.on_restart = functools.partial(deployment.register, engine)
        engine.score_pause = 0.03
    return [await deployment.start_node() for _ in range(nodes)]


async def call_in_turn(deployment, nodes, path, make_body, gap, seconds, name):
    """Sends a call every ``gap`` seconds; returns the answers in order."""
    calls = []
    loop = asyncio.get_running_loop()
    end = loop.time() + seconds
    while loop.time() < end:
        number = len(calls)
        calls.append(
            asyncio.ensure_future(
                deployment.call(
                    nodes[number % len(nodes)],
                    'POST',
                    path,
                    make_body(number),
                    f'{name}{number}',
                )
            )
        )
        await asyncio.sleep(gap)
    return await asyncio.gather(*calls, return_exceptions=True)


def find_crashes(deployment):
    """Returns the times of the crashes that the body caused, in order."""
    return sorted(
        at
        for engine in deployment.engines
        for at, body in engine.crashes
        if body == CRASHING_BODY
    )


def find_late_retries(deployment, name):
    """Returns the attempts of callers that reached engines too late."""
    crashes = find_crashes(deployment)
    if len(crashes) < 3:
        return set()
    return {
        arrived
        for engine in deployment.engines
        for at, _, arrived in engine.arrivals
        if arrived.startswith(name) and at > crashes[2] + SETTLING_S
    }


def count_status(answers, status):
    return sum(getattr(answer, 'status', 0) == status for answer in answers)


@pytest.mark.parametrize(
    ('path', 'events'),
    [('/score/x', 0), ('/once/x', 0), ('/stream/x', 0), ('/stream/x', 1)],
)
async def test_a_request_that_crashes_engines_goes_on_to_further_ones(
    deployment, path, events
):
    nodes = await start_cluster(deployment)
    for engine in deployment.engines:
        engine.events_before_crash = events
    send = functools.partial(call_in_turn, deployment, nodes)
    _, others = await asyncio.gather(
        send(path, lambda _: CRASHING_BODY, 0.3, 8.0, 'bad'),
        send('/score/y', lambda n: b'body %d' % n, 0.05, 8.0, 'good'),
    )
    assert len(find_crashes(deployment)) >= 3
    assert len(find_late_retries(deployment, 'bad')) <= ALLOWED_RETRIES
    assert count_status(others, 200) >= 0.9 * len(others)


def log_digests(caplog, event):
    return [
        record.digest for record in caplog.records if record.message == event
    ]


async def test_a_request_that_comes_again_is_not_recognised(
    deployment, caplog
):
    caplog.set_level('INFO')
    served = await deployment.start_node()
    for name, path, body in (
        ('a', '/score/x', b'same'),
        ('b', '/score/x', b'same'),
        ('c', '/score/x', b'other'),
        ('d', '/score/y', b'same'),
    ):
        await deployment.call(served, 'POST', path, body, name)
    first, second, *others = log_digests(caplog, 'call-routed')
    assert first == second
    assert len({first, *others}) == 3


def find_refused(answers):
    """Returns the answers that refuse a request as the cause of crashes."""
    return [
        answer
        for answer in answers
        if b'crashes-targets' in getattr(answer, 'body', b'')
    ]


async def test_requests_beside_the_one_that_crashes_engines_are_refused(
    deployment,
):
    # One is sent often and long enough to be at nearly every crash.
    nodes = await start_cluster(deployment)
    for engine in deployment.engines:
        engine.score_pause = 0.3
    send = functools.partial(call_in_turn, deployment, nodes, '/score/x')
    bad, often, new = await asyncio.gather(
        send(lambda _: CRASHING_BODY, 0.3, 8.0, 'bad'),
        send(lambda _: b'often', 0.1, 8.0, 'often'),
        send(lambda n: b'body %d' % n, 0.1, 8.0, 'new'),
    )
    assert len(find_refused(bad)) >= len(bad) - 8
    assert find_refused(often) == []
    assert find_refused(new) == []
    assert count_status(often, 200) >= 0.9 * len(often)
    assert count_status(new, 200) >= 0.9 * len(new)


@pytest.mark.parametrize('path', ['/score/x', '/once/x', '/stream/x'])
async def test_engines_that_end_in_turn_get_a_request_refused(
    deployment, path
):
    # A rolling kill, and every third time half of the engines at once.
    nodes = await start_cluster(deployment)
    for engine in deployment.engines:
        engine.score_pause = 0.5
        engine.pause = 0.1
        engine.down_time = 0.5

    async def end_engines():
        for number in range(12):
            first = number % len(deployment.engines)
            count = 3 if number % 3 == 2 else 1
            for engine in deployment.engines[first : first + count]:
                await engine.crash()
            await asyncio.sleep(0.6)

    send = functools.partial(call_in_turn, deployment, nodes, path)
    often, new, _ = await asyncio.gather(
        send(lambda _: b'often', 0.05, 8.0, 'often'),
        send(lambda n: b'body %d' % n, 0.05, 8.0, 'new'),
        end_engines(),
    )
    assert sum(len(engine.crashes) for engine in deployment.engines) >= 12
    assert find_refused([*often, *new]) == []


async def test_items_under_which_engines_crash_are_given_up(deployment):
    nodes = await start_cluster(deployment, nodes=2)
    for engine in deployment.engines:
        engine.pause = 0.2
        engine.down_time = 0.5
    assert (await deployment.submit(nodes[0], items=8)).status == 202
    for number in range(8):
        await asyncio.sleep(0.25)
        await deployment.engines[number % 6].crash()
    results = await deployment.read_all(nodes[1], 8)
    assert {result['state'] for result in results} == {'completed'}


async def test_a_call_that_crashes_engines_is_sent_to_two_at_once(deployment):
    # A second attempt for slowness puts a second engine at risk.
    (served, *_) = await start_cluster(deployment, nodes=1)
    await deployment.call(served, 'POST', '/score/x', CRASHING_BODY, 'bad0')
    count = len(find_crashes(deployment))
    assert count == 2
    await deployment.call(served, 'POST', '/score/x', CRASHING_BODY, 'bad1')
    assert len(find_crashes(deployment)) == 3
    answer = await deployment.call(
        served, 'POST', '/score/x', CRASHING_BODY, 'bad2'
    )
    assert answer.status == 503
    assert float(dict(answer.headers)['Retry-After']) > 60.0
    assert len(find_crashes(deployment)) == 3


def report_kills(deployment, count):
    """Writes the report of a node that saw targets end, without requests."""
    kills = [
        {'target': f'k{number}', 'born': 1, 'at': time.time(), 'requests': {}}
        for number in range(count)
    ]
    value = msgspec.json.encode({'reports': kills})
    deployment.log.write_keyed(CRASHES, 'another', value)


@pytest.mark.parametrize('path', ['/once/x', '/score/x', '/stream/x'])
async def test_many_tries_reach_an_engine_before_it_crashes(deployment, path):
    # Guards against tries that are all sent before the first of them crashes.
    nodes = await start_cluster(deployment)
    for engine in deployment.engines:
        engine.down_time = 0.5

    async def send_bad(number):
        return await deployment.call(
            nodes[number % 4],
            'POST',
            path,
            CRASHING_BODY,
            f'bad{number}',
        )

    # Kills ask for more crashes, so that three do not stop the request.
    report_kills(deployment, 4)
    number = 0
    while len(find_crashes(deployment)) < 3:
        await send_bad(number)
        await asyncio.sleep(0.7)
        number += 1
    assert len(find_crashes(deployment)) < 5
    await asyncio.sleep(SETTLING_S)
    tries = (send_bad(number) for number in range(number, number + 16))
    await asyncio.gather(*tries, return_exceptions=True)
    assert 0 < len(find_late_retries(deployment, 'bad')) <= ALLOWED_RETRIES


async def test_a_new_request_is_sent_to_each_engine_with_the_cause(deployment):
    # Guards against requests that are refused as they were never apart.
    nodes = await start_cluster(deployment, engines=2)
    for engine in deployment.engines:
        engine.score_pause = 0.2
        engine.down_time = 0.4
    send = functools.partial(call_in_turn, deployment, nodes, '/score/x')
    bad, often = await asyncio.gather(
        send(lambda _: CRASHING_BODY, 0.1, 6.0, 'bad'),
        send(lambda n: b'often %d' % (n % 5), 0.05, 6.0, 'often'),
    )
    assert find_refused(bad)
    assert find_refused(often) == []
