"""Records of usage in the log."""

from collections.abc import Iterator
from typing import Annotated

import msgspec

from waxwingport import decoding
from waxwingport import ids
from waxwingport.log import base

__all__ = [
    'COUNTS_TOPIC',
    'PARTITION',
    'Counts',
    'Done',
    'Report',
    'split_counts',
    'split_report',
]

PARTITION = base.Partition(base.Topic('duty.usage'), 0)
"""Partition of the lease of the duty to report usage, and of the reports."""
COUNTS_TOPIC = base.Topic('usage-counts')
"""Topic of the counts of all nodes."""
_MAX_NAMES_BYTES = 65_536
"""Bytes of names in one record of counts, a quarter of what the platform's
log takes as a record."""

_MAX_COUNT = 2**31
"""Bound of a count in a record; sums of them stay within 64 bits."""

Count = Annotated[int, msgspec.Meta(ge=-_MAX_COUNT, le=_MAX_COUNT)]


class Report(msgspec.Struct, frozen=True, tag='report', array_like=True):
    """The report of a window, or a part of one that takes several records.

    It is recorded before it is sent, and complete with its last part.
    """

    window: decoding.WholeNumber
    counts: dict[decoding.Name, decoding.WholeNumber]
    positions: tuple[ids.Offset, ...]
    """For each partition of counts, the offset before which no record has
    counts of a later window."""
    part: decoding.WholeNumber = 0
    parts: decoding.WholeNumber = 1


class Done(msgspec.Struct, frozen=True, tag='done', array_like=True):
    """All windows up to this one were reported or precede the first."""

    window: decoding.WholeNumber


class Counts(msgspec.Struct, frozen=True, array_like=True):
    """Requests that one process counted in a window since its last record."""

    process: base.MemberName
    sequence: decoding.WholeNumber
    """Rises with each record of the process."""
    window: decoding.WholeNumber
    counts: dict[decoding.Name, Count]
    """By tenant; negative where earlier ones are taken back."""


def split_counts(counts: dict[str, int]) -> Iterator[dict[str, int]]:
    """Yields the counts in parts that are small enough for a record."""
    part: dict[str, int] = {}
    size = 0
    for name, count in counts.items():
        if size > _MAX_NAMES_BYTES:
            yield part
            part, size = {}, 0
        part[name] = count
        size += len(name) + 8
    if part:
        yield part


def split_report(report: Report) -> Iterator[Report]:
    """Yields a complete report in parts that are small enough for a record."""
    parts = list(split_counts(report.counts)) or [{}]
    for number, counts in enumerate(parts):
        yield msgspec.structs.replace(
            report, counts=counts, part=number, parts=len(parts)
        )
