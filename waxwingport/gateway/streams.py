"""Forwarding of event streams, resumed at another target where allowed."""

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
from waxwingport.gateway import origins
from waxwingport.gateway import pools
from waxwingport.gateway import routes
from waxwingport.gateway import stream_state
from waxwingport.http import client
from waxwingport.http import sse
from waxwingport import ids
from waxwingport import outcomes
from waxwingport.scheduling import attribution
from waxwingport.scheduling import software_versions
from waxwingport.scheduling import timeouts
from waxwingport.tenancy import active

__all__ = ['BrokenStream', 'StreamForwarder']

_LEAST_URGENT_STREAM_PRIORITY = 4
"""Streams of less urgent routes are sent with this priority.  Callers wait for
streams, so they take precedence over the items of all submissions."""
_MAX_SENDS_PER_RUN = 2
"""Sends for each run that the route allows, rejections included."""
_RECHECK_INTERVAL_S = 0.05
"""Time after which a stream that is silent for too long, and has no other
target to go to, looks for one again."""
_EVENT_STREAM = 'text/event-stream'
_MAX_CRASH_DELAY_S = 1.0
"""Time from the start of an answer after which a target that crashes does so
for another reason: requests crash targets that begin to run them."""

WriteHead = Callable[[int, tuple[tuple[str, str], ...]], Awaitable[None]]
WriteBody = Callable[[bytes], Awaitable[None]]

_LOG = logging.getLogger(__name__)


class BrokenStream(msgspec.Struct, frozen=True):
    """A stream that ended early after its head was sent to the caller."""

    detail: str


