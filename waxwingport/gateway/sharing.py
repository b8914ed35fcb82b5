"""Shares the limits that targets name among the nodes that send there.

A node with requests for a limited target claims a share of the limit by a
record that it repeats while it has any.  All nodes with a claim read the
claims of the others and compute the same places from them, which give each
its turns.

While the log can't be read, the claims that were read last stay in force.  A
node that can't claim a share takes one that is small enough for others to do
the same.
"""

import asyncio
from collections.abc import Iterable
from collections.abc import Sequence
import logging

import msgspec

from waxwingport import clocks
from waxwingport.fleet import limits
from waxwingport.fleet import model as fleet
from waxwingport.fleet import registry
from waxwingport import ids
from waxwingport.log import base
from waxwingport.log import node_records
from waxwingport.membership import rendezvous
from waxwingport.scheduling import turns
from waxwingport import tasks

__all__ = ['LimitSharing']

_TOPIC = base.Topic('keyed.limits')
_UPDATE_INTERVAL_S = 0.1
"""Time between two updates of the places and the shared clock."""
_CLAIM_INTERVAL_S = 2.0
"""Time after which a claim is repeated."""
_RETRY_INTERVAL_S = 0.5
"""Least time between two tries to write a claim, while the log refuses it."""
_CLAIM_LIFETIME_S = 6.0
"""Time after which a claim that was not repeated has no effect: two of its
repetitions may get lost."""
_FORGET_TIME_S = 60.0
"""Time after which the record of a claim that was not repeated is removed."""
_DEMAND_TIME_S = 4.0
"""Time after the last request for a target for which its share is kept."""
_RESIGN_TIMEOUT_S = 0.3
"""Bounds the release of the shares before the node stops."""
_UNPLACED_TIME_S = 1.0
"""Time without a place after which a node takes a small share by itself; a
claim usually takes an eighth of it."""

_LOG = logging.getLogger(__name__)


class _Shared(msgspec.Struct, eq=False):
    """A limited target, and the share that this node has of its limit."""

    target: fleet.Target
    limit: limits.RateLimit
    claimants: Sequence[ids.NodeName] = ()
    """Nodes with a claim to a share of it."""
    unplaced_since: float | None = None
    """Loop time since which requests have lacked a place."""


