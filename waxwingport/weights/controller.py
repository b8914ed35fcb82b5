"""Brings the engines of one data centre to the versions wanted."""

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
from waxwingport.routing import candidates
from waxwingport.targets import base
from waxwingport.targets import table
from waxwingport.weights import fleet
from waxwingport.weights import orders
from waxwingport.weights import plan
from waxwingport.weights import versions

__all__ = ['Need', 'WeightController']

Need = Callable[[ids.PoolName], float]
"""Returns how much the trainers of a pool need new weights, 0 to 1."""

FindLease = Callable[[ids.PoolName], leases.Lease]

_INTERVAL = 0.25
_RATE_INTERVAL = 5.0
_AWAY_RATE = 5000.0
"""Engines of other data centres that are looked at in a second."""
_FIRST_BACKOFF = 1.0
_LONGEST_BACKOFF = 60.0
_SETTLING_TIME = 1.0
"""Seconds in which a state read before an order may still arrive."""
_LOG = logging.getLogger(__name__)


class _Failures:
    """Backoff of one engine after failed loads."""

    def __init__(self) -> None:
        self.count = 0
        self.retry_at = 0.0

    def note(self, now: float) -> None:
        delay = min(_FIRST_BACKOFF * 2**self.count, _LONGEST_BACKOFF)
        self.count += 1
        self.retry_at = now + delay


class _Ordered:
    """A load that was ordered and has not been seen to end."""

    def __init__(self, version: ids.WeightVersion, at: float) -> None:
        self.version = version
        self.at = at


class _Away:
    """Counts of a pool's engines in other data centres, and their time."""

    def __init__(
        self,
        wish: plan.DesiredPool,
        counts: list[plan.DataCentreSummary],
        at: float,
    ) -> None:
        self.wish = wish
        self.counts = counts
        self.at = at


