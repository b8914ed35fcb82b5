"""State that a node keeps for each peer address, and pending requests."""

import asyncio
import collections

from expression import Error
from expression import Result

from waxwingport import ids
from waxwingport.peers import base
from waxwingport.peers import channel
from waxwingport.peers import envelope

__all__ = ['PeerState', 'PeerStates', 'PendingRequest']

_MAX_STATES = 16384
"""States above which one without a connection is dropped."""
_MAX_PAST_INCARNATIONS = 8
"""Earlier incarnations of an address kept to refuse their messages."""
_UNKNOWN = ids.Incarnation(0)


class PeerState:
    """State of one address: the node's incarnation and the connection to it.

    ``heard_at`` is when its last message arrived, by the event loop's clock;
    ``in_progress`` counts its requests that are being handled here.
    """

    def __init__(self) -> None:
        self.incarnation = _UNKNOWN
        self.channel: channel.Channel | None = None
        self.greeting = 0
        """Number of the greeting that awaits an answer, or 0."""
        self.missed = False
        """Whether an answer was missed since the last greeting."""
        self.heard_at = float('-inf')
        self.in_progress = 0
        self._replay_window = envelope.ReplayWindow()
        self._past_incarnations: collections.deque[ids.Incarnation] = (
            collections.deque(maxlen=_MAX_PAST_INCARNATIONS)
        )

    def set_incarnation(self, incarnation: ids.Incarnation) -> None:
        """Sets the current incarnation, with a new replay window if new."""
        if incarnation != self.incarnation:
            self._past_incarnations.append(self.incarnation)
            self.incarnation = incarnation
            self._replay_window = envelope.ReplayWindow()

    def accept(self, opened: envelope.Envelope) -> bool:
        """Returns whether an envelope is new and of the current incarnation.

        Records its sequence number.  An envelope of a later incarnation
        makes that the current one.
        """
        if opened.incarnation > self.incarnation and (
            opened.incarnation not in self._past_incarnations
        ):
            self.set_incarnation(opened.incarnation)
        if opened.incarnation != self.incarnation:
            return False
        return self._replay_window.accept(opened.sequence)


class PeerStates:
    """States by address, bounded in number."""

    def __init__(self) -> None:
        self._states: dict[str, PeerState] = {}

    def __iter__(self):
        return iter(list(self._states.values()))

    def find(self, address: str) -> PeerState:
        """Returns the state of ``address``, a new one if there is none."""
        state = self._states.get(address)
        if state is None:
            state = self._states[address] = PeerState()
            if len(self._states) > _MAX_STATES:
                self._evict()
        return state

    def _evict(self) -> None:
        for address, state in self._states.items():
            if state.channel is None and not state.in_progress:
                del self._states[address]
                return


class PendingRequest:
    """A request that has no result yet."""

    def __init__(self, peer: base.Peer) -> None:
        self.peer = peer
        self.item: channel.Outgoing | None = None
        self.future: asyncio.Future[Result[bytes, base.PeerFault]] = (
            asyncio.get_running_loop().create_future()
        )

    @property
    def sent(self) -> bool:
        """Whether the request was sent."""
        return self.item is not None and self.item.sent_at is not None

    def finish(self, outcome: Result[bytes, base.PeerFault]) -> None:
        """Sets the result and withdraws the request if it is still queued.

        Later calls have no effect.
        """
        if self.item is not None:
            self.item.cancelled = True
        if not self.future.done():
            self.future.set_result(outcome)

    def fail(self, kind: base.PeerFaultKind, sent: bool) -> None:
        """Sets a fault as the result."""
        self.finish(Error(self.make_fault(kind, sent)))

    def make_fault(
        self, kind: base.PeerFaultKind, sent: bool
    ) -> base.PeerFault:
        """Returns a fault that names the peer of this request."""
        detail = f'{self.peer.name} at {self.peer.address}: {kind.value}'
        return base.PeerFault(kind, detail, sent)
