"""How a node applies the operator's configuration, and what it logs of it."""

import json

import pytest

from tests.gateway import test_node

deployment = test_node.deployment


async def test_a_refusal_tells_the_version_and_how_old_the_knowledge_is(
    deployment, caplog
):
    caplog.set_level('INFO')
    served = await deployment.start_node()
    found = await deployment.call(served, 'POST', '/unknown/x')
    assert found.status == 404
    assert json.loads(found.body) == {'reason': 'not-found'}
    (refused,) = [
        record
        for record in caplog.records
        if record.message == 'request-refused'
    ]
    assert refused.configuration == 1
    assert 0.0 <= refused.unconfirmed_s < 5.0
    text = served._render_metrics()[0].decode()
    assert 'waxwingport_configuration_unconfirmed_seconds' in text


async def test_a_node_that_heard_nothing_does_not_count_as_up_to_date(
    deployment,
):
    # Guards against an alarm that is silent until the first answer.
    deployment.log.down = True
    with pytest.raises(TimeoutError):
        await deployment.start_node()
    (served,) = deployment.nodes
    lines = served._render_metrics()[0].decode().splitlines()
    assert 'waxwingport_configuration_unconfirmed_seconds inf' in lines
