import asyncio

import pytest

from waxwingport.configuration import publisher
from waxwingport.configuration import reader
from waxwingport.configuration import records
from waxwingport.configuration import state
from waxwingport import ids
from waxwingport.outside import base
from waxwingport.standins import platform

KINDS = publisher.PublishFaultKind
ENGINE = base.Vm('e1', base.VmKind.ENGINE, ids.DataCentre('a'), '10.0.0.1:1')


class Desk:
    """An operator's own view of one log."""

    def __init__(self, log, vm_list):
        self.log = log
        self.state = state.ConfigurationState()
        self.reader = reader.ConfigurationReader(log, self.state)
        self.publisher = publisher.Publisher(
            log, vm_list, self.state, self.reader
        )

    async def publish(self, change, **options):
        return await self.publisher.publish(change, 10.0, **options)


@pytest.fixture
def log():
    return platform.StandInLog()


@pytest.fixture
def vm_list():
    return platform.StandInVmList([ENGINE])


@pytest.fixture
def desk(log, vm_list):
    return Desk(log, vm_list)


async def count_records(log):
    return (await log.read(reader.STREAM, 0)).ok.end


@pytest.mark.looptime
async def test_publishes_and_tells_the_revision(desk, changes):
    assert (await desk.publish(changes.pool('p'))).ok == 0
    assert desk.state.declarations.find_pool('p') is not None


@pytest.mark.looptime
async def test_lost_answer_is_looked_for_and_not_repeated(desk, log, changes):
    log.lost_answers = 1
    assert (await desk.publish(changes.pool('p'))).ok == 0
    assert await count_records(log) == 1


class LateLog(platform.StandInLog):
    """Loses the answer and lets the append take effect only later."""

    def __init__(self):
        super().__init__()
        self.late = []

    async def append(self, stream, body):
        if not self.late:
            self.late.append(body)
            kind = base.LogFaultKind.UNKNOWN
            return platform.Error(base.LogFault(kind, 'lost'))
        return await super().append(stream, body)


@pytest.mark.looptime
async def test_append_that_takes_effect_late_is_ignored(vm_list, changes):
    log = LateLog()
    desk = Desk(log, vm_list)
    assert (await desk.publish(changes.pool('p'))).ok == 0
    await log.append(reader.STREAM, log.late[0])
    follow_up = changes.pool('p', weight=2.0, based_on=0)
    assert (await desk.publish(follow_up)).ok == 2
    assert desk.state.declarations.find_pool('p').weight == 2.0


@pytest.mark.looptime
async def test_racing_operators_get_one_winner(log, vm_list, changes):
    desks = [Desk(log, vm_list) for _ in range(4)]
    outcomes = await asyncio.gather(
        *(
            desk.publish(changes.pool('p', weight=2.0, author=f'o{index}'))
            for index, desk in enumerate(desks)
        )
    )
    winners = [row for row in outcomes if row.is_ok()]
    losers = [row.error for row in outcomes if row.is_error()]
    assert len(winners) == 1 and len(losers) == 3
    assert {row.kind for row in losers} == {KINDS.CONFLICT}
    first = losers[0].conflict
    assert first.revision == winners[0].ok
    assert first.keys == ('pools/p',)


@pytest.mark.looptime
async def test_known_conflict_appends_nothing(desk, log, changes):
    await desk.publish(changes.pool('p'))
    outcome = await desk.publish(changes.pool('p', weight=2.0))
    assert outcome.error.kind is KINDS.CONFLICT
    assert await count_records(log) == 1


@pytest.mark.looptime
async def test_same_record_id_has_the_same_outcome(desk, log, changes):
    change = changes.pool('p')
    assert (await desk.publish(change)).ok == 0
    assert (await desk.publish(change)).ok == 0
    assert await count_records(log) == 1


@pytest.mark.looptime
async def test_log_down_publishes_nothing(desk, log, changes):
    log.down = True
    outcome = await desk.publish(changes.pool('p'))
    assert outcome.error.kind is KINDS.UNAVAILABLE
    assert 'nothing was published' in outcome.error.detail
    log.down = False
    assert await count_records(log) == 0


@pytest.mark.looptime
async def test_log_down_after_a_lost_answer_is_unknown(
    desk, log, changes, monkeypatch
):
    append = log.append

    async def append_and_die(stream, body):
        await append(stream, body)
        log.down = True
        kind = base.LogFaultKind.UNKNOWN
        return platform.Error(base.LogFault(kind, 'lost'))

    monkeypatch.setattr(log, 'append', append_and_die)
    outcome = await desk.publish(changes.pool('p'))
    assert outcome.error.kind is KINDS.UNKNOWN


@pytest.mark.looptime
async def test_rate_limit_is_waited_out(vm_list, changes):
    settings = platform.StandInLogSettings(appends_per_second=1)
    log = platform.StandInLog(settings)
    await log.append(reader.STREAM, b'{}')
    desk = Desk(log, vm_list)
    assert (await desk.publish(changes.pool('p'))).ok == 1


@pytest.mark.looptime
async def test_change_without_targets_is_refused_unless_forced(
    desk, vm_list, changes
):
    await desk.publish(changes.pool('p'))
    values = {
        'pools/p': desk.state.declarations.find_pool('p').__class__(
            'p', 'kind = servce'
        )
    }
    change = changes.make(values, based_on=0)
    outcome = await desk.publish(change)
    assert outcome.error.kind is KINDS.UNCOVERED
    assert "'p' (kind = servce)" in outcome.error.detail
    assert (await desk.publish(change, force=True)).ok == 1
    other = changes.pool('q', based_on=1)
    assert (await desk.publish(other)).ok == 2


@pytest.mark.looptime
async def test_unreadable_vm_list_needs_force(desk, vm_list, changes):
    vm_list.down = True
    change = changes.pool('p')
    assert (await desk.publish(change)).error.kind is KINDS.UNCOVERED
    assert (await desk.publish(change, force=True)).is_ok()


@pytest.mark.looptime
async def test_wiped_log_takes_no_change(desk, log, changes):
    await desk.publish(changes.pool('p'))
    await desk.publish(changes.pool('p', weight=2.0, based_on=0))
    log.wipe(reader.STREAM)
    change = changes.pool('q', based_on=1)
    assert (await desk.publish(change)).is_error()
    assert await count_records(log) == 0


@pytest.mark.looptime
async def test_reader_keeps_its_state_when_the_log_was_wiped(
    desk, log, changes
):
    for index in range(3):
        row = changes.pool('p', weight=index + 1.0, based_on=index - 1)
        await desk.publish(row)
    log.wipe(reader.STREAM)
    assert (await desk.reader.step(0.0)).is_error()
    assert desk.reader.behind
    for index in range(5):
        row = changes.pool('x', weight=index + 1.0, based_on=index - 1)
        await log.append(reader.STREAM, records.encode(row))
    assert (await desk.reader.step(0.0)).is_error()
    assert desk.state.revision == 2
    assert desk.state.declarations.find_pool('x') is None


@pytest.mark.looptime
async def test_reader_goes_on_when_the_same_log_is_back(desk, log, changes):
    streams = log._streams
    for index in range(3):
        row = changes.pool('p', weight=index + 1.0, based_on=index - 1)
        await desk.publish(row)
    kept = streams.pop(reader.STREAM)
    assert (await desk.reader.step(0.0)).is_error()
    streams[reader.STREAM] = kept
    row = changes.pool('p', weight=9.0, based_on=2)
    await log.append(reader.STREAM, records.encode(row))
    assert (await desk.reader.step(0.0)).ok == 1
    assert not desk.reader.behind
