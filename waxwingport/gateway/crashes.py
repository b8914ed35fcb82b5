"""Stops requests that crash targets, at all nodes.

A connection that closes before an answer may mean that its target crashed; a
target that refuses connections then has.  The node reports the requests that
the crash ended, all nodes read the reports of all, and each decides by the
same rule which requests are the cause.

While the log can't be reached, a node decides by what it saw and read before.
"""

import asyncio
import collections
from collections.abc import AsyncIterator
import contextlib
import logging
import random

from waxwingport import clocks
from waxwingport.fleet import model as fleet
from waxwingport.fleet import registry
from waxwingport.gateway import crash_reports
from waxwingport.http import client
from waxwingport import ids
from waxwingport.log import base
from waxwingport import metrics
from waxwingport.scheduling import attribution
from waxwingport.scheduling import probes

__all__ = ['CrashWatch']

_CHECK_TIMEOUT_S = 0.15
"""Time in which a target that runs accepts two connections, and one that does
not refuses them; the request is not sent elsewhere before."""
_LATE_TIMEOUT_S = 0.02
"""Delay of a timeout from which on this process counts as busy: the answer may
have arrived, unread, and gets the time again."""
_MAX_CHECK_PERIODS = 3
"""How often at most it gets that time: the request waits meanwhile."""
_SECOND_CHECK_S = 0.02
"""Time after which a target is checked again.  Its connections may close a
little before it refuses new ones."""
_VOUCHED_CRASHES = 2
"""Crashes from which on a node tells that it got an answer to a request."""
_MAX_VOUCH_DELAY_S = 0.25
"""Upper bound of the random time until it does: several times that of an
append and its read by all nodes."""
_GRANT_CHECK_INTERVAL_S = 0.02
"""Time between two checks whether a claim is granted: the delay of a read."""
_MAX_GRANT_WAIT_S = 2 * probes.CLAIM_LIFETIME_S
"""Longest wait for a grant: two claims before it may not be withdrawn."""
_MAX_ANSWERED = 4096
"""Requests remembered after an answer: a minute of those of a node at 46,000 a
second and 690 nodes."""

_LOG = logging.getLogger(__name__)


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
        self._http = http
        self._wall_clock = wall_clock
        self._metrics = counters
        self._rng = random.Random()
        self._reports = crash_reports.CrashReports(
            log, node, targets, wall_clock, self._judge
        )
        self._checks: dict[attribution.TargetStart, asyncio.Task[bool]] = {}
        self._answered: collections.OrderedDict[ids.RequestDigest, float] = (
            collections.OrderedDict()
        )
        """Loop time of the last answer to each request."""
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

    @contextlib.asynccontextmanager
    async def probe(
        self,
        target: fleet.Target,
        digest: ids.RequestDigest | None,
        latest_start: float,
    ) -> AsyncIterator[bool]:
        """Yields whether a request may be sent to a target.

        One that was at three crashes waits until no other try of it is at a
        target and no other such request at this one, up to the loop time
        ``latest_start``.  Others follow when the context ends.
        """
        suspicion = self._suspicions.get(digest) if digest else None
        if (
            suspicion is None
            or not suspicion.needs_claim
            or self._was_answered(digest)
        ):
            yield True
            return
        claim = self._reports.add_claim(target, digest)
        if claim is None:
            yield False
            return
        try:
            yield await self._wait_for_grant(claim, target, latest_start)
        finally:
            self._reports.remove_claim(claim)

    async def _wait_for_grant(
        self, claim: probes.Claim, target: fleet.Target, latest_start: float
    ) -> bool:
        """Waits for a grant; returns whether the request may be sent."""
        loop = asyncio.get_running_loop()
        waits_since = loop.time()
        end = min(latest_start, waits_since + _MAX_GRANT_WAIT_S)
        avoided_until = target.avoided_until
        outcome = 'too late'
        while loop.time() < end:
            if claim.digest not in self._suspicions:
                outcome = 'cleared'
            elif self.is_stopped(claim.digest):
                outcome = 'stopped'
            elif target.avoided_until > avoided_until:
                outcome = 'target failed'
            elif self._reports.is_granted(claim):
                outcome = 'granted'
            else:
                await asyncio.sleep(_GRANT_CHECK_INTERVAL_S)
                continue
            break
        _LOG.info(
            'probe-claimed',
            extra={
                'digest': claim.digest,
                'instance': target.entry.instance,
                'outcome': outcome,
                'waited_s': round(loop.time() - waits_since, 3),
            },
        )
        return outcome in ('granted', 'cleared')

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
        start = crash_reports.name_start(
            target.entry.instance, target.entry.started_at_ms
        )
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
        await self._reports.run()

    async def _has_ended(self, target: fleet.Target) -> bool:
        loop = asyncio.get_running_loop()
        check = loop.create_task(self._refuses_twice(target.entry.address))
        try:
            for _ in range(_MAX_CHECK_PERIODS):
                due_at = loop.time() + _CHECK_TIMEOUT_S
                done, _ = await asyncio.wait([check], timeout=_CHECK_TIMEOUT_S)
                if done:
                    return check.result()
                if loop.time() - due_at < _LATE_TIMEOUT_S:
                    break
        finally:
            check.cancel()
        # The target is cut off, as far as can be told.
        return False

    async def _refuses_twice(self, address: str) -> bool:
        """Returns whether one of two connections is refused."""
        if await self._http.is_refused(address):
            return True
        await asyncio.sleep(_SECOND_CHECK_S)
        return await self._http.is_refused(address)

    def _report(
        self, target: fleet.Target, digest: ids.RequestDigest, age: float
    ) -> None:
        entry = target.entry
        if self._reports.add_crash(target):
            self._metrics.count(
                'waxwingport_targets_crashed_total',
                'Targets that crashed while they ran requests of this node.',
                service=entry.service,
            )
        answered_before = self._was_answered(digest)
        reported = not answered_before and self._reports.add(
            target, digest, age, self.is_suspect(digest)
        )
        suspicion = self._suspicions.get(digest)
        _LOG.info(
            'target-crashed',
            extra={
                'instance': entry.instance,
                'born': entry.started_at_ms,
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

    def _clear(self, digest: ids.RequestDigest) -> None:
        """Withdraws a request from the crashes that are known."""
        _LOG.info(
            'suspicion-cleared',
            extra={
                'digest': digest,
                'crashes': self._suspicions[digest].crashes,
                'stopped': digest in self._stopped,
            },
        )
        self._reports.withdraw(digest)

    def _judge(self) -> None:
        """Computes from the reports which requests are stopped."""
        self._suspicions = attribution.find_suspicions(self._reports.crashes)
        self._log_changes()
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

    def _log_changes(self) -> None:
        now = self._wall_clock.read()
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
                    'unsettled': suspicion.unsettled,
                    'targets': [
                        start
                        for start, crash in self._reports.crashes.items()
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
