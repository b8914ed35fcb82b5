"""Invalid input gets a problem answer, and the node keeps serving.

The memory for what is being received stays bounded.
"""

import asyncio
import contextlib
import json
import logging

from hypothesis import given
from hypothesis import HealthCheck
from hypothesis import settings
from hypothesis import strategies as st
import pytest

from tests import lone_node

PATH = '/v1/completions'


async def send_raw(served, data):
    """Returns all bytes that the node sends in response to ``data``."""
    reader, writer = await asyncio.open_connection('127.0.0.1', served.port)
    writer.write(data)
    try:
        return await asyncio.wait_for(reader.read(), 10.0)
    except ConnectionError:
        return b''
    finally:
        writer.close()
        with contextlib.suppress(ConnectionError):
            await writer.wait_closed()


def read_problem(data):
    head, _, body = data.partition(b'\r\n\r\n')
    length = int(head.lower().split(b'content-length: ')[1].split()[0])
    return int(head.split()[1]), json.loads(body[:length])


async def check_alive(served):
    assert (await served.fetch('GET', '/healthz')).status == 200
    assert served.node.request_tracker.body_bytes == 0
    assert not len(served.node.request_tracker)


@pytest.mark.parametrize(
    'body',
    [
        b'',
        b'{',
        b'null',
        b'[]',
        b'\xff\xfe\x00',
        b'{"model": "\xff", "prompt": "x"}',
        b'{"model": 7, "prompt": "x"}',
        b'{"model": "drafts"}',
        b'{"model": "drafts", "prompt": "\\ud800"}',
        b'{"model": "drafts", "prompt": "x", "max_tokens": -1}',
        b'{"model": "drafts", "prompt": "x", "max_tokens": 1e400}',
        b'{"model": "drafts", "prompt": "x", "stream": "yes"}',
        b'[' * 100_000,
        b'{"model": "drafts", "prompt": "x", "a": ' + b'[' * 100_000,
        b'{"model": "drafts", "prompt": "x", "a": '
        + b'{"b":' * 50_000
        + b'1'
        + b'}' * 50_000
        + b'}',
    ],
)
async def test_invalid_body_is_refused_with_400(make_node, body):
    served = make_node()
    response = await served.fetch('POST', PATH, body)
    assert response.status == 400
    problem = json.loads(response.body)
    assert problem['ran'] == 'no'
    assert problem['detail']
    await check_alive(served)


async def test_unknown_pool_is_404(make_node):
    served = make_node()
    body = b'{"model": "nobody", "prompt": "x"}'
    response = await served.fetch('POST', PATH, body)
    assert response.status == 404
    assert json.loads(response.body)['ran'] == 'no'


async def test_unknown_path_and_method_are_problems(make_node):
    served = make_node()
    for method, path, status in (
        ('GET', '/nowhere', 404),
        ('DELETE', PATH, 405),
    ):
        response = await served.fetch(method, path)
        assert response.status == status
        assert json.loads(response.body)['ran'] == 'no'


async def test_oversized_body_is_413(make_node):
    served = make_node(max_body_size=1000)
    head = f'POST {PATH} HTTP/1.1\r\nHost: x\r\nContent-Length: 1001\r\n\r\n'
    answer = await send_raw(served, head.encode())
    status, problem = read_problem(answer)
    assert (status, problem['ran']) == (413, 'no')
    await check_alive(served)


async def test_oversized_chunked_body_is_413(make_node):
    served = make_node(max_body_size=1000)
    head = (
        f'POST {PATH} HTTP/1.1\r\nHost: x\r\n'
        'Transfer-Encoding: chunked\r\n\r\n'
    )
    answer = await send_raw(
        served, head.encode() + b'400\r\n' + b'x' * 1024 + b'\r\n'
    )
    status, problem = read_problem(answer)
    assert (status, problem['ran']) == (413, 'no')
    await check_alive(served)


async def test_oversized_headers_are_431(make_node):
    served = make_node(max_header_size=2000)
    head = f'GET {PATH} HTTP/1.1\r\nHost: x\r\nX-Long: {"y" * 3000}\r\n\r\n'
    status, problem = read_problem(await send_raw(served, head.encode()))
    assert (status, problem['ran']) == (431, 'no')
    await check_alive(served)


async def test_endless_headers_close_the_connection(make_node):
    served = make_node(max_header_size=2000)
    head = b'GET / HTTP/1.1\r\n' + b'X-More: y\r\n' * 20_000
    assert b'200' not in await send_raw(served, head)
    await check_alive(served)


