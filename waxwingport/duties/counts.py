"""Reads the counts of all nodes, at the node that composes reports."""

import asyncio
from collections.abc import Sequence
import logging

from expression import Error
from expression import Ok
from expression import Result

from waxwingport import decoding
from waxwingport.duties import records
from waxwingport import ids
from waxwingport.log import base
from waxwingport.log import dependency
from waxwingport.log import tails

__all__ = ['UsageCounts']

_READ_TIMEOUT_S = 3.0
"""Bounds one read of all partitions; it is repeated after that."""
_MAX_LEAD_WINDOWS = 12
"""Windows by which counts may be ahead of this node's clock.  Clocks differ
by less; counts further ahead are an error of their writer."""

_LOG = logging.getLogger(__name__)


class UsageCounts:
    """Counts by window and tenant, as far as they were read.

    Begins at the offsets ``positions`` of the partitions, or at their start
    where there is none.  ``reported`` is the last window that has its report.
    """

    def __init__(
        self,
        log: base.PartitionLog,
        partitions: int,
        positions: Sequence[ids.Offset],
        reported: int,
    ) -> None:
        self._first = reported + 1
        """First window whose counts are read for the first time."""
        self._reported = reported
        self._newest = reported
        """Last window that may have counts by this node's clock."""
        self._counts: dict[int, dict[str, int]] = {}
        self._sequences: dict[base.MemberName, int] = {}
        """Sequence number of the last record of each process."""
        store = dependency.Dependency('log:usage-counts')
        self._readers = []
        for number in range(partitions):
            reader = _PartitionReader(self, log, number, store)
            if number < len(positions):
                reader.tail.position = positions[number]
            self._readers.append(reader)

    async def read(self, current: int) -> Result[None, str]:
        """Reads all counts that are in the log now.

        ``current`` is the present window.  Fails with a reason if a partition
        can't be read.
        """
        self._newest = current + _MAX_LEAD_WINDOWS
        try:
            async with asyncio.timeout(_READ_TIMEOUT_S):
                found = await asyncio.gather(
                    *(reader.tail.read_to_end() for reader in self._readers)
                )
        except TimeoutError:
            return Error(f'no counts within {_READ_TIMEOUT_S:g} s')
        for outcome in found:
            match outcome:
                case Result(tag='error', error=fault):
                    return Error(fault.detail)
        return Ok(None)

    def compose(self, window: int) -> dict[str, int]:
        """Returns the counts of a window by tenant, in a fixed order."""
        counts = self._counts.get(window, {})
        return {
            tenant: count
            for tenant, count in sorted(counts.items())
            if count > 0
        }

    def find_positions(self, window: int) -> tuple[ids.Offset, ...]:
        """Returns where to read on for windows after ``window``."""
        return tuple(reader.find_position(window) for reader in self._readers)

    def close_window(self, window: int) -> None:
        """Forgets a window and earlier ones; later counts of them are lost."""
        self._reported = window
        for reader in self._readers:
            reader.forget(window)
        for past in [found for found in self._counts if found <= window]:
            del self._counts[past]

    def add(self, found: records.Counts) -> bool:
        """Adds a record; returns whether it may be needed again."""
        # The writer keeps the order of its records, so that one which comes
        # again has a number that is not above the last.
        if found.sequence <= self._sequences.get(found.process, -1):
            return False
        self._sequences[found.process] = found.sequence
        if found.window < self._first:
            # An earlier holder has read them, or has logged that they are
            # late.
            return False
        if not self._reported < found.window <= self._newest:
            _LOG.warning(
                'usage-uncounted',
                extra={
                    'member': found.process,
                    'window': found.window,
                    'reported': self._reported,
                    'requests': sum(found.counts.values()),
                },
            )
            return False
        counts = self._counts.setdefault(found.window, {})
        for tenant, count in found.counts.items():
            counts[tenant] = counts.get(tenant, 0) + count
        return True


class _PartitionReader(tails.RecordListener):
    """Reads one partition of counts."""

    def __init__(
        self,
        counts: UsageCounts,
        log: base.PartitionLog,
        number: int,
        store: dependency.Dependency,
    ) -> None:
        self._counts = counts
        self._firsts: dict[int, ids.Offset] = {}
        """Offset of the first record of each window."""
        partition = base.Partition(records.COUNTS_TOPIC, number)
        self.tail = tails.PartitionTail(log, partition, self, store)

    def handle_record(self, record: bytes) -> None:
        """Adds counts; logs and skips a record that can't be decoded."""
        match decoding.read_msgpack(record, records.Counts):
            case Result(tag='ok', ok=found):
                pass
            case Result(error=reason):
                _LOG.warning(
                    'record-skipped',
                    extra={
                        'partition': str(self.tail.partition),
                        'position': self.tail.position,
                        'reason': reason,
                    },
                )
                return
        if self._counts.add(found):
            self._firsts.setdefault(found.window, self.tail.position)

    def handle_gap(self) -> None:
        """Logs that counts expired before they were read."""
        _LOG.error(
            'usage-expired', extra={'partition': str(self.tail.partition)}
        )

    def find_position(self, window: int) -> ids.Offset:
        """Returns the offset of the first record of a later window."""
        return min(
            (
                position
                for found, position in self._firsts.items()
                if found > window
            ),
            default=self.tail.position,
        )

    def forget(self, window: int) -> None:
        """Forgets the positions of a window and earlier ones."""
        for past in [found for found in self._firsts if found <= window]:
            del self._firsts[past]
