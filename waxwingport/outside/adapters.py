"""HTTP clients of the platform's services.

The log's interface: ``POST /v1/streams/{stream}`` with a record as its body
returns ``{"offset": n}``; ``GET /v1/streams/{stream}?offset=&limit=&wait=``
returns a page, or status 410 with the oldest offset if the requested one has
expired.  Status 429 and 503 mean that nothing was appended.
"""

from collections.abc import Sequence
from typing import TypeVar

from expression import Error
from expression import Ok
from expression import Result
import msgspec

from waxwingport import decoding
from waxwingport.http import client
from waxwingport import ids
from waxwingport.outside import base

__all__ = ['HttpLog', 'HttpVmList', 'HttpWeightStore']

T = TypeVar('T')

_TIMEOUT_S = 5.0
"""Timeout of one request that does not wait at the log."""
_WAITING_TIMEOUT_S = 1.0
"""Time allowed for an answer beyond the requested wait.  Only the missing
answer tells that a connection is dead; a wait of 1 s, this time and a read
without a wait are within the 3 s in which a change has to be in force."""
_CONTENT_TYPE = ('Content-Type', 'application/octet-stream')


class _Appended(msgspec.Struct):
    offset: ids.Offset


class _Expired(msgspec.Struct):
    oldest: ids.Offset


class HttpLog(base.Log):
    """HTTP client of the log service.

    ``address`` is ``ip:port``; ``token`` is sent as a bearer token.
    """

    def __init__(
        self,
        http: client.HttpClient,
        address: str,
        token: str | None = None,
    ) -> None:
        self._http = http
        self._address = address
        self._headers = _make_auth_headers(token)
        self._unanswered: set[ids.StreamName] = set()
        """Streams whose last read got no answer."""

    async def append(
        self, stream: ids.StreamName, body: bytes
    ) -> Result[ids.Offset, base.LogFault]:
        """Appends one record and returns its offset.

        Uses a new connection, so that a stale one cannot leave the outcome
        unknown.
        """
        request = client.Request(
            'POST',
            f'/v1/streams/{stream}',
            (_CONTENT_TYPE, *self._headers),
            body,
            fresh=True,
        )
        match await self._http.fetch(self._address, request, _TIMEOUT_S):
            case Result(tag='ok', ok=response):
                return _read_append(response)
            case Result(error=fault):
                return Error(_read_transport_fault(fault))

    async def read(
        self,
        stream: ids.StreamName,
        offset: ids.Offset,
        limit: int = 1000,
        wait: float = 0.0,
    ) -> Result[base.LogPage, base.LogFault]:
        """Returns up to ``limit`` records from ``offset`` on.

        Fails with ``UNKNOWN`` if the page holds other records than those, or
        without an answer soon after ``wait`` seconds.  The next read of the
        stream then does not wait, and a slow log has more time to answer it.
        """
        if stream in self._unanswered:
            wait = 0.0
        path = (
            f'/v1/streams/{stream}?offset={offset}&limit={limit}&wait={wait}'
        )
        request = client.Request('GET', path, self._headers)
        timeout = wait + _WAITING_TIMEOUT_S if wait else _TIMEOUT_S
        match await self._http.fetch(self._address, request, timeout):
            case Result(tag='ok', ok=response):
                self._unanswered.discard(stream)
                return _read_page(response, offset)
            case Result(error=fault):
                self._unanswered.add(stream)
                return Error(_read_transport_fault(fault))


def _read_transport_fault(fault: client.TransportFault) -> base.LogFault:
    kind = (
        base.LogFaultKind.UNKNOWN
        if fault.sent
        else base.LogFaultKind.UNAVAILABLE
    )
    return base.LogFault(kind, fault.detail)


def _read_append(
    response: client.WholeResponse,
) -> Result[ids.Offset, base.LogFault]:
    if response.status != 200:
        return Error(_read_status_fault(response))
    answer = _decode(response, _Appended)
    return answer.map(lambda appended: appended.offset)


def _read_page(
    response: client.WholeResponse, offset: ids.Offset
) -> Result[base.LogPage, base.LogFault]:
    if response.status != 200:
        return Error(_read_status_fault(response))
    return _decode(response, base.LogPage).bind(
        lambda page: _check_page(page, offset)
    )


def _check_page(
    page: base.LogPage, offset: ids.Offset
) -> Result[base.LogPage, base.LogFault]:
    expected = range(offset, offset + len(page.records))
    offsets = [record.offset for record in page.records]
    if offsets != list(expected) or page.next != expected.stop:
        detail = f'page does not hold the records from {offset} on'
        return Error(base.LogFault(base.LogFaultKind.UNKNOWN, detail))
    return Ok(page)


def _decode(
    response: client.WholeResponse, expected: type[T]
) -> Result[T, base.LogFault]:
    return decoding.read_json(response.body, expected).map_error(
        lambda reason: base.LogFault(base.LogFaultKind.UNKNOWN, reason)
    )


def _read_status_fault(response: client.WholeResponse) -> base.LogFault:
    detail = f'log returned status {response.status}'
    match response.status:
        case 410:
            kind = base.LogFaultKind.EXPIRED
            found = _decode(response, _Expired).map(
                lambda expired: base.LogFault(kind, detail, expired.oldest)
            )
            return found.merge()
        case 429:
            return base.LogFault(base.LogFaultKind.RATE_LIMITED, detail)
        case 503:
            return base.LogFault(base.LogFaultKind.UNAVAILABLE, detail)
        case _:
            return base.LogFault(base.LogFaultKind.UNKNOWN, detail)


class _JsonService:
    """HTTP client of a service that returns JSON.

    ``address`` is ``ip:port``; ``token`` is sent as a bearer token.
    """

    def __init__(
        self,
        http: client.HttpClient,
        address: str,
        token: str | None = None,
    ) -> None:
        self._http = http
        self._address = address
        self._headers = _make_auth_headers(token)

    async def _get(
        self, path: str, expected: type[T]
    ) -> Result[T, base.PlatformFault]:
        request = client.Request('GET', path, self._headers)
        match await self._http.fetch(self._address, request, _TIMEOUT_S):
            case Result(tag='ok', ok=response):
                pass
            case Result(error=fault):
                return Error(base.PlatformFault(fault.detail))
        if response.status != 200:
            detail = f'{path} returned status {response.status}'
            return Error(base.PlatformFault(detail))
        return _decode(response, expected).map_error(
            lambda fault: base.PlatformFault(f'{path}: {fault.detail}')
        )


def _make_auth_headers(token: str | None) -> tuple[tuple[str, str], ...]:
    return (('Authorization', f'Bearer {token}'),) if token else ()


class HttpVmList(_JsonService, base.VmList):
    """HTTP client of the VM list."""

    async def read(self) -> Result[Sequence[base.Vm], base.PlatformFault]:
        """Returns the VMs that the platform currently lists."""
        kind = tuple[base.Vm, ...]
        return await self._get('/v1/vms', kind)


class HttpWeightStore(_JsonService, base.WeightStore):
    """HTTP client of the weight store."""

    async def describe(
        self, reference: str
    ) -> Result[base.Weights, base.PlatformFault]:
        """Returns the size of the weights under ``reference``."""
        path = f'/v1/weights/{reference}'
        return await self._get(path, base.Weights)

    async def read_loading_limit(self) -> Result[int, base.PlatformFault]:
        """Returns how many engines may load weights at the same time."""
        return await self._get('/v1/rate', int)
