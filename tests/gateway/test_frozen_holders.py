"""A holder that is frozen at a chosen moment does not act beside the next.

The nodes are processes; the moment is a line in the holder's log.
"""

import asyncio
import itertools
import signal

import pytest

from tests.gateway import processes
from tests.gateway import test_node
from waxwingport.commands import explanation

LEASE_S = 3.0
"""Time within which two holders must not take turns at an engine."""
THAW_S = 0.3
"""Time after the end of the freeze in which an order does not count."""
FREEZE_S = 5.0
"""Longer than the leases of partitions and orders last."""


@pytest.fixture
async def deployment():
    found = test_node.Deployment()
    yield found
    await found.stop()


@pytest.fixture
async def start_processes(deployment, tmp_path):
    """Returns a function that starts nodes as processes."""
    started = []

    async def start(count):
        for number in range(count):
            node = processes.NodeProcess(
                tmp_path, f'n{number}', deployment.store.address
            )
            started.append(node)
            await node.start(deployment.http)
        return started

    yield start
    for node in started:
        node.send_signal(signal.SIGCONT)
        await node.kill()


async def wait_for_line(nodes, event, own=True):
    """Returns the first node that logs an event."""
    async with asyncio.timeout(15.0):
        while True:
            for node in nodes:
                text = node.log.read_text()
                if f'"{event}"' in text and (
                    event != 'partition-claimed' or '"own": true' in text
                ):
                    return node
            await asyncio.sleep(0.002)


async def freeze(node):
    """Freezes a node; returns the loop time of its end."""
    node.send_signal(signal.SIGSTOP)
    await asyncio.sleep(FREEZE_S)
    node.send_signal(signal.SIGCONT)
    return asyncio.get_running_loop().time()


async def register_versions(deployment):
    """Keeps the engine's entry up to date with its weights."""
    version = deployment.engine.version
    while True:
        if deployment.engine.version != version:
            version = deployment.engine.version
            deployment.write_entry()
        await asyncio.sleep(0.05)


def find_wrong_turns(engine, thawed_at):
    """Returns pairs of orders that two holders gave out of turn."""
    orders = [
        order
        for order in engine.order_arrivals
        if not thawed_at <= order[0] <= thawed_at + THAW_S
    ]
    return [
        (first, second)
        for first, second in itertools.pairwise(orders)
        if first[2] != second[2]
        and (second[0] - first[0] < LEASE_S or second[3] <= first[3])
    ]


@pytest.mark.parametrize(
    'moment',
    [
        'partition-claimed',
        'submission-accepted',
        'item-started',
        'item-listed',
        'order-given',
    ],
)
async def test_a_frozen_holder_acts_beside_the_next_one(
    deployment, start_processes, moment
):
    deployment.engine.pause = 0.1
    nodes = await start_processes(2)
    deployment.publish(2)
    registering = asyncio.ensure_future(register_versions(deployment))
    # The weights that the submission needs are ordered first.
    answer = await deployment.submit(nodes[0], name='s1', minimum=2)
    assert answer.status == 202
    frozen = await wait_for_line(nodes, moment)
    (other,) = [node for node in nodes if node is not frozen]
    thawing = asyncio.ensure_future(freeze(frozen))
    await asyncio.sleep(0.5)
    deployment.publish(3)
    second = await deployment.submit(other, name='s2', minimum=2)
    thawed_at = await thawing
    deployment.publish(4)
    if second.status != 202:
        second = await deployment.submit(other, name='s2', minimum=2)
    assert second.status == 202
    for name in ('s1', 's2'):
        results = await deployment.read_all(other, name=name)
        assert results == await deployment.read_all(frozen, name=name)
        assert len({result['id'] for result in results}) == 4
    registering.cancel()
    assert deployment.engine.orders
    assert not find_wrong_turns(deployment.engine, thawed_at)
    assert explanation.explain([frozen.log, other.log], 's1-0')
