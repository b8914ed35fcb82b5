"""HTTP/1.1 client that knows whether a byte of a request has left.

Connections are tornado's ``HTTP1Connection`` on streams that this module
keeps and reuses.  A request that must not be repeated opens a connection of
its own, because nobody can tell whether a reused one was still alive.  A
connection that falls silent is closed and its idle siblings with it.
"""

import asyncio
import collections
from collections.abc import AsyncIterator
import enum

from expression import Error
from expression import Ok
from expression import Result
import msgspec
from tornado import http1connection
from tornado import httputil
from tornado import iostream
from tornado import tcpclient

__all__ = [
    'ClientSettings',
    'HttpClient',
    'Request',
    'Response',
    'TransportFault',
    'TransportFaultKind',
    'WholeResponse',
]

_MIB = 1024 * 1024
_CHUNK_SIZE = 65536


class ClientSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Limits of outgoing connections; seconds and bytes."""

    connect_timeout: float = 1.0
    progress_timeout: float = 15.0
    idle_timeout: float = 30.0
    idle_connections: int = 64
    buffer_size: int = 1 * _MIB
    max_body_size: int = 256 * _MIB


class TransportFaultKind(enum.Enum):
    """Why no whole response came."""

    BROKEN = 'broken'
    CONNECT = 'connect'
    SILENT = 'silent'
    TIMEOUT = 'timeout'


class TransportFault(msgspec.Struct, frozen=True):
    """A failed exchange.

    ``sent`` is false only when no byte of the request can have left.
    """

    kind: TransportFaultKind
    detail: str
    sent: bool


class Request(msgspec.Struct, frozen=True):
    """A request; ``fresh`` asks for a connection of its own."""

    method: str
    path: str
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b''
    fresh: bool = False


class WholeResponse(msgspec.Struct, frozen=True):
    """A response that came whole."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


class _Exchange(httputil.HTTPMessageDelegate):
    """One request and its response on one connection."""

    def __init__(
        self,
        stream: iostream.IOStream,
        settings: ClientSettings,
        deadline: float,
    ) -> None:
        self._stream = stream
        self._settings = settings
        self._deadline = deadline
        self._loop = asyncio.get_running_loop()
        self._chunks: collections.deque[bytes] = collections.deque()
        self._buffered = 0
        self._wake: asyncio.Future[None] | None = None
        self._room: asyncio.Future[None] | None = None
        self._last_progress = self._loop.time()
        self._timer: asyncio.TimerHandle | None = None
        self.status = 0
        self.headers = httputil.HTTPHeaders()
        self.fault: TransportFault | None = None
        self.done = False
        self._arm_timer()

    def headers_received(
        self,
        start_line: httputil.RequestStartLine | httputil.ResponseStartLine,
        headers: httputil.HTTPHeaders,
    ) -> None:
        self._note_progress()
        if isinstance(start_line, httputil.ResponseStartLine):
            if start_line.code < 200:
                return
            self.status = start_line.code
            self.headers = headers
        self._wake_reader()

    def data_received(self, chunk: bytes) -> asyncio.Future[None] | None:
        self._note_progress()
        self._chunks.append(chunk)
        self._buffered += len(chunk)
        self._wake_reader()
        if self._buffered <= self._settings.buffer_size:
            return None
        self._room = self._loop.create_future()
        return self._room

    def finish(self) -> None:
        self._end()

    def on_connection_close(self) -> None:
        self.fail(TransportFaultKind.BROKEN, 'connection closed early')

    def fail(self, kind: TransportFaultKind, detail: str) -> None:
        """Ends the exchange with a fault and closes the connection."""
        if self.done:
            return
        self.fault = TransportFault(kind, detail, sent=True)
        self._end()
        self._stream.close()

    async def wait_head(self) -> None:
        """Waits until the status has come or the exchange has ended."""
        while not self.status and not self.done:
            await self._wait()

    async def read(self) -> Result[bytes | None, TransportFault]:
        """Returns the next piece of the body, or ``None`` at its end."""
        while True:
            if self._chunks:
                return Ok(self._take())
            if self.fault is not None:
                return Error(self.fault)
            if self.done:
                return Ok(None)
            await self._wait()

    def _take(self) -> bytes:
        data = b''.join(self._chunks)
        self._chunks.clear()
        self._buffered = 0
        if self._room is not None:
            self._note_progress()
            if not self._room.done():
                self._room.set_result(None)
            self._room = None
        return data

    async def _wait(self) -> None:
        self._wake = self._loop.create_future()
        try:
            await self._wake
        finally:
            self._wake = None

    def _wake_reader(self) -> None:
        if self._wake is not None and not self._wake.done():
            self._wake.set_result(None)

    def _end(self) -> None:
        self.done = True
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if self._room is not None and not self._room.done():
            self._room.set_result(None)
        self._wake_reader()

    def _note_progress(self) -> None:
        self._last_progress = self._loop.time()

    def _arm_timer(self) -> None:
        silence = self._last_progress + self._settings.progress_timeout
        self._timer = self._loop.call_at(
            min(silence, self._deadline), self._check_time
        )

    def _check_time(self) -> None:
        now = self._loop.time()
        silent = now - self._last_progress
        if now >= self._deadline:
            self.fail(TransportFaultKind.TIMEOUT, 'deadline passed')
        elif self._room is not None:
            # The reader is slow, not the connection.
            self._note_progress()
            self._arm_timer()
        elif silent >= self._settings.progress_timeout:
            self.fail(TransportFaultKind.SILENT, f'no byte for {silent:.1f} s')
        else:
            self._arm_timer()


