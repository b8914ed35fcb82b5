import asyncio

from hypothesis import given
from hypothesis import strategies as st
import pytest

from waxwingport.log import base
from waxwingport.log import writers
from waxwingport.standins import partitions

CALL_SIZE = 64
FAILURES = st.lists(
    st.sampled_from(
        [
            partitions.LogFailure.NONE,
            partitions.LogFailure.BUSY,
            partitions.LogFailure.LOST,
        ]
    ),
    max_size=12,
)


class Slow:
    """A log whose answers to appends are delayed."""

    def __init__(self, log, time):
        self._log = log
        self._time = time

    async def append(self, *arguments):
        answer = await self._log.append(*arguments)
        await asyncio.sleep(self._time)
        return answer


@pytest.fixture
async def make_writer(memory, partition):
    """Returns a function that starts a writer in an epoch."""
    running = []

    def make(epoch, log=memory):
        writer = writers.FencedWriter(
            log, partition, base.Epoch(epoch), 1, CALL_SIZE
        )
        running.append(asyncio.ensure_future(writer.run()))
        return writer

    yield make
    for task in running:
        task.cancel()


async def test_batches_stay_within_one_call(make_writer, memory, partition):
    writer = make_writer(1)
    rows = [bytes([number]) * 20 for number in range(9)]
    await asyncio.gather(*(writer.write((row,)) for row in rows))
    assert memory.get_records(partition) == rows
    assert memory.appends == 5


async def test_a_later_holder_fences_the_writer(make_writer, memory):
    old = make_writer(1)
    await old.write((b'a',))
    new = make_writer(2)
    await new.write((b'n',))
    pending = asyncio.ensure_future(old.write((b'b',)))
    await asyncio.sleep(0.01)
    old.abandon(base.Fault(base.FaultKind.FENCED, 'lost'))
    assert (await pending).error.kind is base.FaultKind.FENCED
    assert memory.get_records(new.partition) == [b'a', b'n']


async def test_a_late_append_of_an_old_holder_is_refused(
    make_writer, memory, partition
):
    memory.failures.append(partitions.LogFailure.LATE)
    old = base.Writer('holder', base.Epoch(1), 1)
    assert (await memory.append(partition, (b'old',), old)).is_error()
    new = make_writer(2)
    await new.write((b'new',))
    memory.execute_late_appends()
    assert memory.get_records(partition) == [b'new']


def test_every_write_is_appended_once_and_in_order(partition):
    @given(FAILURES, st.integers(1, 8))
    def check(failures, count):
        asyncio.run(write_through(failures, count, partition))

    check()


async def write_through(failures, count, partition):
    memory = partitions.MemoryLog()
    memory.failures.extend(failures)
    writer = writers.FencedWriter(
        QuickLog(memory), partition, base.Epoch(3), 1, CALL_SIZE
    )
    running = asyncio.ensure_future(writer.run())
    rows = [b'%d' % number for number in range(count)]
    for row in rows:
        assert (await writer.write((row,))).is_ok()
    assert memory.get_records(partition) == rows
    running.cancel()


class QuickLog:
    """A log that only offers appends, without waiting."""

    def __init__(self, log):
        self.append = log.append


@pytest.fixture(autouse=True)
def no_retry_delays(monkeypatch):
    monkeypatch.setattr(writers, '_MIN_RETRY_DELAY_S', 0.0)
    monkeypatch.setattr(writers, '_MAX_RETRY_DELAY_S', 0.0)


async def test_an_append_of_unknown_outcome_stays_unknown(memory, partition):
    memory.failures += [partitions.LogFailure.LOST] + 400 * [
        partitions.LogFailure.BUSY
    ]
    deadline = asyncio.get_running_loop().time() + 0.001
    done = await writers.append_with_retries(
        memory, partition, (b'a',), deadline
    )
    assert not done.error.had_no_effect


async def test_an_append_that_was_only_refused_had_no_effect(
    memory, partition
):
    memory.down = True
    deadline = asyncio.get_running_loop().time() + 0.001
    done = await writers.append_with_retries(
        memory, partition, (b'a',), deadline
    )
    assert done.error.had_no_effect
    assert memory.get_records(partition) == []


@pytest.mark.looptime
async def test_a_lost_answer_delays_later_writes_only_briefly(
    make_writer, memory, partition
):
    """Load pattern: the log loses a third of its answers."""
    memory.failures.extend([partitions.LogFailure.SILENT])
    writer = make_writer(1)
    first = asyncio.ensure_future(writer.write((b'a',)))
    await asyncio.sleep(0.01)
    before = asyncio.get_running_loop().time()
    done = await writer.write((b'b',))
    assert (await first).ok == 0
    assert done.ok == 1
    assert asyncio.get_running_loop().time() - before < 0.7
    assert memory.get_records(partition) == [b'a', b'b']


async def test_each_write_returns_its_own_offset(make_writer):
    writer = make_writer(1)
    done = await asyncio.gather(
        writer.write((b'a', b'b')),
        writer.write((b'c',)),
        writer.write((b'd',)),
    )
    assert [outcome.ok for outcome in done] == [0, 2, 3]


@pytest.mark.looptime
async def test_a_log_that_turned_slow_is_given_more_time(
    make_writer, memory, partition
):
    slow = Slow(memory, 0.4)
    writer = make_writer(1, slow)
    for number in range(3):
        await writer.write((bytes([number]),))
    before = memory.appends
    for number in range(5):
        await writer.write((bytes([number]),))
    assert memory.appends - before == 5


async def test_a_write_in_progress_fails_when_its_writer_is_abandoned(
    memory, partition
):
    # Guards against a node that waits for ever to release a lease.
    memory.down = True
    writer = writers.FencedWriter(
        memory, partition, base.Epoch(1), 1, CALL_SIZE
    )
    running = asyncio.ensure_future(writer.run())
    writing = asyncio.ensure_future(writer.write((b'a',)))
    while not memory.appends:
        await asyncio.sleep(0.01)
    writer.abandon(base.Fault(base.FaultKind.FENCED, 'claimed by another'))
    running.cancel()
    async with asyncio.timeout(1.0):
        found = await writing
    # The append may still take effect.
    assert not found.error.had_no_effect
