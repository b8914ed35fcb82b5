"""Why and when a process that serves stops."""

import asyncio
import enum
import signal

__all__ = ['StopCause', 'wait_for_stop']


class StopCause(enum.Enum):
    """Why a process stops."""

    FAILURE = 'failure'
    SIGNAL = 'signal'
    TIME = 'time'


async def wait_for_stop(
    failed: asyncio.Future[None], seconds: float | None = None
) -> StopCause:
    """Waits for SIGINT, SIGTERM, a failure or the end of ``seconds``."""
    loop = asyncio.get_running_loop()
    signalled = asyncio.Event()
    for number in (signal.SIGINT, signal.SIGTERM):
        loop.add_signal_handler(number, signalled.set)
    waiting = asyncio.ensure_future(signalled.wait())
    await asyncio.wait(
        {waiting, failed},
        timeout=seconds,
        return_when=asyncio.FIRST_COMPLETED,
    )
    waiting.cancel()
    if failed.done():
        return StopCause.FAILURE
    return StopCause.SIGNAL if signalled.is_set() else StopCause.TIME
