import asyncio
import random

import hypothesis
from hypothesis import strategies as st
import msgspec
import pytest

from tests import bench
from waxwingport.charts import chart
from waxwingport.configuration import declarations
from waxwingport import ids
from waxwingport.routing import choice
from waxwingport.routing import model
from waxwingport.routing import pools
from waxwingport.routing import sets
from waxwingport.standins import factory
from waxwingport.targets import base
from waxwingport.targets import health
from waxwingport.targets import load

VERSIONS = st.none() | st.integers(1, 3)
CHANGES = st.one_of(
    st.tuples(st.just('grant'), st.integers(0, 5), st.none()),
    st.tuples(st.just('release'), st.integers(0, 5), st.none()),
    st.tuples(st.just('version'), st.integers(0, 5), st.integers(1, 3)),
    st.tuples(st.just('event'), st.integers(0, 5), st.sampled_from(
        list(health.TargetEvent)
    )),
    st.tuples(st.just('load'), st.integers(0, 5), st.integers(0, 4)),
    st.tuples(st.just('share'), st.integers(0, 5), st.integers(1, 3)),
)  # fmt: skip


def apply_change(targets, change):
    kind, index, value = change
    target = targets[index % len(targets)]
    match kind:
        case 'grant':
            target.start_request()
        case 'release':
            if target.in_progress:
                target.finish_request()
        case 'version':
            target.engine_state = base.EngineState(ids.WeightVersion(value))
        case 'event':
            target.handle(value)
        case 'load':
            target.record_load(base.LoadReport(value, 0, 3))
        case 'share':
            names = [f'n{number}' for number in range(value)]
            target._table.set_nodes('n0', names)


@hypothesis.given(
    changes=st.lists(CHANGES, max_size=40),
    pinned=VERSIONS,
    minimum=VERSIONS,
    wanted=VERSIONS,
    excluded=st.sets(st.integers(0, 5), max_size=3),
    matched=st.dictionaries(st.integers(0, 5), st.integers(1, 4), max_size=3),
    seed=st.integers(0, 99),
    live=st.booleans(),
)
@pytest.mark.looptime
async def test_the_view_decides_like_the_reference_router(
    changes, pinned, minimum, wanted, excluded, matched, seed, live
):
    pool = declarations.Pool(
        ids.PoolName('pool'),
        'kind = engine',
        version=pinned,
        minimum_version=minimum,
    )
    vms = factory.make_vms(6, data_centres=('muenchen', 'nuernberg'))
    test_bench = bench.Bench(vms, declarations.Declarations(pools=(pool,)))
    view = test_bench.gate.router.find_view('pool')
    targets = list(test_bench.targets)
    for change in changes:
        apply_change(targets, change)
    make = bench.make_work if live else bench.make_rollout
    work = make(
        minimum_version=wanted,
        blocks=(1, 2, 3, 4),
        excluded=frozenset(targets[index].name for index in excluded),
    )
    matches = {targets[index].name: count for index, count in matched.items()}
    now = asyncio.get_running_loop().time()
    candidates = {
        target.name: target.describe(now, matches.get(target.name, 0))
        for target in targets
    }
    reference = choice.choose(
        view.rules, work, list(candidates.values()), random.Random(seed)
    )
    indexed = view.decide(work, matches, now, random.Random(seed))
    assert (indexed.chosen is None) == (reference.chosen is None)
    assert indexed.considered == reference.considered
    assert dict(indexed.rejected) == dict(reference.rejected)
    usable = [
        candidate
        for candidate in candidates.values()
        if choice.find_obstacle(
            view.rules, work, msgspec.structs.replace(candidate, limit=1e9)
        )
        is None
    ]
    assert view.has_usable(work) == bool(usable)
    if indexed.chosen is not None:
        chosen = candidates[indexed.chosen]
        assert choice.find_obstacle(view.rules, work, chosen) is None
        assert indexed.cost == choice.compute_cost(work, chosen)


@pytest.mark.looptime
async def test_a_decision_on_a_large_pool_compares_a_few_targets():
    test_bench = bench.make_bench(2000)
    view = test_bench.gate.router.find_view('pool')
    decision = test_bench.gate.router.decide(view, bench.make_work())
    assert decision.considered == 2000
    assert decision.compared <= 8


@pytest.mark.looptime
async def test_the_local_data_centre_is_preferred_until_it_is_busy():
    vms = factory.make_vms(2, data_centres=('muenchen', 'nuernberg'))
    test_bench = bench.Bench(vms, capacity=8)
    await test_bench.report()
    grants = [await test_bench.grant(bench.make_work(n)) for n in range(14)]
    data_centres = [grant.target.data_centre for grant in grants]
    assert data_centres[:2] == ['muenchen'] * 2
    assert 4 <= data_centres.count('nuernberg') <= 7


