"""Tests the estimate of the time between events."""

import pytest

from waxwingport.fleet import pace


def feed(estimate, gaps):
    for gap in gaps:
        estimate.record(gap)


def test_no_estimate_before_enough_gaps():
    estimate = pace.EventPace()
    feed(estimate, [0.04] * 14)
    assert estimate.seconds is None
    feed(estimate, [0.04])
    assert estimate.seconds == pytest.approx(0.04)


def test_an_engine_that_turns_slow_is_seen_within_a_few_gaps_a_run():
    """Load pattern: an engine with 8 runs becomes 2.4 times as slow."""
    estimate = pace.EventPace(100, 0.04)
    feed(estimate, [0.096] * 8 * 4)
    assert estimate.seconds > 1.25 * 0.04


def test_single_long_gaps_do_not_make_an_engine_slow():
    estimate = pace.EventPace(100, 0.04)
    feed(estimate, ([0.04] * 9 + [0.4]) * 10)
    assert estimate.seconds < 1.1 * 0.04


def test_uneven_gaps_count_with_their_mean():
    estimate = pace.EventPace(100, 0.04)
    feed(estimate, [0.02, 0.06] * 50)
    assert estimate.seconds == pytest.approx(0.04, rel=0.2)
