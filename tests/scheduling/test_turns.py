"""Turns of many nodes before one limited target, in virtual time."""

import random

import pytest

from waxwingport.fleet import limits
from waxwingport.scheduling import turns

WINDOW_S = 4.0
EPOCH = 1_790_000_000.0
"""Time of the shared clock at the loop time 0."""
TICK_S = 0.02


def make_limits(count, rate, seed=1):
    """Returns the limit as each of some nodes sees it, with its place."""
    order = random.Random(seed).sample(range(count), count)
    found = []
    for position in order:
        limit = limits.RateLimit(rate, 0.0, clock_offset=EPOCH)
        limit.place = turns.Place(position, count)
        found.append(limit)
    return found


def send_all(nodes, at):
    """Sends as many requests as each node may; returns their times."""
    sent = []
    for limit in nodes:
        while limit.reserve(at):
            sent.append(at)
    return sent


def count_busiest(times):
    times = sorted(times)
    return max(
        (
            sum(first <= at < first + WINDOW_S for at in times)
            for first in times
        ),
        default=0,
    )


def count_allowed(rate):
    """Returns the most requests in a window by the users' rule."""
    return 1.5 * WINDOW_S * rate + 5


@pytest.mark.parametrize('rate', [0.0, 0.5, 1.0, 3.2, 40.0])
@pytest.mark.parametrize('count', [1, 2, 12, 690])
def test_greedy_nodes_keep_to_the_limit_and_use_it(count, rate):
    # Guards against shares whose sum grows with the number of nodes.
    nodes = make_limits(count, rate)
    ticks = int(30.0 / TICK_S)
    sent = [
        at
        for number in range(ticks)
        for at in send_all(nodes, number * TICK_S)
    ]
    assert count_busiest(sent) <= count_allowed(rate)
    in_use = [at for at in sent if at >= 10.0]
    assert abs(len(in_use) - 20.0 * rate) <= 2 + 0.1 * 20.0


def test_a_burst_after_a_pause_keeps_to_the_limit():
    # Guards against tokens that each of many nodes saves up meanwhile.
    nodes = make_limits(12, 1.0)
    sent = [
        at
        for start in (5.0, 60.0, 300.0)
        for number in range(300)
        for at in send_all(nodes, start + number * TICK_S)
    ]
    assert count_busiest(sent) <= count_allowed(1.0)


def test_nodes_that_come_and_go_keep_to_the_limit():
    # Guards against a further turn with each change of the places.
    rng = random.Random(3)
    nodes = make_limits(12, 2.0)
    sent = []
    for number in range(int(60.0 / TICK_S)):
        at = number * TICK_S
        if number % 25 == 0:
            present = rng.sample(nodes, rng.randint(1, 12))
            for limit in nodes:
                limit.place = None
            for position, limit in enumerate(present):
                limit.place = turns.Place(position, len(present))
        sent += send_all(nodes, at)
    assert count_busiest(sent) <= count_allowed(2.0)


def test_a_limit_that_changes_often_is_kept():
    rng = random.Random(5)
    nodes = make_limits(12, 2.0)
    sent = []
    for number in range(int(60.0 / TICK_S)):
        at = number * TICK_S
        if number % 10 == 0:
            rate = rng.uniform(1.5, 2.0)
            for limit in nodes:
                limit.hear(rate, at)
        sent += send_all(nodes, at)
    assert count_busiest(sent) <= count_allowed(1.5)


def test_calls_are_served_in_time_while_all_targets_are_limited():
    # Load pattern: six limited targets, twelve nodes with a call every 2 s.
    rng = random.Random(7)
    targets = [make_limits(12, 3.2, seed) for seed in range(6)]
    waits = []
    for node in range(12):
        at = 0.0
        while at < 100.0:
            at += rng.expovariate(0.5)
            mine = [nodes[node] for nodes in targets]
            wait = limits.compute_nth_wait(mine, 0, at)
            waits.append(wait)
            best = min(mine, key=lambda one: one.compute_wait(at))
            assert best.reserve(at + wait + 0.001)
    waits.sort()
    assert waits[len(waits) // 2] < 0.1
    assert waits[int(0.99 * len(waits))] < 1.5


def test_waiting_calls_get_one_turn_each():
    (limit,) = make_limits(1, 2.0)
    while limit.reserve(0.0):
        pass
    waits = [limits.compute_nth_wait([limit], n, 0.0) for n in range(4)]
    assert waits == pytest.approx([0.5, 1.0, 1.5, 2.0], abs=1e-3)


def test_only_as_many_nodes_share_as_get_a_turn_in_time():
    names = [f'n{number}' for number in range(690)]
    assert turns.choose_sharers(names, 2.0) == names[:20]
    assert turns.choose_sharers(names, 0.0) == names[:1]


def test_a_turn_is_used_late_but_not_for_long():
    (limit,) = make_limits(1, 0.25)
    while limit.reserve(0.0):
        pass
    start = limit.compute_wait(0.0)
    assert not limit.count_turns(start - 0.01)
    assert limit.count_turns(start + 1.4) == 1
    assert not limit.count_turns(start + 1.6)


def test_a_reservation_admits_one_request_for_a_short_time():
    (limit,) = make_limits(1, 10.0)
    assert limit.reserve(0.0)
    assert limit.redeem(0.1)
    assert not limit.redeem(0.1)
    assert limit.reserve(0.2)
    assert not limit.redeem(9.0)


def test_an_order_uses_up_a_turn_without_waiting_for_one():
    (limit,) = make_limits(1, 1.0)
    while limit.reserve(0.0):
        pass
    before = limit.compute_wait(0.0)
    limit.charge(0.0)
    assert limit.compute_wait(0.0) == pytest.approx(before + 1.0)


def test_a_shared_clock_that_is_set_back_does_not_stop_a_node():
    (limit,) = make_limits(1, 1.0)
    assert limit.reserve(0.0)
    limit.clock_offset -= 3600.0
    assert limit.compute_wait(1.0) <= 1.0


def test_a_node_without_a_place_waits_for_one_unless_it_is_excluded():
    limit = limits.RateLimit(1.0, 0.0)
    assert not limit.reserve(0.0)
    assert 0.0 < limit.compute_wait(0.0) < 1.0
    limit.excluded = True
    assert limit.compute_wait(0.0) == float('inf')
