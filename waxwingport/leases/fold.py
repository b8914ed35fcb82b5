"""Deterministic fold of the records of one lease; it reads no clock.

Each record names the offset up to which its writer had read.  It wins if the
log has no winning record between that offset and its own.
"""

import msgspec

from waxwingport import ids

__all__ = ['LeaseFold', 'LeaseRecord', 'Tenure']


class LeaseRecord(msgspec.Struct, frozen=True, array_like=True):
    """A claim, renewal or release of a lease.

    ``read_up_to`` is the last offset that the writer had folded, -1 for
    none.  ``number`` is the holder's fencing number, ``None`` in a claim.
    """

    record_id: ids.RecordId
    holder: ids.NodeName
    incarnation: ids.Incarnation
    read_up_to: ids.Offset
    number: ids.FencingNumber | None = None
    released: bool = False


class Tenure(msgspec.Struct, frozen=True):
    """The holder of a lease and its fencing number.

    ``released`` means that the holder gave the lease up.
    """

    holder: ids.NodeName
    incarnation: ids.Incarnation
    number: ids.FencingNumber
    released: bool


class LeaseFold:
    """State of a lease after its records from offset ``start`` on.

    ``tenure`` is ``None`` if nobody claimed the lease, or if records before
    ``start`` decide who holds it.  ``next`` is the offset of the record to
    apply next.
    """

    def __init__(self, start: ids.Offset) -> None:
        self.next = start
        self.tenure: Tenure | None = None
        self.highest: ids.FencingNumber | None = None
        """Highest fencing number seen."""
        self._decisive_offset = start - 1
        """A later record wins if its writer had read up to this offset."""
        self._conclusive = True
        """False while records before ``start`` decide who holds the lease."""

    def apply(self, offset: ids.Offset, record: LeaseRecord) -> bool:
        """Folds the record at ``offset``; returns whether it certainly won.

        Raises ``ValueError`` if ``offset`` is below ``next``.
        """
        if offset < self.next:
            raise ValueError(f'offset {offset} has already been folded')
        self.next = ids.Offset(offset + 1)
        if record.read_up_to >= self._decisive_offset:
            self._apply_winner(offset, record)
            return True
        if not self._conclusive or self._has_no_winner():
            self._conclusive = False
            self.tenure = None
            self._decisive_offset = offset
        return False

    def skip(self, offset: ids.Offset) -> None:
        """Ignores the record at ``offset``, which can't be decoded."""
        self.next = ids.Offset(offset + 1)

    def _has_no_winner(self) -> bool:
        """Returns whether no record has won since the start of the fold."""
        return self.tenure is None and self.highest is None

    def _apply_winner(self, offset: ids.Offset, record: LeaseRecord) -> None:
        number = record.number
        if number is None or not self._continues_tenure(record):
            number = ids.FencingNumber(offset)
        self.tenure = Tenure(
            record.holder, record.incarnation, number, record.released
        )
        self.highest = max(number, self.highest or number)
        self._decisive_offset = offset
        self._conclusive = True

    def _continues_tenure(self, record: LeaseRecord) -> bool:
        """Returns whether the record continues the current tenure."""
        return self.tenure is None or (
            (record.holder, record.incarnation, record.number)
            == (
                self.tenure.holder,
                self.tenure.incarnation,
                self.tenure.number,
            )
        )
