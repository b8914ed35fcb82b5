"""HTTP servers on loopback for stand-ins.

They serve any implementation of the abstract base classes with the HTTP
interfaces that ``waxwingport.targets.adapters`` and
``waxwingport.outside.adapters`` expect.
"""

import asyncio
import contextlib

from expression import Result
import msgspec
from tornado import httpserver
from tornado import iostream
from tornado import netutil
from tornado import web

from waxwingport.http import sse
from waxwingport import ids
from waxwingport.outside import base as platform
from waxwingport.targets import base
from waxwingport.targets import wire

__all__ = [
    'Server',
    'serve_engine',
    'serve_log',
    'serve_scoring',
    'serve_service',
    'serve_vm_list',
    'serve_weight_store',
]

_CALL_TIMEOUT_S = 600.0
_STATUS_BY_FAULT = {
    base.TargetFaultKind.REFUSED: 503,
    base.TargetFaultKind.REJECTED: 400,
    base.TargetFaultKind.UNREACHABLE: 503,
}
_LOG_STATUS_BY_FAULT = {
    platform.LogFaultKind.EXPIRED: 410,
    platform.LogFaultKind.RATE_LIMITED: 429,
    platform.LogFaultKind.UNAVAILABLE: 503,
    platform.LogFaultKind.UNKNOWN: 500,
}


class Server:
    """A stand-in's HTTP server on loopback; it listens once created.

    A ``port`` of 0 lets the system choose a free one.
    """

    def __init__(self, application: web.Application, port: int = 0) -> None:
        self._server = httpserver.HTTPServer(application)
        sockets = netutil.bind_sockets(port, '127.0.0.1')
        self._server.add_sockets(sockets)
        self.address = f'127.0.0.1:{sockets[0].getsockname()[1]}'

    async def stop(self) -> None:
        """Stops listening and closes every connection."""
        self._server.stop()
        await self._server.close_all_connections()


class _Handler(web.RequestHandler):
    def initialize(self, standin: object) -> None:
        self.standin = standin
        self.task: asyncio.Task[object] | None = None

    def on_connection_close(self) -> None:
        """Cancels the work for a client that has disconnected."""
        if self.task is not None:
            self.task.cancel()

    def send_json(self, value: object, status: int = 200) -> None:
        self.set_status(status)
        self.set_header('Content-Type', 'application/json')
        self.finish(msgspec.json.encode(value))

    def send_fault(self, fault: base.TargetFault) -> None:
        """Sends a fault, or closes the connection if it has no status."""
        status = fault.status or _STATUS_BY_FAULT.get(fault.kind)
        if status is None:
            self.request.connection.stream.close()
            return
        if fault.retry_after is not None:
            self.set_header('Retry-After', str(fault.retry_after))
        ran = 'unknown' if fault.sent else 'no'
        self.send_json({'ran': ran, 'detail': fault.detail}, status)

    def send_outcome(self, outcome: Result) -> None:
        match outcome:
            case Result(tag='ok', ok=value):
                self.send_json(value)
            case Result(error=fault):
                self.send_fault(fault)


class _Completions(_Handler):
    async def post(self) -> None:
        body = msgspec.json.decode(self.request.body, type=wire.CompletionBody)
        generation = base.Generation(
            request_id=body.request_id,
            prompt=body.prompt,
            max_tokens=body.max_tokens,
            priority=body.priority,
            parameters=body.parameters,
            text=body.resume_text,
            position=body.resume_position,
            adapter=body.adapter,
        )
        self.task = asyncio.get_running_loop().create_task(
            self._run(generation)
        )
        with contextlib.suppress(
            iostream.StreamClosedError, asyncio.CancelledError
        ):
            await self.task
        self._auto_finish = False

    async def _run(self, generation: base.Generation) -> None:
        stream = self.standin.stream(generation, _CALL_TIMEOUT_S)
        async with contextlib.aclosing(stream):
            await self._send(stream)

    async def _send(self, stream) -> None:
        started = False
        async for outcome in stream:
            match outcome:
                case Result(tag='ok', ok=chunk):
                    event = _make_event(chunk)
                case Result(error=fault):
                    if not started or fault.kind not in (
                        base.TargetFaultKind.CANCELLED,
                        base.TargetFaultKind.TIMEOUT,
                    ):
                        self.send_fault(fault)
                        return
                    event = wire.CompletionEvent(
                        error=wire.StreamFault(fault.kind, fault.detail)
                    )
            if not started:
                started = True
                self.set_header('Content-Type', 'text/event-stream')
            self.write(sse.format_event(msgspec.json.encode(event)))
            await self.flush()
        self.finish(sse.DONE)


def _make_event(chunk: base.Chunk) -> wire.CompletionEvent:
    finish = chunk.finish_reason
    choice = wire.EventChoice(
        chunk.text, finish_reason=finish.value if finish else None
    )
    return wire.CompletionEvent(
        choices=(choice,),
        position=chunk.position,
        tokens=chunk.tokens,
        weight_version=chunk.weight_version,
        software=chunk.software,
    )


class _Cancel(_Handler):
    async def post(self, request_id: str) -> None:
        outcome = await self.standin.cancel(ids.RequestId(request_id))
        self.send_outcome(outcome)


class _Load(_Handler):
    async def get(self) -> None:
        self.send_outcome(await self.standin.read_load())


