"""A node on loopback between a cheap engine and cheap callers.

Engine and callers share the node's loop, so they are kept to a few
microseconds for each event: what they cost is measured without the node and
taken off.
"""

import asyncio
import random
import re

from waxwingport.configuration import declarations
from waxwingport.http import client
from waxwingport import ids
from waxwingport import node
from waxwingport.outside import base as platform
from waxwingport import server
from waxwingport import settings
from waxwingport.standins import platform as standin_platform
from waxwingport.targets import adapters

__all__ = [
    'Caller',
    'LoopbackNode',
    'POOL',
    'PacedEngine',
    'PlainService',
    'SERVICE',
]

POOL = ids.PoolName('measured')
SERVICE = ids.ServiceName('measured-service')

_TICK = 0.001
"""Seconds between two turns of the engine."""
_HEAD = (
    b'HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n'
    b'Transfer-Encoding: chunked\r\n\r\n'
)
_END = b'e\r\ndata: [DONE]\n\n\r\n0\r\n\r\n'
_EVENT = (
    b'data: {"choices":[{"text":"@%.6f;","index":0,"finish_reason":%s}],'
    b'"position":%d,"tokens":%d,"weight_version":3}\n\n'
)
_ANSWER = (
    b'HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n'
    b'Content-Length: 12\r\n\r\n{"ok": true}'
)
_LENGTH = re.compile(rb'content-length: (\d+)', re.IGNORECASE)
_STAMP = re.compile(rb'@([0-9.]+);')


class _Stream(asyncio.Protocol):
    """One connection to the engine; streams for each request it brings."""

    def __init__(self, engine: 'PacedEngine') -> None:
        self._engine = engine
        self._received = b''
        self.transport: asyncio.Transport | None = None
        self.position = 0
        self.total = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport

    def connection_lost(self, exc: Exception | None) -> None:
        self._engine.remove(self)

    def data_received(self, data: bytes) -> None:
        self._received += data
        if not _is_whole(self._received):
            return
        head, self._received = self._received, b''
        if b'/v1/completions' not in head:
            self.transport.write(
                b'HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nnull'
            )
            return
        self.position = 0
        self.transport.write(_HEAD)
        self._engine.add(self)

    def emit(self, now: float, tokens: int, last: bool) -> None:
        """Sends one chunk that bears the time of its sending."""
        finish = b'"length"' if last else b'null'
        event = _EVENT % (now, finish, self.position, tokens)
        self.position += tokens
        data = b'%x\r\n%b\r\n' % (len(event), event)
        self.transport.write(data + _END if last else data)


class PacedEngine:
    """Sends a chunk of every stream each ``interval`` seconds."""

    def __init__(
        self,
        interval: float,
        chunk_tokens: int,
        total_tokens: int,
        rng: random.Random,
    ) -> None:
        self._rng = rng
        self._chunk_tokens = chunk_tokens
        self._total = total_tokens
        self._slots: list[set[_Stream]] = [
            set() for _ in range(max(1, round(interval / _TICK)))
        ]
        self._turn = 0
        self._next = 0
        self._timer: asyncio.TimerHandle | None = None
        self._server: asyncio.Server | None = None
        self.address = ''
        self.emitted = 0

    async def start(self) -> None:
        """Listens on loopback."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: _Stream(self), '127.0.0.1', 0
        )
        port = self._server.sockets[0].getsockname()[1]
        self.address = f'127.0.0.1:{port}'
        self._due = loop.time()
        self._tick()

    def stop(self) -> None:
        """Stops listening and sending."""
        self._timer.cancel()
        self._server.close()

    def add(self, stream: _Stream) -> None:
        """Starts a stream; its first chunk leaves at once."""
        now = asyncio.get_running_loop().time()
        # First answers differ in length, so that requests come spread out.
        shortest = 1 if stream.total == 0 else self._total
        stream.total = self._rng.randint(shortest, self._total)
        last = self._chunk_tokens >= stream.total
        stream.emit(now, self._chunk_tokens, last)
        if not last:
            min(self._slots, key=len).add(stream)

    def remove(self, stream: _Stream) -> None:
        """Ends a stream."""
        for slot in self._slots:
            slot.discard(stream)

    def _tick(self) -> None:
        loop = asyncio.get_running_loop()
        now = loop.time()
        while self._due <= now:
            self._due += _TICK
            self._turn = (self._turn + 1) % len(self._slots)
            self._serve(self._slots[self._turn], now)
        self._timer = loop.call_at(self._due, self._tick)

    def _serve(self, slot: set[_Stream], now: float) -> None:
        for stream in list(slot):
            last = stream.position + self._chunk_tokens >= stream.total
            stream.emit(now, self._chunk_tokens, last)
            self.emitted += self._chunk_tokens
            if last:
                slot.discard(stream)


class _Answering(asyncio.Protocol):
    """Answers each whole request with a short JSON body."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = transport
        self._received = b''

    def data_received(self, data: bytes) -> None:
        self._received += data
        if _is_whole(self._received):
            self._received = b''
            self._transport.write(_ANSWER)


