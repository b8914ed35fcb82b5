"""A published configuration is in force on every node within 3 s.

Runs in virtual time with a static membership: every node counts as live
whatever happens to it, so that no test relies on failure detection.
"""

import asyncio
import contextlib

import pytest

from tests.configuration import cluster
from tests.configuration import conftest
from waxwingport.configuration import distribution
from waxwingport.configuration import snapshots
from waxwingport import ids
from waxwingport.peers import base as peers

LIMIT = 3.0
"""Seconds until a change is in force everywhere, from the design."""

pytestmark = pytest.mark.looptime


@contextlib.asynccontextmanager
async def running(**options):
    found = cluster.Cluster(**options)
    await found.append(conftest.Changes().pool('zero', record_id='zero'))
    await asyncio.sleep(2.0)
    assert set(found.revisions) <= {0}
    yield found
    await found.close()


async def test_change_is_in_force_everywhere_in_time(changes):
    async with running() as found:
        offset = await found.append(changes.pool('p'))
        assert await found.await_revision(offset) < LIMIT


async def test_two_nodes_per_data_centre_read_the_log(changes):
    async with running(size=6) as found:
        assert len(found.list_readers('a')) == 2
        before = found.log.reads
        await asyncio.sleep(20.0)
        # 6 readers with one read a second each, and 10 % tolerance.
        assert found.log.reads - before <= 6 * 20 * 1.1


async def test_crashed_readers_delay_a_change_within_the_limit(changes):
    async with running() as found:
        for node in found.list_readers('a'):
            await node.crash()
        offset = await found.append(changes.pool('p'))
        running_nodes = [member for member in found.nodes if member.tasks]
        assert await found.await_revision(offset, running_nodes) < LIMIT


@pytest.mark.parametrize('count', [1, 2])
async def test_readers_whose_log_does_not_answer(changes, count):
    async with running() as found:
        silent = found.list_readers('b')[:count]
        for node in silent:
            node.log.silent = True
        await asyncio.sleep(1.0)
        offset = await found.append(changes.pool('p'))
        assert await found.await_revision(offset) < LIMIT


async def test_readers_cut_off_from_the_log(changes):
    async with running() as found:
        for node in found.list_readers('c'):
            node.log.down = True
        offset = await found.append(changes.pool('p'))
        assert await found.await_revision(offset) < LIMIT


async def test_reader_cut_off_from_its_neighbours(changes):
    async with running() as found:
        readers = found.list_names(found.list_readers('a'))
        names = found.list_names(found.nodes)
        found.network.partition(readers, names - readers)
        offset = await found.append(changes.pool('p'))
        assert await found.await_revision(offset) < LIMIT


async def test_log_fails_after_one_node_has_read_a_change(changes):
    async with running() as found:
        first = found.nodes[0]
        for node in found.nodes[1:]:
            node.log.down = True
        offset = await found.append(changes.pool('p'))
        await found.await_revision(offset, [first])
        first.log.down = True
        await asyncio.sleep(10.0)
        assert set(found.revisions) == {offset}


async def test_slow_log_is_still_followed(changes):
    async with running(delay=1.5) as found:
        await asyncio.sleep(10.0)
        offset = await found.append(changes.pool('p'))
        assert await found.await_revision(offset) < 30.0


async def test_outage_ends_and_the_change_is_in_force_in_time(changes):
    async with running() as found:
        found.log.down = True
        await asyncio.sleep(10.0)
        found.log.down = False
        offset = await found.append(changes.pool('p'))
        assert await found.await_revision(offset) < LIMIT


async def test_partitioned_data_centre_keeps_state_then_catches_up(changes):
    async with running() as found:
        first = await found.append(changes.pool('p'))
        await found.await_revision(first)
        inside = found.list_data_centre('a')
        outside = [
            member for member in found.nodes if member.data_centre != 'a'
        ]
        found.network.partition(
            found.list_names(inside), found.list_names(outside)
        )
        for node in inside:
            node.log.down = True
        last = await found.append(changes.pool('q', based_on=first))
        await found.await_revision(last, outside)
        assert {member.revision for member in inside} == {first}
        found.network.heal()
        for node in inside:
            node.log.down = False
        assert await found.await_revision(last) < LIMIT


