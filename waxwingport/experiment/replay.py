"""Replay of a load pattern in virtual time.

One node runs the items of all trainers.  It decides by the objects that a
gateway node uses (order, placement, estimates of length and pace, health);
the engines are a model.
"""

import collections
from collections.abc import Sequence
import functools
import random

import msgspec

from waxwingport.experiment import agenda
from waxwingport.experiment import engines
from waxwingport.experiment import patterns
from waxwingport.experiment import policies
from waxwingport.experiment import workload
from waxwingport.fleet import health
from waxwingport.fleet import model as fleet
from waxwingport.scheduling import cuts
from waxwingport.scheduling import lengths
from waxwingport.scheduling import order
from waxwingport.scheduling import placement
from waxwingport.scheduling import timeouts
from waxwingport.scheduling import urgency

__all__ = ['Outcome', 'replay']

_DISPATCH_INTERVAL_S = 0.05
"""Longest time between two attempts to start waiting items, as in a node."""
_REJECTION_TIME_S = 0.01
"""Time from the start of a run to its rejection: a round trip."""
_MAX_TIME_S = 300.0
"""End of a replay whose steps do not finish."""


class Outcome(msgspec.Struct, frozen=True):
    """What a replay has shown."""

    step_times: tuple[float, ...]
    """Seconds from the request of each step to its end."""
    bounds: tuple[float, ...]
    """Seconds that each step takes at least."""
    late_steps: int
    """Steps that ended after they were due."""
    waits: tuple[float, ...]
    """Seconds from the request of its step to the first run of each item."""
    moves: int
    paid: int
    """Moves whose item finished sooner than at the engine that it left."""
    broken: int
    """Runs that ended because an engine was silent."""
    rejected: int
    """Runs that an engine rejected."""
    unused_events: int
    """Events of items that their trainer did not wait for."""


def replay(
    pattern: patterns.Pattern, policy: policies.Policy, seed: int
) -> Outcome:
    """Plays a pattern once; the same arguments give the same outcome."""
    return _Replay(pattern, policy, seed).run()


