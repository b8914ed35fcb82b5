import asyncio
import contextlib

from waxwingport.measure import virtual


async def wait_in_rounds(seconds):
    """Waits as a pull does, for an event that never comes."""
    loop = asyncio.get_running_loop()
    never = asyncio.Event()
    deadline = loop.time() + seconds
    # Another timer goes off within the clock's resolution before.
    await asyncio.sleep(seconds - 5e-10)
    rounds = 0
    while (left := deadline - loop.time()) > 0:
        rounds += 1
        assert rounds < 1000, 'the clock stands still'
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(never.wait(), left)
    return rounds


async def test_clock_moves_past_a_deadline_within_its_resolution():
    assert await virtual.run(wait_in_rounds(100.0)) < 10
