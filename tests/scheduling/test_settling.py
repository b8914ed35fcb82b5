from waxwingport.scheduling import settling

START = 't1/1'
STARTED_AT = 1.79e9


def update(times, at, unwritten=(), now=0.0):
    """Takes over a crash at ``at`` at the time ``now``, after the start."""
    known = {START: STARTED_AT + at}
    times.update(known, unwritten, STARTED_AT + now, now)


def make_times():
    return settling.SettlingTimes(STARTED_AT)


def test_a_crash_that_is_not_in_the_log_is_settled():
    times = make_times()
    update(times, 5.0, unwritten={START}, now=5.0)
    assert not times.is_settled(START, 60.0)
    update(times, 5.0, now=5.1)
    assert times.is_settled(START, 5.1)


def test_a_report_that_was_held_up_is_settled_at_once():
    times = make_times()
    update(times, 5.0, now=8.0)
    assert not times.is_settled(START, 8.5)
    update(times, 5.0, now=8.5)
    assert times.is_settled(START, 9.0)


def test_a_report_from_before_the_start_settles_late():
    times = make_times()
    update(times, -30.0, now=0.1)
    assert times.is_settled(START, 0.1)
