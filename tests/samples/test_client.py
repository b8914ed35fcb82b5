"""Tests of the client against nodes in memory that lose and repeat answers."""

import asyncio
import random

from expression import Error
from expression import Ok
from expression import Result
import msgspec
import pytest

from waxwingport.api import problems
from waxwingport import client
from waxwingport import outcomes
from waxwingport.samples import steps
from waxwingport.standins import trainer

from tests.samples import conftest

NAME = conftest.TRAINER.name
SETTINGS = client.ClientSettings(pull_wait=2.0, answer_margin=1.0)


class SiteTransport(client.Transport):
    """Calls the collectors of a site instead of sending HTTP requests.

    A request fails with probability ``lost`` before it takes effect; its
    answer is lost with the same probability, and the request then takes
    effect while the client already retries.
    """

    def __init__(self, sites, lost=0.0, seed=1):
        self.sites = sites
        self.lost = lost
        self.rng = random.Random(seed)
        self.gone = set()
        self.versions = []
        self.late = set()
        self.asked = []

    async def fetch(self, url, method, body, timeout):
        host, _, path = url.partition('/v1/')
        self.asked.append((host, method, path))
        if host in self.gone or self.rng.random() < self.lost:
            await asyncio.sleep(0.01)
            return Error('nobody there')
        call = self.call(self.sites[host], method, path, body)
        if self.rng.random() < self.lost:
            # The answer is lost; the request takes effect during the retry.
            loop = asyncio.get_running_loop()
            self.late.add(loop.create_task(call))
            await asyncio.sleep(timeout)
            return Error('no answer')
        return Ok(_answer(await call))

    async def call(self, site, method, path, body):
        _, name, kind, *rest = path.split('/')
        if kind == 'pull':
            request = msgspec.json.decode(body, type=steps.PullRequest)
            outcome = await site.collectors.pull(name, request)
            return outcome.map(lambda answer: {'samples': answer.samples})
        if kind == 'versions':
            self.versions.append(int(rest[0]))
            for engine in site.fleet.engines.values():
                engine.state = msgspec.structs.replace(
                    engine.state, weight_version=int(rest[0])
                )
            return Ok({})
        found = (
            None
            if method == 'DELETE'
            else msgspec.json.decode(body, type=steps.StepBody)
        )
        outcome = await site.collectors.put_step(name, int(rest[0]), found)
        return outcome.map(lambda _: {})


def _answer(outcome):
    match outcome:
        case Result(tag='ok', ok=value):
            return client.Response(200, msgspec.json.encode(value))
        case Result(error=refusal):
            problem = problems.describe(refusal)
            return client.Response(
                problem.status, msgspec.json.encode(problem)
            )


def make_client(transport, seed=1):
    return client.TrainerClient(
        list(transport.sites), NAME, SETTINGS, transport, random.Random(seed)
    )


@pytest.mark.looptime
@pytest.mark.parametrize('delivery', list(client.Delivery))
@pytest.mark.parametrize('seed', range(3))
async def test_samples_are_read_exactly_once_despite_lost_answers(
    make_sites, delivery, seed
):
    _, sites = make_sites(2)
    named = {f'http://{index}': site for index, site in enumerate(sites)}
    transport = SiteTransport(named, lost=0.2, seed=seed)
    settings = trainer.StandInTrainerSettings(
        staleness_bound=1, delivery=delivery
    )
    found = trainer.StandInTrainer(make_client(transport, seed), settings)
    await found.run(6)
    assert found.faults == []
    assert len(found.received) == 6 * 16


@pytest.mark.looptime
async def test_trainer_continues_when_the_collecting_node_fails(make_sites):
    network, sites = make_sites(2)
    named = {f'http://{index}': site for index, site in enumerate(sites)}
    transport = SiteTransport(named)
    found = trainer.StandInTrainer(
        make_client(transport),
        trainer.StandInTrainerSettings(staleness_bound=1),
    )
    running = asyncio.get_running_loop().create_task(found.run(8))
    for index in (0, 1, 0):
        await asyncio.sleep(2)
        transport.gone = {f'http://{index}'}
        network.frozen = {f'10.0.0.{index}:1'}
        await sites[index].collectors.close()
    await running
    assert found.faults == []
    assert len(found.received) == 8 * 16


