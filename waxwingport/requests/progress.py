"""Tracks the requests in progress at a node and shuts it down gracefully."""

import abc
import asyncio
from collections.abc import Callable
import contextlib
import enum
import logging

from waxwingport.charts import chart

__all__ = ['IntakeState', 'Interruptible', 'RequestTracker']

_LOG = logging.getLogger(__name__)


class IntakeState(enum.Enum):
    """How a node treats requests; see ``charts/progress.yaml``."""

    ACCEPTING = 'accepting'
    DRAINING = 'draining'
    """Accepts requests, but fails the load balancer's readiness check."""
    INTERRUPTING = 'interrupting'
    """Ends the remaining requests with an explicit error."""
    REFUSING = 'refusing'
    """Refuses new requests and finishes those in progress."""


class _Event(enum.Enum):
    INTERRUPT = 'interrupt'
    REFUSE = 'refuse'
    STOP = 'stop'


class Interruptible(abc.ABC):
    """A request in progress that can be ended with an explicit error."""

    @abc.abstractmethod
    def interrupt(self) -> None:
        """Starts to end the request with an error; does not wait."""


class RequestTracker:
    """Counts the requests in progress and the memory of their bodies.

    ``body_memory`` is the limit in bytes that ``reserve`` observes.
    """

    def __init__(self, body_memory: int) -> None:
        self._chart = chart.read_chart('progress', IntakeState, _Event)
        self.state = self._chart.initial
        self._max_body_bytes = body_memory
        self._body_bytes = 0
        self._active: dict[Interruptible, int] = {}
        self._entered_at = float('-inf')
        """Loop time at which the last request began."""
        self._idle = asyncio.Event()
        self._idle.set()

    def __len__(self) -> int:
        return len(self._active)

    @property
    def body_bytes(self) -> int:
        """Bytes of all bodies that are being received or processed."""
        return self._body_bytes

    @property
    def ready(self) -> bool:
        """Whether the load balancer may send requests to this node."""
        return self.state is IntakeState.ACCEPTING

    @property
    def is_refusing(self) -> bool:
        """Whether new requests are refused."""
        return self.state in (
            IntakeState.REFUSING,
            IntakeState.INTERRUPTING,
        )

    def reserve(self, size: int) -> bool:
        """Reserves memory for a body; returns whether enough was left."""
        if self._body_bytes + size > self._max_body_bytes:
            return False
        self._body_bytes += size
        return True

    def free(self, size: int) -> None:
        """Returns memory that ``reserve`` granted."""
        self._body_bytes -= size

    def enter(self, request: Interruptible, size: int) -> None:
        """Adds a request whose body has ``size`` bytes."""
        self._body_bytes += size
        self._entered_at = asyncio.get_running_loop().time()
        self._active[request] = size
        self._idle.clear()

    def leave(self, request: Interruptible) -> None:
        """Removes a request and frees its memory, if it was added."""
        self._body_bytes -= self._active.pop(request, 0)
        if not self._active:
            self._idle.set()

    async def drain(
        self, delay: float, timeout: float, on_refuse: Callable[[], None]
    ) -> None:
        """Waits for the requests in progress, then interrupts the rest.

        ``ready`` is false from the start.  New requests are refused after
        ``delay`` seconds, at which ``on_refuse`` is called.  Requests still
        in progress ``timeout`` seconds later are interrupted.
        """
        self._handle_event(_Event.STOP)
        await asyncio.sleep(delay)
        self._handle_event(_Event.REFUSE)
        # Later requests are being refused, which takes no time.
        accepted = list(self._active)
        on_refuse()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout):
                await self._idle.wait()
        self._handle_event(_Event.INTERRUPT)
        for request in accepted:
            if request in self._active:
                request.interrupt()

    async def wait_quiet(self, quiet: float, timeout: float) -> None:
        """Waits until no request has begun for ``quiet`` seconds.

        Returns after at most ``timeout`` seconds.
        """
        loop = asyncio.get_running_loop()
        end = loop.time() + timeout
        quiet_at = loop.time() + quiet
        while loop.time() < min(quiet_at, end):
            await asyncio.sleep(min(quiet_at, end) - loop.time())
            quiet_at = self._entered_at + quiet

    async def wait_idle(self, timeout: float) -> bool:
        """Returns whether no request is left, after at most ``timeout`` s."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout):
                await self._idle.wait()
        return self._idle.is_set()

    def _handle_event(self, event: _Event) -> None:
        self.state = self._chart.next(self.state, event)
        _LOG.info(
            'shutdown state=%s in_progress=%d',
            self.state.value,
            len(self._active),
        )
