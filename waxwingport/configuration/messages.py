"""Messages between nodes about the configuration.

Bodies are msgpack.  ``Update`` is one-way; ``UpdateRequest`` is answered by
``UpdateResponse``.
"""

from collections.abc import Sequence
from typing import TypeVar

from expression import Error
from expression import Result
import msgspec

from waxwingport.configuration import fold
from waxwingport.configuration import initial_state
from waxwingport.configuration import records
from waxwingport import decoding
from waxwingport import ids
from waxwingport.outside import base

__all__ = [
    'PackedState',
    'Update',
    'UpdateRequest',
    'UpdateResponse',
    'decode',
    'encode',
    'limit_size',
    'pack_state',
    'unpack_state',
]

Message = TypeVar('Message')


class Update(msgspec.Struct, frozen=True, array_like=True):
    """A reader's revision and the last records up to it.

    ``reads_log`` tells whether the sender's reads of the log succeed.
    ``chain`` identifies the records that the sender folded.
    """

    revision: ids.Revision
    chain: str
    reads_log: bool
    records: tuple[base.LogRecord, ...] = ()


class UpdateRequest(msgspec.Struct, frozen=True, array_like=True):
    """Asks for the records after ``revision``."""

    revision: ids.Revision


class PackedState(msgspec.Struct, frozen=True, array_like=True):
    """A complete folded state; ``snapshot`` is an encoded snapshot record."""

    snapshot: bytes
    skipped: ids.Revision | None = None


class UpdateResponse(msgspec.Struct, frozen=True, array_like=True):
    """The sender's revision and what the requester lacks.

    Holds either records after the requested revision, possibly not all of
    them, or a complete state, or neither if there is nothing newer.
    """

    revision: ids.Revision
    records: tuple[base.LogRecord, ...] = ()
    state: PackedState | None = None


def encode(message: Update | UpdateRequest | UpdateResponse) -> bytes:
    """Returns a message as msgpack."""
    return msgspec.msgpack.encode(message)


def decode(body: bytes, kind: type[Message]) -> Result[Message, str]:
    """Returns the message of type ``kind``, or why it can't be decoded."""
    return decoding.read_msgpack(body, kind)


def pack_state(folded: fold.FoldedState) -> PackedState:
    """Returns a state in the form that is sent to a peer."""
    snapshot = records.encode(initial_state.make_snapshot(folded))
    return PackedState(snapshot, folded.skipped)


def unpack_state(state: PackedState) -> Result[fold.FoldedState, str]:
    """Returns the state that a peer sent, or why it is invalid."""
    match records.decode(state.snapshot):
        case Result(tag='ok', ok=records.Snapshot() as snapshot):
            return initial_state.restore_snapshot(snapshot).map(
                lambda found: msgspec.structs.replace(
                    found, skipped=state.skipped
                )
            )
        case Result(tag='error', error=unreadable):
            return Error(unreadable.reason)
        case _:
            return Error('expected a snapshot record, got another kind')


def limit_size(
    found: Sequence[base.LogRecord], size: int
) -> tuple[base.LogRecord, ...]:
    """Returns the first records that fit into ``size`` bytes, at least one."""
    chosen = []
    for record in found:
        size -= len(record.body)
        if size < 0 and chosen:
            break
        chosen.append(record)
    return tuple(chosen)
