"""Decoders return a value or a reason, whatever the bytes are."""

import hypothesis
from hypothesis import strategies
import msgspec
import pytest

from waxwingport import decoding


class Message(msgspec.Struct):
    name: decoding.Name
    number: decoding.WholeNumber = 0
    ratio: float = 0.0
    other: dict[str, list[int]] = {}


class Packed(msgspec.Struct, array_like=True):
    number: decoding.WholeNumber
    texts: list[str] = []


READERS = {decoding.read_json: Message, decoding.read_msgpack: Packed}
DEPTH = 2000
NESTED = [
    b'[' * DEPTH,
    b'{"name": "a", "x": ' + b'[' * DEPTH + b']' * DEPTH + b'}',
    b'{"name": "a", "x": ' + b'{"x":' * DEPTH,
    b'\x91' * DEPTH,
    b'\x93\x01\x90' + b'\x91' * DEPTH + b'\x01',
]


@pytest.mark.parametrize('read', READERS)
@pytest.mark.parametrize('data', NESTED)
def test_values_that_are_nested_too_deeply_are_a_reason(read, data):
    # Guards against the exception that ended every process.
    assert read(data, READERS[read]).is_error()


@pytest.mark.parametrize('read', READERS)
@hypothesis.given(data=strategies.binary(max_size=80))
def test_any_bytes_are_a_value_or_a_reason(read, data):
    found = read(data, READERS[read])
    if found.is_ok():
        assert 0 <= found.ok.number <= decoding.MAX_WHOLE_NUMBER


@hypothesis.given(
    number=strategies.integers()
    | strategies.integers(10**18, 10**400)
    | strategies.floats()
)
def test_numbers_beyond_the_bounds_are_a_reason(number):
    data = f'{{"name": "a", "number": {number}}}'.encode()
    found = decoding.read_json(data, Message)
    if found.is_ok():
        assert found.ok.number == number
        assert 0 <= number <= decoding.MAX_WHOLE_NUMBER


def test_a_reason_does_not_quote_a_whole_message():
    # Guards against a log line as long as a record.
    kind = msgspec.defstruct('Tagged', [('x', int)], tag='t')
    data = msgspec.json.encode({'type': 'a' * 100_000})
    assert len(decoding.read_json(data, kind).error) <= 200
