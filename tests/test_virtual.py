import asyncio
import contextlib

from waxwingport.measure import virtual


async def count_waits(seconds):
    """Waits for an event that is never set, in a loop until a deadline.

    A pull request waits in the same way.
    """
    loop = asyncio.get_running_loop()
    never = asyncio.Event()
    deadline = loop.time() + seconds
    # The sleep ends less than the clock's resolution before the deadline.
    await asyncio.sleep(seconds - 5e-10)
    waits = 0
    while (left := deadline - loop.time()) > 0:
        waits += 1
        assert waits < 1000, 'the clock stands still'
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(never.wait(), left)
    return waits


async def test_clock_moves_past_a_deadline_within_its_resolution():
    """Guards against an endless loop of waits at one virtual time.

    asyncio fires timers that are due within the clock's resolution, so that
    a wait can end before its deadline without the clock having moved.
    """
    assert await virtual.run(count_waits(100.0)) < 10
