"""Background work of a process: tasks that run until it stops."""

import asyncio
from collections.abc import Coroutine
import logging

from waxwingport import tasks

__all__ = ['BackgroundTasks']

_LOG = logging.getLogger(__name__)


class BackgroundTasks:
    """Tasks that run until ``stop``.

    They handle the failures of the outside themselves, so that one that ends
    with an exception has met a broken invariant: ``failed`` is done then, and
    whoever runs the process stops it.
    """

    def __init__(self) -> None:
        self.failed: asyncio.Future[None] = (
            asyncio.get_running_loop().create_future()
        )
        self._tasks: list[asyncio.Task[None]] = []

    def spawn(self, work: Coroutine[None, None, None]) -> None:
        """Starts a task."""
        task = asyncio.get_running_loop().create_task(work)
        task.add_done_callback(self._note_end)
        self._tasks.append(task)

    async def stop(self) -> None:
        """Cancels every task and waits for their ends."""
        await tasks.cancel_all(self._tasks)
        self._tasks.clear()

    def _note_end(self, task: asyncio.Task[None]) -> None:
        if task.cancelled() or task.exception() is None:
            return
        _LOG.critical(
            'broken invariant in %s',
            task.get_coro().__qualname__,
            exc_info=task.exception(),
        )
        if not self.failed.done():
            self.failed.set_result(None)
