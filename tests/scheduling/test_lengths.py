"""Tests the estimates of the length of texts."""

import random

import pytest

from waxwingport.scheduling import lengths

TOKENS_PER_EVENT = 46


def make_estimator(texts):
    estimator = lengths.LengthEstimator()
    for hint, events in texts:
        estimator.record(hint, events)
    return estimator


def test_hints_are_scaled_by_what_earlier_texts_took():
    estimator = make_estimator([(460, 10), (920, 20), (1840, 40)])
    assert estimator.estimate_total(1380) == pytest.approx(30)
    assert estimator.estimate_remaining(1380, 12) == pytest.approx(18)


def test_without_a_hint_the_median_is_expected():
    estimator = make_estimator([(None, 10), (None, 20), (None, 90)])
    assert estimator.estimate_total(None) == 20


def test_hints_order_texts_before_any_has_finished():
    estimator = lengths.LengthEstimator()
    assert estimator.estimate_remaining(
        5000, 0
    ) > estimator.estimate_remaining(400, 0)


def test_a_hint_is_bounded_by_the_longest_text():
    estimator = make_estimator([(460, 10), (8280, 181)])
    assert estimator.estimate_total(26204) == 181


def test_a_text_past_its_estimate_is_compared_with_longer_ones():
    estimator = make_estimator([(None, 10)] * 8 + [(None, 60), (None, 100)])
    assert estimator.estimate_remaining(None, 40) == pytest.approx(40)


def test_a_text_longer_than_any_is_expected_to_double():
    assert make_estimator([(None, 10)]).estimate_remaining(None, 30) == 30


def test_old_texts_are_forgotten():
    estimator = make_estimator([(100, 5)] * 10 + [(100, 50)] * 256)
    assert estimator.estimate_total(100) == 50
    assert estimator.estimate_total(None) == 50


def test_long_texts_are_told_from_short_ones_by_noisy_hints():
    """Load pattern: a tail of five times the mean, hints off by a half."""
    rng = random.Random(7)
    estimator = lengths.LengthEstimator()

    def draw(events):
        return round(TOKENS_PER_EVENT * events * rng.lognormvariate(0, 0.5))

    for _ in range(200):
        events = rng.choice((10, 20, 30, 150))
        estimator.record(draw(events), events)
    right = sum(
        estimator.estimate_total(draw(150))
        > estimator.estimate_total(draw(25))
        for _ in range(500)
    )
    assert right > 490
