"""The invariants of the brief, with nodes as processes that fail."""

import asyncio
import signal

import pytest

from tests.system import cluster
from waxwingport.configuration import declarations
from waxwingport.configuration import keys
from waxwingport.configuration import reader
from waxwingport.configuration import records
from waxwingport import ids
from waxwingport.trial import deployments

pytestmark = pytest.mark.timeout(120)


@pytest.fixture
async def running(tmp_path):
    """Serves Bavaria with four node processes, one a data centre."""
    found = cluster.Cluster(deployments.DEPLOYMENTS['bavaria'], tmp_path)
    await found.start(4)
    yield found
    await found.stop()


def book(running, node, headers, dog='Rex', timeout=20.0):
    path = f'/v1/services/{running.deployment.service}/bookings'
    return cluster.fetch(
        node.url, 'POST', path, {'dog': dog}, headers, timeout
    )


async def mint(node):
    _, answer = await cluster.fetch(
        node.url, 'POST', '/v1/request-ids', {'count': 1}
    )
    return {'Waxwingport-Request-Id': answer['request_ids'][0]}


def count_runs(running):
    return sum(row.runs for row in running.external.services)


async def test_minted_id_runs_once_through_every_node(running):
    nodes = list(running.nodes.values())
    headers = await mint(nodes[0])
    answers = await asyncio.gather(
        *(book(running, node, headers) for node in nodes * 3)
    )
    assert {status for status, _ in answers} == {200}
    assert len({answer['run'] for _, answer in answers}) == 1
    assert count_runs(running) == 1


async def test_minted_id_of_a_killed_node_is_never_run_again(running):
    first, second, *_ = running.nodes.values()
    for row in running.external.services:
        row.delay = 1.0
    headers = await mint(first)
    pending = asyncio.ensure_future(book(running, first, headers))
    await running.wait_until(lambda: has_run(running))
    first.kill()
    status, _ = await pending
    assert status == 0
    status, problem = await book(running, second, headers)
    assert (status, problem['ran']) == (502, 'unknown')
    assert count_runs(running) == 1
    first.start()
    await running.wait_ready(first)
    status, problem = await book(running, second, headers)
    assert (status, problem['ran']) == (502, 'unknown')
    assert count_runs(running) == 1


async def has_run(running):
    return count_runs(running) > 0


async def test_frozen_node_does_not_run_a_request_twice(running):
    first, second, *_ = running.nodes.values()
    headers = await mint(first)
    first.send(signal.SIGSTOP)
    status, problem = await book(running, second, headers, timeout=60.0)
    first.send(signal.SIGCONT)
    assert status in (502, 504)
    assert problem['ran'] == 'unknown'
    await running.wait_ready(first)
    await book(running, first, headers)
    assert count_runs(running) <= 1


async def test_planned_stop_cuts_off_no_request(running):
    first, *_ = running.nodes.values()
    for row in running.external.services:
        row.delay = 2.0
    pending = [
        asyncio.ensure_future(book(running, first, {}, dog=f'dog {index}'))
        for index in range(5)
    ]
    await running.wait_until(lambda: has_run(running))
    code = await first.stop()
    answers = await asyncio.gather(*pending)
    assert code == 0
    assert {status for status, _ in answers} == {200}
    dogs = {answer['body'] for _, answer in answers}
    assert len(dogs) == 5


async def test_calls_go_on_while_the_log_and_the_list_are_down(running):
    running.external.log.down = True
    running.external.vm_list.down = True
    for node in running.nodes.values():
        status, answer = await cluster.fetch(
            node.url,
            'POST',
            '/v1/completions',
            {'model': running.deployment.pool, 'prompt': node.name},
        )
        assert status == 200
        assert node.name in answer['choices'][0]['text']
        status, _ = await book(running, node, {})
        assert status == 200
        status, problem = await book(
            running, node, {'Idempotency-Key': f'key {node.name}'}
        )
        assert (status, problem['ran']) == (503, 'no')


async def test_crashed_engines_cut_off_no_completion(running):
    nodes = list(running.nodes.values())
    for row in running.external.engines:
        row.slowdown = 10.0
    prompts = [f'prompt {index}' for index in range(40)]
    pending = [
        asyncio.ensure_future(
            cluster.fetch(
                nodes[index % len(nodes)].url,
                'POST',
                '/v1/completions',
                {'model': running.deployment.pool, 'prompt': prompt},
            )
        )
        for index, prompt in enumerate(prompts)
    ]
    await asyncio.sleep(0.3)
    for row in running.external.engines[:2]:
        row.crash()
    answers = await asyncio.gather(*pending)
    assert {status for status, _ in answers} == {200}
    for prompt, (_, answer) in zip(prompts, answers, strict=True):
        text = answer['choices'][0]['text']
        assert text.startswith(prompt)
        words = text.removeprefix(prompt).split()
        expected = [f'w{index + 1}' for index in range(len(words))]
        assert words == expected


async def test_replaced_node_is_of_use_while_the_log_is_down(running):
    first, *_ = running.nodes.values()
    running.external.log.down = True
    first.kill()
    first.start()

    async def answers():
        status, _ = await cluster.fetch(
            first.url,
            'POST',
            '/v1/completions',
            {'model': running.deployment.pool, 'prompt': 'x'},
        )
        return status == 200

    await running.wait_until(answers)


async def test_accepted_configuration_reaches_every_node_and_stays(running):
    nodes = list(running.nodes.values())
    _, before = await cluster.fetch(nodes[0].url, 'GET', '/v1/status')
    declared = declarations.Declarations(
        limits=(declarations.Limits(queue_length=7),)
    )
    change = records.make_change(
        ids.RecordId('second'),
        'test',
        ids.Revision(before['revision']),
        keys.split(declared),
    )
    offset = await running.external.log.append(
        reader.STREAM, records.encode(change)
    )

    async def in_force():
        seen = [
            (await cluster.fetch(node.url, 'GET', '/v1/status'))[1]
            for node in nodes
        ]
        return {row['revision'] for row in seen} == {offset.ok}

    await running.wait_until(in_force)
    nodes[1].kill()
    nodes[1].start()
    await running.wait_ready(nodes[1])
    assert await in_force()
