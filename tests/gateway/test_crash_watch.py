"""Nodes agree by the log on the requests that crash targets; virtual time."""

import asyncio

from expression import Ok
import msgspec
import pytest

from tests import loop_clocks
from waxwingport.fleet import model as fleet
from waxwingport.fleet import registry
from waxwingport.gateway import crashes
from waxwingport.log import base
from waxwingport import metrics
from waxwingport.standins import partitions

TOPIC = base.Topic('keyed.crashes')
NOW = 1.79e9
SHARED_S = 0.5
"""Time in which every node has read a report."""
RUN_TIME_S = 0.05
"""Time from the start of a run to the end of its target."""
TARGETS = 40

pytestmark = pytest.mark.looptime


class Probe:
    """A try of a request at a node, sent to one target."""

    def __init__(self, node, digest, target, wait=30.0):
        self.sent_at = None
        self.may_send = None
        self._end = asyncio.Event()
        loop = asyncio.get_running_loop()
        self.task = loop.create_task(
            self._run(node, digest, target, loop.time() + wait)
        )

    async def _run(self, node, digest, target, latest_start):
        async with node.watch.probe(
            node.targets.find(target), digest, latest_start
        ) as self.may_send:
            if self.may_send:
                self.sent_at = asyncio.get_running_loop().time()
                await self._end.wait()

    @property
    def in_progress(self):
        return self.sent_at is not None and not self.task.done()

    async def end(self):
        self._end.set()
        await self.task


class Connections:
    """Tells which addresses refuse connections."""

    def __init__(self):
        self.refused = set()
        self.silent = set()

    async def is_refused(self, address):
        if address in self.silent:
            await asyncio.sleep(60.0)
        return address in self.refused


class Watcher:
    """A node that watches crashes; ``log`` may be cut off from it."""

    def __init__(self, log, name):
        self.name = name
        self.log = log
        self.connections = Connections()
        self.targets = registry.Registry(self._decode)
        self.watch = crashes.CrashWatch(
            log,
            name,
            self.targets,
            self.connections,
            loop_clocks.LoopWallClock(NOW),
            metrics.Metrics(),
        )
        self.task = None
        for number in range(TARGETS):
            self.register(f't{number}')

    def _decode(self, key, value):
        entry = fleet.TargetEntry(
            fleet.InstanceId(key),
            'booking',
            key,
            'here',
            8,
            fleet.Stage.READY,
            int(value),
            {},
        )
        return Ok(entry)

    def register(self, name, born=1):
        self.targets.update(base.KeyedRecord(name, str(born).encode()))

    def remove(self, name):
        self.targets.update(base.KeyedRecord(name, None))

    def start(self):
        self.task = asyncio.ensure_future(self.watch.run())

    async def stop(self):
        if self.task is not None:
            self.task.cancel()
            await asyncio.gather(self.task, return_exceptions=True)

    async def lose(self, name, *digests, age=RUN_TIME_S):
        """A target closes the connections of these requests."""
        target = self.targets.find(name)
        sent_at = asyncio.get_running_loop().time() - age
        found = await asyncio.gather(
            *(
                self.watch.examine(target, digest, sent_at)
                for digest in digests
            )
        )
        return all(found)

    async def crash(self, name, *digests, age=RUN_TIME_S):
        """The target of these requests crashes."""
        self.connections.refused.add(name)
        assert await self.lose(name, *digests, age=age)


@pytest.fixture
async def make_watchers():
    """Returns a function that starts nodes with one log."""
    log = partitions.MemoryLog()
    started = []

    def make(count, log=log):
        found = [Watcher(log, f'n{len(started) + n}') for n in range(count)]
        started.extend(found)
        for node in found:
            node.start()
        return found

    make.log = log
    yield make
    for node in started:
        await node.stop()


def find_stopping(nodes, digest):
    return [node.name for node in nodes if node.watch.is_stopped(digest)]


async def crash_in_turn(nodes, digest, count=3, first=0):
    """The request crashes targets, each at another node."""
    for number in range(first, first + count):
        await nodes[number % len(nodes)].crash(f't{number}', digest)
        await asyncio.sleep(SHARED_S)


async def kill_in_turn(node, count):
    """Targets end for other reasons, each with one request."""
    for number in range(count):
        await node.crash(f't{20 + number}', f'once{number}')
        await asyncio.sleep(0.1)


def count_records(log):
    return len(log.get_records(base.Partition(TOPIC, 0)))


