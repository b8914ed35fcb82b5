"""Slots by which each node assigns new streams to software versions.

A node begins streams without a record of each only at versions that its
record on a keyed topic implies.  The record is acknowledged before the node
uses new counts and keeps the earlier ones for as long as a stream may last,
so that every node can compute which versions may have begun a stream, also if
its own process has just started or the first node is lost or cut off.
"""

import asyncio
from collections.abc import Iterable
from collections.abc import Iterator
import logging
import random

import msgspec

from waxwingport import clocks
from waxwingport import decoding
from waxwingport.fleet import model as fleet
from waxwingport.fleet import registry
from waxwingport.gateway import stream_records
from waxwingport import ids
from waxwingport.log import base
from waxwingport.log import node_records
from waxwingport.log import writers
from waxwingport.scheduling import software_versions

__all__ = ['Assignments']

TOPIC = base.Topic('keyed.stream-assignments')
_CHECK_INTERVAL_S = 0.5
"""Time after which the slots are counted again without a change of targets."""
_WRITE_INTERVAL_S = 0.2
"""Least time between two writes, as targets register one after the other."""
_GONE_TIME_S = 2.0
"""Time without a target of a version after which it no longer counts: targets
that crash and start anew are back before."""
_RECORD_LIFETIME_S = 3600.0
"""Time after which a record that was not repeated tells nothing.  Until then
its node may only be cut off from the log."""
_REPEAT_INTERVAL_S = _RECORD_LIFETIME_S / 6
_TRUST_TIME_S = _RECORD_LIFETIME_S / 2
"""Time after its last acknowledged write for which a node relies on its own
record; the difference to its lifetime allows for clocks that differ."""
_MAX_WRITE_TIME_S = 5.0
"""Time of a write from which on the record is written again, as counts that
it ended were in use meanwhile; small against the lifetime of a stream."""
_SETTLING_TIME_S = 0.05
"""Time after a change at one node in which the others follow."""
_REMOVAL_PROBABILITY = 0.01
"""Probability with which a node removes an expired record at a check: of 690
nodes some do so each second."""

_LOG = logging.getLogger(__name__)


class _Span(msgspec.Struct, frozen=True):
    """A time in which a node used the same counts for a service."""

    slots: dict[ids.SoftwareVersion, decoding.WholeNumber]
    ended_at: float | None = None
    """Seconds since 1970, ``None`` if they are in use."""


class _Record(msgspec.Struct, frozen=True):
    """Everything that a node has used within the lifetime of a stream."""

    written_at: float
    """Seconds since 1970."""
    services: dict[ids.ServiceName, list[_Span]]