class _Replay:
    def __init__(
        self, pattern: patterns.Pattern, policy: policies.Policy, seed: int
    ) -> None:
        self._pattern = pattern
        self._policy = policy
        self._rng = random.Random(seed)
        self._placement = placement.Placement(
            engines.DATA_CENTRE, self._rng, policy.placement_settings
        )
        self._agenda = agenda.Agenda()
        self._engines = engines.make_engines(pattern.engines, policy, seed)
        self._steps = workload.draw_steps(pattern, seed)
        self._lengths: collections.defaultdict[
            int, lengths.LengthEstimator
        ] = collections.defaultdict(lengths.LengthEstimator)
        """By trainer."""
        self._waiting: list[engines.Item] = []
        self._ticking = False
        """Whether a dispatch is scheduled."""
        self._waits: list[float] = []
        self._moves = 0
        self._paid = 0
        self._broken = 0
        self._rejected = 0

    def run(self) -> Outcome:
        for step in self._steps:
            self._agenda.schedule(
                step.asked_at, functools.partial(self._ask, step)
            )
        for fault in self._pattern.faults:
            self._agenda.schedule(
                fault.at, functools.partial(self._apply, fault, True)
            )
            self._agenda.schedule(
                fault.at + fault.seconds,
                functools.partial(self._apply, fault, False),
            )
            if fault.kind is patterns.FaultKind.ADDED:
                for engine in self._find_engines(fault):
                    engine.listed = False
        while self._agenda and any(
            step.finished_at is None for step in self._steps
        ):
            action = self._agenda.pop()
            if self._agenda.now > _MAX_TIME_S:
                break
            action()
        return self._summarise()

    def _summarise(self) -> Outcome:
        ends = [
            _MAX_TIME_S if step.finished_at is None else step.finished_at
            for step in self._steps
        ]
        return Outcome(
            tuple(
                end - step.asked_at
                for end, step in zip(ends, self._steps, strict=True)
            ),
            tuple(step.bound for step in self._steps),
            sum(
                end > step.due_at
                for end, step in zip(ends, self._steps, strict=True)
            ),
            tuple(self._waits),
            self._moves,
            self._paid,
            self._broken,
            self._rejected,
            sum(
                item.generated
                for step in self._steps
                for item in step.items
                if not item.finished
            ),
        )

    def _find_engines(self, fault: patterns.Fault) -> list[engines.Engine]:
        if fault.kind is patterns.FaultKind.ADDED:
            return self._engines[-fault.engines :]
        return self._engines[: fault.engines]

    def _apply(self, fault: patterns.Fault, begins: bool) -> None:
        for engine in self._find_engines(fault):
            match fault.kind:
                case patterns.FaultKind.ADDED:
                    if begins:
                        engine.listed = True
                        engine.target.proven = False
                    engine.rejects = begins
                case patterns.FaultKind.DARK:
                    engine.dark = begins
                    if begins:
                        self._silence(engine)
                case patterns.FaultKind.LOADING:
                    engine.rejects = begins
                case patterns.FaultKind.SLOW:
                    engine.slowdown = fault.factor if begins else 1.0

    def _silence(self, engine: engines.Engine) -> None:
        for run in engine.runs:
            timeout = self._policy.silence_timeout
            if timeout is None:
                timeout = timeouts.compute_silence_timeout(
                    engine.target.pace.seconds
                )
            self._agenda.schedule(
                max(self._agenda.now, run.last_at + timeout),
                functools.partial(self._break, run),
            )

    def _ask(self, step: engines.Step) -> None:
        self._waiting += step.items
        self._dispatch()

    def _tick(self) -> None:
        self._ticking = False
        self._dispatch()

    def _dispatch(self) -> None:
        """Starts waiting items while slots are free."""
        if not self._waiting:
            return
        targets = {
            engine.target.entry.instance: engine
            for engine in self._engines
            if engine.listed
        }
        eligible = placement.find_eligible(
            [engine.target for engine in targets.values()],
            engines.MODEL,
            1,
            self._agenda.now,
        )
        if not any(
            self._placement.count_free_slots(target, self._agenda.now) >= 1
            for target in eligible
        ):
            eligible = []
        for candidate in self._sort(eligible) if eligible else ():
            target = self._placement.choose_engine(
                placement.find_accepting(
                    eligible, engines.MODEL, self._agenda.now
                ),
                frozenset(),
                self._agenda.now,
                candidate.remaining,
            )
            if target is None:
                break
            self._placement.record_start(
                target, engines.MODEL, self._agenda.now
            )
            self._start(candidate.key, targets[target.entry.instance])
        if self._waiting and not self._ticking:
            self._ticking = True
            self._agenda.schedule(
                self._agenda.now + _DISPATCH_INTERVAL_S, self._tick
            )

    def _sort(
        self, eligible: Sequence[fleet.Target]
    ) -> list[order.Candidate[engines.Item]]:
        candidates = [
            item.describe(self._estimate_remaining(item))
            for item in self._waiting
        ]
        if self._policy.by_cost and urgency.applies(eligible, False):
            return order.sort_by_cost(
                order.add_rests(
                    candidates,
                    lambda item: id(item.step),
                    placement.describe_capacity(eligible, self._agenda.now),
                ),
                self._agenda.now,
            )
        if self._policy.longest_first:
            return order.sort_candidates(candidates)
        self._rng.shuffle(candidates)
        return candidates

    def _estimate_remaining(self, item: engines.Item) -> float:
        estimator = self._lengths[item.step.trainer]
        return estimator.estimate_remaining(item.hint, item.generated)

    def _start(self, item: engines.Item, engine: engines.Engine) -> None:
        self._waiting.remove(item)
        if not item.generated:
            self._waits.append(self._agenda.now - item.step.asked_at)
        run = engines.Run(
            item, engine, self._agenda.now, engine.delay, item.generated
        )
        item.run = run
        engine.target.running += 1
        if engine.dark:
            timeout = timeouts.choose_head_timeout(
                engine.target, self._agenda.now
            )
            self._agenda.schedule(
                self._agenda.now + timeout, functools.partial(self._break, run)
            )
        elif engine.rejects:
            self._agenda.schedule(
                self._agenda.now + _REJECTION_TIME_S,
                functools.partial(self._reject, run),
            )
        else:
            engine.add(run)
            engine.report(self._agenda.now)
            engine.target.resume_model(engines.MODEL)
            self._schedule_event(run, self._pattern.engines.start_time)

    def _schedule_event(self, run: engines.Run, delay: float = 0.0) -> None:
        self._agenda.schedule(
            self._agenda.now
            + delay
            + run.engine.draw_gap(self._rng, self._agenda.now),
            functools.partial(self._generate, run),
        )

    def _generate(self, run: engines.Run) -> None:
        engine, item = run.engine, run.item
        if run.ended or engine.dark:
            return
        delay = engine.delay - run.seen_delay
        if delay > 0.0:
            run.seen_delay = engine.delay
            self._agenda.schedule(
                self._agenda.now + delay,
                functools.partial(self._generate, run),
            )
            return
        if run.generated:
            engine.target.pace.record(self._agenda.now - run.last_at)
        engine.target.proven = True
        run.last_at = self._agenda.now
        run.generated += 1
        item.generated += 1
        if item.generated >= item.length:
            self._finish(run)
        elif self._moves_on(run):
            self._record_cut(run)
            self._end(run)
            self._waiting.append(item)
            self._dispatch()
        else:
            self._schedule_event(run)

    def _record_cut(self, run: engines.Run) -> None:
        self._moves += 1
        gap = run.engine.target.estimate_gap(
            self._agenda.now, self._estimate_remaining(run.item)
        )
        run.item.cut_runs.append(
            cuts.Cut(self._agenda.now, run.item.generated, gap or 0.0)
        )

    def _moves_on(self, run: engines.Run) -> bool:
        if not self._placement.checks_move(run.item.generated):
            return False
        eligible = placement.find_eligible(
            [engine.target for engine in self._engines if engine.listed],
            engines.MODEL,
            1,
            self._agenda.now,
        )
        progress = placement.RunProgress(
            run.generated,
            run.first_event > 0,
            self._estimate_remaining(run.item),
        )
        return self._placement.should_move(
            run.engine.target, eligible, progress, self._agenda.now
        )

    def _finish(self, run: engines.Run) -> None:
        item, step = run.item, run.item.step
        self._end(run)
        health.record_success(run.engine.target)
        item.finished = True
        self._paid += sum(
            cut.compute_gain(self._agenda.now, item.length) > 0.0
            for cut in item.cut_runs
        )
        self._lengths[step.trainer].record(item.hint, item.length)
        unfinished = {
            other.group for other in step.items if not other.finished
        }
        if len(step.ranks) - len(unfinished) >= step.wanted_groups:
            self._end_step(step)
        self._dispatch()

    def _end_step(self, step: engines.Step) -> None:
        step.finished_at = self._agenda.now
        for item in step.items:
            if item.run is not None and not item.run.ended:
                self._end(item.run)
        self._waiting = [
            item for item in self._waiting if item.step is not step
        ]

    def _break(self, run: engines.Run) -> None:
        if run.ended:
            return
        self._broken += 1
        self._end(run)
        health.record_failure(
            run.engine.target, health.HealthSignal.BROKEN, self._agenda.now
        )
        self._waiting.append(run.item)
        self._dispatch()

    def _reject(self, run: engines.Run) -> None:
        if run.ended:
            return
        self._rejected += 1
        self._end(run)
        run.engine.target.pause_model(engines.MODEL, self._agenda.now)
        self._waiting.append(run.item)
        self._dispatch()

    def _end(self, run: engines.Run) -> None:
        run.ended = True
        run.engine.target.running -= 1
        if run in run.engine.runs:
            run.engine.runs.remove(run)
