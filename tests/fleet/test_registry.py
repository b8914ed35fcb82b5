import asyncio

from expression import Error
from expression import Ok
import msgspec
import pytest

from tests import loop_clocks
from waxwingport.fleet import health
from waxwingport.fleet import model
from waxwingport.fleet import registry
from waxwingport.log import base
from waxwingport.log import dependency

NOW = 1000.0
"""Time of day at loop time 0 in seconds."""

pytestmark = pytest.mark.looptime


def decode(key, value):
    """Decodes ``stage,started_at_ms`` to an entry of a target."""
    stage, _, started_at_ms = value.decode().partition(',')
    if stage not in ('ready', 'draining'):
        return Error('unreadable')
    return Ok(
        model.TargetEntry(
            key,
            's',
            '',
            'here',
            4,
            model.Stage(stage),
            int(started_at_ms),
            {'m': 1},
        )
    )


@pytest.fixture
def targets():
    found = registry.Registry(decode, loop_clocks.LoopWallClock(NOW))
    found.update(base.KeyedRecord('i1', b'ready,1'))
    found.update(base.KeyedRecord('i2', b'ready,1'))
    return found


@pytest.fixture
def store(targets):
    found = dependency.Dependency('store')
    targets.set_log_dependency(found)
    return found


def list_ready(targets):
    return sorted(row.entry.instance for row in targets.find_ready('s'))


async def test_a_removed_target_gets_no_new_work_at_once(targets, store):
    targets.update(base.KeyedRecord('i1', None))
    assert list_ready(targets) == ['i2']


async def test_a_draining_target_gets_no_new_work(targets):
    targets.update(base.KeyedRecord('i1', b'draining,1'))
    assert list_ready(targets) == ['i2']


async def test_an_unreadable_entry_names_no_target(targets):
    targets.update(base.KeyedRecord('i1', b'?'))
    targets.update(base.KeyedRecord('i3', b'?'))
    assert list_ready(targets) == ['i2']


async def test_entries_that_expired_while_the_log_was_away_get_a_grace(
    targets, store
):
    store.record_failure('away')
    await asyncio.sleep(5.0)
    store.record_success()
    targets.replace([base.KeyedRecord('i2', b'ready,1')])
    assert list_ready(targets) == ['i1', 'i2']
    await asyncio.sleep(1.0)
    targets.update(base.KeyedRecord('i1', b'ready,1'))
    await asyncio.sleep(5.0)
    assert list_ready(targets) == ['i1', 'i2']


async def test_a_target_still_missing_after_the_grace_is_removed(
    targets, store
):
    store.record_failure('away')
    await asyncio.sleep(5.0)
    store.record_success()
    targets.replace([base.KeyedRecord('i2', b'ready,1')])
    await asyncio.sleep(2.1)
    assert list_ready(targets) == ['i2']


async def test_a_restarted_target_is_a_new_one(targets):
    before = targets.find('i1')
    before.record_version('m', 7)
    targets.update(base.KeyedRecord('i1', b'ready,2'))
    after = targets.find('i1')
    assert after is not before
    assert after.versions == {'m': 1}


async def test_an_entry_does_not_revert_a_version_seen_later(targets):
    target = targets.find('i1')
    target.record_version('m', 3)
    targets.update(base.KeyedRecord('i1', b'ready,1'))
    assert target.versions == {'m': 3}


async def test_listeners_learn_of_each_change(targets):
    changes = []
    targets.add_listener(lambda: changes.append(len(targets)))
    targets.update(base.KeyedRecord('i3', b'ready,1'))
    targets.replace([])
    assert changes == [3, 0]


async def test_a_load_report_loses_weight_with_its_age():
    report = model.LoadReport(working=6, own=2, received_at=0.0)
    assert model.estimate_other_load(report, 0.2) == 4.0
    assert 0.0 < model.estimate_other_load(report, 1.2) < 4.0
    assert model.estimate_other_load(report, 2.5) == 0.0
    assert model.estimate_other_load(None, 0.0) == 0.0


@pytest.mark.parametrize(
    ('signal', 'shortest'),
    [
        (health.HealthSignal.FULL, 0.01),
        (health.HealthSignal.BROKEN, 0.2),
        (health.HealthSignal.UNREACHABLE, 0.2),
        (health.HealthSignal.MOVED, 1.0),
    ],
)
async def test_a_target_is_avoided_for_a_while_after_a_failure(
    targets, signal, shortest
):
    target = targets.find('i1')
    health.record_failure(target, signal, 0.0)
    assert shortest <= target.avoided_until <= 4.0
    health.record_success(target)
    assert target.avoided_until < 0.0


