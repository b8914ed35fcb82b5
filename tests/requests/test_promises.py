"""What a caller is told about a call after each fault of a target.

Checks two invariants: a request refused as "not run" did not run, and a
non-idempotent request runs at most once.
"""

import asyncio
import contextlib
import json

import pytest

from tests import lone_node
from tests import raw_target
from waxwingport.http import client

FAULT = raw_target.Fault
CALL = f'/v1/services/{lone_node.SERVICE}/transfers'
BODY = b'{"shares": 12, "from": "a", "to": "b"}'

# fault, status, value of "ran" in the answer, number of runs
POST_TABLE = [
    (FAULT.NONE, 200, None, 1),
    (FAULT.REFUSES, 503, 'no', 0),
    (FAULT.RESET_AT_ACCEPT, 502, 'unknown', 0),
    (FAULT.RESET_BEFORE_BODY, 502, 'unknown', 0),
    (FAULT.RESET_DURING_BODY, 502, 'unknown', 0),
    (FAULT.RESET_AFTER_BODY, 502, 'unknown', 1),
    (FAULT.HALF_BODY, 502, 'unknown', 1),
    (FAULT.SILENT, 504, 'unknown', 1),
]


def read_ran(response):
    return json.loads(response.body).get('ran')


def make_settings():
    return client.ClientSettings(progress_timeout=0.3, connect_timeout=0.3)


@pytest.mark.parametrize(('fault', 'status', 'ran', 'runs'), POST_TABLE)
async def test_post_runs_at_most_once(
    make_node, make_raw_target, fault, status, ran, runs
):
    served = make_node(client_settings=make_settings())
    targets = [await make_raw_target(fault) for _ in range(3)]
    served.add_services(*(target.address for target in targets))
    response = await served.fetch('POST', CALL, BODY)
    assert (response.status, read_ran(response)) == (status, ran)
    assert sum(target.runs for target in targets) == runs
    if ran == 'no':
        assert 'Retry-After' in dict(response.headers)


@pytest.mark.parametrize('fault', [item[0] for item in POST_TABLE])
async def test_post_after_a_warm_up_is_never_repeated(
    make_node, make_raw_target, fault
):
    """A reused connection that broke must not cause a second run."""
    served = make_node(client_settings=make_settings())
    targets = [await make_raw_target() for _ in range(2)]
    served.add_services(*(item.address for item in targets))
    for _ in range(6):
        await served.fetch('GET', CALL)
    warm_up_runs = sum(item.runs for item in targets)
    for item in targets:
        item.fault = fault
    response = await served.fetch('POST', CALL, BODY)
    assert sum(item.runs for item in targets) - warm_up_runs <= 1
    if response.status != 200 and read_ran(response) == 'no':
        assert sum(item.runs for item in targets) == warm_up_runs


async def test_post_uses_another_target_when_the_connection_is_refused(
    make_node, make_raw_target
):
    served = make_node()
    target = await make_raw_target()
    closed = [raw_target.find_closed_address() for _ in range(2)]
    served.add_services(*closed, target.address)
    for _ in range(5):
        response = await served.fetch('POST', CALL, BODY)
        assert response.status == 200
    assert target.runs == 5


async def test_post_is_not_run_when_every_connection_is_refused(make_node):
    served = make_node()
    served.add_services(*(raw_target.find_closed_address() for _ in range(3)))
    response = await served.fetch('POST', CALL, BODY)
    assert (response.status, read_ran(response)) == (503, 'no')


@pytest.mark.parametrize(
    'fault',
    [
        FAULT.RESET_AT_ACCEPT,
        FAULT.RESET_AFTER_BODY,
        FAULT.REFUSES,
        FAULT.HALF_BODY,
        FAULT.SILENT,
    ],
)
async def test_get_is_tried_elsewhere(make_node, make_raw_target, fault):
    served = make_node(client_settings=make_settings())
    bad = await make_raw_target(fault)
    good = await make_raw_target()
    served.add_services(bad.address, good.address)
    for _ in range(3):
        response = await served.fetch('GET', CALL)
        assert response.status == 200


