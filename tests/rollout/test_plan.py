"""Replays of published versions through the pure plan of loads."""

from hypothesis import given
from hypothesis import strategies as st

from waxwingport.rollout import controller
from waxwingport.rollout import plan


def make_engines(*versions, name='m'):
    return [
        plan.Engine(f'i{index}', {name: version}, 0.0)
        for index, version in enumerate(versions)
    ]


def plan_for(engines, newest, staleness_bound=1, loading=0):
    requirements = {'m': plan.Requirement(newest, staleness_bound)}
    return plan.plan_loads(engines, requirements, loading)


def apply(engines, loads):
    wanted = {load.instance: load.version for load in loads}
    return [
        plan.Engine(
            row.instance,
            {'m': wanted.get(row.instance, row.versions['m'])},
            row.load,
        )
        for row in engines
    ]


def test_with_a_lag_half_of_the_engines_load_at_each_version():
    engines = make_engines(1, 1, 1, 1, 1, 1)
    total = 0
    for version in range(2, 12):
        while loads := plan_for(engines, version):
            total += len(loads)
            engines = apply(engines, loads)
        usable = [row for row in engines if row.versions['m'] >= version - 1]
        assert len(usable) == 6
    assert total == 10 * 3


def test_without_a_lag_all_load_but_never_all_at_once():
    engines = make_engines(1, 1, 1, 1, 1)
    sizes = []
    while loads := plan_for(engines, 2, staleness_bound=0):
        sizes.append(len(loads))
        engines = apply(engines, loads)
    assert sum(sizes) == 5
    assert max(sizes) == 2


def test_two_versions_in_quick_succession_leave_engines_serving():
    engines = make_engines(5, 5, 4, 4, 4)
    loads = plan_for(engines, 7)
    assert len(loads) == 2
    assert {load.instance for load in loads} <= {'i2', 'i3', 'i4'}


def test_loads_under_way_count_towards_the_bound():
    assert plan_for(make_engines(1, 1, 1, 1, 1), 5, loading=2) == []


def test_the_trainer_with_the_fewest_usable_engines_goes_first():
    engines = [
        plan.Engine('i0', {'a': 5, 'b': 1}, 0.0),
        plan.Engine('i1', {'a': 3, 'b': 1}, 0.0),
        plan.Engine('i2', {'a': 5, 'b': 1}, 0.0),
    ]
    requirements = {'a': plan.Requirement(5, 1), 'b': plan.Requirement(5, 1)}
    loads = plan.plan_loads(engines, requirements, 0)
    assert [load.model for load in loads] == ['b']


@given(
    st.lists(st.integers(1, 6), min_size=1, max_size=12),
    st.integers(1, 6),
    st.integers(0, 3),
)
def test_every_engine_becomes_usable_and_none_goes_back(
    versions, newest, staleness_bound
):
    engines = make_engines(*versions)
    for _ in range(40):
        loads = plan_for(engines, newest, staleness_bound)
        if not loads:
            break
        for load in loads:
            assert load.version == newest
        engines = apply(engines, loads)
    assert all(
        row.versions['m'] >= newest - staleness_bound for row in engines
    )


def test_the_first_version_says_nothing_of_the_lag():
    registry = controller.VersionRegistry()
    registry.record_published('m', 2)
    registry.record_minimum('m', 1)
    assert registry.get_requirements() == {'m': plan.Requirement(2, 1)}


def test_a_trainer_that_allows_no_lag_is_believed():
    registry = controller.VersionRegistry()
    registry.record_published('m', 3)
    registry.record_minimum('m', 3)
    assert registry.get_requirements() == {'m': plan.Requirement(3, 0)}


def test_a_minimum_ahead_of_its_version_is_met_once_that_is_published():
    registry = controller.VersionRegistry()
    registry.record_minimum('m', 2)
    registry.record_published('m', 2)
    requirement = registry.get_requirements()['m']
    engines = [plan.Engine('i', {'m': 1}, 0.0)]
    (load,) = plan.plan_loads(engines, {'m': requirement}, 0)
    assert load.version == 2


def test_a_minimum_far_ahead_waits_for_its_own_version():
    registry = controller.VersionRegistry()
    registry.record_published('m', 2)
    registry.record_minimum('m', 4)
    registry.record_published('m', 3)
    assert registry.get_requirements()['m'].staleness_bound == 1
    registry.record_published('m', 4)
    assert registry.get_requirements()['m'].staleness_bound == 0
