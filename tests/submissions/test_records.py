import random

from hypothesis import given
from hypothesis import strategies as st
import msgspec
import pytest

from waxwingport.submissions import records

SIZE = 256


def make_noise(size):
    """Returns a text that does not compress to one record."""
    return random.Random(size).randbytes(size // 2).hex()


@pytest.fixture
def assembler():
    return records.Assembler()


@given(st.integers(0, 2000))
def test_records_of_any_size_are_decoded_unchanged(size):
    record = records.Ended(make_noise(size))
    parts = records.encode(record, SIZE)
    assert all(len(part) <= SIZE for part in parts)
    assembler = records.Assembler()
    *before, last = [assembler.feed(part).ok for part in parts]
    assert before == [None] * (len(parts) - 1)
    assert last == record


def test_a_reader_that_starts_inside_a_record_skips_it(assembler):
    parts = records.encode(records.Ended(make_noise(1000)), SIZE)
    assert all(assembler.feed(part).is_error() for part in parts[1:])
    assert assembler.feed(records.encode(records.Ended('t'), SIZE)[0]).ok


def test_fragments_of_two_records_are_not_joined(assembler):
    first = records.encode(records.Ended(make_noise(300)), SIZE)
    other = records.encode(records.Ended(make_noise(301)), SIZE)
    assembler.feed(first[0])
    assert assembler.feed(other[1]).is_error()


@pytest.mark.parametrize('data', [b'', b'\xff', b'\x91\xa1x', b'{}'])
def test_an_undecodable_record_is_a_fault(assembler, data):
    assert assembler.feed(data).is_error()


def test_large_records_are_compressed_and_decoded_unchanged(assembler):
    record = records.Ended('generated text ' * 1000)
    parts = records.encode(record, 1 << 16)
    assert sum(map(len, parts)) < 2000
    assert assembler.feed(parts[0]).ok == record


def test_a_record_that_cannot_be_decompressed_is_a_fault(assembler):
    parts = records.encode(records.Ended('generated text ' * 100), 1 << 16)
    assert assembler.feed(parts[0][:-9] + b'x' * 9).is_error()


def test_a_draft_of_an_earlier_release_is_taken_for_one_of_any_version():
    # Its record ends before the origin, and must not make the rest unreadable.
    draft = ['a', 3, [0, 5, 1, 99, 1.0], [1]]
    data = msgspec.msgpack.encode(['drafted', 's1', [draft]])
    found = records.Assembler().feed(data).ok
    assert found.drafts[0].event_count == 3
    assert found.drafts[0].origin is None
