"""Replay of calls at engines that crash, in virtual time.

Some calls crash the engines that run them, others are only there.  The calls
that a rule of blame stops reach no engine; the engines are a model.
"""

import collections
import functools
import itertools
import random

import msgspec

from waxwingport.experiment import agenda
from waxwingport.experiment import patterns
from waxwingport.experiment import policies
from waxwingport import ids
from waxwingport.membership import rendezvous
from waxwingport.scheduling import attribution
from waxwingport.scheduling import probes

__all__ = ['CrashOutcome', 'replay']

_CRASH_DELAY_S = 0.05
"""Time from the start of a run to the crash that it causes."""
_MAX_ATTEMPTS = 3
_RETRIES = 5
"""Further tries of a caller whose call failed."""
_RETRY_DELAY_S = 0.2
_CLAIM_DELAY_S = 0.1
"""Time in which all nodes read a claim."""
_CLAIM_CHECK_INTERVAL_S = 0.05
_MAX_CLAIM_WAIT_S = 2.0
"""Time after which the caller of a call that waits for others gives up."""
_NODE = ids.NodeName('any')
_SETTLING_S = 3.0
"""Time after the third crash from which on a request should be stopped."""


class CrashOutcome(msgspec.Struct, frozen=True):
    """What a replay has shown."""

    crashes: int
    """Crashes that calls have caused."""
    kills: int
    """Engines that ended for other reasons."""
    late_sends: int
    """Calls that crash engines and reached one too late."""
    refused: int
    """Other calls that were stopped."""
    served: int
    """Other calls that were answered."""
    others: int
    """All other calls."""


class _Engine(msgspec.Struct, eq=False):
    name: str
    starts: int = 0
    up: bool = True
    calls: list['_Call'] = []

    @property
    def start(self) -> attribution.TargetStart:
        return attribution.TargetStart(f'{self.name}/{self.starts}')


class _Call(msgspec.Struct, eq=False):
    digest: ids.RequestDigest
    settings: patterns.CallSettings
    tried: set[str]
    engine: _Engine | None = None
    attempts: int = 0
    crashes: int = 0
    retries: int = 0
    sent_at: float = 0.0
    claim: probes.Claim | None = None
    claimed_at: float = 0.0


class _Judgement(msgspec.Struct, frozen=True):
    stopped: set[ids.RequestDigest]
    suspicions: dict[ids.RequestDigest, attribution.Suspicion]


def replay(
    pattern: patterns.Pattern, policy: policies.Policy, seed: int
) -> CrashOutcome:
    """Plays a pattern with calls once; equal arguments, equal outcomes."""
    return _Replay(pattern, policy, seed).run()