class Response:
    """A response whose head has come and whose body can be read."""

    def __init__(self, exchange: _Exchange) -> None:
        self._exchange = exchange

    @property
    def status(self) -> int:
        """HTTP status code."""
        return self._exchange.status

    @property
    def headers(self) -> httputil.HTTPHeaders:
        """Response headers."""
        return self._exchange.headers

    async def read(self) -> Result[bytes | None, TransportFault]:
        """Returns the next piece of the body, or ``None`` at its end."""
        return await self._exchange.read()

    async def chunks(self) -> AsyncIterator[Result[bytes, TransportFault]]:
        """Yields the pieces of the body; an ``Error`` is the last."""
        while True:
            match await self._exchange.read():
                case Result(tag='ok', ok=None):
                    return
                case Result(tag='ok', ok=data):
                    yield Ok(data)
                case Result(error=fault):
                    yield Error(fault)
                    return

    def close(self) -> None:
        """Closes the connection unless the response has come whole."""
        self._exchange.fail(TransportFaultKind.BROKEN, 'closed by this side')


class HttpClient:
    """Keeps connections to targets and the platform."""

    def __init__(self, settings: ClientSettings | None = None) -> None:
        self._settings = settings or ClientSettings()
        self._connector = tcpclient.TCPClient()
        self._idle: dict[
            str, collections.deque[tuple[float, iostream.IOStream]]
        ] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    async def open(
        self, address: str, request: Request, timeout: float
    ) -> Result[Response, TransportFault]:
        """Sends a request and waits for the head of its response.

        ``address`` is ``ip:port``; ``timeout`` in seconds covers the whole
        exchange, the body included.
        """
        deadline = asyncio.get_running_loop().time() + timeout
        stream = None if request.fresh else self._take_idle(address)
        if stream is None:
            match await self._connect(address, timeout):
                case Result(tag='ok', ok=stream):
                    pass
                case Result(error=fault):
                    return Error(fault)
        exchange = _Exchange(stream, self._settings, deadline)
        self._start(address, request, stream, exchange)
        try:
            await exchange.wait_head()
        except asyncio.CancelledError:
            exchange.fail(TransportFaultKind.BROKEN, 'cancelled')
            raise
        if exchange.fault is not None and not exchange.status:
            if exchange.fault.kind is TransportFaultKind.SILENT:
                self.discard_idle(address)
            return Error(exchange.fault)
        return Ok(Response(exchange))

    async def fetch(
        self, address: str, request: Request, timeout: float
    ) -> Result[WholeResponse, TransportFault]:
        """Sends a request and returns its whole response."""
        match await self.open(address, request, timeout):
            case Result(tag='ok', ok=response):
                return await _read_whole(response)
            case Result(error=fault):
                return Error(fault)

    def discard_idle(self, address: str) -> None:
        """Closes the idle connections to ``address``."""
        for _, stream in self._idle.pop(address, ()):
            stream.close()

    def close(self) -> None:
        """Closes every connection, those in use as well."""
        for address in list(self._idle):
            self.discard_idle(address)
        for task in list(self._tasks):
            task.cancel()

    async def _connect(
        self, address: str, timeout: float
    ) -> Result[iostream.IOStream, TransportFault]:
        host, _, port = address.rpartition(':')
        limit = min(timeout, self._settings.connect_timeout)
        try:
            stream = await asyncio.wait_for(
                self._connector.connect(host, int(port)), max(limit, 0.0)
            )
        except TimeoutError:
            return Error(
                TransportFault(
                    TransportFaultKind.CONNECT,
                    f'no connection to {address} within {limit:.3f} s',
                    sent=False,
                )
            )
        except OSError as error:
            return Error(
                TransportFault(
                    TransportFaultKind.CONNECT,
                    f'cannot connect to {address}: {error}',
                    sent=False,
                )
            )
        stream.set_nodelay(True)
        return Ok(stream)

    def _start(
        self,
        address: str,
        request: Request,
        stream: iostream.IOStream,
        exchange: _Exchange,
    ) -> None:
        task = asyncio.get_running_loop().create_task(
            self._run(address, request, stream, exchange)
        )
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _run(
        self,
        address: str,
        request: Request,
        stream: iostream.IOStream,
        exchange: _Exchange,
    ) -> None:
        connection = http1connection.HTTP1Connection(
            stream,
            True,
            http1connection.HTTP1ConnectionParameters(
                chunk_size=_CHUNK_SIZE,
                max_body_size=self._settings.max_body_size,
            ),
        )
        try:
            self._write(connection, address, request)
            reusable = await connection.read_response(exchange)
        except (iostream.StreamClosedError, httputil.HTTPInputError) as error:
            exchange.fail(
                TransportFaultKind.BROKEN, f'{address}: {error or "closed"}'
            )
            return
        finally:
            exchange.fail(TransportFaultKind.BROKEN, f'{address}: closed')
        wants_close = exchange.headers.get('Connection', '').lower() == 'close'
        if reusable and not wants_close and exchange.fault is None:
            self._keep_idle(address, stream)
        else:
            stream.close()

    def _write(
        self,
        connection: http1connection.HTTP1Connection,
        address: str,
        request: Request,
    ) -> None:
        headers = httputil.HTTPHeaders()
        for name, value in request.headers:
            headers.add(name, value)
        headers['Host'] = address
        if request.body or request.method not in ('GET', 'HEAD', 'DELETE'):
            headers['Content-Length'] = str(len(request.body))
        start = httputil.RequestStartLine(request.method, request.path, '')
        connection.write_headers(start, headers, request.body or None)
        connection.finish()

    def _take_idle(self, address: str) -> iostream.IOStream | None:
        idle = self._idle.get(address)
        oldest = (
            asyncio.get_running_loop().time() - self._settings.idle_timeout
        )
        while idle:
            since, stream = idle.pop()
            if since >= oldest and not stream.closed():
                return stream
            stream.close()
        return None

    def _keep_idle(self, address: str, stream: iostream.IOStream) -> None:
        if stream.closed():
            return
        idle = self._idle.setdefault(address, collections.deque())
        idle.append((asyncio.get_running_loop().time(), stream))
        if len(idle) > self._settings.idle_connections:
            idle.popleft()[1].close()


async def _read_whole(
    response: Response,
) -> Result[WholeResponse, TransportFault]:
    parts: list[bytes] = []
    async for piece in response.chunks():
        match piece:
            case Result(tag='ok', ok=data):
                parts.append(data)
            case Result(error=fault):
                return Error(fault)
    headers = tuple(response.headers.get_all())
    return Ok(WholeResponse(response.status, headers, b''.join(parts)))
