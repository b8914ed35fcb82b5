"""Reads callers' requests within the bounds of a connection table."""

import abc
import asyncio
from collections.abc import Awaitable
from collections.abc import Iterable
import contextlib
import socket

from tornado import httpserver
from tornado import httputil
from tornado import iostream
from tornado import netutil

from waxwingport.intake import account as accounts
from waxwingport.intake import connections
from waxwingport.intake import refusals
from waxwingport import outcomes

__all__ = ['BoundedServer', 'Handler', 'make_status_line']

_READ_BYTES = 16_384
"""Size of one read.  The buffers of a connection grow with it."""
_MAX_DISCARDED_BYTES = 1 << 20
"""Bytes of a refused body that are read: a connection that is closed with
unread bytes is reset, and the caller may miss the refusal."""
_DISCARD_TIMEOUT_S = 0.5
_MAX_LENGTH_DIGITS = 18
"""Python refuses to convert numbers of some thousand digits."""
_UNBOUNDED = 1 << 62
_NO_START = httputil.RequestStartLine('', '', '')
_NO_HEADERS = httputil.HTTPHeaders()
"""Until a head is complete; never changed."""


class Handler(abc.ABC):
    """Answers the requests that a server has read."""

    @abc.abstractmethod
    def check_start(
        self, head: httputil.RequestStartLine, headers: httputil.HTTPHeaders
    ) -> outcomes.Refusal | None:
        """Returns why a request is refused whose head is complete."""

    @abc.abstractmethod
    def handle(self, request: httputil.HTTPServerRequest) -> None:
        """Answers a complete request."""

    @abc.abstractmethod
    def make_refusal(
        self, headers: httputil.HTTPHeaders, refusal: outcomes.Refusal
    ) -> tuple[int, httputil.HTTPHeaders, bytes]:
        """Returns status, header fields and body of a refusal."""


