"""Contract tests of each kind of target, for stand-in and HTTP adapter."""

import asyncio
import contextlib

from expression import Result
import pytest

from waxwingport.http import client
from waxwingport.standins import engine
from waxwingport.standins import servers
from waxwingport.standins import services
from waxwingport.targets import adapters
from waxwingport.targets import base

KIND = base.TargetFaultKind


def make_generation(**fields):
    values = {'request_id': 'r-1', 'prompt': 'Kurs 7', 'max_tokens': 8}
    return base.Generation(**(values | fields))


def make_call(**fields):
    values = {
        'method': 'POST',
        'path': '/x?y=1',
        'headers': (),
        'body': b'{}',
        'idempotent': False,
        'request_id': 'r-1',
    }
    return base.ServiceCall(**(values | fields))


class Subject:
    """A stand-in, and the object to test: itself or an adapter for it."""

    def __init__(self, standin, tested):
        self.standin = standin
        self.tested = tested


@pytest.fixture(params=['stand-in', 'http'])
async def make_subject(request):
    """Returns a function that makes a subject, direct or over HTTP."""
    http = client.HttpClient(
        client.ClientSettings(progress_timeout=0.4, connect_timeout=0.4)
    )
    made = []

    def make(standin, serve, adapter):
        if request.param == 'stand-in':
            return Subject(standin, standin)
        made.append(serve(standin))
        return Subject(standin, adapter(http, made[-1].address))

    make.is_http = request.param == 'http'
    yield make
    http.close()
    for found in made:
        await found.stop()


@pytest.fixture
async def drafting(make_subject):
    settings = engine.StandInEngineSettings(
        median_tokens=12.0, length_sigma=0.01
    )
    return make_subject(
        engine.StandInEngine('engine-1', settings),
        servers.serve_engine,
        adapters.HttpEngine,
    )


@pytest.fixture
async def booking(make_subject):
    return make_subject(
        services.StandInService('bookings', 'booking-1'),
        servers.serve_service,
        adapters.HttpService,
    )


@pytest.fixture
async def rating(make_subject):
    return make_subject(
        services.StandInScoringService(),
        servers.serve_scoring,
        adapters.HttpScoringService,
    )


async def collect(stream):
    """Returns the chunks and the fault, ``None`` without one."""
    chunks = []
    async with contextlib.aclosing(stream):
        async for outcome in stream:
            match outcome:
                case Result(tag='ok', ok=chunk):
                    chunks.append(chunk)
                case Result(error=fault):
                    return chunks, fault
    return chunks, None


def join(chunks):
    return ''.join(chunk.text for chunk in chunks)


async def test_a_stream_is_whole_and_counts_its_tokens(drafting):
    chunks, fault = await collect(
        drafting.tested.stream(make_generation(), 5.0)
    )
    assert fault is None
    position = 0
    for chunk in chunks:
        assert chunk.position == position
        assert chunk.weight_version == 1
        position += chunk.tokens
    assert [row.finish_reason for row in chunks[:-1]] == [None] * (
        len(chunks) - 1
    )
    assert chunks[-1].finish_reason is base.FinishReason.LENGTH
    assert position == 8
    assert 'Kurs 7' in join(chunks)


async def test_a_stream_resumes_where_it_stopped(drafting):
    whole, _ = await collect(drafting.tested.stream(make_generation(), 5.0))
    resumed = make_generation(text=whole[0].text, position=whole[0].tokens)
    rest, fault = await collect(drafting.tested.stream(resumed, 5.0))
    assert fault is None
    assert rest[0].position == whole[0].tokens
    assert whole[0].text + join(rest) == join(whole)


async def test_closing_a_stream_cancels_it(drafting):
    stream = drafting.tested.stream(make_generation(max_tokens=4096), 30.0)
    await anext(stream)
    await stream.aclose()
    async with asyncio.timeout(5.0):
        while True:
            load = (await drafting.tested.read_load()).ok
            if load.running == 0 and load.measured_at:
                break
            await asyncio.sleep(0.02)


async def test_a_cancelled_stream_ends_with_a_fault(drafting):
    settings = engine.StandInEngineSettings(
        median_tokens=4000.0, length_sigma=0.01
    )
    drafting.standin.settings = settings
    generation = make_generation(max_tokens=4096)
    stream = drafting.tested.stream(generation, 30.0)
    await anext(stream)
    assert (await drafting.tested.cancel('r-1')).is_ok()
    _, fault = await collect(stream)
    assert fault.kind is KIND.CANCELLED
    assert (await drafting.tested.cancel('unknown')).is_ok()


def crash(standin):
    standin.crash()


