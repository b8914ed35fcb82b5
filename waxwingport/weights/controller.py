"""Orders the engines of one data centre to load the desired versions."""

import asyncio
from collections.abc import Callable
import logging

from expression import Result
import msgspec

from waxwingport.configuration import declarations
from waxwingport.configuration import state
from waxwingport import ids
from waxwingport.leases import base as leases
from waxwingport.membership import base as membership
from waxwingport.membership import rendezvous
from waxwingport import metrics
from waxwingport.outside import base as platform
from waxwingport.routing import model
from waxwingport.targets import base
from waxwingport.targets import table
from waxwingport.weights import fleet
from waxwingport.weights import orders
from waxwingport.weights import plan
from waxwingport.weights import versions

__all__ = ['ComputeNeed', 'WeightController']

ComputeNeed = Callable[[ids.PoolName], float]
"""Returns how urgently a pool's engines need new weights, 0 to 1."""

FindLease = Callable[[ids.PoolName], leases.Lease]

_INTERVAL_S = 0.25
"""Time between rounds of orders."""
_RATE_INTERVAL_S = 5.0
"""Time between reads of how many loads the weight store allows at once."""
_REMOTE_ENGINES_PER_SECOND = 5000.0
"""Most engines of other data centres that are counted in a second.

Counts of larger pools are therefore used for longer.
"""
_MIN_BACKOFF_S = 1.0
"""Wait after a failed order; doubles with each failure in a row."""
_MAX_BACKOFF_S = 60.0
_MAX_DOUBLINGS = 6
"""Doublings with which the wait reaches its upper bound."""
_STATE_DELAY_S = 1.0
"""Time after an order for which a state read before it may still arrive.

Such a state is not taken for a failed load.
"""
_LOG = logging.getLogger(__name__)


class _Backoff:
    """Delay before the next order to an engine whose orders failed."""

    def __init__(self) -> None:
        self.failures = 0
        self.retry_at = 0.0

    def record_failure(self, now: float) -> None:
        doublings = min(self.failures, _MAX_DOUBLINGS)
        delay = min(_MIN_BACKOFF_S * 2**doublings, _MAX_BACKOFF_S)
        self.failures += 1
        self.retry_at = now + delay


class _OrderedLoad:
    """A load that was ordered and has not been reported as ended."""

    def __init__(self, version: ids.WeightVersion, ordered_at: float) -> None:
        self.version = version
        self.ordered_at = ordered_at


class _RemoteCounts:
    """Counts of a pool's engines in other data centres."""

    def __init__(
        self,
        desired: plan.DesiredPool,
        counts: list[plan.DataCentreSummary],
        counted_at: float,
    ) -> None:
        self.desired = desired
        self.counts = counts
        self.counted_at = counted_at