class Assignments:
    """Publishes the counts of this node and reads those of all nodes."""

    def __init__(
        self,
        log: base.PartitionLog,
        member: base.MemberName,
        targets: registry.Registry,
        wall_clock: clocks.WallClock,
        settings: stream_records.StreamSettings,
        call_size: int,
    ) -> None:
        self._log = log
        self._member = member
        self._targets = targets
        self._wall_clock = wall_clock
        self._settings = settings
        self._rng = random.Random()
        self._records = node_records.NodeRecords(
            log, TOPIC, _Record, self._record_change
        )
        """What each member has published."""
        self._writer = writers.MemberWriter(
            log, base.Partition(TOPIC, 0), member, call_size
        )
        self._services: frozenset[ids.ServiceName] = frozenset()
        self._published = _Record(0.0, {})
        self._ended_late = False
        """Whether counts were in use for longer than ``_published`` tells."""
        self._seen_at: dict[
            tuple[ids.ServiceName, ids.SoftwareVersion], float
        ] = {}
        """Loop time at which a version last had a target."""
        self._slot_counts: dict[
            ids.ServiceName, tuple[float, list[software_versions.SlotCounts]]
        ] = {}
        """Different counts of all nodes by service, and until when, in loop
        time, they need not be compared again."""
        self._checked: dict[
            ids.ServiceName, list[software_versions.SlotCounts]
        ] = {}
        """Those that ``wait_for_new_counts`` has found."""
        self._started = asyncio.Event()
        """Set once all records have been read."""
        self._counts_changed = asyncio.Event()
        self._changed = asyncio.Event()
        self._needed = asyncio.Event()
        """Set once there are services whose streams may be resumed."""
        targets.add_listener(self._changed.set)

    def set_services(self, services: Iterable[ids.ServiceName]) -> None:
        """Sets the services whose streams callers may resume."""
        self._services = frozenset(services)
        self._changed.set()
        if self._services:
            self._needed.set()

    @property
    def ready(self) -> bool:
        """Whether the records of all nodes have been read if needed."""
        return not self._services or self._started.is_set()

    @property
    def log_available(self) -> bool:
        """Whether the last read of the log succeeded."""
        return self._records.available

    def compute_log_absence(self) -> float:
        """Returns the seconds since reads of the log began to fail, else 0."""
        lost_at = self._records.dependency.lost_at
        if lost_at is None:
            return 0.0
        return asyncio.get_running_loop().time() - lost_at

    @property
    def node_count(self) -> int:
        """How many members have a record."""
        return len(self._records.by_node)

    def assign(
        self, service: ids.ServiceName, stream_id: stream_records.StreamId
    ) -> ids.SoftwareVersion | None:
        """Returns the version at which this node should begin a stream.

        Returns ``None`` if the node has no record to rely on.
        """
        if not self._is_trusted():
            return None
        for span in self._published.services.get(service, ()):
            if span.ended_at is None:
                return software_versions.assign(stream_id, span.slots)
        return None

    def implies(
        self, origin: fleet.Origin, stream_id: stream_records.StreamId
    ) -> bool:
        """Returns whether this node's record tells where a stream began."""
        return self._is_trusted() and any(
            origin.software == software_versions.assign(stream_id, slots)
            for slots in self._list_slot_counts(
                self._published, origin.service
            )
        )

    def find_candidates(
        self,
        service: ids.ServiceName,
        stream_id: stream_records.StreamId | None,
    ) -> set[ids.SoftwareVersion]:
        """Returns all versions that may have begun a stream without a record.

        Without a ``stream_id`` these are all that any stream may have begun
        at.  The result is complete after ``catch_up``.
        """
        found: set[ids.SoftwareVersion] = set()
        if stream_id is None:
            found = {
                target.entry.software
                for target in self._targets
                if target.entry.service == service
            }
        for slots in self._find_slot_counts(service):
            found |= _find_implied(slots, stream_id)
        return found

    async def wait_for_new_counts(self) -> None:
        """Waits until any node has counts that no node had before.

        Load pattern: hundreds of nodes repeat their records, or publish the
        same new counts within a second.
        """
        while True:
            await self._counts_changed.wait()
            self._counts_changed.clear()
            await asyncio.sleep(_SETTLING_TIME_S)
            before, self._checked = (
                self._checked,
                {
                    service: self._find_slot_counts(service)
                    for service in self._services
                },
            )
            if any(
                slots not in before.get(service, ())
                for service, found in self._checked.items()
                for slots in found
            ):
                return

    async def catch_up(self) -> bool:
        """Reads the records that exist now; returns whether that is certain.

        May take as long as the log is unavailable.
        """
        return await self._records.catch_up()

    async def run(self) -> None:
        """Follows the records and publishes this node's until cancelled.

        Idle until there are services whose streams may be resumed.
        """
        await self._needed.wait()
        async with asyncio.TaskGroup() as group:
            group.create_task(self._records.follow(self._started))
            group.create_task(self._writer.run())
            group.create_task(self._publish_changes())

    def _is_trusted(self) -> bool:
        # Others judge the age of the record by the time of day as well, which
        # goes on while this VM is suspended.
        age = self._wall_clock.read() - self._published.written_at
        return age <= _TRUST_TIME_S

    def _find_slot_counts(
        self, service: ids.ServiceName
    ) -> list[software_versions.SlotCounts]:
        """Returns the different counts by which any node assigns streams.

        Those of hundreds of nodes are mostly the same; they are compared
        again after each change, and as they expire.
        """
        now = asyncio.get_running_loop().time()
        cached = self._slot_counts.get(service)
        if cached is not None and now < cached[0]:
            return cached[1]
        found: list[software_versions.SlotCounts] = []
        others = (record.content for record in self._records.by_node.values())
        for record in (self._published, *others):
            for slots in self._list_slot_counts(record, service):
                if slots not in found:
                    found.append(slots)
        self._slot_counts[service] = now + _CHECK_INTERVAL_S, found
        return found

    def _list_slot_counts(
        self, record: _Record, service: ids.ServiceName
    ) -> Iterator[software_versions.SlotCounts]:
        now = self._wall_clock.read()
        if now - record.written_at <= _RECORD_LIFETIME_S:
            for span in record.services.get(service, ()):
                if self._is_in_use(span, now):
                    yield span.slots

    def _record_change(self) -> None:
        self._slot_counts.clear()
        self._counts_changed.set()

    def _is_in_use(self, span: _Span, now: float) -> bool:
        """Returns whether streams that began in a span may be resumed."""
        return (
            span.ended_at is None
            or now - span.ended_at <= self._settings.lifetime
        )

    async def _publish_changes(self) -> None:
        while True:
            record = self._plan()
            if record is not None:
                await self._publish(record)
                await asyncio.sleep(_WRITE_INTERVAL_S)
            await self._remove_expired_record()
            try:
                async with asyncio.timeout(_CHECK_INTERVAL_S):
                    await self._changed.wait()
            except TimeoutError:
                continue
            finally:
                self._changed.clear()

    def _plan(self) -> _Record | None:
        """Returns the record to write, ``None`` if there is nothing new."""
        now = self._wall_clock.read()
        services: dict[ids.ServiceName, list[_Span]] = {}
        changed = False
        for service in sorted(
            self._services | self._published.services.keys()
        ):
            spans = [
                span
                for span in self._published.services.get(service, ())
                if self._is_in_use(span, now)
            ]
            current = next(
                (span for span in spans if span.ended_at is None), None
            )
            fresh = self._count_slots(service)
            if software_versions.should_replace(
                current.slots if current else {}, fresh
            ):
                changed = True
                spans = [
                    span
                    if span.ended_at is not None
                    else _Span(span.slots, now)
                    for span in spans
                ]
                spans.append(_Span(fresh))
            if spans:
                services[service] = spans
        due = now - self._published.written_at > _REPEAT_INTERVAL_S
        if services and (changed or due or self._ended_late):
            return _Record(now, services)
        return None

    def _count_slots(
        self, service: ids.ServiceName
    ) -> dict[ids.SoftwareVersion, int]:
        """Returns the slots of each version of a service.

        A version whose targets have left just now still counts.
        """
        if service not in self._services:
            return {}
        now = asyncio.get_running_loop().time()
        fresh = software_versions.count_slots(
            self._targets.find_ready(service)
        )
        for software in fresh:
            self._seen_at[service, software] = now
        for span in self._published.services.get(service, ()):
            if span.ended_at is not None:
                continue
            for software, slots in span.slots.items():
                gone_at = self._seen_at.get((service, software), now)
                if software not in fresh and now - gone_at < _GONE_TIME_S:
                    fresh[software] = slots
        return dict(sorted(fresh.items()))

    async def _publish(self, record: _Record) -> None:
        """Writes this node's record and uses it once it is acknowledged.

        Until then the record before stays in use, whose counts are in both.
        """
        value = msgspec.json.encode(record)
        encoded = self._log.make_keyed(base.KeyedRecord(self._member, value))
        await self._writer.write([encoded])
        now = self._wall_clock.read()
        self._ended_late = now - record.written_at > _MAX_WRITE_TIME_S
        self._published = _end_spans_at(now, record)
        self._record_change()
        _LOG.info(
            'stream-slots',
            extra={
                'node': self._member,
                'slots': {
                    service: span.slots
                    for service, spans in record.services.items()
                    for span in spans
                    if span.ended_at is None
                },
            },
        )

    async def _remove_expired_record(self) -> None:
        """Removes the record of a member that has ended long ago."""
        if self._rng.random() > _REMOVAL_PROBABILITY:
            return
        earliest = self._wall_clock.read() - 2 * _RECORD_LIFETIME_S
        for member, record in self._records.by_node.items():
            if record.content.written_at < earliest:
                removed = self._log.make_keyed(base.KeyedRecord(member, None))
                await self._writer.write([removed])
                return


def _end_spans_at(now: float, record: _Record) -> _Record:
    """Returns a record whose spans that it has just ended end at ``now``."""
    services = {
        service: [
            _Span(span.slots, now)
            if span.ended_at == record.written_at
            else span
            for span in spans
        ]
        for service, spans in record.services.items()
    }
    return msgspec.structs.replace(record, services=services)


def _find_implied(
    slots: software_versions.SlotCounts,
    stream_id: stream_records.StreamId | None,
) -> set[ids.SoftwareVersion]:
    """Returns the versions at which counts let a stream begin.

    Without a ``stream_id`` these are all that they let any stream begin at.
    """
    if stream_id is None:
        return set(slots)
    software = software_versions.assign(stream_id, slots)
    return set() if software is None else {software}
