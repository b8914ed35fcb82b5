"""HTTP adapters of the platform's services.

The log's interface: ``POST /v1/streams/{stream}`` with the record as its body
answers ``{"offset": n}``; ``GET /v1/streams/{stream}?offset=&limit=&wait=``
answers a page, 410 with the oldest offset when the asked one has expired.
429 and 503 say that nothing was appended.
"""

from collections.abc import Sequence
from typing import TypeVar

from expression import Error
from expression import Ok
from expression import Result
import msgspec

from waxwingport.http import client
from waxwingport import ids
from waxwingport.outside import base

__all__ = ['HttpLog', 'HttpVmList', 'HttpWeightStore']

T = TypeVar('T')

_MALFORMED = (msgspec.DecodeError, RecursionError, UnicodeError)
_TIMEOUT = 5.0
_BINARY = ('Content-Type', 'application/octet-stream')


class _Appended(msgspec.Struct):
    offset: ids.Offset


class _Expired(msgspec.Struct):
    oldest: ids.Offset


class HttpLog(base.Log):
    """The log service behind HTTP."""

    def __init__(
        self,
        http: client.HttpClient,
        address: str,
        token: str | None = None,
    ) -> None:
        self._http = http
        self._address = address
        self._headers = _authorize(token)

    async def append(
        self, stream: ids.StreamName, body: bytes
    ) -> Result[ids.Offset, base.LogFault]:
        """Appends one record and returns its offset."""
        request = client.Request(
            'POST',
            f'/v1/streams/{stream}',
            (_BINARY, *self._headers),
            body,
            fresh=True,
        )
        match await self._http.fetch(self._address, request, _TIMEOUT):
            case Result(tag='ok', ok=response):
                return _read_append(response)
            case Result(error=fault):
                return Error(_from_transport(fault))

    async def read(
        self,
        stream: ids.StreamName,
        offset: ids.Offset,
        limit: int = 1000,
        wait: float = 0.0,
    ) -> Result[base.LogPage, base.LogFault]:
        """Returns up to ``limit`` records from ``offset`` on."""
        path = (
            f'/v1/streams/{stream}?offset={offset}&limit={limit}&wait={wait}'
        )
        request = client.Request('GET', path, self._headers)
        timeout = wait + _TIMEOUT
        match await self._http.fetch(self._address, request, timeout):
            case Result(tag='ok', ok=response):
                return _read_page(response, offset)
            case Result(error=fault):
                return Error(_from_transport(fault))


def _from_transport(fault: client.TransportFault) -> base.LogFault:
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
        return Error(_from_status(response))
    answer = _decode(response, _Appended)
    return answer.map(lambda found: found.offset)


def _read_page(
    response: client.WholeResponse, offset: ids.Offset
) -> Result[base.LogPage, base.LogFault]:
    if response.status != 200:
        return Error(_from_status(response))
    return _decode(response, base.LogPage).bind(
        lambda page: _check_page(page, offset)
    )


def _check_page(
    page: base.LogPage, offset: ids.Offset
) -> Result[base.LogPage, base.LogFault]:
    expected = range(offset, offset + len(page.records))
    offsets = [row.offset for row in page.records]
    if offsets != list(expected) or page.next != expected.stop:
        detail = f'page of other records than those from {offset} on'
        return Error(base.LogFault(base.LogFaultKind.UNKNOWN, detail))
    return Ok(page)


def _decode(
    response: client.WholeResponse, expected: type[T]
) -> Result[T, base.LogFault]:
    try:
        return Ok(msgspec.json.decode(response.body, type=expected))
    except _MALFORMED as error:
        return Error(base.LogFault(base.LogFaultKind.UNKNOWN, str(error)))


def _from_status(response: client.WholeResponse) -> base.LogFault:
    detail = f'log answered {response.status}'
    match response.status:
        case 410:
            kind = base.LogFaultKind.EXPIRED
            found = _decode(response, _Expired).map(
                lambda row: base.LogFault(kind, detail, row.oldest)
            )
            return found.merge()
        case 429:
            return base.LogFault(base.LogFaultKind.RATE_LIMITED, detail)
        case 503:
            return base.LogFault(base.LogFaultKind.UNAVAILABLE, detail)
        case _:
            return base.LogFault(base.LogFaultKind.UNKNOWN, detail)


class _Reader:
    """Reads JSON from one of the platform's services."""

    def __init__(
        self,
        http: client.HttpClient,
        address: str,
        token: str | None = None,
    ) -> None:
        self._http = http
        self._address = address
        self._headers = _authorize(token)

    async def _get(
        self, path: str, expected: type[T]
    ) -> Result[T, base.PlatformFault]:
        request = client.Request('GET', path, self._headers)
        match await self._http.fetch(self._address, request, _TIMEOUT):
            case Result(tag='ok', ok=response):
                pass
            case Result(error=fault):
                return Error(base.PlatformFault(fault.detail))
        if response.status != 200:
            detail = f'{path} answered {response.status}'
            return Error(base.PlatformFault(detail))
        return _decode(response, expected).map_error(
            lambda fault: base.PlatformFault(f'{path}: {fault.detail}')
        )


def _authorize(token: str | None) -> tuple[tuple[str, str], ...]:
    return (('Authorization', f'Bearer {token}'),) if token else ()


class HttpVmList(_Reader, base.VmList):
    """The VM list behind HTTP."""

    async def read(self) -> Result[Sequence[base.Vm], base.PlatformFault]:
        """Returns the VMs that the platform lists now."""
        kind = tuple[base.Vm, ...]
        return await self._get('/v1/vms', kind)


class HttpWeightStore(_Reader, base.WeightStore):
    """The weight store behind HTTP."""

    async def describe(
        self, reference: str
    ) -> Result[base.Weights, base.PlatformFault]:
        """Returns the size of the weights under ``reference``."""
        path = f'/v1/weights/{reference}'
        return await self._get(path, base.Weights)

    async def read_rate(self) -> Result[int, base.PlatformFault]:
        """Returns how many engines may load at the same time."""
        return await self._get('/v1/rate', int)