@pytest.mark.looptime
async def test_position_is_restored_with_the_checkpoint(make_site):
    site = make_site()
    transport = SiteTransport({'http://0': site})
    link = make_client(transport)
    groups = [client.Group('g', 'prompt', 8)]
    await link.put_step(1, groups, {'max_tokens': 30})
    read = []
    saved = b''
    async for outcome in link.samples(1):
        read.append(outcome.ok)
        if len(read) == 3:
            saved = link.save()
        if len(read) == 5:
            break
    again = make_client(transport)
    again.restore(saved)
    await site.collectors.close()
    rest = [outcome.ok.number async for outcome in again.samples(1)]
    kept = [sample.number for sample in read[:3]]
    assert sorted(kept + rest) == list(range(8))
    assert again.version == 1


@pytest.mark.looptime
async def test_restoring_an_inconsistent_position_fails():
    link = client.TrainerClient('http://0', NAME, transport=SiteTransport({}))
    with pytest.raises(ValueError, match='step 1'):
        link.restore(
            b'{"steps":{"1":{"body":{"groups":[]},"size":3,'
            b'"received":"/w=="}}}'
        )


@pytest.mark.looptime
async def test_refusal_ends_the_iteration(make_site):
    site = make_site()
    link = client.TrainerClient(
        'http://0',
        'nobody',
        SETTINGS,
        SiteTransport({'http://0': site}),
    )
    put = await link.put_step(1, [client.Group('g', 'p', 1)])
    assert put.error.reason == outcomes.Reason.NOT_FOUND.value
    (outcome,) = [found async for found in link.samples(1)]
    assert outcome.error.status == 404


@pytest.mark.looptime
async def test_another_body_is_refused_until_the_step_is_removed(make_site):
    site = make_site()
    transport = SiteTransport({'http://0': site})
    link, other = make_client(transport), make_client(transport)
    assert (await link.put_step(1, [client.Group('g', 'p', 1)])).is_ok()
    body = [client.Group('g', 'other', 1)]
    refused = (await other.put_step(1, body)).error
    assert (refused.status, refused.reason) == (409, 'conflict')
    assert (await other.give_up(1)).is_ok()
    assert (await other.put_step(1, body)).is_ok()
    (outcome,) = [found async for found in other.samples(1)]
    assert outcome.ok.text.startswith('other')


async def test_trainer_over_http_reads_every_sample_once(running_deployment):
    link = client.TrainerClient(
        ['http://127.0.0.1:9', running_deployment.url],
        running_deployment.deployment.trainer,
    )
    bound = running_deployment.node.configuration.declarations.trainers[0]
    found = trainer.StandInTrainer(
        link,
        trainer.StandInTrainerSettings(
            train_time=0.2, staleness_bound=bound.staleness_bound
        ),
    )
    await found.run(2)
    await running_deployment.node.collectors.close()
    await found.run(4)
    assert found.faults == []
    assert len(found.received) == 4 * 16
    assert all(item.sample.score is not None for item in found.received)


async def test_faulty_requests_over_http_are_refused(running_deployment):
    transport = client.HttpTransport()
    name = running_deployment.deployment.trainer
    base = f'{running_deployment.url}/v1/trainers/{name}'
    whole = b'{"groups":[{"group":"a","prompt":"p","samples":1}]}'
    table = [
        ('PUT', 'steps/1', b'{}', 400),
        ('PUT', 'steps/1', b'{"groups":[]}', 400),
        ('PUT', f'steps/{2**53}', whole, 400),
        ('PUT', f'steps/{"9" * 5000}', whole, 400),
        ('PUT', 'versions/0', b'{"weights":"w"}', 400),
        ('POST', 'pull', b'{"step":1,"version":1,"received":""}', 404),
        ('PUT', 'steps/1', whole, 200),
        ('PUT', 'steps/1', whole.replace(b'"p"', b'"q"'), 409),
        ('POST', 'pull', b'{"step":1,"version":0,"received":""}', 400),
        ('POST', 'pull', b'{"step":1,"version":1,"received":"gA=="}', 400),
        ('POST', 'pull', b'{"step":1,"version":1,"max":0}', 400),
    ]
    for method, path, body, status in table:
        answer = await transport.fetch(f'{base}/{path}', method, body, 5.0)
        assert answer.ok.status == status, (path, body, answer.ok)
    transport.close()
