"""A request that crashes engines is stopped, and no other request with it."""

import asyncio
import functools

import pytest

from tests.gateway import test_node

deployment = test_node.deployment

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


@pytest.mark.parametrize('path', ['/score/x', '/once/x', '/stream/x'])
async def test_a_request_that_crashes_engines_goes_on_to_further_ones(
    deployment, path
):
    nodes = await start_cluster(deployment)
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
