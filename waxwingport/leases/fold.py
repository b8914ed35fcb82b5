"""Pure fold of the claims for one lease; no clock enters.

Each record names the offset up to which its writer had read, and wins if no
winning record stands between that offset and its own.
"""

import msgspec

from waxwingport import ids

__all__ = ['LeaseFold', 'LeaseRecord', 'Tenure']


class LeaseRecord(msgspec.Struct, frozen=True, array_like=True):
    """A claim, renewal or release of a lease.

    ``read_up_to`` is the last offset that the writer had folded, -1 for none.
    ``number`` is set by the holder and ``None`` in a claim.
    """

    record_id: ids.RecordId
    holder: ids.NodeName
    incarnation: ids.Incarnation
    read_up_to: ids.Offset
    number: ids.FencingNumber | None = None
    released: bool = False


class Tenure(msgspec.Struct, frozen=True):
    """Who holds a lease, under which fencing number."""

    holder: ids.NodeName
    incarnation: ids.Incarnation
    number: ids.FencingNumber
    released: bool


class LeaseFold:
    """What the records of one lease from ``start`` on say.

    ``tenure`` is ``None`` when nobody claimed the lease, or when records
    that this fold lacks decide who holds it.
    """

    def __init__(self, start: ids.Offset) -> None:
        self.next = start
        self.tenure: Tenure | None = None
        self.highest: ids.FencingNumber | None = None
        """Highest fencing number seen."""
        self._last = start - 1
        """A later record that has seen this offset wins."""
        self._sure = True

    def apply(self, offset: ids.Offset, record: LeaseRecord) -> bool:
        """Folds the record at ``offset``; returns whether it surely won."""
        if offset < self.next:
            raise ValueError(f'offset {offset} was folded before')
        self.next = ids.Offset(offset + 1)
        if record.read_up_to >= self._last:
            self._win(offset, record)
            return True
        if not self._sure or self._is_at_start():
            self._sure = False
            self.tenure = None
            self._last = offset
        return False

    def skip(self, offset: ids.Offset) -> None:
        """Passes over a record that makes no sense."""
        self.next = ids.Offset(offset + 1)

    def _is_at_start(self) -> bool:
        """Returns whether records before the start decide."""
        return self.tenure is None and self.highest is None

    def _win(self, offset: ids.Offset, record: LeaseRecord) -> None:
        number = record.number
        if number is None or not self._continues(record):
            number = ids.FencingNumber(offset)
        self.tenure = Tenure(
            record.holder, record.incarnation, number, record.released
        )
        self.highest = max(number, self.highest or number)
        self._last = offset
        self._sure = True

    def _continues(self, record: LeaseRecord) -> bool:
        """Returns whether the writer held the lease before."""
        return self.tenure is None or (
            (record.holder, record.incarnation, record.number)
            == (
                self.tenure.holder,
                self.tenure.incarnation,
                self.tenure.number,
            )
        )
