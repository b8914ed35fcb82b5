"""Runs a weight controller for each data centre that this node looks after."""

import asyncio
from collections.abc import Callable
import logging

from waxwingport import ids
from waxwingport.membership import base as membership
from waxwingport.membership import failover
from waxwingport.targets import table
from waxwingport.weights import controller

__all__ = ['WeightControllers']

_INTERVAL = 0.25
_LOOK_INTERVAL = 2.0
"""Seconds between two looks at which data centres have no live nodes."""
_LOG = logging.getLogger(__name__)

MakeController = Callable[[ids.DataCentre], controller.WeightController]


class WeightControllers:
    """Sends the orders of the own data centre and of those without nodes."""

    def __init__(
        self,
        members: membership.Membership,
        targets: table.TargetTable,
        make: MakeController,
    ) -> None:
        self._members = members
        self._targets = targets
        self._make = make
        self._controllers: dict[
            ids.DataCentre, controller.WeightController
        ] = {}
        self._guarded: list[ids.DataCentre] = []
        self._looked_at = float('-inf')

    async def run(self) -> None:
        """Sends orders until cancelled."""
        while True:
            await self.send_due()
            await asyncio.sleep(_INTERVAL)

    async def send_due(self) -> None:
        """Sends the orders that are due now."""
        now = asyncio.get_running_loop().time()
        if now - self._looked_at >= _LOOK_INTERVAL:
            self._looked_at = now
            self._look()
        await asyncio.gather(
            *(self._find(centre).send_due() for centre in self._guarded)
        )

    def _look(self) -> None:
        centres = {row.data_centre for row in self._targets if row.engine}
        guarded = failover.list_managed_data_centres(
            self._members.local_member.data_centre,
            centres,
            self._members.list_live(),
        )
        if guarded != self._guarded:
            _LOG.info('placement guarded=%s', ','.join(guarded))
            self._guarded = guarded

    def _find(self, centre: ids.DataCentre) -> controller.WeightController:
        found = self._controllers.get(centre)
        if found is None:
            found = self._controllers[centre] = self._make(centre)
        return found