async def test_slow_body_is_408(make_node):
    served = make_node(body_timeout=0.2)
    head = f'POST {PATH} HTTP/1.1\r\nHost: x\r\nContent-Length: 10\r\n\r\n'
    status, problem = read_problem(
        await send_raw(served, head.encode() + b'{')
    )
    assert (status, problem['ran']) == (408, 'no')
    await check_alive(served)


async def test_slow_headers_close_the_connection(make_node):
    served = make_node(header_timeout=0.2)
    assert await send_raw(served, b'GET / HT') == b''
    await check_alive(served)


async def test_memory_of_all_bodies_is_limited(make_node):
    served = make_node(max_body_size=1000, body_memory=1500)
    head = f'POST {PATH} HTTP/1.1\r\nHost: x\r\nContent-Length: 1000\r\n\r\n'
    _, first = await asyncio.open_connection('127.0.0.1', served.port)
    first.write(head.encode())
    await lone_node.wait_until(lambda: served.node.request_tracker.body_bytes)
    status, problem = read_problem(await send_raw(served, head.encode()))
    assert (status, problem['ran']) == (503, 'no')
    first.close()
    await lone_node.wait_until(
        lambda: not served.node.request_tracker.body_bytes
    )
    await check_alive(served)


async def test_connections_are_limited(make_node):
    served = make_node(max_connections=2)
    connections = [
        await asyncio.open_connection('127.0.0.1', served.port)
        for _ in range(2)
    ]
    await asyncio.sleep(0.05)
    status, problem = read_problem(await send_raw(served, b''))
    assert (status, problem['ran']) == (503, 'no')
    for _, writer in connections:
        writer.close()
    await asyncio.sleep(0.05)
    await check_alive(served)


async def test_prompts_and_tokens_are_never_logged(
    make_node, make_raw_target, caplog
):
    caplog.set_level(logging.DEBUG)
    served = make_node()
    served.add_engines((await make_raw_target()).address)
    body = json.dumps({'model': lone_node.POOL, 'prompt': 'Geheimnis'})
    headers = [('Authorization', 'Bearer Schluessel')]
    await served.fetch('POST', PATH, body.encode(), headers)
    assert caplog.records
    assert 'Geheimnis' not in caplog.text
    assert 'Schluessel' not in caplog.text


texts = st.text(max_size=12)
values = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | texts,
    lambda inner: (
        st.lists(inner, max_size=3) | st.dictionaries(texts, inner, max_size=3)
    ),
    max_leaves=6,
)
fields = st.sampled_from(
    ['model', 'prompt', 'messages', 'max_tokens', 'stream', 'n', 'stop', 'q']
)
documents = st.dictionaries(fields, values, max_size=6).map(
    lambda fields: json.dumps(fields).encode()
)
header_names = st.sampled_from(
    [
        'Waxwingport-Caller',
        'Waxwingport-Idempotent',
        'Waxwingport-Priority',
        'Waxwingport-Request-Id',
        'Waxwingport-Timeout-Ms',
        'Idempotency-Key',
        'Authorization',
        'Content-Type',
        'Expect',
        'X-Any',
    ]
)
header_values = st.binary(max_size=20).map(
    lambda value: value.translate(None, b'\r\n\0')
)
paths = st.sampled_from(
    [
        '/v1/completions',
        '/v1/chat/completions',
        '/v1/request-ids',
        f'/v1/services/{lone_node.SERVICE}/x',
        '/v1/services/',
        '/%ff',
    ]
)


@settings(suppress_health_check=[HealthCheck.function_scoped_fixture])
@given(
    path=paths,
    body=documents | st.binary(max_size=60),
    headers=st.lists(st.tuples(header_names, header_values), max_size=3),
)
def test_no_input_breaks_the_server(loop_and_node, path, body, headers):
    loop, served = loop_and_node
    head = f'POST {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n'
    lines = [name.encode() + b': ' + value for name, value in headers]
    lines.append(f'Content-Length: {len(body)}'.encode())
    data = head.encode() + b'\r\n'.join(lines) + b'\r\n\r\n' + body
    answer = loop.run_until_complete(send_raw(served, data))
    assert answer.startswith(b'HTTP/1.1 ')
    assert b'HTTP/1.1 500' not in answer
    loop.run_until_complete(check_alive(served))


@pytest.fixture
def loop_and_node():
    """Returns an event loop and a node in it.

    Hypothesis calls a synchronous test many times, so the fixture cannot use
    the loop of an asynchronous test.
    """
    loop = asyncio.new_event_loop()

    async def start():
        lone = lone_node.LoneNode()
        lone.declare()
        return lone

    served = loop.run_until_complete(start())
    yield loop, served
    loop.run_until_complete(served.stop())
    loop.close()
