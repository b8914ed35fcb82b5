"""Fake transport between nodes of one process, with faults."""

import asyncio

from expression import Error
from expression import Ok
from expression import Result

from waxwingport import ids
from waxwingport.peers import base

__all__ = ['MemoryNetwork', 'MemoryTransport']


class MemoryNetwork:
    """Joins the fake transports of several nodes.

    ``cut`` holds the pairs of addresses between which messages vanish; an
    address in ``frozen`` takes messages and answers none.  ``delay`` is in
    seconds, one way.
    """

    def __init__(self, delay: float = 0.0005) -> None:
        self.delay = delay
        self.cut: set[frozenset[str]] = set()
        self.frozen: set[str] = set()
        self.sent_messages = 0
        self.sent_bytes = 0
        self._ends: dict[str, MemoryTransport] = {}

    def join(
        self,
        name: ids.NodeName,
        address: str,
        incarnation: ids.Incarnation,
    ) -> 'MemoryTransport':
        """Returns the transport of a node; replaces one at its address."""
        end = MemoryTransport(self, name, address, incarnation)
        self._ends[address] = end
        return end

    def leave(self, address: str) -> None:
        """Removes the node at ``address``."""
        self._ends.pop(address, None)

    def partition(self, first: set[str], second: set[str]) -> None:
        """Cuts every link between two sets of addresses."""
        self.cut |= {frozenset((a, b)) for a in first for b in second}

    def heal(self) -> None:
        """Restores every link."""
        self.cut.clear()

    def find(self, source: str, target: str) -> 'MemoryTransport | None':
        """Returns the end at ``target`` unless the link is cut."""
        if frozenset((source, target)) in self.cut:
            return None
        return self._ends.get(target)

    def count(self, body: bytes) -> None:
        """Counts one message."""
        self.sent_messages += 1
        self.sent_bytes += len(body)


class MemoryTransport(base.PeerTransport):
    """One node's end of a ``MemoryNetwork``."""

    def __init__(
        self,
        network: MemoryNetwork,
        name: ids.NodeName,
        address: str,
        incarnation: ids.Incarnation,
    ) -> None:
        self.name = name
        self.address = address
        self.incarnation = incarnation
        self._network = network
        self._handlers: dict[base.MessageKind, base.Handler] = {}
        self._receivers: dict[base.MessageKind, base.Receiver] = {}

    async def request(
        self,
        peer: base.Peer,
        kind: base.MessageKind,
        body: bytes,
        timeout: float,
    ) -> Result[bytes, base.PeerFault]:
        """Sends a request and returns the answer's body."""
        end = self._network.find(self.address, peer.address)
        self._network.count(body)
        if end is None:
            await asyncio.sleep(timeout)
            return Error(_fault(base.PeerFaultKind.TIMEOUT, peer, True))
        if peer.incarnation not in (None, end.incarnation):
            await asyncio.sleep(self._network.delay * 2)
            return Error(_fault(base.PeerFaultKind.GONE, peer, False))
        try:
            async with asyncio.timeout(timeout):
                return await self._exchange(end, kind, body, peer)
        except TimeoutError:
            return Error(_fault(base.PeerFaultKind.TIMEOUT, peer, True))

    async def _exchange(
        self,
        end: 'MemoryTransport',
        kind: base.MessageKind,
        body: bytes,
        peer: base.Peer,
    ) -> Result[bytes, base.PeerFault]:
        await asyncio.sleep(self._network.delay)
        handler = end._handlers.get(kind)
        if handler is None:
            return Error(_fault(base.PeerFaultKind.REFUSED, peer, False))
        await end._thaw()
        answer = await handler(self.name, body)
        await asyncio.sleep(self._network.delay)
        if self._network.find(end.address, self.address) is not self:
            await asyncio.get_running_loop().create_future()
        self._network.count(answer)
        return Ok(answer)

    def send(
        self, peer: base.Peer, kind: base.MessageKind, body: bytes
    ) -> bool:
        """Queues a one-way message."""
        end = self._network.find(self.address, peer.address)
        self._network.count(body)
        if end is not None and end.address not in self._network.frozen:
            asyncio.get_running_loop().call_later(
                self._network.delay, end._take, kind, self.name, body
            )
        return True

    def set_handler(
        self, kind: base.MessageKind, handler: base.Handler
    ) -> None:
        """Lets ``handler`` answer the requests of ``kind``."""
        self._handlers[kind] = handler

    def set_receiver(
        self, kind: base.MessageKind, receiver: base.Receiver
    ) -> None:
        """Lets ``receiver`` take the one-way messages of ``kind``."""
        self._receivers[kind] = receiver

    async def close(self) -> None:
        """Leaves the network."""
        self._network.leave(self.address)

    def _take(
        self, kind: base.MessageKind, sender: ids.NodeName, body: bytes
    ) -> None:
        receiver = self._receivers.get(kind)
        if receiver is not None:
            receiver(sender, body)

    async def _thaw(self) -> None:
        while self.address in self._network.frozen:
            await asyncio.sleep(0.01)


def _fault(
    kind: base.PeerFaultKind, peer: base.Peer, sent: bool
) -> base.PeerFault:
    return base.PeerFault(kind, f'{peer.name} at {peer.address}', sent)
