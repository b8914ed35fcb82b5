"""Tests the timeouts of runs."""

import pytest

from waxwingport.fleet import health
from waxwingport.scheduling import timeouts


@pytest.mark.parametrize(
    ('gap', 'timeout'),
    [(None, 1.2), (0.01, 0.5), (0.06, 0.72), (0.3, 1.2)],
)
def test_a_silent_stream_ends_sooner_at_a_fast_engine(gap, timeout):
    """Load pattern: an engine goes dark while it runs the longest items."""
    assert timeouts.compute_silence_timeout(gap) == pytest.approx(timeout)


def test_an_engine_that_broke_off_has_less_time_to_answer(make_engine):
    engine = make_engine('a')
    usual = timeouts.choose_head_timeout(engine, 0.0)
    health.record_failure(engine, health.HealthSignal.BROKEN, 0.0)
    assert timeouts.choose_head_timeout(engine, 0.0) < usual
    health.record_success(engine)
    assert timeouts.choose_head_timeout(engine, 0.0) == usual


def test_an_overloaded_engine_has_more_time_to_answer(make_engine):
    usual = timeouts.choose_head_timeout(make_engine('a', running=8), 0.0)
    queued = timeouts.choose_head_timeout(make_engine('a', running=9), 0.0)
    assert queued > usual