class _CacheEvents(_Handler):
    async def get(self) -> None:
        offset = int(self.get_query_argument('offset', '0'))
        self.send_outcome(await self.standin.read_cache_events(offset))


class _State(_Handler):
    async def get(self) -> None:
        self.send_outcome(await self.standin.read_state())


class _Orders(_Handler):
    async def post(self) -> None:
        order = msgspec.json.decode(self.request.body, type=base.Order)
        self.send_outcome(await self.standin.send_order(order))


class _KvExport(_Handler):
    async def post(self) -> None:
        body = msgspec.json.decode(self.request.body, type=wire.KvBody)
        exported = await self.standin.export_kv(body.request_id)
        self.send_outcome(
            exported.map(lambda state: wire.KvBody(body.request_id, state))
        )


class _KvImport(_Handler):
    async def post(self) -> None:
        body = msgspec.json.decode(self.request.body, type=wire.KvBody)
        self.send_outcome(
            await self.standin.import_kv(body.request_id, body.state)
        )


class _Service(_Handler):
    async def prepare(self) -> None:
        request = self.request
        call = base.ServiceCall(
            method=request.method or 'GET',
            path=request.uri or '/',
            headers=tuple(request.headers.get_all()),
            body=request.body,
            idempotent=False,
            request_id=ids.RequestId(
                request.headers.get('Waxwingport-Request-Id', '')
            ),
        )
        match await self.standin.call(call, _CALL_TIMEOUT_S):
            case Result(tag='ok', ok=answer):
                self.set_status(answer.status)
                for name, value in answer.headers:
                    self.add_header(name, value)
                self.finish(answer.body)
            case Result(error=fault):
                self.send_fault(fault)


class _Scores(_Handler):
    async def post(self) -> None:
        body = msgspec.json.decode(self.request.body, type=wire.ScoreBody)
        scored = await self.standin.score(body.samples, _CALL_TIMEOUT_S)
        self.send_outcome(
            scored.map(lambda scores: wire.ScoreAnswer(tuple(scores)))
        )


class _LogHandler(_Handler):
    async def post(self, stream: str) -> None:
        outcome = await self.standin.append(
            ids.StreamName(stream), self.request.body
        )
        self._send(outcome.map(lambda offset: {'offset': offset}))

    async def get(self, stream: str) -> None:
        outcome = await self.standin.read(
            ids.StreamName(stream),
            ids.Offset(int(self.get_query_argument('offset'))),
            int(self.get_query_argument('limit', '1000')),
            float(self.get_query_argument('wait', '0')),
        )
        self._send(outcome)

    def _send(self, outcome: Result) -> None:
        match outcome:
            case Result(tag='ok', ok=value):
                self.send_json(value)
            case Result(error=fault):
                status = _LOG_STATUS_BY_FAULT[fault.kind]
                self.send_json({'oldest': fault.oldest or 0}, status)


class _Vms(_Handler):
    async def get(self) -> None:
        self._send(await self.standin.read())

    def _send(self, outcome: Result) -> None:
        match outcome:
            case Result(tag='ok', ok=value):
                self.send_json(value)
            case Result(error=fault):
                self.send_json({'detail': fault.detail}, 503)


class _WeightsHandler(_Vms):
    async def get(self, reference: str) -> None:
        self._send(await self.standin.describe(reference))


class _Rate(_Vms):
    async def get(self) -> None:
        self._send(await self.standin.read_loading_limit())


def _make_application(routes, standin: object) -> web.Application:
    arguments = {'standin': standin}
    return web.Application(
        [(path, handler, arguments) for path, handler in routes],
        log_function=lambda handler: None,
    )


def serve_engine(engine: base.Engine, port: int = 0) -> Server:
    """Serves an engine; returns the running server."""
    routes = [
        ('/v1/completions', _Completions),
        ('/v1/streams/([^/]+)/cancel', _Cancel),
        ('/v1/load', _Load),
        ('/v1/cache-events', _CacheEvents),
        ('/v1/state', _State),
        ('/v1/orders', _Orders),
        ('/v1/kv/export', _KvExport),
        ('/v1/kv/import', _KvImport),
    ]
    return Server(_make_application(routes, engine), port)


def serve_service(service: base.Service, port: int = 0) -> Server:
    """Serves a plain service on every path; returns the running server."""
    return Server(_make_application([('/.*', _Service)], service), port)


def serve_scoring(scoring: base.ScoringService, port: int = 0) -> Server:
    """Serves a scoring service; returns the running server."""
    return Server(_make_application([('/v1/scores', _Scores)], scoring), port)


def serve_log(log: platform.Log, port: int = 0) -> Server:
    """Serves a log; returns the running server."""
    routes = [('/v1/streams/([^/]+)', _LogHandler)]
    return Server(_make_application(routes, log), port)


def serve_vm_list(vm_list: platform.VmList, port: int = 0) -> Server:
    """Serves a VM list; returns the running server."""
    return Server(_make_application([('/v1/vms', _Vms)], vm_list), port)


def serve_weight_store(store: platform.WeightStore, port: int = 0) -> Server:
    """Serves a weight store; returns the running server."""
    routes = [('/v1/weights/(.+)', _WeightsHandler), ('/v1/rate', _Rate)]
    return Server(_make_application(routes, store), port)
