import hashlib

import msgspec
import pytest
from tornado import httpclient

from tests import test_trial
from waxwingport.configuration import declarations
from waxwingport import ids


async def test_status_and_metrics_count_refusals(running_deployment):
    body = {'model': 'nobody', 'prompt': 'x'}
    await test_trial.fetch(running_deployment, 'POST', '/v1/completions', body)
    _, status = await test_trial.fetch(running_deployment, 'GET', '/v1/status')
    assert status['refusals'] == [
        {'reason': 'not-found', 'ran': 'no', 'count': 1}
    ]
    client = httpclient.AsyncHTTPClient()
    exposed = (await client.fetch(running_deployment.url + '/metrics')).body
    assert (
        b'waxwingport_refusals_total{ran="no",reason="not-found"} 1' in exposed
    )
    assert b'waxwingport_configuration_revision 0' in exposed


async def test_status_has_the_required_fields(running_deployment):
    _, status = await test_trial.fetch(running_deployment, 'GET', '/v1/status')
    required = {
        'revision',
        'pools',
        'services',
        'trainers',
        'targets',
        'nodes',
    }
    assert required <= set(status)
    keys = {'name', 'staleness_bound', 'version'}
    assert keys <= set(status['trainers'][0])
    assert {'name', 'state', 'weight_version'} <= set(status['targets'][0])


TOKENS = {'tenant': 'a', 'operator': 'b', 'stranger': 'c'}


@pytest.fixture
async def stage_with_callers(running_deployment):
    """Declares one caller with an ``allow`` list and one operator."""
    configuration = running_deployment.node.configuration
    declared = msgspec.structs.replace(
        configuration.declarations,
        callers=(
            make_caller('tenant', allow=(running_deployment.deployment.pool,)),
            make_caller('operator', operator=True),
        ),
    )
    revision = ids.Revision(configuration.revision + 1)
    assert configuration.apply(revision, declared)
    return running_deployment


def make_caller(name, **changes):
    digest = hashlib.sha256(TOKENS[name].encode()).hexdigest()
    return declarations.Caller(ids.CallerName(name), digest, **changes)


async def fetch_as(deployment, name, path):
    client = httpclient.AsyncHTTPClient()
    headers = {'Authorization': f'Bearer {TOKENS[name]}'} if name else {}
    return await client.fetch(
        deployment.url + path, headers=headers, raise_error=False
    )


@pytest.mark.parametrize(
    ('name', 'path', 'status'),
    [
        (None, '/v1/status', 401),
        ('stranger', '/v1/status', 401),
        ('tenant', '/v1/status', 200),
        ('operator', '/v1/status', 200),
        (None, '/metrics', 401),
        ('tenant', '/metrics', 403),
        ('operator', '/metrics', 200),
        (None, '/healthz', 200),
    ],
)
async def test_access_by_token(stage_with_callers, name, path, status):
    assert (await fetch_as(stage_with_callers, name, path)).code == status


async def test_tenant_sees_only_what_it_may_use(stage_with_callers):
    response = await fetch_as(stage_with_callers, 'tenant', '/v1/status')
    status = msgspec.json.decode(response.body)
    pool = stage_with_callers.deployment.pool
    assert [entry['name'] for entry in status['pools']] == [pool]
    hidden = ('services', 'trainers', 'targets', 'nodes', 'leases')
    for name in (*hidden, 'refusals'):
        assert status[name] == []


@pytest.mark.parametrize(
    ('method', 'path'),
    [
        ('PUT', 'steps/1'),
        ('DELETE', 'steps/1'),
        ('POST', 'pull'),
        ('PUT', 'versions/2'),
    ],
)
async def test_tenant_cannot_use_a_trainer_that_is_not_allowed(
    stage_with_callers, method, path
):
    trainer = stage_with_callers.deployment.trainer
    client = httpclient.AsyncHTTPClient()
    response = await client.fetch(
        f'{stage_with_callers.url}/v1/trainers/{trainer}/{path}',
        method=method,
        headers={'Authorization': f'Bearer {TOKENS["tenant"]}'},
        body=None if method == 'DELETE' else b'{}',
        raise_error=False,
    )
    assert response.code == 403