async def test_each_node_counts_the_crashes_that_it_saw_alone(make_watchers):
    nodes = make_watchers(12)
    await asyncio.sleep(1.0)
    await crash_in_turn(nodes, 'bad', 2)
    assert find_stopping(nodes, 'bad') == []
    await crash_in_turn(nodes, 'bad', 1, first=2)
    assert len(find_stopping(nodes, 'bad')) == 12


async def test_a_restarted_node_sends_a_request_that_is_stopped(make_watchers):
    nodes = make_watchers(3)
    await asyncio.sleep(1.0)
    await crash_in_turn(nodes, 'bad')
    await nodes[0].stop()
    again = Watcher(make_watchers.log, nodes[0].name)
    again.start()
    await asyncio.sleep(SHARED_S)
    assert again.watch.is_stopped('bad')
    await again.crash('t9', 'other')
    await asyncio.sleep(SHARED_S)
    # The reports of its last run are still in its record.
    assert len(find_stopping([again, *nodes[1:]], 'bad')) == 3
    await again.stop()


async def test_a_restarted_node_waits_before_it_stops_a_request(
    make_watchers,
):
    # Reports that are older than the node were not held up.
    nodes = make_watchers(3)
    await asyncio.sleep(1.0)
    await kill_in_turn(nodes[1], 2)
    await crash_in_turn(nodes, 'bad', 4)
    assert len(find_stopping(nodes, 'bad')) == 3
    await nodes[0].stop()
    again = Watcher(make_watchers.log, nodes[0].name)
    again.start()
    await asyncio.sleep(0.1)
    assert again.watch.is_stopped('bad')
    await again.stop()


async def test_a_report_written_before_the_old_one_is_read_replaces_it(
    make_watchers,
):
    (node,) = make_watchers(1)
    await asyncio.sleep(1.0)
    await crash_in_turn([node], 'bad', 2)
    await node.stop()
    again = Watcher(make_watchers.log, node.name)
    again.start()
    await again.crash('t9', 'bad')
    await asyncio.sleep(SHARED_S)
    assert again.watch.is_stopped('bad')
    await again.stop()


async def test_a_node_without_the_log_has_no_evidence(make_watchers):
    nodes = make_watchers(2)
    await asyncio.sleep(1.0)
    make_watchers.log.down = True
    await asyncio.sleep(1.0)
    await crash_in_turn(nodes[:1], 'bad')
    assert find_stopping(nodes, 'bad') == ['n0']
    make_watchers.log.down = False
    await asyncio.sleep(3.0)
    assert find_stopping(nodes, 'bad') == ['n0', 'n1']


async def test_chance_counts_in_full_while_the_log_is_away(make_watchers):
    # Guards against refusals of requests that other nodes got answers to.
    nodes = make_watchers(2)
    await asyncio.sleep(1.0)
    make_watchers.log.down = True
    await asyncio.sleep(1.0)
    await kill_in_turn(nodes[0], 2)
    await crash_in_turn(nodes[:1], 'often', 4)
    assert find_stopping(nodes, 'often') == []
    # The bound on what a request may crash holds without the log too.
    await crash_in_turn(nodes[:1], 'often', 1, first=4)
    assert find_stopping(nodes, 'often') == ['n0']


async def test_reports_that_were_held_up_come_before_the_answers(
    make_watchers,
):
    # Guards against refusals when the log returns.
    nodes = make_watchers(3)
    await asyncio.sleep(1.0)
    make_watchers.log.down = True
    await asyncio.sleep(1.0)
    await kill_in_turn(nodes[0], 2)
    await crash_in_turn(nodes[:1], 'often', 4)
    nodes[1].watch.record_answer('often')
    make_watchers.log.down = False
    for _ in range(300):
        assert find_stopping(nodes, 'often') == []
        await asyncio.sleep(0.01)
    assert not any(node.watch.is_suspect('often') for node in nodes)


async def test_a_request_that_was_answered_stays_stopped(make_watchers):
    nodes = make_watchers(3)
    await asyncio.sleep(1.0)
    await crash_in_turn(nodes, 'good', 2)
    nodes[2].watch.record_answer('good')
    await asyncio.sleep(SHARED_S)
    assert not any(node.watch.is_suspect('good') for node in nodes)
    await crash_in_turn(nodes, 'good', 2, first=2)
    assert find_stopping(nodes, 'good') == []


async def test_a_request_that_is_often_answered_is_blamed_for_crashes(
    make_watchers,
):
    nodes = make_watchers(4)
    await asyncio.sleep(1.0)
    for number in range(12):
        for node in nodes:
            node.watch.record_answer('often')
        await nodes[number % 4].crash(f't{number}', 'often', f'new{number}')
        await asyncio.sleep(0.2)
        assert find_stopping(nodes, 'often') == []


