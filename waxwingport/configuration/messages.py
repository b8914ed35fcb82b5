"""What nodes tell each other about the configuration.

Bodies are msgpack.  ``Passed`` goes one way; ``Ask`` is a request that
``Answer`` answers.
"""

from collections.abc import Sequence
from typing import TypeVar

from expression import Error
from expression import Ok
from expression import Result
import msgspec

from waxwingport.configuration import fold
from waxwingport.configuration import initial_state
from waxwingport.configuration import records
from waxwingport import ids
from waxwingport.outside import base

__all__ = [
    'Answer',
    'Ask',
    'Passed',
    'State',
    'decode',
    'encode',
    'limit',
    'pack_state',
    'unpack_state',
]

Message = TypeVar('Message')

_MALFORMED = (msgspec.DecodeError, RecursionError, UnicodeError)


class Passed(msgspec.Struct, frozen=True, array_like=True):
    """From a reader: its revision, and the records that led to it.

    ``followed`` says that the sender's reads of the log succeed.
    """

    revision: ids.Revision
    chain: str
    followed: bool
    records: tuple[base.LogRecord, ...] = ()


class Ask(msgspec.Struct, frozen=True, array_like=True):
    """Asks for what follows ``revision``."""

    revision: ids.Revision


class State(msgspec.Struct, frozen=True, array_like=True):
    """A whole folded state; ``snapshot`` is a record of the stream."""

    snapshot: bytes
    skipped: ids.Revision | None = None


class Answer(msgspec.Struct, frozen=True, array_like=True):
    """The sender's revision and a way towards it.

    Either the records that follow the revision asked for, perhaps not all
    of them, or a whole state, or neither when there is nothing newer.
    """

    revision: ids.Revision
    records: tuple[base.LogRecord, ...] = ()
    state: State | None = None


def encode(message: Passed | Ask | Answer) -> bytes:
    """Returns a message as msgpack."""
    return msgspec.msgpack.encode(message)


def decode(body: bytes, kind: type[Message]) -> Result[Message, str]:
    """Returns a message, or why it cannot be read."""
    try:
        return Ok(msgspec.msgpack.decode(body, type=kind))
    except _MALFORMED as error:
        return Error(str(error))


def pack_state(folded: fold.Folded) -> State:
    """Returns a state as it goes to a peer."""
    snapshot = records.encode(initial_state.make_snapshot(folded))
    return State(snapshot, folded.skipped)


def unpack_state(state: State) -> Result[fold.Folded, str]:
    """Returns the state that a peer sent, or why it is unusable."""
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
            return Error('a change in the place of a snapshot')


def limit(
    rows: Sequence[base.LogRecord], size: int
) -> tuple[base.LogRecord, ...]:
    """Returns the first records, as many as fit into ``size`` bytes."""
    taken = []
    for row in rows:
        size -= len(row.body)
        if size < 0 and taken:
            break
        taken.append(row)
    return tuple(taken)
