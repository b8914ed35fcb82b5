"""Streams are forwarded as they arrive and resumed at another target."""

import asyncio
import contextlib

import pytest

from tests.gateway import conftest
from waxwingport.fleet import model as fleet
from waxwingport.gateway import dialect
from waxwingport.gateway import routes
from waxwingport.gateway import stream_state
from waxwingport.http import client
from waxwingport import ids
from waxwingport.log import base
from waxwingport.scheduling import timeouts

EVENTS = 6
TRICKLES = {
    'comments': b': still here\n\n',
    'half-event': b'd',
    'endless-event': b'd' * 200,
}
"""What a stalled stream goes on to send, by the name of its end."""


ERROR_EVENT = b'data: error\n\n'
ERROR_HEAD = b'Request-Id: q1\r\nResponse-Signature: s\r\n'
ERROR_ANSWERS = {
    'fails': b'HTTP/1.1 500 X\r\n%sContent-Length: 5\r\n\r\nerror'
    % ERROR_HEAD,
    'fails-in-chunks': b'HTTP/1.1 500 X\r\n%sTransfer-Encoding: chunked\r\n'
    b'\r\n5\r\nerror\r\n0\r\n\r\n' % ERROR_HEAD,
    'fails-without-a-length': b'HTTP/1.1 500 X\r\n%s\r\nerror' % ERROR_HEAD,
    'fails-with-an-event': b'HTTP/1.1 502 X\r\n%s'
    b'Content-Type: text/event-stream\r\n\r\n%s' % (ERROR_HEAD, ERROR_EVENT),
    'head-is-cut': b'HTTP/1.1 500 X\r\nRequest-I',
    'no-answer': b'error\r\n\r\n',
    'error-as-success': b'HTTP/1.1 200 X\r\n%sContent-Length: 5\r\n\r\nerror'
    % ERROR_HEAD,
    'text-as-success': b'HTTP/1.1 200 X\r\n%sContent-Type: text/plain\r\n'
    b'Content-Length: 7\r\n\r\nerror\n\n' % ERROR_HEAD,
    'forbidden': b'HTTP/1.1 403 X\r\n%sContent-Length: 5\r\n\r\nerror'
    % ERROR_HEAD,
}
"""Answers that are no events, by the name of their end."""


class StreamServer:
    """Sends events up to ``stop_after`` and then ends as ``end`` says.

    The head of each says whether it is ``leaving``.  The end ``full`` rejects
    the request; any other unknown name closes the connection.  An answer that
    is not ``framed`` has neither a length nor chunks.
    ``starts`` lists the events after which streams were to be resumed.
    """

    def __init__(
        self,
        stop_after=EVENTS,
        end='whole',
        pause=0.01,
        leaving=False,
        framed=True,
        line_end=b'\n',
        resumes=True,
    ):
        self.framed = framed
        self.resumes = resumes
        """Whether ``Last-Event-Id`` is respected."""
        self.line_end = line_end
        self.stop_after = stop_after
        self.end = end
        self.pause = pause
        self.leaving = leaving
        self.starts = []

    async def start(self):
        self._server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f'127.0.0.1:{port}'
        return self

    async def stop(self):
        self._server.close()

    async def _serve(self, reader, writer):
        head = (await reader.readuntil(b'\r\n\r\n')).decode('latin1').lower()
        if head.startswith('get /report '):
            self.answer_report(writer)
            return
        fields = dict(line.split(': ', 1) for line in head.split('\r\n')[1:-2])
        await reader.readexactly(int(fields.get('content-length', 0)))
        with contextlib.suppress(ConnectionError):
            await self._send_events(reader, writer, fields)

    def answer_report(self, writer):
        writer.write(b'HTTP/1.1 404 X\r\nContent-Length: 0\r\n\r\n')

    async def _send_events(self, reader, writer, fields):
        start = int(fields.get('last-event-id', 0))
        self.starts.append(start)
        if self.end in ERROR_ANSWERS:
            writer.write(ERROR_ANSWERS[self.end])
            writer.close()
            return
        if self.end == 'full':
            writer.write(
                b'HTTP/1.1 503 X\r\nNot-Executed: 1\r\nRequest-Id: q1\r\n'
                b'Content-Length: 0\r\n\r\n'
            )
            return
        writer.write(
            b'HTTP/1.1 200 OK\r\nRequest-Id: q1\r\n'
            b'Response-Signature: sig-%d\r\n'
            b'Content-Type: text/event-stream\r\n%s%s\r\n'
            % (
                start,
                b'Server-Leaving: 1\r\n' if self.leaving else b'',
                b'Transfer-Encoding: chunked\r\n' if self.framed else b'',
            )
        )
        first = start + 1 if self.resumes else 1
        for number in range(first, self.stop_after + 1):
            self._write_chunk(
                writer,
                (b'id: %d\ndata: e%d\n\n' % (number, number)).replace(
                    b'\n', self.line_end
                ),
            )
            await writer.drain()
            await asyncio.sleep(self.pause)
        if self.end == 'whole' and not self.framed:
            writer.close()
        elif self.end == 'whole':
            writer.write(b'0\r\n\r\n')
        elif self.end == 'inside-an-event':
            self._write_chunk(writer, b'id: 4\nda')
            await writer.drain()
            writer.close()
        elif self.end == 'silent':
            await reader.read()
        elif self.end in TRICKLES:
            while not writer.is_closing():
                self._write_chunk(writer, TRICKLES[self.end])
                await writer.drain()
                await asyncio.sleep(0.02)
        else:
            writer.close()

    def _write_chunk(self, writer, data):
        if self.framed:
            data = b'%x\r\n%s\r\n' % (len(data), data)
        writer.write(data)


