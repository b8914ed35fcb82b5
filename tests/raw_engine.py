"""An engine on raw sockets whose streams fail at a chosen chunk."""

import asyncio
import contextlib
import enum
import json

from tests import raw_target

TOTAL = 12
STEP = 2


class StreamFault(enum.Enum):
    CONNECTION_SILENT = 'connection-silent'
    """The connection sends no more data; new connections work."""
    DONE_EARLY = 'done-early'
    ENGINE_SILENT = 'engine-silent'
    """No connection sends any more data."""
    ERROR_500 = 'error-500'
    GAP = 'gap'
    GARBAGE = 'garbage'
    NONE = 'none'
    REPEATS = 'repeats'
    RESET = 'reset'


def write_text(start, end):
    return ''.join(f't{row} ' for row in range(start, end))


class RawEngine(raw_target.RawTarget):
    """Streams ``TOTAL`` tokens; fails ``failures`` streams at ``position``."""

    def __init__(self, fault=StreamFault.NONE, position=4, failures=1):
        super().__init__()
        self.stream_fault = fault
        self.position = position
        self.failures = failures
        self.version = 1
        self.software = ''
        self.cancels = []
        self.starts = []
        self.parameters = []
        self.dropped = 0
        self.endless = False
        self.padding = ''

    async def _take_request(self, reader, writer):
        head = await reader.readuntil(b'\r\n\r\n')
        body = await reader.readexactly(self._read_length(head))
        path = head.split(b' ')[1].decode()
        if path.startswith('/v1/streams/'):
            if self._is_silent():
                await asyncio.sleep(60)
            self.cancels.append(path.split('/')[3])
            self._write(writer, 200, b'null')
            return True
        self.runs += 1
        return await self._stream(reader, writer, json.loads(body))

    def _is_silent(self):
        return self.stream_fault is StreamFault.ENGINE_SILENT and self.starts

    async def _stream(self, reader, writer, body):
        start = body['resume_position']
        self.starts.append(start)
        self.parameters.append(body['parameters'])
        assert body['resume_text'] == write_text(0, start)
        fault = self.stream_fault
        if self.failures <= 0 and fault is not StreamFault.ENGINE_SILENT:
            fault = StreamFault.NONE
        self.failures -= 1
        if fault is StreamFault.ERROR_500:
            self._write(writer, 500, b'{}')
            return True
        writer.write(
            b'HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n'
            b'Transfer-Encoding: chunked\r\n\r\n'
        )
        position = start
        while position < TOTAL or self.endless:
            if fault is not StreamFault.NONE and position >= self.position:
                if not await self._fail(fault, writer, position):
                    return False
                fault = StreamFault.NONE
            self._send(writer, position)
            position += STEP
            if self.endless:
                await self._pause(writer)
        self._send_raw(writer, b'data: [DONE]\n\n')
        writer.write(b'0\r\n\r\n')
        return True

    async def _pause(self, writer):
        try:
            await writer.drain()
            await asyncio.sleep(0)
        except ConnectionError:
            self.dropped += 1
            raise

    async def _fail(self, fault, writer, position):
        match fault:
            case StreamFault.RESET:
                await writer.drain()
                # A reset discards data that the client has not read yet.
                await asyncio.sleep(0.05)
                return self._reset(writer)
            case StreamFault.CONNECTION_SILENT | StreamFault.ENGINE_SILENT:
                await writer.drain()
                await asyncio.sleep(60)
            case StreamFault.GAP:
                self._send(writer, position + STEP)
                await writer.drain()
                await asyncio.sleep(0.2)
                return False
            case StreamFault.REPEATS:
                for row in range(0, position, STEP):
                    self._send(writer, row)
            case StreamFault.GARBAGE:
                self._send_raw(writer, b'data: {"choices": 7}\n\n')
                await writer.drain()
                return False
            case StreamFault.DONE_EARLY:
                self._send_raw(writer, b'data: [DONE]\n\n')
                writer.write(b'0\r\n\r\n')
                await writer.drain()
                return False
        return True

    def _send(self, writer, position):
        last = position + STEP >= TOTAL and not self.endless
        event = {
            'choices': [
                {
                    'text': write_text(position, position + STEP)
                    + self.padding,
                    'index': 0,
                    'finish_reason': 'length' if last else None,
                }
            ],
            'position': position,
            'tokens': STEP,
            'weight_version': self.version,
            'software': self.software,
        }
        data = b'data: ' + json.dumps(event).encode() + b'\n\n'
        with contextlib.suppress(ConnectionError):
            self._send_raw(writer, data)

    def _send_raw(self, writer, data):
        writer.write(f'{len(data):x}\r\n'.encode() + data + b'\r\n')
