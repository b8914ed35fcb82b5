"""Streams over real connections that break, stall or repeat chunks.

Checks the invariant that every caller gets the complete answer to its own
request.
"""

import asyncio
import json
import time

import pytest

from tests import lone_node
from tests import raw_engine
from waxwingport.http import client
from waxwingport.targets import base

FAULT = raw_engine.StreamFault
PATH = '/v1/completions'
FULL_TEXT = raw_engine.write_text(0, raw_engine.TOTAL)


def write_body(**fields):
    body = {'model': lone_node.POOL, 'prompt': 'p', 'max_tokens': 12}
    return json.dumps(body | fields).encode()


def read_events(response):
    events = response.body.split(b'\n\n')
    assert events.pop() == b''
    return [event.removeprefix(b'data: ') for event in events]


def make_settings():
    return client.ClientSettings(progress_timeout=0.3, connect_timeout=0.3)


@pytest.fixture
async def make_engine():
    made = []

    async def make(*arguments, **options):
        made.append(raw_engine.RawEngine(*arguments, **options))
        return await made[-1].start()

    yield make
    for engine in made:
        await engine.stop()


@pytest.fixture
async def served(make_node):
    return make_node(client_settings=make_settings(), probe_timeout=0.3)


@pytest.mark.parametrize('position', [0, 4, 10])
@pytest.mark.parametrize('fault', list(FAULT))
async def test_an_answer_is_complete_after_any_fault_of_one_stream(
    served, make_engine, fault, position
):
    bad = await make_engine(fault, position)
    good = await make_engine()
    good.version = 2
    served.add_engines(bad.address, good.address)
    for stream in (True, False):
        response = await served.fetch('POST', PATH, write_body(stream=stream))
        assert response.status == 200
        if not stream:
            answer = json.loads(response.body)
            assert answer['choices'][0]['text'] == FULL_TEXT
            continue
        *events, done = read_events(response)
        assert done == b'[DONE]'
        decoded = [json.loads(item) for item in events]
        assert (
            ''.join(item['choices'][0]['text'] for item in decoded)
            == FULL_TEXT
        )
        assert set(decoded[-1]['weight_versions']) <= {1, 2}
    assert all(item.in_progress == 0 for item in served.node.targets)


async def test_a_silent_connection_resumes_at_the_same_engine(
    served, make_engine
):
    engine = await make_engine(FAULT.CONNECTION_SILENT)
    served.add_engines(engine.address)
    response = await served.fetch('POST', PATH, write_body())
    assert json.loads(response.body)['choices'][0]['text'] == FULL_TEXT
    assert engine.starts == [0, 4]
    assert len(engine.cancels) == 1


async def test_a_stream_of_a_silent_engine_moves_to_another(
    served, make_engine
):
    silent = await make_engine(FAULT.ENGINE_SILENT)
    served.add_engines(silent.address)
    task = asyncio.create_task(served.fetch('POST', PATH, write_body()))
    await lone_node.wait_until(lambda: silent.starts == [0])
    other = await make_engine()
    other.version = 2
    served.add_engines(other.address)
    answer = json.loads((await task).body)
    assert answer['choices'][0]['text'] == FULL_TEXT
    assert answer['weight_versions'] == [1, 2]
    assert (silent.starts, other.starts) == ([0], [4])


async def start_engines_of_versions(served, make_engine, *versions):
    """Starts engines, of which the first breaks off, and states versions."""
    engines = []
    for software in versions:
        fault = FAULT.NONE if engines else FAULT.RESET
        engine = await make_engine(fault, failures=99)
        engine.software = software
        engines.append(engine)
        served.add_engines(engine.address)
    for target, engine in zip(served.node.targets, engines, strict=True):
        target.engine_state = base.EngineState(1, software=engine.software)
    for target in list(served.node.targets)[1:]:
        # The first engine gets the request.
        target.start_request()
    return engines


async def test_an_answer_goes_on_at_another_software_version(
    served, make_engine
):
    engines = await start_engines_of_versions(
        served, make_engine, 'v1', 'v2', 'v1'
    )
    answer = json.loads((await served.fetch('POST', PATH, write_body())).body)
    assert answer['choices'][0]['text'] == FULL_TEXT
    assert [engine.starts for engine in engines[1:]] == [[], [4]]


async def test_an_answer_without_an_engine_of_its_version_goes_on(
    served, make_engine
):
    _, other = await start_engines_of_versions(served, make_engine, 'v1', 'v2')
    response = await served.fetch('POST', PATH, write_body())
    assert response.status == 502
    assert other.starts == []


async def test_an_engine_of_another_version_than_it_stated_goes_on(
    served, make_engine
):
    # An engine that starts anew may have another version before it says so.
    _, other = await start_engines_of_versions(served, make_engine, 'v1', 'v1')
    other.software = 'v2'
    response = await served.fetch('POST', PATH, write_body())
    assert response.status == 502
    assert set(other.starts) == {4}