def make_text(last):
    return b''.join(b'id: %d\ndata: e%d\n\n' % (n, n) for n in range(1, last))


@pytest.fixture
async def start_streams(harness):
    """Returns a function that starts stream servers."""
    started = []

    async def start(*servers):
        for number, server in enumerate(servers):
            await server.start()
            harness.register(f'i{number}', server.address)
            started.append(server)

    yield start
    for server in started:
        await server.stop()


def configure(harness, **options):
    harness.configure(kind=routes.RouteKind.STREAMING, timeout=10.0, **options)


async def test_a_stream_is_forwarded_completely_with_its_signature(
    harness, start_streams
):
    configure(harness)
    await start_streams(StreamServer())
    response = (await harness.call()).ok
    assert response.body == make_text(EVENTS + 1)
    assert dict(response.headers)['Response-Signature'] == 'sig-0'


async def test_events_are_forwarded_as_they_arrive(harness, start_streams):
    configure(harness)
    await start_streams(StreamServer(pause=0.1))
    header_fields = (('Host', 'shop.example'), ('Request-Id', 'q1'))
    request = client.Request('POST', '/a/b', header_fields)
    opened = await harness.caller_http.open(harness.address, request, 5.0)
    async with asyncio.timeout(0.3):
        assert (await opened.ok.read_chunk()).startswith(b'id: 1')
    opened.ok.close()


@pytest.mark.parametrize('end', ['breaks', 'inside-an-event', 'silent'])
async def test_a_resumable_stream_resumes_at_another_target(
    harness, start_streams, end
):
    configure(harness, resumable=True)
    broken = StreamServer(3, end)
    whole = StreamServer()
    await start_streams(broken, whole)
    harness.targets.find('i1').running = 3
    response = (await harness.call(timeout_ms=8000)).ok
    assert response.body == make_text(EVENTS + 1)
    assert dict(response.headers)['Response-Signature'] == 'sig-0'
    assert (broken.starts, whole.starts) == ([0], [3])


async def test_a_part_of_a_stream_ends_as_a_complete_one(
    harness, start_streams
):
    # Guards against an end inside an event that counts as that of the stream.
    configure(harness, resumable=True, max_attempts=2)
    servers = (
        StreamServer(3, 'inside-an-event', framed=False),
        StreamServer(framed=False),
    )
    await start_streams(*servers)
    harness.targets.find('i1').running = 3
    response = (await harness.call(timeout_ms=4000)).ok
    assert response.body == make_text(EVENTS + 1)
    assert [server.starts for server in servers] == [[0], [3]]


