"""The members of this node's own data centre and their states."""

from collections.abc import Iterable
import enum

import msgspec

from waxwingport.charts import chart
from waxwingport import ids
from waxwingport.membership import base
from waxwingport.membership import detector
from waxwingport.membership import messages

__all__ = ['MemberEvent', 'Roster', 'RosterSettings']


class MemberEvent(enum.Enum):
    """What happens to a member; see ``charts/member.yaml``."""

    LATE = 'late'
    """Silent for longer than its rhythm explains."""
    LEAVE = 'leave'
    LOST = 'lost'
    """Silent for so long that it is given up."""
    READY = 'ready'
    STARTING = 'starting'


_EVENTS = {
    base.MemberState.JOINING: MemberEvent.STARTING,
    base.MemberState.LEAVING: MemberEvent.LEAVE,
    base.MemberState.LIVE: MemberEvent.READY,
}


class RosterSettings(msgspec.Struct, frozen=True):
    """Times in seconds."""

    interval: float = 1.0
    """Between two heartbeats of one node."""
    lost_after: float = 15.0
    """Silence after which a member is gone."""
    forget_after: float = 60.0
    """Silence after which an unlisted member is forgotten."""
    detection: detector.DetectorSettings = detector.DetectorSettings()


class _Row:
    def __init__(self, member: base.Member, watch: detector.Detector) -> None:
        self.member = member
        self.watch = watch
        self.counter = -1
        self.listed = False
        self.hints: dict[str, int] = {}


class Roster:
    """Judges the members of one data centre by their heartbeats.

    Times are passed in; nothing here waits or sends.
    """

    def __init__(self, settings: RosterSettings) -> None:
        self._settings = settings
        self._chart = chart.read_chart('member', base.MemberState, MemberEvent)
        self._rows: dict[ids.NodeName, _Row] = {}

    def list_members(self) -> list[base.Member]:
        """Returns all rows, the ones that are gone among them."""
        return [row.member for row in self._rows.values()]

    def list_suspects(self) -> tuple[ids.NodeName, ...]:
        """Returns who is no longer heard."""
        silent = (base.MemberState.SUSPECT, base.MemberState.GONE)
        return tuple(
            name
            for name, row in self._rows.items()
            if row.member.state in silent
        )

    def read_hints(self, name: ids.NodeName) -> dict[str, int]:
        """Returns the latest hints of a member."""
        row = self._rows.get(name)
        return row.hints if row else {}

    def update(self, listed: Iterable[base.Member], now: float) -> bool:
        """Takes the platform's list; returns whether anything changed."""
        changed = False
        found = {row.name: row for row in listed}
        for name, row in self._rows.items():
            row.listed = name in found
        for name, member in found.items():
            row = self._rows.get(name)
            if row is None or self._is_replaced(row, member):
                row = self._rows[name] = self._make_row(member, now)
                changed = True
            row.listed = True
            if member.state is base.MemberState.LEAVING:
                changed |= self._apply(row, MemberEvent.LEAVE)
        return changed

    def note(
        self, name: ids.NodeName, beat: messages.Heartbeat, now: float
    ) -> bool:
        """Takes a heartbeat; returns whether anything changed."""
        row = self._rows.get(name)
        known = row.member.incarnation if row else None
        if known is not None and beat.incarnation < known:
            return False
        changed = row is None or known != beat.incarnation
        if changed:
            listed = row is not None and row.listed
            row = self._rows[name] = self._make_row(_describe(name, beat), now)
            row.listed = listed
        if beat.counter <= row.counter:
            return changed
        row.counter = beat.counter
        if beat.hints is not None:
            row.hints = beat.hints
        row.watch.record_arrival(now)
        return self._apply(row, _EVENTS[beat.state]) or changed

    def check(self, now: float) -> bool:
        """Judges the silence of each; returns whether anything changed."""
        changed = False
        for name, row in list(self._rows.items()):
            if row.watch.is_late(now):
                changed |= self._apply(row, MemberEvent.LATE)
            silence = now - row.watch.heard_at
            if silence > self._settings.lost_after and not self._waits(row):
                changed |= self._apply(row, MemberEvent.LOST)
            if silence > self._settings.forget_after and not row.listed:
                del self._rows[name]
                changed = True
        return changed

    def discount_pause(self, pause: float) -> None:
        """Discounts a time in which this process itself was paused."""
        for row in self._rows.values():
            row.watch.discount_pause(pause)

    def _waits(self, row: _Row) -> bool:
        """Returns whether a listed node was never heard so far."""
        return row.listed and row.member.incarnation is None

    def _is_replaced(self, row: _Row, member: base.Member) -> bool:
        """Returns whether a name is listed at an address that is new.

        The list lags, so it never overrules a member that is heard.
        """
        return (
            row.member.peer_address != member.peer_address
            and row.member.state is base.MemberState.GONE
        )

    def _make_row(self, member: base.Member, now: float) -> _Row:
        fresh = msgspec.structs.replace(member, state=self._chart.initial)
        watch = detector.Detector(
            self._settings.detection, self._settings.interval, now
        )
        return _Row(fresh, watch)

    def _apply(self, row: _Row, event: MemberEvent) -> bool:
        before = row.member.state
        after = self._chart.next(before, event)
        if after is before:
            return False
        row.member = msgspec.structs.replace(row.member, state=after)
        return True


def _describe(name: ids.NodeName, beat: messages.Heartbeat) -> base.Member:
    return base.Member(
        name, beat.data_centre, beat.address, beat.incarnation, beat.state
    )
