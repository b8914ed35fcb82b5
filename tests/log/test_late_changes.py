"""Time within which a follower passes on a change whose read gets no answer.

Operators and targets rely on a change being in force 2 s after the log
acknowledged it.
"""

import asyncio

from expression import Error
from expression import Ok
from msgspec import structs
import pytest

from waxwingport.log import base
from waxwingport.log import followers
from waxwingport.platform import store
from waxwingport.standins import partitions

TOPIC = base.Topic('keyed.op')
APPLY_TIME_S = 2.0
"""Time within which a change has to be in force."""
FAULT_TIME_S = 3.0
"""Time after a fault of its connections from which a node has to be up to
date again."""


class TimedLog(partitions.MemoryLog):
    """A log whose client gives up a read after its timeout."""

    async def read(self, partition, offset, wait=0.0, size=None):
        try:
            async with asyncio.timeout(store.StoreSettings('').timeout + wait):
                return await super().read(partition, offset, wait, size)
        except TimeoutError:
            kind = base.FaultKind.UNKNOWN
            return Error(base.Fault(kind, 'deadline passed'))


class LaggingLog(partitions.MemoryLog):
    """A log whose pages of newest records lag behind the end that they name.

    ``lagging_page`` is returned, with the current end, until it is ``None``.
    """

    def __init__(self):
        super().__init__()
        self.lagging_page = None

    async def read_newest(self, topic, after=None):
        found = await super().read_newest(topic, after)
        if self.lagging_page is None:
            return found
        end = found.ok.end
        return Ok(structs.replace(self.lagging_page, end=end))


class Changes(followers.KeyedListener):
    """Records the time of each change by its value."""

    def __init__(self):
        self.times = {}

    def replace(self, records):
        for record in records:
            self.update(record)

    def update(self, record):
        now = asyncio.get_running_loop().time()
        self.times.setdefault(record.value, now)


@pytest.fixture
def timed_log():
    return TimedLog()


@pytest.fixture
async def follow(timed_log):
    """Returns a function that starts a follower and returns its changes.

    The follower starts within the test, in the test's virtual time.
    """
    running = []

    async def start(log=timed_log):
        found = Changes()
        if log is timed_log:
            log.write_keyed(TOPIC, 'config', b'1')
        follower = followers.KeyedFollower(log, TOPIC, found)
        running.append(asyncio.ensure_future(follower.run()))
        await follower.started.wait()
        return found

    yield start
    for task in running:
        task.cancel()


async def lose_next_read(timed_log):
    """Returns when the next read was sent; it will get no answer."""
    timed_log.unanswered_reads = 1
    while timed_log.unanswered_reads:
        await asyncio.sleep(0.01)


async def measure_change(timed_log, changes):
    """Returns the seconds until a change made now is passed on."""
    written_at = asyncio.get_running_loop().time()
    timed_log.write_keyed(TOPIC, 'config', b'2')
    await asyncio.sleep(10.0)
    return changes.times[b'2'] - written_at


@pytest.mark.looptime
async def test_a_change_is_in_force_in_time_if_its_read_gets_no_answer(
    timed_log, follow
):
    # Guards against a new route that is refused with 404 for 2.7 s.
    changes = await follow()
    await lose_next_read(timed_log)
    assert await measure_change(timed_log, changes) < APPLY_TIME_S


@pytest.mark.looptime
async def test_a_change_is_in_force_in_time_if_it_expired_before_its_read(
    timed_log, follow
):
    # Guards against a pause before the topic is read again.
    changes = await follow()
    await lose_next_read(timed_log)
    timed_log.write_keyed(TOPIC, 'config', b'0')
    timed_log.expire(base.Partition(TOPIC, 0), 2)
    assert await measure_change(timed_log, changes) < APPLY_TIME_S


@pytest.mark.looptime
async def test_a_change_is_in_force_in_time_if_two_reads_get_no_answer(
    timed_log, follow
):
    # Guards against a second wait after a read that got no answer.
    changes = await follow()
    await lose_next_read(timed_log)
    timed_log.unanswered_reads = 1
    assert await measure_change(timed_log, changes) < FAULT_TIME_S


@pytest.mark.looptime
async def test_a_log_that_rejects_reads_is_not_called_without_a_pause(
    timed_log, follow
):
    await follow()
    timed_log.down = True
    timed_log.reads.clear()
    await asyncio.sleep(5.0)
    assert 5 < len(timed_log.reads) < 30


@pytest.fixture
def lagging_log():
    return LaggingLog()


@pytest.mark.looptime
async def test_a_change_is_read_if_the_page_of_newest_records_lags(
    lagging_log, follow
):
    # Guards against a change that is skipped until the next one.
    lagging_log.write_keyed(TOPIC, 'config', b'1')
    lagging_log.lagging_page = (await lagging_log.read_newest(TOPIC)).ok
    lagging_log.write_keyed(TOPIC, 'config', b'2')
    changes = await follow(lagging_log)
    await asyncio.sleep(APPLY_TIME_S)
    assert b'2' in changes.times


@pytest.mark.looptime
async def test_a_topic_whose_last_key_was_removed_is_followed(
    lagging_log, follow
):
    # Guards against a topic that is read again and again after expiry.
    lagging_log.write_keyed(TOPIC, 'old', b'0')
    lagging_log.write_keyed(TOPIC, 'config', b'1')
    lagging_log.write_keyed(TOPIC, 'old')
    page = (await lagging_log.read_newest(TOPIC)).ok
    lagging_log.lagging_page = page
    lagging_log.expire(base.Partition(TOPIC, 0), 3)
    changes = await follow(lagging_log)
    await asyncio.sleep(APPLY_TIME_S)
    lagging_log.reads.clear()
    lagging_log.write_keyed(TOPIC, 'config', b'2')
    await asyncio.sleep(APPLY_TIME_S)
    assert b'2' in changes.times
    assert len(lagging_log.reads) <= 4


@pytest.mark.looptime
@pytest.mark.parametrize('answers', [True, False])
async def test_a_long_outage_of_the_log_does_not_end_the_follower(
    timed_log, follow, answers
):
    # Guards against a timeout that grows until it is no number any more.
    changes = await follow()
    if answers:
        timed_log.down = True
    else:
        timed_log.unanswered_reads = 10_000
    await asyncio.sleep(1800.0)
    timed_log.down = False
    timed_log.unanswered_reads = 0
    await asyncio.sleep(FAULT_TIME_S)
    assert await measure_change(timed_log, changes) < APPLY_TIME_S
