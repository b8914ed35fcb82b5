import collections

import hypothesis
from hypothesis import strategies as st
import msgspec
import pytest

from waxwingport import ids
from waxwingport.weights import plan

VERSION = ids.WeightVersion(5)


def make_desired(**changes):
    values = {
        'pool': ids.PoolName('pool'),
        'version': VERSION,
        'reference': 'weights/5',
        'loads_at_once': 9,
    }
    return plan.DesiredPool(**{**values, **changes})


def make_engine(index, **changes):
    values = {
        'name': ids.TargetName(f'engine-{index}'),
        'data_centre': ids.DataCentre(f'centre-{index % 3}'),
        'pool': ids.PoolName('pool'),
        'version': ids.WeightVersion(4),
    }
    return plan.EngineView(**{**values, **changes})


engine_lists = st.lists(
    st.tuples(
        st.integers(0, 7),
        st.sampled_from(['a', 'b']),
        st.booleans(),
        st.booleans(),
    ),
    max_size=30,
).map(
    lambda fields: [
        make_engine(
            index,
            version=ids.WeightVersion(version) if version else None,
            pool=ids.PoolName(pool),
            loading=VERSION if loading else None,
            blocked=blocked,
        )
        for index, (version, pool, loading, blocked) in enumerate(fields)
    ]
)


@hypothesis.given(
    engine_lists, st.integers(0, 12), st.integers(0, 8), st.booleans()
)
def test_plan_keeps_the_rate_and_the_limit_of_each_pool(
    engines, rate, bound, rollback
):
    desired_pools = [
        make_desired(
            pool=ids.PoolName(name), loads_at_once=bound, rollback=rollback
        )
        for name in 'ab'
    ]
    loads = plan.plan_loads(desired_pools, engines, rate)
    loading = sum(item.loading is not None for item in engines)
    assert len(loads) <= max(0, rate - loading)
    assert len({item.engine for item in loads}) == len(loads)
    by_name = {item.name: item for item in engines}
    for load in loads:
        engine = by_name[load.engine]
        assert not engine.blocked and engine.loading is None
        assert engine.version != VERSION
        if not rollback:
            assert engine.version is None or engine.version < VERSION
    started = collections.Counter(item.pool for item in loads)
    for pool, count in started.items():
        loading_before = sum(
            item.loading is not None for item in engines if item.pool == pool
        )
        assert loading_before + count <= bound


@hypothesis.given(
    st.integers(0, 40),
    st.lists(
        st.tuples(st.integers(0, 30), st.integers(0, 5)),
        min_size=1,
        max_size=25,
    ),
)
def test_data_centres_share_the_rate(rate, sizes):
    summaries = [
        plan.DataCentreSummary(ids.DataCentre(f'c{index}'), waiting, loading)
        for index, (waiting, loading) in enumerate(sizes)
    ]
    shares = [
        plan.share_rate(rate, summaries, summary.data_centre)
        for summary in summaries
    ]
    total = sum(summary.waiting + summary.loading for summary in summaries)
    assert sum(shares) == min(rate, total)
    for share, summary in zip(shares, summaries, strict=True):
        size = summary.waiting + summary.loading
        assert 0 <= share <= size


@pytest.mark.parametrize(
    ('share', 'total', 'blocked', 'expected'),
    [
        (0.6, 5, 0, 2),
        (0.6, 5, 1, 1),
        (0.6, 5, 4, 1),
        (1.0, 5, 0, 1),
        (0.0, 5, 0, 5),
        (0.7, 10, 0, 3),
    ],
)
def test_serving_share_bounds_the_loads(share, total, blocked, expected):
    assert plan.count_loads_at_once(share, total, blocked) == expected


@hypothesis.given(st.integers(1, 40), st.integers(1, 9), st.floats(0.0, 1.0))
def test_waves_reach_every_engine(count, rate, share):
    engines = [make_engine(index) for index in range(count)]
    bound = plan.count_loads_at_once(share, count, 0)
    desired = make_desired()
    rounds = 0
    while any(item.version != VERSION for item in engines):
        summaries = plan.summarise(desired, engines)
        loads = []
        for item in summaries:
            own = item.data_centre
            here = [found for found in engines if found.data_centre == own]
            pool_share = plan.share_rate(bound, summaries, own)
            desired_pools = [make_desired(loads_at_once=pool_share)]
            share_here = plan.share_rate(rate, summaries, own)
            loads += plan.plan_loads(desired_pools, here, share_here)
        assert 0 < len(loads) <= min(rate, bound)
        loaded = {item.engine for item in loads}
        engines = [
            msgspec.structs.replace(item, version=VERSION)
            if item.name in loaded
            else item
            for item in engines
        ]
        rounds += 1
    assert rounds <= count


def test_neediest_pool_loads_first():
    engines = [
        make_engine(index, pool=ids.PoolName('ab'[index % 2]))
        for index in range(8)
    ]
    desired_pools = [
        make_desired(pool=ids.PoolName('a'), need=0.1),
        make_desired(pool=ids.PoolName('b'), need=0.9),
    ]
    loads = plan.plan_loads(desired_pools, engines, 1)
    assert [load.pool for load in loads] == ['b']


@pytest.mark.parametrize(
    ('version', 'rollback', 'expected'),
    [(4, False, True), (6, False, False), (6, True, True), (5, True, False)],
)
def test_versions_move_forward_unless_rolled_back(version, rollback, expected):
    engine = make_engine(0, version=ids.WeightVersion(version))
    loads = plan.plan_loads([make_desired(rollback=rollback)], [engine], 1)
    assert bool(loads) is expected


@pytest.mark.parametrize('idle_weight', [0.0, 0.3, 0.7, 1.0])
def test_need_follows_the_declared_idle_weight(idle_weight):
    idle = plan.compute_need(1.0, 0.0, idle_weight)
    stale = plan.compute_need(0.0, 1.0, idle_weight)
    assert (idle, stale) == (idle_weight, 1 - idle_weight)
