import asyncio

import pytest

from tests import bench
from waxwingport.configuration import declarations
from waxwingport import ids
from waxwingport import outcomes
from waxwingport.outside import base as platform
from waxwingport.routing import model
from waxwingport.standins import factory
from waxwingport.targets import base
from waxwingport.targets import sharing

pytestmark = pytest.mark.looptime


def refused(kind=base.TargetFaultKind.REFUSED, sent=False, after=None):
    return base.TargetFault(kind, 'test', sent, retry_after=after)


async def fill(test_bench, count, make=bench.make_work):
    return [await test_bench.grant(make(index)) for index in range(count)]


async def test_a_grant_is_released_once():
    test_bench = bench.make_bench()
    grant = await test_bench.grant(bench.make_work())
    assert grant.target.in_progress == 1
    grant.finish()
    grant.release()
    grant.finish()
    assert grant.target.in_progress == 0


async def test_an_unknown_group_is_refused_as_not_run():
    test_bench = bench.make_bench()
    outcome = await test_bench.gate.acquire(bench.make_work(group='nobody'))
    assert outcome.error.reason is outcomes.Reason.NOT_FOUND
    assert outcome.error.ran is outcomes.Ran.NO


async def test_the_limit_of_a_target_follows_its_capacity():
    test_bench = bench.make_bench(capacity=4)
    await test_bench.report()
    await fill(test_bench, 4)
    waiting = test_bench.start(bench.make_work(5))
    await asyncio.sleep(1.0)
    assert not waiting.done()
    waiting.cancel()


async def test_a_node_keeps_its_share_of_a_target_that_others_fill():
    test_bench = bench.make_bench(capacity=4)
    target = test_bench.targets.find('engine-0')
    test_bench.targets.set_nodes('a', ('a', 'b'))
    target.record_load(base.LoadReport(running=4, waiting=0, capacity=4))
    assert target.limit == 2
    test_bench.targets.set_nodes('a', ('a',))
    target.record_load(base.LoadReport(running=1, waiting=0, capacity=4))
    assert target.limit == 3


async def test_a_live_call_may_exceed_the_share_before_it_waits():
    test_bench = bench.make_bench(capacity=4)
    await test_bench.report()
    target = test_bench.targets.find('engine-0')
    test_bench.targets.set_nodes('a', ('a', 'b'))
    target.record_load(base.LoadReport(running=4, waiting=0, capacity=4))
    rollouts = await fill(test_bench, 2, bench.make_rollout)
    third = test_bench.start(bench.make_rollout(3))
    await test_bench.grant(bench.make_work(1))
    await asyncio.sleep(0.1)
    assert not third.done()
    assert not any(grant.preempted.is_set() for grant in rollouts)
    over = test_bench.start(bench.make_work(2))
    await asyncio.sleep(0.1)
    assert not over.done()
    assert any(grant.preempted.is_set() for grant in rollouts)
    over.cancel()
    third.cancel()


async def test_the_shares_of_all_nodes_add_up_to_the_capacity():
    names = [f'n{number}' for number in range(5)]
    for capacity in (5, 8, 13, 16):
        shares = [
            sharing.CapacityShare(name, names).compute_limit(
                'e', capacity, 0, capacity
            )
            for name in names
        ]
        assert sum(shares) == capacity
        assert max(shares) - min(shares) <= 1


async def test_a_released_slot_goes_to_the_waiter_at_once():
    test_bench = bench.make_bench(capacity=1)
    await test_bench.report()
    first = await test_bench.grant(bench.make_work())
    waiting = test_bench.start(bench.make_work(1))
    await asyncio.sleep(0.5)
    first.finish()
    before = asyncio.get_running_loop().time()
    assert (await waiting).is_ok()
    assert asyncio.get_running_loop().time() == before


async def test_a_cancelled_waiter_leaves_the_queue():
    test_bench = bench.make_bench(capacity=1)
    await test_bench.report()
    first = await test_bench.grant(bench.make_work())
    waiting = [test_bench.start(bench.make_work(index)) for index in range(3)]
    await asyncio.sleep(0.1)
    waiting[0].cancel()
    await asyncio.sleep(0)
    assert test_bench.gate.count_waiting('pool') == 2
    first.finish()
    assert (await waiting[1]).is_ok()


