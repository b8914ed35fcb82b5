"""Records of the configuration stream.

A change names the keys that it sets or removes; a snapshot holds all that was
folded up to the offset it covers.  Both are JSON with ``kind`` and
``version``, so that an operator can read the stream and a node can tell a
record that it does not understand.
"""

from collections.abc import Mapping

from expression import Error
from expression import Ok
from expression import Result
import msgspec

from waxwingport.configuration import keys
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
"""Raised whenever a declaration gains a field or a record changes."""


class Envelope(msgspec.Struct, frozen=True):
    """What every record says of itself."""

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

    ``based_on`` is the revision that the operator saw.
    """

    id: ids.RecordId
    author: str
    based_on: ids.Revision
    values: dict[keys.Key, msgspec.Raw]
    version: int = VERSION


class Entry(msgspec.Struct, frozen=True):
    """One key in a snapshot; JSON ``null`` stands for a removed one."""

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
    """Replaces everything, whatever came before.

    The way out when no node and no record holds the configuration any more.
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
    """Everything folded up to ``covers``; a pure function of that offset.

    ``seen`` holds the offsets of the recent record ids and ``chain``
    identifies the records folded.  Shortened, it holds no entries.
    """

    covers: ids.Revision
    entries: dict[keys.Key, Entry] = {}
    seen: dict[ids.RecordId, ids.Revision] = {}
    covered: ids.Revision = ids.Revision(-1)
    floor: ids.Revision = ids.Revision(-1)
    chain: str = ''
    version: int = VERSION


class Unreadable(msgspec.Struct, frozen=True):
    """Why a record cannot be read.

    A ``newer`` one was written by a later program that understands it; any
    other is void for every program.
    """

    reason: str
    newer: bool


Record = Change | Reset | Snapshot

_MALFORMED = (msgspec.DecodeError, RecursionError, UnicodeError)
_REMOVED = b'null'
_DECODER = msgspec.json.Decoder(Record)
_ENVELOPE = msgspec.json.Decoder(Envelope)
_VALUES = {
    kind: msgspec.json.Decoder(struct) for kind, struct in keys.KINDS.items()
}


def make_change(
    record_id: ids.RecordId,
    author: str,
    based_on: ids.Revision,
    values: Mapping[keys.Key, keys.Declared | None],
) -> Change:
    """Returns the change that sets or removes ``values``."""
    return Change(record_id, author, based_on, write_values(values))


def encode(record: Record) -> bytes:
    """Returns the record as it stands in the log."""
    return msgspec.json.encode(record)


def decode(body: bytes) -> Result[Record, Unreadable]:
    """Returns the record, or why it cannot be read."""
    try:
        envelope = _ENVELOPE.decode(body)
        if envelope.version > VERSION:
            reason = f'version {envelope.version} is not known here'
            return Error(Unreadable(reason, newer=True))
        return Ok(_DECODER.decode(body))
    except _MALFORMED as error:
        return Error(Unreadable(str(error), newer=False))


def shorten(body: bytes) -> bytes:
    """Returns what a node that folded all earlier records needs of this one.

    That is all of a change, and of a snapshot the offset that it covers.
    """
    match decode(body):
        case Result(tag='ok', ok=Snapshot(covers=covers)):
            return encode(Snapshot(covers))
    return body


def read_value(
    key: keys.Key, raw: msgspec.Raw
) -> Result[keys.Declared | None, str]:
    """Returns the declaration under ``key``, or what is wrong with it.

    A removed key has ``None``.
    """
    kind, name = keys.split_key(key)
    if not kind:
        return Error(f'{key}: no such kind of declaration')
    if bytes(raw) == _REMOVED:
        return Ok(None)
    try:
        value = _VALUES[kind].decode(raw)
    except _MALFORMED as error:
        return Error(f'{key}: {error}')
    if value.name != name:
        return Error(f'{key}: holds the name {value.name!r}')
    return Ok(value)


def write_values(
    values: Mapping[keys.Key, keys.Declared | None],
) -> dict[keys.Key, msgspec.Raw]:
    """Returns declarations by key as JSON, ordered by key."""
    return {key: write_value(value) for key, value in sorted(values.items())}


def write_value(value: keys.Declared | None) -> msgspec.Raw:
    """Returns a declaration as JSON with its defaults left out."""
    if value is None:
        return msgspec.Raw(_REMOVED)
    return msgspec.Raw(msgspec.json.encode(value, order='sorted'))