def drain(standin):
    standin.state = base.EngineState(weight_version=1, draining=True)


# set-up, kinds of fault, whether the request may have run
ENGINE_FAULTS = [
    (crash, {KIND.UNREACHABLE, KIND.REFUSED}, False),
    (drain, {KIND.REFUSED}, False),
]


@pytest.mark.parametrize(('set_up', 'kinds', 'sent'), ENGINE_FAULTS)
async def test_an_engine_that_rejects_a_request_has_not_run_it(
    drafting, set_up, kinds, sent
):
    set_up(drafting.standin)
    chunks, fault = await collect(
        drafting.tested.stream(make_generation(), 5.0)
    )
    assert chunks == []
    assert fault.kind in kinds
    assert fault.sent is sent


async def test_a_crash_in_the_middle_is_a_broken_stream(drafting):
    generation = make_generation(max_tokens=4096)
    stream = drafting.tested.stream(generation, 30.0)
    await anext(stream)
    drafting.standin.crash()
    _, fault = await collect(stream)
    assert fault.kind is KIND.BROKEN
    assert fault.sent


async def test_a_silent_engine_is_detected(drafting, make_subject):
    """The adapter reports a fault; the stand-in itself only stalls."""
    drafting.standin.silent = True
    reading = collect(drafting.tested.stream(make_generation(), 5.0))
    if make_subject.is_http:
        _, fault = await asyncio.wait_for(reading, 5.0)
        assert (fault.kind, fault.sent) == (KIND.SILENT, True)
    else:
        with pytest.raises(TimeoutError):
            await asyncio.wait_for(reading, 0.3)


async def test_orders_are_fenced_and_read_back(drafting):
    order = base.Order(base.OrderKind.SET_ROLE, 7, value='drafting')
    state = (await drafting.tested.send_order(order)).ok
    assert (state.role, state.fencing_number) == ('drafting', 7)
    late = base.Order(base.OrderKind.SET_ROLE, 6, value='other')
    fault = (await drafting.tested.send_order(late)).swap().ok
    assert fault.kind is KIND.REJECTED
    assert (await drafting.tested.read_state()).ok.role == 'drafting'


async def test_kv_moves_between_engines(drafting):
    await collect(drafting.tested.stream(make_generation(), 5.0))
    await drafting.tested.import_kv('r-9', b'\x00\xff state')
    found = await drafting.tested.export_kv('r-9')
    assert found.ok == b'\x00\xff state'
    missing = await drafting.tested.export_kv('r-8')
    assert missing.swap().ok.kind is KIND.REJECTED


async def test_cache_events_follow_an_offset(drafting):
    prompt = 'x' * 200
    await collect(drafting.tested.stream(make_generation(prompt=prompt), 5.0))
    await asyncio.sleep(0.3)
    found = (await drafting.tested.read_cache_events(0)).ok
    assert [row.offset for row in found.events] == list(range(found.next))
    again = (await drafting.tested.read_cache_events(found.next)).ok
    assert again.events == ()


async def test_a_call_runs_once_and_is_echoed(booking):
    answer = (await booking.tested.call(make_call(), 5.0)).ok
    assert answer.status == 200
    assert b'/x?y=1' in answer.body
    assert booking.standin.runs == 1


# attribute to set, kinds of fault, whether it may have run, runs
SERVICE_FAULTS = [
    ('crashed', {KIND.UNREACHABLE, KIND.REFUSED}, False, 0),
    ('refusing', {KIND.REFUSED}, False, 0),
    ('silent', {KIND.SILENT}, True, 1),
]


@pytest.mark.parametrize(('switch', 'kinds', 'sent', 'runs'), SERVICE_FAULTS)
async def test_a_service_call_fails_with_the_right_fault(
    booking, switch, kinds, sent, runs
):
    setattr(booking.standin, switch, True)
    fault = (await booking.tested.call(make_call(), 1.0)).swap().ok
    assert fault.kind in kinds
    assert fault.sent is sent
    assert booking.standin.runs == runs


async def test_scores_come_in_order(rating):
    samples = [('p', 'a'), ('p', 'b'), ('q', 'a')]
    scores = (await rating.tested.score(samples, 5.0)).ok
    again = (await rating.tested.score(samples[::-1], 5.0)).ok
    assert list(scores) == list(again)[::-1]
    assert len(set(scores)) == 3


async def test_a_crashed_scoring_service_is_reported(rating):
    rating.standin.crashed = True
    fault = (await rating.tested.score([('p', 'a')], 5.0)).swap().ok
    assert fault.kind in {KIND.UNREACHABLE, KIND.REFUSED}
    assert not fault.sent
