"""Ends of background tasks."""

import asyncio
from collections.abc import Iterable

__all__ = ['cancel_all']

_REPEAT_AFTER = 0.5


async def cancel_all(tasks: Iterable[asyncio.Task[None]]) -> None:
    """Cancels tasks and waits until all of them have ended.

    Cancels again what goes on: ``asyncio.wait_for`` drops a cancellation that
    comes together with its result.
    """
    pending = set(tasks)
    while pending:
        for task in pending:
            task.cancel()
        _, pending = await asyncio.wait(pending, timeout=_REPEAT_AFTER)
