"""What the rest of the system asks of membership."""

import abc
from collections.abc import Sequence
import enum

import msgspec

from waxwingport import ids
from waxwingport.peers import base as peers

__all__ = ['Member', 'MemberState', 'Membership', 'StaticMembership']


class MemberState(enum.Enum):
    """State of a node as another one sees it; ``charts/member.yaml``."""

    GONE = 'gone'
    JOINING = 'joining'
    LEAVING = 'leaving'
    LIVE = 'live'
    SUSPECT = 'suspect'


class Member(msgspec.Struct, frozen=True):
    """A node of the system."""

    name: ids.NodeName
    data_centre: ids.DataCentre
    peer_address: str
    incarnation: ids.Incarnation | None
    state: MemberState = MemberState.LIVE

    @property
    def peer(self) -> peers.Peer:
        """This node as an addressee."""
        return peers.Peer(self.name, self.peer_address, self.incarnation)


class Membership(abc.ABC):
    """The nodes that this node knows, itself among them.

    It steers; nothing that must hold depends on it.
    """

    @property
    @abc.abstractmethod
    def local_member(self) -> Member:
        """This node."""

    @abc.abstractmethod
    def list_members(
        self, data_centre: ids.DataCentre | None = None
    ) -> Sequence[Member]:
        """Returns the members that are not gone, ordered by name."""

    def list_live(
        self, data_centre: ids.DataCentre | None = None
    ) -> Sequence[Member]:
        """Returns the live members, ordered by name."""
        return [
            row
            for row in self.list_members(data_centre)
            if row.state is MemberState.LIVE
        ]

    def find(self, name: ids.NodeName) -> Member | None:
        """Returns the member called ``name``, or ``None``."""
        rows = self.list_members()
        return next((row for row in rows if row.name == name), None)


class StaticMembership(Membership):
    """A fixed list of members, for tests and for a node on its own."""

    def __init__(self, own: Member, others: Sequence[Member] = ()) -> None:
        self._own = own
        self.others = list(others)

    @property
    def local_member(self) -> Member:
        """This node."""
        return self._own

    def list_members(
        self, data_centre: ids.DataCentre | None = None
    ) -> Sequence[Member]:
        """Returns the members, ordered by name."""
        rows = sorted([self._own, *self.others], key=lambda row: row.name)
        return [
            row
            for row in rows
            if data_centre is None or row.data_centre == data_centre
        ]
