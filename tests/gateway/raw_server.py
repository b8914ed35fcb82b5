"""A target over raw sockets with a chosen behaviour for each request."""

import asyncio
import contextlib
import enum
import socket
import struct


class Behaviour(enum.Enum):
    """How the server reacts to a request."""

    ANSWERS = 'answers'
    BREAKS_OFF = 'breaks-off'
    CLOSES_AFTER_HEAD = 'closes-after-head'
    ENDLESS_BODY = 'endless-body'
    ENDLESS_HEAD = 'endless-head'
    ENDLESS_INTERIM = 'endless-interim'
    ENDLESS_REFUSAL = 'endless-refusal'
    EXTRA_ANSWER = 'extra-answer'
    FAILS = 'fails'
    FULL = 'full'
    GARBAGE = 'garbage'
    MOVED = 'moved'
    OTHER_ID = 'other-id'
    RESETS = 'resets'
    SILENT = 'silent'
    TRICKLES_BODY = 'trickles-body'
    TRICKLES_HEAD = 'trickles-head'
    UNFRAMED = 'unframed'
    UNFRAMED_RESET = 'unframed-reset'


class RawServer:
    """Records the requests that it ran.

    Each request uses up one of ``behaviours``; later ones are answered.
    ``disconnects`` counts clients that left while the server was silent,
    ``open_connections`` those that are connected.  The answers of a server
    that is ``leaving`` say so.
    """

    def __init__(self, *behaviours):
        self.behaviours = list(behaviours)
        self.runs = []
        self.heads = []
        self.disconnects = 0
        self.leaving = False
        self.open_connections = 0
        self.endless_bytes = 0
        self._writers = set()

    async def start(self):
        self._server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f'127.0.0.1:{port}'
        return self

    async def stop(self):
        self._server.close()
        for writer in self._writers:
            writer.close()

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        self.open_connections += 1
        with contextlib.suppress(asyncio.IncompleteReadError, OSError):
            while await self._handle_request(reader, writer):
                await writer.drain()
        self.open_connections -= 1
        writer.close()

    async def _handle_request(self, reader, writer):
        head = (await reader.readuntil(b'\r\n\r\n')).decode()
        fields = dict(
            line.lower().split(': ', 1) for line in head.split('\r\n')[1:-2]
        )
        body = await reader.readexactly(int(fields.get('content-length', 0)))
        self.heads.append(head)
        behaviour = (
            self.behaviours.pop(0) if self.behaviours else Behaviour.ANSWERS
        )
        name = fields['request-id']
        if behaviour not in (Behaviour.FULL, Behaviour.MOVED):
            self.runs.append((name, body))
        return await self._answer(behaviour, name, reader, writer)

    async def _send_without_end(self, behaviour, name, writer):
        start, piece, pause = ENDLESS[behaviour]
        writer.write(start.replace(b'NAME', name.encode()))
        while not writer.is_closing():
            writer.write(piece)
            self.endless_bytes += len(piece)
            await writer.drain()
            await asyncio.sleep(pause)

    async def _answer(self, behaviour, name, reader, writer):
        if behaviour in ANSWERS:
            answer = ANSWERS[behaviour](name)
            if self.leaving:
                answer = answer.replace(
                    b'\r\n', b'\r\nServer-Leaving: 1\r\n', 1
                )
            writer.write(answer)
        if behaviour in ENDLESS:
            await self._send_without_end(behaviour, name, writer)
        if behaviour in (Behaviour.BREAKS_OFF, Behaviour.SILENT):
            # A client that leaves may reset the connection.
            with contextlib.suppress(ConnectionResetError):
                await reader.read()
            self.disconnects += 1
        if behaviour is Behaviour.UNFRAMED_RESET:
            await writer.drain()
            await asyncio.sleep(0.02)
        if behaviour in (Behaviour.RESETS, Behaviour.UNFRAMED_RESET):
            reset(writer)
        return behaviour in KEEPS_CONNECTION


def render(status, name, body, *header_lines, framed=True):
    lines = [f'HTTP/1.1 {status} X', f'Request-Id: {name}', *header_lines]
    if status == 200 or status == 500:
        lines.append(f'Response-Signature: sig-{name}')
    if framed:
        lines.append(f'Content-Length: {len(body)}')
    return '\r\n'.join([*lines, '', '']).encode() + body


def reset(writer):
    found = writer.get_extra_info('socket')
    found.setsockopt(
        socket.SOL_SOCKET, socket.SO_LINGER, struct.pack('ii', 1, 0)
    )
    writer.transport.abort()


def render_body(name, **options):
    return render(200, name, b'body of ' + name.encode(), **options)


ANSWERS = {
    Behaviour.ANSWERS: render_body,
    Behaviour.BREAKS_OFF: lambda name: render_body(name)[:-4],
    Behaviour.CLOSES_AFTER_HEAD: lambda name: render_body(name)[:-4],
    Behaviour.EXTRA_ANSWER: lambda name: (
        render_body(name) + render_body('late')
    ),
    Behaviour.FAILS: lambda name: render(500, name, b'failed'),
    Behaviour.FULL: lambda name: render(503, name, b'', 'Not-Executed: 1'),
    Behaviour.GARBAGE: lambda name: b'\x00\xff garbage\r\n\r\n',
    Behaviour.MOVED: lambda name: render(421, name, b''),
    Behaviour.OTHER_ID: lambda name: render_body('other'),
    Behaviour.UNFRAMED: lambda name: render(200, name, b'whole', framed=False),
    Behaviour.UNFRAMED_RESET: lambda name: render(
        200, name, b'pa', framed=False
    ),
}
ENDLESS_START = (
    b'HTTP/1.1 %s X\r\nRequest-Id: NAME\r\nResponse-Signature: s\r\n%s'
)
ENDLESS = {
    Behaviour.ENDLESS_BODY: (
        ENDLESS_START % (b'200', b'\r\n'),
        b'x' * 65536,
        0.0,
    ),
    Behaviour.ENDLESS_HEAD: (
        ENDLESS_START % (b'200', b''),
        b'X-More: ' + b'x' * 1000 + b'\r\n',
        0.0,
    ),
    Behaviour.ENDLESS_INTERIM: (b'', b'HTTP/1.1 102 X\r\n\r\n', 0.001),
    Behaviour.ENDLESS_REFUSAL: (
        ENDLESS_START
        % (b'503', b'Not-Executed: 1\r\nTransfer-Encoding: chunked\r\n\r\n'),
        b'2000\r\n' + b'x' * 8192 + b'\r\n',
        0.001,
    ),
    Behaviour.TRICKLES_BODY: (
        ENDLESS_START % (b'200', b'Content-Length: 999999\r\n\r\n'),
        b'x',
        0.02,
    ),
    Behaviour.TRICKLES_HEAD: (ENDLESS_START % (b'200', b'X-'), b'x', 0.02),
}
"""Start of the answer, the bytes that then come again and again, and the
seconds between them."""
KEEPS_CONNECTION = frozenset(
    {
        Behaviour.ANSWERS,
        Behaviour.EXTRA_ANSWER,
        Behaviour.FAILS,
        Behaviour.FULL,
        Behaviour.MOVED,
        Behaviour.OTHER_ID,
    }
)
