"""HTTP/1.1 client that reports whether a failed request may have been sent.

Connections are tornado's ``HTTP1Connection`` on streams that this module
pools.  A request that must not be repeated opens a new connection, since a
reused one may have been closed by the peer and the outcome would be unknown.
A connection that is given up after a time without progress is reset, and the
idle connections to the same address are closed.
"""

import asyncio
import collections
from collections.abc import AsyncIterator
import functools
import socket
import weakref

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
    'Peer',
    'Request',
    'Response',
    'TransportFault',
    'TransportFaultKind',
    'WholeResponse',
]

_CHUNK_BYTES = 65536
"""Largest chunk of a body that tornado passes on."""
_DISCARD_TIMEOUT_S = 0.5
"""Timeout for the rest of a response whose body is not read."""
_READ_BYTES = 8192
"""Size of one read; tornado zeroes a buffer of this size each time."""
_BODILESS_METHODS = ('GET', 'HEAD', 'DELETE', 'OPTIONS')

ClientSettings = messages.ClientSettings
Peer = messages.Peer
Request = messages.Request
TransportFault = messages.TransportFault
TransportFaultKind = messages.TransportFaultKind
WholeResponse = messages.WholeResponse


class Response:
    """A response whose head was received and whose body can be read."""

    def __init__(
        self, exchange: http_exchange.Exchange, connected_at: float
    ) -> None:
        self._exchange = exchange
        self.connected_at = connected_at
        """Loop time before which its connection was opened."""

    @property
    def status(self) -> int:
        """HTTP status code."""
        return self._exchange.status

    @property
    def headers(self) -> httputil.HTTPHeaders:
        """Response headers."""
        return self._exchange.headers

    async def read_chunk(self) -> bytes | TransportFault | None:
        """Returns the next chunk of the body, or ``None`` at its end.

        The type is a union, since creating a ``Result`` for each chunk of a
        stream is too slow.
        """
        return await self._exchange.read_chunk()

    async def iterate_chunks(
        self,
    ) -> AsyncIterator[Result[bytes, TransportFault]]:
        """Yields the chunks of the body; an ``Error`` ends them."""
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
        """Discards the body and returns the connection to the pool.

        The connection is closed if the rest of the body does not arrive soon.
        """
        self._exchange.discard(_DISCARD_TIMEOUT_S)

    def close(self) -> None:
        """Closes the connection unless the response is complete."""
        self._exchange.fail(TransportFaultKind.BROKEN, 'closed by this node')