async def test_get_that_may_have_run_is_never_reported_as_not_run(
    make_node, make_raw_target
):
    """The first target received the request; the other is unreachable."""
    served = make_node(client_settings=make_settings())
    bad = await make_raw_target(FAULT.RESET_AFTER_BODY)
    served.add_services(bad.address, raw_target.find_closed_address())
    response = await served.fetch('GET', CALL)
    assert read_ran(response) == ('unknown' if bad.runs else 'no')
    while not bad.runs:
        response = await served.fetch('GET', CALL)
    assert (response.status, read_ran(response)) == (502, 'unknown')


async def test_a_body_cut_short_by_its_caller_does_not_run(
    make_node, make_raw_target
):
    served = make_node()
    target = await make_raw_target()
    served.add_services(target.address)
    _, writer = await asyncio.open_connection('127.0.0.1', served.port)
    head = f'POST {CALL} HTTP/1.1\r\nHost: x\r\nContent-Length: 30\r\n\r\n'
    writer.write(head.encode() + b'{"half":')
    await writer.drain()
    await asyncio.sleep(0.05)
    writer.close()
    await asyncio.sleep(0.1)
    assert (target.connections, target.runs) == (0, 0)
    assert served.node.request_tracker.body_bytes == 0


async def test_a_caller_that_disconnects_frees_its_grant(
    make_node, make_raw_target
):
    served = make_node()
    target = await make_raw_target(FAULT.SILENT)
    served.add_services(target.address)
    _, writer = await asyncio.open_connection('127.0.0.1', served.port)
    writer.write(f'GET {CALL} HTTP/1.1\r\nHost: x\r\n\r\n'.encode())
    await lone_node.wait_until(lambda: target.runs == 1)
    writer.close()
    await lone_node.wait_until(lambda: not len(served.node.request_tracker))
    assert all(entry.in_progress == 0 for entry in served.node.targets)


async def test_a_stopping_node_refuses_and_finishes(
    make_node, make_raw_target
):
    served = make_node(shutdown_timeout=5.0)
    target = await make_raw_target()
    served.add_services(target.address)
    target.fault = FAULT.SILENT
    slow = asyncio.create_task(
        served.fetch('POST', CALL, BODY, [('Waxwingport-Timeout-Ms', '900')])
    )
    await lone_node.wait_until(lambda: target.runs == 1)
    stopping = asyncio.create_task(served.server.stop())
    await lone_node.wait_until(lambda: served.node.request_tracker.is_refusing)
    assert (await served.fetch('GET', '/readyz')).status == 503
    response = await served.fetch('POST', CALL, BODY)
    assert (response.status, read_ran(response)) == (503, 'no')
    assert 'Retry-After' in dict(response.headers)
    assert read_ran(await slow) == 'unknown'
    await stopping
    assert target.runs == 1


async def test_a_call_beyond_the_shutdown_timeout_is_unknown(
    make_node, make_raw_target
):
    served = make_node(shutdown_timeout=0.2)
    target = await make_raw_target(FAULT.SILENT)
    served.add_services(target.address)
    slow = asyncio.create_task(served.fetch('POST', CALL, BODY))
    await lone_node.wait_until(lambda: target.runs == 1)
    await served.server.stop()
    response = await slow
    assert (response.status, read_ran(response)) == (502, 'unknown')


async def test_readiness_fails_before_requests_are_refused(
    make_node, make_raw_target
):
    served = make_node(drain_delay=0.5)
    target = await make_raw_target()
    served.add_services(target.address)
    assert (await served.fetch('GET', '/readyz')).status == 200
    stopping = asyncio.create_task(served.server.stop())
    await asyncio.sleep(0)
    assert (await served.fetch('GET', '/readyz')).status == 503
    assert (await served.fetch('POST', CALL, BODY)).status == 200
    with contextlib.suppress(asyncio.CancelledError):
        await stopping
