import asyncio
import random

import msgspec
import pytest

from tests import loop_clocks
from waxwingport import ids
from waxwingport.log import base
from waxwingport.rollout import lease
from waxwingport.standins import partitions

pytestmark = pytest.mark.looptime
TURN_TIME = 3.0
TRANSIT_S = 1.4
"""Time in which an order may follow its intent and arrive."""


@pytest.fixture
def log():
    return partitions.MemoryLog()


@pytest.fixture
async def start(log):
    """Returns a function that starts the order lease of one node."""
    running = []

    def make(name, through=None):
        made = lease.OrderLease(
            through or log,
            ids.NodeName(name),
            base.MemberName(f'{name}-{len(running)}'),
            lease.LeaseSettings(TURN_TIME),
            loop_clocks.LoopClock(),
            loop_clocks.LoopWallClock(),
            random.Random(name),
        )
        running.append(asyncio.ensure_future(made.run()))
        made.task = running[-1]
        return made

    yield make
    for task in running:
        task.cancel()


class CuttableLog:
    """A node's connection to the log, which can be cut."""

    def __init__(self, log):
        self.log = log
        self.cut = False

    async def append(self, *arguments):
        if self.cut:
            await asyncio.sleep(1.5)
            return partitions._fail(base.FaultKind.UNKNOWN, 'no answer')
        return await self.log.append(*arguments)

    async def read(self, *arguments):
        if self.cut:
            await asyncio.sleep(1.5)
            return partitions._fail(base.FaultKind.UNKNOWN, 'no answer')
        return await self.log.read(*arguments)


async def test_one_of_many_nodes_holds_the_lease(start):
    leases = [start(f'n{number}') for number in range(6)]
    await asyncio.sleep(3.0)
    assert sum(found.held for found in leases) == 1
    assert sum(found.may_order() for found in leases) == 1


async def test_the_lease_stays_with_its_holder(start):
    leases = [start(f'n{number}') for number in range(4)]
    await asyncio.sleep(3.0)
    before = [found.held for found in leases]
    leases.append(start('later'))
    await asyncio.sleep(30.0)
    assert [found.held for found in leases] == [*before, False]


async def test_the_next_holder_waits_for_the_turn_time(start, log):
    first, second = start('a'), start('b')
    await asyncio.sleep(3.0)
    holder, other = (first, second) if first.held else (second, first)
    fence = holder.fencing_number
    assert (await holder.declare_intent('i1', 'm')).is_ok()
    ordered_at = asyncio.get_running_loop().time()
    holder.task.cancel()
    while not other.may_order():
        await asyncio.sleep(0.05)
    waited = asyncio.get_running_loop().time() - ordered_at
    assert TURN_TIME <= waited <= TURN_TIME + 1.5
    assert other.fencing_number > fence


async def test_after_the_loss_of_all_nodes_the_last_holder_continues(start):
    """Load pattern: all nodes are killed at once while versions load.

    Orders of the same VM are orders of one holder, whatever process it runs.
    """
    names = [f'n{number}' for number in range(4)]
    leases = [start(name) for name in names]
    await asyncio.sleep(3.0)
    (number,) = [place for place in range(4) if leases[place].held]
    assert (await leases[number].declare_intent('i1', 'm')).is_ok()
    for found in leases:
        found.task.cancel()
    restarted_at = asyncio.get_running_loop().time()
    leases = [start(name) for name in names]
    while not any(found.may_order() for found in leases):
        await asyncio.sleep(0.05)
    waited = asyncio.get_running_loop().time() - restarted_at
    assert leases[number].may_order()
    assert TRANSIT_S <= waited < TURN_TIME


async def test_every_node_learns_which_engine_is_about_to_load(start):
    first, second = start('a'), start('b')
    seen = {first: [], second: []}
    for found in (first, second):
        found.add_load_listener(
            lambda *load, found=found: seen[found].append(load)
        )
    await asyncio.sleep(3.0)
    holder = first if first.held else second
    assert (await holder.declare_intent('i1', 'm')).is_ok()
    await asyncio.sleep(0.5)
    assert seen == {first: [('i1', 'm')], second: [('i1', 'm')]}


async def test_an_intent_without_a_node_is_another_nodes(start, log):
    """Nodes of an earlier version run beside this one during an upgrade."""
    found = start('a')
    await asyncio.sleep(3.0)
    old = msgspec.msgpack.encode(['intent', 'a-1'])
    await log.append(lease._PARTITION, (old,))
    await asyncio.sleep(TURN_TIME)
    assert not found.may_order()
    await asyncio.sleep(TRANSIT_S)
    assert found.may_order()


async def test_a_disconnected_holder_cannot_order(start, log):
    switch = CuttableLog(log)
    first = start('a', switch)
    await asyncio.sleep(3.0)
    assert first.held
    second = start('b')
    switch.cut = True
    await asyncio.sleep(8.0)
    assert second.may_order()
    switch.cut = False
    assert (await first.declare_intent('i1', 'm')).is_error()


async def test_an_intent_fails_after_a_suspension(start, log):
    first = start('a')
    await asyncio.sleep(3.0)
    append = log.append

    async def append_slowly(*arguments):
        first._clock.suspended += 2.0
        return await append(*arguments)

    log.append = append_slowly
    assert (await first.declare_intent('i1', 'm')).is_error()


async def test_a_lost_answer_does_not_lose_the_lease(start, log):
    first = start('a')
    await asyncio.sleep(3.0)
    log.failures.append(partitions.LogFailure.LOST)
    count = len(log.get_records(lease._PARTITION))
    assert (await first.declare_intent('i1', 'm')).is_ok()
    assert len(log.get_records(lease._PARTITION)) == count + 1
    assert first.held


async def test_a_resigned_lease_is_soon_claimed(start):
    first = start('a')
    await asyncio.sleep(3.0)
    second = start('b')
    await asyncio.sleep(1.0)
    await first.resign()
    await asyncio.sleep(1.5)
    assert second.held
    assert not first.held


async def test_an_outage_of_the_log_changes_no_holder(start, log):
    leases = [start(f'n{number}') for number in range(3)]
    await asyncio.sleep(3.0)
    before = [found.held for found in leases]
    log.down = True
    await asyncio.sleep(6.0)
    log.down = False
    await asyncio.sleep(5.0)
    assert [found.held for found in leases] == before


@pytest.mark.parametrize('seed', range(12))
async def test_orders_of_two_holders_are_a_turn_time_apart(start, log, seed):
    """Random cuts, lost and refused appends; an intent counts as an order."""
    rng = random.Random(seed)
    switches = [CuttableLog(log) for _ in range(4)]
    leases = [
        start(f'n{number}', switch) for number, switch in enumerate(switches)
    ]
    orders = []
    loop = asyncio.get_running_loop()
    for _ in range(400):
        await asyncio.sleep(0.1)
        if rng.random() < 0.05:
            log.failures.append(rng.choice(list(partitions.LogFailure)))
        if rng.random() < 0.03:
            switch = rng.choice(switches)
            switch.cut = not switch.cut
        for number, found in enumerate(leases):
            if switches[number].cut or not found.may_order():
                continue
            if (await found.declare_intent('i1', 'm')).is_ok():
                orders.append((loop.time(), number, found.fencing_number))
    assert orders
    for before, after in zip(orders, orders[1:], strict=False):
        assert after[2] >= before[2]
        if before[1] != after[1]:
            assert after[0] - before[0] >= TURN_TIME
            assert after[2] > before[2]
