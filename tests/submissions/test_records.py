from hypothesis import given
from hypothesis import strategies as st
import pytest

from waxwingport.submissions import records

SIZE = 256


@pytest.fixture
def assembler():
    return records.Assembler()


@given(st.integers(0, 2000))
def test_records_of_any_size_come_back_whole(size):
    record = records.Ended('s' * size)
    rows = records.encode(record, SIZE)
    assert all(len(row) <= SIZE for row in rows)
    assembler = records.Assembler()
    *before, last = [assembler.feed(row).ok for row in rows]
    assert before == [None] * (len(rows) - 1)
    assert last == record


def test_a_reader_that_starts_inside_a_record_skips_it(assembler):
    rows = records.encode(records.Ended('s' * 1000), SIZE)
    assert all(assembler.feed(row).is_error() for row in rows[1:])
    assert assembler.feed(records.encode(records.Ended('t'), SIZE)[0]).ok


def test_fragments_of_two_records_are_not_joined(assembler):
    first = records.encode(records.Ended('s' * 300), SIZE)
    other = records.encode(records.Ended('t' * 300), SIZE)
    assembler.feed(first[0])
    assert assembler.feed(other[1]).is_error()


@pytest.mark.parametrize('row', [b'', b'\xff', b'\x91\xa1x', b'{}'])
def test_an_unreadable_row_is_a_fault(assembler, row):
    assert assembler.feed(row).is_error()