async def test_an_answer_at_another_node_counts_for_nothing(make_watchers):
    # The node that got the answer was at none of the crashes.
    nodes = make_watchers(4)
    await asyncio.sleep(1.0)
    nodes[3].watch.record_answer('good')
    await crash_in_turn(nodes[:3], 'good', 2)
    assert not any(node.watch.is_suspect('good') for node in nodes)
    await crash_in_turn(nodes[:3], 'good', 2, first=2)
    assert find_stopping(nodes, 'good') == []


async def test_all_nodes_tell_of_one_answer(make_watchers):
    nodes = make_watchers(40)
    await asyncio.sleep(1.0)
    for node in nodes:
        node.watch.record_answer('good')
    before = count_records(make_watchers.log)
    nodes[0].watch._answered.clear()
    await crash_in_turn(nodes[:1], 'good', 2)
    assert not any(node.watch.is_suspect('good') for node in nodes)
    assert count_records(make_watchers.log) - before <= len(nodes) / 2


async def test_a_request_sent_often_is_judged_by_its_last_run(make_watchers):
    # Its longest run had been there for longer than that of the cause.
    nodes = make_watchers(3)
    await asyncio.sleep(1.0)
    for number in range(3):
        name = f't{number}'
        await nodes[0].crash(name, 'bad', age=0.05)
        for age in (0.01, 0.4, 0.02):
            await nodes[1].crash(name, 'often', age=age)
        await nodes[2].crash(name, 'often', age=0.01)
        await asyncio.sleep(SHARED_S)
    assert len(find_stopping(nodes, 'bad')) == 3
    assert find_stopping(nodes, 'often') == []


async def test_company_at_crashes_is_stopped_with_their_cause(make_watchers):
    nodes = make_watchers(4)
    await asyncio.sleep(1.0)
    for number in range(3):
        company = [f'good{number}-{n}' for n in range(6)]
        await nodes[number].crash(f't{number}', 'bad', 'twice', *company)
        if number == 1:
            nodes[3].watch.record_answer('twice')
        await asyncio.sleep(SHARED_S)
    assert len(find_stopping(nodes, 'bad')) == 4
    assert find_stopping(nodes, 'twice') == []
    for number in range(3):
        assert find_stopping(nodes, f'good{number}-0') == []


async def test_the_loss_of_a_rack_writes_a_record_for_each_request(
    make_watchers,
):
    nodes = make_watchers(10)
    await asyncio.sleep(1.0)
    log = make_watchers.log
    before = count_records(log)
    await asyncio.gather(
        *(
            node.crash(
                f't{target}', *(f'{node.name}-{target}-{n}' for n in range(30))
            )
            for node in nodes
            for target in range(TARGETS)
        )
    )
    await asyncio.sleep(1.0)
    assert count_records(log) - before <= 4 * len(nodes)
    assert all(not node.watch._stopped for node in nodes)
    for node in nodes:
        assert len(node.watch._reports._own.reports) <= 8


async def test_each_of_many_records_is_merged_by_itself(
    make_watchers, monkeypatch
):
    # After the loss of a rack the merges kept a node busy for minutes.
    (node,) = make_watchers(1)
    await asyncio.sleep(1.0)
    reports = node.watch._reports
    merges = []
    find_crashes = reports._find_crashes
    monkeypatch.setattr(
        reports,
        '_find_crashes',
        lambda: merges.append(1) or find_crashes(),
    )
    for number in range(690):
        requests = {f'{number}-{n}': [0.1, 0.1] for n in range(16)}
        value = msgspec.json.encode(
            {
                'reports': [
                    {
                        'target': 't1',
                        'born': 1,
                        'at': NOW,
                        'requests': requests,
                    }
                ]
            }
        )
        make_watchers.log.write_keyed(TOPIC, f'other{number}', value)
    await asyncio.sleep(0.5)
    assert len(merges) <= 30
    assert node.watch.is_suspect('689-15')


async def test_targets_of_a_rack_count_one_by_one(make_watchers):
    # A request that no node has an answer to was at five of them.
    nodes = make_watchers(5)
    await asyncio.sleep(1.0)
    await asyncio.gather(
        *(
            node.crash(f't{number}', 'often')
            for number, node in enumerate(nodes)
        )
    )
    await asyncio.sleep(SHARED_S)
    assert find_stopping(nodes, 'often') == []