async def test_a_grant_of_a_cancelled_waiter_is_released():
    test_bench = bench.make_bench(capacity=1)
    await test_bench.report()
    first = await test_bench.grant(bench.make_work())
    waiting = test_bench.start(bench.make_work(1))
    await asyncio.sleep(0.1)
    first.finish()
    test_bench.gate._dispatch()
    waiting.cancel()
    await asyncio.sleep(0)
    assert first.target.in_progress == 0
    assert (await test_bench.grant(bench.make_work(2))) is not None


async def test_a_slot_skips_a_waiter_cancelled_in_the_same_loop_iteration():
    test_bench = bench.make_bench(capacity=4)
    await test_bench.report()
    grants = await fill(test_bench, 4)
    cancelled = test_bench.start(bench.make_work(5))
    remaining = test_bench.start(bench.make_work(6))
    await asyncio.sleep(0.1)
    grants[0].release()
    cancelled.cancel()
    await asyncio.sleep(0.1)
    grant = (await remaining).ok
    target = grant.target
    assert target.in_progress == 4
    for granted in (*grants, grant):
        granted.release()
    assert target.in_progress == 0


async def test_a_request_that_cannot_meet_its_deadline_is_refused_at_once():
    test_bench = bench.make_bench(capacity=1)
    await test_bench.report()
    for number in range(20):
        grant = await test_bench.grant(bench.make_work(number))
        await asyncio.sleep(1.0)
        grant.finish()
    await test_bench.grant(bench.make_work())
    now = asyncio.get_running_loop().time()
    waiting = [
        test_bench.start(bench.make_work(number, deadline=now + 5.0))
        for number in range(8)
    ]
    await asyncio.sleep(0)
    done = [task.result() for task in waiting if task.done()]
    assert len(done) >= 4
    for outcome in done:
        assert outcome.error.reason is outcomes.Reason.DEADLINE
        assert outcome.error.ran is outcomes.Ran.NO
        assert 0.1 <= outcome.error.retry_after <= 10.0
    for task in waiting:
        task.cancel()


async def test_a_waiter_is_refused_as_soon_as_it_cannot_be_answered():
    test_bench = bench.make_bench(capacity=1)
    await test_bench.report()
    for number in range(20):
        grant = await test_bench.grant(bench.make_work(number))
        await asyncio.sleep(1.0)
        grant.finish()
    await test_bench.grant(bench.make_work())
    start = asyncio.get_running_loop().time()
    outcome = await test_bench.gate.acquire(
        bench.make_work(1, deadline=start + 4.0)
    )
    elapsed = asyncio.get_running_loop().time() - start
    assert outcome.error.reason is outcomes.Reason.DEADLINE
    assert elapsed == pytest.approx(3.0, abs=0.1)


async def test_the_queue_is_bounded_and_live_calls_displace_rollouts():
    limits = declarations.Limits(queue_length=4)
    declared = declarations.Declarations(pools=(bench.POOL,), limits=(limits,))
    test_bench = bench.make_bench(capacity=1, declared=declared)
    await test_bench.report()
    await test_bench.grant(bench.make_work())
    rollouts = [test_bench.start(bench.make_rollout(n)) for n in range(4)]
    await asyncio.sleep(0)
    refused_rollout = await test_bench.gate.acquire(bench.make_rollout(5))
    assert refused_rollout.error.reason is outcomes.Reason.OVERLOADED
    live = [test_bench.start(bench.make_work(n)) for n in range(4)]
    await asyncio.sleep(0)
    await asyncio.sleep(0)
    assert all(task.result().error.ran is outcomes.Ran.NO for task in rollouts)
    assert not any(task.done() for task in live)
    over = await test_bench.gate.acquire(bench.make_work(9))
    assert over.error.reason is outcomes.Reason.OVERLOADED
    for task in live:
        task.cancel()


async def test_owners_get_shares_by_weight():
    test_bench = bench.make_bench(capacity=1)
    await test_bench.report()
    current = await test_bench.grant(bench.make_work())
    served = []

    async def request(owner, weight, number):
        work = bench.make_work(number, owner=owner, weight=weight)
        grant = (await test_bench.gate.acquire(work)).ok
        served.append(owner)
        await asyncio.sleep(0.01)
        grant.finish()

    tasks = [
        asyncio.create_task(request(owner, weight, number))
        for owner, weight, count in (('a', 1.0, 90), ('b', 3.0, 90))
        for number in range(count)
    ]
    await asyncio.sleep(0)
    current.finish()
    await asyncio.gather(*tasks)
    first = served[:80]
    assert abs(first.count('b') - 60) <= 2


