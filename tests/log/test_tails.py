import asyncio
import random

from expression import Error
from expression import Ok
import pytest

from waxwingport.log import base
from waxwingport.log import dependency
from waxwingport.log import followers
from waxwingport.log import tails
from waxwingport.platform import store

TOPIC = base.Topic('keyed.op')


class Records(tails.RecordListener):
    def __init__(self):
        self.rows = []
        self.skips = 0

    def handle_record(self, record):
        self.rows.append(record)

    def handle_gap(self):
        self.skips += 1


class Rows(followers.KeyedListener):
    def __init__(self):
        self.rows = {}
        self.replaced = 0

    def replace(self, rows):
        self.replaced += 1
        self.rows = {row.key: row.value for row in rows}

    def update(self, row):
        self.rows[row.key] = row.value


@pytest.fixture
def records():
    return Records()


@pytest.fixture
async def tail(memory, partition, records):
    store = dependency.Dependency('log')
    made = tails.PartitionTail(memory, partition, records, store)
    running = asyncio.ensure_future(made.run())
    yield made
    running.cancel()


@pytest.fixture
async def follower(memory):
    made = followers.KeyedFollower(memory, TOPIC, Rows())
    running = asyncio.ensure_future(made.run())
    yield made
    running.cancel()


async def test_concurrent_reads_pass_on_each_record_once(
    tail, memory, partition, records
):
    rows = [b'%d' % number for number in range(20)]
    for row in rows:
        await memory.append(partition, (row,))
        await asyncio.gather(tail.catch_up(0.0), tail.catch_up(0.0))
    assert records.rows == rows


async def test_catching_up_ends_while_time_passes(tail, memory):
    async with asyncio.timeout(0.5):
        assert (await tail.catch_up(0.0)).is_ok()


async def test_expired_records_are_skipped_and_reported(
    tail, memory, partition, records
):
    await tail.catch_up(0.0)
    memory.down = True
    await asyncio.sleep(0.01)
    memory.down = False
    await memory.append(partition, (b'a', b'b', b'c'))
    memory.expire(partition, 2)
    await tail.catch_up(0.0)
    assert records.rows[-1] == b'c'
    assert tail.position == 3


async def test_a_read_to_the_end_counts_one_that_began_before(
    tail, memory, partition, records, monkeypatch
):
    # Guards against the answer of a read that was sent before a record.
    read = memory.read
    answer = asyncio.Event()

    async def delay(*arguments, **options):
        page = await read(*arguments, **options)
        await answer.wait()
        return page

    with monkeypatch.context() as patched:
        patched.setattr(memory, 'read', delay)
        earlier = asyncio.ensure_future(tail.read_to_end())
        await asyncio.sleep(0.01)
    await memory.append(partition, (b'a',))
    later = asyncio.ensure_future(tail.read_to_end())
    answer.set()
    assert (await later).is_ok()
    assert records.rows == [b'a']
    await earlier


async def test_catching_up_fails_without_the_log(tail, memory):
    await tail.catch_up(0.0)
    memory.down = True
    assert (await tail.catch_up(0.0)).is_error()


async def test_a_follower_rereads_the_topic_after_expiry(follower, memory):
    await follower.started.wait()
    memory.write_keyed(TOPIC, 'a', b'1')
    memory.write_keyed(TOPIC, 'b', b'1')
    await asyncio.sleep(0.01)
    listener = follower._listener
    assert listener.rows == {'a': b'1', 'b': b'1'}
    memory.write_keyed(TOPIC, 'a', b'2')
    memory.expire(base.Partition(TOPIC, 0), 3)
    follower._position = 0
    async with asyncio.timeout(2.0):
        while listener.replaced < 2:
            await asyncio.sleep(0.01)
    assert listener.rows == {}


