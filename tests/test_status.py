from tornado import httpclient

from tests import test_trial


async def test_status_and_metrics_count_refusals(running_stage):
    body = {'model': 'nobody', 'prompt': 'x'}
    await test_trial.fetch(running_stage, 'POST', '/v1/completions', body)
    _, status = await test_trial.fetch(running_stage, 'GET', '/v1/status')
    assert status['refusals'] == [
        {'reason': 'not-found', 'ran': 'no', 'count': 1}
    ]
    client = httpclient.AsyncHTTPClient()
    exposed = (await client.fetch(running_stage.url + '/metrics')).body
    assert (
        b'waxwingport_refusals_total{ran="no",reason="not-found"} 1' in exposed
    )
    assert b'waxwingport_configuration_revision 0' in exposed


async def test_status_names_what_the_design_lists(running_stage):
    _, status = await test_trial.fetch(running_stage, 'GET', '/v1/status')
    named = {'revision', 'pools', 'services', 'trainers', 'targets', 'nodes'}
    assert named <= set(status)
    keys = {'name', 'staleness_bound', 'version'}
    assert keys <= set(status['trainers'][0])
    assert {'name', 'state', 'weight_version'} <= set(status['targets'][0])