@pytest.mark.parametrize('resumable', [False, True])
async def test_a_part_that_no_target_can_continue_ends_as_a_complete_stream(
    harness, start_streams, resumable
):
    # Guards against the same where the caller alone can begin anew.
    configure(harness, resumable=resumable)
    await start_streams(StreamServer(3, 'inside-an-event', framed=False))
    fault = (await harness.call(timeout_ms=1000)).error
    assert fault.sent and 'closed' in fault.detail


@pytest.mark.parametrize('resumable', [False, True])
@pytest.mark.parametrize('line_end', [b'\n', b'\r\n'])
async def test_a_whole_stream_without_a_length_counts_as_broken(
    harness, start_streams, resumable, line_end
):
    # Guards against an end after the last event that counts as a cut.
    configure(harness, resumable=resumable)
    server = StreamServer(framed=False, line_end=line_end)
    await start_streams(server)
    response = (await harness.call(timeout_ms=1000)).ok
    assert response.body == make_text(EVENTS + 1).replace(b'\n', line_end)
    assert server.starts == [0]


@pytest.mark.parametrize('error', ERROR_ANSWERS)
@pytest.mark.parametrize(
    ('end', 'framed'),
    [
        ('breaks-off', True),
        ('inside-an-event', True),
        ('inside-an-event', False),
    ],
)
async def test_the_error_of_a_later_target_is_sent_in_a_stream(
    harness, start_streams, error, end, framed
):
    # Guards against any byte in a stream that is no event which follows.
    configure(harness, resumable=True, max_attempts=3)
    servers = StreamServer(3, end, framed=framed), StreamServer(3, error)
    await start_streams(*servers, StreamServer())
    harness.targets.find('i1').running = 3
    harness.targets.find('i2').running = 5
    response = (await harness.call(timeout_ms=4000)).ok
    assert response.body == make_text(EVENTS + 1)
    assert servers[1].starts == [3]


@pytest.mark.parametrize('error', ERROR_ANSWERS)
async def test_a_stream_that_only_errors_follow_ends_as_a_complete_one(
    harness, start_streams, error
):
    # Guards against an error's end that counts as that of the stream.
    configure(harness, resumable=True, max_attempts=2)
    await start_streams(StreamServer(3, 'breaks-off'), StreamServer(3, error))
    harness.targets.find('i1').running = 3
    sent, whole = await read_stream(harness)
    assert sent == make_text(4)
    assert not whole


async def test_events_that_were_sent_before_are_sent_again(
    harness, start_streams
):
    # Guards against a target that begins anew instead of going on.
    configure(harness, resumable=True, max_attempts=3)
    again = StreamServer(resumes=False)
    await start_streams(StreamServer(3, 'breaks-off'), again, StreamServer())
    harness.targets.find('i1').running = 3
    harness.targets.find('i2').running = 5
    response = (await harness.call(timeout_ms=4000)).ok
    assert response.body == make_text(EVENTS + 1)
    assert again.starts == [3]


async def read_stream(harness):
    """Returns what a caller gets of a stream, and whether it was whole."""
    header_fields = (('Host', 'shop.example'), ('Request-Id', 'q1'))
    request = client.Request('POST', '/a/b', header_fields)
    opened = await harness.caller_http.open(harness.address, request, 5.0)
    body = b''
    while isinstance(chunk := await opened.ok.read_chunk(), bytes):
        body += chunk
    return body, chunk is None


async def test_a_broken_stream_that_must_not_resume_ends_with_an_error(
    harness, start_streams
):
    configure(harness)
    broken, other = StreamServer(3, 'breaks'), StreamServer()
    await start_streams(broken, other)
    harness.targets.find('i1').running = 3
    assert (await harness.call()).is_error()
    assert other.starts == []


async def test_a_stream_rejected_by_a_target_starts_at_another(
    harness, start_streams
):
    configure(harness)
    full, whole = StreamServer(end='full'), StreamServer()
    await start_streams(full, whole)
    harness.targets.find('i1').running = 3
    assert (await harness.call()).ok.body == make_text(EVENTS + 1)


