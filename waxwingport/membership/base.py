"""Interface of membership, and a fixed membership."""

import abc
from collections.abc import Sequence
import enum

import msgspec

from waxwingport import ids
from waxwingport.peers import base as peers

__all__ = ['Member', 'MemberState', 'Membership', 'StaticMembership']


class MemberState(enum.Enum):
    """State of a node as seen by another; see ``charts/member.yaml``."""

    GONE = 'gone'
    JOINING = 'joining'
    LEAVING = 'leaving'
    LIVE = 'live'
    SUSPECT = 'suspect'


class Member(msgspec.Struct, frozen=True):
    """A node; ``peer_address`` is ``ip:port``.

    ``incarnation`` is ``None`` until a message of the node arrives.
    """

    name: ids.NodeName
    data_centre: ids.DataCentre
    peer_address: str
    incarnation: ids.Incarnation | None
    state: MemberState = MemberState.LIVE

    @property
    def peer(self) -> peers.Peer:
        """The node as an addressee of messages."""
        return peers.Peer(self.name, self.peer_address, self.incarnation)


class Membership(abc.ABC):
    """The nodes known to this node, including itself.

    Membership is a best-effort view that may be wrong or outdated; use it to
    choose nodes, never to guarantee correctness.
    """

    @property
    @abc.abstractmethod
    def local_member(self) -> Member:
        """This node as a member."""

    @abc.abstractmethod
    def list_members(
        self, data_centre: ids.DataCentre | None = None
    ) -> Sequence[Member]:
        """Returns the members that are not gone, ordered by name.

        Without ``data_centre``, returns those of all data centres.
        """

    def list_live(
        self, data_centre: ids.DataCentre | None = None
    ) -> Sequence[Member]:
        """Returns the live members, ordered by name."""
        return [
            member
            for member in self.list_members(data_centre)
            if member.state is MemberState.LIVE
        ]

    def find(self, name: ids.NodeName) -> Member | None:
        """Returns the member called ``name``, or ``None``."""
        members = self.list_members()
        return next(
            (member for member in members if member.name == name), None
        )


class StaticMembership(Membership):
    """A fixed list of members, for tests and single-node setups."""

    def __init__(
        self, local_member: Member, others: Sequence[Member] = ()
    ) -> None:
        self._local_member = local_member
        self.others = list(others)

    @property
    def local_member(self) -> Member:
        """This node as a member."""
        return self._local_member

    def list_members(
        self, data_centre: ids.DataCentre | None = None
    ) -> Sequence[Member]:
        """Returns the members, ordered by name."""
        members = sorted(
            [self._local_member, *self.others], key=lambda member: member.name
        )
        return [
            member
            for member in members
            if data_centre is None or member.data_centre == data_centre
        ]
