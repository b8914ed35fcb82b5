"""Tests the order and placement of items and the parsing of events."""

import random

import pytest

from waxwingport.fleet import model as fleet
from waxwingport.submissions import events
from waxwingport.submissions import generation
from waxwingport.submissions import order
from waxwingport.submissions import placement

LOCAL = 'here'


@pytest.fixture
def make_engine():
    """Returns a function that makes an engine."""

    def make(name, event_gap=0.04, running=0, slots=8, version=1, where=LOCAL):
        entry = fleet.TargetEntry(
            name, 'llm', '', where, slots, fleet.Stage.READY, 1, {}
        )
        return fleet.Target(
            entry,
            running=running,
            gaps=100,
            mean_gap=event_gap,
            versions={'m': version},
        )

    return make


def choose(engines, engines_with_prompt=frozenset(), now=0.0):
    return placement.choose_engine(
        engines, LOCAL, engines_with_prompt, now, random.Random(1)
    )


def make_candidate(item, rank, tokens, due=10.0, wanted=2, priority=0):
    group = f'g{rank}'
    return order.Candidate(
        's', item, group, due, rank, wanted, priority, tokens
    )


def test_the_group_with_a_straggler_ranks_last(make_item):
    items = [
        make_item('a', 'short', 800),
        make_item('b', 'short', 900),
        make_item('c', 'straggler', 9000),
        make_item('d', 'straggler', 100),
        make_item('e', 'middle', 2000),
    ]
    ranks = order.rank_groups(items, frozenset())
    assert ranks == {'short': 0, 'middle': 1, 'straggler': 2}


def test_resumed_groups_rank_first_whatever_their_length(make_item):
    items = [make_item('a', 'new', 10), make_item('b', 'resumed', 9000)]
    ranks = order.rank_groups(items, frozenset({'resumed'}))
    assert ranks == {'resumed': 0, 'new': 1}


def test_items_start_longest_first_in_wanted_groups():
    candidates = [
        make_candidate('short', 0, 100),
        make_candidate('long', 1, 4000),
        make_candidate('left-out', 2, 9000),
    ]
    found = [
        candidate.item_id for candidate in order.sort_candidates(candidates)
    ]
    assert found == ['long', 'short', 'left-out']


def test_the_submission_due_first_goes_first_among_trainers():
    candidates = [
        make_candidate('later', 0, 9000, due=20.0),
        make_candidate('sooner', 0, 10, due=10.0),
    ]
    assert order.sort_candidates(candidates)[0].item_id == 'sooner'


def test_a_burst_spreads_over_engines_instead_of_filling_one(make_engine):
    engines = [make_engine(name) for name in 'abcde']
    for _ in range(20):
        choose(engines).running += 1
    assert max(engine.running for engine in engines) <= 5


def test_a_slow_engine_gets_items_only_when_the_others_are_full(make_engine):
    slow = make_engine('slow', event_gap=0.11)
    quick = make_engine('quick')
    for _ in range(8):
        choose([slow, quick]).running += 1
    assert (slow.running, quick.running) == (0, 8)
    assert choose([slow, quick]) is slow


def test_no_engine_is_chosen_without_a_free_slot(make_engine):
    assert choose([make_engine('a', running=8)]) is None


def test_a_cached_prompt_decides_among_equal_engines(make_engine):
    engines = [make_engine('a'), make_engine('b')]
    assert choose(engines, frozenset({'b'})).entry.instance == 'b'


def test_only_engines_with_allowed_weights_are_eligible(make_engine):
    engines = [make_engine('old', version=1), make_engine('new', version=2)]
    found = placement.find_eligible(engines, 'm', 2, 0.0)
    assert [engine.entry.instance for engine in found] == ['new']


def test_a_refused_model_is_tried_again_a_little_later(make_engine):
    engine = make_engine('a')
    engine.pause_model('m', 0.0)
    assert placement.find_eligible([engine], 'm', 1, 0.05) == []
    assert placement.find_eligible([engine], 'other', 1, 0.05) == [engine]
    assert placement.find_eligible([engine], 'm', 1, 0.11) == [engine]


def test_pauses_of_a_model_grow_until_it_is_accepted_again(make_engine):
    engine = make_engine('a')
    engine.pause_model('m', 0.0)
    engine.pause_model('m', 0.2)
    assert not engine.accepts_model('m', 0.35)
    engine.resume_model('m')
    assert engine.accepts_model('m', 0.35)


@pytest.mark.parametrize(
    ('event_gap', 'events_done', 'moved'),
    [
        (0.11, 5, True),
        (0.045, 5, False),
        (0.052, 60, True),
        (0.11, 24, False),
        (0.11, 60, True),
    ],
)
def test_long_texts_leave_an_engine_that_turned_slow(
    make_engine, event_gap, events_done, moved
):
    slow, quick = (
        make_engine('slow', event_gap=event_gap),
        make_engine('quick'),
    )
    found = placement.should_move(slow, [slow, quick], events_done, 25, 0.0)
    assert found is moved


def test_nothing_moves_to_an_engine_without_a_slot(make_engine):
    slow = make_engine('slow', event_gap=0.2)
    full = make_engine('full', running=8)
    assert not placement.should_move(slow, [slow, full], 5, 25, 0.0)


@pytest.mark.parametrize(
    ('versions', 'minimum', 'single', 'usable'),
    [
        ((2, 3), 2, False, True),
        ((2, 3), 3, False, False),
        ((2, 3), 2, True, False),
        ((3,), 2, True, True),
        ((), 1, False, False),
    ],
)
def test_a_text_is_used_again_only_if_its_versions_fit(
    versions, minimum, single, usable
):
    assert generation.is_usable(versions, minimum, single) is usable


def test_events_are_parsed_whatever_pieces_they_come_in():
    stream = b'id: 1\ndata: a\n\nid: 2\r\ndata: b\r\ndata: c\r\n\r\nid: 3\nda'
    for size in range(1, len(stream)):
        reader = events.EventReader(lambda block: None)
        found = []
        for start in range(0, len(stream), size):
            found += reader.feed(stream[start : start + size])
        assert [(event.number, event.data) for event in found] == [
            (1, 'a'),
            (2, 'b\nc'),
        ]


def test_the_first_gaps_of_an_engine_move_no_run(make_engine):
    """The first gaps after a takeover include the processing of a prompt.

    A new holder has no other measurement of the engine and would move every
    run that it resumes.
    """
    fresh, quick = make_engine('fresh'), make_engine('quick')
    fresh.gaps = 0
    for _ in range(10):
        fresh.record_event_gap(0.5)
    assert not placement.should_move(fresh, [fresh, quick], 60, 25, 0.0)
    for _ in range(10):
        fresh.record_event_gap(0.5)
    assert placement.should_move(fresh, [fresh, quick], 60, 25, 0.0)


def test_of_two_steps_due_together_the_more_urgent_route_goes_first():
    candidates = [
        make_candidate('less', 0, 9000, priority=1),
        make_candidate('urgent', 0, 10, priority=0),
    ]
    assert order.sort_candidates(candidates)[0].item_id == 'urgent'
