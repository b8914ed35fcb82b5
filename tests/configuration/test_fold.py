import pytest

from tests.configuration import conftest
from waxwingport.configuration import declarations
from waxwingport.configuration import fold
from waxwingport.configuration import initial_state
from waxwingport.configuration import keys
from waxwingport.configuration import records

KINDS = fold.VerdictKind
EMPTY = fold.FoldedState()


def fold_all(*found):
    return fold.fold(EMPTY, conftest.make_log_records(*found))


def list_kinds(verdicts):
    return [verdict.kind for verdict in verdicts]


def test_applies_and_removes(changes):
    folded, verdicts = fold_all(
        changes.pool('p'), changes.remove('pools/p', based_on=0)
    )
    assert list_kinds(verdicts) == [KINDS.APPLIED, KINDS.APPLIED]
    assert folded.declarations.pools == ()


def test_second_of_two_concurrent_changes_of_a_key_is_void(changes):
    folded, verdicts = fold_all(
        changes.pool('p', weight=1.0),
        changes.pool('p', weight=2.0, based_on=0, author='berta'),
        changes.pool('p', weight=3.0, based_on=0, author='carla'),
    )
    assert folded.declarations.find_pool('p').weight == 2.0
    conflict = verdicts[2].conflict
    assert conflict == fold.Conflict(1, 'berta', ('pools/p',))


def test_concurrent_changes_of_different_keys_both_apply(changes):
    _, verdicts = fold_all(changes.pool('p'), changes.pool('q'))
    assert list_kinds(verdicts) == [KINDS.APPLIED, KINDS.APPLIED]


def test_change_of_a_removed_key_is_void(changes):
    _, verdicts = fold_all(
        changes.pool('p'),
        changes.remove('pools/p', based_on=0),
        changes.pool('p', weight=2.0, based_on=0),
    )
    assert verdicts[2].kind is KINDS.CONFLICT


def test_repeated_record_is_ignored(changes):
    first = changes.pool('p')
    _, verdicts = fold_all(first, first)
    assert list_kinds(verdicts) == [KINDS.APPLIED, KINDS.REPEATED]


def test_void_change_stays_void_when_repeated(changes):
    trainer = declarations.Trainer('t', 'p')
    void = changes.make({'trainers/t': trainer})
    folded, verdicts = fold_all(void, changes.pool('p'), void)
    assert list_kinds(verdicts) == [
        KINDS.INVALID,
        KINDS.APPLIED,
        KINDS.REPEATED,
    ]
    assert folded.declarations.trainers == ()


def test_inconsistent_change_is_void_with_all_its_keys(changes):
    values = {
        'pools/p': declarations.Pool('p', 'kind = engine'),
        'trainers/t': declarations.Trainer('t', 'nobody'),
    }
    folded, verdicts = fold_all(changes.make(values))
    assert list_kinds(verdicts) == [KINDS.INVALID]
    assert folded.entries == {}


def test_removal_of_a_referenced_key_is_void(changes):
    values = {
        'pools/p': declarations.Pool('p', 'kind = engine'),
        'trainers/t': declarations.Trainer('t', 'p'),
    }
    folded, verdicts = fold_all(
        changes.make(values), changes.remove('pools/p', based_on=0)
    )
    assert verdicts[1].kind is KINDS.INVALID
    assert folded.declarations.find_pool('p') is not None


def replace_in(change, old, new):
    body = records.encode(change)
    assert old in body
    return body.replace(old, new)


