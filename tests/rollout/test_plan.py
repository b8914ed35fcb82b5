"""Tests the plan of loads on sequences of published versions."""

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


def apply_loads(engines, loads):
    versions = {load.instance: load.version for load in loads}
    return [
        plan.Engine(
            engine.instance,
            {'m': versions.get(engine.instance, engine.versions['m'])},
            engine.load,
        )
        for engine in engines
    ]


def test_with_a_bound_of_one_half_of_the_engines_load_at_each_version():
    engines = make_engines(1, 1, 1, 1, 1, 1)
    total = 0
    for version in range(2, 12):
        while loads := plan_for(engines, version):
            total += len(loads)
            engines = apply_loads(engines, loads)
        usable = [
            engine for engine in engines if engine.versions['m'] >= version - 1
        ]
        assert len(usable) == 6
    assert total == 10 * 3


def test_with_a_bound_of_zero_all_load_but_never_all_at_once():
    engines = make_engines(1, 1, 1, 1, 1)
    sizes = []
    while loads := plan_for(engines, 2, staleness_bound=0):
        sizes.append(len(loads))
        engines = apply_loads(engines, loads)
    assert sum(sizes) == 5
    assert max(sizes) == 2


def test_two_versions_in_quick_succession_leave_engines_serving():
    engines = make_engines(5, 5, 4, 4, 4)
    loads = plan_for(engines, 7)
    assert len(loads) == 2
    assert {load.instance for load in loads} <= {'i2', 'i3', 'i4'}


def test_engines_that_load_count_towards_the_bound():
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
def test_every_engine_becomes_usable_and_none_loads_an_older_version(
    versions, newest, staleness_bound
):
    engines = make_engines(*versions)
    for _ in range(40):
        loads = plan_for(engines, newest, staleness_bound)
        if not loads:
            break
        for load in loads:
            assert load.version == newest
        engines = apply_loads(engines, loads)
    assert all(
        engine.versions['m'] >= newest - staleness_bound for engine in engines
    )


def test_a_minimum_of_the_first_version_sets_no_bound():
    registry = controller.VersionRegistry()
    registry.record_published('m', 2)
    registry.record_minimum('m', 1)
    assert registry.get_requirements() == {'m': plan.Requirement(2, 1)}


def test_a_minimum_of_the_newest_version_sets_a_bound_of_zero():
    registry = controller.VersionRegistry()
    registry.record_published('m', 3)
    registry.record_minimum('m', 3)
    assert registry.get_requirements() == {'m': plan.Requirement(3, 0)}


def test_an_early_minimum_counts_once_its_version_is_published():
    registry = controller.VersionRegistry()
    registry.record_minimum('m', 2)
    registry.record_published('m', 2)
    requirement = registry.get_requirements()['m']
    engines = [plan.Engine('i', {'m': 1}, 0.0)]
    (load,) = plan.plan_loads(engines, {'m': requirement}, 0)
    assert load.version == 2


def test_a_minimum_far_ahead_counts_at_its_own_version_only():
    registry = controller.VersionRegistry()
    registry.record_published('m', 2)
    registry.record_minimum('m', 4)
    registry.record_published('m', 3)
    assert registry.get_requirements()['m'].staleness_bound == 1
    registry.record_published('m', 4)
    assert registry.get_requirements()['m'].staleness_bound == 0
