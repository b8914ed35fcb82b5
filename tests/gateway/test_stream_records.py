"""Records of streams, which nodes write together and read on demand."""

import asyncio
import contextlib

import pytest

from tests import loop_clocks
from waxwingport.fleet import model as fleet
from waxwingport.gateway import stream_records
from waxwingport.log import base
from waxwingport.standins import partitions

parse_key = stream_records.parse_key
pytestmark = pytest.mark.looptime
NOW = 1_700_000_000.0
CALL_SIZE = 400
ORIGIN = fleet.Origin('s', 'v1')


class BoundedLog(partitions.MemoryLog):
    """Rejects appends of more than ``CALL_SIZE`` bytes as invalid."""

    async def append(self, partition, records, writer=None, at=None):
        if sum(len(record) + 4 for record in records) > CALL_SIZE:
            return partitions._fail(base.FaultKind.INVALID, 'too large')
        return await super().append(partition, records, writer, at)


@pytest.fixture
def log():
    return BoundedLog()


@pytest.fixture
async def start(log):
    """Returns a function that starts the records of a process."""
    tasks = []

    def start_process(name):
        records = stream_records.StreamRecords(
            log,
            base.MemberName(name),
            loop_clocks.LoopWallClock(NOW),
            stream_records.StreamSettings(),
            CALL_SIZE,
            lambda: 2,
        )
        tasks.append(asyncio.ensure_future(records.run()))
        return records

    yield start_process
    for task in tasks:
        task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await task


async def test_a_record_is_unknown_to_a_process_that_has_just_started(start):
    first = start('a')
    assert await first.store(parse_key('id.digest'), ORIGIN)
    assert await start('b').find(parse_key('id.digest')) == ORIGIN


async def test_a_record_is_missed_that_was_written_during_a_search(start):
    first, second = start('a'), start('b')
    assert await second.find(parse_key('id.digest')) is None
    assert await first.store(parse_key('id.digest'), ORIGIN)
    assert await second.find(parse_key('id.digest')) == ORIGIN


async def test_many_records_together_exceed_an_append(start):
    first = start('a')
    for number in range(50):
        first.add(parse_key(f'{number}.digest'), ORIGIN)
    await asyncio.sleep(1.0)
    second = start('b')
    for number in range(50):
        assert await second.find(parse_key(f'{number}.digest')) == ORIGIN


async def test_another_request_takes_the_id_of_a_stream(start):
    first, second = start('a'), start('b')
    assert await first.store(parse_key('id.digest'), ORIGIN)
    assert await first.store(parse_key('id.other'), fleet.Origin('s', 'v2'))
    assert await second.find(parse_key('id.digest')) == ORIGIN
    with pytest.raises(stream_records.ConflictError):
        await second.find(parse_key('id.third'))


async def test_a_stream_is_lost_that_is_resumed_with_another_body(start):
    first, second = start('a'), start('b')
    assert await first.store(parse_key('id.digest'), ORIGIN)
    assert await second.find(parse_key('id.other')) == ORIGIN


async def test_records_are_kept_for_ever(start, log):
    first = start('a')
    first.add(parse_key('id.digest'), ORIGIN)
    await asyncio.sleep(200.0)
    assert await start('b').find(parse_key('id.digest')) == ORIGIN
    await asyncio.sleep(100.0)
    assert await start('c').find(parse_key('id.digest')) is None


async def test_a_garbage_record_hides_the_others(start, log):
    first = start('a')
    assert await first.store(parse_key('id.digest'), ORIGIN)
    for value in (b'\xff', b'[]', b'{"a":1}', b'[["s","v"],1e999]'):
        log.write_keyed(stream_records.TOPIC, 'garbage', value)
    assert await start('b').find(parse_key('id.digest')) == ORIGIN


async def test_a_search_ends_without_the_log(start, log):
    first = start('a')
    log.down = True
    with pytest.raises(TimeoutError):
        async with asyncio.timeout(5.0):
            await first.find(parse_key('id.digest'))
    log.down = False
    assert await first.find(parse_key('id.digest')) is None
