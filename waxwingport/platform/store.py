"""Partitioned log on top of the platform's store."""

import base64
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

from waxwingport import decoding
from waxwingport.http import client
from waxwingport import ids
from waxwingport.log import base
from waxwingport import metrics

__all__ = ['StoreLog', 'StoreSettings']

T = TypeVar('T')

_RECORD_LENGTH = struct.Struct('>I')
_PAGE_HEADER = struct.Struct('>QQ')
_CONTENT_TYPE = ('Content-Type', 'application/octet-stream')
_KIB = 1024
_MAX_PAGE_KIB = 1024
"""Largest page that the store returns for one read."""


class StoreSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Address and limits of the platform's store."""

    address: str
    """``ip:port``."""
    record_size: int = 262_144
    """Maximum size of a record in bytes; the store's own limit."""
    call_size: int = 2_097_152
    """Maximum size of the records of one append in bytes; the store's own
    limit."""
    read_size: int = 131_072
    """Bytes requested with one read.  The reads of all nodes share
    80 MB/s: a page for each partition and 100 nodes still arrives within the
    timeout."""
    retention: float = 300.0
    """Seconds for which the store keeps a record."""
    timeout: float = 1.5
    """Seconds for an answer: several times that of a store which is 60 times
    slower than its usual 4 ms."""


class _AppendAnswer(msgspec.Struct, frozen=True):
    offset: ids.Offset
    end: ids.Offset


class _Acknowledged(msgspec.Struct, frozen=True):
    writer: base.Writer | None
    end: ids.Offset


class _AppendRefusal(msgspec.Struct, frozen=True):
    why: str = ''


class _Expired(msgspec.Struct, frozen=True):
    first: ids.Offset


class _NewestItem(msgspec.Struct, frozen=True):
    key: str
    value: str
    offset: ids.Offset = ids.Offset(-1)


class _NewestAnswer(msgspec.Struct, frozen=True, rename='kebab'):
    items: list[_NewestItem]
    end: ids.Offset
    has_more: bool = False


class StoreLog(base.PartitionLog):
    """Client of the platform's store.

    Each call is counted in the metrics by path and status.
    """

    def __init__(
        self,
        http: client.HttpClient,
        settings: StoreSettings,
        counters: metrics.Metrics,
    ) -> None:
        self._metrics = counters
        self._http = http
        self._settings = settings
        self._acknowledged: dict[
            tuple[base.Partition, str | None], _Acknowledged
        ] = {}
        """The last acknowledged append, by partition and writer's name."""

    async def append(
        self,
        partition: base.Partition,
        records: Sequence[bytes],
        writer: base.Writer | None = None,
        at: ids.Offset | None = None,
    ) -> Result[base.AppendResult, base.Fault]:
        """Appends all ``records`` or none; see the base class for faults."""
        query = _make_query(partition)
        if writer is not None:
            query['producer'] = writer.name
            query['epoch'] = str(writer.epoch)
            query['seq'] = str(writer.sequence)
        if at is not None:
            query['at'] = str(at)
        body = b''.join(
            itertools.chain.from_iterable(
                (_RECORD_LENGTH.pack(len(record)), record)
                for record in records
            )
        )
        request = client.Request(
            'POST',
            f'/log-append?{parse.urlencode(query)}',
            (_CONTENT_TYPE,),
            body,
        )
        key = partition, writer.name if writer is not None else None
        earliest = self._find_earliest(key, writer)
        answer = await self._call(request, self._settings.timeout)
        found = answer.bind(_read_append).bind(
            lambda result: _check_append(result, earliest)
        )
        if found.is_ok():
            self._acknowledged[key] = _Acknowledged(writer, found.ok.end)
        return found

    def _find_earliest(
        self,
        key: tuple[base.Partition, str | None],
        writer: base.Writer | None,
    ) -> ids.Offset:
        """Returns the least offset that a new append can get.

        A writer's repeat of an acknowledged append gets the first answer.
        """
        last = self._acknowledged.get(key)
        if last is None:
            return ids.Offset(0)
        if writer is not None and last.writer is not None:
            number = last.writer.epoch, last.writer.sequence
            if (writer.epoch, writer.sequence) <= number:
                return ids.Offset(0)
        return last.end

    async def read(
        self,
        partition: base.Partition,
        offset: ids.Offset,
        wait: float = 0.0,
        size: int | None = None,
    ) -> Result[base.Page, base.Fault]:
        """Returns records from ``offset`` on.

        ``wait`` is in seconds, ``size`` in bytes; larger pages are cut to
        the store's limit.
        """
        query = _make_query(partition)
        query['from'] = str(offset)
        max_kib = math.ceil((size or self._settings.read_size) / _KIB)
        query['max-kb'] = str(min(max_kib, _MAX_PAGE_KIB))
        if wait:
            query['wait-ms'] = str(round(wait * 1000))
        request = client.Request('GET', f'/log-read?{parse.urlencode(query)}')
        answer = await self._call(request, self._settings.timeout + wait)
        return answer.bind(_read_page).bind(
            lambda page: _check_page(page, offset)
        )

    async def read_newest(
        self, topic: base.Topic, after: str | None = None
    ) -> Result[base.KeyedPage, base.Fault]:
        """Returns a page of the newest record of each key of a topic."""
        query = {'topic': str(topic), 'part': '0'}
        if after is not None:
            query['after'] = after
        path = f'/log-newest?{parse.urlencode(query)}'
        request = client.Request('GET', path)
        answer = await self._call(request, self._settings.timeout)
        return answer.bind(_check_status).bind(_read_newest)

    def make_keyed(self, keyed: base.KeyedRecord) -> bytes:
        """Returns the record that writes a key, or removes it.

        Raises ``ValueError`` if the key has over 255 bytes.
        """
        key = keyed.key.encode()
        return bytes([len(key)]) + key + (keyed.value or b'')

    def parse_keyed(
        self, record: bytes
    ) -> Result[base.KeyedRecord, base.Fault]:
        """Returns the key and value of one record of a keyed topic.

        An empty value is returned as ``None``: the key was removed.
        """
        size = record[0] if record else 0
        if len(record) < 1 + size:
            return _make_invalid('keyed record shorter than its key')
        try:
            key = record[1 : 1 + size].decode()
        except UnicodeError as error:
            return _make_invalid(f'key of a keyed record: {error}')
        return Ok(base.KeyedRecord(key, record[1 + size :] or None))

    async def _call(
        self, request: client.Request, timeout: float
    ) -> Result[client.WholeResponse, base.Fault]:
        answer = await self._http.fetch(
            self._settings.address, request, timeout
        )
        self._metrics.count(
            'waxwingport_log_calls_total',
            'Calls to the log by path and status; status 0 is no answer.',
            call=request.path.partition('?')[0],
            status=str(
                answer.map(lambda response: response.status).default_value(0)
            ),
        )
        return answer.map_error(_from_transport)


