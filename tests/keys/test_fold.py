"""The fold of intents, compared with a naive model."""

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
    key_fold = fold.KeyFold(0)
    first, second = make_intent(1), make_intent(2)
    key_fold.apply(0, fold.Batch(0, (second, first)))
    key_fold.apply(1, fold.Batch(0, (first, second)))
    assert key_fold.find(b'k').winner == second


def test_key_is_free_again_after_the_window():
    key_fold = fold.KeyFold(0)
    key_fold.apply(0, fold.Batch(0, (make_intent(1),)))
    key_fold.apply(1, fold.Batch(1, (make_intent(2),)))
    assert key_fold.find(b'k').winner == make_intent(2)


def test_result_that_missing_records_decide_is_inconclusive():
    key_fold = fold.KeyFold(5)
    key_fold.apply(5, fold.Batch(3, (make_intent(1),)))
    assert not key_fold.find(b'k').conclusive
    key_fold.apply(6, fold.Batch(6, (make_intent(2),)))
    assert key_fold.find(b'k').conclusive


def wins_by_definition(records, offset):
    """Returns whether the intent at ``offset`` wins by definition."""
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
    """Conclusive results do not depend on where a node starts to read."""
    records = [
        (min(since, offset), key, offset)
        for offset, (since, key) in enumerate(rows)
    ]
    key_fold = fold.KeyFold(start)
    for since, key, offset in records[start:]:
        intent = make_intent(offset, key)
        key_fold.apply(offset, fold.Batch(since, (intent,)))
        entry = key_fold.find(key)
        assert entry.last == offset
        if since >= start:
            wins = entry.winner == intent and entry.conclusive
            assert wins == wins_by_definition(records, offset)
        if entry.conclusive:
            assert wins_by_definition(records, int(entry.winner.request_id))


@hypothesis.given(records_of, strategies.integers(0, 14))
def test_forgetting_drops_only_keys_last_claimed_before(rows, before):
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
def test_window_start_is_older_than_the_window(gaps):
    window = 100.0
    read_history = history.ReadHistory(0)
    now = 0.0
    for end, gap in enumerate(gaps):
        now += gap
        read_history.record(end, window, now)
        start = read_history.find_window_start(window, now)
        seen_at = sum(gaps[: start + 1])
        assert start == 0 or seen_at <= now - window


def test_log_that_drops_records_too_early_is_detected():
    read_history = history.ReadHistory(0)
    read_history.record(10, 100.0, 50.0)
    assert not read_history.is_truncated(10, 100.0, 60.0)
    assert read_history.is_truncated(11, 100.0, 60.0)
    assert not read_history.is_truncated(11, 100.0, 200.0)
