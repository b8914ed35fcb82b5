"""What nodes tell each other about membership."""

from collections.abc import Iterable

import msgspec
import xxhash

from waxwingport import ids
from waxwingport.membership import base

__all__ = [
    'Digest',
    'Entry',
    'Fetch',
    'Heartbeat',
    'Relay',
    'Table',
    'make_table',
]


class Relay(msgspec.Struct, frozen=True, array_like=True):
    """How far a node follows another data centre.

    ``checksum`` is that of the table held, ``age`` the time since the last
    digest in milliseconds.
    """

    data_centre: ids.DataCentre
    checksum: int
    age: int


class Heartbeat(msgspec.Struct, frozen=True, array_like=True):
    """A node's sign of life within its data centre.

    ``counter`` grows with each of them.  ``hints`` are left out of most,
    and so is ``distant``, the hints heard from other data centres.
    ``suspects`` names the members that the sender no longer hears.
    ``relays`` are the data centres that the sender follows for the others.
    """

    data_centre: ids.DataCentre
    address: str
    incarnation: ids.Incarnation
    counter: int
    state: base.MemberState
    hints: dict[str, int] | None = None
    suspects: tuple[ids.NodeName, ...] = ()
    relays: tuple[Relay, ...] = ()
    distant: dict[str, int] | None = None


class Digest(msgspec.Struct, frozen=True, array_like=True):
    """What one data centre's gateway tells another's.

    ``address`` is the sender's, which the receiver may not know yet.
    ``rank`` is 0 for the first gateway; the others count while it is silent.
    """

    data_centre: ids.DataCentre
    address: str
    checksum: int
    rank: int
    hints: dict[str, int]


class Entry(msgspec.Struct, frozen=True, array_like=True):
    """One member in a table."""

    name: ids.NodeName
    address: str
    incarnation: ids.Incarnation | None
    state: base.MemberState


class Table(msgspec.Struct, frozen=True, array_like=True):
    """The members of one data centre."""

    data_centre: ids.DataCentre
    checksum: int
    entries: tuple[Entry, ...]


class Fetch(msgspec.Struct, frozen=True, array_like=True):
    """Asks for the table of a data centre; answered by one or ``None``."""

    data_centre: ids.DataCentre


def make_table(
    data_centre: ids.DataCentre, members: Iterable[base.Member]
) -> Table:
    """Returns the table of ``members``, which are ordered by name."""
    entries = tuple(
        Entry(row.name, row.peer_address, row.incarnation, row.state)
        for row in members
    )
    checksum = xxhash.xxh3_64_intdigest(msgspec.msgpack.encode(entries))
    return Table(data_centre, checksum, entries)
