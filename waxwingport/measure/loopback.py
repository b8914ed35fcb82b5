"""A node on loopback between a lightweight engine and lightweight callers.

Engine and callers share the node's event loop, so they spend only a few
microseconds on each event.  Their own cost is measured without the node and
subtracted.
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
    'LoopbackNode',
    'POOL',
    'PacedEngine',
    'PlainService',
    'SERVICE',
    'StreamingCaller',
]

POOL = ids.PoolName('measured')
SERVICE = ids.ServiceName('measured-service')

_TICK_S = 0.001
"""Time between two time slots of the engine."""
_RESPONSE_HEAD = (
    b'HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n'
    b'Transfer-Encoding: chunked\r\n\r\n'
)
_STREAM_END = b'e\r\ndata: [DONE]\n\n\r\n0\r\n\r\n'
_EVENT = (
    b'data: {"choices":[{"text":"@%.6f;","index":0,"finish_reason":%s}],'
    b'"position":%d,"tokens":%d,"weight_version":3}\n\n'
)
_JSON_RESPONSE = (
    b'HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n'
    b'Content-Length: 12\r\n\r\n{"ok": true}'
)
_LENGTH_PATTERN = re.compile(rb'content-length: (\d+)', re.IGNORECASE)
_TIMESTAMP_PATTERN = re.compile(rb'@([0-9.]+);')


class _EngineConnection(asyncio.Protocol):
    """A connection to the engine; each request on it starts a stream."""

    def __init__(self, engine: 'PacedEngine') -> None:
        self._engine = engine
        self._received = b''
        self.transport: asyncio.Transport | None = None
        self.position = 0
        self.total_tokens = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport

    def connection_lost(self, exc: Exception | None) -> None:
        self._engine.remove(self)

    def data_received(self, data: bytes) -> None:
        self._received += data
        if not _is_complete(self._received):
            return
        head, self._received = self._received, b''
        if b'/v1/completions' not in head:
            self.transport.write(
                b'HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nnull'
            )
            return
        self.position = 0
        self.transport.write(_RESPONSE_HEAD)
        self._engine.add(self)

    def emit(self, now: float, tokens: int, last: bool) -> None:
        """Sends one chunk whose text is the time of sending."""
        finish = b'"length"' if last else b'null'
        event = _EVENT % (now, finish, self.position, tokens)
        self.position += tokens
        data = b'%x\r\n%b\r\n' % (len(event), event)
        self.transport.write(data + _STREAM_END if last else data)


class PacedEngine:
    """Sends a chunk of every stream each ``interval`` seconds.

    The streams are spread over time slots of ``_TICK_S`` seconds, so that
    the chunks leave evenly.
    """

    def __init__(
        self,
        interval: float,
        chunk_tokens: int,
        max_tokens: int,
        rng: random.Random,
    ) -> None:
        self._rng = rng
        self._chunk_tokens = chunk_tokens
        self._max_tokens = max_tokens
        self._slots: list[set[_EngineConnection]] = [
            set() for _ in range(max(1, round(interval / _TICK_S)))
        ]
        self._slot_index = 0
        self._next = 0
        self._timer: asyncio.TimerHandle | None = None
        self._server: asyncio.Server | None = None
        self.address = ''
        self.emitted_tokens = 0

    async def start(self) -> None:
        """Listens on loopback."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: _EngineConnection(self), '127.0.0.1', 0
        )
        port = self._server.sockets[0].getsockname()[1]
        self.address = f'127.0.0.1:{port}'
        self._next_tick = loop.time()
        self._tick()

    def stop(self) -> None:
        """Stops listening and sending."""
        self._timer.cancel()
        self._server.close()

    def add(self, connection: _EngineConnection) -> None:
        """Starts a stream and sends its first chunk at once."""
        now = asyncio.get_running_loop().time()
        # The first answer of each connection has a random length, so that
        # later requests arrive at different times.
        min_tokens = 1 if connection.total_tokens == 0 else self._max_tokens
        connection.total_tokens = self._rng.randint(
            min_tokens, self._max_tokens
        )
        last = self._chunk_tokens >= connection.total_tokens
        connection.emit(now, self._chunk_tokens, last)
        if not last:
            min(self._slots, key=len).add(connection)

    def remove(self, connection: _EngineConnection) -> None:
        """Stops the stream of a closed connection."""
        for slot in self._slots:
            slot.discard(connection)

    def _tick(self) -> None:
        loop = asyncio.get_running_loop()
        now = loop.time()
        while self._next_tick <= now:
            self._next_tick += _TICK_S
            self._slot_index = (self._slot_index + 1) % len(self._slots)
            self._emit_slot(self._slots[self._slot_index], now)
        self._timer = loop.call_at(self._next_tick, self._tick)

    def _emit_slot(self, slot: set[_EngineConnection], now: float) -> None:
        for connection in list(slot):
            last = (
                connection.position + self._chunk_tokens
                >= connection.total_tokens
            )
            connection.emit(now, self._chunk_tokens, last)
            self.emitted_tokens += self._chunk_tokens
            if last:
                slot.discard(connection)


