"""HTTP adapters of engines, plain services and scoring services."""

from collections.abc import AsyncIterator
from collections.abc import Sequence
from typing import TypeVar

from expression import Error
from expression import Ok
from expression import Result
import msgspec

from waxwingport.http import client
from waxwingport.http import sse
from waxwingport import ids
from waxwingport.platform import base as platform
from waxwingport.targets import base
from waxwingport.targets import faults
from waxwingport.targets import table
from waxwingport.targets import wire

__all__ = [
    'HttpEngine',
    'HttpScoringService',
    'HttpService',
    'HttpTargetFactory',
]

_CONTROL_TIMEOUT = 5.0
_JSON = ('Content-Type', 'application/json')
_HOP_BY_HOP = frozenset(
    {
        'connection',
        'content-length',
        'host',
        'keep-alive',
        'proxy-authenticate',
        'proxy-authorization',
        'proxy-connection',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
    }
)

T = TypeVar('T')


class _Caller:
    """Sends JSON to one address and decodes the answers."""

    def __init__(self, http: client.HttpClient, address: str) -> None:
        self.http = http
        self.address = address

    async def send(
        self,
        method: str,
        path: str,
        body: object | None,
        answer: type[T],
        timeout: float = _CONTROL_TIMEOUT,
    ) -> Result[T, base.TargetFault]:
        data = b'' if body is None else msgspec.json.encode(body)
        request = client.Request(method, path, (_JSON,), data)
        match await self.http.fetch(self.address, request, timeout):
            case Result(tag='ok', ok=response):
                return _decode(response, answer)
            case Result(error=fault):
                return Error(faults.from_transport(fault))


def _decode(
    response: client.WholeResponse, answer: type[T]
) -> Result[T, base.TargetFault]:
    if response.status != 200:
        return Error(faults.from_status(response))
    try:
        return Ok(msgspec.json.decode(response.body, type=answer))
    except msgspec.DecodeError as error:
        return Error(faults.unreadable(error))


class HttpEngine(base.Engine):
    """An engine behind its HTTP interface."""

    def __init__(self, http: client.HttpClient, address: str) -> None:
        self._caller = _Caller(http, address)

    async def stream(
        self, generation: base.Generation, timeout: float
    ) -> AsyncIterator[Result[base.Chunk, base.TargetFault]]:
        """Yields the chunks of a generation, see the base class."""
        request = client.Request(
            'POST',
            '/v1/completions',
            (_JSON, ('X-Request-Id', generation.request_id)),
            msgspec.json.encode(_write_generation(generation)),
        )
        opened = await self._caller.http.open(
            self._caller.address, request, timeout
        )
        match opened:
            case Result(tag='ok', ok=response):
                pass
            case Result(error=fault):
                yield Error(faults.from_transport(fault))
                return
        try:
            if response.status != 200:
                yield Error(await _read_failure(response))
                return
            async for outcome in _read_stream(response):
                yield outcome
        finally:
            response.close()

    async def cancel(
        self, request_id: ids.RequestId
    ) -> Result[None, base.TargetFault]:
        """Cancels a running generation."""
        path = f'/v1/streams/{request_id}/cancel'
        return await self._caller.send('POST', path, {}, type(None))

    async def read_load(self) -> Result[base.LoadReport, base.TargetFault]:
        """Returns the engine's latest load report."""
        return await self._caller.send(
            'GET', '/v1/load', None, base.LoadReport
        )

    async def read_cache_events(
        self, offset: int
    ) -> Result[base.CacheEvents, base.TargetFault]:
        """Returns the cache events from ``offset`` on."""
        path = f'/v1/cache-events?offset={offset}'
        return await self._caller.send('GET', path, None, base.CacheEvents)

    async def read_state(self) -> Result[base.EngineState, base.TargetFault]:
        """Returns the versions and role that the engine reports."""
        return await self._caller.send(
            'GET', '/v1/state', None, base.EngineState
        )

    async def send_order(
        self, order: base.Order
    ) -> Result[base.EngineState, base.TargetFault]:
        """Sends an order and returns the state that the engine reports."""
        return await self._caller.send(
            'POST', '/v1/orders', order, base.EngineState
        )

    async def export_kv(
        self, request_id: ids.RequestId
    ) -> Result[bytes, base.TargetFault]:
        """Returns the KV cache of a generation."""
        body = wire.KvBody(request_id)
        answer = await self._caller.send(
            'POST', '/v1/kv/export', body, wire.KvBody
        )
        return answer.map(lambda found: found.state)

    async def import_kv(
        self, request_id: ids.RequestId, state: bytes
    ) -> Result[None, base.TargetFault]:
        """Gives the engine a KV cache to resume a generation from."""
        body = wire.KvBody(request_id, state)
        return await self._caller.send(
            'POST', '/v1/kv/import', body, type(None)
        )


def _write_generation(generation: base.Generation) -> wire.CompletionBody:
    return wire.CompletionBody(
        request_id=generation.request_id,
        prompt=generation.prompt,
        max_tokens=generation.max_tokens,
        priority=generation.priority,
        parameters=generation.parameters,
        resume_text=generation.text,
        resume_position=generation.position,
        adapter=generation.adapter,
    )


