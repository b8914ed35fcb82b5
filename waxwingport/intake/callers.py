"""A caller's connection: what it waits for and what it holds."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import enum
import socket
from typing import Protocol

from tornado import iostream

from waxwingport.intake import account as accounts
from waxwingport.intake import pacing

__all__ = ['CONNECTION_BYTES', 'CallerStream', 'Phase']

CONNECTION_BYTES = 8192
"""Memory of an idle connection: stream, reader and their tasks."""
_BUFFER_BYTES = 32_768
"""Read buffers of a connection whose body is being read: two reads."""


def _do_nothing() -> None:
    pass


class Phase(enum.Enum):
    """What a connection waits for."""

    IDLE = 'idle'
    HEAD = 'head'
    BODY = 'body'
    RUNNING = 'running'
    ANSWER = 'answer'


class _Table(Protocol):
    """What a connection needs of the table of all connections."""

    account: accounts.MemoryAccount
    pacer: pacing.Pacer

    def relieve(self, asking: 'CallerStream') -> None:
        """Closes connections until the account is within its budget."""


class CallerStream(iostream.IOStream):
    """A caller's connection: paces its reads and records its progress."""

    def __init__(
        self,
        connection: socket.socket,
        table: _Table,
        read_chunk_size: int,
    ) -> None:
        super().__init__(connection, read_chunk_size=read_chunk_size)
        self.drop_body: Callable[[], None] = _do_nothing
        """Discards the body that is being read."""
        self.is_dropped = False
        """Whether the table has closed the connection; requests that were
        received before are not carried out."""
        self._table = table
        self._loop = asyncio.get_running_loop()
        self._pacer = table.pacer
        self.share = accounts.Share(table.account)
        self.phase = Phase.IDLE
        self.progress_at = self._loop.time()
        """Loop time at which the peer last sent or took bytes."""
        self.head_at = 0.0
        """Loop time of the first byte of a head."""
        self.window = (self.progress_at, 0)
        """Start of the window of the minimum rate, and bytes up to it."""
        self.received = 0
        """Bytes received so far."""
        self._head_bytes: int | None = None
        """Bytes of the head whose body is being read, ``None`` if the body
        arrived with it."""
        self.share.set(accounts.Kind.CONNECTIONS, CONNECTION_BYTES)

    def read_from_fd(self, buf: bytearray | memoryview) -> int | None:
        """Reads into ``buf``; counts a head while it arrives.

        Also counts what arrives of the next request while one is carried out.
        """
        size = super().read_from_fd(buf)
        if size:
            self.progress_at = self._loop.time()
            self.received += size
            phase = self.phase
            if phase is Phase.BODY:
                return size
            if phase is Phase.IDLE:
                self.phase = phase = Phase.HEAD
                self.head_at = self.progress_at
            share = self.share
            held = share.get(accounts.Kind.CONNECTIONS)
            share.set(accounts.Kind.CONNECTIONS, held + size)
            if phase is Phase.HEAD and self._table.account.excess > 0:
                self._table.relieve(self)
        return size

    def write_to_fd(self, data: memoryview) -> int:
        """Writes ``data``; records that the peer takes bytes."""
        size = super().write_to_fd(data)
        if size:
            self.progress_at = self._loop.time()
        return size

    def read_bytes(
        self, num_bytes: int, partial: bool = False
    ) -> Awaitable[bytes]:
        """Reads as ``IOStream`` does, in a later turn if many others read."""
        waiter = self._pacer.request()
        if waiter is None:
            return super().read_bytes(num_bytes, partial)
        return self._read_bytes_later(waiter, num_bytes, partial)

    def read_until(
        self, delimiter: bytes, max_bytes: int | None = None
    ) -> Awaitable[bytes]:
        """Reads as ``IOStream`` does, in a later turn if many others read."""
        waiter = self._pacer.request()
        if waiter is None:
            return super().read_until(delimiter, max_bytes)
        return self._read_until_later(waiter, delimiter, max_bytes)

    async def _read_bytes_later(
        self, waiter: asyncio.Future[None], num_bytes: int, partial: bool
    ) -> bytes:
        await waiter
        return await super().read_bytes(num_bytes, partial)

    async def _read_until_later(
        self,
        waiter: asyncio.Future[None],
        delimiter: bytes,
        max_bytes: int | None,
    ) -> bytes:
        await waiter
        # The rest of a buffer of a closed connection is not worth reading.
        if self.closed():
            raise iostream.StreamClosedError(real_error=self.error)
        return await super().read_until(delimiter, max_bytes)

    def has_read(self, size: int) -> bool:
        """Returns whether the next ``size`` bytes have arrived."""
        # tornado has no public method that tells what it has read ahead.
        return size <= self._read_buffer_size

    def begin_body(self, size: int) -> None:
        """Begins the phase in which a body of ``size`` bytes is read.

        ``size`` is 0 if it is not known.  A body that has arrived with its
        head stays counted with it.
        """
        self.phase = Phase.BODY
        self.window = (self.progress_at, self.received)
        self._head_bytes = None
        if size and self.has_read(size):
            return
        held = self.share.get(accounts.Kind.CONNECTIONS)
        self._head_bytes = held - CONNECTION_BYTES - self._read_buffer_size
        self.share.set(accounts.Kind.CONNECTIONS, held + _BUFFER_BYTES)
        if self._table.account.excess > 0:
            self._table.relieve(self)
        self.share.set(accounts.Kind.BODIES, size)

    def begin_discard(self) -> None:
        """Begins the phase in which a refused body is read and discarded.

        What is discarded is not held, so it is not counted.
        """
        self.phase = Phase.BODY
        self.window = (self.progress_at, self.received)
        self.share.set(
            accounts.Kind.CONNECTIONS, CONNECTION_BYTES + _BUFFER_BYTES
        )

    def begin_run(self) -> None:
        """Begins the phase in which the request is carried out.

        Its head is held until it is answered.
        """
        if self._head_bytes is not None:
            self.share.set(
                accounts.Kind.CONNECTIONS,
                CONNECTION_BYTES + self._head_bytes + self._read_buffer_size,
            )
            self._head_bytes = None
        self.phase = Phase.RUNNING

    def begin_answer(self, size: int) -> None:
        """Begins the phase in which ``size`` bytes of an answer are sent."""
        self.phase = Phase.ANSWER
        self.progress_at = self._loop.time()
        self.share.set(accounts.Kind.ANSWERS, size)
        if self._table.account.excess > 0:
            self._table.relieve(self)

    def end_answer(self) -> None:
        """Ends a part of an answer that goes on."""
        self.phase = Phase.RUNNING
        self.share.set(accounts.Kind.ANSWERS, 0)

    def end_request(self) -> None:
        """Returns the memory of a request that is over."""
        self.share.keep(
            accounts.Kind.CONNECTIONS,
            CONNECTION_BYTES + self._read_buffer_size,
        )
        if not self.closed():
            self.phase = Phase.IDLE