async def test_healed_partition_gets_the_higher_revision_without_log(changes):
    async with running() as found:
        left, right = found.list_data_centre('a'), found.list_data_centre('b')
        found.network.partition(
            found.list_names(left), found.list_names(found.nodes[4:])
        )
        for node in left:
            node.log.down = True
        last = await found.append(changes.pool('p'))
        await found.await_revision(last, right)
        for node in found.nodes:
            node.log.down = True
        found.network.heal()
        assert await found.await_revision(last) < 10.0


async def test_restarted_node_gets_the_state_from_peers(changes):
    async with running() as found:
        last = await found.append(changes.pool('p'))
        await found.await_revision(last)
        for node in found.nodes:
            node.log.down = True
        replaced = found.nodes[-1]
        await replaced.restart()
        assert replaced.revision == -1
        assert await found.await_revision(last) < LIMIT
        expected = found.nodes[0].state.folded
        assert replaced.state.folded == expected


async def test_restarted_node_gets_the_highest_revision(changes):
    async with running(data_centres=4) as found:
        ahead = found.list_data_centre('d')
        for node in found.nodes:
            node.log.down = node not in ahead
        found.network.partition(
            found.list_names(ahead),
            found.list_names(found.list_data_centre('b')),
        )
        last = await found.append(changes.pool('p'))
        await found.await_revision(last, ahead)
        for node in found.nodes:
            node.log.down = True
        replaced = found.list_data_centre('a')[0]
        await replaced.restart()
        assert await found.await_revision(last, [replaced]) < LIMIT


async def test_frozen_peers_do_not_delay_a_starting_node(changes):
    async with running() as found:
        last = await found.append(changes.pool('p'))
        await found.await_revision(last)
        replaced = found.nodes[0]
        names = found.list_names(found.nodes[1:])
        found.network.frozen |= names
        await replaced.restart()
        assert await found.await_revision(last, [replaced]) < LIMIT


async def test_peer_far_behind_gets_a_complete_state(changes):
    async with running(data_centres=1, size=3) as found:
        late = found.nodes[2]
        late.log.down = True
        found.network.partition({late.name}, found.list_names(found.nodes[:2]))
        for index in range(700):
            change = changes.pool('p', weight=1.0 + index, based_on=index)
            last = await found.append(change)
            await asyncio.sleep(0.01)
        await found.await_revision(last, found.nodes[:2])
        found.network.heal()
        assert await found.await_revision(last) < LIMIT
        assert late.state.folded == found.nodes[0].state.folded


async def test_announced_revision_is_requested(changes):
    async with running(data_centres=2, size=2) as found:
        last = await found.append(changes.pool('p'))
        await found.await_revision(last)
        replaced = found.nodes[0]
        replaced.log.silent = True
        names = found.list_names(found.nodes)
        found.network.partition({replaced.name}, names)
        await replaced.restart()
        await asyncio.sleep(0.01)
        found.network.heal()
        replaced.distribution.record_revision(found.nodes[3].member, last)
        assert await found.await_revision(last) < 1.0


async def test_unreadable_messages_are_ignored(changes):
    async with running(data_centres=1, size=2) as found:
        sender, node = found.nodes
        kind = peers.MessageKind.CONFIGURATION
        for body in (b'', b'\xff', b'\x91\x01', b'\x91' * 5000):
            sender.transport.send(node.member.peer, kind, body)
            answer = await sender.transport.request(
                node.member.peer, kind, body, 1.0
            )
            assert answer.is_ok()
        offset = await found.append(changes.pool('p'))
        assert await found.await_revision(offset) < LIMIT


