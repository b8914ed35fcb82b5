"""Transport between nodes over ``pynng``.

Each node listens on one pull socket and dials one push socket to each peer
that it sends to; an answer is sent through the answering node's own push
socket.  Unlike request sockets, push sockets never resend a message.
"""

import asyncio
from collections.abc import Callable
import contextlib
import itertools
import logging

from expression import Error
from expression import Ok
from expression import Result
import pynng

from waxwingport import ids
from waxwingport.peers import base
from waxwingport.peers import channel
from waxwingport.peers import envelope
from waxwingport.peers import state
from waxwingport.peers import tls
from waxwingport import tasks

__all__ = ['PynngTransport']

_RECEIVE_BATCH = 64
"""Messages handled before other tasks of the event loop run."""
_RECEIVE_BUFFER_MESSAGES = 256
_MESSAGE_LIFETIME_S = 5.0
"""Time after which a message other than a request is no longer sent."""
_ENVELOPE_BYTES = 256
"""Allowance for the envelope around a body."""
_IDLE_CHECKS_PER_TIMEOUT = 4
_ANY_INCARNATION = ids.Incarnation(0)
_FAULT_KINDS = {kind.value: kind for kind in base.PeerFaultKind}
_LOG = logging.getLogger(__name__)


class PynngTransport(base.PeerTransport):
    """The transport of one node.

    Must be created in a running event loop; it listens from then on.  Raises
    ``pynng.NNGException`` if it can't listen at ``listen``.
    """

    def __init__(
        self,
        name: ids.NodeName,
        listen: str,
        incarnation: ids.Incarnation,
        settings: base.PeerSettings,
    ) -> None:
        self.name = name
        self.incarnation = incarnation
        self.refused = 0
        """Messages that were forged, replayed or from an unlisted host."""
        self._settings = settings
        self._loop = asyncio.get_running_loop()
        self._sealer = envelope.Sealer(settings.secret)
        self._sequence = itertools.count()
        self._numbers = itertools.count(1)
        self._states = state.PeerStates()
        self._pending: dict[int, state.PendingRequest] = {}
        self._handlers: dict[str, base.Handler] = {}
        self._receivers: dict[str, base.Receiver] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._hosts: frozenset[str] | None = None
        self._client_tls = tls.configure_client(settings.tls)
        self._server_tls = tls.configure_server(settings.tls)
        self._socket = self._listen(listen)
        host = listen.rpartition(':')[0]
        port = str(self._socket.listeners[0].local_address).rpartition(':')[2]
        self.address = f'{host}:{port}'
        self._reader = self._socket.recv_fd
        self._loop.add_reader(self._reader, self._receive_batch)
        self._idle_task = self._loop.create_task(self._close_idle())

    def _listen(self, address: str) -> pynng.Pull0:
        socket = pynng.Pull0(
            recv_buffer_size=_RECEIVE_BUFFER_MESSAGES,
            recv_max_size=self._settings.message_size,
            tls_config=self._server_tls,
        )
        socket.add_pre_pipe_connect_cb(self._check_pipe)
        scheme = 'tcp' if self._server_tls is None else 'tls+tcp'
        socket.listen(f'{scheme}://{address}')
        return socket

    def reconnect(self, peer: base.Peer) -> None:
        """Replaces the connection to a peer that gets no messages over it."""
        peer_state = self._states.find(peer.address)
        if peer_state.channel is not None and peer_state.channel.is_open:
            self._reconnect(peer.address, peer_state)

    def allow_hosts(self, hosts: frozenset[str] | None) -> None:
        """Accepts connections from these hosts only; ``None`` for all."""
        self._hosts = hosts

    @property
    def connections(self) -> int:
        """Number of connections that this node has dialled."""
        return sum(1 for found in self._states if found.channel is not None)

    async def request(
        self,
        peer: base.Peer,
        kind: base.MessageKind,
        body: bytes,
        timeout: float,
    ) -> Result[bytes, base.PeerFault]:
        """Sends a request and returns the answer's body."""
        number = next(self._numbers)
        pending = state.PendingRequest(peer)
        self._pending[number] = pending
        try:
            self._dispatch(pending, number, kind, body, timeout)
            async with asyncio.timeout(timeout):
                return await pending.future
        except TimeoutError:
            return Error(self._handle_timeout(pending))
        finally:
            del self._pending[number]
            if pending.item is not None:
                pending.item.cancelled = True

    def _dispatch(
        self,
        pending: state.PendingRequest,
        number: int,
        kind: base.MessageKind,
        body: bytes,
        timeout: float,
    ) -> None:
        if len(body) + _ENVELOPE_BYTES > self._settings.message_size:
            pending.fail(base.PeerFaultKind.REFUSED, False)
            return
        peer = pending.peer
        peer_state = self._states.find(peer.address)

        def seal() -> bytes:
            return self._seal(
                envelope.Role.REQUEST,
                peer.incarnation or peer_state.incarnation,
                number,
                kind.value,
                body,
            )

        pending.item = self._make_item(seal, body, timeout)
        if not self._open(peer.address, peer_state).enqueue(pending.item):
            pending.fail(base.PeerFaultKind.OVERLOADED, False)

    def _handle_timeout(self, pending: state.PendingRequest) -> base.PeerFault:
        """Returns the fault; replaces a connection that seems to be dead.

        That is one over which nothing arrived since the request was sent, as
        it may have stopped passing data in either direction.
        """
        if not pending.sent:
            return pending.make_fault(base.PeerFaultKind.UNREACHABLE, False)
        address = pending.peer.address
        peer_state = self._states.find(address)
        if peer_state.heard_at <= pending.item.sent_at:
            peer_state.missed = True
            self._reconnect(address, peer_state)
        return pending.make_fault(base.PeerFaultKind.TIMEOUT, True)

    def send(
        self, peer: base.Peer, kind: base.MessageKind, body: bytes
    ) -> bool:
        """Queues a one-way message; returns false if it was dropped."""
        if len(body) + _ENVELOPE_BYTES > self._settings.message_size:
            return False
        peer_state = self._states.find(peer.address)
        item = self._make_item(
            lambda: self._seal(
                envelope.Role.MESSAGE,
                peer.incarnation or peer_state.incarnation,
                0,
                kind.value,
                body,
            ),
            body,
        )
        return self._open(peer.address, peer_state).enqueue(item)

    def set_handler(
        self, kind: base.MessageKind, handler: base.Handler
    ) -> None:
        """Sets the function that answers requests of ``kind``."""
        self._handlers[kind.value] = handler

    def set_receiver(
        self, kind: base.MessageKind, receiver: base.Receiver
    ) -> None:
        """Sets the function that receives one-way messages of ``kind``."""
        self._receivers[kind.value] = receiver

    async def close(self) -> None:
        """Closes every connection."""
        self._loop.remove_reader(self._reader)
        await tasks.cancel_all({self._idle_task, *self._tasks})
        for peer_state in self._states:
            if peer_state.channel is not None:
                peer_state.channel.close()
        self._socket.close()

    def _seal(
        self,
        role: envelope.Role,
        recipient: ids.Incarnation,
        number: int,
        kind: str = '',
        body: bytes = b'',
        reset: bool = False,
    ) -> bytes:
        return self._sealer.seal(
            envelope.Envelope(
                version=envelope.PROTOCOL_VERSION,
                role=role,
                sender=self.name,
                address=self.address,
                incarnation=self.incarnation,
                recipient=recipient,
                sequence=next(self._sequence),
                number=number,
                kind=kind,
                reset=reset,
                body=body,
            )
        )

    def _make_item(
        self,
        seal: Callable[[], bytes],
        body: bytes = b'',
        lifetime: float = _MESSAGE_LIFETIME_S,
    ) -> channel.Outgoing:
        return channel.Outgoing(
            seal, len(body) + _ENVELOPE_BYTES, self._loop.time() + lifetime
        )

    def _open(
        self, address: str, peer_state: state.PeerState
    ) -> channel.Channel:
        """Returns the connection to ``address``, a new one if there is none.

        A new one starts with a greeting.  Its answer identifies the process
        there, so that no message for one incarnation reaches another.
        """
        if peer_state.channel is None:
            peer_state.channel = channel.Channel(
                address,
                self._settings,
                self._client_tls,
                lambda lost: self._handle_lost(peer_state, lost),
            )
            self._greet(peer_state)
        return peer_state.channel

    def _greet(self, peer_state: state.PeerState) -> None:
        peer_state.greeting = number = next(self._numbers)

        def seal() -> bytes:
            reset, peer_state.missed = peer_state.missed, False
            return self._seal(
                envelope.Role.HELLO, _ANY_INCARNATION, number, reset=reset
            )

        peer_state.channel.send_greeting(self._make_item(seal))

    def _reconnect(self, address: str, peer_state: state.PeerState) -> None:
        """Replaces a connection; unsent messages are sent over the new one."""
        if peer_state.channel is None:
            return
        unsent = peer_state.channel.close()
        peer_state.channel = None
        for item in unsent:
            self._open(address, peer_state).enqueue(item)

    def _handle_lost(
        self, peer_state: state.PeerState, lost: channel.Channel
    ) -> None:
        """Fails the pending requests of a connection that was lost."""
        lost.close()
        if peer_state.channel is not lost:
            return
        peer_state.channel = None
        peer_state.missed = peer_state.greeting != 0
        for pending in list(self._pending.values()):
            if pending.peer.address != lost.address:
                continue
            if pending.sent:
                pending.fail(base.PeerFaultKind.BROKEN, True)
            else:
                pending.fail(base.PeerFaultKind.UNREACHABLE, False)

    def _check_pipe(self, pipe: pynng.Pipe) -> None:
        """Closes a connection from an unlisted host.

        Called in a thread of the library.
        """
        if not self._is_listed(str(pipe.remote_address)):
            pipe.close()

    def _is_listed(self, address: str) -> bool:
        hosts = self._hosts
        return hosts is None or address.rpartition(':')[0] in hosts

    def _receive_batch(self) -> None:
        with contextlib.suppress(pynng.TryAgain):
            for _ in range(_RECEIVE_BATCH):
                self._receive_one(self._read_message())

    def _read_message(self) -> bytes:
        try:
            return self._socket.recv(block=False)
        except RuntimeError:  # pynng can't return an empty message.
            return b''

    def _receive_one(self, message: bytes) -> None:
        opened = self._sealer.open(message)
        if opened is None or not self._is_listed(opened.address):
            self.refused += 1
        elif opened.role is envelope.Role.HELLO:
            self._handle_hello(opened)
        elif opened.recipient != self.incarnation:
            if opened.role is envelope.Role.REQUEST:
                self._reject(opened, base.PeerFaultKind.GONE)
        elif opened.role is envelope.Role.WELCOME:
            self._handle_welcome(opened)
        else:
            self._handle_message(opened)

    def _handle_hello(self, opened: envelope.Envelope) -> None:
        peer_state = self._states.find(opened.address)
        if opened.reset:
            self._reconnect(opened.address, peer_state)
        item = self._make_item(
            lambda: self._seal(
                envelope.Role.WELCOME, opened.incarnation, opened.number
            )
        )
        self._open(opened.address, peer_state).send_greeting(item)

    def _handle_welcome(self, opened: envelope.Envelope) -> None:
        peer_state = self._states.find(opened.address)
        if opened.number != peer_state.greeting or peer_state.channel is None:
            return
        peer_state.greeting = 0
        peer_state.set_incarnation(opened.incarnation)
        peer_state.channel.unlock()

    def _handle_message(self, opened: envelope.Envelope) -> None:
        peer_state = self._states.find(opened.address)
        if not peer_state.accept(opened):
            self._refuse_stale(peer_state, opened)
            return
        peer_state.heard_at = self._loop.time()
        match opened.role:
            case envelope.Role.REQUEST:
                self._handle_request(peer_state, opened)
            case envelope.Role.MESSAGE:
                receiver = self._receivers.get(opened.kind)
                if receiver is not None:
                    receiver(opened.sender, opened.body)
            case envelope.Role.ANSWER:
                self._finish(opened, Ok(opened.body))
            case envelope.Role.FAULT:
                self._handle_fault(peer_state, opened)

    def _refuse_stale(
        self, peer_state: state.PeerState, opened: envelope.Envelope
    ) -> None:
        """Greets the sender if its incarnation is earlier than the known one.

        This happens when a process was restarted with its clock set back.
        """
        self.refused += 1
        if (
            opened.incarnation < peer_state.incarnation
            and not peer_state.greeting
        ):
            self._open(opened.address, peer_state)
            self._greet(peer_state)

    def _handle_request(
        self, peer_state: state.PeerState, opened: envelope.Envelope
    ) -> None:
        handler = self._handlers.get(opened.kind)
        if handler is None:
            self._reject(opened, base.PeerFaultKind.REFUSED)
        elif peer_state.in_progress >= self._settings.requests_at_once:
            self._reject(opened, base.PeerFaultKind.OVERLOADED)
        else:
            peer_state.in_progress += 1
            task = self._loop.create_task(
                self._run(peer_state, handler, opened)
            )
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _run(
        self,
        peer_state: state.PeerState,
        handler: base.Handler,
        opened: envelope.Envelope,
    ) -> None:
        try:
            body = await handler(opened.sender, opened.body)
        except Exception:
            _LOG.exception(
                'peer=%s kind=%s: handler failed', opened.sender, opened.kind
            )
            self._reject(opened, base.PeerFaultKind.BROKEN)
        else:
            self._reply(opened, envelope.Role.ANSWER, body)
        finally:
            peer_state.in_progress -= 1

    def _reject(
        self, opened: envelope.Envelope, kind: base.PeerFaultKind
    ) -> None:
        self._reply(opened, envelope.Role.FAULT, kind.value.encode())

    def _reply(
        self, opened: envelope.Envelope, role: envelope.Role, body: bytes
    ) -> None:
        peer_state = self._states.find(opened.address)
        item = self._make_item(
            lambda: self._seal(
                role, opened.incarnation, opened.number, opened.kind, body
            ),
            body,
        )
        self._open(opened.address, peer_state).enqueue(item)

    def _handle_fault(
        self, peer_state: state.PeerState, opened: envelope.Envelope
    ) -> None:
        kind = _FAULT_KINDS.get(
            opened.body.decode(), base.PeerFaultKind.REFUSED
        )
        pending = self._pending.get(opened.number)
        if pending is None:
            return
        if kind is base.PeerFaultKind.GONE:
            self._reconnect(opened.address, peer_state)
        sent = kind is base.PeerFaultKind.BROKEN
        self._finish(opened, Error(pending.make_fault(kind, sent)))

    def _finish(
        self,
        opened: envelope.Envelope,
        outcome: Result[bytes, base.PeerFault],
    ) -> None:
        pending = self._pending.get(opened.number)
        if pending is not None and pending.peer.address == opened.address:
            pending.finish(outcome)

    async def _close_idle(self) -> None:
        """Closes connections that sent nothing for the idle timeout."""
        idle = self._settings.idle_timeout
        while True:
            await asyncio.sleep(idle / _IDLE_CHECKS_PER_TIMEOUT)
            for peer_state in self._states:
                connection = peer_state.channel
                if (
                    connection is None
                    or connection.used_at > self._loop.time() - idle
                ):
                    continue
                connection.close()
                peer_state.channel = None
