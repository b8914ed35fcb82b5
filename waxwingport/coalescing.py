"""Joins concurrent calls of an operation into few runs of it."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from typing import Generic
from typing import TypeVar

__all__ = ['Coalescing']

T = TypeVar('T')


class Coalescing(Generic[T]):
    """Runs an operation for all callers that wait for its start together.

    A call gets the outcome of a run that started after it.  At most one run
    is in progress.
    """

    def __init__(self, operation: Callable[[], Awaitable[T]]) -> None:
        self._operation = operation
        self._running: asyncio.Task[T] | None = None
        self._next: asyncio.Task[T] | None = None
        """Waits for the end of ``_running``."""

    async def run(self) -> T:
        """Returns the outcome of the next run; raises what it raises."""
        if self._next is None:
            self._next = asyncio.get_running_loop().create_task(
                self._run_after(self._running)
            )
        return await asyncio.shield(self._next)

    async def _run_after(self, previous: 'asyncio.Task[T] | None') -> T:
        if previous is not None:
            await asyncio.wait([previous])
        self._running, self._next = self._next, None
        return await self._operation()
