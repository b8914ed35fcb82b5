"""Lease keepers over the stand-in log, under a virtual clock."""

import asyncio

from expression import Error
import pytest

from waxwingport import ids
from waxwingport.leases import keeper
from waxwingport.membership import base as membership
from waxwingport.outside import base as platform
from waxwingport.standins import engine
from waxwingport.standins import platform as standin_platform
from waxwingport.targets import base as targets

pytestmark = pytest.mark.looptime

STREAM = ids.StreamName('lease-m-pool')
SETTINGS = keeper.LeaseSettings()
TAKEOVER = SETTINGS.duration + SETTINGS.takeover_margin + 2


class World:
    def __init__(self):
        self.log = standin_platform.StandInLog()
        self.tasks = {}
        self._incarnations = 0

    def start(
        self,
        name,
        log=None,
        candidate=lambda: True,
        entitled=lambda: True,
    ):
        self._incarnations += 1
        local_member = membership.Member(
            ids.NodeName(name), 'm', f'{name}:1', self._incarnations
        )
        found = keeper.LeaseKeeper(
            log or self.log,
            STREAM,
            local_member,
            SETTINGS,
            candidate,
            entitled,
        )
        self.tasks[found] = asyncio.ensure_future(found.run())
        return found

    def crash(self, found):
        self.tasks.pop(found).cancel()

    async def stop(self):
        for task in self.tasks.values():
            task.cancel()
        await asyncio.gather(*self.tasks.values(), return_exceptions=True)


class FaultyLog(platform.Log):
    """One node's connection to the log, which can be cut or slowed."""

    def __init__(self, log):
        self.log = log
        self.cut = False
        self.slow = 0.0

    async def append(self, stream, body):
        await asyncio.sleep(self.slow)
        if self.cut:
            return Error(
                platform.LogFault(platform.LogFaultKind.UNAVAILABLE, 'cut')
            )
        return await self.log.append(stream, body)

    async def read(self, stream, offset, limit=1000, wait=0.0):
        await asyncio.sleep(self.slow)
        if self.cut:
            return Error(
                platform.LogFault(platform.LogFaultKind.UNAVAILABLE, 'cut')
            )
        return await self.log.read(stream, offset, limit, wait)


@pytest.fixture
async def world():
    made = World()
    yield made
    await made.stop()


async def test_one_of_many_holds_and_keeps_the_lease(world):
    keepers = [world.start(f'n{n}') for n in range(5)]
    await asyncio.sleep(1)
    held = {lease.get_fencing_number() for lease in keepers} - {None}
    assert len(held) == 1
    for _ in range(60):
        await asyncio.sleep(1)
        now = [
            lease.get_fencing_number()
            for lease in keepers
            if lease.get_fencing_number() is not None
        ]
        assert now == list(held)
    assert {lease.find_highest_number() for lease in keepers} == held


async def test_takeover_gives_a_higher_number(world):
    first = world.start('a')
    await asyncio.sleep(1)
    second = world.start('b')
    before = first.get_fencing_number()
    await asyncio.sleep(5)
    assert second.get_fencing_number() is None
    world.crash(first)
    await asyncio.sleep(TAKEOVER)
    assert second.get_fencing_number() > before
    assert first.get_fencing_number() is None


async def test_release_hands_the_lease_over_at_once(world):
    first = world.start('a')
    await asyncio.sleep(1)
    second = world.start('b')
    await asyncio.sleep(1)
    before = first.get_fencing_number()
    await first.release()
    assert first.get_fencing_number() is None
    await asyncio.sleep(1)
    assert second.get_fencing_number() > before


async def test_never_two_valid_holders_when_the_holder_loses_the_log(world):
    faulty_log = FaultyLog(world.log)
    first = world.start('a', faulty_log)
    await asyncio.sleep(1)
    second = world.start('b')
    await asyncio.sleep(2)
    faulty_log.cut = True
    for _ in range(200):
        await asyncio.sleep(0.1)
        assert (
            first.get_fencing_number() is None
            or second.get_fencing_number() is None
        )
    assert second.get_fencing_number() is not None
    faulty_log.cut = False
    await asyncio.sleep(2)
    assert first.get_fencing_number() is None
    assert first.state is keeper.LeaseState.FOLLOWING


async def test_validity_counts_from_the_moment_of_sending(world):
    faulty_log = FaultyLog(world.log)
    first = world.start('a', faulty_log)
    await asyncio.sleep(1)
    second = world.start('b')
    faulty_log.slow = 2.5
    for _ in range(400):
        await asyncio.sleep(0.1)
        assert (
            first.get_fencing_number() is None
            or second.get_fencing_number() is None
        )


async def test_lost_answer_of_a_renewal_is_found_in_the_log(world):
    first = world.start('a')
    await asyncio.sleep(1)
    world.log.lost_answers = 100
    for _ in range(30):
        await asyncio.sleep(1)
        assert first.get_fencing_number() is not None


