"""Members of the other data centres, as reported by their gateways."""

from collections.abc import Callable
from collections.abc import Iterable

import msgspec

from waxwingport import ids
from waxwingport.membership import base
from waxwingport.membership import detector
from waxwingport.membership import messages

__all__ = ['RemoteDataCentres']

_FIRST_GATEWAY_SILENCE = 3
"""Digest intervals of silence of the first gateway.

After them, digests of other gateways count.
"""
_SAME_DIGEST_SHARE = 0.25
"""Share of the digest interval within which two reports count as one."""
_MS_PER_S = 1000


class _RemoteDataCentre:
    def __init__(self, failure_detector: detector.Detector) -> None:
        self.table: messages.Table | None = None
        self.listed: list[base.Member] = []
        self.detector = failure_detector
        self.first_gateway_heard_at = float('-inf')
        self.reachable = False

    def list_members(self, data_centre: ids.DataCentre) -> list[base.Member]:
        if self.table is None:
            return self.listed
        reported = [
            base.Member(
                entry.name,
                data_centre,
                entry.address,
                entry.incarnation,
                entry.state,
            )
            for entry in self.table.entries
        ]
        return (
            reported
            if self.reachable
            else _mark_suspect(reported, self.listed)
        )


def _mark_suspect(
    reported: list[base.Member], listed: list[base.Member]
) -> list[base.Member]:
    """Returns the members of an unreachable data centre, as suspects.

    These are the nodes on the platform's list, as all of those reported last
    may have been replaced meanwhile; without a list, those reported last.
    """
    known = {member.name: member for member in reported}
    members = listed or reported
    return [
        msgspec.structs.replace(
            member,
            incarnation=known[member.name].incarnation,
            state=base.MemberState.SUSPECT,
        )
        if member.name in known
        else member
        for member in members
    ]


class RemoteDataCentres:
    """Tables of the other data centres and when each was last heard.

    A data centre that becomes silent keeps its members, all suspect, until it
    is heard again.  ``listener`` is called after each change of members or
    states.
    """

    def __init__(
        self,
        settings: detector.DetectorSettings,
        interval: float,
        listener: Callable[[], None],
    ) -> None:
        self._settings = settings
        self._interval = interval
        self._listener = listener
        self._data_centres: dict[ids.DataCentre, _RemoteDataCentre] = {}

    @property
    def data_centres(self) -> list[ids.DataCentre]:
        """The known data centres, ordered by name."""
        return sorted(self._data_centres)

    def is_reachable(self, data_centre: ids.DataCentre) -> bool:
        """Returns whether digests of a data centre arrive in time."""
        remote = self._data_centres.get(data_centre)
        return remote is not None and remote.reachable

    def list_members(self, data_centre: ids.DataCentre) -> list[base.Member]:
        """Returns the members of one data centre."""
        remote = self._data_centres.get(data_centre)
        return remote.list_members(data_centre) if remote else []

    def find_table(self, data_centre: ids.DataCentre) -> messages.Table | None:
        """Returns the last table fetched of a data centre, or ``None``."""
        remote = self._data_centres.get(data_centre)
        return remote.table if remote else None

    def make_relay(
        self, data_centre: ids.DataCentre, now: float
    ) -> messages.Relay | None:
        """Returns the relay for a data centre, ``None`` if unreachable."""
        remote = self._data_centres.get(data_centre)
        if remote is None or remote.table is None or not remote.reachable:
            return None
        age = int((now - remote.detector.heard_at) * _MS_PER_S)
        return messages.Relay(data_centre, remote.table.checksum, age)

    def update(self, listed: Iterable[base.Member], now: float) -> None:
        """Applies the platform's list of nodes in other data centres."""
        grouped: dict[ids.DataCentre, list[base.Member]] = {}
        for member in listed:
            joining = msgspec.structs.replace(
                member, state=base.MemberState.JOINING
            )
            grouped.setdefault(member.data_centre, []).append(joining)
        changed = False
        for data_centre in grouped.keys() | self._data_centres.keys():
            remote = self._find(data_centre, now)
            found = grouped.get(data_centre, [])
            changed |= found != remote.listed
            remote.listed = found
        for data_centre in list(self._data_centres):
            remote = self._data_centres[data_centre]
            if not remote.listed and not remote.reachable:
                del self._data_centres[data_centre]
        if changed:
            self._listener()

    def record_digest(self, digest: messages.Digest, now: float) -> bool:
        """Records a digest; returns whether to fetch the sender's table."""
        remote = self._find(digest.data_centre, now)
        if digest.rank == 0:
            remote.first_gateway_heard_at = now
        elif (
            now - remote.first_gateway_heard_at
            < self._interval * _FIRST_GATEWAY_SILENCE
        ):
            return False
        return self._record(remote, digest.checksum, now, now)

    def record_relay(self, relay: messages.Relay, now: float) -> bool:
        """Records a relay; returns whether to fetch the sender's copy."""
        remote = self._find(relay.data_centre, now)
        heard_at = now - relay.age / _MS_PER_S
        return self._record(remote, relay.checksum, heard_at, now)

    def store_table(self, table: messages.Table, now: float) -> None:
        """Stores a fetched table; updates whether its source is reachable."""
        remote = self._find(table.data_centre, now)
        remote.table = table
        remote.reachable = not remote.detector.is_late(now)
        self._listener()

    def check(self, now: float) -> None:
        """Marks data centres unreachable that are silent for too long."""
        for remote in self._data_centres.values():
            if remote.reachable and remote.detector.is_late(now):
                remote.reachable = False
                self._listener()

    def discount_pause(self, pause: float) -> None:
        """Excludes ``pause`` seconds in which this process did not run."""
        for remote in self._data_centres.values():
            remote.detector.discount_pause(pause)

    def _record(
        self,
        remote: _RemoteDataCentre,
        checksum: int,
        heard_at: float,
        now: float,
    ) -> bool:
        advance = heard_at - remote.detector.heard_at
        if (
            remote.table is None
            or advance > self._interval * _SAME_DIGEST_SHARE
        ):
            remote.detector.record_arrival(
                max(heard_at, remote.detector.heard_at)
            )
            before, remote.reachable = (
                remote.reachable,
                not remote.detector.is_late(now),
            )
            if before != remote.reachable:
                self._listener()
        return remote.table is None or remote.table.checksum != checksum

    def _find(
        self, data_centre: ids.DataCentre, now: float
    ) -> _RemoteDataCentre:
        if data_centre not in self._data_centres:
            failure_detector = detector.Detector(
                self._settings, self._interval, now
            )
            self._data_centres[data_centre] = _RemoteDataCentre(
                failure_detector
            )
        return self._data_centres[data_centre]