def _make_query(partition: base.Partition) -> dict[str, str]:
    return {'topic': str(partition.topic), 'part': str(partition.number)}


def _from_transport(fault: client.TransportFault) -> base.Fault:
    kind = base.FaultKind.UNKNOWN if fault.sent else base.FaultKind.UNREACHABLE
    return base.Fault(kind, fault.detail)


def _read_append(
    response: client.WholeResponse,
) -> Result[base.AppendResult, base.Fault]:
    if response.status == 409:
        return _decode(response, _AppendRefusal).bind(_read_refusal)
    return (
        _check_status(response)
        .bind(lambda checked: _decode(checked, _AppendAnswer))
        .map(lambda answer: base.AppendResult(answer.offset, answer.end))
    )


def _check_append(
    result: base.AppendResult, earliest: ids.Offset
) -> Result[base.AppendResult, base.Fault]:
    """Fails if the answer is that of an earlier append.

    The store's answers do not name what they answer, and one may come twice.
    ``earliest`` is the end of the last append that was acknowledged before.
    """
    if result.offset >= earliest:
        return Ok(result)
    detail = f'answer of an earlier append, at {result.offset}'
    return Error(base.Fault(base.FaultKind.UNKNOWN, detail))


def _check_page(
    page: base.Page, offset: ids.Offset
) -> Result[base.Page, base.Fault]:
    """Fails if the records can't be those from ``offset`` on."""
    if offset + len(page.records) <= page.end:
        return Ok(page)
    detail = f'page of another read, which ends at {page.end}'
    return Error(base.Fault(base.FaultKind.UNKNOWN, detail))


def _read_refusal(
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
            lambda expired: Error(
                base.Fault(
                    base.FaultKind.EXPIRED, 'records expired', expired.first
                )
            )
        )
    return _check_status(response).bind(
        lambda checked: _parse_page(checked.body)
    )


def _parse_page(body: bytes) -> Result[base.Page, base.Fault]:
    if len(body) < _PAGE_HEADER.size:
        return _make_invalid('page shorter than its header')
    end, oldest = _PAGE_HEADER.unpack_from(body)
    records = []
    position = _PAGE_HEADER.size
    while position < len(body):
        if position + _RECORD_LENGTH.size > len(body):
            return _make_invalid('page ends inside a length')
        (size,) = _RECORD_LENGTH.unpack_from(body, position)
        position += _RECORD_LENGTH.size
        if position + size > len(body):
            return _make_invalid('page ends inside a record')
        records.append(body[position : position + size])
        position += size
    return Ok(base.Page(tuple(records), end, oldest))


def _read_newest(
    response: client.WholeResponse,
) -> Result[base.KeyedPage, base.Fault]:
    return _decode(response, _NewestAnswer).bind(_decode_items)


def _decode_items(
    answer: _NewestAnswer,
) -> Result[base.KeyedPage, base.Fault]:
    try:
        records = tuple(
            base.KeyedRecord(
                item.key, base64.b64decode(item.value, validate=True)
            )
            for item in answer.items
        )
    except ValueError as error:
        return _make_invalid(f'value of a keyed record: {error}')
    covered = 1 + max((item.offset for item in answer.items), default=-1)
    return Ok(
        base.KeyedPage(
            records, answer.has_more, answer.end, ids.Offset(covered)
        )
    )


def _check_status(
    response: client.WholeResponse,
) -> Result[client.WholeResponse, base.Fault]:
    detail = f'store returned status {response.status}'
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
    return decoding.read_json(response.body, expected).map_error(_make_fault)


def _make_invalid(detail: str) -> Result[T, base.Fault]:
    return Error(_make_fault(detail))


def _make_fault(detail: str) -> base.Fault:
    return base.Fault(base.FaultKind.INVALID, detail)
