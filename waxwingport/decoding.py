"""Decoding of JSON and MessagePack that other processes wrote."""

from collections.abc import Callable
import functools
from typing import Annotated
from typing import TypeVar

from expression import Error
from expression import Ok
from expression import Result
import msgspec

__all__ = [
    'MAX_NAME_CHARACTERS',
    'MAX_WHOLE_NUMBER',
    'Name',
    'WholeNumber',
    'read_json',
    'read_msgpack',
]

T = TypeVar('T')

MAX_NAME_CHARACTERS = 1024
"""Longer than any name of a host, and short enough for a log line."""
MAX_WHOLE_NUMBER = 2**53 - 1
"""Largest whole number that a float holds exactly; arithmetic that mixes both
can't overflow up to it."""
_MAX_REASON_CHARACTERS = 200
"""Longest reason; the decoder's may quote the input."""
_ERRORS = (
    msgspec.DecodeError,
    OverflowError,
    RecursionError,
    UnicodeError,
    ValueError,
)
"""Whatever the decoders raise, depending on the input alone."""

Name = Annotated[str, msgspec.Meta(max_length=MAX_NAME_CHARACTERS)]
"""A name in a message of another process."""
WholeNumber = Annotated[int, msgspec.Meta(ge=0, le=MAX_WHOLE_NUMBER)]
"""A count, time or version in a message of another process."""


def read_json(data: bytes | str, kind: type[T]) -> Result[T, str]:
    """Returns the value of type ``kind`` in JSON, or why there is none."""
    return _read(_get_json_decoder(kind).decode, data)


def read_msgpack(data: bytes, kind: type[T]) -> Result[T, str]:
    """Returns the value of type ``kind`` in MessagePack, or why none."""
    return _read(_get_msgpack_decoder(kind).decode, data)


def _read(
    decode: Callable[[bytes | str], T], data: bytes | str
) -> Result[T, str]:
    try:
        return Ok(decode(data))
    except _ERRORS as error:
        return Error(str(error)[:_MAX_REASON_CHARACTERS])


@functools.cache
def _get_json_decoder(kind: type[T]) -> msgspec.json.Decoder[T]:
    return msgspec.json.Decoder(kind)


@functools.cache
def _get_msgpack_decoder(kind: type[T]) -> msgspec.msgpack.Decoder[T]:
    return msgspec.msgpack.Decoder(kind)
