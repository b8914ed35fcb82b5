import random

from hypothesis import given
from hypothesis import strategies
import pytest

from waxwingport.samples import lengths
from waxwingport.samples import planner

shares = strategies.floats(0.0, 1.0)
seconds = strategies.floats(0.0, 1e4)


def make_outlook(version=5, bound=1, step=3, **changes):
    return planner.Outlook(version, bound, step, **changes)


def test_groups_closest_to_whole_go_first_then_the_longest():
    rows = [
        planner.OpenSlot(2, 0, 1, 999.0),
        planner.OpenSlot(1, 0, 3, 900.0),
        planner.OpenSlot(1, 1, 1, 10.0),
        planner.OpenSlot(1, 2, 1, 20.0),
    ]
    ordered = planner.order_slots(rows)
    assert [(row.step, row.number) for row in ordered] == [
        (1, 2),
        (1, 1),
        (1, 0),
        (2, 0),
    ]


@pytest.mark.parametrize(
    ('outlook', 'step', 'minimum'),
    [
        (make_outlook(), 3, 4),
        (make_outlook(), 4, 5),
        (make_outlook(), 5, None),
        (make_outlook(bound=0), 3, 5),
        (make_outlook(bound=0), 4, None),
        (make_outlook(bound=0, drift=2), 3, 5),
        (make_outlook(bound=2, drift=1), 3, 4),
        (make_outlook(advance=2.0, bound=2), 4, 5),
        (make_outlook(version=1, bound=3), 3, 1),
    ],
)
def test_minimum_version_looks_ahead_to_the_pull(outlook, step, minimum):
    assert outlook.find_minimum(step) == minimum


@given(
    strategies.lists(
        strategies.tuples(strategies.integers(0, 5000), seconds), max_size=30
    ),
    strategies.floats(1, 2000),
    strategies.floats(1, 500),
    strategies.floats(0, 20_000),
    strategies.integers(0, 10),
)
def test_second_attempts_stay_within_budget(rows, fresh, pace, budget, room):
    running = [
        planner.Progress(number, tokens, elapsed, fresh)
        for number, (tokens, elapsed) in enumerate(rows)
    ]
    chosen = planner.choose_seconds(running, fresh, pace, budget, room)
    assert len(chosen) <= room
    cost = sum(max(running[row.number].tokens, fresh) for row in chosen)
    assert cost <= budget or not chosen
    for row in chosen:
        assert row.expected_rest > row.expected_fresh


def test_only_what_outlasts_a_fresh_attempt_gets_a_second():
    running = [
        planner.Progress(0, 100, 10.0, 50.0),
        planner.Progress(1, 100, 1000.0, 50.0),
        planner.Progress(2, 0, 60.0, 100.0),
        planner.Progress(3, 0, 1.0, 100.0),
    ]
    chosen = planner.choose_seconds(running, 100.0, 10.0, 1e9, 9)
    assert [row.number for row in chosen] == [2, 1]


@given(shares, shares, strategies.integers(0, 4), seconds, seconds, seconds)
def test_steps_ahead_grow_with_the_weight_of_idle_time(
    one, two, bound, generate, tail, train
):
    low, high = sorted((one, two))
    fewer, more = (
        planner.choose_ahead(weight, bound, generate, generate + tail, train)
        for weight in (low, high)
    )
    assert 0 <= fewer <= more <= bound


def test_no_step_ahead_where_only_staleness_counts():
    assert planner.choose_ahead(0.0, 4, 60.0, 60.0, 60.0) == 0
    assert planner.choose_ahead(0.3, 1, 60.0, 60.0, 60.0) == 1


def test_steps_ahead_cover_the_longest_samples_and_no_more():
    assert planner.choose_ahead(0.7, 4, 16.0, 40.0, 18.0) == 3
    assert planner.choose_ahead(0.7, 4, 16.0, 17.0, 18.0) == 1
    assert planner.choose_ahead(0.7, 4, 60.0, 60.0, 18.0) == 1


def test_expected_rest_agrees_with_the_mean_of_longer_ones():
    rng = random.Random(3)
    model = lengths.LengthModel()
    seen = [rng.randrange(1, 400) for _ in range(1500)]
    for tokens in seen:
        model.note('g', tokens, 1.0)
    recent = seen[-1024:]
    for tokens in (0, 17, 200, 398):
        longer = [row for row in recent if row > tokens]
        naive = sum(longer) / len(longer) - tokens
        assert model.expect_rest(tokens) == pytest.approx(naive)
    assert model.mean == pytest.approx(sum(recent) / len(recent))
    assert model.expect_rest(500) > 0
