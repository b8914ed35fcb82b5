import asyncio

import pytest

from waxwingport import background


async def return_at_once():
    """Returns at once."""


async def break_invariant():
    raise AssertionError('counts differ')


@pytest.mark.looptime
async def test_broken_invariant_is_reported(caplog):
    tasks = background.BackgroundTasks()
    tasks.spawn(asyncio.sleep(3600))
    tasks.spawn(return_at_once())
    await asyncio.sleep(1)
    assert not tasks.failed.done()
    tasks.spawn(break_invariant())
    await asyncio.wait_for(tasks.failed, 1)
    assert 'break_invariant' in caplog.text
    await tasks.stop()


@pytest.mark.looptime
async def test_stop_ends_every_task():
    tasks = background.BackgroundTasks()
    tasks.spawn(asyncio.sleep(3600))
    await tasks.stop()
    assert not tasks.failed.done()
