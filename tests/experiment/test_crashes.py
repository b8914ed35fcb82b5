"""Replays calls at engines that crash: the cause is stopped, others are not.

Load pattern: see the descriptions of the patterns.
"""

import pytest

from waxwingport.experiment import crashes
from waxwingport.experiment import patterns
from waxwingport.experiment import policies
from waxwingport.experiment import report

SEEDS = range(10)
MANY_SEEDS = range(60)
"""Enough to compare policies whose errors are few and come in rows."""
ALLOWED_RETRIES = 3
"""Late attempts of one request by the users' rule."""
ACCEPTED_SHARE = 1 / 500
"""Share of proper requests whose refusal the users accept."""


def play(pattern, policy='current', seeds=SEEDS):
    read = patterns.read_pattern(pattern).ok
    found = policies.find_policy(policy).ok
    return [crashes.replay(read, found, seed) for seed in seeds]


def add_up(pattern, policy='current', seeds=SEEDS):
    return report.summarise_crashes(play(pattern, policy, seeds))


def test_a_replay_of_calls_can_be_repeated():
    assert play('crashing-and-killed') == play('crashing-and-killed')


@pytest.mark.parametrize(
    'pattern', ['crashing-request', 'crashing-and-killed', 'starved-service']
)
def test_a_request_that_crashes_engines_is_sent_for_ever(pattern):
    for outcome in play(pattern):
        assert outcome.crashes >= 3
        assert outcome.late_sends <= ALLOWED_RETRIES
    without = add_up(pattern, 'no-blame')
    assert add_up(pattern).crashes < without.crashes / 10


def test_tries_that_come_together_all_reach_an_engine():
    for outcome in play('crashing-burst'):
        assert outcome.late_sends <= ALLOWED_RETRIES
    without = play('crashing-burst', 'no-claims')
    assert all(outcome.late_sends > ALLOWED_RETRIES for outcome in without)


def test_new_requests_at_starved_engines_are_refused():
    # A wrong verdict ends when the cause crashes an engine without them, which
    # is sooner where suspects are sent apart.
    current = add_up('starved-service', seeds=MANY_SEEDS)
    together = add_up('starved-service', 'no-isolation', MANY_SEEDS)
    counting = add_up('starved-service', 'clearing-count', MANY_SEEDS)
    assert current.refused < together.refused < counting.refused / 2
    assert current.served >= 0.99 * current.others


def test_company_of_one_cause_is_refused():
    outcome = add_up('crashing-request')
    assert outcome.refused == 0
    assert outcome.served == outcome.others


def test_company_of_two_causes_is_refused():
    # Guards against verdicts for a request that is sent often, which the
    # crashes of both outnumber.
    for outcome in play('two-causes'):
        assert outcome.late_sends <= ALLOWED_RETRIES
    current = add_up('two-causes', seeds=MANY_SEEDS)
    assert current.refused <= ACCEPTED_SHARE * current.others


@pytest.mark.parametrize('pattern', ['killed-engines', 'crashing-and-killed'])
def test_requests_at_killed_engines_are_refused(pattern):
    current = add_up(pattern)
    assert current.refused <= ACCEPTED_SHARE * current.others
    assert current.refused < add_up(pattern, 'plain-count').refused / 100
    assert current.refused < add_up(pattern, 'clearing-count').refused
