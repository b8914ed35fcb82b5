"""Replay of callers at engines of several nodes, in virtual time.

Each node decides by the functions that a gateway node uses (choice of a
target, refusal, load reports, health); the engines are a model.  They run
calls in the order of their arrival and leave out those whose callers have
gone.
"""

import collections
from collections.abc import Mapping
from collections.abc import Sequence
import functools
import math
import random
import statistics

import msgspec

from waxwingport.experiment import agenda
from waxwingport.experiment import machines
from waxwingport.experiment import patterns
from waxwingport.experiment import policies
from waxwingport.fleet import health
from waxwingport.fleet import model as fleet
from waxwingport.gateway import attempts
from waxwingport.gateway import dialect
from waxwingport.gateway import hedging
from waxwingport import ids
from waxwingport.scheduling import choice

__all__ = [
    'Arrival',
    'KindOutcome',
    'LoadOutcome',
    'draw_arrivals',
    'merge',
    'replay',
    'summarise',
]

_TRANSIT_S = 0.002
"""Time of a message between a node and an engine."""
_DATA_CENTRE = ids.DataCentre('here')


class KindOutcome(msgspec.Struct, frozen=True):
    """What the callers of one kind got."""

    name: str
    times: tuple[float, ...]
    """Seconds to the answer of each call that was answered in time."""
    late: int
    """Calls that were not answered in time."""
    refused: int

    @property
    def calls(self) -> int:
        """All calls of the kind."""
        return len(self.times) + self.late + self.refused

    @property
    def mean(self) -> float:
        """Mean seconds to an answer in time, 0 without one."""
        return statistics.mean(self.times) if self.times else 0.0

    def find_quantile(self, share: float) -> float:
        """Returns a quantile of the answer times in seconds, or 0."""
        times = sorted(self.times)
        return times[math.ceil(share * len(times)) - 1] if times else 0.0


def merge(outcomes: Sequence[KindOutcome]) -> KindOutcome:
    """Returns the outcome of several replays of one kind together."""
    return KindOutcome(
        outcomes[0].name,
        tuple(time for outcome in outcomes for time in outcome.times),
        sum(outcome.late for outcome in outcomes),
        sum(outcome.refused for outcome in outcomes),
    )


class LoadOutcome(msgspec.Struct, frozen=True):
    """What a replay has shown."""

    kinds: tuple[KindOutcome, ...]
    busiest: float
    """Calls at the busiest engine for its speed, over the mean of all."""
    idle_refusals: int
    """Calls refused while an engine had a free slot and nothing waited
    there."""


class Arrival(msgspec.Struct, frozen=True):
    """A call that comes to a node."""

    settings: patterns.CallerSettings
    at: float
    work: float
    """Seconds that it takes at the usual speed."""
    node: int
    tenant: str


def draw_arrivals(
    pattern: patterns.Pattern, rng: random.Random
) -> list[Arrival]:
    """Returns all calls of a pattern; the same ones for every policy."""
    arrivals: list[Arrival] = []
    for settings in pattern.callers:
        own = random.Random(rng.random())
        at = 0.0
        rise_end = settings.rise_at + settings.rise_seconds
        while True:
            risen = settings.rise_at <= at < rise_end
            rate = (settings.rise if risen else 1.0) / settings.gap
            at += own.expovariate(rate)
            if at >= pattern.seconds:
                break
            work = settings.duration * own.lognormvariate(
                -(settings.spread**2) / 2, settings.spread
            )
            tenant = f'{settings.name}-{own.randrange(settings.count)}'
            node = own.randrange(pattern.nodes)
            arrivals.append(Arrival(settings, at, work, node, tenant))
    return sorted(arrivals, key=lambda arrival: arrival.at)


def summarise(
    times: Mapping[str, Sequence[float]],
    counts: Mapping[tuple[str, str], int],
    served: Sequence[tuple[int, float]],
    idle_refusals: int = 0,
) -> LoadOutcome:
    """Returns the outcome of a replay.

    ``times`` has the answer times of each kind, ``counts`` its calls that
    were late and refused, ``served`` the calls and the speed of each engine.
    """
    shares = [calls / speed for calls, speed in served]
    return LoadOutcome(
        tuple(
            KindOutcome(
                name,
                tuple(found),
                counts[name, 'late'],
                counts[name, 'refused'],
            )
            for name, found in times.items()
        ),
        max(shares) * len(shares) / max(1.0, sum(shares)),
        idle_refusals,
    )


class _Call(msgspec.Struct, eq=False):
    settings: patterns.CallerSettings
    node: '_Node'
    work: float
    asked_at: float
    target: fleet.Target | None = None


