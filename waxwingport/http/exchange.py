"""One HTTP request and its response on one connection."""

import asyncio
import collections
from collections.abc import Callable

from tornado import httputil
from tornado import iostream

from waxwingport.http import messages

__all__ = ['Exchange']


class Exchange(httputil.HTTPMessageDelegate):
    """One request and its response on one connection."""

    def __init__(
        self,
        stream: iostream.IOStream,
        settings: messages.ClientSettings,
        deadline: float,
        on_silent: Callable[[], None],
    ) -> None:
        self._stream = stream
        self._on_silent = on_silent
        self._settings = settings
        self._deadline = deadline
        self._loop = asyncio.get_running_loop()
        self._chunks: collections.deque[bytes] = collections.deque()
        self._buffered = 0
        self._wake: asyncio.Future[None] | None = None
        self._room: asyncio.Future[None] | None = None
        self._last_progress = self._loop.time()
        self._timer: asyncio.TimerHandle | None = None
        self.status = 0
        self.headers = httputil.HTTPHeaders()
        self.fault: messages.TransportFault | None = None
        self.done = False
        self._discarding = False
        self._arm_timer()

    def headers_received(
        self,
        start_line: httputil.RequestStartLine | httputil.ResponseStartLine,
        headers: httputil.HTTPHeaders,
    ) -> None:
        """Takes the head of the response."""
        self._note_progress()
        if isinstance(start_line, httputil.ResponseStartLine):
            if start_line.code < 200:
                return
            self.status = start_line.code
            self.headers = headers
        self._wake_reader()

    def data_received(self, chunk: bytes) -> asyncio.Future[None] | None:
        """Takes a piece of the body; the future is done when there is room."""
        self._note_progress()
        if self._discarding:
            return None
        self._chunks.append(chunk)
        self._buffered += len(chunk)
        self._wake_reader()
        if self._buffered <= self._settings.buffer_size:
            return None
        self._room = self._loop.create_future()
        return self._room

    def finish(self) -> None:
        """Takes the end of the response.

        A body without a length ends with its connection; one that was reset
        is not whole.
        """
        if self._ends_with_connection() and self._stream.error is not None:
            self.on_connection_close()
            return
        self._end()

    def on_connection_close(self) -> None:
        """Takes the loss of the connection."""
        self.fail(
            messages.TransportFaultKind.BROKEN, 'connection closed early'
        )

    def fail(
        self,
        kind: messages.TransportFaultKind,
        detail: str,
        sent: bool = True,
    ) -> None:
        """Ends the exchange with a fault and closes the connection."""
        if self.done:
            return
        self.fault = messages.TransportFault(kind, detail, sent)
        self._end()
        self._stream.close()

    def discard(self, timeout: float) -> None:
        """Drops the rest, which has to end within ``timeout`` seconds.

        The connection can then be used again.
        """
        if self.done:
            return
        self._discarding = True
        self._take()
        self._deadline = min(self._deadline, self._loop.time() + timeout)
        self._timer.cancel()
        self._arm_timer()

    async def wait_head(self) -> None:
        """Waits until the status has come or the exchange has ended."""
        while not self.status and not self.done:
            await self._wait()

    async def read_chunk(self) -> bytes | messages.TransportFault | None:
        """Returns the next piece of the body, or ``None`` at its end."""
        while True:
            if self._chunks:
                return self._take()
            if self.done:
                return self.fault
            await self._wait()

    def _ends_with_connection(self) -> bool:
        return (
            'Content-Length' not in self.headers
            and 'Transfer-Encoding' not in self.headers
        )

    def _take(self) -> bytes:
        data = b''.join(self._chunks)
        self._chunks.clear()
        self._buffered = 0
        if self._room is not None:
            self._note_progress()
            if not self._room.done():
                self._room.set_result(None)
            self._room = None
        return data

    async def _wait(self) -> None:
        self._wake = self._loop.create_future()
        try:
            await self._wake
        finally:
            self._wake = None

    def _wake_reader(self) -> None:
        if self._wake is not None and not self._wake.done():
            self._wake.set_result(None)

    def _end(self) -> None:
        self.done = True
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if self._room is not None and not self._room.done():
            self._room.set_result(None)
        self._wake_reader()

    def _note_progress(self) -> None:
        self._last_progress = self._loop.time()

    def _arm_timer(self) -> None:
        silence = self._last_progress + self._settings.progress_timeout
        self._timer = self._loop.call_at(
            min(silence, self._deadline), self._check_time
        )

    def _check_time(self) -> None:
        now = self._loop.time()
        silent = now - self._last_progress
        if now >= self._deadline:
            self.fail(messages.TransportFaultKind.TIMEOUT, 'deadline passed')
        elif self._room is not None:
            # The reader is slow, not the connection.
            self._note_progress()
            self._arm_timer()
        elif silent >= self._settings.progress_timeout:
            self._on_silent()
            self.fail(
                messages.TransportFaultKind.SILENT,
                f'no byte for {silent:.1f} s',
            )
        else:
            self._arm_timer()
