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


class PoolLeases:
    """Lease keepers of this node, created on demand.

    A node holds leases of its own data centre, and of other data centres for
    which its own is the guardian.
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
        own = self._members.local_member
        data_centre = data_centre or own.data_centre
        found = self._keepers.get((data_centre, pool))
        if found is None:
            found = keeper.LeaseKeeper(
                self._log,
                ids.StreamName(f'lease-{data_centre}-{pool}'),
                own,
                is_candidate=lambda: self._is_candidate(pool, data_centre),
                is_entitled=lambda: self._is_guarded(data_centre),
            )
            self._keepers[data_centre, pool] = found
            loop = asyncio.get_running_loop()
            self._tasks.append(loop.create_task(found.run()))
        return found

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

    def _is_guarded(self, data_centre: ids.DataCentre) -> bool:
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
        if not self._is_guarded(data_centre):
            return False
        own = self._members.local_member
        live = self._members.list_live(own.data_centre)
        names = [member.name for member in live]
        ranked = rendezvous.rank(f'lease/{pool}', names)
        return own.name in ranked[:_CANDIDATES_PER_LEASE]
