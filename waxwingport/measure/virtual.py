"""An event loop whose clock jumps to the next timer.

Measurements of policies run on it, so that their figures depend on the
decisions alone and not on the machine.  It serves timers and callbacks only,
no sockets.
"""

import asyncio
from collections.abc import Coroutine
import selectors
from typing import TypeVar

__all__ = ['run']

Value = TypeVar('Value')


_LEAST_STEP = 1e-9
"""Seconds."""


class _JumpingSelector(selectors.SelectSelector):
    """Moves the clock by the time that it is asked to wait."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0

    def select(self, timeout: float | None = None) -> list:
        """Returns no event and adds ``timeout`` to the clock.

        The clock moves a little each time, as timers within the clock's
        resolution fire early and whoever set one could wait for ever.
        """
        if timeout is None:
            raise RuntimeError('the loop waits for something without a timer')
        self.now += max(_LEAST_STEP, timeout)
        return []


class _VirtualLoop(asyncio.SelectorEventLoop):
    """Event loop on the clock of its selector."""

    def __init__(self) -> None:
        self._jumping = _JumpingSelector()
        super().__init__(self._jumping)

    def time(self) -> float:
        """Returns the virtual time in seconds."""
        return self._jumping.now


def _run(work: Coroutine[None, None, Value]) -> Value:
    loop = _VirtualLoop()
    try:
        return loop.run_until_complete(work)
    finally:
        loop.run_until_complete(_cancel_rest())
        loop.run_until_complete(loop.shutdown_asyncgens())
        loop.close()


async def _cancel_rest() -> None:
    rest = asyncio.all_tasks() - {asyncio.current_task()}
    for task in rest:
        task.cancel()
    await asyncio.gather(*rest, return_exceptions=True)


async def run(work: Coroutine[None, None, Value]) -> Value:
    """Runs ``work`` in virtual time and returns its result.

    It runs beside the calling loop, which waits.
    """
    return await asyncio.to_thread(_run, work)
