import hashlib
import json

import pytest

from tests import lone_node
from tests import raw_target
from waxwingport.configuration import declarations
from waxwingport import ids

SERVICE_PATH = f'/v1/services/{lone_node.SERVICE}'


@pytest.fixture
async def target(make_raw_target):
    return await make_raw_target()


@pytest.fixture
async def served(make_node, target):
    lone = make_node()
    lone.add_services(target.address)
    return lone


def read_request_head(target):
    line, *headers = target.heads[-1].decode('latin1').strip().split('\r\n')
    return line, [tuple(header.split(': ', 1)) for header in headers]


@pytest.mark.parametrize(
    'path',
    [
        '/a%2Fb/c%20d?x=%26&y=1&y=2&empty=',
        '/',
        '',
        '/a//b/../c;v=1?q=%C3%A4',
        '/%ff%00',
        '/x?',
    ],
)
async def test_path_and_query_are_forwarded_unchanged(served, target, path):
    assert (await served.fetch('GET', SERVICE_PATH + path)).status == 200
    line, _ = read_request_head(target)
    assert line == f'GET {path or "/"} HTTP/1.1'


@pytest.mark.parametrize(
    'method',
    ['GET', 'HEAD', 'POST', 'PUT', 'PATCH', 'DELETE', 'OPTIONS', 'PROPFIND'],
)
async def test_every_method_is_forwarded(served, target, method):
    body = b'' if method in ('GET', 'HEAD') else b'\x00\xff raw'
    response = await served.fetch(method, SERVICE_PATH + '/x', body)
    assert response.status == 200
    assert read_request_head(target)[0].startswith(method + ' ')
    assert target.bodies[-1] == body
    assert response.body == (b'' if method == 'HEAD' else target.answer)
    if method == 'HEAD':
        length = dict(response.headers)['Content-Length']
        assert int(length) == len(target.answer)


@pytest.mark.parametrize(
    ('kind', 'body'),
    [
        ('multipart/form-data; boundary=x', b'not multipart at all'),
        ('application/x-www-form-urlencoded', b'%%%&&&=' * 50),
    ],
)
async def test_forms_are_forwarded_unparsed(served, target, kind, body):
    headers = [('Content-Type', kind)]
    response = await served.fetch('POST', SERVICE_PATH + '/x', body, headers)
    assert response.status == 200
    assert target.bodies[-1] == body


async def test_only_end_to_end_headers_are_forwarded(served, target):
    await served.fetch(
        'GET',
        SERVICE_PATH + '/x',
        headers=[
            ('Connection', 'X-Private, close'),
            ('X-Private', '1'),
            ('Keep-Alive', 'timeout=5'),
            ('TE', 'trailers'),
            ('Proxy-Authorization', 'secret'),
            ('X-Twice', 'a'),
            ('X-Twice', 'b'),
            ('Accept-Encoding', 'gzip'),
            ('Authorization', 'Basic abc'),
        ],
    )
    _, headers = read_request_head(target)
    names = {name.lower() for name, _ in headers}
    assert not names & {
        'x-private',
        'keep-alive',
        'te',
        'proxy-authorization',
    }
    assert [value for name, value in headers if name == 'X-Twice'] == [
        'a',
        'b',
    ]
    assert ('Accept-Encoding', 'gzip') in headers
    assert ('Authorization', 'Basic abc') in headers


async def test_token_of_a_declared_caller_is_not_forwarded(served, target):
    token = 'a' * 20
    served.declare(
        callers=(
            declarations.Caller(
                name=ids.CallerName('club'),
                token_sha256=hashlib.sha256(token.encode()).hexdigest(),
            ),
        )
    )
    headers = [
        ('Authorization', f'Bearer {token}'),
        ('Waxwingport-Caller', 'another'),
    ]
    response = await served.fetch('GET', SERVICE_PATH + '/x', headers=headers)
    assert response.status == 200
    _, sent = read_request_head(target)
    assert ('Waxwingport-Caller', 'club') in sent
    assert not [name for name, _ in sent if name == 'Authorization']


@pytest.mark.parametrize(
    ('method', 'headers', 'runs'),
    [
        ('POST', [], 1),
        ('POST', [('Waxwingport-Idempotent', 'true')], 2),
        ('GET', [], 2),
        ('GET', [('Waxwingport-Idempotent', 'false')], 1),
        ('PUT', [], 2),
        ('MKCOL', [], 1),
    ],
)
async def test_only_idempotent_calls_run_again(
    make_node, make_raw_target, method, headers, runs
):
    served = make_node()
    fault = raw_target.Fault.RESET_AFTER_BODY
    targets = [await make_raw_target(fault) for _ in range(2)]
    served.add_services(*(target.address for target in targets))
    response = await served.fetch(method, SERVICE_PATH + '/x', b'x', headers)
    assert json.loads(response.body)['ran'] == 'unknown'
    assert sum(target.runs for target in targets) >= runs
    if runs == 1:
        assert sum(target.runs for target in targets) == 1
