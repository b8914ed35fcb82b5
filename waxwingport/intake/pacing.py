"""Bounds the reads from callers in one turn of the event loop.

A chunk of one byte costs as many reads as one of 16 KiB.  Without a common
bound, each of some hundred connections that send such chunks reads for
milliseconds in every turn, and nothing else of the process gets on.
"""

import asyncio
import collections

__all__ = ['Pacer']

_READS_PER_TURN = 256
"""Reads of all connections together in a turn; they take about 5 ms on the
slowest machines."""


class Pacer:
    """Grants at most ``reads_per_turn`` reads in a turn of the loop."""

    def __init__(self, reads_per_turn: int = _READS_PER_TURN) -> None:
        self._limit = reads_per_turn
        self._granted = 0
        self._waiters: collections.deque[asyncio.Future[None]] = (
            collections.deque()
        )
        self._is_armed = False

    def request(self) -> asyncio.Future[None] | None:
        """Returns ``None`` if a read may start now, else when it may."""
        if self._granted < self._limit and not self._waiters:
            self._granted += 1
            return None
        # Armed only now, so that a process without crowds has no more turns
        # than before.
        if not self._is_armed:
            self._is_armed = True
            asyncio.get_running_loop().call_soon(self._begin_turn)
        waiter = asyncio.get_running_loop().create_future()
        self._waiters.append(waiter)
        return waiter

    def _begin_turn(self) -> None:
        self._is_armed = False
        self._granted = 0
        while self._waiters and self._granted < self._limit:
            waiter = self._waiters.popleft()
            if not waiter.done():
                waiter.set_result(None)
                self._granted += 1
        if self._granted:
            self._is_armed = True
            asyncio.get_running_loop().call_soon(self._begin_turn)
