"""Items whose engines are slow, stall or send what does not end."""

import pytest

from tests.gateway import standin_engine
from tests.gateway import test_node
from waxwingport.scheduling import timeouts
from waxwingport.submissions import generation

deployment = test_node.deployment


@pytest.fixture
def short_timeouts(monkeypatch):
    """Makes the time without an event after which an item moves short."""
    monkeypatch.setattr(timeouts, '_MAX_SILENCE_TIMEOUT_S', 0.2)
    monkeypatch.setattr(timeouts, '_MIN_SILENCE_TIMEOUT_S', 0.2)


async def test_an_item_finishes_at_no_slow_but_sound_engine(
    deployment, short_timeouts
):
    # Guards against a timeout that ends each run before its first event.
    deployment.engine.early_head = True
    deployment.engine.pause = 0.5
    deployment.engine.events = 2
    served = await deployment.start_node()
    assert (await deployment.submit(served, 1)).status == 202
    (result,) = await deployment.read_all(served, 1)
    assert result['output'] == 's1-0-1\ns1-0-2'


@pytest.mark.parametrize('stall_bytes', [b'd', b': still here\n\n'])
async def test_an_item_stalls_while_bytes_arrive_now_and_then(
    deployment, short_timeouts, stall_bytes
):
    deployment.engine.stall_after = {'s1-0': 3}
    deployment.engine.stall_bytes = stall_bytes
    served = await deployment.start_node()
    assert (await deployment.submit(served, 1)).status == 202
    (result,) = await deployment.read_all(served, 1)
    assert result['output'].count('\n') == standin_engine.EVENTS - 1
    starts = [
        start for name, start in deployment.engine.runs if name[0] == 's'
    ]
    assert 3 in starts


async def test_an_event_of_an_item_does_not_end(deployment, monkeypatch):
    monkeypatch.setattr(generation, '_MAX_EVENT_BYTES', 1000)
    deployment.engine.stall_after = {'s1-0': 3}
    deployment.engine.stall_bytes = b'd' * 200
    served = await deployment.start_node()
    assert (await deployment.submit(served, 1)).status == 202
    (result,) = await deployment.read_all(served, 1)
    assert result['output'].count('\n') == standin_engine.EVENTS - 1


async def test_a_text_without_an_end_fills_the_memory(deployment, monkeypatch):
    monkeypatch.setattr(generation, '_MAX_TEXT_BYTES', 1000)
    deployment.engine.events = 100_000
    deployment.engine.pause = 0.0
    served = await deployment.start_node()
    assert (await deployment.submit(served, 1)).status == 202
    (result,) = await deployment.read_all(served, 1)
    assert result['state'] == 'errored'


async def test_an_unexpected_error_leaves_an_item_unlisted(
    deployment, monkeypatch, caplog
):
    # Guards against a task that ends with the only reference to its item.
    read = generation.ItemGenerator.run
    failures = [RuntimeError('unexpected')]

    async def fail_once(self, run):
        if failures:
            raise failures.pop()
        return await read(self, run)

    monkeypatch.setattr(generation.ItemGenerator, 'run', fail_once)
    served = await deployment.start_node()
    assert (await deployment.submit(served)).status == 202
    assert len(await deployment.read_all(served)) == 4
    assert 'item-task-failed' in caplog.text


async def test_a_stalled_item_goes_on_at_a_busy_node(
    deployment, short_timeouts, monkeypatch
):
    # Guards against a late timeout that is extended with each byte.
    monkeypatch.setattr(generation, '_LATE_TIMEOUT_S', 0.0)
    deployment.engine.stall_after = {'s1-0': 3}
    served = await deployment.start_node()
    assert (await deployment.submit(served, 1)).status == 202
    (result,) = await deployment.read_all(served, 1)
    assert result['output'].count('\n') == standin_engine.EVENTS - 1