class WeightController:
    """Sends orders to the engines of one data centre under its pool leases.

    Every node runs one for each data centre that it serves; ``data_centre``
    is by default the local one.  Only the holder of a pool's lease sends
    orders to its engines.  Orders name the desired state and are repeated
    until the engine reports it.
    """

    def __init__(
        self,
        configuration: state.ConfigurationState,
        targets: table.TargetTable,
        registry: versions.VersionRegistry,
        store: platform.WeightStore,
        members: membership.Membership,
        find_lease: FindLease,
        counters: metrics.Metrics,
        compute_need: ComputeNeed = lambda pool: 0.0,
        is_log_down: Callable[[], bool] = lambda: False,
        data_centre: ids.DataCentre | None = None,
    ) -> None:
        self._configuration = configuration
        self._targets = targets
        self._registry = registry
        self._store = store
        self._members = members
        self._find_lease = find_lease
        self._metrics = counters
        self._compute_need = compute_need
        self._is_log_down = is_log_down
        self._rate = 1
        self._rate_read_at = float('-inf')
        self._data_centre = data_centre or members.local_member.data_centre
        self._fleet = fleet.Fleet(targets, self._data_centre)
        self._fleet.set_pools(configuration.declarations.pools)
        configuration.listen(
            lambda declared: self._fleet.set_pools(declared.pools)
        )
        self._remote: dict[ids.PoolName, _RemoteCounts] = {}
        self._backoffs: dict[ids.TargetName, _Backoff] = {}
        self._ordered: dict[ids.TargetName, _OrderedLoad] = {}

    async def run(self) -> None:
        """Sends orders until cancelled."""
        while True:
            await self.send_due()
            await asyncio.sleep(_INTERVAL_S)

    async def send_due(self) -> None:
        """Sends the orders that are due now.

        Sends none to the pools whose lease another node holds.
        """
        pools = self._list_own_pools()
        if not pools:
            return
        await self._refresh_rate()
        loads = self._plan()
        await asyncio.gather(
            *(self._send_load(load) for load in loads if load.pool in pools),
            self._send_declared_orders(pools),
        )

    def find_desired(self, pool: declarations.Pool) -> plan.DesiredPool | None:
        """Returns the version that a pool should run, ``None`` if unknown.

        A version that the pool declares takes precedence over the latest one
        of the trainer that owns it.
        """
        owner = self._find_owner(pool.name)
        if owner is None:
            return None
        latest = self._registry.find_latest(owner.name)
        pinned = pool.version is not None
        publication = (
            self._registry.find(owner.name, pool.version) if pinned else latest
        )
        version = pool.version if pinned else latest and latest.version
        if version is None:
            return None
        return plan.DesiredPool(
            pool=pool.name,
            version=version,
            reference=(
                publication.reference
                if publication
                else f'{owner.name}/{version}'
            ),
            loads_at_once=1,
            need=self._compute_need(pool.name),
            rollback=pinned,
        )

    def _find_owner(self, pool: ids.PoolName) -> declarations.Trainer | None:
        trainers = self._configuration.declarations.trainers
        return next(
            (
                trainer
                for trainer in trainers
                if trainer.pool == pool and trainer.owner
            ),
            None,
        )

    def _list_own_pools(self) -> dict[ids.PoolName, declarations.Pool]:
        """Returns the pools whose engines this node may send orders to now."""
        return {
            pool.name: pool
            for pool in self._configuration.declarations.pools
            if self._find_lease(pool.name).get_fencing_number() is not None
            or (self._is_log_down() and self._is_deputy(pool.name))
        }

    def _plan(self) -> list[plan.Load]:
        now = asyncio.get_running_loop().time()
        data_centre = self._data_centre
        desired_pools: list[plan.DesiredPool] = []
        views: list[plan.EngineView] = []
        summaries: list[plan.DataCentreSummary] = []
        for pool in self._configuration.declarations.pools:
            desired = self.find_desired(pool)
            if desired is None:
                continue
            pool_views = [
                self._describe_engine(pool.name, target, now)
                for target in self._fleet.list_local(pool.name)
            ]
            counts = plan.summarise(desired, pool_views) + self._count_remote(
                desired, now
            )
            allowed = plan.count_loads_at_once(
                pool.serving_share,
                self._fleet.count(pool.name),
                sum(view.blocked for view in pool_views),
            )
            share = plan.share_rate(allowed, counts, data_centre)
            desired_pools.append(
                msgspec.structs.replace(desired, loads_at_once=share)
            )
            views.extend(pool_views)
            summaries.extend(counts)
        rate = plan.share_rate(self._rate, summaries, data_centre)
        return plan.plan_loads(desired_pools, views, rate)

    def _count_remote(
        self, desired: plan.DesiredPool, now: float
    ) -> list[plan.DataCentreSummary]:
        """Returns the counts of the pool's engines in other data centres.

        They are cached, for longer the larger the pool is.
        """
        cached = self._remote.get(desired.pool)
        max_age = self._fleet.count(desired.pool) / _REMOTE_ENGINES_PER_SECOND
        is_current = cached is not None and now - cached.counted_at < max_age
        if not is_current or cached.desired != desired:
            counts = self._fleet.summarise_remote(desired)
            cached = self._remote[desired.pool] = _RemoteCounts(
                desired, counts, now
            )
        return cached.counts

    def _describe_engine(
        self, pool: ids.PoolName, target: table.Target, now: float
    ) -> plan.EngineView:
        found = target.engine_state
        self._record_result(target, now)
        backoff = self._backoffs.get(target.name)
        usable = target.state in (
            model.TargetState.LIVE,
            model.TargetState.JOINING,
        )
        return plan.EngineView(
            name=target.name,
            data_centre=target.vm.data_centre,
            pool=pool,
            version=found.weight_version if found else None,
            loading=found.loading if found else None,
            in_progress=target.in_progress,
            blocked=not usable
            or found is None
            or bool(backoff and backoff.retry_at > now),
        )

    def _record_result(self, target: table.Target, now: float) -> None:
        """Records how an ordered load ended, once the engine reports it.

        An engine that loads nothing and is at another version has failed.
        """
        ordered = self._ordered.get(target.name)
        found = target.engine_state
        if ordered is None or found is None or found.loading is not None:
            return
        if found.weight_version == ordered.version:
            del self._ordered[target.name]
            self._backoffs.pop(target.name, None)
            self._count_outcome('loaded')
            return
        if now - ordered.ordered_at < _STATE_DELAY_S:
            return
        del self._ordered[target.name]
        self._backoffs.setdefault(target.name, _Backoff()).record_failure(now)
        self._count_outcome('failed')
        _LOG.warning(
            'placement engine=%s ordered=%s reported=%s error=%s',
            target.name,
            ordered.version,
            found.weight_version,
            found.last_error,
        )

    async def _send_load(self, load: plan.Load) -> None:
        target = self._targets.find(load.engine)
        number = self._authorise(
            load.pool, base.OrderKind.LOAD_VERSION, target, load.version
        )
        if target is None or number is None:
            return
        _LOG.info(
            'placement engine=%s pool=%s version=%d fencing=%d %s',
            load.engine,
            load.pool,
            load.version,
            number,
            load.reason,
        )
        order = base.Order(
            base.OrderKind.LOAD_VERSION,
            number,
            weight_version=load.version,
            reference=load.reference,
        )
        if await self._send(target, order):
            now = asyncio.get_running_loop().time()
            self._ordered[load.engine] = _OrderedLoad(load.version, now)

    def _authorise(
        self,
        pool: ids.PoolName,
        kind: base.OrderKind,
        target: table.Target | None,
        version: ids.WeightVersion | None = None,
    ) -> ids.FencingNumber | None:
        """Returns the fencing number for an order, ``None`` if not allowed."""
        lease = self._find_lease(pool)
        fencing_number = lease.get_fencing_number()
        if fencing_number is not None:
            return fencing_number
        found = target.engine_state if target else None
        is_upgrade = bool(
            found and version is not None and version > found.weight_version
        )
        if not orders.may_send(
            kind, fencing_number, self._is_log_down(), is_upgrade
        ):
            return None
        return lease.find_highest_number() or ids.FencingNumber(0)

    def _is_deputy(self, pool: ids.PoolName) -> bool:
        """Returns whether this node sends while the log is down.

        No node can get a lease then; rendezvous hashing over the live nodes
        of its data centre picks one for each pool.
        """
        own = self._members.local_member
        names = [
            member.name for member in self._members.list_live(own.data_centre)
        ]
        return rendezvous.pick(f'lease/{pool}', names) == own.name

    async def _send_declared_orders(
        self, pools: dict[ids.PoolName, declarations.Pool]
    ) -> None:
        """Sends orders for roles, draining and adapters.

        At most one goes to each engine; the next round sends the next.
        """
        sends = [
            self._send_desired(pool, target)
            for pool in pools.values()
            for target in self._fleet.list_local(pool.name)
            if target.engine_state is not None
        ]
        await asyncio.gather(*sends)

    async def _send_desired(
        self, pool: declarations.Pool, target: table.Target
    ) -> None:
        due = orders.list_desired_orders(
            target.engine_state, target.labels, pool.adapters
        )
        if not due:
            return
        desired = due[0]
        number = self._authorise(pool.name, desired.kind, target)
        if number is None:
            return
        _LOG.info(
            'placement engine=%s pool=%s order=%s value=%s fencing=%d '
            'reason=%s',
            target.name,
            pool.name,
            desired.kind.value,
            desired.value,
            number,
            desired.reason,
        )
        order = base.Order(desired.kind, number, value=desired.value)
        await self._send(target, order)

    async def _send(self, target: table.Target, order: base.Order) -> bool:
        match await target.engine.send_order(order):
            case Result(tag='ok', ok=found):
                target.engine_state = found
                self._count_outcome('sent')
                return True
            case Result(error=fault):
                self._count_outcome('refused')
                now = asyncio.get_running_loop().time()
                self._backoffs.setdefault(
                    target.name, _Backoff()
                ).record_failure(now)
                _LOG.warning(
                    'placement engine=%s order=%s: %s',
                    target.name,
                    order.kind.value,
                    fault.detail,
                )
                return False

    async def _refresh_rate(self) -> None:
        now = asyncio.get_running_loop().time()
        if now - self._rate_read_at < _RATE_INTERVAL_S:
            return
        self._rate_read_at = now
        match await self._store.read_loading_limit():
            case Result(tag='ok', ok=rate):
                self._rate = max(1, rate)
            case Result(error=fault):
                _LOG.warning('weight store: %s', fault.detail)

    def _count_outcome(self, outcome: str) -> None:
        self._metrics.count(
            'waxwingport_engine_orders_total',
            'Orders to engines by outcome',
            outcome=outcome,
        )