async def test_idle_connections_are_closed_after_one_stalls(
    served, make_engine
):
    engine = await make_engine()
    served.add_engines(engine.address)
    bodies = [served.fetch('POST', PATH, write_body()) for _ in range(4)]
    await asyncio.gather(*bodies)
    before = engine.connections
    engine.stream_fault = FAULT.CONNECTION_SILENT
    engine.failures = 1
    await served.fetch('POST', PATH, write_body())
    assert engine.connections > before


@pytest.mark.parametrize('fault', [FAULT.RESET, FAULT.ENGINE_SILENT])
async def test_a_broken_stream_ends_in_an_error_event(
    served, make_engine, fault
):
    engine = await make_engine(fault, failures=99)
    served.add_engines(engine.address)
    response = await served.fetch('POST', PATH, write_body(stream=True))
    *events, last = read_events(response)
    assert b'[DONE]' not in events
    error = json.loads(last)['error']
    assert error['ran'] == 'unknown'
    assert error['message']


async def test_a_broken_answer_without_streaming_is_a_problem(
    served, make_engine
):
    engine = await make_engine(FAULT.RESET, failures=99)
    served.add_engines(engine.address)
    response = await served.fetch('POST', PATH, write_body())
    assert response.status == 502
    assert json.loads(response.body)['ran'] == 'unknown'


async def test_parameters_reach_the_engine(served, make_engine):
    engine = await make_engine()
    served.add_engines(engine.address)
    await served.fetch(
        'POST', PATH, write_body(temperature=0.5, top_k=3, stop=['x'])
    )
    assert engine.parameters == [
        {'temperature': 0.5, 'top_k': 3, 'stop': ['x']}
    ]


async def start_stream(served, **fields):
    body = write_body(stream=True, **fields)
    reader, writer = await asyncio.open_connection(
        '127.0.0.1', served.port, limit=4096
    )
    head = f'POST {PATH} HTTP/1.1\r\nHost: x\r\nContent-Length: {len(body)}'
    writer.write(head.encode() + b'\r\n\r\n' + body)
    await reader.readuntil(b'\r\n\r\n')
    return reader, writer


async def test_a_disconnect_of_the_caller_cancels_at_the_engine(
    served, make_engine
):
    engine = await make_engine()
    engine.endless = True
    served.add_engines(engine.address)
    _, writer = await start_stream(served)
    writer.transport.abort()
    await lone_node.wait_until(lambda: engine.cancels and engine.dropped)
    await lone_node.wait_until(lambda: not len(served.node.request_tracker))
    assert all(item.in_progress == 0 for item in served.node.targets)


async def test_a_caller_that_stops_reading_is_cancelled(
    make_node, make_engine
):
    served = make_node(write_timeout=0.3)
    engine = await make_engine()
    engine.endless = True
    # Fills the kernel's socket buffers quickly.
    engine.padding = 'x' * 16384
    served.add_engines(engine.address)
    _, writer = await start_stream(served)
    started_at = time.monotonic()
    await lone_node.wait_until(lambda: engine.cancels, timeout=10.0)
    assert time.monotonic() - started_at > 0.3
    await lone_node.wait_until(lambda: not len(served.node.request_tracker))
    writer.transport.abort()


async def test_a_shutdown_ends_open_streams_with_an_error_event(
    make_node, make_engine
):
    served = make_node(shutdown_timeout=0.1)
    engine = await make_engine()
    engine.endless = True
    served.add_engines(engine.address)
    reader, writer = await start_stream(served)
    received = bytearray()

    async def read_all():
        while data := await reader.read(65536):
            received.extend(data)

    reading = asyncio.create_task(read_all())
    await asyncio.sleep(0.05)
    await served.server.stop()
    await asyncio.wait_for(reading, 5.0)
    tail = bytes(received[-600:])
    assert b'"error":' in tail
    assert b'[DONE]' not in received
    assert tail.endswith(b'0\r\n\r\n')
    await lone_node.wait_until(lambda: engine.cancels)


async def test_the_only_engine_is_tried_again(served, make_engine):
    engine = await make_engine(FAULT.ERROR_500)
    served.add_engines(engine.address)
    response = await served.fetch('POST', PATH, write_body())
    assert json.loads(response.body)['choices'][0]['text'] == FULL_TEXT


async def test_retries_stay_within_the_budget(served, make_engine):
    """Retries during an outage do not multiply the number of attempts."""
    engines = [
        await make_engine(FAULT.ERROR_500, failures=10**6) for _ in range(3)
    ]
    served.add_engines(*(engine.address for engine in engines))
    requests = 60
    bodies = [
        served.fetch('POST', PATH, write_body()) for _ in range(requests)
    ]
    await asyncio.gather(*bodies)
    share = served.node.retry_budget.retry_share
    attempts = sum(engine.runs for engine in engines)
    assert attempts <= requests * (1 + share) + 4


async def test_a_finished_stream_leaves_its_connection_for_the_next(
    served, make_engine
):
    engine = await make_engine()
    served.add_engines(engine.address)
    for _ in range(5):
        response = await served.fetch('POST', PATH, write_body())
        assert json.loads(response.body)['choices'][0]['text'] == FULL_TEXT
        await asyncio.sleep(0.02)
    assert engine.connections == 1
    assert not engine.cancels
