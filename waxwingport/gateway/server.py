"""The HTTP server towards callers and the balancer."""

import asyncio
import logging
import socket

from expression import Result
from tornado import httpserver
from tornado import httputil
from tornado import iostream
from tornado import netutil

from waxwingport import clocks
from waxwingport.gateway import attempts
from waxwingport.gateway import calls
from waxwingport.gateway import configured
from waxwingport.gateway import dialect
from waxwingport.gateway import routes
from waxwingport.gateway import streams
from waxwingport.http import headers as http_headers
from waxwingport import ids
from waxwingport import metrics
from waxwingport import outcomes
from waxwingport.requests import progress
from waxwingport.submissions import service

__all__ = ['Gateway', 'bind_sockets', 'format_address']

_STATUSES = {
    outcomes.Reason.BAD_REQUEST: 400,
    outcomes.Reason.DEADLINE: 503,
    outcomes.Reason.LOG_UNAVAILABLE: 503,
    outcomes.Reason.NOT_FOUND: 404,
    outcomes.Reason.NO_TARGET: 503,
    outcomes.Reason.OVERLOADED: 503,
    outcomes.Reason.SHUTTING_DOWN: 503,
    outcomes.Reason.TARGET_FAILED: 502,
    outcomes.Reason.TIMEOUT: 504,
    outcomes.Reason.UNKNOWN_OUTCOME: 502,
}
_DEFAULT_PATIENCE = 10.0
"""Seconds for a call whose caller names no deadline."""
_BACKLOG = 1024
_FULL_RETRY_AFTER = 0.5
"""Seconds: most requests in progress are answered by then."""
_STARTING_RETRY_AFTER = 0.5
"""Seconds: about what a start takes."""

_LOG = logging.getLogger(__name__)


class _Request(progress.Interruptible):
    """A caller's request in progress."""

    def __init__(
        self, request: httputil.HTTPServerRequest, draining: bool
    ) -> None:
        self.connection = request.connection
        self.draining = draining
        self.started_at = asyncio.get_running_loop().time()
        self.status = 0
        """Status of the answer, 0 until it began."""
        self.kind = 'none'
        """Kind of its route, for the metrics."""
        self.request_id: ids.RequestId | None = None
        self.task: asyncio.Task[None] | None = None

    def interrupt(self) -> None:
        """Ends the request by closing its connection."""
        if self.task is not None:
            self.task.cancel()

    async def write_head(
        self, status: int, rows: tuple[tuple[str, str], ...], body: bytes = b''
    ) -> None:
        """Starts an answer whose body follows."""
        self.status = status
        await self.connection.write_headers(
            httputil.ResponseStartLine('', status, _name_status(status)),
            self._make_headers(rows),
            body or None,
        )

    async def write_whole(
        self, status: int, rows: tuple[tuple[str, str], ...], body: bytes
    ) -> None:
        """Writes a whole answer."""
        headers = (*rows, ('Content-Length', str(len(body))))
        await self.write_head(status, headers, body)
        self.connection.finish()

    def _make_headers(
        self, rows: tuple[tuple[str, str], ...]
    ) -> httputil.HTTPHeaders:
        headers = httputil.HTTPHeaders()
        for name, value in rows:
            headers.add(name, value)
        if self.draining:
            headers['Connection'] = 'close'
        return headers


