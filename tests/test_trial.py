import asyncio
import base64
import json

from tornado import httpclient


async def fetch(deployment, method, path, body=None):
    """Returns the status and the decoded body of a request to the node."""
    client = httpclient.AsyncHTTPClient()
    response = await client.fetch(
        deployment.url + path,
        method=method,
        body=None if body is None else json.dumps(body),
        raise_error=False,
    )
    return response.code, json.loads(response.body)


async def test_completion_contains_the_prompt(running_deployment):
    status, answer = await fetch(
        running_deployment,
        'POST',
        '/v1/completions',
        {
            'model': running_deployment.deployment.pool,
            'prompt': 'Welpenkurs 17',
        },
    )
    assert status == 200
    assert 'Welpenkurs 17' in answer['choices'][0]['text']
    assert answer['weight_versions'] == [1]


async def test_service_call_runs_once(running_deployment):
    service = running_deployment.deployment.service
    status, answer = await fetch(
        running_deployment,
        'POST',
        f'/v1/services/{service}/bookings?slot=3',
        {'dog': 'Rex'},
    )
    assert status == 200
    assert answer['service'] == service
    assert answer['path'] == '/bookings?slot=3'
    assert json.loads(answer['body']) == {'dog': 'Rex'}
    assert sum(standin.runs for standin in running_deployment.services) == 1


async def test_pull_delivers_every_sample_once(running_deployment):
    trainer = running_deployment.deployment.trainer
    groups = [
        {'group': f'g{index}', 'prompt': f'prompt {index}', 'samples': 4}
        for index in range(3)
    ]
    await fetch(
        running_deployment,
        'PUT',
        f'/v1/trainers/{trainer}/steps/1',
        {'groups': groups},
    )
    received = bytearray(2)
    numbers = []
    while len(numbers) < 12:
        _, answer = await fetch(
            running_deployment,
            'POST',
            f'/v1/trainers/{trainer}/pull',
            {
                'step': 1,
                'version': 1,
                'received': base64.b64encode(bytes(received)).decode(),
            },
        )
        for sample in answer['samples']:
            number = sample['number']
            numbers.append(number)
            received[number // 8] |= 1 << number % 8
            assert f'prompt {number // 4}' in sample['text']
    assert sorted(numbers) == list(range(12))


async def test_unknown_model_is_not_run(running_deployment):
    status, answer = await fetch(
        running_deployment,
        'POST',
        '/v1/completions',
        {'model': 'nobody', 'prompt': 'x'},
    )
    assert (status, answer['ran']) == (404, 'no')


async def test_trainer_completes_steps_without_a_fault(running_deployment):
    trainer = running_deployment.start_trainer()
    while trainer.steps_done < 2:
        await asyncio.sleep(0.05)
    assert trainer.faults == []
    assert len(trainer.received) >= 2 * 16
    latest = running_deployment.node.versions.find_latest(
        running_deployment.deployment.trainer
    )
    assert latest.version == 3


async def test_new_weights_reach_data_centres_without_nodes(
    running_deployment,
):
    trainer = running_deployment.deployment.trainer
    await fetch(
        running_deployment,
        'PUT',
        f'/v1/trainers/{trainer}/versions/2',
        {'weights': 'w/2'},
    )
    while True:
        versions = {
            engine.state.weight_version
            for engine in running_deployment.engines
        }
        if versions == {2}:
            break
        await asyncio.sleep(0.05)
