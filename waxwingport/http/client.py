"""HTTP/1.1 client that knows whether a byte of a request has left.

Connections are tornado's ``HTTP1Connection`` on streams that this module
keeps and reuses.  A request that must not be repeated opens a connection of
its own, because nobody can tell whether a reused one was still alive.  A
connection that falls silent is closed and its idle siblings with it.
"""

import asyncio
import collections
from collections.abc import AsyncIterator
import functools
import socket

from expression import Error
from expression import Ok
from expression import Result
from tornado import http1connection
from tornado import httputil
from tornado import iostream
from tornado import tcpclient

from waxwingport.http import exchange as http_exchange
from waxwingport.http import messages

__all__ = [
    'ClientSettings',
    'HttpClient',
    'Request',
    'Response',
    'TransportFault',
    'TransportFaultKind',
    'WholeResponse',
]

_CHUNK_SIZE = 65536
_REST_TIMEOUT = 0.5
"""Seconds for the end of a response that nobody reads any more."""
_READ_SIZE = 8192
"""Bytes of one read: tornado clears a buffer of this size for each."""
_BODILESS = ('GET', 'HEAD', 'DELETE', 'OPTIONS')

ClientSettings = messages.ClientSettings
Request = messages.Request
TransportFault = messages.TransportFault
TransportFaultKind = messages.TransportFaultKind
WholeResponse = messages.WholeResponse


class Response:
    """A response whose head has come and whose body can be read."""

    def __init__(self, exchange: http_exchange.Exchange) -> None:
        self._exchange = exchange

    @property
    def status(self) -> int:
        """HTTP status code."""
        return self._exchange.status

    @property
    def headers(self) -> httputil.HTTPHeaders:
        """Response headers."""
        return self._exchange.headers

    async def read_chunk(self) -> bytes | TransportFault | None:
        """Returns the next piece of the body, or ``None`` at its end.

        No ``Result``: one for each piece of a stream costs too much.
        """
        return await self._exchange.read_chunk()

    async def iterate_chunks(
        self,
    ) -> AsyncIterator[Result[bytes, TransportFault]]:
        """Yields the pieces of the body; an ``Error`` is the last."""
        while True:
            match await self._exchange.read_chunk():
                case None:
                    return
                case bytes() as data:
                    yield Ok(data)
                case fault:
                    yield Error(fault)
                    return

    def release(self) -> None:
        """Keeps the connection for reuse if what is left comes at once."""
        self._exchange.discard(_REST_TIMEOUT)

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
        exchange = http_exchange.Exchange(
            stream,
            self._settings,
            deadline,
            functools.partial(self.close_idle, address),
        )
        self._start(address, request, stream, exchange)
        try:
            await exchange.wait_head()
        except asyncio.CancelledError:
            exchange.fail(TransportFaultKind.BROKEN, 'cancelled')
            raise
        if exchange.fault is not None and not exchange.status:
            return Error(exchange.fault)
        return Ok(Response(exchange))

    async def fetch(
        self, address: str, request: Request, timeout: float
    ) -> Result[WholeResponse, TransportFault]:
        """Sends a request and returns its whole response."""
        match await self.open(address, request, timeout):
            case Result(tag='ok', ok=response):
                pass
            case Result(error=fault):
                return Error(fault)
        try:
            return await _read_whole(response)
        finally:
            response.close()

    def close_idle(self, address: str) -> None:
        """Closes the idle connections to ``address``."""
        for _, stream in self._idle.pop(address, ()):
            stream.close()

    def close(self) -> None:
        """Closes every connection, those in use as well."""
        for address in list(self._idle):
            self.close_idle(address)
        for task in list(self._tasks):
            task.cancel()

    async def _connect(
        self, address: str, timeout: float
    ) -> Result[iostream.IOStream, TransportFault]:
        host, _, port = address.rpartition(':')
        limit = min(timeout, self._settings.connect_timeout)
        try:
            # wait_for would swallow a cancellation that comes together with
            # the connection (Python 3.11).
            async with asyncio.timeout(max(limit, 0.0)):
                stream = await self._connector.connect(host, int(port))
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
        stream.read_chunk_size = _READ_SIZE
        return Ok(stream)

    def _start(
        self,
        address: str,
        request: Request,
        stream: iostream.IOStream,
        exchange: http_exchange.Exchange,
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
        exchange: http_exchange.Exchange,
    ) -> None:
        connection = http1connection.HTTP1Connection(
            stream,
            True,
            http1connection.HTTP1ConnectionParameters(
                chunk_size=_CHUNK_SIZE,
                max_body_size=self._settings.max_body_size,
            ),
        )
        if stream.closed():
            exchange.fail(
                TransportFaultKind.CONNECT,
                f'{address}: closed before the request',
                sent=False,
            )
            return
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
        if 'Host' not in headers:
            headers['Host'] = address
        if request.body or request.method not in _BODILESS:
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
            if since >= oldest and _is_quiet(stream):
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


def _is_quiet(stream: iostream.IOStream) -> bool:
    """Returns whether an idle connection is open and has nothing to read.

    Bytes that came after the end of a response belong to no request.
    """
    # tornado may have read them along with the response; it has no public
    # way to tell.
    if stream.closed() or stream._read_buffer_size:
        return False
    try:
        stream.socket.recv(1, socket.MSG_PEEK)
    except BlockingIOError:
        return True
    except OSError:
        return False
    return False


async def _read_whole(
    response: Response,
) -> Result[WholeResponse, TransportFault]:
    parts: list[bytes] = []
    async for piece in response.iterate_chunks():
        match piece:
            case Result(tag='ok', ok=data):
                parts.append(data)
            case Result(error=fault):
                return Error(fault)
    headers = tuple(response.headers.get_all())
    return Ok(WholeResponse(response.status, headers, b''.join(parts)))
