"""The targets that this node knows, with their state and load."""

import abc
import asyncio
from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Sequence

from waxwingport.configuration import declarations
from waxwingport.configuration import labelling
from waxwingport.configuration import selectors
from waxwingport import ids
from waxwingport.limits import adaptive
from waxwingport.outside import base as platform
from waxwingport.routing import model
from waxwingport import settings
from waxwingport.targets import base
from waxwingport.targets import health
from waxwingport.targets import listeners
from waxwingport.targets import load
from waxwingport.targets import sharing as sharing_rules
from waxwingport.targets import slowness

__all__ = ['Target', 'TargetFactory', 'TargetTable']

_INITIAL_LIMIT = 16.0
"""Limit of requests in progress at a target whose capacity is not known
yet."""
_MAX_LIMIT = 1024.0
"""Upper bound of the limit until a report shows the target's capacity."""
_RAMP_TIME_S = 10.0
"""Time until a joining target may use its whole capacity."""
_MIN_RAMP = 0.1
"""Share of its capacity that a target may use when it starts to join."""
_LEAVING_LABEL = ('state', 'leaving')
"""Label of a target that is leaving, whatever the VM list says."""


class TargetFactory(abc.ABC):
    """Creates the adapters that send requests to targets."""

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
    """A target with its adapter, labels, state and load."""

    def __init__(
        self,
        vm: platform.Vm,
        factory: TargetFactory,
        target_table: 'TargetTable | None' = None,
    ) -> None:
        self.vm = vm
        self.name = ids.TargetName(vm.name)
        self.data_centre = vm.data_centre
        self.remote = target_table is not None and target_table.is_remote(
            vm.data_centre
        )
        self.network_latency = (
            target_table.find_network_latency(vm.data_centre)
            if target_table
            else 0.0
        )
        self.labels: dict[str, str] = dict(vm.labels)
        self.engine: base.Engine | None = None
        self.service: base.Service | None = None
        self.scoring: base.ScoringService | None = None
        self.report: base.LoadReport | None = None
        self.reported_at: float | None = None
        self.weight_version: ids.WeightVersion | None = None
        self.software = ids.SoftwareVersion('')
        """Version of its software, empty while it has not stated it."""
        self.in_progress = 0
        self.limit = _INITIAL_LIMIT
        self.live_allowance = 0
        self.adaptive = adaptive.AdaptiveLimit(_INITIAL_LIMIT, _MAX_LIMIT)
        self._table = target_table
        self._engine_state: base.EngineState | None = None
        self._health = health.Health()
        self._load = load.LoadEstimate()
        self._slowness = slowness.SlownessEstimate()
        self._timer: asyncio.TimerHandle | None = None
        self._joined_at = 0.0
        self._answered_at = float('-inf')
        self._had_capacity = (True, True)
        """Whether there was capacity for a rollout and for a live call."""
        self._make_adapter(factory)
        self._join()

    @property
    def state(self) -> model.TargetState:
        """State of the target as this node sees it."""
        return self._health.state

    @property
    def engine_state(self) -> base.EngineState | None:
        """The latest state that the engine reported, if any."""
        return self._engine_state

    @engine_state.setter
    def engine_state(self, found: base.EngineState | None) -> None:
        self._engine_state = found
        version = found.weight_version if found else None
        software = found.software if found else ids.SoftwareVersion('')
        if (version, software) != (self.weight_version, self.software):
            self.weight_version = version
            self.software = software
            self._notify()

    def start_request(self, expected: float = 0.0) -> None:
        """Counts a request that this node sends to the target.

        ``expected`` is the time in seconds that such a request takes, 0 if it
        is unknown.
        """
        now = _now()
        self._slowness.record_start(expected, self.in_progress == 0, now)
        self.in_progress += 1
        self._load.record_own_count(self.in_progress, now)
        self._check_capacity()

    def finish_request(self) -> None:
        """Stops counting a request that ended in any way."""
        now = _now()
        self.in_progress -= 1
        self._load.record_own_count(self.in_progress, now)
        self._slowness.record_end(now)
        self._check_capacity()

    def record_success(self, elapsed: float, expected: float) -> None:
        """Updates health, slowness and limit after an answered request.

        ``elapsed`` and ``expected`` are its times in seconds.
        """
        now = _now()
        self._answered_at = now
        self._health.record_success()
        self._slowness.record_time(elapsed, expected, now)
        # The time of a generation depends mostly on its length.
        latency = elapsed if self.engine is None else None
        self.adaptive.record_success(self.in_progress + 1, now, latency)
        self.update_limit()

    def record_fault(
        self,
        fault: base.TargetFault,
        elapsed: float,
        may_turn_suspect: bool = True,
    ) -> None:
        """Updates health and limit after a request that failed.

        ``elapsed`` is in seconds; for ``may_turn_suspect`` see
        ``health.Health.record_fault``.
        """
        now = _now()
        timed_out = fault.kind is base.TargetFaultKind.TIMEOUT
        if timed_out and self._answered_at >= now - elapsed:
            # The target answers others: this request was sent late or is long.
            return
        if health.classify_fault(fault) is health.FaultClass.REFUSING:
            self.adaptive.record_refusal(now - elapsed, now)
            self.update_limit()
        cool_down = self._health.record_fault(fault, may_turn_suspect)
        if cool_down is None:
            return
        if health.classify_fault(fault) is not health.FaultClass.REFUSING:
            self.adaptive.reset_to_minimum()
        self.update_limit()
        self._set_timer(cool_down, self._recover)
        self._notify()

    def record_load(self, report: base.LoadReport) -> None:
        """Updates load and limit by a report of the engine."""
        now = _now()
        self.report = report
        self.reported_at = now
        self._load.record_report(report, now)
        self.adaptive.set_ceiling(max(1.0, report.capacity))
        self.update_limit()

    def handle(self, event: health.TargetEvent) -> None:
        """Applies an event of the state chart and tells the listeners."""
        if not self._health.handle(event):
            return
        if self.state is model.TargetState.JOINING:
            self._join()
        elif self.state is not model.TargetState.LIVE:
            self._set_timer(None)
        self._notify()

    def compute_cool_down(self, now: float) -> float:
        """Returns the seconds until a suspect target is tried again, or 0."""
        if self.state is not model.TargetState.SUSPECT:
            return 0.0
        return max(0.0, self._timer.when() - now) if self._timer else 0.0

    def describe(
        self, now: float | None = None, matched_blocks: int = 0
    ) -> model.Candidate:
        """Returns a snapshot of this target as a routing candidate.

        ``matched_blocks`` is the number of leading blocks of the prompt that
        it caches.
        """
        when = _now() if now is None else now
        state = self._engine_state
        return model.Candidate(
            self.name,
            self.data_centre,
            self.labels,
            self._health.state,
            self.network_latency,
            self.remote,
            self.weight_version,
            state is not None and state.loading is not None,
            self.report,
            self.in_progress,
            self._load.others,
            self.limit,
            self._compute_usable_share(when),
            self._slowness.read(self.in_progress > 0, when),
            matched_blocks,
            self.live_allowance,
            self.software,
        )

    def update_limit(self) -> None:
        """Updates limit and live allowance from capacity, load and nodes."""
        limit = self.adaptive.value
        if self.report is not None and self._table is not None:
            capacity = self.report.capacity
            sharing = self._table.sharing
            own = sharing.compute_limit(
                self.name,
                capacity,
                self._load.own_at_report,
                self._load.others,
            )
            limit = min(limit, own)
            self.live_allowance = sharing.compute_live_allowance(capacity)
        self.limit = max(1.0, limit)
        self._check_capacity()

    def _check_capacity(self) -> None:
        has_capacity = (
            self.in_progress < self.limit,
            self.in_progress < self.limit + self.live_allowance,
        )
        if has_capacity != self._had_capacity:
            self._had_capacity = has_capacity
            self._notify()

    def _notify(self) -> None:
        if self._table is not None:
            self._table.notify(self)

    def _join(self) -> None:
        self._joined_at = _now()
        self._set_timer(_RAMP_TIME_S, self._finish_joining)

    def _finish_joining(self) -> None:
        self.handle(health.TargetEvent.SETTLE)

    def _recover(self) -> None:
        self.handle(health.TargetEvent.RECOVER)

    def _compute_usable_share(self, now: float) -> float:
        if self._health.state is not model.TargetState.JOINING:
            return 1.0
        share = (now - self._joined_at) / _RAMP_TIME_S
        return min(1.0, max(_MIN_RAMP, share))

    def _set_timer(self, delay: float | None, callback=None) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if delay is not None:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(delay, callback)

    def _make_adapter(self, factory: TargetFactory) -> None:
        match self.vm.kind:
            case platform.VmKind.ENGINE:
                self.engine = factory.make_engine(self.vm)
            case platform.VmKind.SCORING:
                self.scoring = factory.make_scoring(self.vm)
            case platform.VmKind.SERVICE:
                self.service = factory.make_service(self.vm)
            case platform.VmKind.NODE:
                raise AssertionError('a node is not a target')


