"""The platform's store as the product's partitioned log."""

import base64
import binascii
from collections.abc import Sequence
import itertools
import math
import struct
from typing import TypeVar
from urllib import parse

from expression import Error
from expression import Ok
from expression import Result
import msgspec

from waxwingport.http import client
from waxwingport import ids
from waxwingport.log import base
from waxwingport import metrics

__all__ = ['StoreLog', 'StoreSettings']

T = TypeVar('T')

_LENGTH = struct.Struct('>I')
_PAGE_HEAD = struct.Struct('>QQ')
_BINARY = ('Content-Type', 'application/octet-stream')
_UNREADABLE = (msgspec.DecodeError, binascii.Error, UnicodeError, ValueError)
_KIB = 1024
_LARGEST_PAGE = 1024
"""KiB of one read at most; the store's own bound."""


class StoreSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Where the store is and what it takes."""

    address: str
    """``ip:port``."""
    record_size: int = 262_144
    """Bytes of one record at most; the store's own bound."""
    call_size: int = 2_097_152
    """Bytes of the records of one append at most; the store's own bound."""
    read_size: int = 131_072
    """Bytes asked for with one read.  All nodes' reads share 80 MB/s: a page
    for each partition and 100 nodes still comes within the time-out."""
    retention: float = 300.0
    """Seconds for which the store keeps a record."""
    timeout: float = 1.5
    """Seconds for an answer; several times that of a store 60 times slower
    than its usual 4 ms."""


class _AppendAnswer(msgspec.Struct, frozen=True):
    offset: ids.Offset
    end: ids.Offset


class _AppendRefusal(msgspec.Struct, frozen=True):
    why: str = ''


class _Expired(msgspec.Struct, frozen=True):
    first: ids.Offset


class _NewestItem(msgspec.Struct, frozen=True):
    key: str
    value: str


class _NewestAnswer(msgspec.Struct, frozen=True, rename='kebab'):
    items: list[_NewestItem]
    end: ids.Offset
    has_more: bool = False


class StoreLog(base.PartitionLog):
    """The platform's store behind HTTP."""

    def __init__(
        self,
        http: client.HttpClient,
        settings: StoreSettings,
        counters: metrics.Metrics,
    ) -> None:
        self._metrics = counters
        self._http = http
        self._settings = settings

    async def append(
        self,
        partition: base.Partition,
        records: Sequence[bytes],
        writer: base.Writer | None = None,
        at: ids.Offset | None = None,
    ) -> Result[base.AppendResult, base.Fault]:
        """Appends all ``records`` or none."""
        query = _address(partition)
        if writer is not None:
            query['producer'] = writer.name
            query['epoch'] = str(writer.epoch)
            query['seq'] = str(writer.sequence)
        if at is not None:
            query['at'] = str(at)
        body = b''.join(
            itertools.chain.from_iterable(
                (_LENGTH.pack(len(record)), record) for record in records
            )
        )
        request = client.Request(
            'POST',
            f'/log-append?{parse.urlencode(query)}',
            (_BINARY,),
            body,
        )
        answer = await self._call(request, self._settings.timeout)
        return answer.bind(_read_append)

    async def read(
        self,
        partition: base.Partition,
        offset: ids.Offset,
        wait: float = 0.0,
        size: int | None = None,
    ) -> Result[base.Page, base.Fault]:
        """Returns records from ``offset`` on."""
        query = _address(partition)
        query['from'] = str(offset)
        wanted = math.ceil((size or self._settings.read_size) / _KIB)
        query['max-kb'] = str(min(wanted, _LARGEST_PAGE))
        if wait:
            query['wait-ms'] = str(round(wait * 1000))
        request = client.Request('GET', f'/log-read?{parse.urlencode(query)}')
        answer = await self._call(request, self._settings.timeout + wait)
        return answer.bind(_read_page)

    async def read_newest(
        self, topic: base.Topic, after: str | None = None
    ) -> Result[base.KeyedPage, base.Fault]:
        """Returns the newest records of a keyed topic's keys."""
        query = {'topic': str(topic), 'part': '0'}
        if after is not None:
            query['after'] = after
        path = f'/log-newest?{parse.urlencode(query)}'
        request = client.Request('GET', path)
        answer = await self._call(request, self._settings.timeout)
        return answer.bind(_check_status).bind(_read_newest)

    def parse_keyed(
        self, record: bytes
    ) -> Result[base.KeyedRecord, base.Fault]:
        """Returns the key and value of one record of a keyed topic."""
        size = record[0] if record else 0
        if len(record) < 1 + size:
            return _fail_reading('keyed record shorter than its key')
        try:
            key = record[1 : 1 + size].decode()
        except UnicodeError as error:
            return _fail_reading(f'key of a keyed record: {error}')
        return Ok(base.KeyedRecord(key, record[1 + size :] or None))

    async def _call(
        self, request: client.Request, timeout: float
    ) -> Result[client.WholeResponse, base.Fault]:
        answer = await self._http.fetch(
            self._settings.address, request, timeout
        )
        self._metrics.count(
            'waxwingport_log_calls_total',
            'Calls to the log by path and status; 0 is no answer.',
            call=request.path.partition('?')[0],
            status=str(answer.map(lambda row: row.status).default_value(0)),
        )
        return answer.map_error(_from_transport)