async def test_a_stream_that_no_target_accepts_is_refused_as_not_run(
    harness, start_streams
):
    configure(harness)
    await start_streams(StreamServer(end='full'))
    response = (await harness.call()).ok
    assert response.status == 503
    assert float(dict(response.headers)['Retry-After']) > 0


async def test_a_callers_disconnect_cancels_the_targets_stream(
    harness, start_streams
):
    configure(harness)
    server = StreamServer(1, 'silent')
    await start_streams(server)
    call = asyncio.ensure_future(harness.call(timeout_ms=8000))
    await asyncio.sleep(0.1)
    assert harness.targets.find('i0').running == 1
    call.cancel()
    async with asyncio.timeout(0.5):
        while harness.targets.find('i0').running:
            await asyncio.sleep(0.01)


async def call_patiently(harness):
    """Calls with more time than a slow stream takes."""
    header_fields = (
        ('Host', 'shop.example'),
        ('Request-Id', 'q1'),
        ('Deadline-Ms', '8000'),
    )
    request = client.Request('POST', '/a/b', header_fields)
    return await harness.caller_http.fetch(harness.address, request, 10.0)


@pytest.fixture
def short_timeouts(monkeypatch):
    """Makes the time without an event after which streams move on short."""
    monkeypatch.setattr(timeouts, '_MIN_EVENT_TIMEOUT_S', 0.3)


async def test_a_slow_but_sound_stream_is_cut(
    harness, start_streams, short_timeouts
):
    # Guards against a timeout that ends what no other target continues.
    configure(harness, resumable=True, target_time=0.0)
    slow = StreamServer(pause=0.6)
    await start_streams(slow)
    response = (await call_patiently(harness)).ok
    assert response.body == make_text(EVENTS + 1)
    assert slow.starts == [0]


async def test_a_stream_is_cut_by_each_of_several_slow_targets(
    harness, start_streams, short_timeouts
):
    # Guards against a stream that goes from one slow target to the next.
    configure(harness, resumable=True, target_time=0.0, max_attempts=3)
    servers = [StreamServer(pause=0.5) for _ in range(4)]
    await start_streams(*servers)
    response = (await call_patiently(harness)).ok
    assert response.body == make_text(EVENTS + 1)
    assert sum(len(server.starts) for server in servers) <= 3


@pytest.mark.parametrize('end', ['comments', 'half-event'])
async def test_a_stalled_stream_with_a_byte_now_and_then_never_ends(
    harness, start_streams, short_timeouts, end
):
    configure(harness, resumable=True, target_time=0.0)
    stalled, whole = StreamServer(2, end), StreamServer()
    await start_streams(stalled, whole)
    harness.targets.find('i1').running = 3
    response = (await call_patiently(harness)).ok
    assert response.body.endswith(make_text(EVENTS + 1)[-12:])
    assert (stalled.starts, whole.starts) == ([0], [2])


async def test_a_stalled_stream_without_another_target_ends_at_its_deadline(
    harness, start_streams, short_timeouts
):
    configure(harness, resumable=True, target_time=0.0)
    harness.configure(
        version=2, kind=routes.RouteKind.STREAMING, timeout=1.0, resumable=True
    )
    await start_streams(StreamServer(2, 'comments'))
    started_at = asyncio.get_running_loop().time()
    assert (await call_patiently(harness)).is_error()
    assert asyncio.get_running_loop().time() - started_at < 3.0


async def test_an_event_without_an_end_fills_the_memory(
    harness, start_streams, monkeypatch
):
    monkeypatch.setattr(stream_state, '_MAX_EVENT_BYTES', 1000)
    configure(harness, resumable=True)
    endless, whole = StreamServer(2, 'endless-event'), StreamServer()
    await start_streams(endless, whole)
    harness.targets.find('i1').running = 3
    response = (await call_patiently(harness)).ok
    assert response.body == make_text(EVENTS + 1)
    assert (endless.starts, whole.starts) == ([0], [2])


