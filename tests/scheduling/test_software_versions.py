"""Tests the choice of the software version that begins a stream."""

import collections
import random

import pytest

from waxwingport.fleet import model as fleet
from waxwingport.scheduling import software_versions


def make_target(software, running=0, slots=4):
    entry = fleet.TargetEntry(
        f'{software}-{running}',
        's',
        '',
        'here',
        slots,
        fleet.Stage.READY,
        1,
        {},
        software,
    )
    return fleet.Target(entry, running=running)


def count_assigned(slots, streams=4000):
    return collections.Counter(
        software_versions.assign(f'q{number}', slots)
        for number in range(streams)
    )


def test_streams_are_not_spread_by_the_slots_of_the_versions():
    counts = count_assigned({'v1': 24, 'v2': 8})
    assert 0.7 * 4000 < counts['v1'] < 0.8 * 4000


@pytest.mark.parametrize('share', [4, 8, 16])
def test_a_new_version_moves_streams_between_the_others(share):
    before = {'v1': 16, 'v2': 16}
    after = before | {'v3': share}
    for number in range(500):
        name = f'q{number}'
        assert software_versions.assign(name, after) in (
            software_versions.assign(name, before),
            'v3',
        )


def test_nodes_that_list_versions_in_another_order_assign_differently():
    slots = {'v1': 16, 'v2': 16}
    turned = dict(reversed(slots.items()))
    assert count_assigned(slots) == count_assigned(turned)


def test_no_slots_assign_nothing():
    assert software_versions.assign('q', {}) is None


@pytest.mark.parametrize(
    ('current', 'fresh', 'replaces'),
    [
        ({}, {}, False),
        ({}, {'v1': 8}, True),
        ({'v1': 8}, {}, False),
        ({'v1': 8}, {'v1': 40}, False),
        ({'v1': 8, 'v2': 8}, {'v1': 8}, True),
        ({'v1': 40, 'v2': 40}, {'v1': 40, 'v2': 36}, False),
        ({'v1': 40, 'v2': 40}, {'v1': 40, 'v2': 20}, True),
    ],
)
def test_counts_are_replaced_for_small_differences(current, fresh, replaces):
    assert software_versions.should_replace(current, fresh) is replaces


def test_a_stream_goes_to_another_version_while_its_own_has_free_slots():
    own, other = make_target('v1', 3), make_target('v2')
    assert software_versions.select([own, other], 'v1', True, 0.0) == [own]


def test_a_stream_waits_for_a_full_version_beside_a_free_one():
    own, other = make_target('v1', 4), make_target('v2')
    assert software_versions.select([own, other], 'v1', True, 0.0) == [other]
    assert software_versions.select([own, other], 'v1', False, 0.0) == [own]


def test_a_stream_deviates_where_all_are_full():
    own, other = make_target('v1', 4), make_target('v2', 4)
    assert software_versions.select([own, other], 'v1', True, 0.0) == [own]


def test_a_stream_of_a_version_that_left_has_no_target():
    other = make_target('v2')
    assert software_versions.select([other], 'v1', True, 0.0) == [other]
    assert software_versions.select([other], 'v1', False, 0.0) == []


def test_most_streams_wait_at_full_engines_beside_free_ones():
    # Load pattern: bursts at versions of different size.
    rng = random.Random(1)
    targets = [make_target('v1', 0, 24), make_target('v2', 0, 8)]
    slots = software_versions.count_slots(targets)
    over = 0
    for number in range(2000):
        assigned = software_versions.assign(f'q{number}', slots)
        for target in software_versions.select(targets, assigned, True, 0.0)[
            :1
        ]:
            target.running += 1
            over += target.running > target.entry.slots
        if number >= 24:
            busy = [target for target in targets if target.running]
            rng.choices(busy, [t.running for t in busy])[0].running -= 1
    assert over < 0.02 * 2000


@pytest.mark.parametrize(
    ('waited', 'events', 'event_time', 'waits'),
    [
        (0.0, 10, 0.1, True),
        (0.9, 10, 0.1, True),
        (1.1, 10, 0.1, False),
        (1.9, 1000, 0.1, True),
        (2.1, 1000, 0.1, False),
        (0.1, 10, None, True),
        (0.3, 10, None, False),
        (0.0, 0, 0.1, False),
    ],
)
def test_a_text_waits_for_its_version_while_its_step_runs_late(
    waited, events, event_time, waits
):
    assert software_versions.may_wait(waited, events, event_time) is waits