class SharedBandwidth:
    """A log whose reads share its bandwidth and time out.

    Each partition stores ``size`` bytes in records of 10,000.
    """

    RATE = 80e6
    RECORD = 10_000

    def __init__(self, size, settings):
        self._count = size // self.RECORD
        self._page = max(1, settings.read_size // self.RECORD)
        self._timeout = settings.timeout
        self._free_at = 0.0

    async def read(self, partition, offset, wait=0.0):
        rows = (b'',) * min(self._page, self._count - offset)
        if not rows:
            await asyncio.sleep(wait)
            return Ok(base.Page((), self._count, 0))
        now = asyncio.get_running_loop().time()
        # An answer is sent even if its read has timed out.
        elapsed = len(rows) * self.RECORD / self.RATE
        self._free_at = max(self._free_at, now) + elapsed
        delay = self._free_at - now
        await asyncio.sleep(min(delay, self._timeout + wait))
        if delay > self._timeout + wait:
            kind = base.FaultKind.UNKNOWN
            return Error(base.Fault(kind, 'no answer in time'))
        return Ok(base.Page(rows, self._count, 0))


@pytest.mark.looptime
async def test_78_nodes_that_start_at_once_all_catch_up(partition):
    """After the loss of all nodes, each reads 3 MB of four partitions."""
    log = SharedBandwidth(3_000_000, store.StoreSettings(''))
    found = [
        tails.PartitionTail(
            log, partition, Records(), dependency.Dependency('log')
        )
        for _ in range(78 * 4)
    ]
    running = [asyncio.ensure_future(tail.run()) for tail in found]
    await asyncio.sleep(15.0)
    late = [tail for tail in found if tail.first_caught_up_at is None]
    for task in running:
        task.cancel()
    assert late == []


@pytest.mark.looptime
async def test_a_read_without_an_answer_is_soon_repeated(
    tail, memory, partition, records
):
    """Load pattern: the log loses a third of its answers."""
    await asyncio.sleep(0.1)
    memory.unanswered_reads = 1
    await memory.append(partition, (b'a',))
    await asyncio.sleep(0.01)
    await memory.append(partition, (b'b',))
    await asyncio.sleep(2.0)
    assert records.rows == [b'a', b'b']


@pytest.fixture
def start_tail(memory, partition, records):
    """Returns a function that starts a tail and waits until it caught up."""
    running = []

    async def start(needs_records):
        made = tails.PartitionTail(
            memory,
            partition,
            records,
            dependency.Dependency('log'),
            needs_records=lambda: needs_records,
        )
        running.append(asyncio.ensure_future(made.run()))
        await made.caught_up.wait()
        return made

    yield start
    for task in running:
        task.cancel()


@pytest.mark.looptime
@pytest.mark.parametrize(
    ('needs_records', 'fewest', 'most'), [(True, 50, 60), (False, 1, 12)]
)
async def test_a_node_without_work_reads_many_records_at_once(
    start_tail, memory, partition, records, needs_records, fewest, most
):
    """Load pattern: one of hundreds of nodes appends 50 results a second."""
    await start_tail(needs_records)
    memory.reads.clear()
    for number in range(100):
        await memory.append(partition, (b'%d' % number,))
        await asyncio.sleep(0.02)
    await asyncio.sleep(tails.PAUSE_S)
    assert records.rows == [b'%d' % number for number in range(100)]
    assert fewest <= len(memory.reads) / 2 <= most


@pytest.mark.looptime
async def test_a_pause_ends_for_whoever_waits_for_records(
    start_tail, memory, partition
):
    tail = await start_tail(False)
    await memory.append(partition, (b'first',))
    await asyncio.sleep(0.01)
    waiting = asyncio.ensure_future(tail.wait_for_records())
    await asyncio.sleep(0.01)
    await memory.append(partition, (b'second',))
    async with asyncio.timeout(0.05):
        await waiting


@pytest.mark.looptime
async def test_a_follower_without_work_reads_many_changes_at_once(memory):
    """Load pattern: each target changes its entry every 1.2 s."""
    listener = Rows()
    made = followers.KeyedFollower(
        memory, TOPIC, listener, needs_records=lambda: False
    )
    running = asyncio.ensure_future(made.run())
    await made.started.wait()
    memory.reads.clear()
    for number in range(100):
        memory.write_keyed(TOPIC, f'i{number % 20}', b'%d' % number)
        await asyncio.sleep(0.02)
    await asyncio.sleep(0.5)
    assert listener.rows['i19'] == b'99'
    assert len(memory.reads) <= 14
    running.cancel()


class SharedBandwidthLog:
    """Reads of a log that take turns, as with a bound on all reads."""

    PAGE_S = 0.002

    def __init__(self, log, page):
        self._log = log
        self._page = page
        self._free_at = 0.0

    async def read(self, partition, offset, wait=0.0, size=None):
        found = await self._log.read(partition, offset, wait)
        records = found.ok.records[: self._page]
        loop = asyncio.get_running_loop()
        if records:
            start = max(loop.time(), self._free_at)
            self._free_at = start + self.PAGE_S
            await asyncio.sleep(self._free_at - loop.time())
        return Ok(base.Page(records, found.ok.end, found.ok.oldest))


@pytest.mark.looptime
async def test_some_of_many_nodes_read_the_history_early(memory, partition):
    """Load pattern: 200 nodes lose power and start together."""
    await memory.append(partition, tuple(b'%d' % row for row in range(200)))
    shared = SharedBandwidthLog(memory, 10)
    rng = random.Random(1)
    started = [
        tails.PartitionTail(
            shared, partition, Records(), dependency.Dependency('log'), rng
        )
        for _ in range(200)
    ]
    running = [asyncio.ensure_future(made.run()) for made in started]
    loop = asyncio.get_running_loop()
    started_at = loop.time()
    done_at = []
    for made in started:

        async def wait(made=made):
            await made.caught_up.wait()
            done_at.append(loop.time() - started_at)

        running.append(asyncio.ensure_future(wait()))
    await asyncio.sleep(30.0)
    assert len(done_at) == 200
    total = 200 * 20 * SharedBandwidthLog.PAGE_S
    assert sorted(done_at)[9] < 0.25 * total
    assert max(done_at) < 1.5 * total
    for task in running:
        task.cancel()


class Fragile(tails.RecordListener, followers.KeyedListener):
    """Fails on one record."""

    def __init__(self):
        self.rows = {}

    def handle_record(self, record):
        self.update(base.KeyedRecord(record.decode(), record))

    def handle_gap(self):
        """Does nothing."""

    def replace(self, rows):
        self.rows.clear()
        for row in rows:
            self.update(row)

    def update(self, row):
        if row.key == 'odd':
            raise OverflowError('too large')
        self.rows[row.key] = row.value


async def test_a_record_that_a_listener_fails_on_does_not_end_its_tail(
    memory, partition, caplog
):
    # Guards against one record that ends every node, at each start again.
    fragile = Fragile()
    made = tails.PartitionTail(
        memory, partition, fragile, dependency.Dependency('log')
    )
    await memory.append(partition, (b'a', b'odd', b'b'))
    assert (await made.catch_up(0.0)).is_ok()
    assert list(fragile.rows) == ['a', 'b']
    assert 'record-failed' in caplog.messages


@pytest.mark.parametrize('written', ['before', 'while'])
async def test_a_key_that_a_listener_fails_on_does_not_end_its_follower(
    memory, written, caplog
):
    # Guards against the same for a record that is the newest of its key.
    fragile = Fragile()
    made = followers.KeyedFollower(memory, TOPIC, fragile)
    keys = ['a', 'odd', 'b']
    if written == 'before':
        for key in keys:
            memory.write_keyed(TOPIC, key, b'1')
    running = asyncio.ensure_future(made.run())
    await made.started.wait()
    for key in keys:
        memory.write_keyed(TOPIC, key, b'2')
    async with asyncio.timeout(2.0):
        while fragile.rows != {'a': b'2', 'b': b'2'}:
            await asyncio.sleep(0.01)
    assert not running.done()
    assert 'record-failed' in caplog.messages
    running.cancel()