class TargetTable:
    """The targets by name, with labels by the declared rules."""

    def __init__(
        self,
        factory: TargetFactory,
        node: settings.NodeSettings | None = None,
    ) -> None:
        self.sharing = sharing_rules.CapacityShare()
        self._factory = factory
        self._node = node
        self._targets: dict[ids.TargetName, Target] = {}
        self._rules: tuple[declarations.LabelRule, ...] = ()
        self._listeners: list[listeners.TableListener] = []

    def __iter__(self) -> Iterator[Target]:
        return iter(self._targets.values())

    def __len__(self) -> int:
        return len(self._targets)

    def listen(self, listener: listeners.TableListener) -> None:
        """Calls ``listener`` after each change from now on."""
        self._listeners.append(listener)

    def find(self, name: str) -> Target | None:
        """Returns the target called ``name``, or ``None``."""
        return self._targets.get(ids.TargetName(name))

    def is_remote(self, data_centre: ids.DataCentre) -> bool:
        """Returns whether ``data_centre`` is another than this node's."""
        return self._node is not None and self._node.data_centre != data_centre

    def find_network_latency(self, data_centre: ids.DataCentre) -> float:
        """Returns the latency in seconds one way to a data centre."""
        if not self.is_remote(data_centre):
            return 0.0
        return self._node.distances.get(
            data_centre, self._node.default_distance
        )

    def select(self, selector: str) -> list[Target]:
        """Returns the targets whose labels match ``selector``.

        Returns none if the selector is invalid.
        """
        parsed = selectors.parse(selector).default_value(None)
        if parsed is None:
            return []
        return [target for target in self if parsed.matches(target.labels)]

    def set_label_rules(self, rules: Iterable[declarations.LabelRule]) -> None:
        """Labels every target by ``rules``, which are applied in order."""
        self._rules = tuple(rules)
        for target in self:
            self._label(target)

    def set_nodes(
        self, own: ids.NodeName, names: Sequence[ids.NodeName]
    ) -> None:
        """Sets the nodes that send work to the same targets.

        ``own`` is the name of this node; ``names`` includes it.
        """
        self.sharing = sharing_rules.CapacityShare(own, names)
        for target in self:
            target.update_limit()

    def update(self, vms: Iterable[platform.Vm]) -> None:
        """Sets the targets to those in the platform's list.

        Targets of the first list are live at once; later ones join gradually.
        """
        listed = {
            ids.TargetName(vm.name): vm
            for vm in vms
            if vm.kind is not platform.VmKind.NODE
        }
        known_before = bool(self._targets)
        for name in set(self._targets) - set(listed):
            self._remove(name)
        for name, vm in listed.items():
            self._update_target(name, vm)
        if not known_before:
            # The node has just started; the targets may have run for long.
            for target in self:
                target.handle(health.TargetEvent.SETTLE)

    def notify(self, target: Target) -> None:
        """Tells the listeners that ``target`` changed."""
        if self._targets.get(target.name) is target:
            for listener in self._listeners:
                listener.handle_change(target)

    def _remove(self, name: ids.TargetName) -> None:
        target = self._targets.pop(name)
        target.handle(health.TargetEvent.REMOVE)
        for listener in self._listeners:
            listener.handle_removal(target)

    def _update_target(self, name: ids.TargetName, vm: platform.Vm) -> None:
        target = self._targets.get(name)
        if target is not None and target.vm == vm:
            return
        if target is not None and target.vm.address != vm.address:
            self._remove(name)
            target = None
        if target is None:
            target = self._targets[name] = Target(vm, self._factory, self)
            target.labels = {}
        target.vm = vm
        self._label(target)

    def _label(self, target: Target) -> None:
        labels = labelling.label(target.vm, self._rules)
        changed = labels != target.labels
        target.labels = labels
        self._update_leaving(target)
        if changed:
            for listener in self._listeners:
                listener.handle_labels(target)

    def _update_leaving(self, target: Target) -> None:
        key, value = _LEAVING_LABEL
        leaving = (
            target.vm.state is platform.VmState.LEAVING
            or target.labels.get(key) == value
        )
        target.handle(
            health.TargetEvent.LEAVE if leaving else health.TargetEvent.RETURN
        )


def _now() -> float:
    return asyncio.get_running_loop().time()