class _JsonResponder(asyncio.Protocol):
    """Answers each complete request with a short JSON body."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = transport
        self._received = b''

    def data_received(self, data: bytes) -> None:
        self._received += data
        if _is_complete(self._received):
            self._received = b''
            self._transport.write(_JSON_RESPONSE)


class PlainService:
    """A plain service that answers at once."""

    def __init__(self) -> None:
        self._server: asyncio.Server | None = None
        self.address = ''

    async def start(self) -> None:
        """Listens on loopback."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(_JsonResponder, '127.0.0.1', 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f'127.0.0.1:{port}'

    def stop(self) -> None:
        """Stops listening."""
        self._server.close()


def _is_complete(data: bytes) -> bool:
    head, separator, body = data.partition(b'\r\n\r\n')
    length = _LENGTH_PATTERN.search(head)
    return bool(separator) and len(body) >= int(length[1] if length else 0)


class StreamingCaller(asyncio.Protocol):
    """Sends streamed completions one after another on one connection.

    ``delays`` collects the seconds from the sending of each chunk by the
    engine to its arrival, ``first_delays`` the seconds from each request to
    its first chunk.
    """

    def __init__(self, body: bytes, delays: list, first_delays: list) -> None:
        self._request = (
            b'POST /v1/completions HTTP/1.1\r\nHost: x\r\n'
            b'Content-Type: application/json\r\n'
            b'Content-Length: %d\r\n\r\n%b' % (len(body), body)
        )
        self._delays = delays
        self._first_delays = first_delays
        self._loop = asyncio.get_running_loop()
        self._sent_at: float | None = None
        self._unparsed = b''
        self.transport: asyncio.Transport | None = None
        self.stopped = False
        self.answers = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Sends the first request."""
        self.transport = transport
        self._send()

    def data_received(self, data: bytes) -> None:
        """Records the delays of chunks; after the last one sends a request."""
        now = self._loop.time()
        data = self._unparsed + data
        timestamps = _TIMESTAMP_PATTERN.findall(data)
        if timestamps and self._sent_at is not None:
            self._first_delays.append(now - self._sent_at)
            self._sent_at = None
        self._delays.extend(
            [now - float(timestamp) for timestamp in timestamps]
        )
        if data.endswith(b'\r\n0\r\n\r\n'):
            self._unparsed = b''
            self.answers += 1
            if not self.stopped:
                self._send()
            return
        self._unparsed = data[data.rfind(b';') + 1 :][-256:]

    def _send(self) -> None:
        self._sent_at = self._loop.time()
        self.transport.write(self._request)


class LoopbackNode:
    """A node with a pool of engines and plain services at given addresses."""

    def __init__(
        self, engines: tuple[str, ...] = (), services: tuple[str, ...] = ()
    ) -> None:
        node_settings = settings.Settings(
            node=settings.NodeSettings(
                name=ids.NodeName('measured-node'),
                data_centre=ids.DataCentre('here'),
                listen='127.0.0.1:0',
                peer_listen='127.0.0.1:0',
            ),
            platform=settings.PlatformSettings('', '', ''),
        )
        self._http = client.HttpClient(node_settings.client)
        external = node.ExternalSystems(
            log=standin_platform.StandInLog(),
            vm_list=standin_platform.StandInVmList(),
            weight_store=standin_platform.StandInWeightStore(),
            targets=adapters.HttpTargetFactory(self._http),
        )
        self.node = node.Node(node_settings, external)
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
        """Address of the node's HTTP server for callers."""
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
