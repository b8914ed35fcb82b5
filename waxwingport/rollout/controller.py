"""Gives engines the orders of the plan, while this node holds the lease."""

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

_INTERVAL = 0.1
"""Seconds between looks at the plan."""
_LOAD_TIME = 0.8
"""Seconds after an order before its effect is looked for: a load takes no
less."""
_REPORT_INTERVAL = 0.25
"""Seconds between reports of an engine that loads: reports lag by about as
much."""
_DEFAULT_STALENESS_BOUND = 1
"""Versions that a trainer allows a text to be behind, until it is known."""
_FIRST_VERSION = 1
_ORDER_TIMEOUT = 10.0
"""Seconds after which an order that no report shows is given again."""
_ERROR_PAUSE = 0.5
"""Seconds before an engine that gave no answer is asked again."""

_LOG = logging.getLogger(__name__)


class VersionRegistry:
    """The versions that trainers published and the age that they allow."""

    def __init__(self) -> None:
        self._newest: dict[str, ids.WeightVersion] = {}
        self._staleness_bounds: dict[str, int] = {}
        self._early: dict[str, ids.WeightVersion] = {}
        """Minimums of submissions made before these were published."""
        self._single: set[str] = set()

    def record_published(self, model: str, version: ids.WeightVersion) -> None:
        """Takes a published version; an older one changes nothing."""
        if version <= self._newest.get(model, 0):
            return
        self._newest[model] = version
        if version >= self._early.get(model, version + 1):
            self._staleness_bounds[model] = version - self._early.pop(model)
        _LOG.info(
            'version-published', extra={'model': model, 'version': version}
        )

    def record_minimum(self, model: str, minimum: ids.WeightVersion) -> None:
        """Takes the oldest version that a submission just made allows.

        The first version says nothing: there is none before it to allow.
        """
        newest = self._newest.get(model, _FIRST_VERSION)
        if minimum > newest:
            self._early[model] = minimum
        elif minimum > _FIRST_VERSION:
            self._staleness_bounds[model] = newest - minimum

    def record_single_version(self, model: str) -> None:
        """Takes that a model's texts have to come from one version each."""
        self._single.add(model)

    def get_requirements(self) -> dict[str, plan.Requirement]:
        """Returns what each trainer wants."""
        return {
            name: plan.Requirement(
                version,
                self._staleness_bounds.get(name, _DEFAULT_STALENESS_BOUND),
                name in self._single,
            )
            for name, version in self._newest.items()
        }


class _Watch(msgspec.Struct, eq=False):
    """One engine that is being moved to a version."""

    load: plan.Load
    ordered_at: float | None = None
    next_look: float = 0.0


class RolloutController:
    """Moves engines to published versions, one order an engine at a time."""

    def __init__(
        self,
        node: ids.NodeName,
        control: base.EngineControl,
        targets: registry.Registry,
        versions: VersionRegistry,
        right: lease.OrderLease,
        counters: metrics.Metrics,
    ) -> None:
        self._metrics = counters
        self._node = node
        self._control = control
        self._targets = targets
        self._versions = versions
        self._lease = right
        self._watches: dict[fleet.InstanceId, asyncio.Task[None]] = {}

    async def run(self) -> None:
        """Follows the plan until cancelled."""
        while True:
            if self._lease.may_order():
                self._start_loads()
            else:
                self._stop_all()
            await asyncio.sleep(_INTERVAL)

    def _start_loads(self) -> None:
        now = asyncio.get_running_loop().time()
        engines = [
            plan.Engine(
                target.entry.instance,
                target.versions,
                target.compute_load(now),
            )
            for target in self._targets
            if target.versions and target.entry.stage is fleet.Stage.READY
        ]
        free = [row for row in engines if row.instance not in self._watches]
        requirements = self._versions.get_requirements()
        for load in plan.plan_loads(free, requirements, len(self._watches)):
            if load.instance in self._watches:
                continue
            task = asyncio.get_running_loop().create_task(
                self._move(_Watch(load))
            )
            self._watches[load.instance] = task
            task.add_done_callback(
                lambda _, instance=load.instance: self._watches.pop(
                    instance, None
                )
            )

    def _stop_all(self) -> None:
        for task in self._watches.values():
            task.cancel()

    async def _move(self, watch: _Watch) -> None:
        """Orders one load and waits until the engine reports it."""
        load = watch.load
        while True:
            target = self._targets.find(load.instance)
            if target is None:
                return
            match await self._control.read_report(target):
                case Result(tag='ok', ok=report):
                    pass
                case Result(error=reason):
                    _LOG.info(
                        'report-failed',
                        extra={'instance': load.instance, 'reason': reason},
                    )
                    await asyncio.sleep(_ERROR_PAUSE)
                    continue
            for name, version in report.versions.items():
                target.record_version(name, version)
            if target.versions.get(load.model, 0) >= load.version:
                return
            if not report.order_in_progress and self._may_order(watch):
                await self._order(watch, target, report)
            await asyncio.sleep(_REPORT_INTERVAL)

    def _may_order(self, watch: _Watch) -> bool:
        if watch.ordered_at is None:
            return True
        now = asyncio.get_running_loop().time()
        return now - watch.ordered_at > _ORDER_TIMEOUT

    async def _order(
        self,
        watch: _Watch,
        target: fleet.Target,
        report: base.EngineReport,
    ) -> None:
        load = watch.load
        match await self._lease.declare_intent():
            case Result(tag='error', error=reason):
                _LOG.info(
                    'order-withheld',
                    extra={'instance': load.instance, 'reason': reason},
                )
                await asyncio.sleep(_ERROR_PAUSE)
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
            'Orders to engines by what came of them.',
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
                watch.ordered_at = asyncio.get_running_loop().time()
                await asyncio.sleep(_LOAD_TIME)
            case base.OrderOutcome.ALREADY_LOADED:
                target.record_version(load.model, load.version)
            case _:
                await asyncio.sleep(_ERROR_PAUSE)
