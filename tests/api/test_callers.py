import hashlib
import json

import pytest

from tests import lone_node
from waxwingport.configuration import declarations

CALL_PATH = f'/v1/services/{lone_node.SERVICE}/x'
IDS_PATH = '/v1/request-ids'


def make_caller(name, **fields):
    digest = hashlib.sha256(f'token-{name}'.encode()).hexdigest()
    return declarations.Caller(name=name, token_sha256=digest, **fields)


def make_token_header(name):
    return [('Authorization', f'Bearer token-{name}')]


@pytest.fixture
async def served(make_node, make_raw_target):
    lone = make_node()
    lone.add_services((await make_raw_target()).address)
    lone.declare(
        callers=(
            make_caller('coop-a'),
            make_caller('coop-b', allow=(lone_node.POOL,)),
        )
    )
    return lone


@pytest.mark.parametrize(
    ('headers', 'status'),
    [
        (make_token_header('coop-a'), 200),
        (make_token_header('coop-b'), 403),
        (make_token_header('nobody'), 401),
        ([], 401),
        ([('Waxwingport-Caller', 'coop-a')], 401),
        ([('Authorization', 'Basic token-coop-a')], 401),
        ([('Authorization', 'Bearer \xff\xfe')], 401),
    ],
)
async def test_callers_are_identified_by_token(served, headers, status):
    response = await served.fetch('GET', CALL_PATH, headers=headers)
    assert response.status == status
    if status != 200:
        assert json.loads(response.body)['ran'] == 'no'


async def test_allow_list_applies_to_completions(served):
    body = json.dumps({'model': 'other', 'prompt': 'x'}).encode()
    response = await served.fetch(
        'POST', '/v1/completions', body, make_token_header('coop-b')
    )
    assert response.status == 403


async def test_health_checks_need_no_token(served):
    for path in ('/healthz', '/readyz'):
        assert (await served.fetch('GET', path)).status in (200, 503)
    assert (await served.fetch('POST', IDS_PATH, b'{}')).status == 401


@pytest.mark.parametrize(
    ('name', 'value'),
    [
        ('Waxwingport-Timeout-Ms', '0'),
        ('Waxwingport-Timeout-Ms', '-5'),
        ('Waxwingport-Timeout-Ms', '1e3'),
        ('Waxwingport-Timeout-Ms', '9' * 400),
        ('Waxwingport-Timeout-Ms', '\u00b2'),
        ('Waxwingport-Priority', 'high'),
        ('Waxwingport-Priority', '101'),
        ('Waxwingport-Idempotent', 'maybe'),
        ('Waxwingport-Request-Id', 'a b'),
        ('Waxwingport-Request-Id', 'x' * 300),
        ('Waxwingport-Caller', 'two words'),
        ('Waxwingport-Caller', ''),
        ('Idempotency-Key', 'k' * 300),
        ('Idempotency-Key', ''),
    ],
)
async def test_invalid_header_is_refused_with_400(make_node, name, value):
    served = make_node()
    response = await served.fetch('POST', CALL_PATH, b'x', [(name, value)])
    assert response.status == 400
    problem = json.loads(response.body)
    assert problem['detail'].startswith(name)
    assert problem['ran'] == 'no'


async def test_completions_generate_an_id_for_each_request(
    make_node, make_raw_target
):
    """Requests get distinct ids, although their callers sent the same one.

    Otherwise an engine could confuse the requests of two callers.
    """
    served = make_node()
    headers = [('Waxwingport-Request-Id', 'mine-1')]
    request_ids = set()
    original = served.node.completions.stream

    def record_request_id(request):
        request_ids.add(request.work.request_id)
        return original(request)

    served.node.completions.stream = record_request_id
    body = json.dumps({'model': lone_node.POOL, 'prompt': 'x'}).encode()
    for _ in range(2):
        await served.fetch('POST', '/v1/completions', body, headers)
    assert len(request_ids) == 2
    assert 'mine-1' not in request_ids
