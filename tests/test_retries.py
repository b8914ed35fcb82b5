import asyncio
import random

import pytest

from waxwingport.limits import retries


@pytest.mark.looptime
async def test_no_retry_storm_when_every_target_of_a_pool_fails():
    budget = retries.RetryBudget(0.1)
    requests = retried = 0
    for _ in range(3000):
        budget.record_request('pool')
        requests += 1
        for _ in range(4):
            retried += budget.try_spend('pool')
        await asyncio.sleep(0.01)
    time_constants = 3000 * 0.01 / 10.0
    assert retried <= 0.1 * requests + 3 * (time_constants + 1)
    assert retried >= 0.08 * requests


@pytest.mark.looptime
async def test_each_group_has_its_own_budget():
    budget = retries.RetryBudget(0.1)
    while budget.try_spend('slow'):
        pass
    assert budget.try_spend('other')


@pytest.mark.looptime
async def test_a_quiet_group_gets_its_minimum_back():
    budget = retries.RetryBudget(0.0)
    spent = sum(budget.try_spend('pool') for _ in range(10))
    assert 1 <= spent <= 3
    await asyncio.sleep(60.0)
    assert budget.try_spend('pool')


def test_backoff_grows_with_full_jitter_and_is_capped():
    rng = random.Random(5)
    for attempt in range(2000):
        delay = retries.compute_backoff(attempt, rng)
        assert 0.0 <= delay <= min(5.0, 0.05 * 2.0 ** min(attempt, 20))
    early = [retries.compute_backoff(0, rng) for _ in range(500)]
    late = [retries.compute_backoff(6, rng) for _ in range(500)]
    assert min(early) < 0.01 < 0.04 < max(early)
    assert max(late) > 2.0 and min(late) < 0.5
