"""The members of the other data centres, as their gateways tell them."""

from collections.abc import Callable
from collections.abc import Iterable

import msgspec

from waxwingport import ids
from waxwingport.membership import base
from waxwingport.membership import detector
from waxwingport.membership import messages

__all__ = ['Remotes']

_SHORTEST_SILENCE = 3
"""Digest intervals after which a second gateway counts."""
_SAME_DIGEST = 0.25
"""Share of the interval within which two reports mean one digest."""
_MILLISECONDS = 1000


class _Remote:
    def __init__(self, watch: detector.Detector) -> None:
        self.table: messages.Table | None = None
        self.listed: list[base.Member] = []
        self.watch = watch
        self.first_heard_at = float('-inf')
        self.reachable = False

    def list_members(self, centre: ids.DataCentre) -> list[base.Member]:
        if self.table is None:
            return self.listed
        told = [
            base.Member(
                row.name, centre, row.address, row.incarnation, row.state
            )
            for row in self.table.entries
        ]
        return told if self.reachable else _dim(told, self.listed)


def _dim(
    told: list[base.Member], listed: list[base.Member]
) -> list[base.Member]:
    """Returns the members of a data centre that is not heard.

    The platform's list decides who may be there, as all of them may have
    been replaced meanwhile; without a list all that were told stay.
    """
    known = {row.name: row for row in told}
    rows = listed or told
    return [
        msgspec.structs.replace(
            row,
            incarnation=known[row.name].incarnation,
            state=base.MemberState.SUSPECT,
        )
        if row.name in known
        else row
        for row in rows
    ]


class Remotes:
    """Tables of other data centres and how fresh they are.

    A data centre that falls silent keeps its members, all suspect, until it
    is heard again.  ``changed`` is called after each change of members or
    states.
    """

    def __init__(
        self,
        settings: detector.DetectorSettings,
        interval: float,
        changed: Callable[[], None],
    ) -> None:
        self._settings = settings
        self._interval = interval
        self._changed = changed
        self._rows: dict[ids.DataCentre, _Remote] = {}

    @property
    def data_centres(self) -> list[ids.DataCentre]:
        """The data centres that are known, ordered by name."""
        return sorted(self._rows)

    def is_reachable(self, centre: ids.DataCentre) -> bool:
        """Returns whether a data centre is heard."""
        row = self._rows.get(centre)
        return row is not None and row.reachable

    def list_members(self, centre: ids.DataCentre) -> list[base.Member]:
        """Returns the members of one data centre."""
        row = self._rows.get(centre)
        return row.list_members(centre) if row else []

    def find_table(self, centre: ids.DataCentre) -> messages.Table | None:
        """Returns the table held of a data centre."""
        row = self._rows.get(centre)
        return row.table if row else None

    def make_relay(
        self, centre: ids.DataCentre, now: float
    ) -> messages.Relay | None:
        """Returns what is known of a data centre, if it is reachable."""
        row = self._rows.get(centre)
        if row is None or row.table is None or not row.reachable:
            return None
        age = int((now - row.watch.heard_at) * _MILLISECONDS)
        return messages.Relay(centre, row.table.checksum, age)

    def update(self, listed: Iterable[base.Member], now: float) -> None:
        """Takes the platform's list."""
        grouped: dict[ids.DataCentre, list[base.Member]] = {}
        for member in listed:
            fresh = msgspec.structs.replace(
                member, state=base.MemberState.JOINING
            )
            grouped.setdefault(member.data_centre, []).append(fresh)
        changed = False
        for centre in grouped.keys() | self._rows.keys():
            row = self._find(centre, now)
            found = grouped.get(centre, [])
            changed |= found != row.listed
            row.listed = found
        for centre in list(self._rows):
            row = self._rows[centre]
            if not row.listed and not row.reachable:
                del self._rows[centre]
        if changed:
            self._changed()

    def note_digest(self, digest: messages.Digest, now: float) -> bool:
        """Takes a digest; returns whether its table has to be fetched."""
        row = self._find(digest.data_centre, now)
        if digest.rank == 0:
            row.first_heard_at = now
        elif now - row.first_heard_at < self._interval * _SHORTEST_SILENCE:
            return False
        return self._note(row, digest.checksum, now, now)

    def note_relay(self, relay: messages.Relay, now: float) -> bool:
        """Takes a relay; returns whether its table has to be fetched."""
        row = self._find(relay.data_centre, now)
        heard_at = now - relay.age / _MILLISECONDS
        return self._note(row, relay.checksum, heard_at, now)

    def put_table(self, table: messages.Table, now: float) -> None:
        """Takes a table that was fetched."""
        row = self._find(table.data_centre, now)
        row.table = table
        row.reachable = not row.watch.is_late(now)
        self._changed()

    def check(self, now: float) -> None:
        """Judges the silence of each data centre."""
        for row in self._rows.values():
            if row.reachable and row.watch.is_late(now):
                row.reachable = False
                self._changed()

    def discount_pause(self, pause: float) -> None:
        """Discounts a time in which this process itself was paused."""
        for row in self._rows.values():
            row.watch.discount_pause(pause)

    def _note(
        self, row: _Remote, checksum: int, heard_at: float, now: float
    ) -> bool:
        newer = heard_at - row.watch.heard_at
        if row.table is None or newer > self._interval * _SAME_DIGEST:
            row.watch.record_arrival(max(heard_at, row.watch.heard_at))
            before, row.reachable = row.reachable, not row.watch.is_late(now)
            if before != row.reachable:
                self._changed()
        return row.table is None or row.table.checksum != checksum

    def _find(self, centre: ids.DataCentre, now: float) -> _Remote:
        if centre not in self._rows:
            watch = detector.Detector(self._settings, self._interval, now)
            self._rows[centre] = _Remote(watch)
        return self._rows[centre]