async def test_a_stream_that_no_target_may_begin_holds_up_the_node(
    harness, start_streams
):
    # Without the log a node that has just started can't settle any version.
    harness.log.down = True
    await start_streams(StreamServer())
    configure(harness, resumable=True)
    loop = asyncio.get_running_loop()
    await asyncio.sleep(0.3)
    called_at = loop.time()
    call = asyncio.ensure_future(harness.call())
    while not call.done():
        before = loop.time()
        await asyncio.sleep(0.01)
        assert loop.time() - before < 0.5
    assert call.result().ok.status == 503
    assert loop.time() - called_at < 0.5


class ClosingServer(StreamServer):
    """Closes each connection after one answer."""

    async def _serve(self, reader, writer):
        await super()._serve(reader, writer)
        writer.close()


async def resume(harness, after='3', first_id='q1'):
    """Resumes a stream that this node has begun."""
    header_fields = (
        ('Host', 'shop.example'),
        ('Request-Id', 'q1'),
        ('Last-Event-Id', after),
        ('Resumes', first_id),
    )
    request = client.Request('POST', '/a/b', header_fields, b'x' * 10)
    return (await harness.caller_http.fetch(harness.address, request, 5.0)).ok


@pytest.fixture
async def begun(harness, start_streams):
    """A server of a stream that has begun, and could go on."""
    configure(harness, resumable=True)
    server = ClosingServer()
    await start_streams(server)
    async with asyncio.timeout(2.0):
        while harness.origins.assign(conftest.SERVICE, 'q1') is None:
            await asyncio.sleep(0.01)
    assert (await harness.call()).ok.body == make_text(EVENTS + 1)
    return server


async def test_a_stream_is_resumed_from_its_start(harness, begun):
    assert (await resume(harness)).body == make_text(EVENTS + 1)[-48:]
    assert begun.starts == [0, 3]


async def test_a_full_version_counts_as_one_that_left(harness, begun):
    begun.end = 'full'
    response = await resume(harness)
    assert response.status == 503
    assert b'no-target' in response.body


async def test_a_stream_waits_for_a_version_that_left(harness, begun):
    harness.targets.update(base.KeyedRecord('i0', None))
    response = await resume(harness)
    assert response.status == 503
    assert b'not-resumable' in response.body
    assert float(dict(response.headers)['Retry-After']) < 0.1


@pytest.mark.parametrize('after', ['-1', 'three', '9' * 5000])
async def test_an_unreadable_event_number_reaches_a_target(
    harness, begun, after
):
    assert (await resume(harness, after)).status == 400
    assert begun.starts == [0]


@pytest.mark.parametrize('first_id', ['', 'q\xff', 'q' * 5000])
async def test_an_unknown_first_try_breaks_a_node(harness, begun, first_id):
    # All targets have one version, so that any stream may go on.
    response = await resume(harness, first_id=first_id)
    assert response.status == 200


async def test_a_stream_goes_on_at_a_service_that_its_route_left(
    harness, begun
):
    other = ids.ServiceName('other')
    harness.configure(
        version=2,
        kind=routes.RouteKind.STREAMING,
        resumable=True,
        shares=(routes.Share(other, 1),),
    )
    response = await resume(harness)
    assert response.status == 503
    assert b'not-resumable' in response.body
    assert begun.starts == [0]


async def test_a_moved_route_hides_where_its_streams_began(harness, begun):
    # Another node would compute the service from the route as it is now.
    harness.configure(
        version=2,
        kind=routes.RouteKind.STREAMING,
        resumable=True,
        shares=(routes.Share(ids.ServiceName('other'), 1),),
    )
    topic = base.Partition(base.Topic('keyed.streams'), 0)
    async with asyncio.timeout(2.0):
        while not harness.log.get_records(topic):
            await asyncio.sleep(0.02)
    assert b'"booking"' in harness.log.get_records(topic)[-1]


async def test_long_ids_fill_the_memory(harness, begun):
    # A node keeps the origin of thousands of streams.
    origin = fleet.Origin(conftest.SERVICE, '')
    for number in range(100):
        call = dialect.Call(
            f'{number:0>9000}', 'POST', '/', '', (), b'', 1.0, None, 'd'
        )
        assert await harness.origins.settle(call, origin)
    assert sum(len(str(key)) for key in harness.origins._known) < 10_000
