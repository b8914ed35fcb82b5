import asyncio
import random

from hypothesis import given
from hypothesis import strategies as st
import pytest

from tests import loop_clocks
from waxwingport.log import base
from waxwingport.log import writers
from waxwingport.standins import partitions
from waxwingport.submissions import model
from waxwingport.submissions import texts

pytestmark = pytest.mark.looptime
PARTITION = base.Partition(texts.TOPIC, 2)
RECORD_SIZE = 64
TIMEOUT = 1.0


class CountingLog:
    """Records the reads that reach the log; answers them after a pause."""

    def __init__(self, log):
        self._log = log
        self.append = log.append
        self.reads = []
        self.pause = 0.0

    async def read(self, partition, offset, wait=0.0, size=None):
        self.reads.append((offset, size))
        await asyncio.sleep(self.pause)
        return await self._log.read(partition, offset, wait, size)


@pytest.fixture
def log():
    return partitions.MemoryLog()


@pytest.fixture
def counting(log):
    return CountingLog(log)


@pytest.fixture
def reader(counting):
    """Returns a reader without the written texts in its cache."""
    return texts.TextReader(counting, 1 << 20)


@pytest.fixture
async def make_writer(log):
    """Returns a function that starts a writer of texts in an epoch."""
    running = []

    def make(epoch, reader=None):
        made = texts.TextWriter(
            writers.FencedWriter(log, PARTITION, base.Epoch(epoch), 1, 4096),
            reader or texts.TextReader(log, 1 << 20),
            RECORD_SIZE,
            loop_clocks.LoopWallClock(),
        )
        running.append(asyncio.ensure_future(made.run()))
        return made

    yield make
    for task in running:
        task.cancel()


def make_text(seed, size=300):
    """Returns events that do not compress to one record."""
    rng = random.Random(seed)
    return tuple(rng.randbytes(size // 6).hex() for _ in range(3))


async def store_all(writer, found):
    done = await asyncio.gather(*(writer.store(text) for text in found))
    return [outcome.ok for outcome in done]


@pytest.mark.parametrize(
    'text', [(), ('one',), make_text(1), make_text(2, 900)]
)
async def test_a_text_is_read_as_it_was_stored(make_writer, reader, text):
    (reference,) = await store_all(make_writer(1), [text])
    (found,) = await reader.fetch([reference], TIMEOUT)
    assert found.ok == text


async def test_adjacent_texts_are_read_by_one_call(
    make_writer, reader, counting
):
    found = [make_text(number) for number in range(20)]
    references = await store_all(make_writer(1), found)
    outcomes = await reader.fetch(references[5:15], TIMEOUT)
    assert [entry.ok for entry in outcomes] == found[5:15]
    ((offset, size),) = counting.reads
    assert offset == references[5].offset
    assert size < 2 * sum(entry.size for entry in references[5:15])


async def test_texts_far_apart_are_read_by_calls_of_their_own(
    make_writer, reader, counting
):
    found = [make_text(number) for number in range(20)]
    references = await store_all(make_writer(1), found)
    outcomes = await reader.fetch([references[0], references[19]], TIMEOUT)
    assert [outcome.ok for outcome in outcomes] == [found[0], found[19]]
    assert len(counting.reads) == 2
    assert sum(size for _, size in counting.reads) < 2000


async def test_cached_texts_are_not_read_again(make_writer, reader, counting):
    written = await store_all(make_writer(1), [make_text(1)])
    own = await store_all(make_writer(2, reader), [make_text(2)])
    await reader.fetch(written, TIMEOUT)
    before = len(counting.reads)
    outcomes = await reader.fetch([*written, *own], TIMEOUT)
    assert [outcome.ok for outcome in outcomes] == [make_text(1), make_text(2)]
    assert len(counting.reads) == before == 1


async def test_the_cache_stays_within_its_bound(make_writer, log):
    counting = CountingLog(log)
    found = [make_text(number) for number in range(10)]
    references = await store_all(make_writer(1), found)
    small = texts.TextReader(counting, 3 * references[0].size)
    await small.fetch(references, TIMEOUT)
    before = len(counting.reads)
    await small.fetch(references[-2:], TIMEOUT)
    assert len(counting.reads) == before
    await small.fetch(references[:1], TIMEOUT)
    assert len(counting.reads) == before + 1


async def test_a_text_that_expired_fails_alone(make_writer, reader, log):
    found = [make_text(number) for number in range(8)]
    references = await store_all(make_writer(1), found)
    log.expire(PARTITION, references[1].offset)
    first, last = await reader.fetch([references[0], references[7]], TIMEOUT)
    assert first.error.kind is base.FaultKind.EXPIRED
    assert last.ok == found[7]


async def test_undecodable_bytes_are_a_fault(reader, log):
    await log.append(PARTITION, (b'no text',))
    reference = model.TextReference(2, 0, 1, 7, 0.0)
    (found,) = await reader.fetch([reference], TIMEOUT)
    assert found.error.kind is base.FaultKind.INVALID


async def test_a_text_beyond_the_end_is_a_fault(reader):
    reference = model.TextReference(2, 5, 1, 7, 0.0)
    (found,) = await reader.fetch([reference], TIMEOUT)
    assert found.is_error()


async def test_a_log_that_does_not_answer_is_a_fault_after_the_timeout(
    make_writer, reader, counting
):
    references = await store_all(make_writer(1), [make_text(1)])
    counting.pause = 60.0
    before = asyncio.get_running_loop().time()
    (found,) = await reader.fetch(references, TIMEOUT)
    assert found.error.kind is base.FaultKind.UNKNOWN
    assert asyncio.get_running_loop().time() - before <= TIMEOUT + 0.1


async def test_a_later_holder_fences_the_writer_of_texts(make_writer):
    old = make_writer(1)
    await old.store(('a',))
    await make_writer(2).store(('b',))
    refused = await old.store(('c',))
    assert refused.error.kind is base.FaultKind.FENCED
    assert (await old.store(('d',))).is_error()


REFERENCES = st.builds(
    model.TextReference,
    st.integers(0, 2),
    st.integers(0, 60).map(lambda number: 3 * number),
    st.integers(1, 3),
    st.just(10),
    st.just(0.0),
)


@given(st.sets(REFERENCES, max_size=20))
def test_spans_contain_every_text_once_and_no_wide_gap(references):
    spans = texts.group_adjacent(references)
    assert sorted(reference for span in spans for reference in span) == sorted(
        references
    )
    for span in spans:
        for before, after in zip(span, span[1:], strict=False):
            assert after.partition == before.partition
            assert after.offset - before.offset - before.record_count <= 2
