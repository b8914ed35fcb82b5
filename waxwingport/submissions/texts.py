"""Texts of items, stored in a topic of their own.

Every node reads all records of the submissions topic, called the index.  A
text is read only by a node that returns it to a caller or resumes it.
"""

import asyncio
import collections
from collections.abc import Iterable
from collections.abc import Sequence
import logging
import zlib

from expression import Error
from expression import Ok
from expression import Result
import msgspec

from waxwingport import clocks
from waxwingport import decoding
from waxwingport import ids
from waxwingport.log import base
from waxwingport.log import writers
from waxwingport.submissions import model

__all__ = ['TextReader', 'TextWriter']

TOPIC = base.Topic('texts')
_COMPRESSION_LEVEL = 1
"""The fastest level of zlib.  It reduces texts to about two thirds of their
size, at about 50 MB/s."""
_RECORD_OVERHEAD_BYTES = 4
"""Bytes that a page of the log adds to each record."""
_MAX_GAP_RECORDS = 2
"""Texts with at most this many records between them are read by one call, as
reading these records takes less time than a second call.  A call takes as
long as reading some tens of kilobytes."""

_LOG = logging.getLogger(__name__)
_ENCODER = msgspec.msgpack.Encoder()

Events = tuple[str, ...]
"""Data of a text's events, in order."""


class TextWriter:
    """Appends texts to the partition of a lease holder.

    A text is compressed and split into records of at most ``max_record_bytes``
    bytes.  Stored texts are also added to the cache of ``reader``.
    """

    def __init__(
        self,
        writer: writers.FencedWriter,
        reader: 'TextReader',
        max_record_bytes: int,
        wall_clock: clocks.WallClock,
    ) -> None:
        self._wall_clock = wall_clock
        self._writer = writer
        self._reader = reader
        self._max_record_bytes = max_record_bytes

    async def run(self) -> base.Fault:
        """Appends the texts passed to ``store``; returns why it ended.

        Ends when a later holder claims the partition.  Pending and later
        calls of ``store`` then fail.
        """
        fault = await self._writer.run()
        self._writer.abandon(fault)
        return fault

    def abandon(self, fault: base.Fault) -> None:
        """Fails the calls of ``store`` that are pending and all later ones."""
        self._writer.abandon(fault)

    async def store(
        self, text: Events
    ) -> Result[model.TextReference, base.Fault]:
        """Appends a text; returns its location once the log has confirmed it.

        Fails if a later holder has claimed the partition.
        """
        data = zlib.compress(_ENCODER.encode(text), _COMPRESSION_LEVEL)
        records = [
            data[start : start + self._max_record_bytes]
            for start in range(0, len(data), self._max_record_bytes)
        ]
        done = await self._writer.write(records)
        reference = done.map(
            lambda offset: model.TextReference(
                self._writer.partition.number,
                offset,
                len(records),
                len(data),
                self._wall_clock.read(),
            )
        )
        match reference:
            case Result(tag='ok', ok=found):
                self._reader.cache(found, text)
        return reference


