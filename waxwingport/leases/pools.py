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

_CANDIDATES = 2


class PoolLeases:
    """One keeper for each pool that was asked for."""

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
        self, pool: ids.PoolName, centre: ids.DataCentre | None = None
    ) -> keeper.LeaseKeeper:
        """Returns the keeper of a pool's lease, running from now on.

        ``centre`` is the own data centre by default.
        """
        own = self._members.local_member
        centre = centre or own.data_centre
        found = self._keepers.get((centre, pool))
        if found is None:
            found = keeper.LeaseKeeper(
                self._log,
                ids.StreamName(f'lease-{centre}-{pool}'),
                own,
                is_candidate=lambda: self._is_candidate(pool, centre),
                is_entitled=lambda: self._is_guarded(centre),
            )
            self._keepers[centre, pool] = found
            loop = asyncio.get_running_loop()
            self._tasks.append(loop.create_task(found.run()))
        return found

    def describe(self) -> list[dict[str, object]]:
        """Returns what holds, for ``/v1/status``."""
        return [
            {
                'pool': pool,
                'data_centre': centre,
                'state': row.state.value,
                'holder': row.tenure.holder if row.tenure else None,
                'fencing_number': row.find_latest(),
            }
            for (centre, pool), row in sorted(self._keepers.items())
        ]

    async def stop(self) -> None:
        """Releases what is held and ends."""
        releases = (row.release() for row in self._keepers.values())
        await asyncio.gather(*releases, return_exceptions=True)
        await tasks.cancel_all(self._tasks)

    def _is_guarded(self, centre: ids.DataCentre) -> bool:
        live = self._members.list_live()
        own = self._members.local_member.data_centre
        return (
            centre == own
            or failover.find_responsible_data_centre(centre, live) == own
        )

    def _is_candidate(
        self, pool: ids.PoolName, centre: ids.DataCentre
    ) -> bool:
        if not self._is_guarded(centre):
            return False
        own = self._members.local_member
        live = self._members.list_live(own.data_centre)
        names = [row.name for row in live]
        ranked = rendezvous.rank(f'lease/{pool}', names)
        return own.name in ranked[:_CANDIDATES]
