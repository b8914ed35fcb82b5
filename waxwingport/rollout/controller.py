"""Orders engines to load versions, while this node holds the lease."""

import asyncio
import logging

from expression import Result
import msgspec

from waxwingport.fleet import model as fleet
from waxwingport.fleet import registry
from waxwingport import ids
from waxwingport import metrics
from waxwingport.rollout import base
from waxwingport.rollout import lease
from waxwingport.rollout import plan

__all__ = ['RolloutController', 'VersionRegistry']

_PLAN_INTERVAL_S = 0.1
"""Time between two computations of the plan."""
_MIN_LOAD_S = 0.8
"""Shortest time that a load takes; an engine's next report is read that long
after it accepted an order."""
_REPORT_INTERVAL_S = 0.25
"""Time between two reads of the report of an engine that loads; a report is
about as old when it is read."""
_DEFAULT_STALENESS_BOUND = 1
"""Staleness bound in versions, until a submission shows the trainer's."""
_FIRST_VERSION = 1
_ORDER_TIMEOUT_S = 10.0
"""Time after which an order that no report shows is sent again."""
_ERROR_DELAY_S = 0.5
"""Delay after a failed report or an order that was not accepted."""

_LOG = logging.getLogger(__name__)


class VersionRegistry:
    """Published versions of each model and the staleness allowed for it."""

    def __init__(self) -> None:
        self._newest: dict[str, ids.WeightVersion] = {}
        self._bounds: dict[str, int] = {}
        self._pending_minimums: dict[str, ids.WeightVersion] = {}
        """Minimum versions of submissions, until these are published."""
        self._single: set[str] = set()

    def record_published(self, model: str, version: ids.WeightVersion) -> None:
        """Records a published version; an older one has no effect."""
        if version <= self._newest.get(model, 0):
            return
        self._newest[model] = version
        if version >= self._pending_minimums.get(model, version + 1):
            self._bounds[model] = version - self._pending_minimums.pop(model)
        _LOG.info(
            'version-published', extra={'model': model, 'version': version}
        )

    def record_minimum(self, model: str, minimum: ids.WeightVersion) -> None:
        """Records the minimum version of a submission that was just accepted.

        Its distance from the newest version is the model's staleness bound.
        The bound is unknown if the minimum is the first version: there is no
        older version that the trainer could exclude.
        """
        newest = self._newest.get(model, _FIRST_VERSION)
        if minimum > newest:
            self._pending_minimums[model] = minimum
        elif minimum > _FIRST_VERSION:
            self._bounds[model] = newest - minimum

    def record_single_version(self, model: str) -> None:
        """Records that each text of a model has to come from one version."""
        self._single.add(model)

    def get_requirements(self) -> dict[str, plan.Requirement]:
        """Returns what is required of each published model, by its name."""
        return {
            name: plan.Requirement(
                version,
                self._bounds.get(name, _DEFAULT_STALENESS_BOUND),
                name in self._single,
            )
            for name, version in self._newest.items()
        }


class _PendingLoad(msgspec.Struct, eq=False):
    """An engine that is being brought to a version."""

    load: plan.Load
    ordered_at: float | None = None
    """Loop time at which the last accepted order was answered."""
    next_check: float = 0.0


class RolloutController:
    """Brings engines to published versions.

    Each engine is sent one order at a time.
    """

    def __init__(
        self,
        node: ids.NodeName,
        control: base.EngineControl,
        targets: registry.Registry,
        versions: VersionRegistry,
        lease_: lease.OrderLease,
        counters: metrics.Metrics,
    ) -> None:
        self._metrics = counters
        self._node = node
        self._control = control
        self._targets = targets
        self._versions = versions
        self._lease = lease_
        self._tasks: dict[fleet.InstanceId, asyncio.Task[None]] = {}

    async def run(self) -> None:
        """Carries out the plan until cancelled.

        Stops all work on engines while this node does not hold the lease.
        """
        while True:
            if self._lease.may_order():
                self._start_loads()
            else:
                self._stop_all()
            await asyncio.sleep(_PLAN_INTERVAL_S)

    def _start_loads(self) -> None:
        now = asyncio.get_running_loop().time()
        engines = [
            plan.Engine(
                target.entry.instance,
                target.versions,
                target.compute_load(now),
            )
            for target in self._targets
            if target.versions and target.stage is fleet.Stage.READY
        ]
        free = [
            engine for engine in engines if engine.instance not in self._tasks
        ]
        requirements = self._versions.get_requirements()
        for load in plan.plan_loads(free, requirements, len(self._tasks)):
            if load.instance in self._tasks:
                continue
            task = asyncio.get_running_loop().create_task(
                self._bring_up_to_date(_PendingLoad(load))
            )
            self._tasks[load.instance] = task
            task.add_done_callback(
                lambda _, instance=load.instance: self._tasks.pop(
                    instance, None
                )
            )

    def _stop_all(self) -> None:
        for task in self._tasks.values():
            task.cancel()

    async def _bring_up_to_date(self, pending: _PendingLoad) -> None:
        """Orders one load; returns once the engine reports it or is gone."""
        load = pending.load
        while True:
            target = self._targets.find(load.instance)
            if target is None or target.stage is fleet.Stage.DRAINING:
                return
            match await self._control.read_report(target):
                case Result(tag='ok', ok=report):
                    pass
                case Result(error=reason):
                    _LOG.info(
                        'report-failed',
                        extra={'instance': load.instance, 'reason': reason},
                    )
                    await asyncio.sleep(_ERROR_DELAY_S)
                    continue
            for name, version in report.versions.items():
                target.record_version(name, version)
            if target.versions.get(load.model, 0) >= load.version:
                return
            if target.stage is fleet.Stage.DRAINING:
                return
            if not report.order_in_progress and self._may_order(pending):
                await self._order(pending, target, report)
            await asyncio.sleep(_REPORT_INTERVAL_S)

    def _may_order(self, pending: _PendingLoad) -> bool:
        if pending.ordered_at is None:
            return True
        now = asyncio.get_running_loop().time()
        return now - pending.ordered_at > _ORDER_TIMEOUT_S

    async def _order(
        self,
        pending: _PendingLoad,
        target: fleet.Target,
        report: base.EngineReport,
    ) -> None:
        load = pending.load
        match await self._lease.declare_intent(load.instance, load.model):
            case Result(tag='error', error=reason):
                _LOG.info(
                    'order-withheld',
                    extra={'instance': load.instance, 'reason': reason},
                )
                await asyncio.sleep(_ERROR_DELAY_S)
                return
        order = base.Order(
            load.model,
            load.version,
            base.LoadMode.WAIT if load.single_version else base.LoadMode.KEEP,
            self._node,
            self._lease.fencing_number,
            report.accepted_orders,
        )
        outcome = await self._control.send_order(target, order)
        self._metrics.count(
            'waxwingport_orders_given_total',
            'Orders to engines by their outcome.',
            outcome=outcome.value,
        )
        _LOG.info(
            'order-given',
            extra={
                'instance': load.instance,
                'model': load.model,
                'version': load.version,
                'had': target.versions.get(load.model),
                'urgency': load.urgency.name.lower(),
                'fence': order.fencing_number,
                'accepted_before': order.accepted_before,
                'outcome': outcome.value,
            },
        )
        match outcome:
            case base.OrderOutcome.ACCEPTED:
                pending.ordered_at = asyncio.get_running_loop().time()
                await asyncio.sleep(_MIN_LOAD_S)
            case base.OrderOutcome.ALREADY_LOADED:
                target.record_version(load.model, load.version)
            case _:
                await asyncio.sleep(_ERROR_DELAY_S)
