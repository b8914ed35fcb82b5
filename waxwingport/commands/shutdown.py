"""Waits until a process that serves requests has to stop."""

import asyncio
import enum
import signal

__all__ = ['StopCause', 'wait_for_stop']


class StopCause(enum.Enum):
    """Why a process stops."""

    FAILURE = 'failure'
    """A background task failed."""
    SIGNAL = 'signal'
    """The process received SIGINT or SIGTERM."""
    TIME = 'time'
    """The given time has passed."""


async def wait_for_stop(
    failed: asyncio.Future[None], seconds: float | None = None
) -> StopCause:
    """Waits for a signal, a failure or the end of ``seconds``.

    Returns the cause; ``failed`` is done when a background task has failed.
    """
    loop = asyncio.get_running_loop()
    signalled = asyncio.Event()
    for number in (signal.SIGINT, signal.SIGTERM):
        loop.add_signal_handler(number, signalled.set)
    signal_task = asyncio.ensure_future(signalled.wait())
    await asyncio.wait(
        {signal_task, failed},
        timeout=seconds,
        return_when=asyncio.FIRST_COMPLETED,
    )
    signal_task.cancel()
    if failed.done():
        return StopCause.FAILURE
    return StopCause.SIGNAL if signalled.is_set() else StopCause.TIME
