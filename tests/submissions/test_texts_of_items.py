"""Tests the reuse of texts and the parsing of their events."""

import pytest

from waxwingport.submissions import events
from waxwingport.submissions import generation


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


@pytest.mark.parametrize(
    ('rest', 'inside'),
    [
        (b'', False),
        (b'\n', False),
        (b'\r\n', False),
        (b': a comment', False),
        (b': a comment\n', False),
        (b'd', True),
        (b'id: 3', True),
        (b'data: a\n', True),
        (b': a comment\nid: 3\n', True),
    ],
)
def test_a_stream_that_ends_in_an_event_is_told_from_a_whole_one(rest, inside):
    reader = events.EventReader(lambda block: None)
    assert not reader.is_inside_event()
    reader.feed(b'id: 1\ndata: a\n\n' + rest)
    assert reader.is_inside_event() is inside
