"""A target over raw sockets that answers each request as told."""

import asyncio
import contextlib
import enum
import socket
import struct


class Way(enum.Enum):
    """How a request is answered."""

    ANSWERS = 'answers'
    CLOSES_AFTER_HEAD = 'closes-after-head'
    EXTRA_ANSWER = 'extra-answer'
    FAILS = 'fails'
    FULL = 'full'
    GARBAGE = 'garbage'
    MOVED = 'moved'
    OTHER_ID = 'other-id'
    RESETS = 'resets'
    SILENT = 'silent'
    UNFRAMED = 'unframed'
    UNFRAMED_RESET = 'unframed-reset'


class RawServer:
    """Counts the requests that it ran; ``ways`` are used up one by one."""

    def __init__(self, *ways):
        self.ways = list(ways)
        self.runs = []
        self.heads = []
        self.left = 0
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
        with contextlib.suppress(asyncio.IncompleteReadError, OSError):
            while await self._take(reader, writer):
                await writer.drain()
        writer.close()

    async def _take(self, reader, writer):
        head = (await reader.readuntil(b'\r\n\r\n')).decode()
        fields = dict(
            line.lower().split(': ', 1) for line in head.split('\r\n')[1:-2]
        )
        body = await reader.readexactly(int(fields.get('content-length', 0)))
        self.heads.append(head)
        way = self.ways.pop(0) if self.ways else Way.ANSWERS
        name = fields['request-id']
        if way not in (Way.FULL, Way.MOVED):
            self.runs.append((name, body))
        return await self._answer(way, name, reader, writer)

    async def _answer(self, way, name, reader, writer):
        if way in ANSWERS:
            writer.write(ANSWERS[way](name))
        if way is Way.SILENT:
            await reader.read()
            self.left += 1
        if way is Way.UNFRAMED_RESET:
            await writer.drain()
            await asyncio.sleep(0.02)
        if way in (Way.RESETS, Way.UNFRAMED_RESET):
            reset(writer)
        return way in KEEPS_CONNECTION


def render(status, name, body, *rows, framed=True):
    lines = [f'HTTP/1.1 {status} X', f'Request-Id: {name}', *rows]
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
    Way.ANSWERS: render_body,
    Way.CLOSES_AFTER_HEAD: lambda name: render_body(name)[:-4],
    Way.EXTRA_ANSWER: lambda name: render_body(name) + render_body('late'),
    Way.FAILS: lambda name: render(500, name, b'failed'),
    Way.FULL: lambda name: render(503, name, b'', 'Not-Executed: 1'),
    Way.GARBAGE: lambda name: b'\x00\xff garbage\r\n\r\n',
    Way.MOVED: lambda name: render(421, name, b''),
    Way.OTHER_ID: lambda name: render_body('other'),
    Way.UNFRAMED: lambda name: render(200, name, b'whole', framed=False),
    Way.UNFRAMED_RESET: lambda name: render(200, name, b'pa', framed=False),
}
KEEPS_CONNECTION = frozenset(
    {
        Way.ANSWERS,
        Way.EXTRA_ANSWER,
        Way.FAILS,
        Way.FULL,
        Way.MOVED,
        Way.OTHER_ID,
    }
)