class _Node:
    """A node with what it has observed of the engines."""

    def __init__(self, settings: patterns.EngineSettings) -> None:
        self.targets = [
            fleet.Target(
                fleet.TargetEntry(
                    fleet.InstanceId(str(number)),
                    ids.ServiceName('engines'),
                    '',
                    _DATA_CENTRE,
                    settings.slots,
                    fleet.Stage.READY,
                    1,
                    {},
                ),
                proven=True,
            )
            for number in range(settings.count)
        ]
        self.times: collections.defaultdict[str, hedging.ResponseTimes] = (
            collections.defaultdict(hedging.ResponseTimes)
        )


class _Engine:
    def __init__(self, machine: machines.Machine) -> None:
        self.machine = machine
        self.running = 0
        self.waiting: collections.deque[_Call] = collections.deque()
        self.served = 0


def replay(
    pattern: patterns.Pattern, policy: policies.Policy, seed: int
) -> LoadOutcome:
    """Plays a pattern with callers once; equal arguments, equal outcomes."""
    return _Replay(pattern, policy, seed).run()


class _Replay:
    def __init__(
        self, pattern: patterns.Pattern, policy: policies.Policy, seed: int
    ) -> None:
        self._pattern = pattern
        self._policy = policy
        self._rng = random.Random(seed)
        self._agenda = agenda.Agenda()
        settings = pattern.engines
        self._engines = [
            _Engine(machines.Machine(number, settings, seed))
            for number in range(settings.count)
        ]
        self._nodes = [_Node(settings) for _ in range(pattern.nodes)]
        self._times: dict[str, list[float]] = {}
        self._counts: collections.Counter[tuple[str, str]] = (
            collections.Counter()
        )
        self._idle_refusals = 0

    def run(self) -> LoadOutcome:
        for settings in self._pattern.callers:
            self._times[settings.name] = []
        for arrival in draw_arrivals(self._pattern, self._rng):
            call = _Call(
                arrival.settings,
                self._nodes[arrival.node],
                arrival.work,
                arrival.at,
            )
            self._agenda.schedule(
                arrival.at, functools.partial(self._ask, call)
            )
        while self._agenda:
            self._agenda.pop()()
        return summarise(
            self._times,
            self._counts,
            [
                (engine.served, engine.machine.speed)
                for engine in self._engines
            ],
            self._idle_refusals,
        )

    def _ask(self, call: _Call) -> None:
        now = self._agenda.now
        node, settings = call.node, call.settings
        times = node.times[settings.name]
        if hedging.is_infeasible(node.targets, times, settings.timeout, now):
            self._counts[settings.name, 'refused'] += 1
            self._idle_refusals += any(
                engine.running < self._pattern.engines.slots
                for engine in self._engines
            )
            return
        target = choice.choose(
            node.targets,
            _DATA_CENTRE,
            now,
            self._rng,
            times.mean,
            self._policy.choice_settings,
        )
        if target is None:
            return
        call.target = target
        target.running += 1
        engine = self._engines[int(target.entry.instance)]
        self._agenda.schedule(
            now + _TRANSIT_S, functools.partial(self._arrive, call, engine)
        )

    def _arrive(self, call: _Call, engine: _Engine) -> None:
        engine.waiting.append(call)
        self._start_waiting(engine)

    def _start_waiting(self, engine: _Engine) -> None:
        now = self._agenda.now
        while engine.waiting and engine.running < self._pattern.engines.slots:
            call = engine.waiting.popleft()
            if now >= call.asked_at + call.settings.timeout:
                self._drop(call)
                continue
            engine.running += 1
            engine.served += 1
            self._agenda.schedule(
                engine.machine.find_end(now, call.work),
                functools.partial(self._finish, call, engine),
            )

    def _drop(self, call: _Call) -> None:
        self._counts[call.settings.name, 'late'] += 1
        if call.target is not None:
            call.target.running -= 1

    def _finish(self, call: _Call, engine: _Engine) -> None:
        engine.running -= 1
        self._start_waiting(engine)
        now = self._agenda.now
        slowdown = (
            engine.machine.read_slowdown(now)
            if self._policy.reads_slowdown
            else None
        )
        head = dialect.AnswerHead(
            request_id=None,
            not_run=False,
            moved=False,
            signature=None,
            active_requests=engine.running + len(engine.waiting),
            slots=self._pattern.engines.slots,
            version=None,
            retry_after=None,
            slowdown=slowdown,
        )
        self._agenda.schedule(
            now + _TRANSIT_S, functools.partial(self._answer, call, head)
        )

    def _answer(self, call: _Call, head: dialect.AnswerHead) -> None:
        now = self._agenda.now
        target, settings = call.target, call.settings
        if target is None:
            return
        target.running -= 1
        attempts.record_load_report(target, head, now)
        elapsed = now - call.asked_at
        if elapsed > settings.timeout:
            self._counts[settings.name, 'late'] += 1
            return
        health.record_success(target)
        times = call.node.times[settings.name]
        health.record_time(target, elapsed, times.mean)
        times.record(elapsed)
        self._times[settings.name].append(elapsed)
