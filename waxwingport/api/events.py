"""Server-sent events of one answer, merged into as few writes as possible."""

import asyncio

from tornado import iostream

from waxwingport.api import handler
from waxwingport.http import sse
from waxwingport.requests import settings

__all__ = ['EventStream']


class EventStream:
    """Writes events to a caller at the caller's own pace.

    Events that are queued, or that come while an earlier write still waits
    for the caller, leave together.  Only ``write_buffer`` bytes wait: ``send``
    then holds its sender up, and with it the engine.
    """

    def __init__(
        self, target: handler.Handler, configured: settings.RequestSettings
    ) -> None:
        self._handler = target
        self._settings = configured
        self._loop = asyncio.get_running_loop()
        self._waiting: list[bytes] = []
        self._size = 0
        self._started = False
        self._written: asyncio.Future[None] | None = None
        self._timer: asyncio.TimerHandle | None = None

    async def send(self, data: bytes) -> None:
        """Sends one event with ``data``.

        Raises ``StreamClosedError`` when the caller takes nothing in time.
        """
        self.queue(data)
        self._flush()
        while self._size > self._settings.write_buffer:
            if self._handler.is_closed:
                raise iostream.StreamClosedError
            if self._written is not None:
                await self._handler.wait_written(self._written)
            self._flush()

    def queue(self, data: bytes) -> None:
        """Lets one event with ``data`` leave with the next one."""
        event = sse.format_event(data)
        self._waiting.append(event)
        self._size += len(event)

    def finish(self, last: bytes) -> None:
        """Ends the answer with ``last``, after everything that waits."""
        self._waiting.append(last)
        self._stop_timer()
        self._handler.finish(self._take())

    def _flush(self) -> None:
        if not self._waiting or self._handler.is_closed:
            return
        if self._written is not None and not self._written.done():
            return
        self._stop_timer()
        self._written = self._write(self._take())
        if self._written.done():
            self._written = None
            return
        self._written.add_done_callback(self._note_written)
        self._timer = self._loop.call_later(
            self._settings.write_timeout, self._handler.close_connection
        )

    def _write(self, data: bytes) -> 'asyncio.Future[None]':
        if self._started:
            return self._handler.request.connection.write(data)
        self._started = True
        self._handler.write(data)
        return self._handler.flush()

    def _note_written(self, written: 'asyncio.Future[None]') -> None:
        if self._written is written:
            self._written = None
            self._stop_timer()
            self._flush()

    def _take(self) -> bytes:
        data = b''.join(self._waiting)
        self._waiting.clear()
        self._size = 0
        return data

    def _stop_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