class _Replay:
    def __init__(
        self, pattern: patterns.Pattern, policy: policies.Policy, seed: int
    ) -> None:
        self._pattern = pattern
        self._rule = policy.blame_rule
        self._isolates = policy.isolates_suspects
        self._needs_claims = policy.claims_suspects
        self._rng = random.Random(seed)
        self._agenda = agenda.Agenda()
        self._engines = [
            _Engine(f'engine-{number}')
            for number in range(pattern.engines.count)
        ]
        self._known: dict[attribution.TargetStart, attribution.Crash] = {}
        self._crash_times: collections.defaultdict[
            ids.RequestDigest, list[float]
        ] = collections.defaultdict(list)
        self._judged: _Judgement | None = None
        """What the policy says of the known crashes, until they change."""
        self._answered_at: dict[ids.RequestDigest, float] = {}
        self._claims: dict[probes.ClaimKey, None] = {}
        self._claim_numbers = itertools.count()
        self._claim_order = probes.ProbeOrder()
        self._counts: collections.Counter[str] = collections.Counter()

    def run(self) -> CrashOutcome:
        for settings in self._pattern.calls:
            for number in range(round(settings.seconds / settings.gap)):
                at = settings.at + settings.gap * (
                    number + self._rng.uniform(-0.5, 0.5)
                )
                self._agenda.schedule(
                    at, functools.partial(self._ask, settings, number)
                )
        for fault in self._pattern.faults:
            self._agenda.schedule(
                fault.at, functools.partial(self._kill, fault)
            )
        while self._agenda:
            self._agenda.pop()()
        return CrashOutcome(
            self._counts['crashes'],
            self._counts['kills'],
            self._counts['late'],
            self._counts['refused'],
            self._counts['served'],
            self._counts['others'],
        )

    def _ask(self, settings: patterns.CallSettings, number: int) -> None:
        name = settings.name if settings.same else f'{settings.name}-{number}'
        if not settings.crashes:
            self._counts['others'] += 1
        self._send(_Call(ids.RequestDigest(name), settings, set()))

    def _send(self, call: _Call) -> None:
        """Sends a call to an engine that it has not tried, if it may."""
        if call.digest in self._judge().stopped:
            self._withdraw(call)
            if not call.settings.crashes:
                self._counts['refused'] += 1
            return
        ready = [
            engine
            for engine in self._engines
            if engine.up and engine.name not in call.tried
        ]
        if (
            not ready
            or call.attempts >= _MAX_ATTEMPTS
            or call.crashes >= attribution.MAX_CRASHES_PER_TRY
        ):
            self._withdraw(call)
            self._retry(call)
            return
        engine = self._choose(call, ready)
        if self._needs_claim(call) and not self._may_probe(call, engine):
            self._await_grant(call)
            return
        call.attempts += 1
        call.tried.add(engine.name)
        call.engine = engine
        call.sent_at = self._agenda.now
        engine.calls.append(call)
        if call.settings.crashes:
            if call.attempts == 1:
                self._record_late(call)
            self._agenda.schedule(
                self._agenda.now + _CRASH_DELAY_S,
                functools.partial(self._crash, call, engine),
            )
        else:
            self._agenda.schedule(
                self._agenda.now + call.settings.duration,
                functools.partial(self._answer, call, engine),
            )

    def _needs_claim(self, call: _Call) -> bool:
        suspicion = self._judge().suspicions.get(call.digest)
        return (
            self._needs_claims
            and suspicion is not None
            and suspicion.needs_claim
            and not self._was_answered(call.digest)
        )

    def _may_probe(self, call: _Call, engine: _Engine) -> bool:
        """Returns whether no other try of the call, or suspect, is in the way.

        The call claims the engine first.
        """
        now = self._agenda.now
        if call.claim is None:
            call.claimed_at = now
        if call.claim is None or call.claim.target != engine.start:
            self._withdraw(call)
            call.claim = probes.Claim(
                call.digest, engine.start, next(self._claim_numbers)
            )
            self._claims[_NODE, call.claim] = None
            self._claim_order.update(self._claims, now)
        return (
            self._claim_order.is_granted((_NODE, call.claim), now)
            and now - call.claimed_at >= _CLAIM_DELAY_S
        )

    def _await_grant(self, call: _Call) -> None:
        if self._agenda.now - call.claimed_at > _MAX_CLAIM_WAIT_S:
            self._withdraw(call)
            self._retry(call)
            return
        self._agenda.schedule(
            self._agenda.now + _CLAIM_CHECK_INTERVAL_S,
            functools.partial(self._send, call),
        )

    def _withdraw(self, call: _Call) -> None:
        if call.claim is not None:
            del self._claims[_NODE, call.claim]
            call.claim = None
            self._claim_order.update(self._claims, self._agenda.now)

    def _judge(self) -> _Judgement:
        if self._judged is None:
            self._judged = _Judgement(
                self._rule.find_stopped(self._known, self._agenda.now),
                attribution.find_suspicions(self._known),
            )
        return self._judged

    def _choose(self, call: _Call, ready: list[_Engine]) -> _Engine:
        suspicion = self._judge().suspicions.get(call.digest)
        if suspicion is not None and self._isolates:
            key = attribution.make_placement_key(call.digest, suspicion)
            name = rendezvous.pick(key, [engine.name for engine in ready])
            return next(engine for engine in ready if engine.name == name)
        return min(
            ready, key=lambda found: (len(found.calls), self._rng.random())
        )

    def _retry(self, call: _Call) -> None:
        """The caller sends a call again that has failed."""
        if call.settings.crashes or call.retries >= _RETRIES:
            return
        again = _Call(call.digest, call.settings, set())
        again.retries = call.retries + 1
        self._agenda.schedule(
            self._agenda.now + _RETRY_DELAY_S,
            functools.partial(self._send, again),
        )

    def _record_late(self, call: _Call) -> None:
        times = self._crash_times[call.digest]
        if len(times) >= 3 and self._agenda.now > times[2] + _SETTLING_S:
            self._counts['late'] += 1

    def _answer(self, call: _Call, engine: _Engine) -> None:
        if call.engine is not engine:
            return
        engine.calls.remove(call)
        call.engine = None
        self._withdraw(call)
        self._counts['served'] += 1
        if not self._rule.clears:
            return
        self._answered_at[call.digest] = self._agenda.now
        for start, crash in self._known.items():
            if call.digest in crash.candidates:
                self._judged = None
                others = dict(crash.candidates)
                del others[call.digest]
                self._known[start] = attribution.Crash(crash.at, others)

    def _crash(self, call: _Call, engine: _Engine) -> None:
        if call.engine is not engine:
            return
        self._counts['crashes'] += 1
        self._crash_times[call.digest].append(self._agenda.now)
        self._end(engine, self._pattern.engines.down_time)

    def _kill(self, fault: patterns.Fault) -> None:
        """Ends the first engines that run, as many as the fault says."""
        ready = [engine for engine in self._engines if engine.up]
        first = self._rng.randrange(max(1, len(ready)))
        for engine in (ready[first:] + ready[:first])[: fault.engines]:
            self._counts['kills'] += 1
            self._end(engine, fault.seconds)

    def _end(self, engine: _Engine, seconds: float) -> None:
        lost, engine.calls = engine.calls, []
        engine.up = False
        self._judged = None
        candidates: dict[ids.RequestDigest, attribution.Presence] = {}
        for call in lost:
            if not self._was_answered(call.digest):
                age = self._agenda.now - call.sent_at
                presence = attribution.Presence(age, age)
                candidates[call.digest] = candidates.get(
                    call.digest, presence
                ).include(presence)
        self._known[engine.start] = attribution.Crash(
            self._agenda.now, candidates
        )
        self._agenda.schedule(
            self._agenda.now + seconds,
            functools.partial(self._restart, engine),
        )
        for call in lost:
            call.engine = None
            call.crashes += 1
            self._withdraw(call)
            self._send(call)

    def _was_answered(self, digest: ids.RequestDigest) -> bool:
        at = self._answered_at.get(digest, float('-inf'))
        return self._agenda.now - at <= attribution.ANSWER_VALIDITY_S

    def _restart(self, engine: _Engine) -> None:
        engine.starts += 1
        engine.up = True
