import random

import hypothesis
from hypothesis import strategies as st

from waxwingport.routing import prefix_index
from waxwingport.targets import base

RNG = random.Random(1)
KINDS = st.sampled_from(list(base.CacheEventKind))


def page(offset, *changes, first=None, following=None):
    events = tuple(
        base.CacheEvent(offset + index, kind, block)
        for index, (kind, block) in enumerate(changes)
    )
    end = offset + len(changes) if following is None else following
    return base.CacheEvents(events, first if first is not None else 0, end)


def stored(*blocks):
    return [(base.CacheEventKind.STORED, block) for block in blocks]


def test_the_longest_prefix_comes_first():
    index = prefix_index.PrefixIndex()
    index.apply_events('a', page(0, *stored(1, 2, 3)))
    index.apply_events('b', page(0, *stored(1)))
    assert index.match((1, 2, 3, 4), 4, RNG) == {'a': 3, 'b': 1}
    assert index.match((9, 2, 3), 4, RNG).get('b') is None


def test_a_gap_removes_the_entries_of_the_engine():
    index = prefix_index.PrefixIndex()
    index.apply_events('a', page(0, *stored(1, 2)))
    index.apply_events('b', page(0, *stored(1)))
    assert not index.apply_events('a', page(5, *stored(7)))
    assert index.match((1, 2), 4, RNG) == {'b': 1}
    assert index.match((7,), 4, RNG) == {'a': 1}
    assert index.find_next_offset('a') == 6


def test_events_that_are_no_longer_stored_count_as_a_gap():
    index = prefix_index.PrefixIndex()
    index.apply_events('a', page(0, *stored(1)))
    assert not index.apply_events('a', page(9, *stored(2), first=9))
    assert index.match((1,), 4, RNG) == {}


def test_the_events_of_a_restarted_engine_are_read_from_the_start():
    index = prefix_index.PrefixIndex()
    index.apply_events('a', page(0, *stored(1, 2, 3)))
    assert not index.apply_events('a', page(0, following=0))
    assert index.match((1, 2, 3), 4, RNG) == {}
    assert index.find_next_offset('a') == 0


def test_removed_and_cleared_blocks_leave_the_index():
    index = prefix_index.PrefixIndex()
    index.apply_events('a', page(0, *stored(1, 2)))
    index.apply_events('a', page(2, (base.CacheEventKind.REMOVED, 2)))
    assert index.match((1, 2), 4, RNG) == {'a': 1}
    index.apply_events('a', page(3, (base.CacheEventKind.CLEARED, 0)))
    assert index.match((1,), 4, RNG) == {}


def test_a_prompt_just_sent_is_a_hint_until_it_expires():
    index = prefix_index.PrefixIndex()
    index.record_sent('a', (1, 2), 0.0)
    assert index.match((1, 2), 4, RNG) == {'a': 2}
    index.apply_events('a', page(0, *stored(1)))
    index.record_sent('b', (9,), 60.0)
    assert index.match((1, 2), 4, RNG) == {'a': 1}


def test_memory_is_bounded_for_each_engine_and_in_total():
    index = prefix_index.PrefixIndex(total_blocks=1000)
    for engine in range(20):
        blocks = [engine * 10_000 + block for block in range(300)]
        index.record_sent(f'e{engine}', blocks, 0.0)
        index.record_sent('e0', range(300), 0.0)
        index.record_requested(blocks)
    for engine in range(20):
        index.record_sent(f'e{engine}', [engine], 0.0)
    assert len(index) <= 1000
    index.remove_engine('e0')
    assert 'e0' not in index.match((0,), 30, RNG)


def test_engines_with_the_same_match_are_chosen_at_random():
    index = prefix_index.PrefixIndex()
    for engine in range(40):
        index.apply_events(f'e{engine}', page(0, *stored(1)))
    chosen = set()
    for _ in range(200):
        matches = index.match((1,), 2, RNG)
        assert len(matches) == 2
        chosen |= set(matches)
    assert len(chosen) >= 30


@hypothesis.given(
    changes=st.lists(
        st.tuples(
            st.sampled_from('abc'), KINDS, st.integers(0, 6), st.booleans()
        ),
        max_size=60,
    )
)
def test_the_index_agrees_with_plain_sets(changes):
    index = prefix_index.PrefixIndex()
    plain = {name: set() for name in 'abc'}
    offsets = dict.fromkeys('abc', 0)
    for name, kind, block, lost in changes:
        if lost:
            offsets[name] += 1
            plain[name] = set()
        index.apply_events(name, page(offsets[name], (kind, block)))
        offsets[name] += 1
        match kind:
            case base.CacheEventKind.STORED:
                plain[name].add(block)
            case base.CacheEventKind.REMOVED:
                plain[name].discard(block)
            case base.CacheEventKind.CLEARED:
                plain[name].clear()
    for block in range(7):
        caching = {name for name in 'abc' if block in plain[name]}
        assert set(index.match((block,), 9, RNG)) == caching
        assert set(index.list_engines(block)) == caching
        assert all(index.has_confirmed(name, block) for name in caching)
