"""A follower that has caught up has all records that there were."""

import asyncio
import contextlib

import pytest

from waxwingport.log import base
from waxwingport.log import followers
from waxwingport.standins import partitions

pytestmark = pytest.mark.looptime
TOPIC = base.Topic('keyed.t')


class Values(followers.KeyedListener):
    """The values of a topic by key."""

    def __init__(self):
        self.by_key = {}

    def replace(self, records):
        self.by_key = {record.key: record.value for record in records}

    def update(self, record):
        self.by_key[record.key] = record.value


class SlowLog(partitions.MemoryLog):
    """Answers reads that wait for records late."""

    async def read(self, partition, offset, wait=0.0, size=None):
        found = await super().read(partition, offset, wait, size)
        await asyncio.sleep(0.3 if wait else 0.0)
        return found


@pytest.fixture
def log():
    return SlowLog()


@pytest.fixture
async def follower(log):
    values = Values()
    found = followers.KeyedFollower(log, TOPIC, values)
    found.values = values
    task = asyncio.ensure_future(found.run())
    yield found
    task.cancel()
    with contextlib.suppress(asyncio.CancelledError):
        await task


async def test_a_follower_misses_what_was_written_before_it_caught_up(
    log, follower
):
    for number in range(5):
        log.write_keyed(TOPIC, 'k', b'%d' % number)
        assert await follower.catch_up()
        assert follower.values.by_key['k'] == b'%d' % number


async def test_calls_share_a_read_that_began_before_them(log, follower):
    assert await follower.catch_up()
    first = asyncio.ensure_future(follower.catch_up())
    await asyncio.sleep(0.0)
    log.write_keyed(TOPIC, 'k', b'1')
    assert await follower.catch_up()
    assert follower.values.by_key['k'] == b'1'
    assert await first


async def test_a_follower_does_not_catch_up_after_all_records_expired(
    log, follower
):
    assert await follower.catch_up()
    for number in range(3):
        log.write_keyed(TOPIC, 'k', b'%d' % number)
    log.expire(base.Partition(TOPIC, 0), 3)
    async with asyncio.timeout(2.0):
        assert await follower.catch_up()


async def test_a_follower_claims_to_have_caught_up_without_the_log(
    log, follower
):
    assert await follower.catch_up()
    log.down = True
    assert not await follower.catch_up()
