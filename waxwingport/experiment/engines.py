"""Model of the engines of a pattern."""

import random

import msgspec

from waxwingport.experiment import machines
from waxwingport.experiment import patterns
from waxwingport.experiment import policies
from waxwingport.fleet import model as fleet
from waxwingport.fleet import pace
from waxwingport import ids
from waxwingport.scheduling import cuts
from waxwingport.scheduling import order

__all__ = [
    'DATA_CENTRE',
    'MODEL',
    'Engine',
    'Item',
    'Run',
    'Step',
    'make_engines',
]

MODEL = 'model'
DATA_CENTRE = ids.DataCentre('here')
_SERVICE = ids.ServiceName('engines')
_VERSION = ids.WeightVersion(1)
_GAP_JITTER = 0.05
"""Largest share by which a gap between events varies either way."""


class Step(msgspec.Struct, eq=False):
    """One step of a trainer."""

    trainer: int
    asked_at: float
    due_at: float
    items: list['Item']
    ranks: dict[ids.GroupId, int]
    wanted_groups: int
    bound: float
    """Seconds that the step takes at least."""
    finished_at: float | None = None
    priority: int = 0


class Item(msgspec.Struct, eq=False):
    """An item of a step; only the model knows its length."""

    step: Step
    group: ids.GroupId
    hint: int
    length: int
    generated: int = 0
    finished: bool = False
    run: 'Run | None' = None
    cut_runs: list[cuts.Cut] = []

    def describe(self, remaining: float) -> 'order.Candidate[Item]':
        """Returns what decides on the item's place in the order."""
        return order.Candidate(
            self,
            self.step.due_at,
            self.step.ranks[self.group],
            self.step.wanted_groups,
            self.step.priority,
            remaining,
        )


class Run(msgspec.Struct, eq=False):
    """A run of an item at an engine."""

    item: Item
    engine: 'Engine'
    last_at: float
    """Time of the last event, or of the start."""
    seen_delay: float
    """``Engine.delay`` up to which the run was delayed."""
    first_event: int
    generated: int = 0
    ended: bool = False


class Engine:
    """An engine and what the node has observed of it in ``target``."""

    def __init__(
        self,
        name: str,
        settings: patterns.EngineSettings,
        policy: policies.Policy,
        machine: machines.Machine,
    ) -> None:
        self._settings = settings
        self._machine = machine
        self._reports = settings.bursts is not None and policy.reads_slowdown
        entry = fleet.TargetEntry(
            fleet.InstanceId(name),
            _SERVICE,
            '',
            DATA_CENTRE,
            settings.slots,
            fleet.Stage.READY,
            1,
            {MODEL: _VERSION},
        )
        observed = pace.EventPace()
        if policy.max_gap_ratio is not None:
            observed.max_ratio = policy.max_gap_ratio
        self.target = fleet.Target(
            entry, pace=observed, versions=dict(entry.versions), proven=True
        )
        self.runs: list[Run] = []
        self.delay = 0.0
        """Seconds by which prompts have delayed the events of all runs."""
        self.listed = True
        self.dark = False
        self.rejects = False
        self.slowdown = 1.0

    def add(self, run: Run) -> None:
        """Starts a run; its prompt delays the others."""
        self.delay += self._settings.prompt_time
        self.runs.append(run)

    def report(self, now: float) -> None:
        """Answers a run that starts; only machines with bursts report."""
        if self._reports:
            self.target.record_load(
                len(self.runs),
                self.target.running,
                self._machine.read_slowdown(now),
                now,
            )

    def draw_gap(self, rng: random.Random, now: float) -> float:
        """Returns the seconds until the next event of a run."""
        used = (len(self.runs) - 1) / self._settings.slots
        gap = self._settings.gap * (1.0 + self._settings.batch_cost * used)
        gap *= self._machine.read_slowdown(now) / self._machine.speed
        return gap * self.slowdown * (1 + rng.uniform(-1, 1) * _GAP_JITTER)


def make_engines(
    settings: patterns.EngineSettings, policy: policies.Policy, seed: int
) -> list[Engine]:
    """Returns the engines of a pattern, with the same bursts for each seed."""
    return [
        Engine(
            f'engine-{number}',
            settings,
            policy,
            machines.Machine(number, settings, seed),
        )
        for number in range(settings.count)
    ]