class WeightController:
    """Sends orders to the engines of one data centre under its pool leases.

    Every node runs one; only the holder of a pool's lease sends anything.
    Orders name the wanted state and are repeated until the engine reports it.
    """

    def __init__(
        self,
        configuration: state.ConfigurationState,
        targets: table.TargetTable,
        book: versions.VersionRegistry,
        store: platform.WeightStore,
        members: membership.Membership,
        find_lease: FindLease,
        counters: metrics.Metrics,
        need: Need = lambda pool: 0.0,
        is_log_down: Callable[[], bool] = lambda: False,
        data_centre: ids.DataCentre | None = None,
    ) -> None:
        self._configuration = configuration
        self._targets = targets
        self._book = book
        self._store = store
        self._members = members
        self._find_lease = find_lease
        self._metrics = counters
        self._need = need
        self._is_log_down = is_log_down
        self._rate = 1
        self._rate_at = float('-inf')
        self._data_centre = data_centre or members.local_member.data_centre
        self._fleet = fleet.Fleet(targets, self._data_centre)
        self._fleet.set_pools(configuration.declarations.pools)
        configuration.listen(
            lambda declared: self._fleet.set_pools(declared.pools)
        )
        self._away: dict[ids.PoolName, _Away] = {}
        self._failures: dict[ids.TargetName, _Failures] = {}
        self._ordered: dict[ids.TargetName, _Ordered] = {}

    async def run(self) -> None:
        """Sends orders until cancelled."""
        while True:
            await self.send_due()
            await asyncio.sleep(_INTERVAL)

    async def send_due(self) -> None:
        """Sends the orders that are due now."""
        pools = self._list_own_pools()
        if not pools:
            return
        await self._refresh_rate()
        loads = self._plan()
        await asyncio.gather(
            *(self._load(row) for row in loads if row.pool in pools),
            self._send_labelled(pools),
        )

    def find_desired(self, pool: declarations.Pool) -> plan.DesiredPool | None:
        """Returns the version that a pool should run, ``None`` if unknown.

        A declared version wins over the owner's latest.
        """
        owner = self._find_owner(pool.name)
        if owner is None:
            return None
        latest = self._book.find_latest(owner.name)
        pinned = pool.version is not None
        wanted = (
            self._book.find(owner.name, pool.version) if pinned else latest
        )
        version = pool.version if pinned else latest and latest.version
        if version is None:
            return None
        return plan.DesiredPool(
            pool=pool.name,
            version=version,
            reference=(
                wanted.reference if wanted else f'{owner.name}/{version}'
            ),
            loads_at_once=1,
            need=self._need(pool.name),
            rollback=pinned,
        )

    def _find_owner(self, pool: ids.PoolName) -> declarations.Trainer | None:
        trainers = self._configuration.declarations.trainers
        return next(
            (row for row in trainers if row.pool == pool and row.owner), None
        )

    def _list_own_pools(self) -> dict[ids.PoolName, declarations.Pool]:
        """Returns the pools whose orders this node may send now."""
        return {
            pool.name: pool
            for pool in self._configuration.declarations.pools
            if self._find_lease(pool.name).get_fencing_number() is not None
            or (self._is_log_down() and self._is_deputy(pool.name))
        }

    def _plan(self) -> list[plan.Load]:
        now = asyncio.get_running_loop().time()
        own = self._data_centre
        wishes: list[plan.DesiredPool] = []
        views: list[plan.EngineView] = []
        centres: list[plan.DataCentreSummary] = []
        for pool in self._configuration.declarations.pools:
            wish = self.find_desired(pool)
            if wish is None:
                continue
            rows = [
                self._view(pool.name, target, now)
                for target in self._fleet.list_local(pool.name)
            ]
            counts = plan.summarise(wish, rows) + self._count_away(wish, now)
            allowed = plan.count_loads_at_once(
                pool.serving_share,
                self._fleet.count(pool.name),
                sum(row.blocked for row in rows),
            )
            share = plan.share_rate(allowed, counts, own)
            wishes.append(msgspec.structs.replace(wish, loads_at_once=share))
            views.extend(rows)
            centres.extend(counts)
        rate = plan.share_rate(self._rate, centres, own)
        return plan.plan_loads(wishes, views, rate)

    def _count_away(
        self, wish: plan.DesiredPool, now: float
    ) -> list[plan.DataCentreSummary]:
        """Returns the counts of other data centres, taken now and then."""
        kept = self._away.get(wish.pool)
        pause = self._fleet.count(wish.pool) / _AWAY_RATE
        fresh = kept is not None and now - kept.at < pause
        if not fresh or kept.wish != wish:
            counts = self._fleet.summarise_remote(wish)
            kept = self._away[wish.pool] = _Away(wish, counts, now)
        return kept.counts

    def _view(
        self, pool: ids.PoolName, target: table.Target, now: float
    ) -> plan.EngineView:
        found = target.engine_state
        self._note_result(target, now)
        failures = self._failures.get(target.name)
        usable = target.state in (
            candidates.TargetState.LIVE,
            candidates.TargetState.JOINING,
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
            or bool(failures and failures.retry_at > now),
        )

    def _note_result(self, target: table.Target, now: float) -> None:
        """Counts a load as failed when the engine reports its end so."""
        ordered = self._ordered.get(target.name)
        found = target.engine_state
        if ordered is None or found is None or found.loading is not None:
            return
        if found.weight_version == ordered.version:
            del self._ordered[target.name]
            self._failures.pop(target.name, None)
            self._count('loaded')
            return
        if now - ordered.at < _SETTLING_TIME:
            return
        del self._ordered[target.name]
        self._failures.setdefault(target.name, _Failures()).note(now)
        self._count('failed')
        _LOG.warning(
            'placement engine=%s ordered=%s reported=%s error=%s',
            target.name,
            ordered.version,
            found.weight_version,
            found.last_error,
        )

    async def _load(self, load: plan.Load) -> None:
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
            self._ordered[load.engine] = _Ordered(load.version, now)

    def _authorise(
        self,
        pool: ids.PoolName,
        kind: base.OrderKind,
        target: table.Target | None,
        version: ids.WeightVersion | None = None,
    ) -> ids.FencingNumber | None:
        """Returns the fencing number to send with, ``None`` if not now."""
        lease = self._find_lease(pool)
        held = lease.get_fencing_number()
        if held is not None:
            return held
        found = target.engine_state if target else None
        forward = bool(
            found and version is not None and version > found.weight_version
        )
        if not orders.may_send(kind, held, self._is_log_down(), forward):
            return None
        return lease.find_highest_number() or ids.FencingNumber(0)

    def _is_deputy(self, pool: ids.PoolName) -> bool:
        """Returns whether this node sends while nobody can hold the lease."""
        own = self._members.local_member
        names = [row.name for row in self._members.list_live(own.data_centre)]
        return rendezvous.pick(f'lease/{pool}', names) == own.name

    async def _send_labelled(
        self, pools: dict[ids.PoolName, declarations.Pool]
    ) -> None:
        """Sends role changes, drains and adapters, one a round and engine."""
        sends = [
            self._send_wish(pool, target)
            for pool in pools.values()
            for target in self._fleet.list_local(pool.name)
            if target.engine_state is not None
        ]
        await asyncio.gather(*sends)

    async def _send_wish(
        self, pool: declarations.Pool, target: table.Target
    ) -> None:
        wishes = orders.list_desired_orders(
            target.engine_state, target.labels, pool.adapters
        )
        if not wishes:
            return
        wish = wishes[0]
        number = self._authorise(pool.name, wish.kind, target)
        if number is None:
            return
        _LOG.info(
            'placement engine=%s pool=%s order=%s value=%s fencing=%d '
            'reason=%s',
            target.name,
            pool.name,
            wish.kind.value,
            wish.value,
            number,
            wish.reason,
        )
        order = base.Order(wish.kind, number, value=wish.value)
        await self._send(target, order)

    async def _send(self, target: table.Target, order: base.Order) -> bool:
        match await target.engine.send_order(order):
            case Result(tag='ok', ok=found):
                target.engine_state = found
                self._count('sent')
                return True
            case Result(error=fault):
                self._count('refused')
                now = asyncio.get_running_loop().time()
                self._failures.setdefault(target.name, _Failures()).note(now)
                _LOG.warning(
                    'placement engine=%s order=%s: %s',
                    target.name,
                    order.kind.value,
                    fault.detail,
                )
                return False

    async def _refresh_rate(self) -> None:
        now = asyncio.get_running_loop().time()
        if now - self._rate_at < _RATE_INTERVAL:
            return
        self._rate_at = now
        match await self._store.read_rate():
            case Result(tag='ok', ok=rate):
                self._rate = max(1, rate)
            case Result(error=fault):
                _LOG.warning('weight store: %s', fault.detail)

    def _count(self, outcome: str) -> None:
        self._metrics.count(
            'waxwingport_engine_orders_total',
            'Orders to engines by outcome',
            outcome=outcome,
        )