class StreamForwarder:
    """Forwards responses that are streams of events."""

    def __init__(
        self,
        sender: attempts.Sender,
        pool: pools.TargetPool,
        origins_: origins.StreamOrigins,
        tenants: active.ActiveTenants,
    ) -> None:
        self._sender = sender
        self._tenants = tenants
        self._origins = origins_
        self._crash_watch = sender.crash_watch
        self._pool = pool

    async def run(
        self,
        call: dialect.Call,
        route: routes.Route,
        write_head: WriteHead,
        write_body: WriteBody,
    ) -> Result[None, outcomes.Refusal | BrokenStream]:
        """Writes a target's response to the caller until it is complete.

        Fails with a refusal if no head was written, and with
        ``BrokenStream`` after that.
        """
        stream = self._begin(call, route)
        if route.resumable:
            refusal = await self._find_version(stream)
            if refusal is not None:
                return Error(refusal)
        lost_detail: str | None = None
        while True:
            target = self._choose_target(stream)
            if target is None:
                if await self._wait_for_turn(stream):
                    continue
                return Error(self._make_failure(stream, lost_detail))
            match await self._attempt(stream, target, write_head, write_body):
                case None:
                    return Ok(None)
                case attempts.NotRun(signal=signal) as outcome:
                    self._record_failure(stream, target, outcome)
                    if signal is health.HealthSignal.WITHHELD:
                        # Nothing was sent, so another target may be tried.
                        stream.sends -= 1
                case attempts.Lost(detail=detail, crashed=crashed) as outcome:
                    self._record_failure(stream, target, outcome)
                    stream.runs += 1
                    stream.crashes += crashed
                    lost_detail = detail

    def _begin(
        self, call: dialect.Call, route: routes.Route
    ) -> stream_state.StreamState:
        now = asyncio.get_running_loop().time()
        # Without a timeout of the caller, only that of the route applies.
        timeout = call.timeout if call.timeout is not None else 1e9
        key = None
        if route.resumable:
            resumption = call.resumption
            key = (resumption and resumption.first_id) or call.request_id
        return stream_state.StreamState(
            call,
            route,
            self._pool.pick_service(route, key),
            now,
            now + min(timeout, route.timeout),
            set(),
        )

    async def _find_version(
        self, stream: stream_state.StreamState
    ) -> outcomes.Refusal | None:
        """Finds out which version may begin a stream or go on with it.

        Returns why the stream must not go on, if so.
        """
        call = stream.call
        resumption = call.resumption
        if resumption is None:
            stream.assigned = self._origins.assign(
                stream.service, call.request_id
            )
            return None
        if resumption.after is None:
            return outcomes.Refusal(
                outcomes.Reason.BAD_REQUEST,
                'the number of the last event is not a whole number',
            )
        found = await self._origins.find(
            call, resumption.first_id, stream.service
        )
        _LOG.info(
            'stream-resumed',
            extra={
                'request': call.request_id,
                'resumes': resumption.first_id,
                'after_event': resumption.after,
                'origin': (
                    found.value
                    if isinstance(found, origins.Unknown)
                    else found.software
                ),
            },
        )
        if isinstance(found, origins.Unknown):
            return origins.refuse_unknown(found)
        if not _uses_service(stream.route, found.service):
            return origins.refuse_gone()
        stream.service = found.service
        stream.software = found.software
        stream.last_event = resumption.after
        return None

    def _record_failure(
        self,
        stream: stream_state.StreamState,
        target: fleet.Target,
        outcome: attempts.NotRun | attempts.Lost,
    ) -> None:
        attempts.record_outcome(target, outcome)
        _LOG.info(
            'attempt-failed',
            extra={
                'request': stream.call.request_id,
                'digest': stream.call.digest,
                'instance': target.entry.instance,
                'company': target.running,
                'ran': not isinstance(outcome, attempts.NotRun),
                'reason': outcome.detail,
            },
        )

    async def _wait_for_turn(self, stream: stream_state.StreamState) -> bool:
        """Waits until an attempt is possible; ``False`` if none will be."""
        return self._may_attempt(stream) and await self._pool.wait_for_turn(
            stream.service,
            lambda: self._find_candidates(stream),
            self._compute_priority(stream),
            _compute_latest_start(stream),
        )

    def _compute_priority(self, stream: stream_state.StreamState) -> int:
        return self._tenants.compute_priority(stream.route, stream.call.tenant)

    def _may_attempt(self, stream: stream_state.StreamState) -> bool:
        """Returns whether the route allows a further attempt now."""
        route = stream.route
        now = asyncio.get_running_loop().time()
        if now >= stream.deadline or stream.runs >= route.max_attempts:
            return False
        if stream.unsettled or (stream.runs and not route.resumable):
            return False
        if (
            stream.crashes >= attribution.MAX_CRASHES_PER_TRY
            or self._crash_watch.is_stopped(stream.call.digest)
        ):
            return False
        # Rejected attempts are not runs and are limited here.
        return stream.sends <= _MAX_SENDS_PER_RUN * route.max_attempts

    def _choose_target(
        self, stream: stream_state.StreamState
    ) -> fleet.Target | None:
        if not self._may_attempt(stream):
            return None
        return self._pool.choose(
            self._find_candidates(stream),
            self._crash_watch.make_placement_key(stream.call.digest),
        )

    def _find_candidates(
        self, stream: stream_state.StreamState
    ) -> list[fleet.Target]:
        """Returns the targets that may run a stream and were not tried."""
        untried = self._pool.find_untried(
            stream.service, stream.tried_instances, stream.software
        )
        if not stream.route.resumable:
            return untried
        certain = [target for target in untried if not target.outdated]
        if stream.software is not None:
            return certain
        return software_versions.select(
            certain,
            stream.assigned,
            self._origins.may_deviate(),
            asyncio.get_running_loop().time(),
        )

    async def _attempt(
        self,
        stream: stream_state.StreamState,
        target: fleet.Target,
        write_head: WriteHead,
        write_body: WriteBody,
    ) -> attempts.NotRun | attempts.Lost | None:
        """Sends the call to ``target`` and forwards its response.

        Returns ``None`` if the complete response was written, else why not.
        """
        stream.tried_instances.add(target.entry.instance)
        stream.sends += 1
        async with self._crash_watch.probe(
            target, stream.call.digest, _compute_latest_start(stream)
        ) as may_send:
            if not may_send:
                return attempts.make_withheld()
            return await self._exchange(stream, target, write_head, write_body)

    async def _exchange(
        self,
        stream: stream_state.StreamState,
        target: fleet.Target,
        write_head: WriteHead,
        write_body: WriteBody,
    ) -> attempts.NotRun | attempts.Lost | None:
        sent_at = asyncio.get_running_loop().time()
        remaining = stream.deadline - sent_at
        expected = dialect.Expectations(
            target.entry.instance,
            remaining,
            stream.last_event or None,
            priority=min(
                _LEAST_URGENT_STREAM_PRIORITY, self._compute_priority(stream)
            ),
        )
        _LOG.info(
            'stream-routed',
            extra={
                'request': stream.call.request_id,
                'digest': stream.call.digest,
                'route': stream.route.name,
                'tenant': stream.call.tenant,
                'instance': target.entry.instance,
                'software': target.entry.software,
                'limit': target.limit.rate if target.limit else None,
                'leaving': self._pool.count_leaving(stream.service),
                'attempt': stream.sends,
                'after_event': stream.last_event,
                'left_s': round(remaining, 3),
            },
        )
        target.running += 1
        try:
            opened = await attempts.open_attempt(
                self._sender,
                stream.call,
                target,
                expected,
                remaining,
                not stream.route.resumable,
            )
            if isinstance(opened, attempts.NotRun | attempts.Lost):
                return opened
            response, head = opened
            now = asyncio.get_running_loop().time()
            attempts.record_load_report(target, head, now)
            stream.began_at = None
            try:
                outcome = await self._forward(
                    stream, target, response, write_head, write_body
                )
            finally:
                response.close()
            return await self._judge_end(stream, target, outcome, sent_at)
        finally:
            target.running -= 1

    async def _judge_end(
        self,
        stream: stream_state.StreamState,
        target: fleet.Target,
        outcome: attempts.Lost | None,
        sent_at: float,
    ) -> attempts.Lost | None:
        """Records how an attempt ended; returns why it is lost, if so."""
        if outcome is None:
            self._crash_watch.record_answer(stream.call.digest)
            return None
        now = asyncio.get_running_loop().time()
        if stream.began_at is not None and (
            now - stream.began_at > _MAX_CRASH_DELAY_S
        ):
            return outcome
        return await self._sender.examine(
            stream.call, target, outcome, sent_at
        )

    async def _forward(
        self,
        stream: stream_state.StreamState,
        target: fleet.Target,
        response: client.Response,
        write_head: WriteHead,
        write_body: WriteBody,
    ) -> attempts.Lost | None:
        kind = _read_content_type(response)
        if stream.head_sent and (
            response.status != 200 or kind not in ('', _EVENT_STREAM)
        ):
            return attempts.Lost(
                health.HealthSignal.FAILED,
                f'target returned status {response.status} {kind}',
            )
        resumable = stream.route.resumable and response.status == 200
        events = None
        if response.status == 200 and (resumable or kind == _EVENT_STREAM):
            events = stream_state.CompleteEvents()
        stream.event_at = asyncio.get_running_loop().time()
        while True:
            chunk = await self._read_chunk(stream, response, resumable)
            if chunk is None and events and events.is_inside_event():
                chunk = sse.CUT_OFF
            if isinstance(chunk, client.TransportFault):
                closed = chunk.kind is client.TransportFaultKind.BROKEN
                return attempts.Lost(
                    health.HealthSignal.BROKEN, chunk.detail, closed
                )
            stream.record_chunk(chunk)
            if chunk is not None and events is not None:
                chunk = await self._take_events(
                    stream, target, response, events, chunk
                )
                if isinstance(chunk, attempts.Lost):
                    return chunk
            await _send_head(stream, response, write_head)
            if chunk is None:
                health.record_success(target)
                return None
            if chunk:
                await write_body(chunk)

    async def _take_events(
        self,
        stream: stream_state.StreamState,
        target: fleet.Target,
        response: client.Response,
        events: stream_state.CompleteEvents,
        chunk: bytes,
    ) -> bytes | attempts.Lost:
        """Returns what may be sent of a chunk: the events that it completes.

        The version of the target that made them has to be certain.  A stream
        that can't be resumed is sent as it comes.
        """
        complete = events.feed(chunk)
        if events.is_overlong():
            return attempts.Lost(
                health.HealthSignal.BROKEN, 'an event does not end'
            )
        if not stream.route.resumable:
            return chunk
        if not complete:
            return complete
        if not stream.is_continued_by(complete):
            return attempts.Lost(
                health.HealthSignal.BROKEN, 'an event came again'
            )
        if not await self._sender.starts.confirm(target, response):
            return attempts.Lost(
                health.HealthSignal.MOVED, 'the target may have started anew'
            )
        if not await self._settle(stream, target):
            return attempts.Lost(
                health.HealthSignal.WITHHELD,
                'the version of the stream was not recorded',
            )
        stream.record_events(complete)
        return complete

    async def _settle(
        self, stream: stream_state.StreamState, target: fleet.Target
    ) -> bool:
        """Binds a stream to the version of the target of its first event.

        Returns ``False`` if the event must not be sent, as other nodes could
        not find out the version.
        """
        if stream.software is not None or stream.unsettled:
            return not stream.unsettled
        if await self._origins.settle(stream.call, target.origin):
            stream.software = target.entry.software
        else:
            stream.unsettled = True
        return not stream.unsettled

    async def _read_chunk(
        self,
        stream: stream_state.StreamState,
        response: client.Response,
        resumable: bool,
    ) -> bytes | client.TransportFault | None:
        """Returns the next chunk unless the stream should go on elsewhere."""
        if not resumable:
            return await response.read_chunk()
        timeout = timeouts.compute_event_timeout(
            stream.route.target_time, stream.silent_runs
        )
        loop = asyncio.get_running_loop()
        due_at = stream.event_at + timeout
        while True:
            # A busy process may be late to read an event that has arrived.
            overdue = loop.time() > due_at + _RECHECK_INTERVAL_S
            if overdue and self._has_alternative(stream):
                stream.silent_runs += 1
                return client.TransportFault(
                    client.TransportFaultKind.SILENT,
                    f'no event for {timeout:.3g} s',
                    True,
                )
            recheck_at = loop.time() + _RECHECK_INTERVAL_S
            try:
                async with asyncio.timeout_at(max(due_at, recheck_at)):
                    return await response.read_chunk()
            except TimeoutError:
                continue

    def _has_alternative(self, stream: stream_state.StreamState) -> bool:
        """Returns whether the stream could resume at another target now."""
        if stream.runs + 1 >= stream.route.max_attempts:
            return False
        if stream.sends >= _MAX_SENDS_PER_RUN * stream.route.max_attempts:
            return False
        now = asyncio.get_running_loop().time()
        return any(
            target.count_turns(now) for target in self._find_candidates(stream)
        )

    def _make_failure(
        self, stream: stream_state.StreamState, lost_detail: str | None
    ) -> outcomes.Refusal | BrokenStream:
        if stream.head_sent:
            return BrokenStream(
                lost_detail or 'no target to resume the stream'
            )
        if lost_detail is not None:
            return outcomes.Refusal(
                outcomes.Reason.UNKNOWN_OUTCOME,
                lost_detail,
                outcomes.Ran.UNKNOWN,
            )
        if self._crash_watch.is_stopped(stream.call.digest):
            return attempts.make_stop(self._crash_watch, stream.call)
        if stream.software is not None and not self._pool.find_untried(
            stream.service, (), stream.software
        ):
            return origins.refuse_gone()
        return outcomes.Refusal(
            outcomes.Reason.NO_TARGET,
            'no target accepted the request',
            retry_after=self._pool.compute_retry_after(
                stream.service, hedging.ResponseTimes()
            ),
        )


async def _send_head(
    stream: stream_state.StreamState,
    response: client.Response,
    write_head: WriteHead,
) -> None:
    """Sends the head of a stream's first answer; later ones add to it."""
    if not stream.head_sent:
        stream.head_sent = True
        await write_head(response.status, tuple(response.headers.get_all()))


def _read_content_type(response: client.Response) -> str:
    """Returns the type without its parameters, empty if there is none."""
    kind = response.headers.get('Content-Type', '').partition(';')[0]
    return kind.strip().lower()


def _uses_service(route: routes.Route, service: ids.ServiceName) -> bool:
    """Returns whether a route still sends requests to a service."""
    return any(
        share.service == service and share.weight > 0 for share in route.shares
    )


def _compute_latest_start(stream: stream_state.StreamState) -> float:
    """Returns the loop time until which the stream may wait to be sent."""
    return hedging.compute_latest_start(stream.started_at, stream.deadline)
