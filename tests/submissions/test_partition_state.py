from hypothesis import given
from hypothesis import strategies as st

from waxwingport.submissions import model
from waxwingport.submissions import partition_state
from waxwingport.submissions import records

SUBMISSIONS = {
    name: model.Submission(
        name,
        'host',
        '/a/',
        'm',
        1,
        1,
        1,
        tuple(
            model.Item(item, '/a/b', (), b'', 1, None, 'g', None)
            for item in 'abc'
        ),
        0.0,
    )
    for name in ('s', 't')
}
NAMES = st.sampled_from(['s', 't'])
ITEMS = st.sampled_from(['a', 'b', 'c', 'unknown'])


def make_reference(offset):
    return model.TextReference(0, offset, 1, 100, 0.0)


def make_finished(item, offset):
    state = model.ItemState.COMPLETED
    return model.FinishedItem(item, state, make_reference(offset), (1,), None)


def make_draft(item):
    return model.StoredDraft(item, 1, make_reference(5), (1,))


RECORDS = st.one_of(
    NAMES.map(lambda name: records.Accepted(SUBMISSIONS[name])),
    st.builds(
        records.ItemFinished,
        NAMES,
        st.builds(make_finished, ITEMS, st.sampled_from([3, 4])),
    ),
    NAMES.map(records.Ended),
    st.builds(
        records.Drafted,
        NAMES,
        ITEMS.map(lambda item: (make_draft(item),)),
    ),
)


def apply_naively(found_records):
    """Returns the finished texts and ends, by scanning all records."""
    found = {}
    for index, record in enumerate(found_records):
        before = found_records[:index]
        match record:
            case records.Accepted(submission):
                name = submission.submission_id
                found.setdefault(name, ([], False))
            case records.ItemFinished(name, result) if name in found:
                earlier = [
                    other.result.item_id
                    for position, other in enumerate(before)
                    if isinstance(other, records.ItemFinished)
                    and other.submission_id == name
                    and any(
                        isinstance(start, records.Accepted)
                        and start.submission.submission_id == name
                        for start in found_records[:position]
                    )
                ]
                fresh = result.item_id not in earlier
                if fresh and result.item_id != 'unknown':
                    found[name][0].append((result.item_id, result.text))
            case records.Ended(name) if name in found:
                found[name] = (found[name][0], True)
    return found


@given(st.lists(RECORDS, max_size=25))
def test_the_first_of_duplicate_records_counts(found_records):
    state = partition_state.PartitionState()
    for record in found_records:
        state.apply(record)
    found = {
        entry.submission.submission_id: (
            [(result.item_id, result.text) for result in entry.results],
            entry.ended,
        )
        for entry in state
    }
    assert found == apply_naively(found_records)


def test_positions_never_change(make_submission, make_result):
    state = partition_state.PartitionState()
    entry = state.apply(records.Accepted(make_submission()))
    state.apply(records.ItemFinished('s', make_result('b', 1)))
    state.apply(records.ItemFinished('s', make_result('a', 2)))
    state.apply(records.ItemFinished('s', make_result('b', 3)))
    assert [result.text.offset for result in entry.results] == [1, 2]
    assert not entry.open


def test_a_draft_is_dropped_with_the_result(make_submission, make_result):
    state = partition_state.PartitionState()
    entry = state.apply(records.Accepted(make_submission()))
    draft = make_draft('a')
    state.apply(records.Drafted('s', (draft,)))
    assert entry.drafts == {'a': draft}
    state.apply(records.ItemFinished('s', make_result('a')))
    assert entry.drafts == {}
    state.apply(records.Drafted('s', (draft,)))
    assert entry.drafts == {}


def test_only_old_submissions_without_work_are_evicted(
    make_submission, make_result
):
    state = partition_state.PartitionState()
    state.apply(records.Accepted(make_submission('open', accepted_at=1.0)))
    state.apply(records.Accepted(make_submission('ended', accepted_at=1.0)))
    state.apply(records.Accepted(make_submission('young', accepted_at=9.0)))
    state.apply(records.Ended('ended'))
    state.apply(records.Ended('young'))
    assert state.evict(5.0) == 1
    assert state.find('ended') is None
    assert state.find('open') and state.find('young')
