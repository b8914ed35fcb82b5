"""An HTTP target on raw sockets that fails at a chosen point."""

import asyncio
import contextlib
import enum
import socket
import struct


class Fault(enum.Enum):
    NONE = 'none'
    HALF_BODY = 'half-body'
    REFUSES = 'refuses'
    RESET_AFTER_BODY = 'reset-after-body'
    RESET_AT_ACCEPT = 'reset-at-accept'
    RESET_BEFORE_BODY = 'reset-before-body'
    RESET_DURING_BODY = 'reset-during-body'
    SILENT = 'silent'


class RawTarget:
    """A target that counts in ``runs`` the requests that arrived complete."""

    def __init__(self, fault=Fault.NONE, answer=b'{"ok": true}'):
        self.fault = fault
        self.answer = answer
        self.delay = 0.0
        self.runs = 0
        self.connections = 0
        self.heads = []
        self.bodies = []
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
        self.connections += 1
        self._writers.add(writer)
        with contextlib.suppress(
            asyncio.IncompleteReadError,
            ConnectionError,
            asyncio.CancelledError,
        ):
            while await self._take_request(reader, writer):
                pass
        writer.close()

    async def _take_request(self, reader, writer):
        if self.fault is Fault.RESET_AT_ACCEPT:
            return self._reset(writer)
        head = await reader.readuntil(b'\r\n\r\n')
        self.heads.append(head)
        length = self._read_length(head)
        if self.fault is Fault.RESET_BEFORE_BODY:
            return self._reset(writer)
        if self.fault is Fault.RESET_DURING_BODY:
            await reader.readexactly(length // 2)
            return self._reset(writer)
        self.bodies.append(await reader.readexactly(length))
        if self.fault is Fault.REFUSES:
            body = b'{"ran": "no", "detail": "full"}'
            self._write(writer, 503, body)
            return True
        self.runs += 1
        if self.fault is Fault.RESET_AFTER_BODY:
            return self._reset(writer)
        await asyncio.sleep(self.delay)
        if self.fault is Fault.SILENT:
            await asyncio.sleep(60)
        if self.fault is Fault.HALF_BODY:
            writer.write(self._head(200, len(self.answer)) + self.answer[:4])
            await writer.drain()
            return self._reset(writer)
        self._write(writer, 200, self.answer)
        return True

    def _read_length(self, head):
        for line in head.split(b'\r\n'):
            name, _, value = line.partition(b':')
            if name.lower() == b'content-length':
                return int(value)
        return 0

    def _head(self, status, length):
        return (
            f'HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n'
            f'Content-Length: {length}\r\n\r\n'
        ).encode()

    def _write(self, writer, status, body):
        writer.write(self._head(status, len(body)) + body)

    def _reset(self, writer):
        raw_socket = writer.get_extra_info('socket')
        raw_socket.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, struct.pack('ii', 1, 0)
        )
        writer.transport.abort()
        return False


def find_closed_address():
    with socket.socket() as raw_socket:
        raw_socket.bind(('127.0.0.1', 0))
        return f'127.0.0.1:{raw_socket.getsockname()[1]}'
