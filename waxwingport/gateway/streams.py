"""Streams: events passed on as they come, resumed where that is allowed."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import logging

from expression import Error
from expression import Ok
from expression import Result
import msgspec

from waxwingport.fleet import health
from waxwingport.fleet import model as fleet
from waxwingport.gateway import attempts
from waxwingport.gateway import dialect
from waxwingport.gateway import hedging
from waxwingport.gateway import pools
from waxwingport.gateway import routes
from waxwingport.http import client
from waxwingport import ids
from waxwingport import outcomes

__all__ = ['BrokenStream', 'StreamForwarder']

_SILENCE_TIMEOUT = 1.5
"""Seconds without a byte after which a resumable stream goes on elsewhere;
under the two seconds after which callers leave."""
_LEAST_URGENT = 4
"""Priority of the least urgent stream: callers wait for it, so that it goes
before the items of any submission."""
_EVENT_END = b'\n\n'

WriteHead = Callable[[int, tuple[tuple[str, str], ...]], Awaitable[None]]
WriteBody = Callable[[bytes], Awaitable[None]]

_LOG = logging.getLogger(__name__)


class BrokenStream(msgspec.Struct, frozen=True):
    """A stream that ended early after its head had been passed on."""

    detail: str


class _Stream(msgspec.Struct, eq=False):
    call: dialect.Call
    route: routes.Route
    service: ids.ServiceName
    deadline: float
    tried: set[fleet.InstanceId]
    head_sent: bool = False
    last_event: int = 0
    runs: int = 0
    sends: int = 0


class StreamForwarder:
    """Passes on answers that come as a series of events."""

    def __init__(
        self,
        sender: attempts.Sender,
        pool: pools.TargetPool,
    ) -> None:
        self._sender = sender
        self._pool = pool

    async def run(
        self,
        call: dialect.Call,
        route: routes.Route,
        write_head: WriteHead,
        write_body: WriteBody,
    ) -> Result[None, outcomes.Refusal | BrokenStream]:
        """Passes an answer on until it is whole.

        Fails with a refusal as long as no head was written, and with
        ``BrokenStream`` after that.
        """
        now = asyncio.get_running_loop().time()
        patience = call.timeout if call.timeout is not None else 1e9
        stream = _Stream(
            call,
            route,
            self._pool.pick_service(route),
            now + min(patience, route.timeout),
            set(),
        )
        lost: str | None = None
        while True:
            target = self._choose(stream)
            if target is None:
                return Error(self._give_up(stream, lost))
            match await self._attempt(stream, target, write_head, write_body):
                case None:
                    return Ok(None)
                case attempts.NotRun() as outcome:
                    attempts.record_outcome(target, outcome)
                case attempts.Lost(detail=detail) as outcome:
                    attempts.record_outcome(target, outcome)
                    stream.runs += 1
                    lost = detail

    def _choose(self, stream: _Stream) -> fleet.Target | None:
        route = stream.route
        now = asyncio.get_running_loop().time()
        if now >= stream.deadline or stream.runs >= route.max_attempts:
            return None
        if stream.runs and not route.resumable:
            return None
        if stream.sends >= 2 * route.max_attempts + 1:
            return None
        return self._pool.choose(
            self._pool.find_untried(stream.service, stream.tried)
        )

    async def _attempt(
        self,
        stream: _Stream,
        target: fleet.Target,
        write_head: WriteHead,
        write_body: WriteBody,
    ) -> attempts.NotRun | attempts.Lost | None:
        """Returns ``None`` once the answer was passed on whole."""
        left = stream.deadline - asyncio.get_running_loop().time()
        stream.tried.add(target.entry.instance)
        stream.sends += 1
        expected = dialect.Expectations(
            target.entry.instance,
            left,
            stream.last_event or None,
            priority=min(_LEAST_URGENT, stream.route.priority),
        )
        _LOG.info(
            'stream-routed',
            extra={
                'request': stream.call.request_id,
                'route': stream.route.name,
                'instance': target.entry.instance,
                'attempt': stream.sends,
                'after_event': stream.last_event,
                'left_s': round(left, 3),
            },
        )
        target.running += 1
        try:
            opened = await attempts.open_attempt(
                self._sender,
                stream.call,
                target,
                expected,
                left,
                not stream.route.resumable,
            )
            if isinstance(opened, attempts.NotRun | attempts.Lost):
                return opened
            response, facts = opened
            now = asyncio.get_running_loop().time()
            attempts.record_load_report(target, facts, now)
            try:
                return await self._pass_on(
                    stream, target, response, write_head, write_body
                )
            finally:
                response.close()
        finally:
            target.running -= 1

    async def _pass_on(
        self,
        stream: _Stream,
        target: fleet.Target,
        response: client.Response,
        write_head: WriteHead,
        write_body: WriteBody,
    ) -> attempts.Lost | None:
        if stream.head_sent and response.status != 200:
            return attempts.Lost(
                health.HealthSignal.FAILED, f'answered {response.status}'
            )
        resumable = stream.route.resumable and response.status == 200
        rest = b''
        while True:
            piece = await self._read(response, resumable)
            if isinstance(piece, client.TransportFault):
                return attempts.Lost(health.HealthSignal.BROKEN, piece.detail)
            if not stream.head_sent:
                stream.head_sent = True
                rows = tuple(response.headers.get_all())
                await write_head(response.status, rows)
            if piece is None:
                health.record_success(target)
                return None
            if resumable:
                # Only whole events: what comes next may be another engine's.
                whole, _, rest = (rest + piece).rpartition(_EVENT_END)
                piece = whole + _EVENT_END if whole else b''
                stream.last_event = _find_last_event(piece, stream.last_event)
            if piece:
                await write_body(piece)

    async def _read(
        self, response: client.Response, resumable: bool
    ) -> bytes | client.TransportFault | None:
        if not resumable:
            return await response.read_chunk()
        try:
            async with asyncio.timeout(_SILENCE_TIMEOUT):
                return await response.read_chunk()
        except TimeoutError:
            return client.TransportFault(
                client.TransportFaultKind.SILENT, 'stream fell silent', True
            )

    def _give_up(
        self, stream: _Stream, lost: str | None
    ) -> outcomes.Refusal | BrokenStream:
        if stream.head_sent:
            return BrokenStream(lost or 'no target to go on at')
        if lost is not None:
            return outcomes.Refusal(
                outcomes.Reason.UNKNOWN_OUTCOME, lost, outcomes.Ran.UNKNOWN
            )
        return outcomes.Refusal(
            outcomes.Reason.NO_TARGET,
            'no target took the request',
            retry_after=self._pool.compute_retry_after(
                stream.service, hedging.ResponseTimes()
            ),
        )


def _find_last_event(data: bytes, before: int) -> int:
    last = before
    for line in data.split(b'\n'):
        if line.startswith(b'id:') and line[3:].strip().isdigit():
            last = int(line[3:])
    return last