class _Body:
    """A body that is put together at its end.

    One buffer that grows would be moved again and again, which leaves holes
    in the heap as large as the bodies.  Small pieces are joined on arrival,
    since each costs some 50 bytes besides its own.
    """

    def __init__(self) -> None:
        self._pieces: list[bytes] = []
        self._tail = bytearray()
        self.size = 0

    def add(self, piece: bytes) -> None:
        """Adds ``piece`` at the end."""
        is_first = not self.size
        self.size += len(piece)
        # Most bodies are a single piece.
        if is_first or (len(piece) >= _READ_BYTES // 2 and not self._tail):
            self._pieces.append(piece)
            return
        self._tail += piece
        if len(self._tail) >= _READ_BYTES:
            self._pieces.append(bytes(self._tail))
            self._tail.clear()

    def take(self) -> bytes:
        """Returns the body, which is empty from then on."""
        if len(self._pieces) == 1 and not self._tail:
            body = self._pieces[0]
        else:
            body = b''.join((*self._pieces, self._tail))
        self.clear()
        return body

    def clear(self) -> None:
        """Discards the body."""
        self._pieces.clear()
        self._tail.clear()
        self.size = 0


class _RequestReader(httputil.HTTPMessageDelegate):
    """Collects one request; refuses it as soon as that is known."""

    def __init__(
        self,
        server: 'BoundedServer',
        connection: httputil.HTTPConnection,
        stream: connections.CallerStream,
    ) -> None:
        self._server = server
        self._connection = connection
        self._stream = stream
        self._start = _NO_START
        self._headers = _NO_HEADERS
        self._body = _Body()
        self._announced = 0
        self._is_dropped = False
        self._discarded = 0

    def headers_received(
        self,
        start_line: httputil.RequestStartLine | httputil.ResponseStartLine,
        headers: httputil.HTTPHeaders,
    ) -> None:
        """Decides whether the body is read."""
        self._start = start_line
        self._headers = headers
        length = headers.get('Content-Length', '')
        # tornado refuses a length that is no number.
        if length.isascii() and length.isdigit():
            is_absurd = len(length) > _MAX_LENGTH_DIGITS
            self._announced = _UNBOUNDED if is_absurd else int(length)
        self._connection.set_max_body_size(_UNBOUNDED)
        if self._stream.is_dropped:
            self._is_dropped = True
            return
        refusal = self._check_head()
        if refusal is not None:
            self._refuse_unread(refusal)
            return
        if length not in ('', '0') or 'Transfer-Encoding' in headers:
            self._stream.drop_body = self._drop
            self._stream.begin_body(self._announced)

    def _check_head(self) -> outcomes.Refusal | None:
        """Returns why a request is refused before its body is read."""
        refusal = self._server.handler.check_start(self._start, self._headers)
        if refusal is not None:
            return refusal
        if self._announced > self._server.max_body_size:
            return refusals.make_oversize()
        # No other connection is closed for a request without a body, or for
        # a body that is counted already.
        if not self._stream.has_read(
            self._announced
        ) and not self._server.table.make_room(
            self._announced, self._announced, self._stream
        ):
            return refusals.make_overload()
        return None

    def data_received(self, chunk: bytes) -> None:
        """Adds a piece of the body, if there is room for it."""
        if self._is_dropped:
            self._discarded += len(chunk)
            if self._discarded > _MAX_DISCARDED_BYTES:
                self._stream.close()
            return
        size = self._body.size + len(chunk)
        refusal = None
        if size > self._server.max_body_size:
            refusal = refusals.make_oversize()
        elif size > self._announced:
            # A body without a length is counted while it arrives.
            if not self._server.table.make_room(
                len(chunk), size, self._stream
            ):
                refusal = refusals.make_overload()
            else:
                self._stream.share.set(accounts.Kind.BODIES, size)
        if refusal is None:
            self._body.add(chunk)
            return
        self._drop()
        self._refuse_rest(refusal)

    def finish(self) -> None:
        """Hands the complete request over."""
        if self._is_dropped:
            # Otherwise tornado goes on to what the buffer still contains.
            self._connection.detach()
            self._stream.close()
            return
        request = httputil.HTTPServerRequest(
            connection=self._connection,
            start_line=self._start,
            headers=self._headers,
        )
        request.body = self._body.take()
        self._stream.begin_run()
        self._server.handler.handle(request)

    def on_connection_close(self) -> None:
        """Returns the memory of a request that was not read whole."""
        self._drop()

    def _drop(self) -> None:
        self._is_dropped = True
        self._body.clear()
        self._stream.share.set(accounts.Kind.BODIES, 0)

    def _refuse_rest(self, refusal: outcomes.Refusal) -> None:
        """Refuses a request whose body is being read; discards the rest."""
        self._server.table.record_refusal(refusal.reason.value)
        status, fields, body = self._server.handler.make_refusal(
            self._headers, refusal
        )
        fields['Connection'] = 'close'
        self._connection.write_headers(
            make_status_line(status),
            fields,
            body,
        )
        asyncio.get_running_loop().call_later(
            _DISCARD_TIMEOUT_S, self._stream.close
        )

    def _refuse_unread(self, refusal: outcomes.Refusal) -> None:
        self._server.table.record_refusal(refusal.reason.value)
        status, fields, body = self._server.handler.make_refusal(
            self._headers, refusal
        )
        fields['Connection'] = 'close'
        lines = [f'HTTP/1.1 {status} {make_status_line(status).reason}']
        lines += [f'{name}: {value}' for name, value in fields.get_all()]
        head = '\r\n'.join([*lines, '', '']).encode('latin-1')
        self._connection.detach()
        self._server.end_refused(self._stream, head + body)


class BoundedServer(httpserver.HTTPServer):
    """An HTTP server whose connections a table bounds."""

    def initialize(
        self, handler: Handler, table: connections.ConnectionTable
    ) -> None:
        """Creates the server; ``Configurable`` calls it."""
        super().initialize(lambda _: None, chunk_size=_READ_BYTES)
        self.handler = handler
        self.table = table
        self.max_body_size = 1 << 25
        """Bytes of the largest body that is read."""
        self._refused: set[asyncio.Task[None]] = set()

    def add_sockets(self, sockets: Iterable[socket.socket]) -> None:
        """Accepts connections on ``sockets``."""
        for listening in sockets:
            number = listening.fileno()
            self._sockets[number] = listening
            self._handlers[number] = netutil.add_accept_handler(
                listening, self._accept
            )

    def _accept(self, connection: socket.socket, address: tuple) -> None:
        stream = connections.CallerStream(connection, self.table, _READ_BYTES)
        if self.table.add(stream):
            self.handle_stream(stream, address)
        else:
            stream.close()

    def start_request(
        self,
        server_conn: object,
        request_conn: httputil.HTTPConnection,
    ) -> httputil.HTTPMessageDelegate:
        """Returns the reader of a connection's next request."""
        return _RequestReader(self, request_conn, request_conn.stream)

    def on_close(self, server_conn: object) -> None:
        """Removes a connection that has ended."""
        super().on_close(server_conn)
        if server_conn.stream.closed():
            self.table.remove(server_conn.stream)

    async def close_all_connections(self) -> None:
        """Closes all connections at once."""
        for task in self._refused:
            task.cancel()
        await super().close_all_connections()

    def end_refused(
        self, stream: connections.CallerStream, answer: bytes
    ) -> None:
        """Sends ``answer``, discards what still arrives and closes."""
        if stream.closed():
            self.table.remove(stream)
            return
        stream.begin_discard()
        written = stream.write(answer)
        task = asyncio.get_running_loop().create_task(
            self._discard(stream, written)
        )
        self._refused.add(task)
        task.add_done_callback(self._refused.discard)

    async def _discard(
        self, stream: connections.CallerStream, written: Awaitable[None]
    ) -> None:
        discarded = 0
        try:
            with contextlib.suppress(
                iostream.StreamClosedError, OSError, TimeoutError
            ):
                async with asyncio.timeout(_DISCARD_TIMEOUT_S):
                    await written
                    # The table may have closed it since.
                    if stream.closed():
                        return
                    stream.socket.shutdown(socket.SHUT_WR)
                    while discarded < _MAX_DISCARDED_BYTES:
                        data = await stream.read_bytes(
                            _READ_BYTES, partial=True
                        )
                        discarded += len(data)
        finally:
            stream.close()
            self.table.remove(stream)


def make_status_line(status: int) -> httputil.ResponseStartLine:
    """Returns the first line of a response with ``status``."""
    return httputil.ResponseStartLine(
        '', status, httputil.responses.get(status, 'Unknown')
    )
