"""Stops requests that crash targets, at all nodes.

A connection that closes before an answer may mean that its target crashed; a
target that refuses connections then has.  The node reports the requests that
the crash ended, all nodes read the reports of all, and each decides by the
same rule which requests are the cause.

While the log can't be reached, a node decides by what it saw and read before.
"""

import asyncio
import collections
from collections.abc import Iterator
import logging
import random

from expression import Error
from expression import Ok
from expression import Result
import msgspec

from waxwingport import clocks
from waxwingport.fleet import model as fleet
from waxwingport.fleet import registry
from waxwingport.http import client
from waxwingport import ids
from waxwingport.log import base
from waxwingport.log import node_records
from waxwingport import metrics
from waxwingport.scheduling import attribution

__all__ = ['CrashWatch']

_TOPIC = base.Topic('keyed.crashes')
_CHECK_TIMEOUT_S = 0.15
"""Time in which a target that runs accepts two connections, and one that does
not refuses them; the request is not sent elsewhere before."""
_SECOND_CHECK_S = 0.02
"""Time after which a target is checked again.  Its connections may close a
little before it refuses new ones."""
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
_REGISTRATION_LAG_S = 10.0
"""Time after which a target that crashed is no longer registered with the same
start: three of its heartbeats, and some for the log."""
_WRITE_INTERVAL_S = 0.1
"""Least time between two writes of this node's record."""
_RETRY_INTERVAL_S = 0.5
"""Time after which a write that failed is repeated."""
_UPDATE_INTERVAL_S = 1.0
"""Time between two checks for reports to drop."""
_REMOVAL_PROBABILITY = 0.01
"""Probability with which a node removes another's old record at an update:
of 690 nodes a few do so in the first second."""
_VOUCHED_CRASHES = 2
"""Crashes from which on a node tells that it got an answer to a request."""
_MAX_VOUCH_DELAY_S = 0.1
"""Upper bound of the random time until it does: some appends and reads."""
_MAX_CLEARED = 256
"""Requests in the record of a node that were answered after a crash."""
_MAX_ANSWERED = 4096
"""Requests remembered after an answer: a minute of those of a node at 46,000 a
second and 690 nodes."""
_DECODE_ERRORS = (msgspec.DecodeError, UnicodeError)

_LOG = logging.getLogger(__name__)


class _Report(msgspec.Struct, eq=False):
    """A crash of a target, as one node saw it."""

    target: fleet.InstanceId
    born: int | None
    """Start of the target in milliseconds since 1970, if known."""
    at: float
    """Seconds since 1970."""
    requests: dict[ids.RequestDigest, float]
    """This node's requests that the crash ended, without those that were
    answered since, with the seconds since they were sent."""

    @property
    def start(self) -> attribution.TargetStart:
        return _name_start(self.target, self.born)

    def is_expired(self, now: float) -> bool:
        lifetime = _REPORT_LIFETIME_S if self.requests else _EMPTY_LIFETIME_S
        return now - self.at > lifetime


class _Record(msgspec.Struct, eq=False):
    """What a node has to say of crashes."""

    reports: list[_Report] = []
    answered: dict[ids.RequestDigest, list[attribution.TargetStart]] = {}
    """Requests that were answered after crashes that other nodes reported."""


