"""Contract tests of the platform's log and VM list.

They run on the stand-ins and on the HTTP clients.
"""

import asyncio

from expression import Result
import pytest
from tornado import web

from tests.soak import proxy
from waxwingport.http import client
from waxwingport import ids
from waxwingport.outside import adapters
from waxwingport.outside import base
from waxwingport.standins import platform as standins
from waxwingport.standins import servers

STREAM = ids.StreamName('s')
KINDS = base.LogFaultKind
CHANGE_TIME_S = 3.0
"""Time in which a change of the configuration has to be in force."""


@pytest.fixture
async def http():
    found = client.HttpClient()
    yield found
    found.close()


@pytest.fixture
def standin():
    return standins.StandInLog(
        standins.StandInLogSettings(appends_per_second=50, delay=0.0)
    )


@pytest.fixture(params=['stand-in', 'http'])
async def log(request, standin, http):
    if request.param == 'stand-in':
        yield standin
        return
    server = servers.serve_log(standin)
    yield adapters.HttpLog(http, server.address)
    await server.stop()


@pytest.fixture(params=['stand-in', 'http'])
async def vm_lists(request, http):
    standin = standins.StandInVmList()
    if request.param == 'stand-in':
        yield standin, standin
        return
    server = servers.serve_vm_list(standin)
    yield adapters.HttpVmList(http, server.address), standin
    await server.stop()


def get_fault(outcome):
    assert outcome.is_error()
    return outcome.error


async def fill(log, count):
    for index in range(count):
        assert (await log.append(STREAM, b'%d' % index)).ok == index


async def test_reads_what_was_appended(log):
    await fill(log, 5)
    page = (await log.read(STREAM, 1, limit=3)).ok
    assert [(record.offset, record.body) for record in page.records] == [
        (1, b'1'),
        (2, b'2'),
        (3, b'3'),
    ]
    assert (page.oldest, page.next, page.end) == (0, 4, 5)


async def test_streams_are_independent(log):
    await fill(log, 2)
    page = (await log.read(ids.StreamName('other'), 0)).ok
    assert page.records == () and page.end == 0


@pytest.mark.parametrize('offset', [2, 7])
async def test_read_at_or_beyond_the_end_is_empty(log, offset):
    await fill(log, 2)
    page = (await log.read(STREAM, offset)).ok
    assert (page.records, page.next, page.end) == ((), offset, 2)


async def test_long_poll_returns_the_first_record(log):
    waiting = asyncio.create_task(log.read(STREAM, 0, wait=5.0))
    await asyncio.sleep(0.02)
    await fill(log, 1)
    assert len((await waiting).ok.records) == 1


async def test_long_poll_returns_an_empty_page_at_its_end(log):
    assert (await log.read(STREAM, 0, wait=0.05)).ok.records == ()


def take_down(standin):
    standin.down = True


def lose_answer(standin):
    standin.lost_answers = 1


def exhaust(standin):
    standin.settings = standins.StandInLogSettings(appends_per_second=0)


@pytest.mark.parametrize(
    'cause, kind, appended',
    [
        (take_down, KINDS.UNAVAILABLE, 0),
        (lose_answer, KINDS.UNKNOWN, 1),
        (exhaust, KINDS.RATE_LIMITED, 0),
    ],
)
async def test_append_fault(log, standin, cause, kind, appended):
    cause(standin)
    assert get_fault(await log.append(STREAM, b'x')).kind is kind
    standin.down = False
    assert len((await log.read(STREAM, 0)).ok.records) == appended


async def test_read_fails_while_down(log, standin):
    take_down(standin)
    assert get_fault(await log.read(STREAM, 0)).kind is KINDS.UNAVAILABLE


async def test_outage_ends_a_long_poll_with_a_fault(log, standin):
    waiting = asyncio.create_task(log.read(STREAM, 0, wait=0.1))
    await asyncio.sleep(0.02)
    take_down(standin)
    assert get_fault(await waiting).kind is KINDS.UNAVAILABLE


async def test_slow_log_answers(log, standin):
    standin.delay = 0.1
    assert (await log.append(STREAM, b'x')).ok == 0


async def test_expired_offset_names_the_oldest(log, standin):
    await fill(log, 5)
    standin.expire_before(STREAM, 3)
    fault = get_fault(await log.read(STREAM, 2))
    assert (fault.kind, fault.oldest) == (KINDS.EXPIRED, 3)
    assert len((await log.read(STREAM, 3)).ok.records) == 2


async def test_expiry_during_a_long_poll_is_a_fault(log, standin):
    async def expire():
        await asyncio.sleep(0)
        standin.expire_before(STREAM, 2)

    waiting = asyncio.create_task(log.read(STREAM, 0, wait=5.0))
    await asyncio.sleep(0.05)
    appends = [standin.append(STREAM, b'x') for _ in range(3)]
    await asyncio.gather(*appends, expire())
    fault = get_fault(await waiting)
    assert (fault.kind, fault.oldest) == (KINDS.EXPIRED, 2)


