"""The HTTP server for callers."""

import asyncio
import logging
import socket

from expression import Result
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
from waxwingport.intake import account as accounts
from waxwingport.intake import connections
from waxwingport.intake import exchanges
from waxwingport.intake import reader
from waxwingport.intake import refusals
from waxwingport import metrics
from waxwingport import outcomes
from waxwingport.requests import progress
from waxwingport.submissions import service
from waxwingport.tenancy import check
from waxwingport.tenancy import counters as tenant_counters
from waxwingport.tenancy import model as tenancy

__all__ = ['Gateway', 'bind_sockets', 'format_address']

_DEFAULT_TIMEOUT_S = 10.0
"""Timeout of an operation on submissions whose caller states none."""
_CALLER_MEMORY = 64 * 1024 * 1024
"""Bytes held for callers without settings of a machine."""
_SUBMISSION_COPIES = 3
"""Decoded texts, decoded items and records of a submission exist beside its
body while it is accepted."""
_BACKLOG = 1024
"""Maximum number of connections that wait to be accepted."""
_REQUESTS_METRIC = 'waxwingport_gateway_requests_total'
_REQUESTS_HELP = 'Requests by kind of route and status; status 0 is no answer.'

_LOG = logging.getLogger(__name__)


class Gateway(reader.Handler):
    """Answers callers' requests by the current configuration."""

    def __init__(
        self,
        dialect_: dialect.Dialect,
        configuration: configured.ActiveConfiguration,
        call_forwarder: calls.CallForwarder,
        stream_forwarder: streams.StreamForwarder,
        submissions: service.SubmissionService,
        tracker: progress.RequestTracker,
        wall_clock: clocks.WallClock,
        counters: metrics.Metrics,
        table: connections.ConnectionTable | None = None,
    ) -> None:
        self._metrics = counters
        self.tenant_counters = tenant_counters.TenantCounters(counters)
        if table is None:
            table = connections.ConnectionTable(
                accounts.MemoryAccount(_CALLER_MEMORY), counters
            )
        self.connections = table
        """The open connections of callers."""
        self._dialect = dialect_
        self._configuration = configuration
        self._check = check.KeyCheck(configuration, dialect_.read_key)
        self._call_forwarder = call_forwarder
        self._stream_forwarder = stream_forwarder
        self._submissions = submissions
        self._tracker = tracker
        self._wall_clock = wall_clock
        self.server = reader.BoundedServer(self, self.connections)
        configuration.add_listener(self._apply_limits)

    def _apply_limits(self, configuration: routes.Configuration) -> None:
        limits = configuration.limits
        parameters = self.server.conn_params
        # tornado counts the time between two requests as that of a head.
        # Twice the published limit, since callers reuse connections that were
        # idle for most of that time.
        parameters.header_timeout = 2 * max(
            limits.idle_timeout, limits.header_timeout
        )
        parameters.max_header_size = 2 * limits.header_size
        self.server.max_body_size = limits.body_size
        self.connections.idle_timeout = limits.idle_timeout
        self.connections.header_timeout = limits.header_timeout

    def check_head(
        self, host: str, path: str, headers: dialect.Headers
    ) -> outcomes.Refusal | None:
        """Returns why a request is not answered, ``None`` if it is.

        The check of each request's key, also when it is used again on a
        connection.  ``host`` and ``path`` are as the head of the request has
        them; its body need not have arrived.
        """
        match self._check.identify(host, path, headers):
            case Result(tag='error', error=refusal):
                return refusal
        return None

    def check_start(
        self, head: httputil.RequestStartLine, headers: httputil.HTTPHeaders
    ) -> outcomes.Refusal | None:
        """Returns why a request is refused before its body is read.

        A request with a small body is read whole, so that its refusal leaves
        the connection open.
        """
        length = headers.get('Content-Length', '0')
        is_small = 'Transfer-Encoding' not in headers and (
            length.isdecimal()
            and len(length) <= len(str(accounts.SMALL_BODY_BYTES))
            and int(length) <= accounts.SMALL_BODY_BYTES
        )
        if is_small:
            return None
        fields = tuple(headers.get_all())
        return self.check_head(
            self._dialect.read_head(fields).host, head.path, fields
        )

    def make_refusal(
        self, headers: httputil.HTTPHeaders, refusal: outcomes.Refusal
    ) -> tuple[int, httputil.HTTPHeaders, bytes]:
        """Returns status, header fields and body of a refusal; counts it."""
        status = refusals.find_status(refusal)
        self._metrics.count(
            _REQUESTS_METRIC, _REQUESTS_HELP, kind='none', status=str(status)
        )
        body = refusals.make_body(refusal)
        head = self._dialect.read_head(tuple(headers.get_all()))
        fields = httputil.HTTPHeaders(
            self._make_refusal_headers(head.request_id, refusal)
        )
        fields['Content-Length'] = str(len(body))
        return status, fields, body

    def _make_refusal_headers(
        self, request_id: ids.RequestId | None, refusal: outcomes.Refusal
    ) -> dict[str, str]:
        return self._dialect.make_response_headers(
            request_id,
            refusal.retry_after,
            needs_key=refusal.reason is outcomes.Reason.UNAUTHENTICATED,
        )

    def handle(self, request: httputil.HTTPServerRequest) -> None:
        """Answers a complete request."""
        exchange = exchanges.Exchange(request, not self._tracker.ready)
        size = len(request.body or b'')
        coroutine = self._answer(exchange, request)
        # Only checks that the body fits into memory; ``enter`` counts it.
        if self._tracker.reserve(size):
            self._tracker.free(size)
        else:
            coroutine.close()
            coroutine = self._refuse(exchange, None, refusals.make_overload())
        self._tracker.enter(exchange, size)
        task = asyncio.get_running_loop().create_task(coroutine)
        exchange.task = task
        request.connection.set_close_callback(task.cancel)
        task.add_done_callback(
            lambda outcome: self._finish_request(exchange, outcome)
        )

    def _finish_request(
        self, exchange: exchanges.Exchange, outcome: asyncio.Task[None]
    ) -> None:
        self._tracker.leave(exchange)
        exchange.stream.end_request()
        # The traceback of a cancelled task refers to the exchange; the cycle
        # would keep the answer until the next run of the garbage collector.
        exchange.task = None
        self._count_request(exchange)
        if outcome.cancelled():
            _LOG.info(
                'request-cancelled',
                extra={
                    'request': exchange.request_id,
                    'answered': bool(exchange.status),
                },
            )
            stream = exchange.connection.detach()
            stream.close()
            return
        error = outcome.exception()
        if error is None or isinstance(error, iostream.StreamClosedError):
            return
        _LOG.critical('request-handler-failed', exc_info=error)
        exchange.connection.detach().close()

    def _count_request(self, exchange: exchanges.Exchange) -> None:
        self.tenant_counters.count(exchange.tenant)
        self._metrics.count(
            _REQUESTS_METRIC,
            _REQUESTS_HELP,
            kind=exchange.kind,
            status=str(exchange.status),
        )
        now = asyncio.get_running_loop().time()
        self._metrics.observe(
            'waxwingport_gateway_request_seconds',
            'Seconds from a complete request to the end of its answer.',
            now - exchange.started_at,
            kind=exchange.kind,
        )

    async def _answer(
        self, exchange: exchanges.Exchange, request: httputil.HTTPServerRequest
    ) -> None:
        headers = tuple(request.headers.get_all())
        head = self._dialect.read_head(headers)
        match self._check.identify(head.host, request.uri, headers):
            case Result(tag='ok', ok=identity):
                pass
            case Result(error=refusal):
                exchange.request_id = head.request_id
                if self._tracker.is_refusing:
                    refusal = refusals.make_stopping()
                await self._refuse(exchange, None, refusal)
                return
        found = self._dialect.read_call(
            request.method, request.uri, headers, request.body or b'', identity
        )
        match found:
            case Result(tag='ok', ok=call):
                exchange.request_id = call.request_id
                exchange.tenant = call.tenant
            case Result(error=reason):
                await self._refuse(
                    exchange, None, refusals.make_bad_request(reason)
                )
                return
        if self._tracker.is_refusing:
            await self._refuse(exchange, call, refusals.make_stopping())
            return
        path = call.path.partition('?')[0]
        route = self._configuration.find_route(call.host, path)
        if await self._answer_batch_call(exchange, call, route, identity):
            return
        if route is None or route.kind is routes.RouteKind.BATCH:
            refusal = outcomes.Refusal(
                outcomes.Reason.NOT_FOUND, 'no route for this host and path'
            )
            await self._refuse(exchange, call, refusal)
            return
        exchange.kind = route.kind.value
        if route.kind is routes.RouteKind.STREAMING:
            await self._answer_stream(exchange, call, route)
        else:
            await self._answer_call(exchange, call, route)

    async def _answer_call(
        self,
        exchange: exchanges.Exchange,
        call: dialect.Call,
        route: routes.Route,
    ) -> None:
        match await self._call_forwarder.run(call, route):
            case Result(tag='ok', ok=answer):
                await self._forward_answer(exchange, answer)
            case Result(error=refusal):
                await self._refuse(exchange, call, refusal)

    async def _answer_stream(
        self,
        exchange: exchanges.Exchange,
        call: dialect.Call,
        route: routes.Route,
    ) -> None:
        async def write_head(
            status: int, fields: tuple[tuple[str, str], ...]
        ) -> None:
            await exchange.write_head(
                status, http_headers.keep_end_to_end(fields)
            )

        async def write_body(data: bytes) -> None:
            await exchange.write_part(data)

        outcome = await self._stream_forwarder.run(
            call, route, write_head, write_body
        )
        match outcome:
            case Result(tag='ok'):
                exchange.connection.finish()
            case Result(error=outcomes.Refusal() as refusal):
                await self._refuse(exchange, call, refusal)
            case Result(error=streams.BrokenStream(detail=detail)):
                _LOG.info(
                    'stream-broken',
                    extra={'request': call.request_id, 'reason': detail},
                )
                exchange.connection.detach().close()

    async def _answer_batch_call(
        self,
        exchange: exchanges.Exchange,
        call: dialect.Call,
        route: routes.Route | None,
        identity: tenancy.Identity | None,
    ) -> bool:
        """Answers an operation on submissions.

        Returns whether the call was one; if not, nothing was sent.
        """
        if route is None and call.method == 'POST':
            return False
        if route is not None and route.kind is not routes.RouteKind.BATCH:
            return False
        exchange.kind = routes.RouteKind.BATCH.value
        if not self._reserve_copies(exchange, call):
            await self._refuse(exchange, call, refusals.make_overload())
            return True
        match self._dialect.read_batch_call(
            call, self._wall_clock.read(), identity
        ):
            case Result(tag='ok', ok=batch_call):
                pass
            case Result(error=reason):
                await self._refuse(
                    exchange, call, refusals.make_bad_request(reason)
                )
                return True
        timeout = call.timeout or _DEFAULT_TIMEOUT_S
        match batch_call:
            case dialect.SubmitCall(submission) if route is not None:
                outcome = await self._submissions.accept(
                    submission, timeout, identity
                )
                await self._answer_empty(exchange, call, outcome, 202)
            case dialect.EndCall(submission_id):
                outcome = await self._submissions.end(
                    submission_id, timeout, identity
                )
                await self._answer_empty(exchange, call, outcome, 200)
            case dialect.BatchRead():
                await self._answer_read(exchange, call, batch_call, identity)
            case dialect.ItemRead(submission_id, item_id):
                found = await self._submissions.read_item(
                    submission_id, item_id, identity
                )
                await self._answer_body(exchange, call, found)
            case _:
                exchange.kind = 'none'
                return False
        return True

    def _reserve_copies(
        self, exchange: exchanges.Exchange, call: dialect.Call
    ) -> bool:
        """Returns whether there is memory for the copies of a submission."""
        size = _SUBMISSION_COPIES * len(call.body)
        if not self.connections.account.has_room_for_copies(size):
            return False
        exchange.stream.share.set(accounts.Kind.COPIES, size)
        return True

    async def _answer_empty(
        self,
        exchange: exchanges.Exchange,
        call: dialect.Call,
        outcome: Result[None, outcomes.Refusal],
        status: int,
    ) -> None:
        match outcome:
            case Result(tag='ok'):
                headers = self._dialect.make_response_headers(
                    call.request_id, None
                )
                await exchange.write_whole(
                    status, tuple(headers.items()), b'{}'
                )
            case Result(error=refusal):
                await self._refuse(exchange, call, refusal)

    async def _answer_read(
        self,
        exchange: exchanges.Exchange,
        call: dialect.Call,
        batch_call: dialect.BatchRead,
        identity: tenancy.Identity | None,
    ) -> None:
        found = await self._submissions.read(
            batch_call.submission_id,
            batch_call.after,
            batch_call.wait,
            identity,
        )
        await self._answer_body(
            exchange,
            call,
            found.map(
                lambda page: self._dialect.encode_results(
                    page.total, batch_call.after, page.results
                )
            ),
        )

    async def _answer_body(
        self,
        exchange: exchanges.Exchange,
        call: dialect.Call,
        found: Result[bytes, outcomes.Refusal],
    ) -> None:
        match found:
            case Result(tag='ok', ok=body):
                headers = self._dialect.make_response_headers(
                    call.request_id, None
                )
                await exchange.write_whole(200, tuple(headers.items()), body)
            case Result(error=refusal):
                await self._refuse(exchange, call, refusal)

    async def _forward_answer(
        self, exchange: exchanges.Exchange, answer: attempts.Answered
    ) -> None:
        fields = http_headers.keep_end_to_end(answer.headers)
        await exchange.write_whole(answer.status, fields, answer.body)

    async def _refuse(
        self,
        exchange: exchanges.Exchange,
        call: dialect.Call | None,
        refusal: outcomes.Refusal,
    ) -> None:
        request_id = call.request_id if call else exchange.request_id
        status = refusals.find_status(refusal)
        configuration = self._configuration.current
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
                'digest': call.digest if call else None,
                'tenant': call.tenant if call else None,
                'configuration': (
                    configuration.version if configuration else None
                ),
                'unconfirmed_s': (
                    self._configuration.compute_unconfirmed_time()
                ),
            },
        )
        headers = self._make_refusal_headers(request_id, refusal)
        body = refusals.make_body(refusal)
        await exchange.write_whole(status, tuple(headers.items()), body)


def bind_sockets(address: str) -> list[socket.socket]:
    """Returns sockets that listen at ``ip:port``.

    Raises ``OSError``, which names the address, if it cannot be bound.
    """
    host, _, port = address.rpartition(':')
    try:
        return netutil.bind_sockets(int(port), host, backlog=_BACKLOG)
    except OSError as error:
        raise OSError(error.errno, error.strerror, address) from error


def format_address(listening: socket.socket) -> str:
    """Returns a listening socket's address as ``ip:port``."""
    host, port = listening.getsockname()[:2]
    return f'{host}:{port}'
