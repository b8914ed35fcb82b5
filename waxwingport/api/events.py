"""Server-sent events of one answer, combined into few writes."""

import asyncio

from tornado import iostream

from waxwingport.api import handler
from waxwingport.http import sse
from waxwingport.requests import settings

__all__ = ['EventStream']


class EventStream:
    """Writes events to a caller as fast as the caller reads them.

    Events that are queued, or that arrive during an earlier write, are
    written together.  At most ``write_buffer`` bytes are buffered: beyond
    them ``send`` waits, which also slows the engine down.
    """

    def __init__(
        self, target: handler.Handler, configured: settings.RequestSettings
    ) -> None:
        self._handler = target
        self._settings = configured
        self._loop = asyncio.get_running_loop()
        self._buffered: list[bytes] = []
        self._size = 0
        self._started = False
        self._written: asyncio.Future[None] | None = None
        self._timer: asyncio.TimerHandle | None = None

    async def send(self, data: bytes) -> None:
        """Sends one event with ``data``.

        Raises ``StreamClosedError`` when the caller disconnects, or reads
        nothing for ``write_timeout`` seconds.
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
        """Buffers one event with ``data``, to be written with the next one."""
        event = sse.format_event(data)
        self._buffered.append(event)
        self._size += len(event)

    def finish(self, last: bytes) -> None:
        """Ends the answer with ``last``, after all buffered events."""
        self._buffered.append(last)
        self._stop_timer()
        self._handler.finish(self._pop_buffered())

    def _flush(self) -> None:
        if not self._buffered or self._handler.is_closed:
            return
        if self._written is not None and not self._written.done():
            return
        self._stop_timer()
        self._written = self._write(self._pop_buffered())
        if self._written.done():
            self._written = None
            return
        self._written.add_done_callback(self._handle_written)
        self._timer = self._loop.call_later(
            self._settings.write_timeout, self._handler.close_connection
        )

    def _write(self, data: bytes) -> 'asyncio.Future[None]':
        if self._started:
            return self._handler.request.connection.write(data)
        self._started = True
        self._handler.write(data)
        return self._handler.flush()

    def _handle_written(self, written: 'asyncio.Future[None]') -> None:
        if self._written is written:
            self._written = None
            self._stop_timer()
            self._flush()

    def _pop_buffered(self) -> bytes:
        data = b''.join(self._buffered)
        self._buffered.clear()
        self._size = 0
        return data

    def _stop_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
