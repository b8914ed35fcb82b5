import asyncio

from waxwingport.log import base
from waxwingport.standins import partitions

KEYED = base.Topic('keyed.op')


def write_as(epoch, sequence):
    return base.Writer('holder', base.Epoch(epoch), sequence)


async def test_records_are_numbered_and_read_in_order(log, partition):
    first = (await log.append(partition, (b'a', b''))).ok
    second = (await log.append(partition, (b'c',))).ok
    page = (await log.read(partition, 0)).ok
    assert (first.offset, first.end, second.offset) == (0, 2, 2)
    assert page.records == (b'a', b'', b'c')
    assert (page.end, page.oldest) == (3, 0)


async def test_a_read_waits_for_the_first_record(log, partition):
    reading = asyncio.ensure_future(log.read(partition, 0, 2.0))
    await asyncio.sleep(0.05)
    await log.append(partition, (b'a',))
    assert (await reading).ok.records == (b'a',)


async def test_a_read_without_a_record_in_time_is_empty(log, partition):
    page = (await log.read(partition, 0, 0.05)).ok
    assert page.records == ()


async def test_a_read_of_expired_records_names_the_oldest_stored(
    log, memory, partition
):
    await log.append(partition, (b'a', b'b', b'c'))
    memory.expire(partition, 2)
    fault = (await log.read(partition, 0)).error
    assert (fault.kind, fault.oldest) == (base.FaultKind.EXPIRED, 2)


async def test_a_lower_epoch_is_fenced(log, partition):
    await log.append(partition, (b'a',), write_as(1, 1))
    await log.append(partition, (), write_as(2, 0))
    fault = (await log.append(partition, (b'b',), write_as(1, 2))).error
    assert fault.kind is base.FaultKind.FENCED
    assert fault.had_no_effect
    assert (await log.read(partition, 0)).ok.records == (b'a',)


async def test_a_repeat_has_the_first_outcome(log, partition):
    first = (await log.append(partition, (b'a',), write_as(1, 1))).ok
    again = (await log.append(partition, (b'a',), write_as(1, 1))).ok
    assert again == first
    assert (await log.read(partition, 0)).ok.records == (b'a',)


async def test_a_gap_in_a_writers_numbers_is_refused(log, partition):
    await log.append(partition, (b'a',), write_as(1, 1))
    fault = (await log.append(partition, (b'c',), write_as(1, 3))).error
    assert fault.kind is base.FaultKind.SEQUENCE


async def test_an_append_elsewhere_than_the_end_conflicts(log, partition):
    await log.append(partition, (b'a',))
    fault = (await log.append(partition, (b'b',), None, 0)).error
    assert fault.kind is base.FaultKind.CONFLICT
    assert (await log.append(partition, (b'b',), None, 1)).is_ok()


async def test_a_busy_log_had_no_effect(log, memory, partition):
    memory.failures.append(partitions.LogFailure.BUSY)
    fault = (await log.append(partition, (b'a',))).error
    assert fault.kind is base.FaultKind.BUSY
    assert fault.had_no_effect


async def test_a_lost_answer_leaves_the_outcome_unknown(
    log, memory, partition
):
    memory.failures.append(partitions.LogFailure.LOST)
    fault = (await log.append(partition, (b'a',))).error
    assert fault.kind is base.FaultKind.UNKNOWN
    assert not fault.had_no_effect
    assert (await log.read(partition, 0)).ok.records == (b'a',)


async def test_newest_values_leave_out_removed_keys(log, memory):
    memory.write_keyed(KEYED, 'config', b'1')
    memory.write_keyed(KEYED, 'gone', b'1')
    memory.write_keyed(KEYED, 'config', b'2')
    memory.write_keyed(KEYED, 'gone')
    page = (await log.read_newest(KEYED)).ok
    assert page.records == (base.KeyedRecord('config', b'2'),)
    assert page.end == 4
    assert page.covered == 3


async def test_keyed_records_are_parsed_like_their_newest(log, memory):
    memory.write_keyed(KEYED, 'config', b'1')
    memory.write_keyed(KEYED, 'config')
    page = (await log.read(base.Partition(KEYED, 0), 0)).ok
    found = [log.parse_keyed(record).ok for record in page.records]
    assert found == [
        base.KeyedRecord('config', b'1'),
        base.KeyedRecord('config', None),
    ]


async def test_a_keyed_record_shorter_than_its_key_is_a_fault(log):
    assert log.parse_keyed(b'\x09ab').is_error()
    assert log.parse_keyed(b'').is_error()
