"""Replay of callers whose calls wait at one node, in virtual time.

The node starts a call at the first engine with a free slot.  A call that can't
be answered in time any more is refused when it would start.
"""

import collections
import functools
import heapq
import random

import msgspec

from waxwingport.experiment import agenda
from waxwingport.experiment import disciplines
from waxwingport.experiment import loads
from waxwingport.experiment import machines
from waxwingport.experiment import patterns
from waxwingport.experiment import policies
from waxwingport.scheduling import urgency

__all__ = ['replay']


class _Call(msgspec.Struct, eq=False):
    arrival: loads.Arrival
    queued: disciplines.QueuedWork


class _Engine(msgspec.Struct, eq=False):
    machine: machines.Machine
    running: int = 0
    served: int = 0


def replay(
    pattern: patterns.Pattern, policy: policies.Policy, seed: int
) -> loads.LoadOutcome:
    """Plays a pattern once; equal arguments give equal outcomes."""
    return _Replay(pattern, policy, seed).run()


class _Replay:
    def __init__(
        self, pattern: patterns.Pattern, policy: policies.Policy, seed: int
    ) -> None:
        self._pattern = pattern
        self._agenda = agenda.Agenda()
        self._arrivals = loads.draw_arrivals(pattern, random.Random(seed))
        self._engines = [
            _Engine(machines.Machine(number, pattern.engines, seed))
            for number in range(pattern.engines.count)
        ]
        speeds = [engine.machine.speed for engine in self._engines]
        self._mean_speed = sum(speeds) / len(speeds)
        self._queue = policy.discipline.make_queue()
        self._waiting: list[tuple[tuple[float, ...], _Call]] = []
        self._times: dict[str, list[float]] = {
            settings.name: [] for settings in pattern.callers
        }
        self._counts: collections.Counter[tuple[str, str]] = (
            collections.Counter()
        )

    def run(self) -> loads.LoadOutcome:
        for number, arrival in enumerate(self._arrivals):
            self._agenda.schedule(
                arrival.at, functools.partial(self._ask, number, arrival)
            )
        while self._agenda:
            self._agenda.pop()()
        return loads.summarise(
            self._times,
            self._counts,
            [
                (engine.served, engine.machine.speed)
                for engine in self._engines
            ],
        )

    def _ask(self, number: int, arrival: loads.Arrival) -> None:
        settings = arrival.settings
        work = urgency.Work(
            settings.priority,
            arrival.at + settings.timeout,
            settings.duration / self._mean_speed,
        )
        queued = disciplines.QueuedWork(number, arrival.tenant, work)
        key = self._queue.make_key(queued, self._agenda.now)
        heapq.heappush(self._waiting, (key, _Call(arrival, queued)))
        self._start_waiting()

    def _start_waiting(self) -> None:
        now = self._agenda.now
        while self._waiting:
            engine = max(
                self._engines,
                key=lambda engine: (
                    engine.running < self._pattern.engines.slots,
                    engine.machine.speed / engine.machine.read_slowdown(now),
                    -engine.running,
                ),
            )
            if engine.running >= self._pattern.engines.slots:
                return
            key, call = heapq.heappop(self._waiting)
            work = call.queued.work
            if urgency.compute_position(work, now).late:
                self._counts[call.arrival.settings.name, 'refused'] += 1
                continue
            self._queue.record_start(key)
            engine.running += 1
            engine.served += 1
            self._agenda.schedule(
                engine.machine.find_end(now, call.arrival.work),
                functools.partial(self._finish, call, engine),
            )

    def _finish(self, call: _Call, engine: _Engine) -> None:
        engine.running -= 1
        arrival = call.arrival
        elapsed = self._agenda.now - arrival.at
        if elapsed > arrival.settings.timeout:
            self._counts[arrival.settings.name, 'late'] += 1
        else:
            self._times[arrival.settings.name].append(elapsed)
        self._start_waiting()
