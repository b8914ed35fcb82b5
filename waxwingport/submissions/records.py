"""Records of submissions and their encoding in the log.

A large record is compressed.  One that still exceeds the log's bound is split
into fragments, which are consecutive because one call appends them all.
"""

from collections.abc import Sequence
import math
import types
import uuid
import zlib

from expression import Error
from expression import Ok
from expression import Result
import msgspec

from waxwingport import decoding
from waxwingport.log import leases
from waxwingport.submissions import model

__all__ = [
    'Accepted',
    'Assembler',
    'Drafted',
    'Ended',
    'ItemFinished',
    'Record',
    'encode',
]


class Accepted(msgspec.Struct, frozen=True, tag='accepted', array_like=True):
    """A submission was accepted."""

    submission: model.Submission


class ItemFinished(msgspec.Struct, frozen=True, tag='listed', array_like=True):
    """An item has a result.

    The order of these records is the order of the results.
    """

    submission_id: model.SubmissionId
    result: model.FinishedItem


class Drafted(msgspec.Struct, frozen=True, tag='drafted', array_like=True):
    """Texts of unfinished items were stored."""

    submission_id: model.SubmissionId
    drafts: tuple[model.StoredDraft, ...]


class Ended(msgspec.Struct, frozen=True, tag='ended', array_like=True):
    """A caller ended a submission."""

    submission_id: model.SubmissionId


Record = Accepted | ItemFinished | Drafted | Ended


class _Fragment(msgspec.Struct, frozen=True, tag='fragment', array_like=True):
    """Part of an encoded record."""

    record_id: str
    """The same for all fragments of a record."""
    index: int
    """Position in the record, from 0."""
    count: int
    """Number of the record's fragments."""
    data: bytes


class _Compressed(msgspec.Struct, frozen=True, tag='packed', array_like=True):
    """A compressed encoded record."""

    data: bytes


_ENCODER = msgspec.msgpack.Encoder()
_Stored = Record | leases.LeaseRecord | _Compressed | _Fragment
"""What a record of the log can hold."""
_MIN_COMPRESSED_BYTES = 512
"""Size from which on a record is compressed; smaller ones are not worth the
time."""
_COMPRESSION_LEVEL = 1
"""The fastest level of zlib.  It reduces texts to about two thirds of their
size, at about 50 MB/s."""
_MAX_COMPRESSED_RATIO = 0.9
"""Largest ratio of compressed to original size at which a record is stored
compressed."""
_FRAGMENT_OVERHEAD_BYTES = 128
"""Upper bound of what a fragment's encoding adds to its data."""


def encode(record: Record, max_record_bytes: int) -> tuple[bytes, ...]:
    """Returns the log records to append in one call for ``record``.

    Each has at most ``max_record_bytes`` bytes.
    """
    data = _compress(_ENCODER.encode(record))
    if len(data) <= max_record_bytes:
        return (data,)
    size = max_record_bytes - _FRAGMENT_OVERHEAD_BYTES
    count = math.ceil(len(data) / size)
    record_id = uuid.uuid4().hex
    return tuple(
        _ENCODER.encode(
            _Fragment(
                record_id,
                index,
                count,
                data[index * size : (index + 1) * size],
            )
        )
        for index in range(count)
    )


def _compress(data: bytes) -> bytes:
    """Compresses a large record, unless that saves little.

    Every node reads all records when it starts.
    """
    if len(data) < _MIN_COMPRESSED_BYTES:
        return data
    compressed = zlib.compress(data, _COMPRESSION_LEVEL)
    if len(compressed) > _MAX_COMPRESSED_RATIO * len(data):
        return data
    return _ENCODER.encode(_Compressed(compressed))


class Assembler:
    """Decodes the log records of one partition in their order."""

    def __init__(self) -> None:
        self._fragments: list[_Fragment] = []

    def feed(
        self, data: bytes
    ) -> Result[Record | leases.LeaseRecord | None, str]:
        """Returns the record that ``data`` completes, ``None`` if it does not.

        Fails with a reason if ``data`` can't be decoded or is a fragment that
        does not follow the one before it.
        """
        return self._feed(data, _Fragment | _Compressed)

    def _feed(
        self, data: bytes, wrappers: types.UnionType | type | None
    ) -> Result[Record | leases.LeaseRecord | None, str]:
        """Decodes a record, which may be wrapped in one of ``wrappers``."""
        match decoding.read_msgpack(data, _Stored):
            case Result(tag='ok', ok=found):
                pass
            case Result(error=reason):
                self.reset()
                return Error(f'record cannot be decoded: {reason}')
        if not isinstance(found, _Fragment | _Compressed):
            self.reset()
            return Ok(found)
        if wrappers is None or not isinstance(found, wrappers):
            self.reset()
            return Error('fragment or compressed record inside another one')
        if isinstance(found, _Compressed):
            return self._decompress(found)
        return self._join(found)

    def reset(self) -> None:
        """Drops the fragments of an incomplete record."""
        self._fragments.clear()

    def _decompress(
        self, compressed: _Compressed
    ) -> Result[Record | leases.LeaseRecord | None, str]:
        try:
            data = zlib.decompress(compressed.data)
        except zlib.error as error:
            self.reset()
            return Error(f'record cannot be decompressed: {error}')
        return self._feed(data, None)

    def _join(
        self, fragment: _Fragment
    ) -> Result[Record | leases.LeaseRecord | None, str]:
        if not _follows(self._fragments, fragment):
            self.reset()
            if fragment.index:
                return Error(
                    f'fragment {fragment.index + 1} of {fragment.count} '
                    'does not follow the one before it'
                )
        self._fragments.append(fragment)
        if len(self._fragments) < fragment.count:
            return Ok(None)
        data = b''.join(part.data for part in self._fragments)
        self.reset()
        return self._feed(data, _Compressed)


def _follows(before: Sequence[_Fragment], fragment: _Fragment) -> bool:
    if not before:
        return fragment.index == 0
    last = before[-1]
    return (
        last.record_id == fragment.record_id
        and last.index + 1 == fragment.index
    )