@pytest.mark.looptime
async def test_retention_by_time():
    log = standins.StandInLog(standins.StandInLogSettings(retention=10.0))
    await log.append(STREAM, b'old')
    await asyncio.sleep(6.0)
    await log.append(STREAM, b'new')
    await asyncio.sleep(6.0)
    assert get_fault(await log.read(STREAM, 0)).oldest == 1


async def test_a_wiped_log_reports_an_end_of_zero(log, standin):
    await fill(log, 5)
    standin.wipe(STREAM)
    assert (await log.read(STREAM, 5)).ok.end == 0


async def test_broken_connection_leaves_an_append_unknown(http):
    async def close_after_request_line(reader, writer):
        await reader.readline()
        writer.close()

    server = await asyncio.start_server(
        close_after_request_line, '127.0.0.1', 0
    )
    port = server.sockets[0].getsockname()[1]
    log = adapters.HttpLog(http, f'127.0.0.1:{port}')
    assert get_fault(await log.append(STREAM, b'x')).kind is KINDS.UNKNOWN
    server.close()
    await server.wait_closed()
    fault = get_fault(await log.append(STREAM, b'x'))
    assert fault.kind is KINDS.UNAVAILABLE


MALFORMED = [
    (200, b''),
    (200, b'{'),
    (200, b'{"x": ' + b'[' * 99999),
    (200, b'[]'),
    (200, b'{"offset": "x"}'),
    (200, b'\xff\xfe'),
    (200, b'{"records": [{"offset": 9, "body": "eA=="}], "oldest": 0,'
          b' "next": 1}'),
    (200, b'{"records": [], "oldest": 0, "next": 7}'),
    (204, b''),
    (302, b'elsewhere'),
    (410, b'gone'),
    (410, b'{}'),
    (500, b'{}'),
]  # fmt: skip


@pytest.mark.parametrize('status, body', MALFORMED)
async def test_malformed_answers_are_faults(http, status, body):
    class Answer(web.RequestHandler):
        def prepare(self):
            self.set_status(status)
            self.finish(body if status != 204 else None)

    server = servers.Server(
        web.Application([('/.*', Answer)], log_function=lambda _: None)
    )
    log = adapters.HttpLog(http, server.address)
    assert get_fault(await log.append(STREAM, b'x')).kind is KINDS.UNKNOWN
    assert get_fault(await log.read(STREAM, 0)).kind is KINDS.UNKNOWN
    vms = await adapters.HttpVmList(http, server.address).read()
    assert vms.is_error() or status == 200 and body == b'[]'
    await server.stop()


def make_vm(name, state=base.VmState.LIVE):
    return base.Vm(
        name, base.VmKind.ENGINE, ids.DataCentre('a'), '10.0.0.1:1', state
    )


async def test_vm_list_lags(vm_lists):
    vm_list, standin = vm_lists
    standin.delay = 0.05
    standin.replace([make_vm('e1')])
    assert list((await vm_list.read()).ok) == []
    await asyncio.sleep(0.06)
    leaving = make_vm('e1', base.VmState.LEAVING)
    standin.replace([leaving])
    assert list((await vm_list.read()).ok) == [make_vm('e1')]
    await asyncio.sleep(0.06)
    assert list((await vm_list.read()).ok) == [leaving]


async def test_vm_list_down(vm_lists):
    vm_list, standin = vm_lists
    standin.down = True
    match await vm_list.read():
        case Result(tag='error', error=fault):
            assert fault.detail
        case _:
            pytest.fail('the list is down')


async def test_a_change_is_read_in_time_after_a_read_without_an_answer(
    http, standin
):
    # Guards against a configuration that is late by 6 s on a dead connection.
    server = servers.serve_log(standin)
    link = proxy.Proxy(server.address)
    await link.start()
    log = adapters.HttpLog(http, link.address)
    link.set_impairment(proxy.Impairment.SILENCE)
    loop = asyncio.get_running_loop()
    started_at = loop.time()
    assert get_fault(await log.read(STREAM, ids.Offset(0), wait=1.0))
    taken = loop.time() - started_at
    link.set_impairment(proxy.Impairment.NONE)
    assert (await log.read(STREAM, ids.Offset(0))).is_ok()
    await link.stop()
    await server.stop()
    assert taken < CHANGE_TIME_S


async def test_a_slow_log_answers_the_read_after_one_without_an_answer(
    http, standin
):
    # Guards against waiting reads that are given up again and again.
    server = servers.serve_log(standin)
    log = adapters.HttpLog(http, server.address)
    standin.delay = CHANGE_TIME_S / 2
    assert get_fault(await log.read(STREAM, ids.Offset(0), wait=0.1))
    assert (await log.read(STREAM, ids.Offset(0), wait=0.1)).is_ok()
    await server.stop()
