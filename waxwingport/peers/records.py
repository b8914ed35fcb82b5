"""What a node remembers of the nodes behind each address."""

import asyncio
import collections

from expression import Error
from expression import Result

from waxwingport import ids
from waxwingport.peers import base
from waxwingport.peers import channel
from waxwingport.peers import envelope

__all__ = ['Pending', 'Record', 'Records']

_RECORDS = 16384
_LIVES = 8
_UNKNOWN = ids.Incarnation(0)


class Record:
    """The node behind one address: its life, and the connection to it."""

    def __init__(self) -> None:
        self.incarnation = _UNKNOWN
        self.channel: channel.Channel | None = None
        self.greeting = 0
        """Number of the greeting that waits for its answer, or 0."""
        self.missed = False
        """Whether an answer was missed since the last request."""
        self.heard_at = float('-inf')
        self.in_progress = 0
        self._window = envelope.Window()
        self._past: collections.deque[ids.Incarnation] = collections.deque(
            maxlen=_LIVES
        )

    def adopt(self, incarnation: ids.Incarnation) -> None:
        """Takes ``incarnation`` as the node's present life."""
        if incarnation != self.incarnation:
            self._past.append(self.incarnation)
            self.incarnation = incarnation
            self._window = envelope.Window()

    def is_fresh(self, opened: envelope.Envelope) -> bool:
        """Returns whether an envelope is of the present life and new.

        An envelope of a later life starts that life.
        """
        if opened.incarnation > self.incarnation and (
            opened.incarnation not in self._past
        ):
            self.adopt(opened.incarnation)
        if opened.incarnation != self.incarnation:
            return False
        return self._window.take(opened.sequence)


class Records:
    """Records by address, bounded in number."""

    def __init__(self) -> None:
        self._rows: dict[str, Record] = {}

    def __iter__(self):
        return iter(list(self._rows.values()))

    def find(self, address: str) -> Record:
        """Returns the record of ``address``, a new one if there is none."""
        record = self._rows.get(address)
        if record is None:
            record = self._rows[address] = Record()
            if len(self._rows) > _RECORDS:
                self._evict()
        return record

    def _evict(self) -> None:
        for address, row in self._rows.items():
            if row.channel is None and not row.in_progress:
                del self._rows[address]
                return


class Pending:
    """A request without an answer yet."""

    def __init__(self, peer: base.Peer) -> None:
        self.peer = peer
        self.item: channel.Outgoing | None = None
        self.future: asyncio.Future[Result[bytes, base.PeerFault]] = (
            asyncio.get_running_loop().create_future()
        )

    @property
    def sent(self) -> bool:
        """Whether the request has left."""
        return self.item is not None and self.item.sent_at is not None

    def settle(self, outcome: Result[bytes, base.PeerFault]) -> None:
        """Ends the request; does nothing the second time."""
        if self.item is not None:
            self.item.cancelled = True
        if not self.future.done():
            self.future.set_result(outcome)

    def fail(self, kind: base.PeerFaultKind, sent: bool) -> None:
        """Ends the request without an answer."""
        self.settle(Error(self.describe(kind, sent)))

    def describe(self, kind: base.PeerFaultKind, sent: bool) -> base.PeerFault:
        """Returns the fault of this request."""
        detail = f'{self.peer.name} at {self.peer.address}: {kind.value}'
        return base.PeerFault(kind, detail, sent)