async def _read_failure(response: client.Response) -> base.TargetFault:
    parts = [piece.default_value(b'') async for piece in response.chunks()]
    headers = tuple(response.headers.get_all())
    whole = client.WholeResponse(response.status, headers, b''.join(parts))
    return faults.from_status(whole)


async def _read_stream(
    response: client.Response,
) -> AsyncIterator[Result[base.Chunk, base.TargetFault]]:
    splitter = sse.EventSplitter()
    async for piece in response.chunks():
        match piece:
            case Result(tag='ok', ok=data):
                events = splitter.feed(data)
            case Result(error=fault):
                yield Error(faults.from_transport(fault))
                return
        for event in events:
            if event == b'[DONE]':
                return
            outcome = _read_event(event)
            yield outcome
            if outcome.is_error():
                return
    yield Error(
        base.TargetFault(
            base.TargetFaultKind.BROKEN, 'stream ended early', sent=True
        )
    )


def _read_event(event: bytes) -> Result[base.Chunk, base.TargetFault]:
    try:
        body = msgspec.json.decode(event, type=wire.CompletionEvent)
        if body.error is not None:
            fault = body.error
            return Error(
                base.TargetFault(fault.kind, fault.detail, fault.sent)
            )
        choice = body.choices[0]
        finish = choice.finish_reason
        return Ok(
            base.Chunk(
                position=body.position,
                tokens=body.tokens,
                text=choice.text,
                weight_version=body.weight_version,
                finish_reason=base.FinishReason(finish) if finish else None,
            )
        )
    except (msgspec.DecodeError, IndexError, ValueError) as error:
        return Error(faults.unreadable(error))


class HttpService(base.Service):
    """A plain service behind HTTP."""

    def __init__(self, http: client.HttpClient, address: str) -> None:
        self._http = http
        self._address = address

    async def call(
        self, call: base.ServiceCall, timeout: float
    ) -> Result[base.ServiceAnswer, base.TargetFault]:
        """Sends a call at most once and returns the whole answer."""
        request = client.Request(
            call.method,
            call.path,
            _drop_hop_by_hop(call.headers),
            call.body,
            fresh=not call.idempotent,
        )
        match await self._http.fetch(self._address, request, timeout):
            case Result(tag='ok', ok=response):
                return _read_answer(response)
            case Result(error=fault):
                return Error(faults.from_transport(fault))


def _read_answer(
    response: client.WholeResponse,
) -> Result[base.ServiceAnswer, base.TargetFault]:
    if response.status in (429, 503):
        fault = faults.from_status(response)
        if fault.kind is base.TargetFaultKind.REFUSED:
            return Error(fault)
    headers = _drop_hop_by_hop(response.headers)
    return Ok(base.ServiceAnswer(response.status, headers, response.body))


def _drop_hop_by_hop(
    headers: Sequence[tuple[str, str]],
) -> tuple[tuple[str, str], ...]:
    named = {
        token.strip().lower()
        for name, value in headers
        if name.lower() == 'connection'
        for token in value.split(',')
    }
    dropped = _HOP_BY_HOP | named
    return tuple(row for row in headers if row[0].lower() not in dropped)


class HttpScoringService(base.ScoringService):
    """A scoring service behind HTTP."""

    def __init__(self, http: client.HttpClient, address: str) -> None:
        self._caller = _Caller(http, address)

    async def score(
        self, samples: Sequence[tuple[str, str]], timeout: float
    ) -> Result[Sequence[float], base.TargetFault]:
        """Returns one score for each (prompt, text), in order."""
        body = wire.ScoreBody(tuple(samples))
        answer = await self._caller.send(
            'POST', '/v1/scores', body, wire.ScoreAnswer, timeout
        )
        return answer.bind(lambda found: _check_scores(found, len(samples)))


def _check_scores(
    answer: wire.ScoreAnswer, count: int
) -> Result[Sequence[float], base.TargetFault]:
    if len(answer.scores) == count:
        return Ok(answer.scores)
    detail = f'{len(answer.scores)} scores for {count} samples'
    return Error(
        base.TargetFault(base.TargetFaultKind.BROKEN, detail, sent=True)
    )


class HttpTargetFactory(table.TargetFactory):
    """Makes HTTP adapters on one client."""

    def __init__(self, http: client.HttpClient) -> None:
        self._http = http

    def make_engine(self, vm: platform.Vm) -> base.Engine:
        """Returns an adapter for the engine on ``vm``."""
        return HttpEngine(self._http, vm.address)

    def make_service(self, vm: platform.Vm) -> base.Service:
        """Returns an adapter for the plain service on ``vm``."""
        return HttpService(self._http, vm.address)

    def make_scoring(self, vm: platform.Vm) -> base.ScoringService:
        """Returns an adapter for the scoring service on ``vm``."""
        return HttpScoringService(self._http, vm.address)
