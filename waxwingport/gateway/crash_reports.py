"""Reports of crashes of targets, exchanged between the nodes.

Each node writes the crashes that it saw in its record on one topic, with the
requests that they ended, and which requests were answered since.  All nodes
read the records of all and merge them alike.  The records also hold the claims
to send requests that may crash further targets.
"""

import asyncio
import collections
from collections.abc import Callable
from collections.abc import Iterator
import random

import msgspec

from waxwingport import clocks
from waxwingport import decoding
from waxwingport.fleet import model as fleet
from waxwingport.fleet import registry
from waxwingport.gateway import probe_claims
from waxwingport import ids
from waxwingport.log import base
from waxwingport.log import node_records
from waxwingport.scheduling import attribution
from waxwingport.scheduling import probes
from waxwingport.scheduling import settling

__all__ = ['CrashReports', 'name_start']

_TOPIC = base.Topic('keyed.crashes')
_MAX_CANDIDATES = 16
"""Requests in the report of one crash; more share the blame so far that it
tells little."""
_MAX_REPORTS = 64
"""Reports in the record of a node: a few in an hour at 1,100 crashes a day of
all targets, and those of a request that comes again."""
_MAX_NEW_REPORTS = 8
"""Crashes in a second whose requests are reported.  After more of them, as
when a rack loses power, only requests that are suspects already are."""
_REPORT_LIFETIME_S = 7200.0
"""Age at which a report is dropped: longer than any request is stopped."""
_EMPTY_LIFETIME_S = 60.0
"""Age at which a report is dropped that names no request any more.  Until then
it tells that targets end for other reasons."""
_RECORD_LIFETIME_S = 2 * _REPORT_LIFETIME_S
"""Age at which the record of a node is removed that does not do so itself."""
_REMOVAL_PROBABILITY = 0.01
"""Probability with which a node removes another's old record at an update:
of 690 nodes a few do so in the first second."""
_REGISTRATION_LAG_S = 10.0
"""Time after which a target that crashed is no longer registered with the same
start: three of its heartbeats, and some for the log."""
_WRITE_INTERVAL_S = 0.1
"""Least time between two writes of this node's record."""
_MERGE_DELAY_S = 0.02
"""Time from a read to the merge of the records: after the loss of a rack
hundreds of nodes write theirs."""
_MERGE_PAUSE = 10.0
"""That time as a multiple of the time that the last merge took."""
_MAX_MERGE_DELAY_S = 1.0
"""Upper bound of it: a request has to be stopped within seconds."""
_MAX_PROMPT_TIME_S = 0.005
"""Time of a merge up to which this node's own changes do not wait for it."""
_RETRY_INTERVAL_S = 0.5
"""Time after which a write that failed is repeated."""
_UPDATE_INTERVAL_S = 1.0
"""Least time between two checks for reports to drop."""
_UPDATE_PAUSE = 20.0
"""That time as a multiple of the time that the last merge took: reports of a
lost rack may stand for hours."""
_MAX_CLEARED = 256
"""Requests in the record of a node that were answered after a crash."""


class _Report(msgspec.Struct, eq=False):
    """A crash of a target, as one node saw it."""

    target: fleet.InstanceId
    born: decoding.WholeNumber | None
    """Start of the target in milliseconds since 1970, if known."""
    at: float
    """Seconds since 1970."""
    requests: dict[ids.RequestDigest, attribution.Presence]
    """This node's requests that the crash ended, without those that were
    answered since."""

    @property
    def start(self) -> attribution.TargetStart:
        return name_start(self.target, self.born)

    def is_expired(self, now: float) -> bool:
        lifetime = _REPORT_LIFETIME_S if self.requests else _EMPTY_LIFETIME_S
        return now - self.at > lifetime


class _Record(msgspec.Struct, eq=False):
    """What a node has to say of crashes."""

    reports: list[_Report] = []
    answered: dict[ids.RequestDigest, list[attribution.TargetStart]] = {}
    """Requests that were answered after crashes that other nodes reported."""
    claims: list[probes.Claim] = []
    """Claims to send requests that were at three crashes."""


