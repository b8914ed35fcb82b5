"""HTTP adapters for engines, plain services and scoring services."""

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Sequence
from typing import TypeVar
from urllib import parse

from expression import Error
from expression import Ok
from expression import Result
import msgspec

from waxwingport import decoding
from waxwingport.http import client
from waxwingport.http import headers as http_headers
from waxwingport import ids
from waxwingport.outside import base as platform
from waxwingport.targets import base
from waxwingport.targets import faults
from waxwingport.targets import streams
from waxwingport.targets import table
from waxwingport.targets import wire

__all__ = [
    'HttpEngine',
    'HttpScoringService',
    'HttpService',
    'HttpTargetFactory',
]

_CONTROL_TIMEOUT_S = 5.0
"""Timeout of requests other than generations, calls and scores."""
_JSON = ('Content-Type', 'application/json')
_MAX_ERROR_BODY_SIZE = 65536
"""Bytes after which the body of an engine's error response is cut off."""

T = TypeVar('T')


class _JsonClient:
    """Sends JSON requests to one address and decodes the responses."""

    def __init__(self, http: client.HttpClient, address: str) -> None:
        self.http = http
        self.address = address

    async def send(
        self,
        method: str,
        path: str,
        body: object | None,
        answer: type[T],
        timeout: float = _CONTROL_TIMEOUT_S,
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
    return decoding.read_json(response.body, answer).map_error(
        faults.from_decode_error
    )


class HttpEngine(base.Engine):
    """An engine that is reached by HTTP."""

    def __init__(self, http: client.HttpClient, address: str) -> None:
        self._client = _JsonClient(http, address)
        self._cancels: set[asyncio.Task[object]] = set()

    async def stream(
        self, generation: base.Generation, timeout: float
    ) -> AsyncIterator[Result[base.Chunk, base.TargetFault]]:
        """Yields the chunks of a generation; see ``base.Engine.stream``."""
        request = client.Request(
            'POST',
            '/v1/completions',
            (_JSON, ('X-Request-Id', generation.request_id)),
            msgspec.json.encode(_make_completion_body(generation)),
        )
        opened = await self._client.http.open(
            self._client.address, request, timeout
        )
        match opened:
            case Result(tag='ok', ok=response):
                pass
            case Result(error=fault):
                yield Error(faults.from_transport(fault))
                return
        ended = failed = False
        try:
            if response.status != 200:
                yield Error(await _read_error(response))
                ended = True
                return
            async for outcome in streams.read_chunks(response):
                ended = streams.is_last(outcome)
                failed = outcome.is_error()
                yield outcome
        finally:
            if ended and not failed:
                response.release()
            else:
                response.close()
            if not ended:
                self._start_cancel(generation.request_id)

    def _start_cancel(self, request_id: ids.RequestId) -> None:
        """Sends a cancel request in the background, on another connection.

        The engine may never see that the stream's connection was closed.
        """
        task = asyncio.get_running_loop().create_task(self.cancel(request_id))
        self._cancels.add(task)
        task.add_done_callback(self._cancels.discard)

    async def cancel(
        self, request_id: ids.RequestId
    ) -> Result[None, base.TargetFault]:
        """Cancels a running generation."""
        path = f'/v1/streams/{parse.quote(request_id, safe="")}/cancel'
        return await self._client.send('POST', path, {}, type(None))

    async def read_load(self) -> Result[base.LoadReport, base.TargetFault]:
        """Returns the engine's latest load report."""
        return await self._client.send(
            'GET', '/v1/load', None, base.LoadReport
        )

    async def read_cache_events(
        self, offset: int
    ) -> Result[base.CacheEvents, base.TargetFault]:
        """Returns the cache events from ``offset`` on."""
        path = f'/v1/cache-events?offset={offset}'
        return await self._client.send('GET', path, None, base.CacheEvents)

    async def read_state(self) -> Result[base.EngineState, base.TargetFault]:
        """Returns the versions and role that the engine reports."""
        return await self._client.send(
            'GET', '/v1/state', None, base.EngineState
        )

    async def send_order(
        self, order: base.Order
    ) -> Result[base.EngineState, base.TargetFault]:
        """Sends an order and returns the state that the engine reports."""
        return await self._client.send(
            'POST', '/v1/orders', order, base.EngineState
        )

    async def export_kv(
        self, request_id: ids.RequestId
    ) -> Result[bytes, base.TargetFault]:
        """Returns the KV cache of a generation."""
        body = wire.KvBody(request_id)
        answer = await self._client.send(
            'POST', '/v1/kv/export', body, wire.KvBody
        )
        return answer.map(lambda result: result.state)

    async def import_kv(
        self, request_id: ids.RequestId, state: bytes
    ) -> Result[None, base.TargetFault]:
        """Sends the engine the KV cache of a generation to resume."""
        body = wire.KvBody(request_id, state)
        return await self._client.send(
            'POST', '/v1/kv/import', body, type(None)
        )


def _make_completion_body(generation: base.Generation) -> wire.CompletionBody:
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


async def _read_error(response: client.Response) -> base.TargetFault:
    body = b''
    async for piece in response.iterate_chunks():
        body += piece.default_value(b'')
        if len(body) > _MAX_ERROR_BODY_SIZE:
            break
    headers = tuple(response.headers.get_all())
    whole = client.WholeResponse(response.status, headers, body)
    return faults.from_status(whole)


class HttpService(base.Service):
    """A plain service that is reached by HTTP."""

    def __init__(self, http: client.HttpClient, address: str) -> None:
        self._http = http
        self._address = address

    async def call(
        self, call: base.ServiceCall, timeout: float
    ) -> Result[base.ServiceAnswer, base.TargetFault]:
        """Sends a call at most once and returns the complete response."""
        request = client.Request(
            call.method,
            call.path,
            http_headers.keep_end_to_end(call.headers),
            call.body,
            fresh=not call.idempotent,
        )
        match await self._http.fetch(self._address, request, timeout):
            case Result(tag='ok', ok=response):
                return _read_answer(call, response)
            case Result(error=fault):
                return Error(faults.from_transport(fault))


def _read_answer(
    call: base.ServiceCall, response: client.WholeResponse
) -> Result[base.ServiceAnswer, base.TargetFault]:
    if response.status in (429, 503):
        fault = faults.from_status(response)
        if fault.kind is base.TargetFaultKind.REFUSED:
            return Error(fault)
    headers = http_headers.keep_end_to_end(
        response.headers, keep_length=call.method == 'HEAD'
    )
    return Ok(base.ServiceAnswer(response.status, headers, response.body))


class HttpScoringService(base.ScoringService):
    """A scoring service that is reached by HTTP."""

    def __init__(self, http: client.HttpClient, address: str) -> None:
        self._client = _JsonClient(http, address)

    async def score(
        self, samples: Sequence[tuple[str, str]], timeout: float
    ) -> Result[Sequence[float], base.TargetFault]:
        """Returns one score for each pair of prompt and text, in order."""
        body = wire.ScoreBody(tuple(samples))
        answer = await self._client.send(
            'POST', '/v1/scores', body, wire.ScoreAnswer, timeout
        )
        return answer.bind(lambda result: _check_scores(result, len(samples)))


def _check_scores(
    answer: wire.ScoreAnswer, count: int
) -> Result[Sequence[float], base.TargetFault]:
    if len(answer.scores) == count:
        return Ok(answer.scores)
    detail = f'{len(answer.scores)} scores returned for {count} samples'
    return Error(
        base.TargetFault(base.TargetFaultKind.BROKEN, detail, sent=True)
    )


class HttpTargetFactory(table.TargetFactory):
    """Creates HTTP adapters that share one client."""

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