@pytest.mark.looptime
async def test_an_engine_with_a_cached_prompt_is_preferred_until_it_is_busy():
    test_bench = bench.make_bench(8, capacity=8)
    await test_bench.report()
    blocks = tuple(range(100, 116))
    first = await test_bench.grant(bench.make_work(blocks=blocks))
    second = await test_bench.grant(bench.make_work(1, blocks=blocks))
    assert second.target is first.target
    used = {first.target.name}
    for number in range(20):
        grant = await test_bench.grant(bench.make_work(number, blocks=blocks))
        used.add(grant.target.name)
    assert len(used) > 1


@pytest.mark.looptime
async def test_a_slow_target_is_avoided_and_tried_again_later():
    test_bench = bench.make_bench(4, capacity=16)
    await test_bench.report()

    async def run(number):
        grant = await test_bench.grant(bench.make_work(number))
        slow = grant.target.name == 'engine-0'
        await asyncio.sleep(1.0 if slow else 0.05)
        grant.finish()
        return slow

    tasks = []
    for number in range(3000):
        tasks.append(asyncio.create_task(run(number)))
        await asyncio.sleep(0.01)
    slow = await asyncio.gather(*tasks)
    assert 0 < sum(slow[300:]) < 0.02 * len(slow)


class TestChart:
    STATES = model.TargetState

    @pytest.mark.parametrize(
        'state', [STATES.LIVE, STATES.JOINING, STATES.SUSPECT]
    )
    def test_every_working_state_can_leave(self, state):
        state_chart = chart.read_chart(
            'target', model.TargetState, health.TargetEvent
        )
        event = health.TargetEvent.LEAVE
        assert state_chart.next(state, event) is self.STATES.LEAVING

    @pytest.mark.parametrize(
        'event',
        [kind for kind in health.TargetEvent if kind.value not in
         ('return', 'remove')],
    )  # fmt: skip
    def test_a_leaving_target_stays_leaving(self, event):
        state_chart = chart.read_chart(
            'target', model.TargetState, health.TargetEvent
        )
        state = state_chart.next(self.STATES.LEAVING, event)
        assert state is self.STATES.LEAVING


@hypothesis.given(
    events=st.lists(
        st.tuples(st.floats(0.01, 0.4), st.sampled_from([-1, 1])), max_size=30
    ),
    lag=st.floats(0.0, 2.0),
    others=st.integers(0, 10),
)
def test_own_work_is_subtracted_from_a_report(events, lag, others):
    estimate = load.LoadEstimate()
    now, count, history = 10.0, 0, [(0.0, 0)]
    estimate.record_report(base.LoadReport(others, 0, 16, now), now)
    for step, change in events:
        now += step
        count = max(0, count + change)
        history.append((now, count))
        estimate.record_own_count(count, now)
    now += 3.0
    when = now - lag
    own = [number for at, number in history if at <= when][-1]
    estimate.record_report(base.LoadReport(own + others, 0, 16, when), now)
    assert estimate.others == others


def test_a_common_lag_is_detected_by_reports_of_too_little_work():
    estimate = load.LoadEstimate()
    estimate.record_report(base.LoadReport(0, 0, 16, 100.0), 1.0)
    estimate.record_own_count(5, 1.2)
    estimate.record_report(base.LoadReport(0, 0, 16, 100.5), 1.5)
    assert estimate.others == 0
    assert estimate.lag >= 0.3
    estimate.record_own_count(0, 1.6)
    estimate.record_report(base.LoadReport(5, 0, 16, 100.8), 1.8)
    assert estimate.others == 0


def test_a_random_set_returns_distinct_members():
    random_set = sets.RandomSet()
    rng = random.Random(3)
    for number in range(50):
        random_set.add(number)
    for number in range(0, 50, 2):
        random_set.discard(number)
    drawn = random_set.draw(10, rng)
    assert len(set(drawn)) == 10
    assert all(number % 2 for number in drawn)
    assert sorted(random_set.draw(99, rng)) == list(range(1, 50, 2))


@pytest.mark.looptime
async def test_a_view_of_a_bad_selector_is_empty():
    view = pools.PoolView(model.GroupRules(selector='= nonsense ='))
    test_bench = bench.make_bench(2)
    for target in test_bench.targets:
        view.update_membership(target)
    assert len(view) == 0
    assert not view.has_usable(bench.make_work())
