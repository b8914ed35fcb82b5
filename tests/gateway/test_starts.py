"""A target has to be the start that its entry tells of."""

import asyncio

import msgspec
import pytest

from tests.gateway import raw_server
from tests.gateway import test_node
from tests.gateway import test_streams
from waxwingport.gateway import routes

deployment = test_node.deployment
start_streams = test_streams.start_streams
TEXT = test_streams.make_text(test_streams.EVENTS + 1)


class AskedServer(test_streams.StreamServer):
    """Answers the question when it started with ``report``.

    Closes each connection after one answer.
    """

    def __init__(self, report, **options):
        super().__init__(**options)
        self.report = report
        self.questions = 0
        self.delay = 0.0
        """Time before a stream in seconds."""

    async def _send_events(self, reader, writer, fields):
        await asyncio.sleep(self.delay)
        await super()._send_events(reader, writer, fields)

    async def _serve(self, reader, writer):
        await super()._serve(reader, writer)
        writer.close()

    def answer_report(self, writer):
        self.questions += 1
        writer.write(
            b'HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s'
            % (len(self.report), self.report)
        )


def make_report(**fields):
    return msgspec.json.encode(fields)


def configure(harness):
    harness.configure(
        kind=routes.RouteKind.STREAMING, timeout=5.0, resumable=True
    )


# The entries that the harness writes name this start.
CURRENT = make_report(born=1)


@pytest.mark.parametrize(
    'report', [make_report(born=2), b'garbage', make_report(born='soon')]
)
async def test_a_stream_of_another_start_than_registered_is_forwarded(
    harness, start_streams, report
):
    configure(harness)
    other, current = AskedServer(report), AskedServer(CURRENT)
    await start_streams(other, current)
    harness.targets.find('i1').running = 3
    response = (await harness.call(timeout_ms=4000)).ok
    assert response.body == TEXT
    assert (other.starts, current.starts) == ([0], [0])


async def test_a_stream_of_another_start_that_leaves_is_forwarded(
    harness, start_streams
):
    # Guards against a target that leaves and counts as the start of its entry.
    configure(harness)
    other = AskedServer(make_report(born=2), leaving=True)
    current = AskedServer(CURRENT)
    await start_streams(other, current)
    harness.targets.find('i1').running = 3
    assert (await harness.call(timeout_ms=4000)).ok.body == TEXT
    assert (other.starts, current.starts) == ([0], [0])


async def test_a_stream_of_a_target_that_leaves_is_begun_anew(
    harness, start_streams
):
    # Guards against a question that is withheld from a target that leaves.
    configure(harness)
    leaving, current = AskedServer(CURRENT, leaving=True), AskedServer(CURRENT)
    await start_streams(leaving, current)
    harness.targets.find('i1').running = 3
    assert (await harness.call(timeout_ms=4000)).ok.body == TEXT
    assert (leaving.starts, current.starts) == ([0], [])
    assert leaving.questions == 1


async def test_a_target_of_another_start_gets_further_streams(
    harness, start_streams
):
    configure(harness)
    other, current = AskedServer(make_report(born=2)), AskedServer(CURRENT)
    await start_streams(other, current)
    harness.targets.find('i1').running = 3
    for _ in range(3):
        assert (await harness.call(timeout_ms=4000)).ok.body == TEXT
    assert other.starts == [0]


async def test_a_target_that_does_not_tell_its_start_gets_no_streams(
    harness, start_streams
):
    configure(harness)
    silent = AskedServer(make_report(models=[]))
    await start_streams(silent)
    for _ in range(3):
        response = (await harness.call(timeout_ms=4000)).ok
        assert response.status == 200
    assert silent.questions == 1


async def test_a_stream_is_forwarded_whose_target_was_replaced_meanwhile(
    harness, start_streams
):
    # The entry of the next start may arrive before the first event of it.
    configure(harness)
    other, current = AskedServer(make_report(born=2)), AskedServer(CURRENT)
    other.delay = 0.2
    await start_streams(other, current)
    harness.targets.find('i1').running = 3
    asyncio.get_running_loop().call_later(
        0.1, harness.register, 'i0', other.address, 2
    )
    assert (await harness.call(timeout_ms=4000)).ok.body == TEXT
    assert (other.starts, current.starts) == ([0], [0])


async def test_a_target_of_another_start_gets_no_calls(harness, start_servers):
    # While the log is away its entry may stay as it is for long.
    harness.configure()
    await start_servers([raw_server.Behaviour.ANSWERS])
    harness.targets.find('i0').outdated = True
    assert (await harness.call()).ok.status == 200


async def test_an_item_is_sent_again_and_again_to_an_unconfirmed_target(
    deployment,
):
    deployment.engine.failing_reports = True
    served = await deployment.start_node()
    assert (await deployment.submit(served, 1)).status == 202
    await asyncio.sleep(1.5)
    assert 1 <= len(deployment.engine.runs) <= 2
    deployment.engine.failing_reports = False
    assert len(await deployment.read_all(served, 1)) == 1