async def test_many_requests_of_one_caller_do_not_delay_another():
    test_bench = bench.make_bench(capacity=2)
    await test_bench.report()
    grants = await fill(test_bench, 2)
    queued = [
        test_bench.start(bench.make_work(number, owner='queued'))
        for number in range(200)
    ]
    await asyncio.sleep(0)
    other = test_bench.start(bench.make_work(1, owner='other'))
    await asyncio.sleep(0)
    grants[0].finish()
    grants[1].finish()
    await asyncio.sleep(0.001)
    assert other.done()
    for task in queued:
        task.cancel()


async def test_a_live_call_preempts_the_youngest_rollout():
    test_bench = bench.make_bench(capacity=2)
    await test_bench.report()
    rollouts = await fill(test_bench, 2, bench.make_rollout)
    live = test_bench.start(bench.make_work(9))
    await asyncio.sleep(0)
    assert [grant.preempted.is_set() for grant in rollouts] == [False, True]
    rollouts[1].release()
    assert (await live).is_ok()


async def test_no_more_rollouts_are_preempted_than_live_calls_wait():
    test_bench = bench.make_bench(capacity=16)
    await test_bench.report()
    rollouts = await fill(test_bench, 16, bench.make_rollout)
    live = [test_bench.start(bench.make_work(n)) for n in range(3)]
    await asyncio.sleep(0)
    again = test_bench.start(bench.make_rollout(99))
    await asyncio.sleep(0.1)
    preempted = [grant for grant in rollouts if grant.preempted.is_set()]
    assert len(preempted) == 3
    for grant in preempted:
        grant.release()
    await asyncio.gather(*live)
    assert not again.done()
    again.cancel()


async def test_live_calls_do_not_starve_rollouts():
    test_bench = bench.make_bench(capacity=4)
    await test_bench.report()
    done = {'live': 0, 'rollout': 0}
    stop = asyncio.Event()

    async def run(name, make):
        number = 0
        while not stop.is_set():
            number += 1
            outcome = await test_bench.gate.acquire(make(number))
            if outcome.is_error():
                await asyncio.sleep(outcome.error.retry_after)
                continue
            grant = outcome.ok
            ended = asyncio.create_task(asyncio.sleep(0.1))
            preempted = asyncio.create_task(grant.preempted.wait())
            await asyncio.wait(
                {ended, preempted}, return_when='FIRST_COMPLETED'
            )
            done[name] += ended.done()
            preempted.cancel()
            grant.finish()

    tasks = [
        asyncio.create_task(run('live', bench.make_work)) for _ in range(16)
    ] + [
        asyncio.create_task(run('rollout', bench.make_rollout))
        for _ in range(8)
    ]
    await asyncio.sleep(30.0)
    stop.set()
    await asyncio.gather(*tasks)
    total = sum(done.values())
    assert done['rollout'] >= 0.03 * total
    assert done['live'] >= 0.9 * total


async def test_a_target_listed_as_leaving_gets_no_new_work():
    test_bench = bench.make_bench(2, capacity=1)
    await test_bench.report()
    grants = await fill(test_bench, 2)
    waiting = test_bench.start(bench.make_work(5))
    await asyncio.sleep(0.1)
    test_bench.list_vms(engine_0=bench.LEAVING)
    leaving = next(
        grant for grant in grants if grant.target.name == 'engine-0'
    )
    staying = next(grant for grant in grants if grant is not leaving)
    leaving.finish()
    await asyncio.sleep(0.1)
    assert not waiting.done()
    staying.finish()
    assert (await waiting).ok.target is staying.target


async def test_a_leaving_label_removes_a_target_from_the_pool():
    test_bench = bench.make_bench(2)
    rule = declarations.LabelRule(
        'out', 'data_centre = muenchen', {'state': 'leaving'}
    )
    grants = await test_bench.grant(bench.make_work())
    test_bench.declare(
        declarations.Declarations(pools=(bench.POOL,), labels=(rule,))
    )
    outcome = await test_bench.gate.acquire(bench.make_work(1))
    assert outcome.error.reason is outcomes.Reason.NO_TARGET
    grants.finish()
    test_bench.declare(declarations.Declarations(pools=(bench.POOL,)))
    await test_bench.grant(bench.make_work(2))


