"""The fold of intents, against a naive model."""

import hypothesis
from hypothesis import strategies

from waxwingport import ids
from waxwingport.keys import fold
from waxwingport.keys import history


def make_intent(number, key=b'k'):
    return fold.Intent(key, b'f', 'node', 1, ids.RequestId(str(number)))


def test_caller_is_part_of_the_key():
    assert fold.hash_key('a', 'bc') != fold.hash_key('ab', 'c')
    assert fold.hash_key('a', 'x') != fold.hash_key('b', 'x')
    assert fold.hash_key('a', 'x') == fold.hash_key('a', 'x')


def test_first_intent_wins_and_a_repeat_changes_nothing():
    rows = fold.KeyFold(0)
    first, second = make_intent(1), make_intent(2)
    rows.apply(0, fold.Batch(0, (second, first)))
    rows.apply(1, fold.Batch(0, (first, second)))
    assert rows.find(b'k').winner == second


def test_key_is_free_again_after_the_window():
    rows = fold.KeyFold(0)
    rows.apply(0, fold.Batch(0, (make_intent(1),)))
    rows.apply(1, fold.Batch(1, (make_intent(2),)))
    assert rows.find(b'k').winner == make_intent(2)


def test_what_missing_records_decide_is_not_sure():
    rows = fold.KeyFold(5)
    rows.apply(5, fold.Batch(3, (make_intent(1),)))
    assert not rows.find(b'k').conclusive
    rows.apply(6, fold.Batch(6, (make_intent(2),)))
    assert rows.find(b'k').conclusive


def judge(records, offset):
    """Returns whether the intent at ``offset`` wins, by the rule itself."""
    since, key, _ = records[offset]
    return all(records[at][1] != key for at in range(since, offset))


records_of = strategies.lists(
    strategies.tuples(
        strategies.integers(0, 12), strategies.sampled_from([b'a', b'b'])
    ),
    max_size=14,
)


@hypothesis.given(records_of, strategies.integers(0, 14))
def test_fold_from_any_start_agrees_with_the_rule(rows, start):
    """Whoever starts where, sure verdicts are the same everywhere."""
    records = [
        (min(since, offset), key, offset)
        for offset, (since, key) in enumerate(rows)
    ]
    found = fold.KeyFold(start)
    for since, key, offset in records[start:]:
        intent = make_intent(offset, key)
        found.apply(offset, fold.Batch(since, (intent,)))
        stands = found.find(key)
        assert stands.last == offset
        if since >= start:
            wins = stands.winner == intent and stands.conclusive
            assert wins == judge(records, offset)
        if stands.conclusive:
            assert judge(records, int(stands.winner.request_id))


@hypothesis.given(records_of, strategies.integers(0, 14))
def test_forgetting_drops_only_what_was_last_named_before(rows, before):
    kept = fold.KeyFold(0)
    for offset, (since, key) in enumerate(rows):
        kept.apply(offset, fold.Batch(since, (make_intent(offset, key),)))
    lasts = {key: kept.find(key) for key in (b'a', b'b')}
    kept.forget(before)
    for key, found in lasts.items():
        stays = found is not None and found.last >= before
        assert kept.find(key) == (found if stays else None)


@hypothesis.given(
    strategies.lists(strategies.integers(1, 300), min_size=1, max_size=60)
)
def test_history_vouches_only_for_what_is_older_than_the_window(gaps):
    window = 100.0
    found = history.ReadHistory(0)
    now = 0.0
    for end, gap in enumerate(gaps):
        now += gap
        found.record(end, window, now)
        start = found.find_window_start(window, now)
        seen_at = sum(gaps[: start + 1])
        assert start == 0 or seen_at <= now - window


def test_history_notices_a_log_that_drops_too_much():
    found = history.ReadHistory(0)
    found.record(10, 100.0, 50.0)
    assert not found.is_truncated(10, 100.0, 60.0)
    assert found.is_truncated(11, 100.0, 60.0)
    assert not found.is_truncated(11, 100.0, 200.0)
