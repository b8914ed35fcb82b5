"""The requests in progress at a node, and its graceful shutdown."""

import abc
import asyncio
from collections.abc import Callable
import contextlib
import enum
import logging

from waxwingport.charts import chart

__all__ = ['Interruptible', 'RequestTracker', 'IntakeState']

_LOG = logging.getLogger(__name__)


class IntakeState(enum.Enum):
    """What a node does with new requests; ``charts/progress.yaml``."""

    ACCEPTING = 'accepting'
    DRAINING = 'draining'
    """Takes requests, but is not ready for the balancer."""
    INTERRUPTING = 'interrupting'
    """Ends what is still in progress by an explicit error."""
    REFUSING = 'refusing'
    """Refuses new requests and finishes those in progress."""


class _Event(enum.Enum):
    INTERRUPT = 'interrupt'
    REFUSE = 'refuse'
    STOP = 'stop'


class Interruptible(abc.ABC):
    """A request in progress that can be ended by an explicit error."""

    @abc.abstractmethod
    def interrupt(self) -> None:
        """Ends the request soon, telling its caller that it was cut."""


class RequestTracker:
    """Counts requests in progress and the memory that their bodies take.

    ``body_memory`` is the bound in bytes.
    """

    def __init__(self, body_memory: int) -> None:
        self._chart = chart.read_chart('progress', IntakeState, _Event)
        self.state = self._chart.initial
        self._body_memory = body_memory
        self._body_bytes = 0
        self._active: dict[Interruptible, int] = {}
        self._idle = asyncio.Event()
        self._idle.set()

    def __len__(self) -> int:
        return len(self._active)

    @property
    def body_bytes(self) -> int:
        """Bytes of the bodies that are being received or worked on."""
        return self._body_bytes

    @property
    def ready(self) -> bool:
        """Whether the balancer may send requests here."""
        return self.state is IntakeState.ACCEPTING

    @property
    def is_refusing(self) -> bool:
        """Whether new requests are refused."""
        return self.state in (
            IntakeState.REFUSING,
            IntakeState.INTERRUPTING,
        )

    def reserve(self, size: int) -> bool:
        """Takes memory for a body; returns false if there is none left."""
        if self._body_bytes + size > self._body_memory:
            return False
        self._body_bytes += size
        return True

    def free(self, size: int) -> None:
        """Gives memory back."""
        self._body_bytes -= size

    def enter(self, request: Interruptible, size: int) -> None:
        """Counts a request whose body takes ``size`` bytes."""
        self._body_bytes += size
        self._active[request] = size
        self._idle.clear()

    def leave(self, request: Interruptible) -> None:
        """Counts a request's end; does nothing the second time."""
        self._body_bytes -= self._active.pop(request, 0)
        if not self._active:
            self._idle.set()

    async def drain(
        self, delay: float, timeout: float, on_refuse: Callable[[], None]
    ) -> None:
        """Lets the requests in progress end, and then ends the rest.

        Readiness falls at once; new requests are refused after ``delay``
        seconds; what is in progress ``timeout`` seconds later is interrupted.
        """
        self._move(_Event.STOP)
        await asyncio.sleep(delay)
        self._move(_Event.REFUSE)
        on_refuse()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout):
                await self._idle.wait()
        self._move(_Event.INTERRUPT)
        for request in list(self._active):
            request.interrupt()

    async def wait_idle(self, timeout: float) -> bool:
        """Returns whether no request is in progress any more."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout):
                await self._idle.wait()
        return self._idle.is_set()

    def _move(self, event: _Event) -> None:
        self.state = self._chart.next(self.state, event)
        _LOG.info(
            'shutdown state=%s in_progress=%d',
            self.state.value,
            len(self._active),
        )