@pytest.mark.parametrize(
    'body, kind',
    [
        (b'', KINDS.INVALID),
        (b'no json', KINDS.INVALID),
        (b'{"a": ' + b'[' * 99999, KINDS.INVALID),
        (b'{"kind": "\xed\xa0\x80"}', KINDS.INVALID),
        (b'{"kind": "change", "version": 1}', KINDS.INVALID),
        (b'{"kind": "novelty", "version": 1}', KINDS.INVALID),
        (b'{"kind": "novelty", "version": 2}', KINDS.SKIPPED),
        (b'{"kind": "change", "version": 2, "id": 7}', KINDS.SKIPPED),
    ],
)
def test_unreadable_record(changes, body, kind):
    folded, verdicts = fold_all(changes.pool('p'), body)
    assert verdicts[1].kind is kind
    assert folded.skipped == (1 if kind is KINDS.SKIPPED else None)
    assert folded.revision == 1
    assert folded.declarations.find_pool('p') is not None


@pytest.mark.parametrize(
    'old, new',
    [
        (b'"selector":"kind = engine"', b'"selector":"= ="'),
        (b'"selector"', b'"selctor"'),
        (b'"name":"p"', b'"name":"q"'),
        (b'"pools/p"', b'"pols/p"'),
        (b'"weight":2.0', b'"weight":-1'),
        (b'"based_on":-1', b'"based_on":5'),
        (b'"based_on":-1', b'"based_on":-1,"note":1'),
        (b'"kind = engine"', b'[' * 9999 + b']' * 9999),
    ],
)
def test_record_with_an_invalid_field_is_void(changes, old, new):
    body = replace_in(changes.pool('p', weight=2.0), old, new)
    folded, verdicts = fold_all(body)
    assert list_kinds(verdicts) == [KINDS.INVALID]
    assert folded.entries == {}


def test_stops_before_a_gap(changes):
    found = conftest.make_log_records(
        changes.pool('p'), changes.pool('q'), changes.pool('r')
    )
    folded, _ = fold.fold(EMPTY, [found[0], found[2]])
    assert folded.revision == 0
    assert fold.fold(folded, found[:1]) == (folded, ())


def test_change_based_outside_the_window_is_void(changes):
    filler = b'{}'
    found = conftest.make_log_records(
        changes.pool('p'),
        changes.remove('pools/p', based_on=0),
        *[filler] * fold.WINDOW,
        changes.pool('p', based_on=1),
    )
    folded, verdicts = fold.fold(EMPTY, found)
    assert verdicts[-1].kind is KINDS.STALE
    assert list(folded.seen) == ['r3']
    assert folded.entries == {}


def test_snapshot_is_a_pure_function_of_its_offset(changes):
    found = conftest.make_log_records(
        changes.pool('p'),
        changes.pool('q'),
        changes.remove('pools/p', based_on=1),
    )
    whole, _ = fold.fold(EMPTY, found)
    stepwise = EMPTY
    for record in found:
        stepwise, _ = fold.fold(stepwise, [record])
    written = records.encode(initial_state.make_snapshot(whole))
    assert written == records.encode(initial_state.make_snapshot(stepwise))
    restored = initial_state.restore_snapshot(records.decode(written).ok).ok
    assert restored == whole


def test_duplicate_snapshot_changes_nothing(changes):
    before, _ = fold_all(changes.pool('p'))
    snapshot = initial_state.make_snapshot(before)
    found = conftest.make_log_records(snapshot, snapshot, start=1)
    after, verdicts = fold.fold(before, found)
    assert list_kinds(verdicts) == [KINDS.SNAPSHOT, KINDS.SNAPSHOT]
    assert (after.entries, after.covered) == (before.entries, 0)


def test_shortened_snapshot_gives_the_same_state(changes):
    before, _ = fold_all(changes.pool('p'))
    body = records.encode(initial_state.make_snapshot(before))
    whole, _ = fold.fold(before, conftest.make_log_records(body, start=1))
    short = conftest.make_log_records(records.shorten(body), start=1)
    assert fold.fold(before, short)[0] == whole


def test_declarations_are_ordered_by_name(changes):
    folded, _ = fold_all(changes.pool('q'), changes.pool('p'))
    assert [pool.name for pool in folded.declarations.pools] == ['p', 'q']
    assert keys.assemble(keys.split(folded.declarations)) == (
        folded.declarations
    )
