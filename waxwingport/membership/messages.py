"""Messages between nodes about membership, encoded as msgpack."""

from collections.abc import Iterable

import msgspec
import xxhash

from waxwingport import ids
from waxwingport.membership import base

__all__ = [
    'Digest',
    'Heartbeat',
    'Relay',
    'Table',
    'TableEntry',
    'TableRequest',
    'make_table',
]


class Relay(msgspec.Struct, frozen=True, array_like=True):
    """What a node reports within its data centre about another one.

    ``checksum`` is that of the last table fetched, ``age`` the time since the
    last digest in milliseconds.
    """

    data_centre: ids.DataCentre
    checksum: int
    age: int


class Heartbeat(msgspec.Struct, frozen=True, array_like=True):
    """A periodic message of a node to the members of its data centre.

    ``counter`` increases with each heartbeat.  ``hints`` are the sender's own
    hints and ``remote_hints`` those from other data centres; most heartbeats
    carry neither.  ``suspects`` names the members that the sender no longer
    hears.  ``relays`` are the data centres for which the sender is a gateway.
    """

    data_centre: ids.DataCentre
    address: str
    incarnation: ids.Incarnation
    counter: int
    state: base.MemberState
    hints: dict[str, int] | None = None
    suspects: tuple[ids.NodeName, ...] = ()
    relays: tuple[Relay, ...] = ()
    remote_hints: dict[str, int] | None = None


class Digest(msgspec.Struct, frozen=True, array_like=True):
    """A periodic message from a gateway of one data centre to another's.

    ``address`` is that of the sender, which the receiver may not know yet.
    ``checksum`` is that of the sender's table of its data centre.  ``rank``
    is 0 for the first gateway; digests of others count only while no digest
    of the first one arrives.
    """

    data_centre: ids.DataCentre
    address: str
    checksum: int
    rank: int
    hints: dict[str, int]


class TableEntry(msgspec.Struct, frozen=True, array_like=True):
    """One member in a ``Table``."""

    name: ids.NodeName
    address: str
    incarnation: ids.Incarnation | None
    state: base.MemberState


class Table(msgspec.Struct, frozen=True, array_like=True):
    """The members of one data centre."""

    data_centre: ids.DataCentre
    checksum: int
    entries: tuple[TableEntry, ...]


class TableRequest(msgspec.Struct, frozen=True, array_like=True):
    """Requests the table of a data centre; the answer is one or ``None``."""

    data_centre: ids.DataCentre


def make_table(
    data_centre: ids.DataCentre, members: Iterable[base.Member]
) -> Table:
    """Returns the table of ``members``, which must be ordered by name.

    Equal members give equal checksums.
    """
    entries = tuple(
        TableEntry(
            member.name,
            member.peer_address,
            member.incarnation,
            member.state,
        )
        for member in members
    )
    checksum = xxhash.xxh3_64_intdigest(msgspec.msgpack.encode(entries))
    return Table(data_centre, checksum, entries)
