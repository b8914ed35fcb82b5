"""One connection for the messages to one peer."""

import asyncio
import collections
from collections.abc import Callable
import contextlib
import enum

import pynng

from waxwingport.peers import base

__all__ = ['Channel', 'ChannelState', 'Outgoing']

_LIBRARY_QUEUE = 16
_RECONNECT_MIN_MS = 50
_RECONNECT_MAX_MS = 500


class ChannelState(enum.Enum):
    """Whether messages can leave."""

    CLOSED = 'closed'
    CONNECTING = 'connecting'
    GREETING = 'greeting'
    """Connected; the peer has not said yet who it is."""
    OPEN = 'open'


class Outgoing:
    """A message on its way out.

    ``seal`` makes its bytes at the moment of sending.  ``expires`` is a time
    of the loop's clock after which it is not sent any more.
    """

    def __init__(
        self, seal: Callable[[], bytes], size: int, expires: float
    ) -> None:
        self.seal = seal
        self.size = size
        self.expires = expires
        self.sent_at: float | None = None
        self.cancelled = False


class Channel:
    """Sends messages to one address in order, each at most once.

    Greetings leave as soon as the connection stands, all else only after
    ``unlock``.  The first loss of the connection closes the channel for
    good: what was not sent by then never is.  ``lost`` is called then, from
    the loop, and also when the peer says nothing within the timeout; it is
    not called after ``close``.
    """

    def __init__(
        self,
        address: str,
        settings: base.PeerSettings,
        tls: pynng.TLSConfig | None,
        lost: Callable[['Channel'], None],
    ) -> None:
        self.address = address
        self.state = ChannelState.CONNECTING
        self._settings = settings
        self._lost = lost
        self._loop = asyncio.get_running_loop()
        self.used_at = self._loop.time()
        self._greetings: list[Outgoing] = []
        self._queue: collections.deque[Outgoing] = collections.deque()
        self._queued_size = 0
        self._draining: asyncio.Task[None] | None = None
        self._socket = self._dial(tls)
        self._timer = self._loop.call_later(
            settings.connect_timeout, self._check_open
        )

    def _dial(self, tls: pynng.TLSConfig | None) -> pynng.Push0:
        socket = pynng.Push0(
            send_buffer_size=_LIBRARY_QUEUE,
            reconnect_time_min=_RECONNECT_MIN_MS,
            reconnect_time_max=_RECONNECT_MAX_MS,
            tls_config=tls,
        )
        socket.add_post_pipe_connect_cb(
            lambda _: self._call_in_loop(self._note_connected)
        )
        socket.add_post_pipe_remove_cb(
            lambda _: self._call_in_loop(self._note_lost)
        )
        scheme = 'tls+tcp' if tls is not None else 'tcp'
        socket.dial(f'{scheme}://{self.address}', block=False)
        return socket

    def _call_in_loop(self, function: Callable[[], None]) -> None:
        """Passes a library thread's event on, unless the loop has ended."""
        with contextlib.suppress(RuntimeError):
            self._loop.call_soon_threadsafe(function)

    @property
    def is_open(self) -> bool:
        """Whether the peer has answered the greeting."""
        return self.state is ChannelState.OPEN

    def greet(self, item: Outgoing) -> None:
        """Sends a greeting, or keeps it until the connection stands."""
        if self.state is ChannelState.CONNECTING:
            self._greetings.append(item)
        elif self.state is not ChannelState.CLOSED:
            self._try_send(item)

    def offer(self, item: Outgoing) -> bool:
        """Queues a message; returns false if there is no room for it."""
        self._drop_stale()
        if (
            self.state is ChannelState.CLOSED
            or len(self._queue) >= self._settings.queue_length
            or self._queued_size + item.size > self._settings.queue_size
        ):
            return False
        self.used_at = self._loop.time()
        self._queue.append(item)
        self._queued_size += item.size
        self._flush()
        return True

    def unlock(self) -> None:
        """Lets the queued messages leave: the peer is known."""
        if self.state is ChannelState.GREETING:
            self.state = ChannelState.OPEN
            self._timer.cancel()
            self._flush()

    def close(self) -> list[Outgoing]:
        """Closes the connection and returns what was not sent."""
        left = [row for row in self._queue if not self._is_stale(row)]
        self._queue.clear()
        if self.state is not ChannelState.CLOSED:
            self.state = ChannelState.CLOSED
            self._timer.cancel()
            if self._draining is not None:
                self._draining.cancel()
            self._socket.close()
        return left

    def _note_connected(self) -> None:
        if self.state is not ChannelState.CONNECTING:
            return
        self.state = ChannelState.GREETING
        for item in self._greetings:
            self._try_send(item)
        self._greetings.clear()

    def _note_lost(self) -> None:
        if self.state is not ChannelState.CLOSED:
            self._lost(self)

    def _check_open(self) -> None:
        if self.state is not ChannelState.OPEN:
            self._note_lost()

    def _flush(self) -> None:
        if self.state is not ChannelState.OPEN or self._draining is not None:
            return
        while self._queue:
            item = self._queue[0]
            if not self._is_stale(item) and not self._try_send(item):
                self._draining = self._loop.create_task(self._drain())
                return
            if self._queue:
                self._pop()

    def _try_send(self, item: Outgoing) -> bool:
        """Returns false if the library has no room now."""
        try:
            self._socket.send(item.seal(), block=False)
        except pynng.TryAgain:
            return False
        except pynng.NNGException:
            self._call_in_loop(self._note_lost)
        item.sent_at = self._loop.time()
        return True

    async def _drain(self) -> None:
        """Waits for room in the library, one message at a time."""
        while self._queue:
            item = self._pop()
            if self._is_stale(item):
                continue
            item.sent_at = self._loop.time()
            try:
                await self._socket.asend(item.seal())
            except pynng.NNGException:
                self._call_in_loop(self._note_lost)
                return
        self._draining = None

    def _pop(self) -> Outgoing:
        item = self._queue.popleft()
        self._queued_size -= item.size
        return item

    def _is_stale(self, item: Outgoing) -> bool:
        return item.cancelled or item.expires < self._loop.time()

    def _drop_stale(self) -> None:
        while self._queue and self._is_stale(self._queue[0]):
            self._pop()
