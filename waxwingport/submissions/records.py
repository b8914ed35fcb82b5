"""Records of submissions and their encoding.

A record that exceeds what the log takes is cut into fragments, which stand
next to one another because they are appended by one call.
"""

from collections.abc import Sequence
import math
import uuid
import zlib

from expression import Error
from expression import Ok
from expression import Result
import msgspec

from waxwingport.log import leases
from waxwingport.submissions import model

__all__ = [
    'Accepted',
    'Assembler',
    'Drafted',
    'Ended',
    'Listed',
    'Record',
    'encode',
]


class Accepted(msgspec.Struct, frozen=True, tag='accepted', array_like=True):
    """A submission was accepted."""

    submission: model.Submission


class Listed(msgspec.Struct, frozen=True, tag='listed', array_like=True):
    """An item's result has its position among the submission's results."""

    submission_id: model.SubmissionId
    result: model.ListedItem


class Drafted(msgspec.Struct, frozen=True, tag='drafted', array_like=True):
    """Texts of items that have not ended."""

    submission_id: model.SubmissionId
    drafts: tuple[model.StoredDraft, ...]


class Ended(msgspec.Struct, frozen=True, tag='ended', array_like=True):
    """The submitter ended a submission."""

    submission_id: model.SubmissionId


Record = Accepted | Listed | Drafted | Ended


class _Fragment(msgspec.Struct, frozen=True, tag='fragment', array_like=True):
    name: str
    index: int
    count: int
    data: bytes


class _Packed(msgspec.Struct, frozen=True, tag='packed', array_like=True):
    data: bytes


_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(
    Record | leases.LeaseRecord | _Packed | _Fragment
)
_SMALLEST_PACKED = 512
"""Bytes from which on compression is worth its time."""
_PACKING_LEVEL = 1
"""The quickest: texts shrink to two thirds at some 50 MB/s."""
_PACKING_GAIN = 0.9
"""Part of its size to which a record has to shrink to be kept compressed."""
_FRAGMENT_SLACK = 128
"""Bytes by which a fragment's encoding exceeds its data at most."""


def encode(record: Record, record_size: int) -> tuple[bytes, ...]:
    """Returns the rows to append together, each within ``record_size``."""
    data = _pack(_ENCODER.encode(record))
    if len(data) <= record_size:
        return (data,)
    size = record_size - _FRAGMENT_SLACK
    count = math.ceil(len(data) / size)
    name = uuid.uuid4().hex
    return tuple(
        _ENCODER.encode(
            _Fragment(
                name, index, count, data[index * size : (index + 1) * size]
            )
        )
        for index in range(count)
    )


def _pack(data: bytes) -> bytes:
    """Compresses a large record: every node reads all of them at a start."""
    if len(data) < _SMALLEST_PACKED:
        return data
    packed = zlib.compress(data, _PACKING_LEVEL)
    if len(packed) > _PACKING_GAIN * len(data):
        return data
    return _ENCODER.encode(_Packed(packed))


class Assembler:
    """Decodes the rows of one partition in their order."""

    def __init__(self) -> None:
        self._fragments: list[_Fragment] = []

    def feed(
        self, row: bytes
    ) -> Result[Record | leases.LeaseRecord | None, str]:
        """Returns the record that ``row`` completes, if it does.

        Fails for a row that can't be read, which completes nothing.
        """
        try:
            found = _DECODER.decode(row)
        except (msgspec.DecodeError, UnicodeError) as error:
            self.reset()
            return Error(f'row cannot be read: {error}')
        if isinstance(found, _Packed):
            return self._unpack(found)
        if not isinstance(found, _Fragment):
            self.reset()
            return Ok(found)
        return self._join(found)

    def reset(self) -> None:
        """Drops fragments whose rest is missing."""
        self._fragments.clear()

    def _unpack(
        self, packed: _Packed
    ) -> Result[Record | leases.LeaseRecord | None, str]:
        try:
            data = zlib.decompress(packed.data)
        except zlib.error as error:
            self.reset()
            return Error(f'record cannot be unpacked: {error}')
        return self.feed(data)

    def _join(
        self, fragment: _Fragment
    ) -> Result[Record | leases.LeaseRecord | None, str]:
        if not _follows(self._fragments, fragment):
            self.reset()
            if fragment.index:
                return Error('fragment without those before it')
        self._fragments.append(fragment)
        if len(self._fragments) < fragment.count:
            return Ok(None)
        data = b''.join(row.data for row in self._fragments)
        self.reset()
        return self.feed(data)


def _follows(before: Sequence[_Fragment], fragment: _Fragment) -> bool:
    if not before:
        return fragment.index == 0
    last = before[-1]
    return last.name == fragment.name and last.index + 1 == fragment.index
