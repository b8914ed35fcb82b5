"""SlotCounts that processes publish, and what others compute from them."""

import asyncio
import contextlib

from expression import Ok
import pytest

from tests import loop_clocks
from waxwingport.fleet import model as fleet
from waxwingport.fleet import registry
from waxwingport.gateway import assignments
from waxwingport.gateway import stream_records
from waxwingport.log import base
from waxwingport.scheduling import software_versions
from waxwingport.standins import partitions

pytestmark = pytest.mark.looptime
NOW = 1_700_000_000.0
SERVICE = 's'
LIFETIME_S = stream_records.StreamSettings().lifetime


class Process:
    """The slots of one process and the targets that it knows."""

    def __init__(self, log, name):
        self.targets = registry.Registry(self._decode)
        self.assignments = assignments.Assignments(
            log,
            base.MemberName(name),
            self.targets,
            loop_clocks.LoopWallClock(NOW),
            stream_records.StreamSettings(),
            1 << 16,
        )
        self.assignments.set_services([SERVICE])
        self._task = asyncio.ensure_future(self.assignments.run())

    def _decode(self, key, value):
        return Ok(
            fleet.TargetEntry(
                fleet.InstanceId(key),
                SERVICE,
                '',
                'here',
                8,
                fleet.Stage.READY,
                1,
                {},
                value.decode(),
            )
        )

    def register(self, name, software):
        self.targets.update(base.KeyedRecord(name, software.encode()))

    def remove(self, name):
        self.targets.update(base.KeyedRecord(name, None))

    def assign(self, name='q'):
        return self.assignments.assign(SERVICE, name)

    async def find(self, name='q'):
        assert await self.assignments.catch_up()
        return self.assignments.find_candidates(SERVICE, name)

    async def stop(self):
        self._task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await self._task


@pytest.fixture
def log():
    return partitions.MemoryLog()


@pytest.fixture
async def start(log):
    """Returns a function that starts a process."""
    started = []

    def start_process(name):
        started.append(Process(log, name))
        return started[-1]

    yield start_process
    for process in started:
        await process.stop()


def find_moved(slots, software):
    """Returns a request that ``slots`` assign to a version."""
    return next(
        name
        for name in map(str, range(1000))
        if software_versions.assign(name, slots) == software
    )


async def test_a_process_that_has_just_started_does_not_know_the_counts(
    start,
):
    first = start('a')
    first.register('i1', 'v1')
    await asyncio.sleep(1.0)
    await first.stop()
    assert await start('b').find() == {'v1'}


async def test_counts_of_the_past_are_forgotten_too_soon(start):
    first = start('a')
    first.register('i1', 'v1')
    await asyncio.sleep(1.0)
    moved = find_moved({'v1': 8, 'v2': 8}, 'v2')
    first.register('i2', 'v2')
    await asyncio.sleep(1.0)
    assert first.assign(moved) == 'v2'
    assert await start('b').find(moved) == {'v1', 'v2'}
    await asyncio.sleep(LIFETIME_S)
    assert await start('c').find(moved) == {'v2'}


@pytest.mark.parametrize(
    'failure', [partitions.LogFailure.LATE, partitions.LogFailure.LOST]
)
async def test_counts_are_used_before_the_log_has_them(start, log, failure):
    first, second = start('a'), start('b')
    first.register('i1', 'v1')
    await asyncio.sleep(1.0)
    moved = find_moved({'v1': 8, 'v2': 8}, 'v2')
    log.failures.extend([failure] * 3)
    first.register('i2', 'v2')
    for _ in range(200):
        await asyncio.sleep(0.01)
        assert first.assign(moved) in await second.find(moved)
    assert first.assign(moved) == 'v2'


async def test_a_late_write_replaces_later_counts(start, log):
    first, second = start('a'), start('b')
    first.register('i1', 'v1')
    await asyncio.sleep(1.0)
    log.failures.append(partitions.LogFailure.LATE)
    first.register('i2', 'v2')
    await asyncio.sleep(2.0)
    first.register('i3', 'v3')
    await asyncio.sleep(2.0)
    log.execute_late_appends()
    await asyncio.sleep(1.0)
    moved = find_moved({'v1': 8, 'v2': 8, 'v3': 8}, 'v3')
    assert first.assign(moved) == 'v3'
    assert 'v3' in await second.find(moved)


async def test_targets_that_crash_move_streams(start):
    first = start('a')
    first.register('i1', 'v1')
    first.register('i2', 'v2')
    await asyncio.sleep(1.0)
    moved = find_moved({'v1': 8, 'v2': 8}, 'v2')
    first.remove('i2')
    await asyncio.sleep(1.5)
    first.register('i2', 'v2')
    await asyncio.sleep(1.0)
    assert await start('b').find(moved) == {'v2'}


async def test_a_process_relies_on_a_record_that_others_have_dropped(
    start, log
):
    first = start('a')
    first.register('i1', 'v1')
    await asyncio.sleep(1.0)
    log.down = True
    await asyncio.sleep(1700.0)
    assert first.assign() == 'v1'
    await asyncio.sleep(200.0)
    assert first.assign() is None


async def test_a_process_that_is_there_for_long_is_forgotten(start):
    first = start('a')
    first.register('i1', 'v1')
    await asyncio.sleep(4000.0)
    assert first.assign() == 'v1'
    assert await start('b').find() == {'v1'}


async def test_garbage_hides_the_counts_of_others(start, log):
    first = start('a')
    first.register('i1', 'v1')
    for value in (b'\xff', b'{}', b'{"written_at":1e999,"services":{}}'):
        log.write_keyed(assignments.TOPIC, 'garbage', value)
    await asyncio.sleep(1.0)
    assert await start('b').find() == {'v1'}


async def test_records_that_are_repeated_wake_all_nodes(start):
    first, second = start('a'), start('b')
    for process in (first, second):
        process.register('i1', 'v1')
    checks = 0

    async def count_checks():
        nonlocal checks
        while True:
            await first.assignments.wait_for_new_counts()
            checks += 1

    counting = asyncio.ensure_future(count_checks())
    await asyncio.sleep(1300.0)
    assert checks == 1
    second.register('i2', 'v2')
    await asyncio.sleep(1.0)
    assert checks == 2
    first.register('i2', 'v2')
    await asyncio.sleep(1.0)
    assert checks == 2
    counting.cancel()
