"""Calls about a submission that another node has just accepted."""

import asyncio

import pytest

from waxwingport import clocks
from waxwingport import outcomes
from waxwingport.standins import partitions
from waxwingport.submissions import service
from waxwingport.submissions import texts
from waxwingport.submissions import view

TIMEOUT_S = 1.0


@pytest.fixture
def memory():
    return partitions.MemoryLog()


@pytest.fixture
def make_service(memory):
    """Returns a function that makes the service of a node.

    No node follows the log: each reads only what a call needs.
    """
    wall_clock = clocks.SystemWallClock()

    def make():
        return service.SubmissionService(
            memory,
            view.SubmissionView(memory, view.SubmissionSettings(), wall_clock),
            texts.TextReader(memory, 1 << 20),
            1 << 16,
            wall_clock,
        )

    return make


CALLS = {
    'end': lambda node: node.end('s', TIMEOUT_S),
    'read': lambda node: node.read('s', 0, 0.0),
    'read-item': lambda node: node.read_item('s', 'a'),
}


@pytest.mark.looptime
@pytest.mark.parametrize('call', CALLS.values(), ids=CALLS)
async def test_a_submission_accepted_since_the_last_read_gets_404(
    make_service, make_submission, call
):
    # Guards against an end that is lost, so that its items go on.
    taker, other = make_service(), make_service()
    found = await call(other)
    assert found.error.reason is outcomes.Reason.NOT_FOUND
    assert (await taker.accept(make_submission(), TIMEOUT_S)).is_ok()
    assert (await call(other)).is_ok()


@pytest.mark.looptime
async def test_a_submission_gets_404_without_the_log(make_service, memory):
    # Guards against an answer from what was read before the log was lost.
    node = make_service()
    assert (await node.end('s', TIMEOUT_S)).is_error()
    memory.down = True
    found = await node.end('s', TIMEOUT_S)
    assert found.error.reason is outcomes.Reason.LOG_UNAVAILABLE


@pytest.mark.looptime
async def test_unknown_submissions_use_up_the_rate_of_the_log(
    make_service, memory, monkeypatch
):
    # Guards against reads that grow with the calls about unknown ids.
    reads = []
    read = memory.read

    async def count_reads(*arguments, **options):
        reads.append(arguments)
        await asyncio.sleep(0.01)
        return await read(*arguments, **options)

    monkeypatch.setattr(memory, 'read', count_reads)
    node = make_service()
    calls = (node.end(f's{n}', TIMEOUT_S) for n in range(100))
    for found in await asyncio.gather(*calls):
        assert found.error.reason is outcomes.Reason.NOT_FOUND
    assert len(reads) <= 2 * view.SubmissionSettings().partitions