class HttpClient:
    """Sends requests over pooled connections to targets and the platform."""

    def __init__(self, settings: ClientSettings | None = None) -> None:
        self._settings = settings or ClientSettings()
        self._connector = tcpclient.TCPClient()
        self._idle: dict[
            str, collections.deque[tuple[float, iostream.IOStream]]
        ] = {}
        self._connected_at: weakref.WeakKeyDictionary[
            iostream.IOStream, float
        ] = weakref.WeakKeyDictionary()
        """Loop time at which each connection was open."""
        self._tasks: set[asyncio.Task[None]] = set()
        self._whole_bytes = 0
        """Bytes of the responses that are being read as a whole."""

    async def open(
        self, address: str, request: Request, timeout: float
    ) -> Result[Response, TransportFault]:
        """Sends a request and waits for the head of its response.

        ``address`` is ``ip:port``; ``timeout`` in seconds covers the whole
        exchange, the body included.
        """
        if not (_accepts_requests(request) and _admits(request)):
            return Error(_make_withdrawal(address))
        deadline = asyncio.get_running_loop().time() + timeout
        stream = None if request.fresh else self._pop_idle(address)
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
            request.peer,
        )
        self._start_exchange(address, request, stream, exchange)
        try:
            await exchange.wait_head()
        except asyncio.CancelledError:
            exchange.fail(TransportFaultKind.BROKEN, 'cancelled')
            raise
        if exchange.fault is not None and not exchange.status:
            return Error(exchange.fault)
        return Ok(Response(exchange, self._connected_at[stream]))

    async def fetch(
        self, address: str, request: Request, timeout: float
    ) -> Result[WholeResponse, TransportFault]:
        """Sends a request and returns its complete response."""
        match await self.open(address, request, timeout):
            case Result(tag='ok', ok=response):
                pass
            case Result(error=fault):
                return Error(fault)
        try:
            return await self._read_whole(response)
        finally:
            response.close()

    async def is_refused(self, address: str) -> bool:
        """Returns whether nothing listens at ``ip:port``.

        Opens a connection and closes it.  Waits without a bound for a peer
        that does not answer.
        """
        host, _, port = address.rpartition(':')
        try:
            stream = await self._connector.connect(host, int(port))
        except iostream.StreamClosedError as error:
            return isinstance(error.real_error, ConnectionError)
        except OSError as error:
            return isinstance(error, ConnectionError)
        stream.close()
        return False

    def close_idle(self, address: str) -> None:
        """Closes the idle connections to ``address``."""
        for _, stream in self._idle.pop(address, ()):
            stream.close()

    def close(self) -> None:
        """Closes all connections, also those in use."""
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
            # asyncio.wait_for may swallow a cancellation that arrives
            # together with the connection (Python 3.11).
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
        except (OSError, ValueError) as error:
            # ``ValueError`` tells that the address is malformed.
            return Error(
                TransportFault(
                    TransportFaultKind.CONNECT,
                    f'cannot connect to {address}: {error}',
                    sent=False,
                )
            )
        self._connected_at[stream] = asyncio.get_running_loop().time()
        stream.set_nodelay(True)
        stream.read_chunk_size = _READ_BYTES
        return Ok(stream)

    def _start_exchange(
        self,
        address: str,
        request: Request,
        stream: iostream.IOStream,
        exchange: http_exchange.Exchange,
    ) -> None:
        task = asyncio.get_running_loop().create_task(
            self._run_exchange(address, request, stream, exchange)
        )
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _run_exchange(
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
                chunk_size=_CHUNK_BYTES,
                max_body_size=self._settings.max_body_size,
            ),
        )
        # A late second answer may have arrived since the connection was taken
        # from the pool.
        if not _is_reusable(stream):
            exchange.fail(
                TransportFaultKind.CONNECT,
                f'{address}: closed, or bytes before the request',
                sent=False,
            )
            return
        if not _accepts_requests(request):
            fault = _make_withdrawal(address)
            exchange.fail(fault.kind, fault.detail, fault.sent)
            return
        try:
            self._write_request(connection, address, request)
            reusable = await connection.read_response(exchange)
        except (iostream.StreamClosedError, httputil.HTTPInputError) as error:
            exchange.fail(
                TransportFaultKind.BROKEN, f'{address}: {error or "closed"}'
            )
            return
        finally:
            exchange.fail(TransportFaultKind.BROKEN, f'{address}: closed')
        wants_close = exchange.headers.get('Connection', '').lower() == 'close'
        if (
            reusable
            and not wants_close
            and exchange.fault is None
            and _accepts_requests(request)
        ):
            self._store_idle(address, stream)
        else:
            stream.close()

    def _write_request(
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
        if request.body or request.method not in _BODILESS_METHODS:
            headers['Content-Length'] = str(len(request.body))
        start = httputil.RequestStartLine(request.method, request.path, '')
        if len(request.body) < _CHUNK_BYTES:
            connection.write_headers(start, headers, request.body or None)
        else:
            # tornado copies a body that is sent together with the head.
            connection.write_headers(start, headers)
            connection.write(request.body)
        connection.finish()

    async def _read_whole(
        self, response: Response
    ) -> Result[WholeResponse, TransportFault]:
        parts: list[bytes] = []
        size = 0
        try:
            async for chunk in response.iterate_chunks():
                match chunk:
                    case Result(tag='ok', ok=data):
                        parts.append(data)
                        size += len(data)
                        self._whole_bytes += len(data)
                    case Result(error=fault):
                        return Error(fault)
                if not self._has_room(size):
                    return Error(_make_oversize(size))
        finally:
            self._whole_bytes -= size
        headers = tuple(response.headers.get_all())
        return Ok(WholeResponse(response.status, headers, b''.join(parts)))

    def _has_room(self, size: int) -> bool:
        """Returns whether a response of ``size`` bytes may go on."""
        settings = self._settings
        return (
            size <= settings.max_whole_size
            and self._whole_bytes <= settings.whole_memory
        )

    def _pop_idle(self, address: str) -> iostream.IOStream | None:
        idle = self._idle.get(address)
        earliest = (
            asyncio.get_running_loop().time() - self._settings.idle_timeout
        )
        while idle:
            idle_since, stream = idle.pop()
            if idle_since >= earliest and _is_reusable(stream):
                return stream
            stream.close()
        return None

    def _store_idle(self, address: str, stream: iostream.IOStream) -> None:
        if stream.closed():
            return
        idle = self._idle.setdefault(address, collections.deque())
        idle.append((asyncio.get_running_loop().time(), stream))
        if len(idle) > self._settings.idle_connections:
            idle.popleft()[1].close()


def _accepts_requests(request: Request) -> bool:
    return request.peer is None or request.peer.accepts_requests()


def _admits(request: Request) -> bool:
    return request.peer is None or request.peer.admit()


def _make_withdrawal(address: str) -> TransportFault:
    return TransportFault(
        TransportFaultKind.WITHDRAWN,
        f'{address}: accepts no requests',
        sent=False,
    )


def _make_oversize(size: int) -> TransportFault:
    return TransportFault(
        TransportFaultKind.BROKEN,
        f'response exceeds the memory for it after {size} bytes',
        sent=True,
    )


def _is_reusable(stream: iostream.IOStream) -> bool:
    """Returns whether an idle connection is open and has nothing to read.

    Bytes after the end of a response would be taken for the next response.
    """
    # tornado may have read such bytes with the response and has no public
    # method that tells.
    if stream.closed() or stream._read_buffer_size:
        return False
    try:
        stream.socket.recv(1, socket.MSG_PEEK)
    except BlockingIOError:
        return True
    except OSError:
        return False
    return False
