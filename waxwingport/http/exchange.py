"""One HTTP request and its response on one connection."""

import asyncio
import collections
from collections.abc import Callable
import socket
import struct

from tornado import httputil
from tornado import iostream

from waxwingport.http import messages

__all__ = ['Exchange']

_RESET_ON_CLOSE = struct.pack('ii', 1, 0)
"""Value of ``SO_LINGER`` with which a close discards unsent bytes."""
_MAX_DISCARDED_BYTES = 64 * 1024
"""Bytes of a response that is not read until a new connection costs less than
to receive more of it."""
_SUSPECT_SILENCE_S = 0.5
"""Time without a byte after which a failed exchange casts doubt on the idle
connections to the same address; targets usually answer in a tenth of it."""


class Exchange(httputil.HTTPMessageDelegate):
    """One request and its response on one connection.

    ``deadline`` is in seconds of the event loop's clock.  ``on_silent`` is
    called when the exchange fails after a time without a byte from the peer.
    ``peer`` is told the head of the response.
    """

    def __init__(
        self,
        stream: iostream.IOStream,
        settings: messages.ClientSettings,
        deadline: float,
        on_silent: Callable[[], None],
        peer: messages.Peer | None = None,
    ) -> None:
        self._stream = stream
        self._peer = peer
        self._on_silent = on_silent
        self._settings = settings
        self._deadline = deadline
        self._loop = asyncio.get_running_loop()
        self._chunks: collections.deque[bytes] = collections.deque()
        self._buffered_bytes = 0
        self._reader_waiter: asyncio.Future[None] | None = None
        self._room_waiter: asyncio.Future[None] | None = None
        self._last_progress = self._loop.time()
        self._timer: asyncio.TimerHandle | None = None
        self.status = 0
        self.headers = httputil.HTTPHeaders()
        self.fault: messages.TransportFault | None = None
        self.done = False
        self._discarding = False
        self._discarded_bytes = 0
        self._arm_timer()

    def headers_received(
        self,
        start_line: httputil.RequestStartLine | httputil.ResponseStartLine,
        headers: httputil.HTTPHeaders,
    ) -> None:
        """Stores the head of the response; ignores informational ones."""
        self._record_progress()
        if isinstance(start_line, httputil.ResponseStartLine):
            if start_line.code < 200:
                return
            self.status = start_line.code
            self.headers = headers
            if self._peer is not None:
                self._peer.record_head(start_line.code, headers)
        self._wake_reader()

    def data_received(self, chunk: bytes) -> asyncio.Future[None] | None:
        """Buffers a chunk of the body.

        Returns a future that is done when there is room for more, or ``None``
        if there is.
        """
        self._record_progress()
        if self._discarding:
            self._discarded_bytes += len(chunk)
            if self._discarded_bytes > _MAX_DISCARDED_BYTES:
                self.fail(
                    messages.TransportFaultKind.BROKEN,
                    'the rest of the response does not end',
                )
            return None
        self._chunks.append(chunk)
        self._buffered_bytes += len(chunk)
        self._wake_reader()
        if self._buffered_bytes <= self._settings.buffer_size:
            return None
        self._room_waiter = self._loop.create_future()
        return self._room_waiter

    def finish(self) -> None:
        """Ends the exchange after a complete response.

        A body without a length ends when the connection closes; if the
        connection was reset, the response is incomplete.
        """
        if self._is_ended_by_close() and self._stream.error is not None:
            self.on_connection_close()
            return
        self._finish_exchange()

    def on_connection_close(self) -> None:
        """Ends the exchange with a fault."""
        self.fail(
            messages.TransportFaultKind.BROKEN,
            'connection closed before the end of the response',
        )

    def fail(
        self,
        kind: messages.TransportFaultKind,
        detail: str,
        sent: bool = True,
    ) -> None:
        """Ends the exchange with a fault and resets the connection.

        Does nothing if the exchange has ended.
        """
        if self.done:
            return
        self.fault = messages.TransportFault(kind, detail, sent)
        silent_s = self._loop.time() - self._last_progress
        suspect_s = min(_SUSPECT_SILENCE_S, self._settings.progress_timeout)
        if self._room_waiter is None and silent_s >= suspect_s:
            self._on_silent()
        self._finish_exchange()
        self._reset_connection()

    def discard(self, timeout: float) -> None:
        """Discards the rest of the body.

        The exchange fails if that takes more than ``timeout`` seconds;
        otherwise the connection can be reused.
        """
        if self.done:
            return
        self._discarding = True
        self._pop_chunks()
        self._deadline = min(self._deadline, self._loop.time() + timeout)
        self._timer.cancel()
        self._arm_timer()

    async def wait_head(self) -> None:
        """Waits until the status is known or the exchange has ended."""
        while not self.status and not self.done:
            await self._wait_for_change()

    async def read_chunk(self) -> bytes | messages.TransportFault | None:
        """Returns the buffered part of the body, or ``None`` at its end."""
        while True:
            if self._chunks:
                return self._pop_chunks()
            if self.done:
                return self.fault
            await self._wait_for_change()

    def _reset_connection(self) -> None:
        """Closes the connection; bytes that are not delivered yet are lost.

        After an orderly close the kernel goes on sending them.  A request that
        was given up while its link was cut would still reach its target when
        the link returns.
        """
        if not self._stream.closed():
            self._stream.socket.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE
            )
        self._stream.close()

    def _is_ended_by_close(self) -> bool:
        return (
            'Content-Length' not in self.headers
            and 'Transfer-Encoding' not in self.headers
        )

    def _pop_chunks(self) -> bytes:
        data = b''.join(self._chunks)
        self._chunks.clear()
        self._buffered_bytes = 0
        if self._room_waiter is not None:
            self._record_progress()
            if not self._room_waiter.done():
                self._room_waiter.set_result(None)
            self._room_waiter = None
        return data

    async def _wait_for_change(self) -> None:
        self._reader_waiter = self._loop.create_future()
        try:
            await self._reader_waiter
        finally:
            self._reader_waiter = None

    def _wake_reader(self) -> None:
        if self._reader_waiter is not None and not self._reader_waiter.done():
            self._reader_waiter.set_result(None)

    def _finish_exchange(self) -> None:
        self.done = True
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if self._room_waiter is not None and not self._room_waiter.done():
            self._room_waiter.set_result(None)
        self._wake_reader()

    def _record_progress(self) -> None:
        self._last_progress = self._loop.time()

    def _arm_timer(self) -> None:
        progress_deadline = (
            self._last_progress + self._settings.progress_timeout
        )
        self._timer = self._loop.call_at(
            min(progress_deadline, self._deadline), self._check_timeouts
        )

    def _check_timeouts(self) -> None:
        now = self._loop.time()
        silent_s = now - self._last_progress
        if now >= self._deadline:
            self.fail(messages.TransportFaultKind.TIMEOUT, 'deadline passed')
        elif self._room_waiter is not None:
            # The reader is slow, not the peer.
            self._record_progress()
            self._arm_timer()
        elif silent_s >= self._settings.progress_timeout:
            self.fail(
                messages.TransportFaultKind.SILENT,
                f'no byte for {silent_s:.1f} s',
            )
        else:
            self._arm_timer()
