"""The leases of pools, one for each pool and data centre."""

import asyncio

from waxwingport import ids
from waxwingport.leases import keeper
from waxwingport.membership import base as membership
from waxwingport.membership import failover
from waxwingport.membership import rendezvous
from waxwingport.outside import base as platform
from waxwingport import tasks

__all__ = ['PoolLeases']

_CANDIDATES_PER_LEASE = 2
"""Nodes of the responsible data centre that may claim one lease."""


class PoolLeases:
    """Lease keepers of this node, created on demand.

    A node holds leases of its own data centre, and of other data centres that
    its own is responsible for.
    """

    def __init__(
        self, log: platform.Log, members: membership.Membership
    ) -> None:
        self._log = log
        self._members = members
        self._keepers: dict[
            tuple[ids.DataCentre, ids.PoolName], keeper.LeaseKeeper
        ] = {}
        self._tasks: list[asyncio.Task[None]] = []

    def find(
        self, pool: ids.PoolName, data_centre: ids.DataCentre | None = None
    ) -> keeper.LeaseKeeper:
        """Returns the keeper of a pool's lease; starts it on the first call.

        ``data_centre`` defaults to this node's data centre.
        """
        local_member = self._members.local_member
        data_centre = data_centre or local_member.data_centre
        lease = self._keepers.get((data_centre, pool))
        if lease is None:
            lease = keeper.LeaseKeeper(
                self._log,
                ids.StreamName(f'lease-{data_centre}-{pool}'),
                local_member,
                is_candidate=lambda: self._is_candidate(pool, data_centre),
                is_entitled=lambda: self._is_responsible(data_centre),
            )
            self._keepers[data_centre, pool] = lease
            loop = asyncio.get_running_loop()
            self._tasks.append(loop.create_task(lease.run()))
        return lease

    def describe(self) -> list[dict[str, object]]:
        """Returns the state of each lease, for ``/v1/status``."""
        return [
            {
                'pool': pool,
                'data_centre': data_centre,
                'state': lease.state.value,
                'holder': lease.tenure.holder if lease.tenure else None,
                'fencing_number': lease.find_highest_number(),
            }
            for (data_centre, pool), lease in sorted(self._keepers.items())
        ]

    async def stop(self) -> None:
        """Releases all leases of this node and stops the keepers."""
        releases = (lease.release() for lease in self._keepers.values())
        await asyncio.gather(*releases, return_exceptions=True)
        await tasks.cancel_all(self._tasks)

    def _is_responsible(self, data_centre: ids.DataCentre) -> bool:
        live = self._members.list_live()
        local_data_centre = self._members.local_member.data_centre
        return (
            data_centre == local_data_centre
            or failover.find_responsible_data_centre(data_centre, live)
            == local_data_centre
        )

    def _is_candidate(
        self, pool: ids.PoolName, data_centre: ids.DataCentre
    ) -> bool:
        if not self._is_responsible(data_centre):
            return False
        local_member = self._members.local_member
        live = self._members.list_live(local_member.data_centre)
        names = [member.name for member in live]
        ranked = rendezvous.rank(f'lease/{pool}', names)
        return local_member.name in ranked[:_CANDIDATES_PER_LEASE]
