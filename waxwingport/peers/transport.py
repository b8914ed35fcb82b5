"""Transport between nodes over ``pynng``.

Each node listens on one pull socket and dials one push socket for each peer
that it has something to say to; an answer goes out through the answering
node's own push socket.  Push sockets never repeat a message, unlike request
sockets, which resend by themselves.
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
from waxwingport.peers import records
from waxwingport.peers import tls
from waxwingport import tasks

__all__ = ['PynngTransport']

_RECEIVE_BATCH = 64
_RECEIVE_QUEUE = 256
_MESSAGE_LIFE = 5.0
_ENVELOPE_SIZE = 256
_SWEEPS_PER_TIMEOUT = 4
_NOBODY = ids.Incarnation(0)
_FAULTS = {kind.value: kind for kind in base.PeerFaultKind}
_LOG = logging.getLogger(__name__)


class PynngTransport(base.PeerTransport):
    """One node's end of the transport.

    Construct it inside a running loop; it listens from then on.  Raises
    ``pynng.NNGException`` when it can't listen at ``listen``.
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
        """Envelopes that were forged, repeated or from no listed host."""
        self._settings = settings
        self._loop = asyncio.get_running_loop()
        self._sealer = envelope.Sealer(settings.secret)
        self._sequence = itertools.count()
        self._numbers = itertools.count(1)
        self._records = records.Records()
        self._pending: dict[int, records.Pending] = {}
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
        self._sweeping = self._loop.create_task(self._sweep())

    def _listen(self, address: str) -> pynng.Pull0:
        socket = pynng.Pull0(
            recv_buffer_size=_RECEIVE_QUEUE,
            recv_max_size=self._settings.message_size,
            tls_config=self._server_tls,
        )
        socket.add_pre_pipe_connect_cb(self._check_pipe)
        scheme = 'tcp' if self._server_tls is None else 'tls+tcp'
        socket.listen(f'{scheme}://{address}')
        return socket

    def reconnect(self, peer: base.Peer) -> None:
        """Replaces the connection to a peer that does not hear us."""
        record = self._records.find(peer.address)
        if record.channel is not None and record.channel.is_open:
            self._renew(peer.address, record)

    def allow_hosts(self, hosts: frozenset[str] | None) -> None:
        """Takes connections from these hosts only; ``None`` for all."""
        self._hosts = hosts

    @property
    def connections(self) -> int:
        """How many connections this node has dialled."""
        return sum(1 for row in self._records if row.channel is not None)

    async def request(
        self,
        peer: base.Peer,
        kind: base.MessageKind,
        body: bytes,
        timeout: float,
    ) -> Result[bytes, base.PeerFault]:
        """Sends a request and returns the answer's body."""
        number = next(self._numbers)
        pending = records.Pending(peer)
        self._pending[number] = pending
        try:
            self._dispatch(pending, number, kind, body, timeout)
            async with asyncio.timeout(timeout):
                return await pending.future
        except TimeoutError:
            return Error(self._note_timeout(pending))
        finally:
            del self._pending[number]
            if pending.item is not None:
                pending.item.cancelled = True

    def _dispatch(
        self,
        pending: records.Pending,
        number: int,
        kind: base.MessageKind,
        body: bytes,
        timeout: float,
    ) -> None:
        if len(body) + _ENVELOPE_SIZE > self._settings.message_size:
            pending.fail(base.PeerFaultKind.REFUSED, False)
            return
        peer = pending.peer
        record = self._records.find(peer.address)

        def seal() -> bytes:
            return self._seal(
                envelope.Role.REQUEST,
                peer.incarnation or record.incarnation,
                number,
                kind.value,
                body,
            )

        pending.item = self._make_item(seal, body, timeout)
        if not self._open(peer.address, record).offer(pending.item):
            pending.fail(base.PeerFaultKind.OVERLOADED, False)

    def _note_timeout(self, pending: records.Pending) -> base.PeerFault:
        """Gives up a connection over which nothing has come back.

        It may have gone silent for good, in either direction.
        """
        if not pending.sent:
            return pending.describe(base.PeerFaultKind.UNREACHABLE, False)
        address = pending.peer.address
        record = self._records.find(address)
        if record.heard_at <= pending.item.sent_at:
            record.missed = True
            self._renew(address, record)
        return pending.describe(base.PeerFaultKind.TIMEOUT, True)

    def send(
        self, peer: base.Peer, kind: base.MessageKind, body: bytes
    ) -> bool:
        """Queues a one-way message; returns false if it was dropped."""
        if len(body) + _ENVELOPE_SIZE > self._settings.message_size:
            return False
        record = self._records.find(peer.address)
        item = self._make_item(
            lambda: self._seal(
                envelope.Role.MESSAGE,
                peer.incarnation or record.incarnation,
                0,
                kind.value,
                body,
            ),
            body,
        )
        return self._open(peer.address, record).offer(item)

    def set_handler(
        self, kind: base.MessageKind, handler: base.Handler
    ) -> None:
        """Lets ``handler`` answer the requests of ``kind``."""
        self._handlers[kind.value] = handler

    def set_receiver(
        self, kind: base.MessageKind, receiver: base.Receiver
    ) -> None:
        """Lets ``receiver`` take the one-way messages of ``kind``."""
        self._receivers[kind.value] = receiver

    async def close(self) -> None:
        """Closes every connection."""
        self._loop.remove_reader(self._reader)
        await tasks.cancel_all({self._sweeping, *self._tasks})
        for record in self._records:
            if record.channel is not None:
                record.channel.close()
        self._socket.close()

    def _seal(
        self,
        role: envelope.Role,
        wanted: ids.Incarnation,
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
                wanted=wanted,
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
        life: float = _MESSAGE_LIFE,
    ) -> channel.Outgoing:
        return channel.Outgoing(
            seal, len(body) + _ENVELOPE_SIZE, self._loop.time() + life
        )

    def _open(self, address: str, record: records.Record) -> channel.Channel:
        """Returns the connection to ``address``, a new one if need be.

        A new one greets first: the answer proves who listens there now, so
        that no message meant for one life of a process reaches another.
        """
        if record.channel is None:
            record.channel = channel.Channel(
                address,
                self._settings,
                self._client_tls,
                lambda found: self._note_lost(record, found),
            )
            self._greet(record)
        return record.channel

    def _greet(self, record: records.Record) -> None:
        record.greeting = number = next(self._numbers)

        def seal() -> bytes:
            reset, record.missed = record.missed, False
            return self._seal(
                envelope.Role.HELLO, _NOBODY, number, reset=reset
            )

        record.channel.greet(self._make_item(seal))

    def _renew(self, address: str, record: records.Record) -> None:
        """Replaces a connection; what was not sent goes over the new one."""
        if record.channel is None:
            return
        left = record.channel.close()
        record.channel = None
        for item in left:
            self._open(address, record).offer(item)

    def _note_lost(
        self, record: records.Record, found: channel.Channel
    ) -> None:
        """Fails what was asked over a connection that broke."""
        found.close()
        if record.channel is not found:
            return
        record.channel = None
        record.missed = record.greeting != 0
        for pending in list(self._pending.values()):
            if pending.peer.address != found.address:
                continue
            if pending.sent:
                pending.fail(base.PeerFaultKind.BROKEN, True)
            else:
                pending.fail(base.PeerFaultKind.UNREACHABLE, False)

    def _check_pipe(self, pipe: pynng.Pipe) -> None:
        """Closes a connection from an unlisted host; in a library thread."""
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
        except RuntimeError:  # The library can't hand over an empty message.
            return b''

    def _receive_one(self, message: bytes) -> None:
        opened = self._sealer.open(message)
        if opened is None or not self._is_listed(opened.address):
            self.refused += 1
        elif opened.role is envelope.Role.HELLO:
            self._welcome(opened)
        elif opened.wanted != self.incarnation:
            if opened.role is envelope.Role.REQUEST:
                self._reject(opened, base.PeerFaultKind.GONE)
        elif opened.role is envelope.Role.WELCOME:
            self._take_welcome(opened)
        else:
            self._take(opened)

    def _welcome(self, opened: envelope.Envelope) -> None:
        record = self._records.find(opened.address)
        if opened.reset:
            self._renew(opened.address, record)
        item = self._make_item(
            lambda: self._seal(
                envelope.Role.WELCOME, opened.incarnation, opened.number
            )
        )
        self._open(opened.address, record).greet(item)

    def _take_welcome(self, opened: envelope.Envelope) -> None:
        record = self._records.find(opened.address)
        if opened.number != record.greeting or record.channel is None:
            return
        record.greeting = 0
        record.adopt(opened.incarnation)
        record.channel.unlock()

    def _take(self, opened: envelope.Envelope) -> None:
        record = self._records.find(opened.address)
        if not record.is_fresh(opened):
            self._refuse_stale(record, opened)
            return
        record.heard_at = self._loop.time()
        match opened.role:
            case envelope.Role.REQUEST:
                self._take_request(record, opened)
            case envelope.Role.MESSAGE:
                receiver = self._receivers.get(opened.kind)
                if receiver is not None:
                    receiver(opened.sender, opened.body)
            case envelope.Role.ANSWER:
                self._settle(opened, Ok(opened.body))
            case envelope.Role.FAULT:
                self._take_fault(record, opened)

    def _refuse_stale(
        self, record: records.Record, opened: envelope.Envelope
    ) -> None:
        """Asks who is there when an earlier life seems to speak.

        A process that started with its clock set back looks like that.
        """
        self.refused += 1
        if opened.incarnation < record.incarnation and not record.greeting:
            self._open(opened.address, record)
            self._greet(record)

    def _take_request(
        self, record: records.Record, opened: envelope.Envelope
    ) -> None:
        handler = self._handlers.get(opened.kind)
        if handler is None:
            self._reject(opened, base.PeerFaultKind.REFUSED)
        elif record.in_progress >= self._settings.requests_at_once:
            self._reject(opened, base.PeerFaultKind.OVERLOADED)
        else:
            record.in_progress += 1
            task = self._loop.create_task(self._run(record, handler, opened))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _run(
        self,
        record: records.Record,
        handler: base.Handler,
        opened: envelope.Envelope,
    ) -> None:
        try:
            body = await handler(opened.sender, opened.body)
        except Exception:
            _LOG.exception('peer=%s kind=%s', opened.sender, opened.kind)
            self._reject(opened, base.PeerFaultKind.BROKEN)
        else:
            self._reply(opened, envelope.Role.ANSWER, body)
        finally:
            record.in_progress -= 1

    def _reject(
        self, opened: envelope.Envelope, kind: base.PeerFaultKind
    ) -> None:
        self._reply(opened, envelope.Role.FAULT, kind.value.encode())

    def _reply(
        self, opened: envelope.Envelope, role: envelope.Role, body: bytes
    ) -> None:
        record = self._records.find(opened.address)
        item = self._make_item(
            lambda: self._seal(
                role, opened.incarnation, opened.number, opened.kind, body
            ),
            body,
        )
        self._open(opened.address, record).offer(item)

    def _take_fault(
        self, record: records.Record, opened: envelope.Envelope
    ) -> None:
        kind = _FAULTS.get(opened.body.decode(), base.PeerFaultKind.REFUSED)
        pending = self._pending.get(opened.number)
        if pending is None:
            return
        if kind is base.PeerFaultKind.GONE:
            self._renew(opened.address, record)
        sent = kind is base.PeerFaultKind.BROKEN
        self._settle(opened, Error(pending.describe(kind, sent)))

    def _settle(
        self,
        opened: envelope.Envelope,
        outcome: Result[bytes, base.PeerFault],
    ) -> None:
        pending = self._pending.get(opened.number)
        if pending is not None and pending.peer.address == opened.address:
            pending.settle(outcome)

    async def _sweep(self) -> None:
        """Closes the connections that have no traffic."""
        idle = self._settings.idle_timeout
        while True:
            await asyncio.sleep(idle / _SWEEPS_PER_TIMEOUT)
            for record in self._records:
                found = record.channel
                if found is None or found.used_at > self._loop.time() - idle:
                    continue
                found.close()
                record.channel = None