async def test_slow_merges_are_repeated_each_second(
    make_watchers, monkeypatch
):
    (node,) = make_watchers(1)
    await node.crash('t1', 'bad')
    reports = node.watch._reports
    merges = []
    monkeypatch.setattr(reports, '_merge', lambda: merges.append(1))
    reports._merge_time = 0.85
    await asyncio.sleep(170.0)
    assert 5 <= len(merges) <= 12


async def test_a_link_that_refuses_for_a_while_counts_as_crashes(
    make_watchers,
):
    # The targets are still registered, so that they have not ended.
    nodes = make_watchers(2)
    await asyncio.sleep(1.0)
    await crash_in_turn(nodes[:1], 'good', 2)
    await asyncio.sleep(11.0)
    assert not nodes[1].watch.is_suspect('good')
    await crash_in_turn(nodes[:1], 'good', 1, first=5)
    assert find_stopping(nodes, 'good') == []


async def test_targets_that_are_gone_keep_a_request_stopped(make_watchers):
    nodes = make_watchers(2)
    await asyncio.sleep(1.0)
    await crash_in_turn(nodes, 'bad')
    for node in nodes:
        for number in range(3):
            node.remove(f't{number}')
    await asyncio.sleep(30.0)
    assert len(find_stopping(nodes, 'bad')) == 2


async def test_a_closed_connection_alone_counts_as_a_crash(make_watchers):
    (node,) = make_watchers(1)
    assert not await node.lose('t1', 'good')
    node.connections.silent.add('t2')
    started_at = asyncio.get_running_loop().time()
    assert not await node.lose('t2', 'good')
    assert asyncio.get_running_loop().time() - started_at < 0.2
    assert not node.watch.is_suspect('good')


async def test_a_target_that_leaves_counts_as_crashed(make_watchers):
    (node,) = make_watchers(1)
    node.targets.record_leaving(node.targets.find('t1'))
    node.connections.refused.add('t1')
    assert not await node.lose('t1', 'good')


async def test_a_request_is_stopped_for_ever(make_watchers):
    nodes = make_watchers(2)
    await asyncio.sleep(1.0)
    await crash_in_turn(nodes, 'bad')
    for node in nodes:
        for number in range(4):
            node.remove(f't{number}')
            node.register(f't{number}', 2)
    left = nodes[0].watch.compute_stop('bad')
    assert 60.0 < left <= 120.0
    await asyncio.sleep(left + 1.0)
    assert find_stopping(nodes, 'bad') == []
    # One more crash stops it again, for longer.
    await crash_in_turn(nodes, 'bad', 1, first=10)
    assert len(find_stopping(nodes, 'bad')) == 2
    assert nodes[0].watch.compute_stop('bad') > 300.0


async def test_records_of_lost_nodes_and_old_reports_stay(make_watchers):
    nodes = make_watchers(3)
    await asyncio.sleep(1.0)
    await crash_in_turn(nodes, 'bad')
    await nodes[2].stop()
    await asyncio.sleep(6 * 3600.0)
    newest = (await make_watchers.log.read_newest(TOPIC)).ok
    assert [record for record in newest.records if record.value] == []
    assert not nodes[0].watch.is_suspect('bad')


async def test_an_answer_is_forgotten_without_a_report_beside_it(
    make_watchers,
):
    # Records without reports were removed as those of lost nodes.
    nodes = make_watchers(3)
    await asyncio.sleep(1.0)
    await crash_in_turn(nodes, 'good', 2)
    nodes[2].watch.record_answer('good')
    await asyncio.sleep(500.0)
    assert not any(node.watch.is_suspect('good') for node in nodes)


@pytest.mark.parametrize(
    'value',
    [b'', b'\xff', b'[]', b'{"reports":1}', b'{"reports":[{"target":1}]}'],
)
async def test_an_unreadable_record_ends_the_exchange(make_watchers, value):
    nodes = make_watchers(2)
    await asyncio.sleep(1.0)
    make_watchers.log.write_keyed(TOPIC, 'garbage', value or b' ')
    await crash_in_turn(nodes, 'bad')
    assert len(find_stopping(nodes, 'bad')) == 2


async def test_a_record_holds_bodies(make_watchers):
    (node,) = make_watchers(1)
    await asyncio.sleep(1.0)
    await node.crash('t1', 'bad')
    await asyncio.sleep(SHARED_S)
    (record,) = (await make_watchers.log.read_newest(TOPIC)).ok.records
    (report,) = msgspec.json.decode(record.value)['reports']
    assert report.keys() == {'target', 'born', 'at', 'requests'}