async def test_lost_answer_of_a_claim_is_found_in_the_log(world):
    world.log.lost_answers = 1
    first = world.start('a')
    await asyncio.sleep(1)
    assert first.get_fencing_number() == 0
    assert world.log.appends == 1


async def test_log_down_for_long_lapses_and_comes_back(world):
    first = world.start('a')
    second = world.start('b')
    await asyncio.sleep(1)
    holder = first if first.get_fencing_number() is not None else second
    number = holder.get_fencing_number()
    world.log.down = True
    await asyncio.sleep(60)
    assert first.get_fencing_number() is None
    assert second.get_fencing_number() is None
    assert holder.state is keeper.LeaseState.LAPSED
    assert holder.find_highest_number() == number
    world.log.down = False
    await asyncio.sleep(2)
    assert [first.get_fencing_number(), second.get_fencing_number()].count(
        None
    ) == 1


async def test_expired_records_do_not_free_a_held_lease(world):
    first = world.start('a')
    await asyncio.sleep(20)
    world.log.expire_before(STREAM, first._fold.next)
    second = world.start('b')
    number = first.get_fencing_number()
    for _ in range(40):
        await asyncio.sleep(0.5)
        assert first.get_fencing_number() == number
        assert second.get_fencing_number() is None
    assert second.find_highest_number() == number


async def test_only_candidates_claim(world):
    chosen = []
    bystander = world.start('a', candidate=lambda: bool(chosen))
    await asyncio.sleep(30)
    assert bystander.get_fencing_number() is None
    holder = world.start('b')
    await asyncio.sleep(15)
    assert bystander.get_fencing_number() is None
    chosen.append(True)
    await asyncio.sleep(5)
    assert bystander.find_highest_number() == holder.get_fencing_number()
    assert bystander.get_fencing_number() is None
    world.crash(holder)
    await asyncio.sleep(TAKEOVER)
    assert bystander.get_fencing_number() > bystander.find_highest_number() - 1


async def test_node_that_becomes_a_candidate_does_not_disturb_a_holder(world):
    chosen = []
    holder = world.start('a')
    other = world.start('b', candidate=lambda: bool(chosen))
    await asyncio.sleep(60)
    number = holder.get_fencing_number()
    chosen.append(True)
    for _ in range(40):
        await asyncio.sleep(0.5)
        assert holder.get_fencing_number() == number
        assert other.get_fencing_number() is None


async def test_holder_that_is_not_entitled_releases(world):
    lost = []
    guardian = world.start('a', entitled=lambda: not lost)
    await asyncio.sleep(15)
    first = guardian.get_fencing_number()
    assert first is not None
    lost.append(True)
    local = world.start('b')
    await asyncio.sleep(5)
    assert guardian.get_fencing_number() is None
    assert local.get_fencing_number() > first


PAUSES = ('before the check', 'between check and send', 'after the send')


@pytest.mark.parametrize('checks_fencing', [True, False])
@pytest.mark.parametrize('step', PAUSES)
async def test_holder_paused_at_each_step(world, step, checks_fencing):
    """A late order of a paused holder never undoes its successor's.

    An engine that checks fencing numbers refuses the late order.  For other
    engines, the successor reads the state back and repeats its own order.
    """
    target = engine.StandInEngine(
        'e',
        engine.StandInEngineSettings(
            checks_fencing=checks_fencing, swap_time=0.1
        ),
    )
    faulty_log = FaultyLog(world.log)
    first = world.start('a', faulty_log)
    await asyncio.sleep(1)
    second = world.start('b')
    await asyncio.sleep(1)
    old = make_order(first.get_fencing_number(), 2)
    if step == 'after the send':
        await target.send_order(old)
    faulty_log.cut = True  # The paused process neither reads nor renews.
    await asyncio.sleep(TAKEOVER + 2)
    assert second.get_fencing_number() is not None
    await target.send_order(make_order(second.get_fencing_number(), 3))
    await asyncio.sleep(1)
    if step == 'before the check':
        assert first.get_fencing_number() is None
    if step == 'between check and send':
        outcome = await target.send_order(old)
        assert outcome.is_error() or not checks_fencing
        await asyncio.sleep(1)
    await repeat_order(target, second, 3)
    state = (await target.read_state()).ok
    assert state.weight_version == 3


def make_order(number, version):
    return targets.Order(
        targets.OrderKind.LOAD_VERSION,
        number,
        weight_version=version,
        reference=f'v{version}',
    )


async def repeat_order(target, holder, version):
    """Reads the state back and repeats the order, as a holder does."""
    state = (await target.read_state()).ok
    if state.weight_version != version:
        await target.send_order(
            make_order(holder.get_fencing_number(), version)
        )
        await asyncio.sleep(1)
