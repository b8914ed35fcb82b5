"""The targets that this node knows, and what it knows of each."""

import abc
import asyncio
from collections.abc import Iterable
from collections.abc import Iterator

from waxwingport.configuration import declarations
from waxwingport.configuration import labelling
from waxwingport.configuration import selectors
from waxwingport import ids
from waxwingport.platform import base as platform
from waxwingport.routing import candidates
from waxwingport.targets import base

__all__ = ['Target', 'TargetFactory', 'TargetTable']


class TargetFactory(abc.ABC):
    """Makes the adapters by which a node talks to targets."""

    @abc.abstractmethod
    def make_engine(self, vm: platform.Vm) -> base.Engine:
        """Returns an adapter for the engine on ``vm``."""

    @abc.abstractmethod
    def make_service(self, vm: platform.Vm) -> base.Service:
        """Returns an adapter for the plain service on ``vm``."""

    @abc.abstractmethod
    def make_scoring(self, vm: platform.Vm) -> base.ScoringService:
        """Returns an adapter for the scoring service on ``vm``."""


class Target:
    """One target: its adapter, its labels and the latest reports."""

    def __init__(self, vm: platform.Vm, factory: TargetFactory) -> None:
        self.vm = vm
        self.name = ids.TargetName(vm.name)
        self.labels: dict[str, str] = dict(vm.labels)
        self.state = candidates.TargetState.LIVE
        self.engine: base.Engine | None = None
        self.service: base.Service | None = None
        self.scoring: base.ScoringService | None = None
        self.report: base.LoadReport | None = None
        self.reported_at: float | None = None
        self.engine_state: base.EngineState | None = None
        self.in_progress = 0
        self.sent_since = 0
        self._make_adapter(factory)

    def _make_adapter(self, factory: TargetFactory) -> None:
        match self.vm.kind:
            case platform.VmKind.ENGINE:
                self.engine = factory.make_engine(self.vm)
            case platform.VmKind.SCORING:
                self.scoring = factory.make_scoring(self.vm)
            case platform.VmKind.SERVICE:
                self.service = factory.make_service(self.vm)
            case platform.VmKind.NODE:
                raise AssertionError('a node is no target')

    def start_request(self) -> None:
        """Counts a request that this node sends there."""
        self.in_progress += 1
        self.sent_since += 1

    def finish_request(self) -> None:
        """Counts the end of a request."""
        self.in_progress -= 1

    def note_load(self, report: base.LoadReport) -> None:
        """Takes a load report."""
        self.report = report
        self.reported_at = asyncio.get_running_loop().time()
        self.sent_since = 0

    def describe(self) -> candidates.Candidate:
        """Returns this target as a routing candidate."""
        state = self.engine_state
        return candidates.Candidate(
            name=self.name,
            data_centre=self.vm.data_centre,
            labels=self.labels,
            state=self.state,
            weight_version=state.weight_version if state else None,
            loading=bool(state and state.loading),
            report=self.report,
            in_progress=self.in_progress,
            sent_since=self.sent_since,
        )


class TargetTable:
    """Targets by name, labelled as declared."""

    def __init__(self, factory: TargetFactory) -> None:
        self._factory = factory
        self._targets: dict[ids.TargetName, Target] = {}
        self._rules: tuple[declarations.LabelRule, ...] = ()

    def __iter__(self) -> Iterator[Target]:
        return iter(self._targets.values())

    def __len__(self) -> int:
        return len(self._targets)

    def find(self, name: str) -> Target | None:
        """Returns the target called ``name``, or ``None``."""
        return self._targets.get(ids.TargetName(name))

    def select(self, selector: str) -> list[Target]:
        """Returns the targets whose labels match, none for a bad selector."""
        parsed = selectors.parse(selector).default_value(None)
        if parsed is None:
            return []
        return [row for row in self if parsed.matches(row.labels)]

    def set_rules(self, rules: Iterable[declarations.LabelRule]) -> None:
        """Labels every target by ``rules``, applied in order."""
        self._rules = tuple(rules)
        for target in self:
            self._label(target)

    def update(self, vms: Iterable[platform.Vm]) -> None:
        """Takes the platform's list; what it no longer names is gone."""
        listed = {
            ids.TargetName(vm.name): vm
            for vm in vms
            if vm.kind is not platform.VmKind.NODE
        }
        for name in set(self._targets) - set(listed):
            self._targets.pop(name).state = candidates.TargetState.GONE
        for name, vm in listed.items():
            self._take(name, vm)

    def _take(self, name: ids.TargetName, vm: platform.Vm) -> None:
        target = self._targets.get(name)
        if target is None or target.vm.address != vm.address:
            target = self._targets[name] = Target(vm, self._factory)
        target.vm = vm
        leaving = vm.state is platform.VmState.LEAVING
        target.state = (
            candidates.TargetState.LEAVING
            if leaving
            else candidates.TargetState.LIVE
        )
        self._label(target)

    def _label(self, target: Target) -> None:
        target.labels = labelling.label(target.vm, self._rules)