def count_in_progress(tries):
    return sum(one.in_progress for one in tries)


async def crash_beside_kills(nodes, digest):
    """The request is at three crashes, which beside kills do not stop it."""
    await asyncio.sleep(1.0)
    await kill_in_turn(nodes[0], 4)
    await crash_in_turn(nodes, digest)
    assert find_stopping(nodes, digest) == []


async def test_tries_at_all_nodes_are_sent_at_once(make_watchers):
    nodes = make_watchers(4)
    await crash_beside_kills(nodes, 'new')
    tries = [
        Probe(nodes[number % 4], 'new', f't{10 + number}')
        for number in range(6)
    ]
    for left in range(6, 0, -1):
        await asyncio.sleep(SHARED_S)
        assert count_in_progress(tries) == 1
        (running,) = (one for one in tries if one.in_progress)
        await running.end()
        tries.remove(running)
        assert len(tries) == left - 1


async def test_the_next_try_is_sent_before_a_crash_is_known(make_watchers):
    nodes = make_watchers(3)
    await crash_beside_kills(nodes, 'bad')
    tries = [Probe(node, 'bad', f't{8 + n}') for n, node in enumerate(nodes)]
    await asyncio.sleep(SHARED_S)
    for number in range(2):
        (running,) = (one for one in tries if one.in_progress)
        await nodes[tries.index(running)].crash(f't{9 + number}', 'bad')
        await running.end()
        await asyncio.sleep(SHARED_S)
    assert [one.may_send for one in tries].count(True) == 2
    assert len(find_stopping(nodes, 'bad')) == 3
    assert all(one.task.done() for one in tries)


async def test_tries_wait_after_an_answer_at_another_node(make_watchers):
    nodes = make_watchers(3)
    await crash_beside_kills(nodes, 'often')
    nodes[0].watch.record_answer('often')
    await asyncio.sleep(SHARED_S)
    tries = [Probe(node, 'often', 't9') for node in nodes]
    await asyncio.sleep(0.0)
    assert count_in_progress(tries) == 3
    for one in tries:
        await one.end()


async def test_suspects_at_one_target_are_sent_together(make_watchers):
    nodes = make_watchers(2)
    await asyncio.sleep(1.0)
    await kill_in_turn(nodes[0], 4)
    for number in range(3):
        await nodes[number % 2].crash(f't{number}', 'bad', 'new')
        await asyncio.sleep(SHARED_S)
    tries = [
        Probe(nodes[0], 'bad', 't9'),
        Probe(nodes[1], 'new', 't9'),
        Probe(nodes[1], 'bad', 't8'),
    ]
    await asyncio.sleep(SHARED_S)
    assert count_in_progress(tries) == 1
    for one in tries:
        one.task.cancel()


async def test_a_suspect_whose_turn_never_comes_waits_for_ever(make_watchers):
    nodes = make_watchers(2)
    await crash_beside_kills(nodes, 'new')
    first = Probe(nodes[0], 'new', 't8')
    await asyncio.sleep(SHARED_S)
    late = Probe(nodes[1], 'new', 't9', wait=1.0)
    await asyncio.sleep(1.1)
    assert late.may_send is False
    # A node that is lost holds up the others for a while only.
    await nodes[0].stop()
    again = Probe(nodes[1], 'new', 't9')
    await asyncio.sleep(3.0)
    assert again.in_progress
    await first.end()
    await again.end()


async def test_a_suspect_is_not_sent_without_the_log(make_watchers):
    nodes = make_watchers(2)
    await crash_beside_kills(nodes, 'new')
    make_watchers.log.down = True
    await asyncio.sleep(3.0)
    tries = [Probe(nodes[0], 'new', f't{8 + number}') for number in range(3)]
    await asyncio.sleep(SHARED_S)
    assert count_in_progress(tries) == 1
    for one in tries:
        one.task.cancel()


async def test_claims_stand_after_their_tries(make_watchers):
    nodes = make_watchers(2)
    await crash_beside_kills(nodes, 'new')
    one = Probe(nodes[0], 'new', 't9')
    await asyncio.sleep(SHARED_S)
    cancelled = Probe(nodes[1], 'new', 't9')
    await asyncio.sleep(SHARED_S)
    cancelled.task.cancel()
    await one.end()
    await asyncio.sleep(SHARED_S)
    records = (await make_watchers.log.read_newest(TOPIC)).ok.records
    claims = [
        msgspec.json.decode(record.value)['claims'] for record in records
    ]
    assert claims == [[], []]
