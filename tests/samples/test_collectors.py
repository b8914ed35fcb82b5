import asyncio

import msgspec
import pytest

from waxwingport import ids
from waxwingport.membership import rendezvous
from waxwingport import outcomes
from waxwingport.samples import settings
from waxwingport.samples import steps

from tests.samples import conftest
from tests.samples import test_collector

pytestmark = pytest.mark.looptime

NAME = conftest.TRAINER.name


def split_sites(sites):
    """Returns the site that collects for the trainer, and the others."""
    names = [f'node-{index}' for index in range(len(sites))]
    collecting = names.index(rendezvous.pick(NAME, names))
    return sites[collecting], [
        site for site in sites if site is not sites[collecting]
    ]


async def collect(site, numbers, size=6):
    """Adds to ``numbers`` what pulls through ``site`` return.

    Puts the step when it is unknown.
    """
    while len(numbers) < size:
        request = test_collector.make_pull(numbers)
        outcome = await site.collectors.pull(NAME, request)
        if outcome.is_error():
            assert outcome.error.reason is outcomes.Reason.UNKNOWN_STEP
            await site.collectors.put_step(NAME, 1, test_collector.make_body())
            continue
        for sample in outcome.ok.samples:
            assert sample.number not in numbers
            numbers.add(sample.number)


async def test_any_node_forwards_to_the_one_that_collects(make_sites):
    _, sites = make_sites(3)
    collecting, others = split_sites(sites)
    body = test_collector.make_body(
        parameters={'max_tokens': msgspec.Raw(b'7')}
    )
    put = await others[0].collectors.put_step(NAME, 1, body)
    assert put.is_ok()
    numbers = set()
    await collect(others[1], numbers)
    assert collecting.collectors.find_existing(NAME) is not None
    assert all(site.collectors.find_existing(NAME) is None for site in others)


async def test_refusal_of_the_collecting_node_is_returned(make_sites):
    _, sites = make_sites(2)
    _, (other,) = split_sites(sites)
    empty = steps.StepBody(())
    refusal = (await other.collectors.put_step(NAME, 1, empty)).error
    assert refusal.reason is outcomes.Reason.BAD_REQUEST
    unknown = ids.TrainerName('nobody')
    refusal = (await other.collectors.put_step(unknown, 1, empty)).error
    assert refusal.reason is outcomes.Reason.NOT_FOUND


@pytest.mark.parametrize('fault', ['frozen', 'cut'])
async def test_node_collects_itself_when_the_picked_one_is_silent(
    make_sites, fault
):
    network, sites = make_sites(2)
    collecting, (other,) = split_sites(sites)
    numbers = set()
    await other.collectors.put_step(NAME, 1, test_collector.make_body())
    addresses = [
        f'10.0.0.{sites.index(collecting)}:1',
        f'10.0.0.{sites.index(other)}:1',
    ]
    if fault == 'frozen':
        network.frozen.add(addresses[0])
    else:
        network.partition({addresses[0]}, {addresses[1]})
    await collect(other, numbers)
    assert numbers == set(range(6))
    assert other.collectors.find_existing(NAME) is not None


async def test_pull_through_a_silent_node_returns_in_time(make_sites):
    network, sites = make_sites(2)
    collecting, (other,) = split_sites(sites)
    network.frozen.add(f'10.0.0.{sites.index(collecting)}:1')
    loop = asyncio.get_running_loop()
    start = loop.time()
    request = test_collector.make_pull(wait=5000)
    await other.collectors.pull(NAME, request)
    sample_settings = settings.SampleSettings()
    assert (
        loop.time() - start
        <= sample_settings.peer_wait + sample_settings.peer_timeout
    )


async def test_pull_of_a_whole_step_returns_at_once(make_sites):
    network, sites = make_sites(2)
    _, (other,) = split_sites(sites)
    await collect(other, set())
    sent = network.sent_messages
    request = test_collector.make_pull(range(6))
    answer = (await other.collectors.pull(NAME, request)).ok
    assert answer.final
    assert answer.samples == ()
    assert network.sent_messages == sent + 2


async def test_newer_pull_through_another_node_ends_the_older(make_sites):
    _, sites = make_sites(3)
    for engine in sites[0].fleet.engines.values():
        engine.silent = True
    _, (one, two) = split_sites(sites)
    await one.collectors.put_step(NAME, 1, test_collector.make_body())
    loop = asyncio.get_running_loop()
    start = loop.time()
    request = test_collector.make_pull(wait=20_000)
    older = loop.create_task(one.collectors.pull(NAME, request))
    await asyncio.sleep(5)
    newer = loop.create_task(two.collectors.pull(NAME, request))
    assert (await older).ok.superseded
    assert loop.time() - start == pytest.approx(5, abs=0.1)
    assert not (await newer).ok.superseded
    assert loop.time() - start == pytest.approx(25, abs=0.1)


async def test_unused_collector_closes_once_another_node_collects(make_sites):
    network, sites = make_sites(2)
    collecting, (other,) = split_sites(sites)
    network.frozen.add(f'10.0.0.{sites.index(collecting)}:1')
    await collect(other, set())
    network.frozen.clear()
    await asyncio.sleep(20)
    assert other.collectors.find_existing(NAME) is None
    numbers = set()
    await collect(other, numbers)
    assert collecting.collectors.find_existing(NAME) is not None
    assert other.collectors.find_existing(NAME) is None


async def test_collector_of_a_removed_trainer_is_closed(make_site):
    site = make_site()
    site.collector.put_step(1, test_collector.make_body())
    site.declare(msgspec.structs.replace(conftest.TRAINER, name='other'))
    await asyncio.sleep(1)
    assert site.collectors.find_existing(NAME) is None
    assert (
        sum(len(engine._running) for engine in site.fleet.engines.values())
        == 0
    )