class Gateway:
    """Answers callers' requests by the routes in force."""

    def __init__(
        self,
        dialect_: dialect.Dialect,
        configuration: configured.ActiveConfiguration,
        caller: calls.CallForwarder,
        streamer: streams.StreamForwarder,
        submissions: service.SubmissionService,
        tracker: progress.RequestTracker,
        wall_clock: clocks.WallClock,
        counters: metrics.Metrics,
    ) -> None:
        self._metrics = counters
        self._dialect = dialect_
        self._configuration = configuration
        self._caller = caller
        self._streamer = streamer
        self._desk = submissions
        self._progress = tracker
        self._wall = wall_clock
        self.server = httpserver.HTTPServer(self._take)
        configuration.add_listener(self._apply_limits)

    def _apply_limits(self, found: routes.Configuration) -> None:
        limits = found.limits
        parameters = self.server.conn_params
        # Callers reuse connections that were idle for most of this time.
        parameters.idle_connection_timeout = 2 * limits.idle_timeout
        parameters.max_header_size = 2 * limits.header_size
        parameters.max_body_size = 2 * limits.body_size

    def _take(self, request: httputil.HTTPServerRequest) -> None:
        taken = _Request(request, not self._progress.ready)
        size = len(request.body or b'')
        work = self._answer(taken, request)
        if self._progress.reserve(size):
            self._progress.free(size)
        else:
            work.close()
            work = self._refuse(taken, None, _too_full())
        self._progress.enter(taken, size)
        task = asyncio.get_running_loop().create_task(work)
        taken.task = task
        request.connection.set_close_callback(task.cancel)
        task.add_done_callback(lambda done: self._end(taken, done))

    def _end(self, taken: _Request, done: asyncio.Task[None]) -> None:
        self._progress.leave(taken)
        self._count(taken)
        if done.cancelled():
            _LOG.info(
                'request-cancelled',
                extra={
                    'request': taken.request_id,
                    'answered': bool(taken.status),
                },
            )
            stream = taken.connection.detach()
            stream.close()
            return
        error = done.exception()
        if error is None or isinstance(error, iostream.StreamClosedError):
            return
        _LOG.critical('request-handler-failed', exc_info=error)
        taken.connection.detach().close()

    def _count(self, taken: _Request) -> None:
        self._metrics.count(
            'waxwingport_gateway_requests_total',
            'Requests by kind of route and status; 0 is no answer.',
            kind=taken.kind,
            status=str(taken.status),
        )
        now = asyncio.get_running_loop().time()
        self._metrics.observe(
            'waxwingport_gateway_request_seconds',
            'Time from a whole request to the end of its answer.',
            now - taken.started_at,
            kind=taken.kind,
        )

    async def _answer(
        self, taken: _Request, request: httputil.HTTPServerRequest
    ) -> None:
        found = self._dialect.read_call(
            request.method,
            request.uri,
            tuple(request.headers.get_all()),
            request.body or b'',
        )
        match found:
            case Result(tag='ok', ok=call):
                taken.request_id = call.request_id
            case Result(error=reason):
                await self._refuse(taken, None, _bad_request(reason))
                return
        if self._configuration.current is None:
            await self._refuse(taken, call, _not_ready())
            return
        if await self._answer_batch_call(taken, call):
            return
        path = call.path.partition('?')[0]
        route = self._configuration.find_route(call.host, path)
        if route is None or route.kind is routes.RouteKind.BATCH:
            refusal = outcomes.Refusal(
                outcomes.Reason.NOT_FOUND, 'no route for this host and path'
            )
            await self._refuse(taken, call, refusal)
            return
        taken.kind = route.kind.value
        if route.kind is routes.RouteKind.STREAMING:
            await self._answer_stream(taken, call, route)
        else:
            await self._answer_call(taken, call, route)

    async def _answer_call(
        self, taken: _Request, call: dialect.Call, route: routes.Route
    ) -> None:
        match await self._caller.run(call, route):
            case Result(tag='ok', ok=answer):
                await self._pass_on(taken, answer)
            case Result(error=refusal):
                await self._refuse(taken, call, refusal)

    async def _answer_stream(
        self, taken: _Request, call: dialect.Call, route: routes.Route
    ) -> None:
        async def write_head(
            status: int, rows: tuple[tuple[str, str], ...]
        ) -> None:
            await taken.write_head(status, http_headers.keep_end_to_end(rows))

        async def write_body(data: bytes) -> None:
            await taken.connection.write(data)

        outcome = await self._streamer.run(call, route, write_head, write_body)
        match outcome:
            case Result(tag='ok'):
                taken.connection.finish()
            case Result(error=outcomes.Refusal() as refusal):
                await self._refuse(taken, call, refusal)
            case Result(error=streams.BrokenStream(detail=detail)):
                _LOG.info(
                    'stream-broken',
                    extra={'request': call.request_id, 'reason': detail},
                )
                taken.connection.detach().close()

    async def _answer_batch_call(
        self, taken: _Request, call: dialect.Call
    ) -> bool:
        """Answers a call on submissions; returns whether it was one."""
        path = call.path.partition('?')[0]
        route = self._configuration.find_route(call.host, path)
        if route is None and call.method == 'POST':
            return False
        if route is not None and route.kind is not routes.RouteKind.BATCH:
            return False
        taken.kind = routes.RouteKind.BATCH.value
        match self._dialect.read_batch_call(call, self._wall.read()):
            case Result(tag='ok', ok=wanted):
                pass
            case Result(error=reason):
                await self._refuse(taken, call, _bad_request(reason))
                return True
        patience = call.timeout or _DEFAULT_PATIENCE
        match wanted:
            case dialect.SubmitCall(submission) if route is not None:
                done = await self._desk.accept(submission, patience)
                await self._confirm(taken, call, done, 202)
            case dialect.EndCall(submission_id):
                done = await self._desk.end(submission_id, patience)
                await self._confirm(taken, call, done, 200)
            case dialect.BatchRead():
                await self._answer_read(taken, call, wanted)
            case dialect.ItemRead(submission_id, item_id):
                found = await self._desk.read_item(submission_id, item_id)
                await self._answer_body(taken, call, found)
            case _:
                taken.kind = 'none'
                return False
        return True

    async def _confirm(
        self,
        taken: _Request,
        call: dialect.Call,
        done: Result[None, outcomes.Refusal],
        status: int,
    ) -> None:
        match done:
            case Result(tag='ok'):
                headers = self._dialect.make_refusal_headers(
                    call.request_id, None
                )
                await taken.write_whole(status, tuple(headers.items()), b'{}')
            case Result(error=refusal):
                await self._refuse(taken, call, refusal)

    async def _answer_read(
        self, taken: _Request, call: dialect.Call, wanted: dialect.BatchRead
    ) -> None:
        found = await self._desk.read(
            wanted.submission_id, wanted.after, wanted.wait
        )
        await self._answer_body(
            taken,
            call,
            found.map(
                lambda rows: self._dialect.encode_results(
                    rows.total, wanted.after, rows.results
                )
            ),
        )

    async def _answer_body(
        self,
        taken: _Request,
        call: dialect.Call,
        found: Result[bytes, outcomes.Refusal],
    ) -> None:
        match found:
            case Result(tag='ok', ok=body):
                headers = self._dialect.make_refusal_headers(
                    call.request_id, None
                )
                await taken.write_whole(200, tuple(headers.items()), body)
            case Result(error=refusal):
                await self._refuse(taken, call, refusal)

    async def _pass_on(
        self, taken: _Request, answer: attempts.Answered
    ) -> None:
        rows = http_headers.keep_end_to_end(answer.headers)
        await taken.write_whole(answer.status, rows, answer.body)

    async def _refuse(
        self,
        taken: _Request,
        call: dialect.Call | None,
        refusal: outcomes.Refusal,
    ) -> None:
        request_id = call.request_id if call else None
        status = _STATUSES.get(refusal.reason, 500)
        _LOG.info(
            'request-refused',
            extra={
                'request': request_id,
                'status': status,
                'reason': refusal.reason.value,
                'detail': refusal.detail,
                'ran': refusal.ran.value,
                'retry_after_s': refusal.retry_after,
                'path': call.path if call else None,
            },
        )
        headers = self._dialect.make_refusal_headers(
            request_id, refusal.retry_after
        )
        body = b'{"reason":"%s"}' % refusal.reason.value.encode()
        await taken.write_whole(status, tuple(headers.items()), body)


def _bad_request(reason: str) -> outcomes.Refusal:
    return outcomes.Refusal(outcomes.Reason.BAD_REQUEST, reason)


def _too_full() -> outcomes.Refusal:
    return outcomes.Refusal(
        outcomes.Reason.OVERLOADED,
        'too many bytes of requests in progress',
        retry_after=_FULL_RETRY_AFTER,
    )


def _not_ready() -> outcomes.Refusal:
    return outcomes.Refusal(
        outcomes.Reason.LOG_UNAVAILABLE,
        'no configuration yet',
        retry_after=_STARTING_RETRY_AFTER,
    )


def _name_status(status: int) -> str:
    return httputil.responses.get(status, 'Unknown')


def bind_sockets(address: str) -> list[socket.socket]:
    """Returns listening sockets for ``ip:port``; raises ``OSError``."""
    host, _, port = address.rpartition(':')
    return netutil.bind_sockets(int(port), host, backlog=_BACKLOG)


def format_address(listening: socket.socket) -> str:
    """Returns where a socket listens, as ``ip:port``."""
    host, port = listening.getsockname()[:2]
    return f'{host}:{port}'