class PlainService:
    """A plain service that answers at once."""

    def __init__(self) -> None:
        self._server: asyncio.Server | None = None
        self.address = ''

    async def start(self) -> None:
        """Listens on loopback."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(_Answering, '127.0.0.1', 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f'127.0.0.1:{port}'

    def stop(self) -> None:
        """Stops listening."""
        self._server.close()


def _is_whole(data: bytes) -> bool:
    head, mark, body = data.partition(b'\r\n\r\n')
    length = _LENGTH.search(head)
    return bool(mark) and len(body) >= int(length[1] if length else 0)


class Caller(asyncio.Protocol):
    """Sends one streamed completion after the other on one connection.

    ``delays`` holds the seconds from the engine's sending to the arrival of
    each chunk, ``first`` those from a request to its first chunk.
    """

    def __init__(self, body: bytes, delays: list, first: list) -> None:
        self._request = (
            b'POST /v1/completions HTTP/1.1\r\nHost: x\r\n'
            b'Content-Type: application/json\r\n'
            b'Content-Length: %d\r\n\r\n%b' % (len(body), body)
        )
        self._delays = delays
        self._first = first
        self._loop = asyncio.get_running_loop()
        self._sent_at: float | None = None
        self._tail = b''
        self.transport: asyncio.Transport | None = None
        self.stopped = False
        self.answers = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Sends the first request."""
        self.transport = transport
        self._send()

    def data_received(self, data: bytes) -> None:
        """Notes the chunks that came; sends again after the last one."""
        now = self._loop.time()
        data = self._tail + data
        found = _STAMP.findall(data)
        if found and self._sent_at is not None:
            self._first.append(now - self._sent_at)
            self._sent_at = None
        self._delays.extend([now - float(stamp) for stamp in found])
        if data.endswith(b'\r\n0\r\n\r\n'):
            self._tail = b''
            self.answers += 1
            if not self.stopped:
                self._send()
            return
        self._tail = data[data.rfind(b';') + 1 :][-256:]

    def _send(self) -> None:
        self._sent_at = self._loop.time()
        self.transport.write(self._request)


class LoopbackNode:
    """A node whose targets are given by address."""

    def __init__(
        self, engines: tuple[str, ...] = (), services: tuple[str, ...] = ()
    ) -> None:
        configured = settings.Settings(
            node=settings.NodeSettings(
                name=ids.NodeName('measured-node'),
                data_centre=ids.DataCentre('here'),
                listen='127.0.0.1:0',
                peer_listen='127.0.0.1:0',
            ),
            platform=settings.PlatformSettings('', '', ''),
        )
        self._http = client.HttpClient(configured.client)
        external = node.ExternalSystems(
            log=standin_platform.StandInLog(),
            vm_list=standin_platform.StandInVmList(),
            weight_store=standin_platform.StandInWeightStore(),
            targets=adapters.HttpTargetFactory(self._http),
        )
        self.node = node.Node(configured, external)
        self.node.configuration.apply(ids.Revision(0), _declare())
        self.node.targets.update(
            [
                *_list_vms(platform.VmKind.ENGINE, engines),
                *_list_vms(platform.VmKind.SERVICE, services),
            ]
        )
        self._server = server.NodeServer(self.node)

    @property
    def address(self) -> str:
        """Where callers reach the node."""
        return self._server.address

    async def stop(self) -> None:
        """Stops the node without a drain delay."""
        await self._server.close()
        await self.node.stop()
        self._http.close()


def _declare() -> declarations.Declarations:
    return declarations.Declarations(
        pools=(declarations.Pool(POOL, 'kind = engine'),),
        services=(declarations.Service(SERVICE, 'kind = service'),),
    )


def _list_vms(
    kind: platform.VmKind, addresses: tuple[str, ...]
) -> list[platform.Vm]:
    return [
        platform.Vm(
            name=f'{kind.value}-{index}',
            kind=kind,
            data_centre=ids.DataCentre('here'),
            address=address,
            labels={},
        )
        for index, address in enumerate(addresses)
    ]
