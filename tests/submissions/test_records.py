import random

from hypothesis import given
from hypothesis import strategies as st
import pytest

from waxwingport.submissions import records

SIZE = 256


def make_noise(size):
    """Returns text that cannot be compressed to one record."""
    return random.Random(size).randbytes(size // 2).hex()


@pytest.fixture
def assembler():
    return records.Assembler()


@given(st.integers(0, 2000))
def test_records_of_any_size_come_back_whole(size):
    record = records.Ended(make_noise(size))
    rows = records.encode(record, SIZE)
    assert all(len(row) <= SIZE for row in rows)
    assembler = records.Assembler()
    *before, last = [assembler.feed(row).ok for row in rows]
    assert before == [None] * (len(rows) - 1)
    assert last == record


def test_a_reader_that_starts_inside_a_record_skips_it(assembler):
    rows = records.encode(records.Ended(make_noise(1000)), SIZE)
    assert all(assembler.feed(row).is_error() for row in rows[1:])
    assert assembler.feed(records.encode(records.Ended('t'), SIZE)[0]).ok


def test_fragments_of_two_records_are_not_joined(assembler):
    first = records.encode(records.Ended(make_noise(300)), SIZE)
    other = records.encode(records.Ended(make_noise(301)), SIZE)
    assembler.feed(first[0])
    assert assembler.feed(other[1]).is_error()


@pytest.mark.parametrize('row', [b'', b'\xff', b'\x91\xa1x', b'{}'])
def test_an_unreadable_row_is_a_fault(assembler, row):
    assert assembler.feed(row).is_error()


def test_large_texts_are_compressed_and_come_back(assembler):
    record = records.Ended('generated text ' * 1000)
    rows = records.encode(record, 1 << 16)
    assert sum(map(len, rows)) < 2000
    assert assembler.feed(rows[0]).ok == record


def test_a_record_that_cannot_be_unpacked_is_a_fault(assembler):
    rows = records.encode(records.Ended('generated text ' * 100), 1 << 16)
    assert assembler.feed(rows[0][:-9] + b'x' * 9).is_error()