class TextReader:
    """Reads texts by reference, with a cache of the last used ones.

    ``memory`` bounds the cache in bytes of the texts as stored in the log.
    """

    def __init__(self, log: base.PartitionLog, memory: int) -> None:
        self._log = log
        self._memory = memory
        self._size = 0
        self._cached: collections.OrderedDict[model.TextReference, Events] = (
            collections.OrderedDict()
        )

    def cache(self, reference: model.TextReference, text: Events) -> None:
        """Adds a text to the cache; drops the least recently used ones."""
        if reference not in self._cached:
            self._size += reference.size
        self._cached[reference] = text
        self._cached.move_to_end(reference)
        while self._size > self._memory:
            dropped, _ = self._cached.popitem(last=False)
            self._size -= dropped.size

    async def fetch(
        self, references: Sequence[model.TextReference], timeout: float
    ) -> list[Result[Events, base.Fault]]:
        """Returns one outcome for each reference, in the same order.

        ``timeout`` is in seconds, for all of them together.  A text fails if
        it was not read in time, has expired or can't be decoded.
        """
        outcomes: dict[model.TextReference, Result[Events, base.Fault]] = {}
        for reference in references:
            if reference in self._cached:
                self._cached.move_to_end(reference)
                outcomes[reference] = Ok(self._cached[reference])
        missing = set(references) - outcomes.keys()
        found = await asyncio.gather(
            *(
                self._read_span(span, timeout)
                for span in group_adjacent(missing)
            )
        )
        for fetched in found:
            outcomes.update(fetched)
        return [outcomes[reference] for reference in references]

    async def _read_span(
        self, span: Sequence[model.TextReference], timeout: float
    ) -> dict[model.TextReference, Result[Events, base.Fault]]:
        try:
            async with asyncio.timeout(timeout):
                read = await self._read_records(span)
        except TimeoutError:
            detail = f'texts not read within {timeout:g} s'
            read = Error(base.Fault(base.FaultKind.UNKNOWN, detail))
        match read:
            case Result(tag='ok', ok=records):
                return {
                    reference: self._decode(reference, records, span[0].offset)
                    for reference in span
                }
            case Result(error=fault):
                pass
        _LOG.info(
            'texts-unread',
            extra={
                'partition': span[0].partition,
                'offset': span[0].offset,
                'count': len(span),
                'reason': fault.detail,
            },
        )
        return dict.fromkeys(span, Error(fault))

    async def _read_records(
        self, span: Sequence[model.TextReference]
    ) -> Result[list[bytes], base.Fault]:
        partition = base.Partition(TOPIC, span[0].partition)
        first = span[0].offset
        count = span[-1].offset + span[-1].record_count - first
        size = sum(
            reference.size + reference.record_count * _RECORD_OVERHEAD_BYTES
            for reference in span
        )
        records: list[bytes] = []
        while len(records) < count:
            offset = ids.Offset(first + len(records))
            match await self._log.read(partition, offset, size=size):
                case Result(tag='ok', ok=page) if page.records:
                    records.extend(page.records)
                case Result(tag='ok', ok=page):
                    detail = (
                        f'{partition} has no offset {offset}, '
                        f'it ends at {page.end}'
                    )
                    return Error(base.Fault(base.FaultKind.INVALID, detail))
                case Result(error=fault):
                    return Error(fault)
        return Ok(records)

    def _decode(
        self,
        reference: model.TextReference,
        records: Sequence[bytes],
        first: ids.Offset,
    ) -> Result[Events, base.Fault]:
        start = reference.offset - first
        data = b''.join(records[start : start + reference.record_count])
        match _decompress(data):
            case Result(tag='ok', ok=text):
                self.cache(reference, text)
                return Ok(text)
            case Result(error=reason):
                _LOG.warning(
                    'text-unreadable',
                    extra={
                        'partition': reference.partition,
                        'offset': reference.offset,
                        'reason': reason,
                    },
                )
                return Error(base.Fault(base.FaultKind.INVALID, reason))


def _decompress(data: bytes) -> Result[Events, str]:
    try:
        encoded = zlib.decompress(data)
    except zlib.error as error:
        return Error(str(error))
    return decoding.read_msgpack(encoded, Events)


def group_adjacent(
    references: Iterable[model.TextReference],
) -> list[list[model.TextReference]]:
    """Returns the references grouped into spans that one call can read.

    Texts of one submission are close to one another in the log, mixed with
    those of other submissions that the same node runs.
    """
    spans: list[list[model.TextReference]] = []
    for reference in sorted(
        references,
        key=lambda reference: (reference.partition, reference.offset),
    ):
        last = spans[-1][-1] if spans else None
        if (
            last is not None
            and last.partition == reference.partition
            and reference.offset
            <= last.offset + last.record_count + _MAX_GAP_RECORDS
        ):
            spans[-1].append(reference)
        else:
            spans.append([reference])
    return spans
