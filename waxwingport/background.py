"""Background tasks that run until the process stops."""

import asyncio
from collections.abc import Coroutine
import logging

from waxwingport import tasks

__all__ = ['BackgroundTasks']

_LOG = logging.getLogger(__name__)


class BackgroundTasks:
    """Tasks that run until ``stop``.

    Each task handles the failures of external systems itself, so an
    exception that ends one means a broken invariant.  The future ``failed``
    is done then; the code that runs the process waits for it and stops.
    """

    def __init__(self) -> None:
        self.failed: asyncio.Future[None] = (
            asyncio.get_running_loop().create_future()
        )
        self._tasks: list[asyncio.Task[None]] = []

    def spawn(self, work: Coroutine[None, None, None]) -> None:
        """Starts a task that runs ``work``; returns at once."""
        task = asyncio.get_running_loop().create_task(work)
        task.add_done_callback(self._handle_end)
        self._tasks.append(task)

    async def stop(self) -> None:
        """Cancels every task and waits until all have ended."""
        await tasks.cancel_all(self._tasks)
        self._tasks.clear()

    def _handle_end(self, task: asyncio.Task[None]) -> None:
        if task.cancelled() or task.exception() is None:
            return
        _LOG.critical(
            'broken invariant in %s',
            task.get_coro().__qualname__,
            exc_info=task.exception(),
        )
        if not self.failed.done():
            self.failed.set_result(None)
