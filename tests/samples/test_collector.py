import asyncio

from expression import Error
from expression import Ok
import msgspec
import pytest

from waxwingport import ids
from waxwingport import outcomes
from waxwingport.samples import bitmap
from waxwingport.samples import settings
from waxwingport.samples import statistics
from waxwingport.samples import steps
from waxwingport.targets import base

from tests.samples import conftest

pytestmark = pytest.mark.looptime


def make_body(groups=3, samples=2, **changes):
    return steps.StepBody(
        tuple(
            steps.Group(ids.GroupId(f'g{index}'), f'prompt {index}', samples)
            for index in range(groups)
        ),
        **changes,
    )


def make_pull(received=(), step=1, size=6, version=1, wait=60_000, most=64):
    found = bitmap.Bitmap(size)
    for number in received:
        found.add(number)
    return steps.PullRequest(step, version, found.encode(), most, wait)


async def collect(site, size=6, step=1, version=1, received=()):
    """Returns the step's samples by number, from repeated pulls."""
    found = dict.fromkeys(received)
    while len(found) < size:
        request = make_pull(found, step, size, version)
        outcome = await site.collector.pull(request)
        assert outcome.is_ok(), outcome
        answer = outcome.ok
        for sample in answer.samples:
            assert sample.number not in found
            found[sample.number] = sample
    return found


async def test_every_sample_is_returned_once_for_its_prompt(make_site):
    site = make_site()
    assert site.collector.put_step(1, make_body()).is_ok()
    found = await collect(site)
    for number, sample in found.items():
        assert sample.text.startswith(f'prompt {number // 2}')
        assert sample.weight_versions == (1,)


async def test_step_put_again_changes_nothing_and_another_body_conflicts(
    make_site,
):
    site = make_site()
    site.collector.put_step(1, make_body())
    found = await collect(site)
    started = sum(item.started for item in site.fleet.engines.values())
    assert site.collector.put_step(1, make_body()).is_ok()
    refusal = site.collector.put_step(1, make_body(groups=4)).error
    assert refusal.reason is outcomes.Reason.CONFLICT
    again = (await site.collector.pull(make_pull())).ok.samples
    assert {item.number: item for item in again} == found
    assert started == sum(item.started for item in site.fleet.engines.values())


@pytest.mark.parametrize(
    ('body', 'fault'),
    [
        (make_body(groups=0), 'at least one group'),
        (make_body(groups=5), 'at most 4'),
        (make_body(samples=7), 'at most 20'),
        (
            steps.StepBody((steps.Group('g', 'p', 1),) * 2),
            "'g' appears twice",
        ),
        (steps.StepBody((steps.Group('g', 'p' * 101, 1),)), 'too long'),
        (
            make_body(parameters={'max_tokens': msgspec.Raw(b'-3')}),
            'max_tokens',
        ),
        (make_body(received='gA=='), 'received'),
    ],
)
async def test_faulty_step_is_refused(make_site, body, fault):
    limits = settings.SampleSettings(
        step_groups=4, step_samples=20, prompt_size=100
    )
    site = make_site(sample_settings=limits)
    refusal = site.collector.put_step(1, body).error
    assert refusal.reason is outcomes.Reason.BAD_REQUEST
    assert fault in refusal.detail
    assert refusal.ran is outcomes.Ran.NO


async def test_pull_of_an_unknown_step_is_refused(make_site):
    site = make_site()
    refusal = (await site.collector.pull(make_pull())).error
    assert refusal.reason is outcomes.Reason.UNKNOWN_STEP


async def test_steps_are_bounded_and_received_ones_are_removed(make_site):
    site = make_site(sample_settings=settings.SampleSettings(steps_held=2))
    for step in (1, 2):
        assert site.collector.put_step(step, make_body()).is_ok()
    refusal = site.collector.put_step(3, make_body()).error
    assert refusal.reason is outcomes.Reason.TOO_MANY_REQUESTS
    assert refusal.retry_after
    await collect(site, step=1)
    await site.collector.pull(make_pull(range(6), step=1))
    assert site.collector.put_step(3, make_body()).is_ok()
    refusal = (await site.collector.pull(make_pull(step=1))).error
    assert refusal.reason is outcomes.Reason.UNKNOWN_STEP
    assert len(await collect(site, step=2)) == 6


async def test_older_bitmap_returns_samples_again(make_site):
    site = make_site()
    site.collector.put_step(1, make_body())
    first = await collect(site)
    await site.collector.pull(make_pull(range(6)))
    answer = (await site.collector.pull(make_pull((0, 1)))).ok
    assert {sample.number: sample for sample in answer.samples} == {
        number: first[number] for number in (2, 3, 4, 5)
    }


async def test_older_bitmap_regenerates_samples_no_longer_stored(make_site):
    site = make_site(sample_settings=settings.SampleSettings(held_size=1))
    site.collector.put_step(1, make_body())
    await collect(site)
    await site.collector.pull(make_pull(range(6)))
    site.collector.put_step(2, make_body())
    await asyncio.sleep(5)
    found = await collect(site, received=(0, 1))
    assert set(found) == set(range(6))