class CrashWatch:
    """Knows which requests crash targets."""

    def __init__(
        self,
        log: base.PartitionLog,
        node: ids.NodeName,
        targets: registry.Registry,
        http: client.HttpClient,
        wall_clock: clocks.WallClock,
        counters: metrics.Metrics,
    ) -> None:
        self._node = node
        self._targets = targets
        self._http = http
        self._wall_clock = wall_clock
        self._metrics = counters
        self._rng = random.Random()
        self._records = node_records.NodeRecords(
            log, _TOPIC, _decode, self._update
        )
        self._own = _Record()
        self._read = asyncio.Event()
        """Set once the records of all nodes have been read."""
        self._changed = asyncio.Event()
        """Set while this node's record is not written."""
        self._written: bytes | None = None
        self._checks: dict[attribution.TargetStart, asyncio.Task[bool]] = {}
        self._answered: collections.OrderedDict[ids.RequestDigest, float] = (
            collections.OrderedDict()
        )
        """Loop time of the last answer to each request."""
        self._crashes: dict[attribution.TargetStart, attribution.Crash] = {}
        self._suspicions: dict[ids.RequestDigest, attribution.Suspicion] = {}
        self._stopped: set[ids.RequestDigest] = set()
        self._vouching: set[ids.RequestDigest] = set()
        """Suspects that this node is about to clear."""

    def is_suspect(self, digest: ids.RequestDigest | None) -> bool:
        """Returns whether a request was at a crash and not answered since."""
        return digest in self._suspicions

    def is_stopped(self, digest: ids.RequestDigest | None) -> bool:
        """Returns whether a request may reach no target."""
        return self.compute_stop(digest) > 0.0

    def compute_stop(self, digest: ids.RequestDigest | None) -> float:
        """Returns the seconds for which a request may reach no target."""
        suspicion = self._suspicions.get(digest) if digest else None
        if suspicion is None:
            return 0.0
        return suspicion.compute_remaining(self._wall_clock.read())

    def record_answer(self, digest: ids.RequestDigest | None) -> None:
        """Records that a target ran a request and answered."""
        if digest is None:
            return
        self._answered[digest] = asyncio.get_running_loop().time()
        self._answered.move_to_end(digest)
        if len(self._answered) > _MAX_ANSWERED:
            self._answered.popitem(last=False)
        if digest in self._suspicions:
            self._clear(digest)

    def make_placement_key(
        self, digest: ids.RequestDigest | None
    ) -> str | None:
        """Returns the key by which a suspected request is placed, if it is."""
        suspicion = self._suspicions.get(digest) if digest else None
        if suspicion is None:
            return None
        return attribution.make_placement_key(digest, suspicion)

    async def examine(
        self,
        target: fleet.Target,
        digest: ids.RequestDigest | None,
        sent_at: float,
    ) -> bool:
        """Returns whether a target crashed that closed a connection.

        Reports the request that it ran, sent at the loop time ``sent_at``.  A
        target that leaves ends as it has said.
        """
        age = asyncio.get_running_loop().time() - sent_at
        if digest is None or target.stage is not fleet.Stage.READY:
            return False
        start = _name_start(target.entry.instance, target.entry.started_at_ms)
        check = self._checks.get(start)
        if check is None:
            check = asyncio.get_running_loop().create_task(
                self._has_ended(target)
            )
            self._checks[start] = check
            check.add_done_callback(lambda _: self._checks.pop(start))
        if not await asyncio.shield(check):
            return False
        self._report(target, digest, age)
        return True

    async def run(self) -> None:
        """Exchanges reports with the other nodes until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._records.follow(self._read))
            group.create_task(self._write_changes())
            group.create_task(self._drop_expired())

    async def _has_ended(self, target: fleet.Target) -> bool:
        address = target.entry.address
        try:
            async with asyncio.timeout(_CHECK_TIMEOUT_S):
                if await self._http.is_refused(address):
                    return True
                await asyncio.sleep(_SECOND_CHECK_S)
                return await self._http.is_refused(address)
        except TimeoutError:
            # The target is cut off, as far as can be told.
            return False

    def _report(
        self, target: fleet.Target, digest: ids.RequestDigest, age: float
    ) -> None:
        answered_before = self._was_answered(digest)
        known = digest in self._suspicions
        report = self._find_report(target, known)
        reported = (
            report is not None
            and not answered_before
            and (known or len(report.requests) < _MAX_CANDIDATES)
        )
        if reported and digest not in report.requests:
            report.requests[digest] = round(age, 3)
            self._record_change()
        suspicion = self._suspicions.get(digest)
        _LOG.info(
            'target-crashed',
            extra={
                'instance': target.entry.instance,
                'born': target.entry.started_at_ms,
                'digest': digest,
                'reported': reported,
                'answered_before': answered_before,
                'company': target.running,
                'age_s': round(age, 3),
                'crashes': suspicion.crashes if suspicion else 0,
            },
        )

    def _was_answered(self, digest: ids.RequestDigest) -> bool:
        """Returns whether a request was answered a short time ago."""
        at = self._answered.get(digest, float('-inf'))
        age = asyncio.get_running_loop().time() - at
        return age <= attribution.ANSWER_VALIDITY_S

    def _find_report(
        self, target: fleet.Target, suspected: bool
    ) -> _Report | None:
        """Returns this node's report of a crash, a new one if there is none.

        Returns ``None`` if too many targets crash for new reports of requests
        that are not suspected.
        """
        entry = target.entry
        start = _name_start(entry.instance, entry.started_at_ms)
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
        self._metrics.count(
            'waxwingport_targets_crashed_total',
            'Targets that crashed while they ran requests of this node.',
            service=entry.service,
        )
        return made

    def _clear(self, digest: ids.RequestDigest) -> None:
        """Withdraws a request from the crashes that are known."""
        suspicion = self._suspicions[digest]
        for report in self._own.reports:
            report.requests.pop(digest, None)
        others = [
            start
            for start, crash in self._crashes.items()
            if digest in crash.candidates
        ]
        if others:
            known = self._own.answered.pop(digest, [])
            self._own.answered[digest] = sorted({*known, *others})
        if len(self._own.answered) > _MAX_CLEARED:
            del self._own.answered[next(iter(self._own.answered))]
        _LOG.info(
            'suspicion-cleared',
            extra={
                'digest': digest,
                'crashes': suspicion.crashes,
                'stopped': digest in self._stopped,
            },
        )
        self._record_change()

    def _record_change(self) -> None:
        self._update()
        self._changed.set()

    def _iterate_records(self) -> Iterator[_Record]:
        """Yields the records of all nodes; this node's own is the newest."""
        yield self._own
        for node, record in self._records.by_node.items():
            if node != self._node:
                yield record.content

    def _update(self) -> None:
        """Computes from the records which requests are stopped."""
        self._adopt_own_record()
        now = self._wall_clock.read()
        answered: collections.defaultdict[
            attribution.TargetStart, set[ids.RequestDigest]
        ] = collections.defaultdict(set)
        for record in self._iterate_records():
            for digest, starts in record.answered.items():
                for start in starts:
                    answered[start].add(digest)
        found: dict[attribution.TargetStart, attribution.Crash] = {}
        for record in self._iterate_records():
            for report in record.reports:
                if report.is_expired(now) or self._is_refuted(report, now):
                    continue
                start = report.start
                candidates = {
                    digest: age
                    for digest, age in report.requests.items()
                    if digest not in answered[start]
                }
                # A clock that is ahead must not stop a request for longer.
                at = min(report.at, now)
                before = found.get(start)
                if before is not None:
                    at = min(at, before.at)
                    for digest, age in before.candidates.items():
                        candidates[digest] = min(
                            age, candidates.get(digest, age)
                        )
                found[start] = attribution.Crash(at, candidates)
        self._crashes = found
        self._suspicions = attribution.find_suspicions(found)
        self._log_changes(now)
        self._vouch_for_suspects()

    def _vouch_for_suspects(self) -> None:
        """Clears suspects that were answered at this node a short time ago.

        Other nodes may only have sent them to targets that crashed.
        """
        loop = asyncio.get_running_loop()
        for digest, suspicion in self._suspicions.items():
            if (
                suspicion.crashes >= _VOUCHED_CRASHES
                and digest not in self._vouching
                and self._was_answered(digest)
            ):
                self._vouching.add(digest)
                # Of many nodes that could do so the first ones suffice.
                delay = self._rng.uniform(0.0, _MAX_VOUCH_DELAY_S)
                loop.call_later(delay, self._vouch, digest)

    def _vouch(self, digest: ids.RequestDigest) -> None:
        self._vouching.discard(digest)
        if digest in self._suspicions and self._was_answered(digest):
            self._clear(digest)

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

    def _log_changes(self, now: float) -> None:
        stopped = {
            digest
            for digest, suspicion in self._suspicions.items()
            if suspicion.compute_remaining(now) > 0.0
        }
        for digest in stopped - self._stopped:
            suspicion = self._suspicions[digest]
            self._metrics.count(
                'waxwingport_requests_stopped_total',
                'Requests that were found to crash targets.',
            )
            _LOG.warning(
                'request-stopped',
                extra={
                    'digest': digest,
                    'crashes': suspicion.crashes,
                    'credit': suspicion.credit,
                    'unexplained': suspicion.unexplained,
                    'targets': [
                        start
                        for start, crash in self._crashes.items()
                        if digest in crash.candidates
                    ],
                    'stop_s': round(suspicion.compute_remaining(now), 1),
                },
            )
        for digest in self._stopped - stopped:
            _LOG.info(
                'request-released',
                extra={
                    'digest': digest,
                    'cleared': digest not in self._suspicions,
                },
            )
        self._stopped = stopped
        self._metrics.set(
            'waxwingport_requests_suspected',
            'Requests that were at a crash and not answered since.',
            len(self._suspicions),
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
            if self._own.reports or self._own.answered:
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
            await asyncio.sleep(_UPDATE_INTERVAL_S)
            if not (self._own.reports or self._records.by_node):
                continue
            now = self._wall_clock.read()
            self._own.reports = [
                report
                for report in self._own.reports
                if not report.is_expired(now)
            ]
            self._update()
            self._own.answered = {
                digest: remaining
                for digest, starts in self._own.answered.items()
                if (remaining := [s for s in starts if s in self._crashes])
            }
            self._changed.set()
            await self._remove_record_of_lost_node()

    async def _remove_record_of_lost_node(self) -> None:
        """Removes a record that its node would have removed.

        One of many nodes does so, at random.
        """
        if self._rng.random() > _REMOVAL_PROBABILITY:
            return
        earliest = asyncio.get_running_loop().time() - 2 * _REPORT_LIFETIME_S
        for node, record in self._records.by_node.items():
            if node != self._node and record.read_at < earliest:
                await self._records.write(node, None)
                return


def _name_start(
    instance: fleet.InstanceId, born: int | None
) -> attribution.TargetStart:
    return attribution.TargetStart(f'{instance}/{born}')


def _decode(value: bytes) -> Result[_Record, str]:
    try:
        return Ok(msgspec.json.decode(value, type=_Record))
    except _DECODE_ERRORS as error:
        return Error(str(error))
