"""Nodes share the limit of a target by claims in the log; virtual time."""

import asyncio

from expression import Ok
import msgspec
import pytest

from tests import loop_clocks
from waxwingport.fleet import limits
from waxwingport.fleet import model as fleet
from waxwingport.fleet import registry
from waxwingport.gateway import sharing
from waxwingport.log import base
from waxwingport.standins import partitions

TOPIC = base.Topic('keyed.limits')
RATE = 2.0
WINDOW_S = 4.0
ALLOWED = 1.5 * WINDOW_S * RATE + 5
"""Most requests in a window by the users' rule."""
TICK_S = 0.02

pytestmark = pytest.mark.looptime


class UnreachableLog(partitions.MemoryLog):
    """A log of one node; its calls fail while ``cut`` is set."""

    def __init__(self, log):
        super().__init__()
        self._log = log
        self.cut = False

    async def append(self, partition, records, writer=None, at=None):
        if self.cut:
            return await self._fail()
        return await self._log.append(partition, records, writer, at)

    async def read(self, partition, offset, wait=0.0, size=None):
        if self.cut:
            return await self._fail()
        return await self._log.read(partition, offset, wait, size)

    async def read_newest(self, topic, after=None):
        if self.cut:
            return await self._fail()
        return await self._log.read_newest(topic, after)

    async def _fail(self):
        failing = partitions.MemoryLog()
        failing.down = True
        return await failing.read_newest(TOPIC)


class Sharer:
    """A node that shares limits, and sends as much as it may."""

    def __init__(self, log, name):
        self.name = name
        self.log = UnreachableLog(log)
        self.targets = registry.Registry(self._decode)
        self.sharing = sharing.LimitSharing(
            self.log, name, self.targets, loop_clocks.LoopWallClock(1.79e9)
        )
        self.sent = []
        self.eager = True
        self.paused = False
        self._tasks = []
        self.register()

    def _decode(self, key, value):
        entry = fleet.TargetEntry(
            fleet.InstanceId(key),
            'llm',
            '',
            'here',
            8,
            fleet.Stage.READY,
            int(value),
            {},
        )
        return Ok(entry)

    def register(self, born=1):
        self.targets.update(base.KeyedRecord('i1', str(born).encode()))

    @property
    def target(self):
        return self.targets.find('i1')

    def limit(self, rate=RATE):
        now = asyncio.get_running_loop().time()
        self.target.limit = limits.RateLimit(rate, now)
        self.sharing.add(self.target)

    def start(self):
        for work in (self.sharing.run(), self._send()):
            self._tasks.append(asyncio.ensure_future(work))

    async def stop(self):
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self._tasks.clear()

    async def _send(self):
        while True:
            limit = self.target.limit
            now = asyncio.get_running_loop().time()
            if limit is not None and self.eager:
                limit.want(now)
                while limit.reserve(now):
                    self.sent.append(now)
            await asyncio.sleep(TICK_S)


@pytest.fixture
async def make_sharers():
    """Returns a function that starts nodes which all know a limit."""
    log = partitions.MemoryLog()
    started = []

    def make(count, rate=RATE):
        found = [Sharer(log, f'n{len(started) + n}') for n in range(count)]
        started.extend(found)
        for node in found:
            node.limit(rate)
            node.start()
        return found

    make.log = log
    yield make
    for node in started:
        await node.stop()


def collect(nodes, since=0.0):
    return sorted(at for node in nodes for at in node.sent if at >= since)


def count_busiest(times):
    return max(
        (
            sum(first <= at < first + WINDOW_S for at in times)
            for first in times
        ),
        default=0,
    )


async def test_nodes_together_send_what_the_target_takes(make_sharers):
    nodes = make_sharers(12)
    await asyncio.sleep(40.0)
    assert count_busiest(collect(nodes)) <= ALLOWED
    assert len(collect(nodes, 10.0)) == pytest.approx(30.0 * RATE, abs=3)


async def test_nodes_without_requests_leave_their_share_to_others(
    make_sharers,
):
    nodes = make_sharers(12)
    await asyncio.sleep(10.0)
    for node in nodes[2:]:
        node.eager = False
    await asyncio.sleep(10.0)
    found = collect(nodes, 20.0)
    await asyncio.sleep(10.0)
    found = collect(nodes[:2], 20.0)
    assert len(found) == pytest.approx(10.0 * RATE, abs=2)


async def test_a_node_that_joins_gets_a_share(make_sharers):
    nodes = make_sharers(2)
    await asyncio.sleep(10.0)
    (late,) = make_sharers(1)
    await asyncio.sleep(30.0)
    assert len(late.sent) == pytest.approx(30.0 * RATE / 3, abs=3)
    assert count_busiest(collect([*nodes, late])) <= ALLOWED


async def test_the_share_of_a_node_that_stops_is_used_at_once(make_sharers):
    nodes = make_sharers(4)
    await asyncio.sleep(10.0)
    await nodes[0].sharing.resign()
    await nodes[0].stop()
    await asyncio.sleep(10.0)
    assert len(collect(nodes, 11.0)) == pytest.approx(9.0 * RATE, abs=2)


async def test_the_share_of_a_node_that_is_killed_is_used_later(make_sharers):
    nodes = make_sharers(4)
    await asyncio.sleep(10.0)
    await nodes[0].stop()
    await asyncio.sleep(20.0)
    assert count_busiest(collect(nodes)) <= ALLOWED
    assert len(collect(nodes, 20.0)) == pytest.approx(10.0 * RATE, abs=2)


