"""Members of the local data centre and their states."""

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
    """Events of a member; see ``charts/member.yaml``."""

    LATE = 'late'
    """The member is silent for longer than its detector allows."""
    LEAVE = 'leave'
    """The member or the platform says that it leaves."""
    LOST = 'lost'
    """The member is silent for ``lost_after`` seconds."""
    READY = 'ready'
    """The member says that it is live."""
    STARTING = 'starting'
    """The member says that it is joining."""


_EVENT_BY_STATE = {
    base.MemberState.JOINING: MemberEvent.STARTING,
    base.MemberState.LEAVING: MemberEvent.LEAVE,
    base.MemberState.LIVE: MemberEvent.READY,
}


class RosterSettings(msgspec.Struct, frozen=True):
    """When members change state; times in seconds."""

    interval: float = 1.0
    """Interval between two heartbeats of one node."""
    lost_after: float = 15.0
    """Silence after which a member is gone."""
    forget_after: float = 60.0
    """Silence after which a member that is not listed is removed."""
    detection: detector.DetectorSettings = detector.DetectorSettings()


class _Entry:
    def __init__(
        self, member: base.Member, failure_detector: detector.Detector
    ) -> None:
        self.member = member
        self.detector = failure_detector
        self.counter = -1
        self.listed = False
        self.hints: dict[str, int] = {}


class Roster:
    """States of the members of one data centre, by their heartbeats.

    Does no I/O; the current time is passed to each method.
    """

    def __init__(self, settings: RosterSettings) -> None:
        self._settings = settings
        self._chart = chart.read_chart('member', base.MemberState, MemberEvent)
        self._entries: dict[ids.NodeName, _Entry] = {}

    def list_members(self) -> list[base.Member]:
        """Returns all members, including those that are gone."""
        return [entry.member for entry in self._entries.values()]

    def list_suspects(self) -> tuple[ids.NodeName, ...]:
        """Returns the names of the members that are suspect or gone."""
        silent = (base.MemberState.SUSPECT, base.MemberState.GONE)
        return tuple(
            name
            for name, entry in self._entries.items()
            if entry.member.state in silent
        )

    def read_hints(self, name: ids.NodeName) -> dict[str, int]:
        """Returns the latest hints of a member, empty if there are none."""
        entry = self._entries.get(name)
        return entry.hints if entry else {}

    def update(self, listed: Iterable[base.Member], now: float) -> bool:
        """Applies the platform's list; returns whether a member changed."""
        changed = False
        found = {entry.name: entry for entry in listed}
        for name, entry in self._entries.items():
            entry.listed = name in found
        for name, member in found.items():
            entry = self._entries.get(name)
            if entry is None or self._is_replaced(entry, member):
                entry = self._entries[name] = self._make_entry(member, now)
                changed = True
            entry.listed = True
            if member.state is base.MemberState.LEAVING:
                changed |= self._apply(entry, MemberEvent.LEAVE)
        return changed

    def record_heartbeat(
        self, name: ids.NodeName, heartbeat: messages.Heartbeat, now: float
    ) -> bool:
        """Applies a heartbeat; returns whether a member changed.

        Heartbeats of an earlier incarnation or with an old counter change
        nothing.
        """
        entry = self._entries.get(name)
        known = entry.member.incarnation if entry else None
        if known is not None and heartbeat.incarnation < known:
            return False
        changed = entry is None or known != heartbeat.incarnation
        if changed:
            listed = entry is not None and entry.listed
            entry = self._entries[name] = self._make_entry(
                _describe(name, heartbeat), now
            )
            entry.listed = listed
        if heartbeat.counter <= entry.counter:
            return changed
        entry.counter = heartbeat.counter
        if heartbeat.hints is not None:
            entry.hints = heartbeat.hints
        entry.detector.record_arrival(now)
        return self._apply(entry, _EVENT_BY_STATE[heartbeat.state]) or changed

    def check(self, now: float) -> bool:
        """Updates states by silence; returns whether a member changed."""
        changed = False
        for name, entry in list(self._entries.items()):
            if entry.detector.is_late(now):
                changed |= self._apply(entry, MemberEvent.LATE)
            silence = now - entry.detector.heard_at
            if silence > self._settings.lost_after and not self._is_awaited(
                entry
            ):
                changed |= self._apply(entry, MemberEvent.LOST)
            if silence > self._settings.forget_after and not entry.listed:
                del self._entries[name]
                changed = True
        return changed

    def discount_pause(self, pause: float) -> None:
        """Excludes ``pause`` seconds in which this process did not run."""
        for entry in self._entries.values():
            entry.detector.discount_pause(pause)

    def _is_awaited(self, entry: _Entry) -> bool:
        """Returns whether the member is listed and was never heard."""
        return entry.listed and entry.member.incarnation is None

    def _is_replaced(self, entry: _Entry, member: base.Member) -> bool:
        """Returns whether a gone member is listed at a new address.

        The list lags, so it never overrides a member that is heard.
        """
        return (
            entry.member.peer_address != member.peer_address
            and entry.member.state is base.MemberState.GONE
        )

    def _make_entry(self, member: base.Member, now: float) -> _Entry:
        initial = msgspec.structs.replace(member, state=self._chart.initial)
        failure_detector = detector.Detector(
            self._settings.detection, self._settings.interval, now
        )
        return _Entry(initial, failure_detector)

    def _apply(self, entry: _Entry, event: MemberEvent) -> bool:
        before = entry.member.state
        after = self._chart.next(before, event)
        if after is before:
            return False
        entry.member = msgspec.structs.replace(entry.member, state=after)
        return True


def _describe(
    name: ids.NodeName, heartbeat: messages.Heartbeat
) -> base.Member:
    return base.Member(
        name,
        heartbeat.data_centre,
        heartbeat.address,
        heartbeat.incarnation,
        heartbeat.state,
    )
