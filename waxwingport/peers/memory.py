"""Fake transport between nodes in one process, with injected faults."""

import asyncio

from expression import Error
from expression import Ok
from expression import Result

from waxwingport import ids
from waxwingport.peers import base

__all__ = ['MemoryNetwork', 'MemoryTransport']


class MemoryNetwork:
    """Connects the fake transports of several nodes.

    ``cut_links`` holds pairs of addresses between which messages are lost.
    Nodes at addresses in ``frozen`` neither handle nor answer messages.
    ``delay`` is that of one message, in seconds.
    """

    def __init__(self, delay: float = 0.0005) -> None:
        self.delay = delay
        self.cut_links: set[frozenset[str]] = set()
        self.frozen: set[str] = set()
        self.sent_messages = 0
        self.sent_bytes = 0
        self._transports: dict[str, MemoryTransport] = {}

    def join(
        self,
        name: ids.NodeName,
        address: str,
        incarnation: ids.Incarnation,
    ) -> 'MemoryTransport':
        """Returns a new transport, which replaces any at the same address."""
        remote = MemoryTransport(self, name, address, incarnation)
        self._transports[address] = remote
        return remote

    def leave(self, address: str) -> None:
        """Removes the node at ``address``."""
        self._transports.pop(address, None)

    def partition(self, first: set[str], second: set[str]) -> None:
        """Cuts every link between two sets of addresses."""
        self.cut_links |= {frozenset((a, b)) for a in first for b in second}

    def heal(self) -> None:
        """Restores every link."""
        self.cut_links.clear()

    def find(self, source: str, target: str) -> 'MemoryTransport | None':
        """Returns the transport at ``target``, ``None`` if unreachable."""
        if frozenset((source, target)) in self.cut_links:
            return None
        return self._transports.get(target)

    def count(self, body: bytes) -> None:
        """Counts a sent message and its bytes."""
        self.sent_messages += 1
        self.sent_bytes += len(body)


class MemoryTransport(base.PeerTransport):
    """The transport of one node in a ``MemoryNetwork``."""

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
        """Sends a request and returns the answer's body.

        A lost request or answer fails only at the timeout.
        """
        remote = self._network.find(self.address, peer.address)
        self._network.count(body)
        if remote is None:
            await asyncio.sleep(timeout)
            return Error(_make_fault(base.PeerFaultKind.TIMEOUT, peer, True))
        if peer.incarnation not in (None, remote.incarnation):
            await asyncio.sleep(self._network.delay * 2)
            return Error(_make_fault(base.PeerFaultKind.GONE, peer, False))
        try:
            async with asyncio.timeout(timeout):
                return await self._exchange(remote, kind, body, peer)
        except TimeoutError:
            return Error(_make_fault(base.PeerFaultKind.TIMEOUT, peer, True))

    async def _exchange(
        self,
        remote: 'MemoryTransport',
        kind: base.MessageKind,
        body: bytes,
        peer: base.Peer,
    ) -> Result[bytes, base.PeerFault]:
        await asyncio.sleep(self._network.delay)
        handler = remote._handlers.get(kind)
        if handler is None:
            return Error(_make_fault(base.PeerFaultKind.REFUSED, peer, False))
        await remote._wait_unfrozen()
        answer = await handler(self.name, body)
        await asyncio.sleep(self._network.delay)
        if self._network.find(remote.address, self.address) is not self:
            await asyncio.get_running_loop().create_future()
        self._network.count(answer)
        return Ok(answer)

    def send(
        self, peer: base.Peer, kind: base.MessageKind, body: bytes
    ) -> bool:
        """Sends a one-way message; returns true even if it is lost."""
        remote = self._network.find(self.address, peer.address)
        self._network.count(body)
        if remote is not None and remote.address not in self._network.frozen:
            asyncio.get_running_loop().call_later(
                self._network.delay, remote._deliver, kind, self.name, body
            )
        return True

    def set_handler(
        self, kind: base.MessageKind, handler: base.Handler
    ) -> None:
        """Sets the function that answers requests of ``kind``."""
        self._handlers[kind] = handler

    def set_receiver(
        self, kind: base.MessageKind, receiver: base.Receiver
    ) -> None:
        """Sets the function that receives one-way messages of ``kind``."""
        self._receivers[kind] = receiver

    async def close(self) -> None:
        """Leaves the network."""
        self._network.leave(self.address)

    def _deliver(
        self, kind: base.MessageKind, sender: ids.NodeName, body: bytes
    ) -> None:
        receiver = self._receivers.get(kind)
        if receiver is not None:
            receiver(sender, body)

    async def _wait_unfrozen(self) -> None:
        while self.address in self._network.frozen:
            await asyncio.sleep(0.01)


def _make_fault(
    kind: base.PeerFaultKind, peer: base.Peer, sent: bool
) -> base.PeerFault:
    return base.PeerFault(kind, f'{peer.name} at {peer.address}', sent)
