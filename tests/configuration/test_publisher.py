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


class Operator:
    """An operator with a publisher and a view of the log of its own."""

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
def operator(log, vm_list):
    return Operator(log, vm_list)


async def count_records(log):
    return (await log.read(reader.STREAM, 0)).ok.end


@pytest.mark.looptime
async def test_publish_returns_the_revision(operator, changes):
    assert (await operator.publish(changes.pool('p'))).ok == 0
    assert operator.state.declarations.find_pool('p') is not None


@pytest.mark.looptime
async def test_append_with_a_lost_answer_is_not_repeated(
    operator, log, changes
):
    log.lost_answers = 1
    assert (await operator.publish(changes.pool('p'))).ok == 0
    assert await count_records(log) == 1


class LateLog(platform.StandInLog):
    """Reports the first append as unknown and does not carry it out yet."""

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
    operator = Operator(log, vm_list)
    assert (await operator.publish(changes.pool('p'))).ok == 0
    await log.append(reader.STREAM, log.late[0])
    follow_up = changes.pool('p', weight=2.0, based_on=0)
    assert (await operator.publish(follow_up)).ok == 2
    assert operator.state.declarations.find_pool('p').weight == 2.0


@pytest.mark.looptime
async def test_one_of_several_concurrent_operators_succeeds(
    log, vm_list, changes
):
    operators = [Operator(log, vm_list) for _ in range(4)]
    outcomes = await asyncio.gather(
        *(
            operator.publish(changes.pool('p', weight=2.0, author=f'o{index}'))
            for index, operator in enumerate(operators)
        )
    )
    winners = [each for each in outcomes if each.is_ok()]
    losers = [each.error for each in outcomes if each.is_error()]
    assert len(winners) == 1 and len(losers) == 3
    assert {each.kind for each in losers} == {KINDS.CONFLICT}
    first = losers[0].conflict
    assert first.revision == winners[0].ok
    assert first.keys == ('pools/p',)


@pytest.mark.looptime
async def test_known_conflict_appends_nothing(operator, log, changes):
    await operator.publish(changes.pool('p'))
    outcome = await operator.publish(changes.pool('p', weight=2.0))
    assert outcome.error.kind is KINDS.CONFLICT
    assert await count_records(log) == 1


@pytest.mark.looptime
async def test_same_record_id_has_the_same_outcome(operator, log, changes):
    change = changes.pool('p')
    assert (await operator.publish(change)).ok == 0
    assert (await operator.publish(change)).ok == 0
    assert await count_records(log) == 1


@pytest.mark.looptime
async def test_log_down_publishes_nothing(operator, log, changes):
    log.down = True
    outcome = await operator.publish(changes.pool('p'))
    assert outcome.error.kind is KINDS.UNAVAILABLE
    assert 'nothing was published' in outcome.error.detail
    log.down = False
    assert await count_records(log) == 0


@pytest.mark.looptime
async def test_log_down_after_a_lost_answer_is_unknown(
    operator, log, changes, monkeypatch
):
    append = log.append

    async def append_and_fail(stream, body):
        await append(stream, body)
        log.down = True
        kind = base.LogFaultKind.UNKNOWN
        return platform.Error(base.LogFault(kind, 'lost'))

    monkeypatch.setattr(log, 'append', append_and_fail)
    outcome = await operator.publish(changes.pool('p'))
    assert outcome.error.kind is KINDS.UNKNOWN


@pytest.mark.looptime
async def test_publish_retries_after_a_rate_limit(vm_list, changes):
    settings = platform.StandInLogSettings(appends_per_second=1)
    log = platform.StandInLog(settings)
    await log.append(reader.STREAM, b'{}')
    operator = Operator(log, vm_list)
    assert (await operator.publish(changes.pool('p'))).ok == 1


@pytest.mark.looptime
async def test_change_without_targets_is_refused_unless_forced(
    operator, vm_list, changes
):
    await operator.publish(changes.pool('p'))
    values = {
        'pools/p': operator.state.declarations.find_pool('p').__class__(
            'p', 'kind = servce'
        )
    }
    change = changes.make(values, based_on=0)
    outcome = await operator.publish(change)
    assert outcome.error.kind is KINDS.UNCOVERED
    assert "'p' (kind = servce)" in outcome.error.detail
    assert (await operator.publish(change, force=True)).ok == 1
    other = changes.pool('q', based_on=1)
    assert (await operator.publish(other)).ok == 2


@pytest.mark.looptime
async def test_unreadable_vm_list_needs_force(operator, vm_list, changes):
    vm_list.down = True
    change = changes.pool('p')
    assert (await operator.publish(change)).error.kind is KINDS.UNCOVERED
    assert (await operator.publish(change, force=True)).is_ok()


@pytest.mark.looptime
async def test_no_change_is_published_on_a_wiped_log(operator, log, changes):
    await operator.publish(changes.pool('p'))
    await operator.publish(changes.pool('p', weight=2.0, based_on=0))
    log.wipe(reader.STREAM)
    change = changes.pool('q', based_on=1)
    assert (await operator.publish(change)).is_error()
    assert await count_records(log) == 0


@pytest.mark.looptime
async def test_reader_keeps_its_state_when_the_log_was_wiped(
    operator, log, changes
):
    for index in range(3):
        change = changes.pool('p', weight=index + 1.0, based_on=index - 1)
        await operator.publish(change)
    log.wipe(reader.STREAM)
    assert (await operator.reader.read_once(0.0)).is_error()
    assert operator.reader.log_behind
    for index in range(5):
        change = changes.pool('x', weight=index + 1.0, based_on=index - 1)
        await log.append(reader.STREAM, records.encode(change))
    assert (await operator.reader.read_once(0.0)).is_error()
    assert operator.state.revision == 2
    assert operator.state.declarations.find_pool('x') is None


@pytest.mark.looptime
async def test_reader_resumes_when_the_same_log_is_restored(
    operator, log, changes
):
    streams = log._streams
    for index in range(3):
        change = changes.pool('p', weight=index + 1.0, based_on=index - 1)
        await operator.publish(change)
    kept = streams.pop(reader.STREAM)
    assert (await operator.reader.read_once(0.0)).is_error()
    streams[reader.STREAM] = kept
    change = changes.pool('p', weight=9.0, based_on=2)
    await log.append(reader.STREAM, records.encode(change))
    assert (await operator.reader.read_once(0.0)).ok == 1
    assert not operator.reader.log_behind
