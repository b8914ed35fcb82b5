"""A connection that carries the messages to one peer."""

import asyncio
import collections
from collections.abc import Callable
import contextlib
import enum

import pynng

from waxwingport.peers import base

__all__ = ['Channel', 'ChannelState', 'Outgoing']

_SEND_BUFFER_MESSAGES = 16
"""Messages that the library buffers; they can't be withdrawn."""
_RECONNECT_MIN_MS = 50
_RECONNECT_MAX_MS = 500


class ChannelState(enum.Enum):
    """Whether messages can be sent."""

    CLOSED = 'closed'
    CONNECTING = 'connecting'
    GREETING = 'greeting'
    """Connected; the peer has not identified itself yet."""
    OPEN = 'open'


class Outgoing:
    """A message to be sent.

    ``seal`` returns its bytes and is called just before sending.  It is not
    sent after ``expires``, a time of the event loop's clock.
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

    Greetings are sent once connected, all other messages only after
    ``unlock``.  A channel doesn't reconnect: when its connection is lost,
    queued messages are never sent.  ``lost`` is then called from the event
    loop, as it is when the peer isn't identified within the connect timeout;
    it isn't called after ``close``.
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
        self._drain_task: asyncio.Task[None] | None = None
        self._socket = self._dial(tls)
        self._timer = self._loop.call_later(
            settings.connect_timeout, self._check_open
        )

    def _dial(self, tls: pynng.TLSConfig | None) -> pynng.Push0:
        socket = pynng.Push0(
            send_buffer_size=_SEND_BUFFER_MESSAGES,
            reconnect_time_min=_RECONNECT_MIN_MS,
            reconnect_time_max=_RECONNECT_MAX_MS,
            tls_config=tls,
        )
        socket.add_post_pipe_connect_cb(
            lambda _: self._call_in_loop(self._handle_connected)
        )
        socket.add_post_pipe_remove_cb(
            lambda _: self._call_in_loop(self._handle_lost)
        )
        scheme = 'tls+tcp' if tls is not None else 'tcp'
        socket.dial(f'{scheme}://{self.address}', block=False)
        return socket

    def _call_in_loop(self, function: Callable[[], None]) -> None:
        """Calls ``function`` in the event loop, from any thread.

        Does nothing if the loop is closed.
        """
        with contextlib.suppress(RuntimeError):
            self._loop.call_soon_threadsafe(function)

    @property
    def is_open(self) -> bool:
        """Whether the peer was identified by its answer to the greeting."""
        return self.state is ChannelState.OPEN

    def send_greeting(self, item: Outgoing) -> None:
        """Sends a greeting, once connected."""
        if self.state is ChannelState.CONNECTING:
            self._greetings.append(item)
        elif self.state is not ChannelState.CLOSED:
            self._try_send(item)

    def enqueue(self, item: Outgoing) -> bool:
        """Queues a message; returns false if the queue is full or closed."""
        self._drop_expired()
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
        """Starts to send queued messages, after the peer was identified."""
        if self.state is ChannelState.GREETING:
            self.state = ChannelState.OPEN
            self._timer.cancel()
            self._flush()

    def close(self) -> list[Outgoing]:
        """Closes the connection; returns the messages that were not sent.

        Expired and cancelled messages are left out.
        """
        unsent = [item for item in self._queue if not self._is_expired(item)]
        self._queue.clear()
        if self.state is not ChannelState.CLOSED:
            self.state = ChannelState.CLOSED
            self._timer.cancel()
            if self._drain_task is not None:
                self._drain_task.cancel()
            self._socket.close()
        return unsent

    def _handle_connected(self) -> None:
        if self.state is not ChannelState.CONNECTING:
            return
        self.state = ChannelState.GREETING
        for item in self._greetings:
            self._try_send(item)
        self._greetings.clear()

    def _handle_lost(self) -> None:
        if self.state is not ChannelState.CLOSED:
            self._lost(self)

    def _check_open(self) -> None:
        if self.state is not ChannelState.OPEN:
            self._handle_lost()

    def _flush(self) -> None:
        if self.state is not ChannelState.OPEN or self._drain_task is not None:
            return
        while self._queue:
            item = self._queue[0]
            if not self._is_expired(item) and not self._try_send(item):
                self._drain_task = self._loop.create_task(self._drain())
                return
            if self._queue:
                self._pop_item()

    def _try_send(self, item: Outgoing) -> bool:
        """Sends a message; returns false if the send buffer is full."""
        try:
            self._socket.send(item.seal(), block=False)
        except pynng.TryAgain:
            return False
        except pynng.NNGException:
            self._call_in_loop(self._handle_lost)
        item.sent_at = self._loop.time()
        return True

    async def _drain(self) -> None:
        """Sends queued messages one by one, waiting for buffer space."""
        while self._queue:
            item = self._pop_item()
            if self._is_expired(item):
                continue
            item.sent_at = self._loop.time()
            try:
                await self._socket.asend(item.seal())
            except pynng.NNGException:
                self._call_in_loop(self._handle_lost)
                return
        self._drain_task = None

    def _pop_item(self) -> Outgoing:
        item = self._queue.popleft()
        self._queued_size -= item.size
        return item

    def _is_expired(self, item: Outgoing) -> bool:
        return item.cancelled or item.expires < self._loop.time()

    def _drop_expired(self) -> None:
        while self._queue and self._is_expired(self._queue[0]):
            self._pop_item()
