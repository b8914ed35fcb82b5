"""An event loop whose clock jumps to the next timer.

Measurements of policies run on it, so that their figures depend only on the
policy and not on the speed of the machine.  It supports timers and callbacks,
but no sockets.
"""

import asyncio
from collections.abc import Coroutine
import selectors
from typing import TypeVar

__all__ = ['run']

Value = TypeVar('Value')


_MIN_STEP_S = 1e-9
"""Seconds that the clock advances at least in each select call."""


class _VirtualSelector(selectors.SelectSelector):
    """Advances a virtual clock by the timeout instead of waiting."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0

    def select(self, timeout: float | None = None) -> list:
        """Returns no event and adds ``timeout`` to the clock.

        The clock advances by at least ``_MIN_STEP_S``: asyncio fires timers
        that are due within the clock's resolution, so code that then waits
        for the rest of its deadline would loop forever at the same time.

        Raises:
            RuntimeError: No timer is set, so the loop would wait forever.
        """
        if timeout is None:
            raise RuntimeError(
                'the virtual event loop waits, but no timer is set'
            )
        self.now += max(_MIN_STEP_S, timeout)
        return []


class _VirtualLoop(asyncio.SelectorEventLoop):
    """Event loop that reads the time from its virtual selector."""

    def __init__(self) -> None:
        self._virtual_selector = _VirtualSelector()
        super().__init__(self._virtual_selector)

    def time(self) -> float:
        """Returns the virtual time in seconds."""
        return self._virtual_selector.now


def _run(coroutine: Coroutine[None, None, Value]) -> Value:
    loop = _VirtualLoop()
    try:
        return loop.run_until_complete(coroutine)
    finally:
        loop.run_until_complete(_cancel_remaining_tasks())
        loop.run_until_complete(loop.shutdown_asyncgens())
        loop.close()


async def _cancel_remaining_tasks() -> None:
    remaining = asyncio.all_tasks() - {asyncio.current_task()}
    for task in remaining:
        task.cancel()
    await asyncio.gather(*remaining, return_exceptions=True)


async def run(coroutine: Coroutine[None, None, Value]) -> Value:
    """Runs ``coroutine`` in virtual time and returns its result.

    The virtual loop runs in a thread of its own while the caller awaits it.
    """
    return await asyncio.to_thread(_run, coroutine)
