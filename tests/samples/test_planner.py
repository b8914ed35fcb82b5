import random

from hypothesis import given
from hypothesis import strategies
import pytest

from waxwingport.samples import lengths
from waxwingport.samples import planner

shares = strategies.floats(0.0, 1.0)
seconds = strategies.floats(0.0, 1e4)


def make_forecast(version=5, bound=1, step=3, **changes):
    return planner.VersionForecast(version, bound, step, **changes)


def test_most_complete_groups_go_first_then_the_longest():
    samples = [
        planner.OpenSample(2, 0, 1, 999.0),
        planner.OpenSample(1, 0, 3, 900.0),
        planner.OpenSample(1, 1, 1, 10.0),
        planner.OpenSample(1, 2, 1, 20.0),
    ]
    ordered = planner.order_samples(samples)
    assert [(sample.step, sample.number) for sample in ordered] == [
        (1, 2),
        (1, 1),
        (1, 0),
        (2, 0),
    ]


@pytest.mark.parametrize(
    ('forecast', 'step', 'minimum'),
    [
        (make_forecast(), 3, 4),
        (make_forecast(), 4, 5),
        (make_forecast(), 5, None),
        (make_forecast(bound=0), 3, 5),
        (make_forecast(bound=0), 4, None),
        (make_forecast(bound=0, versions_within_step=2), 3, 5),
        (make_forecast(bound=2, versions_within_step=1), 3, 4),
        (make_forecast(versions_per_step=2.0, bound=2), 4, 5),
        (make_forecast(version=1, bound=3), 3, 1),
    ],
)
def test_minimum_version_is_within_the_bound_at_the_pull(
    forecast, step, minimum
):
    assert forecast.compute_minimum_version(step) == minimum


@given(
    strategies.lists(
        strategies.tuples(strategies.integers(0, 5000), seconds), max_size=30
    ),
    strategies.floats(1, 2000),
    strategies.floats(1, 500),
    strategies.floats(0, 20_000),
    strategies.integers(0, 10),
)
def test_second_attempts_stay_within_budget(
    attempts, new_tokens, tokens_per_second, budget, room
):
    running = [
        planner.RunningAttempt(number, tokens, elapsed, new_tokens)
        for number, (tokens, elapsed) in enumerate(attempts)
    ]
    chosen = planner.choose_second_attempts(
        running, new_tokens, tokens_per_second, budget, room
    )
    assert len(chosen) <= room
    cost = sum(
        max(running[second.number].tokens, new_tokens) for second in chosen
    )
    assert cost <= budget or not chosen
    for second in chosen:
        assert second.remaining_time > second.new_attempt_time


def test_only_attempts_slower_than_a_new_one_get_a_second():
    running = [
        planner.RunningAttempt(0, 100, 10.0, 50.0),
        planner.RunningAttempt(1, 100, 1000.0, 50.0),
        planner.RunningAttempt(2, 0, 60.0, 100.0),
        planner.RunningAttempt(3, 0, 1.0, 100.0),
    ]
    chosen = planner.choose_second_attempts(running, 100.0, 10.0, 1e9, 9)
    assert [second.number for second in chosen] == [2, 1]


@given(shares, shares, strategies.integers(0, 4), seconds, seconds, seconds)
def test_steps_ahead_grow_with_the_weight_of_idle_time(
    one, two, bound, generate, tail, train
):
    low, high = sorted((one, two))
    fewer, more = (
        planner.choose_steps_ahead(
            weight, bound, generate, generate + tail, train
        )
        for weight in (low, high)
    )
    assert 0 <= fewer <= more <= bound


def test_no_step_ahead_where_only_staleness_counts():
    assert planner.choose_steps_ahead(0.0, 4, 60.0, 60.0, 60.0) == 0
    assert planner.choose_steps_ahead(0.3, 1, 60.0, 60.0, 60.0) == 1


def test_steps_ahead_cover_the_longest_samples_and_no_more():
    assert planner.choose_steps_ahead(0.7, 4, 16.0, 40.0, 18.0) == 3
    assert planner.choose_steps_ahead(0.7, 4, 16.0, 17.0, 18.0) == 1
    assert planner.choose_steps_ahead(0.7, 4, 60.0, 60.0, 18.0) == 1


def test_remaining_length_agrees_with_the_mean_of_longer_ones():
    rng = random.Random(3)
    model = lengths.LengthModel()
    seen = [rng.randrange(1, 400) for _ in range(1500)]
    for tokens in seen:
        model.record('g', tokens, 1.0)
    recent = seen[-1024:]
    for tokens in (0, 17, 200, 398):
        longer = [length for length in recent if length > tokens]
        naive = sum(longer) / len(longer) - tokens
        assert model.predict_remaining(tokens) == pytest.approx(naive)
    assert model.mean == pytest.approx(sum(recent) / len(recent))
    assert model.predict_remaining(500) > 0