class LimitSharing:
    """Keeps this node's place at each limited target up to date.

    ``add`` is called with each target that begins to name a limit.
    """

    def __init__(
        self,
        log: base.PartitionLog,
        node: ids.NodeName,
        targets: registry.Registry,
        wall_clock: clocks.WallClock,
    ) -> None:
        self._node = node
        self._targets = targets
        self._wall_clock = wall_clock
        self._shared: dict[fleet.InstanceId, _Shared] = {}
        self._records = node_records.NodeRecords(
            log, _TOPIC, frozenset[fleet.InstanceId], self._update
        )
        """The targets of which each node claims a share."""
        self._claimed: frozenset[fleet.InstanceId] = frozenset()
        """Targets in this node's last record."""
        self._claimed_at = float('-inf')
        self._retry_at = float('-inf')
        """Loop time before which a claim that failed is not repeated."""
        self._resigned = False
        self._limited = asyncio.Event()
        """Set while a target has a limit or this node has a claim."""

    def add(self, target: fleet.Target) -> None:
        """Begins to share the limit that a target names."""
        limit = target.limit
        if limit is None:
            return
        self._shared[target.entry.instance] = _Shared(target, limit)
        self._update()
        self._limited.set()

    async def run(self) -> None:
        """Shares limits until cancelled; idle while no target has one."""
        while True:
            await self._limited.wait()
            following = asyncio.get_running_loop().create_task(
                self._records.follow()
            )
            try:
                while self._shared or self._claimed:
                    self._update()
                    await self._repeat_claims()
                    await asyncio.sleep(_UPDATE_INTERVAL_S)
            finally:
                await tasks.cancel_all([following])
            # Another target may have named a limit meanwhile.
            if not self._shared:
                self._records.by_node.clear()
                self._limited.clear()

    async def resign(self) -> None:
        """Releases this node's shares for the others; called at a stop."""
        self._resigned = True
        if not self._claimed:
            return
        try:
            async with asyncio.timeout(_RESIGN_TIMEOUT_S):
                await self._write(self._node, frozenset())
        except TimeoutError:
            _LOG.info('limit-claims-kept', extra={'reason': 'log is slow'})

    def _update(self) -> None:
        """Computes this node's place at each limited target."""
        now = asyncio.get_running_loop().time()
        offset = self._compute_offset()
        live = self._find_live_claims(now)
        for instance, shared in list(self._shared.items()):
            target = shared.target
            if (
                target.limit is not shared.limit
                or self._targets.find(instance) is not target
            ):
                del self._shared[instance]
                continue
            shared.limit.clock_offset = offset
            self._place(shared, live, now)

    def _find_live_claims(
        self, now: float
    ) -> dict[ids.NodeName, frozenset[fleet.InstanceId]]:
        """Returns what each node claims, without claims that have expired.

        None expires while the log can't be read.
        """
        records = self._records
        earliest = now - _CLAIM_LIFETIME_S
        if not records.available or (
            records.recovered_at is not None
            and records.recovered_at > earliest
        ):
            earliest = float('-inf')
        return {
            node: record.content
            for node, record in records.by_node.items()
            if record.read_at >= earliest
        }

    def _place(
        self,
        shared: _Shared,
        live: dict[ids.NodeName, frozenset[fleet.InstanceId]],
        now: float,
    ) -> None:
        limit = shared.limit
        instance = shared.target.entry.instance
        claimants = [
            node for node, instances in live.items() if instance in instances
        ]
        sharers = self._choose_sharers(instance, claimants, limit)
        shared.claimants = claimants
        full = len(sharers) >= turns.count_places(limit.rate)
        limit.excluded = full and self._node not in sharers
        if self._node in sharers:
            shared.unplaced_since = None
            place = turns.Place(sharers.index(self._node), len(sharers))
        else:
            place = self._find_lone_place(shared, now)
        if place != limit.place:
            _LOG.info(
                'limit-shared',
                extra={
                    'instance': instance,
                    'rate': limit.rate,
                    'heard_s': round(now - limit.heard_at, 3),
                    'position': place.position if place else None,
                    'sharers': place.count if place else len(sharers),
                    'claimed': self._node in claimants,
                },
            )
        limit.place = place

    def _choose_sharers(
        self,
        instance: fleet.InstanceId,
        claimants: Iterable[ids.NodeName],
        limit: limits.RateLimit,
    ) -> list[ids.NodeName]:
        ranked = rendezvous.rank(instance, claimants)
        return turns.choose_sharers(ranked, limit.rate)

    def _find_lone_place(
        self, shared: _Shared, now: float
    ) -> turns.Place | None:
        """Returns the place of a node that can't claim one.

        ``None`` while a claim may still succeed, and while enough other nodes
        share the limit.
        """
        limit = shared.limit
        if limit.excluded or now - limit.wanted_at > _DEMAND_TIME_S:
            shared.unplaced_since = None
            return None
        if shared.unplaced_since is None:
            shared.unplaced_since = now
        if now - shared.unplaced_since < _UNPLACED_TIME_S:
            return None
        instance = shared.target.entry.instance
        places = turns.count_places(limit.rate)
        return turns.Place(
            turns.draw_position(f'{instance}/{self._node}', places), places
        )

    async def _repeat_claims(self) -> None:
        now = asyncio.get_running_loop().time()
        wanted = frozenset(
            instance
            for instance, shared in self._shared.items()
            if now - shared.limit.wanted_at <= _DEMAND_TIME_S
            and self._may_claim(shared)
        )
        due = now - self._claimed_at >= _CLAIM_INTERVAL_S
        if self._resigned or now < self._retry_at:
            return
        if wanted != self._claimed or (wanted and due):
            if await self._write(self._node, wanted):
                self._claimed = wanted
                self._claimed_at = now
            else:
                self._retry_at = now + _RETRY_INTERVAL_S
        elif wanted:
            await self._remove_expired(now)

    def _may_claim(self, shared: _Shared) -> bool:
        """Returns whether this node would be one of those that share."""
        others = len(shared.claimants) - (self._node in shared.claimants)
        if others < turns.count_places(shared.limit.rate):
            return True
        return self._node in self._choose_sharers(
            shared.target.entry.instance,
            {*shared.claimants, self._node},
            shared.limit,
        )

    async def _remove_expired(self, now: float) -> None:
        """Removes the record of a node that has ended without a release.

        Of the nodes with a claim the first one does so.
        """
        live = self._find_live_claims(now)
        if min(live, default=None) != self._node:
            return
        for node, record in list(self._records.by_node.items()):
            if now - record.read_at > _FORGET_TIME_S and node not in live:
                await self._write(node, frozenset())
                return

    async def _write(
        self, node: ids.NodeName, instances: frozenset[fleet.InstanceId]
    ) -> bool:
        """Writes a node's claims; returns whether that is certain."""
        value = msgspec.json.encode(sorted(instances)) if instances else None
        return await self._records.write(node, value)

    def _compute_offset(self) -> float:
        loop = asyncio.get_running_loop()
        return self._wall_clock.read() - loop.time()