async def test_avoidance_grows_but_stays_bounded(targets):
    target = targets.find('i1')
    for _ in range(20):
        health.record_failure(target, health.HealthSignal.UNREACHABLE, 0.0)
    assert target.avoided_until == 4.0


async def test_a_single_failed_request_does_not_avoid_the_target(targets):
    target = targets.find('i1')
    health.record_failure(target, health.HealthSignal.FAILED, 0.0)
    assert target.avoided_until <= 0.0


def test_entries_are_immutable():
    entry = decode('i', b'ready,1').ok
    with pytest.raises(AttributeError):
        entry.slots = 5
    assert msgspec.structs.replace(entry, slots=5).slots == 5


async def test_a_target_that_is_added_later_has_to_prove_itself(targets):
    targets.replace(
        [
            base.KeyedRecord('i3', b'ready,1'),
            base.KeyedRecord('i4', b'ready,1'),
        ]
    )
    targets.update(base.KeyedRecord('i5', b'ready,1'))
    targets.update(base.KeyedRecord('i4', b'ready,2'))
    proven = {target.entry.instance: target.proven for target in targets}
    assert proven == {'i3': True, 'i4': False, 'i5': False}


def find(targets, name):
    return targets.find(model.InstanceId(name))


async def test_a_ready_entry_does_not_take_a_leaving_target_back(targets):
    # Guards against requests to a target that leaves without a drain.
    assert targets.record_leaving(find(targets, 'i1'))
    targets.update(base.KeyedRecord('i1', b'ready,1'))
    targets.replace(
        [
            base.KeyedRecord('i1', b'ready,1'),
            base.KeyedRecord('i2', b'ready,1'),
        ]
    )
    assert list_ready(targets) == ['i2']
    assert targets.count_leaving('s') == 1
    assert not targets.record_leaving(find(targets, 'i1'))


async def test_a_leaving_target_that_starts_anew_gets_work(targets):
    targets.record_leaving(find(targets, 'i1'))
    targets.update(base.KeyedRecord('i1', b'ready,1000001'))
    assert list_ready(targets) == ['i1', 'i2']
    assert targets.count_leaving('s') == 0


async def test_the_late_entry_of_a_run_takes_a_leaving_target_back(targets):
    # The answer came from a run whose entry was still on its way.
    await asyncio.sleep(3.0)
    targets.record_leaving(find(targets, 'i1'))
    await asyncio.sleep(2.0)
    targets.update(base.KeyedRecord('i1', b'ready,1002500'))
    assert list_ready(targets) == ['i2']
    targets.update(base.KeyedRecord('i1', None))
    targets.update(base.KeyedRecord('i1', b'ready,1002500'))
    assert list_ready(targets) == ['i2']
    targets.update(base.KeyedRecord('i1', b'ready,1004000'))
    assert list_ready(targets) == ['i1', 'i2']


async def test_a_wrong_time_of_day_keeps_a_target_from_work_for_ever(targets):
    # A node's clock is ahead, so that each start seems to be before the news.
    targets.record_leaving(find(targets, 'i1'))
    await asyncio.sleep(15.0)
    targets.update(base.KeyedRecord('i1', b'ready,900000'))
    assert list_ready(targets) == ['i1', 'i2']


async def test_an_entry_that_returns_does_not_take_a_leaving_target_back(
    targets,
):
    # Guards against requests after an entry expired during an outage.
    targets.record_leaving(find(targets, 'i1'))
    targets.update(base.KeyedRecord('i1', None))
    assert targets.count_leaving('s') == 0
    targets.update(base.KeyedRecord('i1', b'ready,1'))
    assert list_ready(targets) == ['i2']


async def test_a_target_at_the_address_of_one_that_left_gets_work(targets):
    targets.record_leaving(find(targets, 'i1'))
    targets.update(base.KeyedRecord('i1', None))
    targets.update(base.KeyedRecord('i3', b'ready,1'))
    assert list_ready(targets) == ['i2', 'i3']


async def test_requests_to_a_removed_target_are_withdrawn(targets):
    removed = find(targets, 'i1')
    targets.update(base.KeyedRecord('i1', None))
    assert removed.stage is model.Stage.DRAINING


async def test_listeners_learn_that_a_target_leaves(targets):
    calls = []
    targets.add_listener(lambda: calls.append(1))
    targets.record_leaving(find(targets, 'i1'))
    assert calls == [1]