async def test_a_selector_that_no_longer_matches_removes_a_target():
    test_bench = bench.make_bench(2, capacity=1)
    await test_bench.report()
    await fill(test_bench, 2)
    waiting = test_bench.start(bench.make_work(5))
    await asyncio.sleep(0)
    pool = declarations.Pool(ids.PoolName('pool'), 'kind = service')
    test_bench.declare(declarations.Declarations(pools=(pool,)))
    outcome = await waiting
    assert outcome.error.reason is outcomes.Reason.NO_TARGET
    assert outcome.error.ran is outcomes.Ran.NO


async def test_work_in_progress_at_a_target_that_is_gone_ends_normally():
    test_bench = bench.make_bench(1)
    grant = await test_bench.grant(bench.make_work())
    test_bench.targets.update([])
    assert grant.target.state is model.TargetState.GONE
    grant.finish()
    assert grant.target.in_progress == 0


async def test_a_target_that_refuses_cools_down_and_comes_back():
    test_bench = bench.make_bench(2)
    grant = await test_bench.grant(bench.make_work())
    grant.finish(refused(after=0.5))
    other = [await test_bench.grant(bench.make_work(n)) for n in range(4)]
    assert all(later.target is not grant.target for later in other)
    assert grant.target.state is model.TargetState.SUSPECT
    await asyncio.sleep(0.6)
    assert grant.target.state is model.TargetState.JOINING
    await asyncio.sleep(11.0)
    assert grant.target.state is model.TargetState.LIVE


async def test_an_unreachable_pool_is_refused_at_once_with_its_cool_down():
    test_bench = bench.make_bench(1)
    unreachable = refused(base.TargetFaultKind.UNREACHABLE)
    for expected in (0.5, 1.0, 2.0):
        grant = await test_bench.grant(bench.make_work())
        grant.finish(unreachable)
        target = grant.target
        now = asyncio.get_running_loop().time()
        assert target.compute_cool_down(now) == pytest.approx(expected)
    before = asyncio.get_running_loop().time()
    outcome = await test_bench.gate.acquire(bench.make_work())
    assert asyncio.get_running_loop().time() == before
    assert outcome.error.reason is outcomes.Reason.NO_TARGET
    assert 2.0 <= outcome.error.retry_after <= 2.5


async def test_failures_make_no_more_than_half_of_a_pool_suspect():
    test_bench = bench.make_bench(4)
    broken = refused(base.TargetFaultKind.BROKEN, sent=True)
    for number in range(64):
        outcome = await test_bench.gate.acquire(bench.make_work(number))
        outcome.ok.finish(broken)
    suspects = [
        target
        for target in test_bench.targets
        if target.state is model.TargetState.SUSPECT
    ]
    assert len(suspects) == 2


async def test_a_fault_of_the_request_does_not_affect_the_target():
    test_bench = bench.make_bench(1)
    for number in range(10):
        grant = await test_bench.grant(bench.make_work(number))
        grant.finish(refused(base.TargetFaultKind.REJECTED, sent=True))
    assert grant.target.state is model.TargetState.LIVE


async def test_the_higher_priority_of_two_pools_on_one_engine_goes_first():
    pools = tuple(
        declarations.Pool(ids.PoolName(name), 'kind = engine', priority=rank)
        for name, rank in (('low', 0), ('high', 5))
    )
    test_bench = bench.make_bench(
        1, capacity=1, declared=declarations.Declarations(pools=pools)
    )
    await test_bench.report()
    grants = await test_bench.grant(bench.make_work(group='low'))
    low = test_bench.start(bench.make_work(1, group='low'))
    high = test_bench.start(bench.make_work(2, group='high'))
    await asyncio.sleep(0)
    grants.finish()
    assert (await high).is_ok()
    assert not low.done()
    low.cancel()


async def test_a_service_that_slows_down_gets_a_lower_limit():
    vms = factory.make_vms(1, platform.VmKind.SERVICE)
    test_bench = bench.Bench(vms)
    target = test_bench.targets.find('service-0')

    async def call(seconds):
        outcome = await test_bench.gate.acquire(
            bench.make_work(group='service')
        )
        await asyncio.sleep(seconds)
        outcome.ok.finish()

    for _ in range(20):
        await asyncio.gather(*(call(0.01) for _ in range(16)))
    before = target.limit
    for _ in range(20):
        await asyncio.gather(*(call(0.2) for _ in range(8)))
    assert target.limit < before / 2
