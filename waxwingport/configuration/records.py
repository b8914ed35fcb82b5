"""Records of the configuration stream.

A change holds the keys that it sets or removes; a snapshot holds the complete
state up to the offset that it covers; a reset replaces the state.  All are
JSON with ``kind`` and ``version``, so that operators can read the stream and
nodes can recognise records of a newer version.
"""

from collections.abc import Mapping

from expression import Error
from expression import Ok
from expression import Result
import msgspec

from waxwingport.configuration import keys
from waxwingport import decoding
from waxwingport import ids

__all__ = [
    'VERSION',
    'Change',
    'Entry',
    'Envelope',
    'Record',
    'Reset',
    'Snapshot',
    'Unreadable',
    'decode',
    'encode',
    'make_change',
    'read_value',
    'shorten',
    'write_value',
    'write_values',
]

VERSION = 1
"""Increased whenever a declaration gains a field or a record changes."""


class Envelope(msgspec.Struct, frozen=True):
    """The fields that every record has."""

    kind: str
    version: int


class Change(
    msgspec.Struct,
    frozen=True,
    forbid_unknown_fields=True,
    tag_field='kind',
    tag='change',
):
    """An operator's change of some keys; JSON ``null`` removes a key.

    ``based_on`` is the revision that the change was made from.
    """

    id: ids.RecordId
    author: str
    based_on: ids.Revision
    values: dict[keys.Key, msgspec.Raw]
    version: int = VERSION


class Entry(msgspec.Struct, frozen=True):
    """One key in a snapshot; ``value`` is JSON ``null`` if it was removed."""

    revision: ids.Revision
    author: str
    value: msgspec.Raw


class Reset(
    msgspec.Struct,
    frozen=True,
    forbid_unknown_fields=True,
    tag_field='kind',
    tag='reset',
):
    """Replaces the complete state, independent of earlier records.

    Recovers a deployment in which neither a node nor the log holds the
    configuration any more.
    """

    id: ids.RecordId
    author: str
    values: dict[keys.Key, msgspec.Raw]
    version: int = VERSION


class Snapshot(
    msgspec.Struct,
    frozen=True,
    forbid_unknown_fields=True,
    tag_field='kind',
    tag='snapshot',
):
    """The state after the record at ``covers``, the same on every node.

    The fields are those of ``fold.FoldedState``.  A shortened snapshot has
    only ``covers``.
    """

    covers: ids.Revision
    entries: dict[keys.Key, Entry] = {}
    seen: dict[ids.RecordId, ids.Revision] = {}
    covered: ids.Revision = ids.Revision(-1)
    floor: ids.Revision = ids.Revision(-1)
    chain: str = ''
    version: int = VERSION


class Unreadable(msgspec.Struct, frozen=True):
    """Why a record can't be read.

    ``newer`` tells that a later version of this program wrote it and can read
    it.  Any other unreadable record is void for every version.
    """

    reason: str
    newer: bool


Record = Change | Reset | Snapshot

_REMOVED = b'null'


def make_change(
    record_id: ids.RecordId,
    author: str,
    based_on: ids.Revision,
    values: Mapping[keys.Key, keys.Declared | None],
) -> Change:
    """Returns a change that sets or removes ``values``."""
    return Change(record_id, author, based_on, write_values(values))


def encode(record: Record) -> bytes:
    """Returns the record as JSON, as appended to the log."""
    return msgspec.json.encode(record)


def decode(body: bytes) -> Result[Record, Unreadable]:
    """Returns the record, or why it can't be read."""
    match decoding.read_json(body, Envelope):
        case Result(tag='ok', ok=envelope) if envelope.version > VERSION:
            reason = f'record version {envelope.version} is not supported'
            return Error(Unreadable(reason, newer=True))
    return decoding.read_json(body, Record).map_error(
        lambda reason: Unreadable(reason, newer=False)
    )


def shorten(body: bytes) -> bytes:
    """Returns a record without the parts that follow from earlier records.

    A snapshot is reduced to the offset that it covers; others stay whole.
    """
    match decode(body):
        case Result(tag='ok', ok=Snapshot(covers=covers)):
            return encode(Snapshot(covers))
    return body


def read_value(
    key: keys.Key, raw: msgspec.Raw
) -> Result[keys.Declared | None, str]:
    """Returns the declaration under ``key``, or why it is invalid.

    Returns ``None`` for a removed key.
    """
    kind, name = keys.split_key(key)
    if not kind:
        return Error(f'{key}: unknown kind of declaration')
    if bytes(raw) == _REMOVED:
        return Ok(None)
    match decoding.read_json(raw, keys.KINDS[kind]):
        case Result(tag='ok', ok=value) if value.name != name:
            return Error(f'{key}: value has another name, {value.name!r}')
        case found:
            return found.map_error(lambda reason: f'{key}: {reason}')


def write_values(
    values: Mapping[keys.Key, keys.Declared | None],
) -> dict[keys.Key, msgspec.Raw]:
    """Returns each declaration as JSON, ordered by key."""
    return {key: write_value(value) for key, value in sorted(values.items())}


def write_value(value: keys.Declared | None) -> msgspec.Raw:
    """Returns a declaration as JSON without default values."""
    if value is None:
        return msgspec.Raw(_REMOVED)
    return msgspec.Raw(msgspec.json.encode(value, order='sorted'))
