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
