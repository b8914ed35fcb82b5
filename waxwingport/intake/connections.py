"""The open connections of callers, and which of them are closed first."""

import asyncio
from collections.abc import Iterator
import heapq
import logging
import resource

from waxwingport.intake import account as accounts
from waxwingport.intake import callers
from waxwingport.intake import pacing
from waxwingport import metrics

__all__ = ['CallerStream', 'ConnectionTable', 'Phase']

_RESERVED_DESCRIPTORS = 0.25
"""Part of the descriptors that is left for targets, the log, the readiness
check and metrics."""
_CLOSED_SHARE = 16
"""One in so many idle connections is closed at a time, so that the search for
them is rare."""
_MIN_STALL_S = 1.0
"""Time without progress after which a body gives way to a large one."""
_SWEEP_INTERVAL_S = 1.0

_LOG = logging.getLogger(__name__)


CallerStream = callers.CallerStream
Phase = callers.Phase


class ConnectionTable:
    """All connections of callers, bounded by memory and descriptors.

    ``max_descriptors`` is the limit of the process, 0 if only the system's
    limit holds.
    """

    def __init__(
        self,
        account: accounts.MemoryAccount,
        counters: metrics.Metrics,
        max_descriptors: int = 0,
    ) -> None:
        self.account = account
        self.pacer = pacing.Pacer()
        self.idle_timeout = 15.0
        """Published seconds that a caller may pause."""
        self.header_timeout = 3.0
        """Published seconds that a head may take."""
        self._metrics = counters
        self._max_descriptors = max_descriptors
        self._streams: set[CallerStream] = set()
        self._events: dict[tuple[str, str], int] = {}
        """Closed connections and refusals since the last log line."""

    def __len__(self) -> int:
        return len(self._streams)

    @property
    def limit(self) -> int:
        """Maximum number of connections."""
        soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
        found = self._max_descriptors or soft
        if soft != resource.RLIM_INFINITY:
            found = min(found, soft)
        return max(1, int((1 - _RESERVED_DESCRIPTORS) * found))

    def add(self, stream: CallerStream) -> bool:
        """Adds a connection; returns whether there is room for it."""
        if len(self._streams) >= self.limit:
            self._close_idle()
        if len(self._streams) >= self.limit:
            stream.share.close()
            self._record('closed', 'too-many-connections')
            return False
        self._streams.add(stream)
        if self.account.excess > 0:
            self.relieve(stream)
        return True

    def remove(self, stream: CallerStream) -> None:
        """Removes a closed connection and returns its memory."""
        self._streams.discard(stream)
        stream.share.close()

    def make_room(
        self, size: int, body_size: int, asking: CallerStream
    ) -> bool:
        """Returns whether ``size`` more bytes of a body fit.

        ``body_size`` is the size of the body with them, as far as known.

        Closes others if necessary: for a small body those that hold most for
        the longest time, for a large one only those without progress.
        """
        large = body_size > accounts.SMALL_BODY_BYTES
        if self.account.has_room(size, large):
            return True
        # Idle connections hold too little: thousands would be closed for
        # one body while requests that run hold the memory.
        for victim in self._order_victims(
            asking,
            _MIN_STALL_S if large else 0.0,
            min_held=callers.CONNECTION_BYTES + 1,
        ):
            self._close(victim, 'memory')
            if self.account.has_room(size, large):
                return True
        return False

    def relieve(self, asking: CallerStream) -> None:
        """Closes connections until the account is within its budget.

        ``asking`` is the last one to be closed.
        """
        for victim in self._order_victims(asking):
            if self.account.excess <= 0:
                return
            self._close(victim, 'memory')
        if self.account.excess > 0:
            self._close_later(asking)

    def record_refusal(self, reason: str) -> None:
        """Counts a refusal that was made before a body was complete."""
        self._record('refused', reason)

    async def run(self) -> None:
        """Closes slow connections and reports, until it is cancelled."""
        while True:
            await asyncio.sleep(_SWEEP_INTERVAL_S)
            self._close_slow()
            self._report()

    def _order_victims(
        self,
        asking: CallerStream,
        min_stall: float = 0.0,
        min_held: int = 0,
    ) -> Iterator[CallerStream]:
        """Yields what may be closed: what holds most for longest first.

        All connections are compared once, since thousands may be closed.
        """
        now = asyncio.get_running_loop().time()
        # One more millisecond orders those that have just progressed by size.
        heap = [
            (
                (callers.CONNECTION_BYTES - stream.share.total)
                * (now - stream.progress_at + 0.001),
                number,
                stream,
            )
            for number, stream in enumerate(self._streams)
            if stream is not asking
            and stream.phase is not Phase.RUNNING
            and now - stream.progress_at >= min_stall
            and stream.share.total >= min_held
        ]
        heapq.heapify(heap)
        while heap:
            yield heapq.heappop(heap)[-1]

    def _close_idle(self) -> None:
        waiting = [
            stream
            for stream in self._streams
            if stream.phase in (Phase.IDLE, Phase.HEAD, Phase.BODY)
        ]
        count = max(1, self.limit // _CLOSED_SHARE)
        count += len(self._streams) - self.limit
        for stream in heapq.nsmallest(
            count,
            waiting,
            key=lambda stream: (
                stream.phase is Phase.BODY,
                stream.progress_at,
            ),
        ):
            self._close(stream, 'descriptors')

    def _close_slow(self) -> None:
        now = asyncio.get_running_loop().time()
        # Callers that pause no longer than the published time send at least
        # two bytes in a window of twice that time.
        window = 2 * self.idle_timeout
        for stream in list(self._streams):
            if stream.phase is Phase.HEAD:
                if now - stream.head_at > 2 * self.header_timeout:
                    self._close(stream, 'slow-head')
            elif stream.phase is Phase.BODY:
                began_at, received = stream.window
                if now - began_at > window:
                    if stream.received - received < 2:
                        self._close(stream, 'slow-body')
                    stream.window = (now, stream.received)

    def _close(self, stream: CallerStream, reason: str) -> None:
        self._record('closed', reason)
        self.remove(stream)
        # The tasks of a closed connection end in a later turn of the loop;
        # until then other connections would fill the memory anew.
        stream.is_dropped = True
        stream.drop_body()
        stream.close()

    def _close_later(self, stream: CallerStream) -> None:
        # The stream may be in a read, which goes on after this call.
        self._record('closed', 'memory')
        self.remove(stream)
        stream.is_dropped = True
        stream.drop_body()
        asyncio.get_running_loop().call_soon(stream.close)

    def _record(self, event: str, reason: str) -> None:
        key = event, reason
        self._events[key] = self._events.get(key, 0) + 1
        self._metrics.count(
            f'waxwingport_intake_{event}_total',
            'Connections of callers closed, or requests refused before their '
            'body was read, by reason.',
            reason=reason,
        )

    def _report(self) -> None:
        self.account.export(self._metrics)
        self._metrics.set(
            'waxwingport_intake_connections',
            'Open connections of callers.',
            len(self._streams),
        )
        for (event, reason), count in self._events.items():
            fields = {
                'reason': reason,
                'count': count,
                'held_bytes': self.account.total,
                'connections': len(self._streams),
            }
            if event == 'closed':
                _LOG.warning('callers-closed', extra=fields)
            else:
                _LOG.warning('callers-refused', extra=fields)
        self._events.clear()
