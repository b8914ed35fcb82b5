import itertools
import time

import hypothesis
from hypothesis import strategies
import pytest

from waxwingport.scheduling import attribution

NOW = 1.79e9


def make_presence(longest, shortest=None):
    return attribution.Presence(longest, shortest or longest)


def make_crashes(*candidates, gap=1.0, settled=True):
    """Returns crashes a second after each other, each of the given names."""
    return {
        attribution.TargetStart(f't{number}/1'): attribution.Crash(
            NOW + gap * number,
            dict.fromkeys(names.split(), make_presence(0.1)),
            settled,
        )
        for number, names in enumerate(candidates)
    }


def find_stopped(crashes, now=NOW + 10.0):
    return {
        name
        for name, suspicion in attribution.find_suspicions(crashes).items()
        if suspicion.compute_remaining(now) > 0.0
    }


def test_a_request_alone_at_three_crashes_is_sent_on():
    assert find_stopped(make_crashes('bad', 'bad')) == set()
    assert find_stopped(make_crashes('bad', 'bad', 'bad')) == {'bad'}


def test_company_of_the_cause_is_stopped():
    crashes = make_crashes('bad a b', 'bad a c', 'bad d', 'bad')
    assert find_stopped(crashes) == {'bad'}


def test_two_requests_that_are_always_together_are_both_stopped():
    together = ['a b', 'a b', 'a b']
    assert len(find_stopped(make_crashes(*together))) == 1
    assert find_stopped(make_crashes(*together, 'a')) == {'a'}
    assert find_stopped(make_crashes(*together, 'b')) == {'b'}


def test_targets_that_end_together_count_for_each_of_them():
    # All runs had been sent before the first of the crashes.
    crashes = {
        attribution.TargetStart(f't{number}/1'): attribution.Crash(
            NOW + 0.03 * number, {'often': make_presence(0.1 + 0.1 * number)}
        )
        for number in range(5)
    }
    assert find_stopped(crashes) == set()


def test_a_cause_that_is_sent_often_hides_behind_its_earlier_runs():
    # Runs that began before one crash wait at the next target to crash.
    crashes = {
        attribution.TargetStart(f't{number}/1'): attribution.Crash(
            NOW + 0.2 * number, {'bad': make_presence(0.5, 0.05)}
        )
        for number in range(3)
    }
    assert find_stopped(crashes) == {'bad'}


def test_a_request_that_waited_is_taken_for_the_cause():
    crashes = {
        attribution.TargetStart(f't{number}/1'): attribution.Crash(
            NOW + 5.0 * number,
            {
                'bad': make_presence(0.05),
                'long': make_presence(0.2),
                'other': make_presence(0.06 + number),
            },
        )
        for number in range(3)
    }
    assert find_stopped(crashes) == {'bad'}


def test_a_request_stays_stopped_for_the_crashes_of_another():
    crashes = ['good', 'good bad', 'good bad', 'good bad']
    assert find_stopped(make_crashes(*crashes)) == {'good'}
    crashes += ['bad', 'bad']
    assert find_stopped(make_crashes(*crashes)) == {'bad'}


def test_two_causes_hide_each_other():
    crashes = make_crashes('a', 'b', 'a b', 'a', 'b', 'a', 'b')
    assert find_stopped(crashes) == {'a', 'b'}


def test_chance_at_killed_targets_is_taken_for_the_cause():
    # Where as many targets end without a likely cause, three are not enough.
    crashes = make_crashes('x', 'y', 'z', 'bad', 'bad', 'bad')
    assert find_stopped(crashes) == set()
    crashes = make_crashes('x', 'y', 'z', 'bad', 'bad', 'bad', 'bad')
    assert find_stopped(crashes) == {'bad'}


@pytest.mark.parametrize(
    ('kills', 'unsettled', 'settled'), [(0, 3, 3), (1, 5, 3), (3, 5, 4)]
)
def test_answers_that_are_not_known_yet_make_no_difference(
    kills, unsettled, settled
):
    # A request at killed targets may have been answered at another node.
    others = [f'other{number}' for number in range(kills)]
    for known, required in ((False, unsettled), (True, settled)):
        crashes = ['bad'] * required
        found = make_crashes(*others, *crashes, settled=known)
        assert find_stopped(found) == {'bad'}
        found = make_crashes(*others, *crashes[1:], settled=known)
        assert find_stopped(found) == set()


def test_nodes_disagree_on_targets_that_end_at_the_same_time():
    # The order of a set differs between processes.
    crashes = make_crashes('a', 'a', 'a', gap=0.0)
    orders = itertools.permutations(crashes)
    chosen = [
        attribution._weigh_evidence('a', order, crashes).credited
        for order in orders
    ]
    assert all(starts == chosen[0] for starts in chosen)


def test_two_kills_make_no_difference():
    crashes = make_crashes('x', 'y', 'often', 'often', 'often')
    assert find_stopped(crashes) == set()


def test_many_requests_at_the_same_crashes_hold_up_a_node():
    # Guards against a time that grows with the square of their number.
    names = [f'request{number}' for number in range(11_000)]
    crashes = make_crashes(*([' '.join(names)] * 8))
    started_at = time.process_time()
    attribution.find_suspicions(crashes)
    assert time.process_time() - started_at < 5.0


def test_kills_hide_a_request_for_ever():
    kills = [f'other{number}' for number in range(50)]
    crashes = make_crashes(*kills, *(['bad'] * 5), gap=0.1)
    assert find_stopped(crashes) == {'bad'}


def test_kills_long_before_count_against_the_evidence():
    crashes = make_crashes('x', 'y', 'z', 'bad', 'bad', 'bad', gap=20.0)
    assert find_stopped(crashes, NOW + 110.0) == {'bad'}


def test_a_stop_has_no_end_or_grows_without_bound():
    times = []
    for count in range(3, 9):
        crashes = make_crashes(*(['bad'] * count))
        suspicion = attribution.find_suspicions(crashes)['bad']
        times.append(suspicion.stop_time)
        end = suspicion.last_at + suspicion.stop_time
        assert suspicion.compute_remaining(end - 1.0) > 0.0
        assert suspicion.compute_remaining(end) == 0.0
    assert times == sorted(times)
    assert times[0] <= 120.0
    assert times[-1] <= 3600.0


def test_the_first_stop_beside_kills_lasts_for_an_hour():
    kills = [f'other{number}' for number in range(3)]
    crashes = make_crashes(*kills, *(['bad'] * 5), gap=0.1, settled=False)
    suspicion = attribution.find_suspicions(crashes)['bad']
    assert 0.0 < suspicion.stop_time <= 120.0


@hypothesis.given(
    strategies.lists(
        strategies.sets(strategies.sampled_from('abcdefgh'), max_size=5),
        max_size=12,
    )
)
def test_a_request_is_stopped_for_less_than_three_crashes(candidates):
    crashes = make_crashes(*(' '.join(sorted(names)) for names in candidates))
    suspicions = attribution.find_suspicions(crashes)
    assert all(
        suspicion.credit <= suspicion.crashes
        for suspicion in suspicions.values()
    )
    for name in find_stopped(crashes):
        assert sum(name in names for names in candidates) >= 3
