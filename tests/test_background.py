import asyncio

import pytest

from waxwingport import background


async def end():
    """Ends at once."""


async def break_invariant():
    raise AssertionError('counts differ')


@pytest.mark.looptime
async def test_broken_invariant_is_reported(caplog):
    found = background.BackgroundTasks()
    found.spawn(asyncio.sleep(3600))
    found.spawn(end())
    await asyncio.sleep(1)
    assert not found.failed.done()
    found.spawn(break_invariant())
    await asyncio.wait_for(found.failed, 1)
    assert 'break_invariant' in caplog.text
    await found.stop()


@pytest.mark.looptime
async def test_stop_ends_every_task():
    found = background.BackgroundTasks()
    found.spawn(asyncio.sleep(3600))
    await found.stop()
    assert not found.failed.done()