def _address(partition: base.Partition) -> dict[str, str]:
    return {'topic': str(partition.topic), 'part': str(partition.number)}


def _from_transport(fault: client.TransportFault) -> base.Fault:
    kind = base.FaultKind.UNKNOWN if fault.sent else base.FaultKind.UNREACHABLE
    return base.Fault(kind, fault.detail)


def _read_append(
    response: client.WholeResponse,
) -> Result[base.AppendResult, base.Fault]:
    if response.status == 409:
        return _decode(response, _AppendRefusal).bind(_refuse_append)
    return (
        _check_status(response)
        .bind(lambda found: _decode(found, _AppendAnswer))
        .map(lambda found: base.AppendResult(found.offset, found.end))
    )


def _refuse_append(
    refusal: _AppendRefusal,
) -> Result[base.AppendResult, base.Fault]:
    fenced = refusal.why == 'fenced'
    kind = base.FaultKind.FENCED if fenced else base.FaultKind.SEQUENCE
    return Error(base.Fault(kind, f'append refused: {refusal.why}'))


def _read_page(
    response: client.WholeResponse,
) -> Result[base.Page, base.Fault]:
    if response.status == 410:
        return _decode(response, _Expired).bind(
            lambda found: Error(
                base.Fault(
                    base.FaultKind.EXPIRED, 'records expired', found.first
                )
            )
        )
    return _check_status(response).bind(lambda found: _split(found.body))


def _split(body: bytes) -> Result[base.Page, base.Fault]:
    if len(body) < _PAGE_HEAD.size:
        return _fail_reading('page without its head')
    end, oldest = _PAGE_HEAD.unpack_from(body)
    records = []
    position = _PAGE_HEAD.size
    while position < len(body):
        if position + _LENGTH.size > len(body):
            return _fail_reading('page ends inside a length')
        (size,) = _LENGTH.unpack_from(body, position)
        position += _LENGTH.size
        if position + size > len(body):
            return _fail_reading('page ends inside a record')
        records.append(body[position : position + size])
        position += size
    return Ok(base.Page(tuple(records), end, oldest))


def _read_newest(
    response: client.WholeResponse,
) -> Result[base.KeyedPage, base.Fault]:
    return _decode(response, _NewestAnswer).bind(_decode_rows)


def _decode_rows(
    answer: _NewestAnswer,
) -> Result[base.KeyedPage, base.Fault]:
    try:
        rows = tuple(
            base.KeyedRecord(
                row.key, base64.b64decode(row.value, validate=True)
            )
            for row in answer.items
        )
    except binascii.Error as error:
        return _fail_reading(f'value of a keyed record: {error}')
    return Ok(base.KeyedPage(rows, answer.has_more, answer.end))


def _check_status(
    response: client.WholeResponse,
) -> Result[client.WholeResponse, base.Fault]:
    detail = f'store answered {response.status}'
    match response.status:
        case 200:
            return Ok(response)
        case 412:
            return Error(base.Fault(base.FaultKind.CONFLICT, detail))
        case 429 | 503 | 507:
            return Error(base.Fault(base.FaultKind.BUSY, detail))
        case 400 | 403 | 404 | 409 | 413:
            reason = response.body[:200].decode(errors='replace')
            return Error(
                base.Fault(base.FaultKind.INVALID, f'{detail}: {reason}')
            )
        case _:
            return Error(base.Fault(base.FaultKind.UNKNOWN, detail))


def _decode(
    response: client.WholeResponse, expected: type[T]
) -> Result[T, base.Fault]:
    try:
        return Ok(msgspec.json.decode(response.body, type=expected))
    except _UNREADABLE as error:
        return _fail_reading(str(error))


def _fail_reading(detail: str) -> Result[T, base.Fault]:
    return Error(base.Fault(base.FaultKind.INVALID, detail))