async def test_wiped_log_leaves_the_configuration_in_force(changes):
    async with running() as found:
        for index in range(3):
            change = changes.pool('p', weight=1.0 + index, based_on=index)
            last = await found.append(change)
        await found.await_revision(last)
        found.log.wipe(distribution.reader.STREAM)
        await found.append(changes.pool('q'))
        await found.nodes[0].restart()
        await asyncio.sleep(5.0)
        assert set(found.revisions) == {last}
        assert found.nodes[0].state.declarations.find_pool('q') is None
        behind = [node.distribution.reader.log_behind for node in found.nodes]
        assert all(behind)


SNAPSHOTS = snapshots.SnapshotSettings(interval=10.0, step=1.0)


async def count_snapshots(found):
    stream = found.log._get_stream(distribution.reader.STREAM)
    return sum(b'"kind":"snapshot"' in body for _, body in stream.records)


async def test_stream_without_changes_survives_retention(changes):
    async with running(
        data_centres=2, size=2, retention=40.0, snapshot_settings=SNAPSHOTS
    ) as found:
        last = await found.append(changes.pool('p'))
        await found.await_revision(last)
        await asyncio.sleep(200.0)
        # One node writes per interval, so about four are within retention.
        assert 2 <= await count_snapshots(found) <= 6
        lone = cluster.Node(found, 'a', 'new')
        lone.run()
        lone.members.others = []
        await asyncio.sleep(2.0)
        assert lone.state.declarations.find_pool('p') is not None
        assert lone.revision == found.nodes[0].revision
        assert lone.state.folded == found.nodes[0].state.folded
        await lone.crash()


async def test_crashed_snapshot_writer_is_replaced(changes):
    async with running(retention=400.0, snapshot_settings=SNAPSHOTS) as found:
        last = await found.append(changes.pool('p'))
        await found.await_revision(last)
        first = min(found.nodes, key=lambda node: node.writer._find_rank())
        await first.crash()
        await asyncio.sleep(100.0)
        alive = [node for node in found.nodes if node is not first]
        assert all(node.state.folded.covered >= last for node in alive)
        # One node writes at a time, at most once per interval.
        assert 2 <= await count_snapshots(found) <= 100.0 / 10.0 + 1


async def test_expired_snapshot_is_replaced_at_once(changes):
    async with running(data_centres=1) as found:
        for index in range(5):
            change = changes.pool('p', weight=1.0 + index, based_on=index)
            last = await found.append(change)
        await found.await_revision(last)
        found.log.expire_before(distribution.reader.STREAM, last + 1)
        await asyncio.sleep(20.0)
        assert await count_snapshots(found) >= 1
        assert found.nodes[0].state.folded.covered >= last


async def test_node_that_skipped_a_record_writes_no_snapshot(changes):
    async with running(
        data_centres=1, size=1, snapshot_settings=SNAPSHOTS
    ) as found:
        await found.append(changes.pool('p'))
        newer = b'{"kind": "novelty", "version": 99}'
        await found.log.append(distribution.reader.STREAM, newer)
        await asyncio.sleep(50.0)
        assert found.nodes[0].state.folded.skipped == 2
        assert await count_snapshots(found) == 0


async def test_revision_never_decreases_under_faults(changes):
    async with running(data_centres=2, size=3) as found:
        rng = distribution.random.Random(7)
        highest = {row.name: -1 for row in found.nodes}
        base = ids.Revision(0)
        for index in range(60):
            base = await found.append(
                changes.pool('p', weight=1.0 + index, based_on=base)
            )
            node = rng.choice(found.nodes)
            node.log.down = rng.random() < 0.5
            names = found.list_names(found.nodes)
            isolated = set(rng.sample(sorted(names), 2))
            found.network.heal()
            found.network.partition(isolated, names - isolated)
            await asyncio.sleep(rng.random())
            for row in found.nodes:
                assert row.revision >= highest[row.name]
                highest[row.name] = row.revision
        found.network.heal()
        for node in found.nodes:
            node.log.down = False
        assert await found.await_revision(base) < LIMIT
        states = [row.state.folded for row in found.nodes]
        assert all(row == states[0] for row in states)
        assert not any(row.distribution.diverged for row in found.nodes)