async def test_a_node_that_is_cut_off_from_the_log_keeps_its_share(
    make_sharers,
):
    # Guards against a cut that lets a node send without a limit or nothing.
    nodes = make_sharers(4)
    await asyncio.sleep(10.0)
    nodes[0].log.cut = True
    await asyncio.sleep(30.0)
    assert len(collect(nodes[:1], 10.0)) == pytest.approx(15.0, abs=2)
    assert count_busiest(collect(nodes)) <= ALLOWED
    nodes[0].log.cut = False
    await asyncio.sleep(20.0)
    assert len(collect(nodes, 45.0)) == pytest.approx(15.0 * RATE, abs=3)


async def test_shares_stay_while_the_log_is_unavailable(make_sharers):
    nodes = make_sharers(4)
    await asyncio.sleep(10.0)
    make_sharers.log.down = True
    await asyncio.sleep(30.0)
    make_sharers.log.down = False
    await asyncio.sleep(20.0)
    assert count_busiest(collect(nodes)) <= ALLOWED
    assert len(collect(nodes, 10.0)) == pytest.approx(50.0 * RATE, abs=6)


async def test_nodes_that_cannot_claim_send_little(make_sharers):
    # Guards against a limit that begins while the log is unavailable.
    make_sharers.log.down = True
    nodes = make_sharers(12)
    await asyncio.sleep(40.0)
    assert count_busiest(collect(nodes)) <= ALLOWED
    assert all(node.sent for node in nodes)


async def test_a_target_that_starts_anew_has_no_limit(make_sharers):
    (node,) = make_sharers(1)
    await asyncio.sleep(5.0)
    node.register(born=2)
    await asyncio.sleep(5.0)
    assert node.target.limit is None
    assert make_sharers.log.get_records(base.Partition(TOPIC, 0))[-1] == (
        make_sharers.log.make_keyed(base.KeyedRecord('n0', None))
    )


async def test_the_end_of_a_limit_ends_the_claim(make_sharers):
    (node,) = make_sharers(1)
    await asyncio.sleep(5.0)
    node.target.limit = None
    await asyncio.sleep(5.0)
    page = await make_sharers.log.read_newest(TOPIC)
    assert page.ok.records == ()


async def test_only_some_nodes_share_a_low_limit(make_sharers):
    nodes = make_sharers(12, rate=0.5)
    await asyncio.sleep(40.0)
    assert sum(bool(node.sent) for node in nodes) == 5
    assert sum(node.target.limit.excluded for node in nodes) == 7
    assert len(collect(nodes, 10.0)) == pytest.approx(15.0, abs=2)


async def test_an_excluded_node_gets_a_place_that_becomes_free(make_sharers):
    nodes = make_sharers(12, rate=0.5)
    await asyncio.sleep(10.0)
    sharers = [node for node in nodes if not node.target.limit.excluded]
    for node in sharers:
        node.target.limit = None
    await asyncio.sleep(20.0)
    others = [node for node in nodes if node not in sharers]
    assert len(collect(others, 15.0)) == pytest.approx(7.5, abs=2)


async def test_an_unreadable_claim_is_skipped(make_sharers, caplog):
    (node,) = make_sharers(1)
    await asyncio.sleep(5.0)
    make_sharers.log.write_keyed(TOPIC, 'other', b'\xff{')
    make_sharers.log.write_keyed(TOPIC, 'other', msgspec.json.encode(3))
    await asyncio.sleep(5.0)
    assert 'record-skipped' in caplog.text
    assert len(collect([node], 5.0)) == pytest.approx(5.0 * RATE, abs=2)


async def test_records_of_nodes_that_are_gone_are_removed(make_sharers):
    nodes = make_sharers(3)
    await asyncio.sleep(5.0)
    await nodes[2].stop()
    await asyncio.sleep(80.0)
    page = await make_sharers.log.read_newest(TOPIC)
    assert [record.key for record in page.ok.records] == ['n0', 'n1']


async def test_a_limit_that_begins_as_another_one_ends_is_shared(make_sharers):
    # Guards against a wake-up that is lost while the follower is stopped.
    (node,) = make_sharers(1)
    await asyncio.sleep(5.0)
    node.target.limit = None
    for _ in range(200):
        await asyncio.sleep(0.005)
        if not node.sharing._shared and node.sharing._claimed:
            break
    while node.sharing._claimed:
        await asyncio.sleep(0)
    node.limit()
    started_at = asyncio.get_running_loop().time()
    await asyncio.sleep(10.0)
    sent = collect([node], started_at)
    assert len(sent) == pytest.approx(10.0 * RATE, abs=3)


async def test_claims_are_not_repeated_in_haste_without_the_log(make_sharers):
    make_sharers.log.down = True
    make_sharers(1)
    await asyncio.sleep(10.0)
    assert make_sharers.log.appends <= 21


async def test_a_node_that_resigned_claims_nothing_more(make_sharers):
    (node,) = make_sharers(1)
    await asyncio.sleep(5.0)
    await node.sharing.resign()
    await asyncio.sleep(5.0)
    page = await make_sharers.log.read_newest(TOPIC)
    assert page.ok.records == ()
