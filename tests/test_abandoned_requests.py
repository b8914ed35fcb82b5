"""Requests that are given up while a link holds up their bytes."""

import asyncio
import socket

import pytest

from waxwingport.http import client

_BODY = bytes(8 * 1024 * 1024)
"""More than the socket buffers of both ends hold together."""


class _StalledTarget:
    """Accepts connections and reads nothing until ``read_all`` is called.

    The rest of a request stays in the sender's socket buffer meanwhile, as
    with a link that is cut.
    """

    def __init__(self):
        self._listener = socket.socket()
        self._listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        self._listener.bind(('127.0.0.1', 0))
        self._listener.listen()
        self._listener.setblocking(False)
        host, port = self._listener.getsockname()
        self.address = f'{host}:{port}'
        self._connection = None

    async def accept(self):
        loop = asyncio.get_running_loop()
        self._connection, _ = await loop.sock_accept(self._listener)

    async def read_all(self):
        """Returns the number of bytes read and whether a reset ended them."""
        loop = asyncio.get_running_loop()
        size = 0
        while True:
            try:
                data = await loop.sock_recv(self._connection, 65536)
            except ConnectionResetError:
                return size, True
            if not data:
                return size, False
            size += len(data)

    def close(self):
        self._listener.close()
        if self._connection is not None:
            self._connection.close()


def _make_request(body):
    return client.Request('POST', '/', (), body)


async def test_cancelled_request_is_not_delivered_after_the_link_returns():
    """Load pattern: a submission ends while a link to an engine is cut.

    Its runs are cancelled, and what the sender's socket still holds of them
    must not reach the engine when the link returns.
    """
    target = _StalledTarget()
    http = client.HttpClient()
    sending = asyncio.create_task(
        http.fetch(target.address, _make_request(_BODY), 30.0)
    )
    await target.accept()
    await asyncio.sleep(0.05)
    sending.cancel()
    await asyncio.wait([sending])
    size, was_reset = await target.read_all()
    assert size < len(_BODY)
    assert was_reset
    target.close()


async def test_request_past_its_timeout_resets_its_connection():
    target = _StalledTarget()
    http = client.HttpClient()
    sending = asyncio.create_task(
        http.fetch(target.address, _make_request(b'text'), 0.1)
    )
    await target.accept()
    outcome = await sending
    assert outcome.is_error()
    _, was_reset = await target.read_all()
    assert was_reset
    target.close()


async def test_response_that_is_closed_early_resets_its_connection():
    """A stream that its caller left ends at once at the engine too."""
    ended = asyncio.get_running_loop().create_future()

    async def serve(reader, writer):
        await reader.readuntil(b'\r\n\r\n')
        writer.write(b'HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\npart')
        try:
            await reader.read()
            ended.set_result(False)
        except ConnectionResetError:
            ended.set_result(True)
        writer.close()

    server = await asyncio.start_server(serve, '127.0.0.1', 0)
    port = server.sockets[0].getsockname()[1]
    http = client.HttpClient()
    opened = await http.open(f'127.0.0.1:{port}', _make_request(b''), 5.0)
    opened.ok.close()
    assert await ended
    server.close()


class _SilencedTarget:
    """Answers requests; ``silence`` stops the connections open until then."""

    def __init__(self):
        self._silent = set()
        self._open = set()

    async def start(self):
        self._server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        host, port = self._server.sockets[0].getsockname()
        self.address = f'{host}:{port}'

    def silence(self):
        self._silent |= self._open

    async def _serve(self, reader, writer):
        self._open.add(writer)
        while True:
            try:
                await reader.readuntil(b'\r\n\r\n')
            except (asyncio.IncompleteReadError, ConnectionResetError):
                break
            await asyncio.sleep(0.02)
            if writer not in self._silent:
                writer.write(b'HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n')
        writer.close()

    def close(self):
        self._server.close()


@pytest.fixture
async def silenced():
    """A client with four idle connections that fell silent, and its target."""
    target = _SilencedTarget()
    await target.start()
    http = client.HttpClient()
    request = client.Request('GET', '/')
    await asyncio.gather(
        *(http.fetch(target.address, request, 1.0) for _ in range(4))
    )
    target.silence()
    yield http, target.address
    http.close()
    target.close()


async def test_silent_connections_cost_one_timeout_together(silenced):
    """Load pattern: all open connections to the log fall silent at once.

    A node that tried its pooled connections one after another would not read
    the log for the time of as many timeouts.
    """
    http, address = silenced
    request = client.Request('GET', '/')
    timed_out = await http.fetch(address, request, 0.6)
    assert timed_out.is_error()
    found = await http.fetch(address, request, 0.6)
    assert found.is_ok()


async def test_silent_connection_is_noticed_by_a_cancelled_request(silenced):
    http, address = silenced
    request = client.Request('GET', '/')
    try:
        async with asyncio.timeout(0.6):
            await http.fetch(address, request, 30.0)
    except TimeoutError:
        pass
    found = await http.fetch(address, request, 0.6)
    assert found.is_ok()
