"""A store sends an answer again on a connection that is in use again."""

import asyncio
import struct

import pytest

from waxwingport.http import client
from waxwingport.log import base
from waxwingport import metrics
from waxwingport.platform import store

PARTITION = base.Partition(base.Topic('submissions'), 1)


def frame(body):
    head = f'HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n'
    return head.encode() + body


def render_append(offset):
    return frame(b'{"offset": %d, "end": %d}' % (offset, offset + 1))


def render_page(offset, *records):
    header = struct.pack('>QQ', offset + len(records), 0)
    return frame(
        header
        + b''.join(
            struct.pack('>I', len(record)) + record for record in records
        )
    )


class RepeatingStore:
    """Sends the answers of ``script`` in order, over one connection each.

    Each entry has what is sent before the request is read, and the answer.
    """

    def __init__(self, *script):
        self._script = list(script)
        self.requests = 0
        self.connections = 0

    async def start(self):
        self._server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f'127.0.0.1:{port}'

    async def stop(self):
        self._server.close()

    async def _serve(self, reader, writer):
        self.connections += 1
        try:
            while True:
                early, answer = self._script[0]
                writer.write(early)
                head = await reader.readuntil(b'\r\n\r\n')
                fields = dict(
                    line.lower().split(b': ', 1)
                    for line in head.split(b'\r\n')[1:-2]
                )
                await reader.readexactly(int(fields.get(b'content-length', 0)))
                self.requests += 1
                self._script.pop(0)
                writer.write(answer)
        except (asyncio.IncompleteReadError, ConnectionError, IndexError):
            writer.close()


@pytest.fixture
async def connect():
    """Returns a function that makes a log client of a store with a script."""
    started = []
    http = client.HttpClient()

    async def start(*script):
        served = RepeatingStore(*script)
        await served.start()
        started.append(served)
        settings = store.StoreSettings(served.address)
        return store.StoreLog(http, settings, metrics.Metrics()), served

    yield start
    http.close()
    for served in started:
        await served.stop()


async def append(log, record=b'a'):
    return await log.append(PARTITION, (record,))


@pytest.mark.parametrize('pause', [0.0, 0.05])
async def test_an_append_is_confirmed_by_the_answer_of_another(connect, pause):
    # Guards against an accepted submission that the store never stored.
    log, _ = await connect(
        (b'', render_append(5) + render_append(5)),
        (b'', render_append(6)),
        (b'', render_append(7)),
    )
    assert (await append(log)).ok.offset == 5
    await asyncio.sleep(pause)
    found = await append(log, b'b')
    assert found.is_error() or found.ok.offset == 6


async def test_a_late_second_answer_comes_with_the_next_request(connect):
    # It can't be told from an answer by its time, only by what it says.
    log, _ = await connect(
        (b'', render_append(5)),
        (b'', render_append(5) + render_append(6)),
        (b'', render_append(7)),
    )
    assert (await append(log)).ok.offset == 5
    found = await append(log, b'b')
    assert found.error.kind is base.FaultKind.UNKNOWN
    assert (await append(log, b'b')).ok.offset == 7


async def test_records_are_read_twice_from_a_late_second_page(connect):
    log, _ = await connect(
        (b'', render_page(3, b'a', b'b')),
        (b'', render_page(3, b'a', b'b') + render_page(5, b'c')),
        (b'', render_page(5, b'c')),
    )
    assert (await log.read(PARTITION, 3)).ok.records == (b'a', b'b')
    assert (await log.read(PARTITION, 5)).is_error()
    assert (await log.read(PARTITION, 5)).ok.records == (b'c',)


async def test_bytes_arrive_after_a_connection_was_taken_from_the_pool(
    connect, monkeypatch
):
    # Guards against a check at the pool alone.
    log, served = await connect(
        (b'', render_append(5)), (b'', render_append(6))
    )
    assert (await append(log)).is_ok()
    found = []
    check = client._is_reusable

    def check_early(stream):
        found.append(stream)
        return len(found) == 1 or check(stream) and len(found) != 2

    monkeypatch.setattr(client, '_is_reusable', check_early)
    fault = (await append(log)).error
    assert fault.kind is base.FaultKind.UNREACHABLE
    assert served.requests == 1