async def test_stored_samples_are_bounded(make_site):
    site = make_site(sample_settings=settings.SampleSettings(held_size=1))
    site.collector.put_step(1, make_body(groups=40))
    await asyncio.sleep(60)
    (step,) = site.collector.describe()['steps']
    window = site.collector.describe()['window']
    assert step['held'] <= window < 80
    assert len(await collect(site, size=80)) == 80


async def test_newer_pull_ends_the_older_one_empty_at_once(make_site):
    site = make_site()
    for engine in site.fleet.engines.values():
        engine.silent = True
    site.collector.put_step(1, make_body())
    loop = asyncio.get_running_loop()
    older = loop.create_task(site.collector.pull(make_pull()))
    await asyncio.sleep(1)
    start = loop.time()
    newer = loop.create_task(site.collector.pull(make_pull(wait=500)))
    assert (await older).ok.superseded
    assert loop.time() == pytest.approx(start, abs=1e-3)
    assert (await newer).ok == steps.PullAnswer()
    assert loop.time() == pytest.approx(start + 0.5, abs=1e-3)


async def test_pull_returns_no_more_than_requested(make_site):
    site = make_site()
    site.collector.put_step(1, make_body())
    await asyncio.sleep(20)
    answer = (await site.collector.pull(make_pull(most=4))).ok
    assert [sample.number for sample in answer.samples] == [0, 1, 2, 3]


async def test_groups_are_delivered_whole(make_site):
    site = make_site()
    delivery = steps.Delivery.GROUP
    site.collector.put_step(1, make_body(samples=3, delivery=delivery))
    refusal = (await site.collector.pull(make_pull(size=9, most=2))).error
    assert refusal.reason is outcomes.Reason.BAD_REQUEST
    found = set()
    while len(found) < 9:
        request = make_pull(found, size=9, most=4)
        outcome = await site.collector.pull(request)
        assert outcome.is_ok(), outcome
        answer = outcome.ok
        numbers = [sample.number for sample in answer.samples]
        assert numbers == list(range(numbers[0], numbers[0] + 3))
        found |= set(numbers)


async def test_chunk_without_version_discards_the_sample(make_site):
    site = make_site()
    site.fleet.engines['engine-0'].omit_versions = True
    site.collector.put_step(1, make_body())
    found = await collect(site)
    assert all(sample.weight_versions == (1,) for sample in found.values())
    discarded = site.collector.statistics.discarded
    assert discarded[statistics.Discard.NO_VERSION] > 0
    wasted = site.collector.statistics.wasted
    assert wasted[statistics.Waste.DISCARDED] > 0


async def test_sample_names_both_versions_across_a_swap(make_site):
    configured = msgspec.structs.replace(
        conftest.ENGINE, median_tokens=400.0, length_sigma=0.0
    )
    site = make_site(configured=configured)
    site.collector.put_step(1, make_body())
    await asyncio.sleep(2)
    for item in site.fleet.engines.values():
        await item.send_order(
            base.Order(base.OrderKind.LOAD_VERSION, 1, weight_version=2)
        )
    found = await collect(site, version=2)
    assert {item.weight_versions for item in found.values()} == {(1, 2)}


async def test_sample_names_both_versions_when_resumed_elsewhere(make_site):
    configured = msgspec.structs.replace(
        conftest.ENGINE, median_tokens=400.0, length_sigma=0.0
    )
    site = make_site(configured=configured, engines=2)
    first, second = site.fleet.engines.values()
    second.state = msgspec.structs.replace(second.state, weight_version=2)
    site.collector.put_step(1, make_body())
    await asyncio.sleep(2)
    first.crash()
    found = await collect(site, version=2)
    assert {sample.weight_versions for sample in found.values()} == {
        (1, 2),
        (2,),
    }


async def test_stale_sample_is_generated_again(make_site):
    site = make_site()
    site.collector.put_step(1, make_body())
    await asyncio.sleep(20)
    for item in site.fleet.engines.values():
        item.state = msgspec.structs.replace(item.state, weight_version=3)
    await site.refresh()
    found = await collect(site, version=3)
    assert {item.weight_versions for item in found.values()} == {(3,)}
    discarded = site.collector.statistics.discarded
    assert discarded[statistics.Discard.STALE] == 6


async def test_nothing_is_generated_that_will_be_too_old(make_site):
    site = make_site()
    await site.refresh()
    site.collector.record_version(3)
    site.collector.put_step(1, make_body())
    answer = (await site.collector.pull(make_pull(version=3, wait=9000))).ok
    assert answer.samples == ()
    engines = site.fleet.engines.values()
    assert sum(engine.generated_tokens for engine in engines) == 0


async def test_running_attempt_that_became_too_old_is_cancelled(make_site):
    configured = msgspec.structs.replace(
        conftest.ENGINE, median_tokens=1e4, length_sigma=0.0
    )
    site = make_site(configured=configured)
    site.collector.put_step(1, make_body())
    await asyncio.sleep(5)
    site.collector.record_version(3)
    await asyncio.sleep(1)
    assert site.collector.describe()['attempts'] == 0
    wasted = site.collector.statistics.wasted
    assert wasted[statistics.Waste.STALE] > 0


