"""Replays of load patterns through the pure decisions on calls."""

import random

import pytest

from waxwingport.fleet import model as fleet
from waxwingport.gateway import hedging
from waxwingport.gateway import routes


@pytest.fixture
def make_target():
    """Returns a function that makes a target with work on it."""

    def make(running=0, slots=4, slowness=1.0, avoided_until=0.0):
        entry = fleet.TargetEntry(
            'i', 's', '', 'here', slots, fleet.Stage.READY, 1, {}
        )
        return fleet.Target(
            entry,
            running=running,
            slowness=slowness,
            avoided_until=avoided_until,
        )

    return make


@pytest.fixture
def route():
    share = routes.Share('s', 1)
    kind = routes.RouteKind.IDEMPOTENT
    return routes.Route('r', 'h', '/', kind, (share,), 2, 3.0, 0.2)


def make_usual(times):
    found = hedging.ResponseTimes()
    for taken in times:
        found.record(taken)
    return found


def retry_after(targets, usual, seed=1):
    rng = random.Random(seed)
    return hedging.compute_retry_after(targets, usual, 0.0, rng)


def test_free_targets_make_nothing_hopeless(make_target):
    usual = make_usual([0.1] * 20)
    assert not hedging.is_infeasible([make_target(3)], usual, 0.15, 0.0)


def test_a_queue_longer_than_the_patience_is_refused_at_once(make_target):
    usual = make_usual([0.1] * 20)
    targets = [make_target(44), make_target(60)]
    assert hedging.is_infeasible(targets, usual, 1.0, 0.0)
    assert not hedging.is_infeasible(targets, usual, 1.5, 0.0)


def test_a_slow_targets_queue_counts_for_as_long_as_it_takes(make_target):
    usual = make_usual([0.1] * 20)
    assert hedging.is_infeasible(
        [make_target(8, slowness=8.0)], usual, 1.0, 0.0
    )


def test_a_refused_call_is_told_when_the_queue_is_gone(make_target):
    usual = make_usual([0.1] * 20)
    told = retry_after([make_target(44), make_target(60)], usual)
    assert 1.0 <= told <= 1.3


def test_callers_refused_together_do_not_return_together(make_target):
    usual = make_usual([0.1] * 20)
    told = {retry_after([make_target(44)], usual, seed) for seed in range(9)}
    assert len(told) == 9


def test_a_target_out_of_reach_is_waited_for(make_target):
    usual = hedging.ResponseTimes()
    assert retry_after([make_target(avoided_until=0.5)], usual) >= 0.5
    assert retry_after([], usual) >= 2.0


def test_a_lost_answer_among_quick_ones_is_overdue_soon(route):
    usual = make_usual([0.03, 0.035, 0.04] * 30)
    assert hedging.compute_hedge_delay(route, usual) < route.target_time / 2


def test_work_that_usually_takes_longer_is_not_sent_twice_for_it(route):
    usual = make_usual([0.4, 0.5, 0.6] * 30)
    assert hedging.compute_hedge_delay(route, usual) > 0.5


def test_an_unknown_route_is_hedged_within_its_target_time(route):
    delay = hedging.compute_hedge_delay(route, hedging.ResponseTimes())
    assert delay == route.target_time / 2


def test_services_are_picked_by_their_weights(route):
    shares = (routes.Share('a', 90), routes.Share('b', 10))
    split = routes.Route('r', 'h', '/', route.kind, shares, 2, 3.0, 0.2)
    rng = random.Random(1)
    picks = [hedging.pick_service(split, rng) for _ in range(1000)]
    assert 60 < picks.count('b') < 140


def test_weights_of_zero_leave_the_first_service(route):
    shares = (routes.Share('a', 0), routes.Share('b', 0))
    split = routes.Route('r', 'h', '/', route.kind, shares, 2, 3.0, 0.2)
    assert hedging.pick_service(split, random.Random(1)) == 'a'
