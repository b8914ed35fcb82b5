"""Texts of items, kept beside the index of submissions.

Every node reads the whole index; a text is read only where it is wanted: by a
node that answers a reader, or by a holder that goes on with it.
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
from waxwingport import ids
from waxwingport.log import base
from waxwingport.log import writers
from waxwingport.submissions import model

__all__ = ['TextReader', 'TextWriter']

TOPIC = base.Topic('texts')
_PACKING_LEVEL = 1
"""The quickest: texts shrink to two thirds at some 50 MB/s."""
_ROW_HEAD = 4
"""Bytes that a page holds beside each record."""
_NARROW_GAP = 2
"""Records between two texts that are read along rather than by a call of its
own: a call takes as long as some tens of kilobytes."""

_LOG = logging.getLogger(__name__)
_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(tuple[str, ...])

Events = tuple[str, ...]
"""Data of a text's events, in order."""


class TextWriter:
    """Appends texts to a partition that one holder writes at a time."""

    def __init__(
        self,
        writer: writers.FencedWriter,
        reader: 'TextReader',
        record_size: int,
        wall: clocks.WallClock,
    ) -> None:
        self._wall = wall
        self._writer = writer
        self._reader = reader
        self._record_size = record_size

    async def run(self) -> base.Fault:
        """Appends what is kept until the partition is lost."""
        fault = await self._writer.run()
        self._writer.abandon(fault)
        return fault

    def abandon(self, fault: base.Fault) -> None:
        """Fails what has not been acknowledged and all that comes."""
        self._writer.abandon(fault)

    async def store(
        self, text: Events
    ) -> Result[model.TextReference, base.Fault]:
        """Appends a text; returns where it stands once it does.

        Fails when a later holder has taken the partition.
        """
        data = zlib.compress(_ENCODER.encode(text), _PACKING_LEVEL)
        rows = [
            data[start : start + self._record_size]
            for start in range(0, len(data), self._record_size)
        ]
        done = await self._writer.write(rows)
        reference = done.map(
            lambda offset: model.TextReference(
                self._writer.partition.number,
                offset,
                len(rows),
                len(data),
                self._wall.read(),
            )
        )
        match reference:
            case Result(tag='ok', ok=found):
                self._reader.cache(found, text)
        return reference


class TextReader:
    """Reads texts by reference and remembers those used last.

    ``memory`` bounds the remembered ones, in bytes as the log holds them.
    """

    def __init__(self, log: base.PartitionLog, memory: int) -> None:
        self._log = log
        self._memory = memory
        self._size = 0
        self._known: collections.OrderedDict[model.TextReference, Events] = (
            collections.OrderedDict()
        )

    def cache(self, reference: model.TextReference, text: Events) -> None:
        """Keeps a text at hand, at the cost of those not used for longest."""
        if reference not in self._known:
            self._size += reference.size
        self._known[reference] = text
        self._known.move_to_end(reference)
        while self._size > self._memory:
            dropped, _ = self._known.popitem(last=False)
            self._size -= dropped.size

    async def fetch(
        self, references: Sequence[model.TextReference], timeout: float
    ) -> list[Result[Events, base.Fault]]:
        """Returns the texts, one outcome for each reference.

        ``timeout`` is in seconds, for all of them.
        """
        outcomes: dict[model.TextReference, Result[Events, base.Fault]] = {}
        for reference in references:
            if reference in self._known:
                self._known.move_to_end(reference)
                outcomes[reference] = Ok(self._known[reference])
        missing = set(references) - outcomes.keys()
        found = await asyncio.gather(
            *(self._read_run(run, timeout) for run in group_adjacent(missing))
        )
        for rows in found:
            outcomes.update(rows)
        return [outcomes[reference] for reference in references]

    async def _read_run(
        self, run: Sequence[model.TextReference], timeout: float
    ) -> dict[model.TextReference, Result[Events, base.Fault]]:
        try:
            async with asyncio.timeout(timeout):
                read = await self._read_rows(run)
        except TimeoutError:
            detail = f'no text within {timeout:g} s'
            read = Error(base.Fault(base.FaultKind.UNKNOWN, detail))
        match read:
            case Result(tag='ok', ok=rows):
                return {
                    reference: self._decode(reference, rows, run[0].offset)
                    for reference in run
                }
            case Result(error=fault):
                pass
        _LOG.info(
            'texts-unread',
            extra={
                'partition': run[0].partition,
                'offset': run[0].offset,
                'count': len(run),
                'reason': fault.detail,
            },
        )
        return dict.fromkeys(run, Error(fault))

    async def _read_rows(
        self, run: Sequence[model.TextReference]
    ) -> Result[list[bytes], base.Fault]:
        partition = base.Partition(TOPIC, run[0].partition)
        first = run[0].offset
        count = run[-1].offset + run[-1].record_count - first
        size = sum(row.size + row.record_count * _ROW_HEAD for row in run)
        rows: list[bytes] = []
        while len(rows) < count:
            offset = ids.Offset(first + len(rows))
            match await self._log.read(partition, offset, size=size):
                case Result(tag='ok', ok=page) if page.records:
                    rows.extend(page.records)
                case Result(tag='ok', ok=page):
                    detail = f'{partition} ends at {page.end}'
                    return Error(base.Fault(base.FaultKind.INVALID, detail))
                case Result(error=fault):
                    return Error(fault)
        return Ok(rows)

    def _decode(
        self,
        reference: model.TextReference,
        rows: Sequence[bytes],
        first: ids.Offset,
    ) -> Result[Events, base.Fault]:
        start = reference.offset - first
        data = b''.join(rows[start : start + reference.record_count])
        try:
            text = _DECODER.decode(zlib.decompress(data))
        except (zlib.error, msgspec.DecodeError, UnicodeError) as error:
            _LOG.warning(
                'text-unreadable',
                extra={
                    'partition': reference.partition,
                    'offset': reference.offset,
                    'reason': str(error),
                },
            )
            return Error(base.Fault(base.FaultKind.INVALID, str(error)))
        self.cache(reference, text)
        return Ok(text)


def group_adjacent(
    references: Iterable[model.TextReference],
) -> list[list[model.TextReference]]:
    """Returns the texts grouped by what one read returns.

    Load pattern: a trainer that reads the results of a submission, which one
    holder wrote one after another, mixed with those of other submissions.
    """
    runs: list[list[model.TextReference]] = []
    for row in sorted(references, key=lambda row: (row.partition, row.offset)):
        last = runs[-1][-1] if runs else None
        if (
            last is not None
            and last.partition == row.partition
            and row.offset <= last.offset + last.record_count + _NARROW_GAP
        ):
            runs[-1].append(row)
        else:
            runs.append([row])
    return runs