async def test_straggler_gets_a_second_attempt_elsewhere(make_site):
    configured = msgspec.structs.replace(
        conftest.ENGINE, median_tokens=50.0, length_sigma=0.0
    )
    site = make_site(
        msgspec.structs.replace(conftest.TRAINER, wasted_share=0.2),
        configured=configured,
    )
    site.collector.put_step(1, make_body(groups=12))
    site.fleet.engines['engine-0'].slowdown = 1000.0
    start = asyncio.get_running_loop().time()
    found = await collect(site, size=24)
    assert len(found) == 24
    figures = site.collector.statistics
    wasted = figures.wasted[statistics.Waste.SECOND_ATTEMPT]
    assert wasted <= 0.2 * figures.useful_tokens
    assert asyncio.get_running_loop().time() - start < 500
    assert len(site.fleet.engines['engine-0']._running) == 0


async def test_step_that_engines_reject_is_refused(make_site):
    site = make_site()
    rejected = base.TargetFault(
        base.TargetFaultKind.REJECTED, 'top_p is 7', sent=True
    )

    async def reject(generation, timeout):
        yield Error(rejected)

    for engine in site.fleet.engines.values():
        engine.stream = reject
    site.collector.put_step(1, make_body())
    refusal = (await site.collector.pull(make_pull())).error
    assert refusal.reason is outcomes.Reason.BAD_REQUEST
    assert 'top_p is 7' in refusal.detail
    assert site.collector.put_step(1, make_body(groups=2)).is_ok()


SCORED = msgspec.structs.replace(conftest.TRAINER, scoring='scores')


async def test_samples_carry_their_scores(make_site):
    site = make_site(SCORED)
    service = site.fleet.scoring['scoring-0']
    site.collector.put_step(1, make_body())
    found = await collect(site)
    for number, sample in found.items():
        pair = (f'prompt {number // 2}', sample.text)
        assert sample.score == (await service.score([pair], 1.0)).ok[0]


async def test_required_score_is_awaited_while_pulls_time_out(make_site):
    site = make_site(
        SCORED, sample_settings=settings.SampleSettings(unscored_samples=10)
    )
    service = site.fleet.scoring['scoring-0']
    service.crashed = True
    site.collector.put_step(1, make_body(groups=60))
    loop = asyncio.get_running_loop()
    start = loop.time()
    request = make_pull(size=120, wait=30_000)
    assert (await site.collector.pull(request)).ok.samples == ()
    assert loop.time() == pytest.approx(start + 30, abs=1e-3)
    (item,) = site.collector.describe()['steps']
    assert 10 <= item['awaiting_score'] < 120
    service.crashed = False
    found = await collect(site, size=120)
    assert all(item.score is not None for item in found.values())


async def test_sample_goes_without_a_score_that_is_not_required(make_site):
    site = make_site(msgspec.structs.replace(SCORED, score_required=False))
    site.fleet.scoring['scoring-0'].crashed = True
    site.collector.put_step(1, make_body())
    found = await collect(site)
    assert all(sample.score is None for sample in found.values())


@pytest.mark.parametrize('answer', [[0.5], [float('nan')] * 6, []])
async def test_invalid_scores_are_requested_again(make_site, answer):
    site = make_site(SCORED)
    service = site.fleet.scoring['scoring-0']
    whole = service.score
    answers = [answer, answer]

    async def score(samples, timeout):
        if answers:
            return Ok(answers.pop())
        return await whole(samples, timeout)

    service.score = score
    site.collector.put_step(1, make_body())
    found = await collect(site)
    assert answers == []
    assert all(0 <= sample.score < 1 for sample in found.values())


async def test_slow_scoring_is_requested_again(make_site):
    site = make_site(SCORED)
    service = site.fleet.scoring['scoring-0']
    service.delay = 1e6
    site.collector.put_step(1, make_body())
    await asyncio.sleep(15)
    service.delay = 0.01
    assert len(await collect(site)) == 6


async def test_step_ahead_waits_for_the_one_that_is_pulled(make_site):
    site = make_site(engines=1)
    await site.refresh()
    site.collector.put_step(1, make_body(groups=30))
    site.collector.put_step(2, make_body(groups=30))
    await collect(site, size=60)
    first, second = site.collector.describe()['steps']
    assert first['held'] == 60
    assert second['held'] < 60
    await site.collector.pull(make_pull(range(60), size=60))
    await asyncio.sleep(60)
    assert site.collector.describe()['steps'][1]['held'] == 60


async def test_status_carries_idle_time_and_staleness(make_site):
    site = make_site()
    site.collector.put_step(1, make_body())
    await collect(site)
    found = site.collector.describe()
    assert found['idle_seconds'] > 0
    assert found['staleness'].count == found['delivered'] == 6
    assert found['staleness'].max == 0
    assert found['step_seconds'].count == 1
    msgspec.json.encode(found)
