"""Cancellation of background tasks."""

import asyncio
from collections.abc import Iterable

__all__ = ['cancel_all']

_CANCEL_INTERVAL_S = 0.5


async def cancel_all(tasks: Iterable[asyncio.Task[None]]) -> None:
    """Cancels tasks and waits until all of them have ended.

    Repeats the cancellation of a task that continues, because
    ``asyncio.wait_for`` loses a cancellation that arrives together with its
    result.
    """
    pending = set(tasks)
    while pending:
        for task in pending:
            task.cancel()
        _, pending = await asyncio.wait(pending, timeout=_CANCEL_INTERVAL_S)