class CrashReports:
    """The crashes that any node has reported.

    ``on_change`` is called after each change of ``crashes``.
    """

    def __init__(
        self,
        log: base.PartitionLog,
        node: ids.NodeName,
        targets: registry.Registry,
        wall_clock: clocks.WallClock,
        on_change: Callable[[], None],
    ) -> None:
        self._node = node
        self._targets = targets
        self._wall_clock = wall_clock
        self._on_change = on_change
        self._rng = random.Random()
        self._records = node_records.NodeRecords(
            log, _TOPIC, _Record, self._schedule_merge
        )
        self._claims = probe_claims.ProbeClaims(node)
        self._own = _Record(claims=self._claims.own)
        self._read = asyncio.Event()
        """Set once the records of all nodes have been read."""
        self._changed = asyncio.Event()
        """Set while this node's record is not written."""
        self._written: bytes | None = None
        self._merge_timer: asyncio.TimerHandle | None = None
        """Set while records that were read are not merged."""
        self._merge_time = 0.0
        """Seconds that the last merge took."""
        self._settling = settling.SettlingTimes(wall_clock.read())
        self.crashes: dict[attribution.TargetStart, attribution.Crash] = {}

    def add(
        self,
        target: fleet.Target,
        digest: ids.RequestDigest,
        age: float,
        suspected: bool,
    ) -> bool:
        """Reports a request that a crash ended; returns whether it did.

        ``age`` is the time since the request was sent, in seconds.  Of many
        requests, and of many crashes at once, only suspects are reported.
        """
        report = self._find_report(target, suspected)
        if report is None or not (
            suspected or len(report.requests) < _MAX_CANDIDATES
        ):
            return False
        presence = attribution.Presence(round(age, 3), round(age, 3))
        known = report.requests.get(digest)
        if known is not None:
            presence = presence.include(known)
        if presence != known:
            report.requests[digest] = presence
            self._record_change()
        return True

    def add_crash(self, target: fleet.Target) -> bool:
        """Reports a crash without a request; returns whether it is news."""
        count = len(self._own.reports)
        self._find_report(target, False)
        return len(self._own.reports) > count

    def withdraw(self, digest: ids.RequestDigest) -> None:
        """Withdraws a request from all crashes, as it was answered."""
        for report in self._own.reports:
            report.requests.pop(digest, None)
        others = [
            start
            for start, crash in self.crashes.items()
            if digest in crash.candidates
        ]
        if others:
            known = self._own.answered.pop(digest, [])
            self._own.answered[digest] = sorted({*known, *others})
        if len(self._own.answered) > _MAX_CLEARED:
            del self._own.answered[next(iter(self._own.answered))]
        self._record_change()

    def add_claim(
        self, target: fleet.Target, digest: ids.RequestDigest
    ) -> probes.Claim | None:
        """Claims to send a request to a target.

        Returns ``None`` if this node has too many claims.
        """
        claim = self._claims.add(
            digest,
            name_start(target.entry.instance, target.entry.started_at_ms),
            asyncio.get_running_loop().time(),
        )
        if claim is not None:
            self._changed.set()
        return claim

    def remove_claim(self, claim: probes.Claim) -> None:
        """Withdraws a claim, as its request was answered or is not sent."""
        self._claims.remove(claim, asyncio.get_running_loop().time())
        self._changed.set()

    def is_granted(self, claim: probes.Claim) -> bool:
        """Returns whether the request of a claim may be sent now."""
        now = asyncio.get_running_loop().time()
        return self._claims.is_granted(claim, now, self._records.available)

    async def run(self) -> None:
        """Exchanges reports with the other nodes until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._records.follow(self._read))
            group.create_task(self._write_changes())
            group.create_task(self._drop_expired())

    def _find_report(
        self, target: fleet.Target, suspected: bool
    ) -> _Report | None:
        """Returns this node's report of a crash, a new one if there is none.

        Returns ``None`` if too many targets crash for new reports of requests
        that are not suspected.
        """
        entry = target.entry
        start = name_start(entry.instance, entry.started_at_ms)
        now = self._wall_clock.read()
        recent = 0
        for report in self._own.reports:
            if report.start == start:
                return report
            recent += now - report.at < 1.0
        if recent >= _MAX_NEW_REPORTS and not suspected:
            return None
        made = _Report(entry.instance, entry.started_at_ms, now, {})
        self._own.reports.append(made)
        if len(self._own.reports) > _MAX_REPORTS:
            # An empty one tells least.
            self._own.reports.sort(key=lambda report: bool(report.requests))
            del self._own.reports[0]
        return made

    def _record_change(self) -> None:
        if self._merge_time <= _MAX_PROMPT_TIME_S:
            self._merge()
        else:
            self._schedule_merge()
        self._changed.set()

    def _schedule_merge(self) -> None:
        """Merges the records soon; those of many nodes arrive together."""
        self._adopt_own_record()
        self._claims.read(
            (node, claim)
            for node, record in self._records.by_node.items()
            for claim in record.content.claims
        )
        if self._merge_timer is None:
            delay = max(_MERGE_DELAY_S, _MERGE_PAUSE * self._merge_time)
            self._merge_timer = asyncio.get_running_loop().call_later(
                min(delay, _MAX_MERGE_DELAY_S), self._merge
            )

    def _iterate_records(self) -> Iterator[_Record]:
        """Yields the records of all nodes; this node's own is the newest."""
        yield self._own
        for node, record in self._records.by_node.items():
            if node != self._node:
                yield record.content

    def _merge(self) -> None:
        """Merges the records of all nodes at once."""
        if self._merge_timer is not None:
            self._merge_timer.cancel()
            self._merge_timer = None
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        self.crashes = self._find_crashes()
        self._claims.apply(started_at)
        self._on_change()
        self._merge_time = loop.time() - started_at

    def _find_crashes(
        self,
    ) -> dict[attribution.TargetStart, attribution.Crash]:
        """Returns the crashes in the records of all nodes."""
        now = self._wall_clock.read()
        answered: collections.defaultdict[
            attribution.TargetStart, set[ids.RequestDigest]
        ] = collections.defaultdict(set)
        for record in self._iterate_records():
            for digest, starts in record.answered.items():
                for start in starts:
                    answered[start].add(digest)
        times: dict[attribution.TargetStart, float] = {}
        requests: collections.defaultdict[
            attribution.TargetStart,
            dict[ids.RequestDigest, attribution.Presence],
        ] = collections.defaultdict(dict)
        for record in self._iterate_records():
            for report in record.reports:
                if report.is_expired(now) or self._is_refuted(report, now):
                    continue
                start = report.start
                # A clock that is ahead must not stop a request for longer.
                times[start] = min(report.at, times.get(start, now))
                known = requests[start]
                for digest, presence in report.requests.items():
                    if digest not in answered[start]:
                        known[digest] = known.get(digest, presence).include(
                            presence
                        )
        loop_time = asyncio.get_running_loop().time()
        self._settling.update(times, self._find_unwritten(), now, loop_time)
        return {
            start: attribution.Crash(
                at,
                requests[start],
                self._settling.is_settled(start, loop_time),
            )
            for start, at in times.items()
        }

    def _find_unwritten(self) -> set[attribution.TargetStart]:
        """Returns the crashes of this node that are not in the log yet."""
        record = self._records.by_node.get(self._node)
        written = record.content.reports if record is not None else []
        return {report.start for report in self._own.reports} - {
            report.start for report in written
        }

    def _adopt_own_record(self) -> None:
        """Takes over what this node wrote before its process was restarted."""
        record = self._records.by_node.get(self._node)
        if record is None or self._read.is_set():
            return
        known = {report.start for report in self._own.reports}
        self._own.reports += [
            report
            for report in record.content.reports
            if report.start not in known
        ]
        for digest, starts in record.content.answered.items():
            self._own.answered.setdefault(digest, starts)

    def _is_refuted(self, report: _Report, now: float) -> bool:
        """Returns whether the target of a report has not crashed.

        It is still registered then; a cut that refuses connections looks like
        a crash to the nodes behind it.
        """
        if now - report.at < _REGISTRATION_LAG_S or report.born is None:
            return False
        if not self._records.available:
            # The registry may be old too.
            return False
        target = self._targets.find(report.target)
        return (
            target is not None
            and target.removed_at is None
            and target.entry.started_at_ms == report.born
        )

    async def _write_changes(self) -> None:
        """Writes this node's record after each change.

        Not before the one that it wrote earlier has been read.
        """
        await self._read.wait()
        while True:
            await self._changed.wait()
            self._changed.clear()
            value = None
            if self._own.reports or self._own.answered or self._own.claims:
                value = msgspec.json.encode(self._own)
            if value == self._written:
                continue
            if await self._records.write(self._node, value):
                self._written = value
                await asyncio.sleep(_WRITE_INTERVAL_S)
            else:
                self._changed.set()
                await asyncio.sleep(_RETRY_INTERVAL_S)

    async def _drop_expired(self) -> None:
        while True:
            await asyncio.sleep(
                max(_UPDATE_INTERVAL_S, _UPDATE_PAUSE * self._merge_time)
            )
            if not (self._own.reports or self._records.by_node):
                continue
            now = self._wall_clock.read()
            self._own.reports = [
                report
                for report in self._own.reports
                if not report.is_expired(now)
            ]
            self._merge()
            self._own.answered = {
                digest: remaining
                for digest, starts in self._own.answered.items()
                if (remaining := [s for s in starts if s in self.crashes])
            }
            self._changed.set()
            await self._remove_record_of_lost_node()

    async def _remove_record_of_lost_node(self) -> None:
        """Removes a record that its node would have removed.

        One of many nodes does so, at random.
        """
        if self._rng.random() > _REMOVAL_PROBABILITY:
            return
        earliest = asyncio.get_running_loop().time() - _RECORD_LIFETIME_S
        for node, record in self._records.by_node.items():
            if node != self._node and record.read_at < earliest:
                await self._records.write(node, None)
                return


def name_start(
    instance: fleet.InstanceId, born: int | None
) -> attribution.TargetStart:
    """Returns the name of one run of a target."""
    return attribution.TargetStart(f'{instance}/{born}')
