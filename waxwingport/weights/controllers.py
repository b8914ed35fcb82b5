"""Runs the weight controllers of the data centres that this node serves."""

import asyncio
from collections.abc import Callable
import logging

from waxwingport import ids
from waxwingport.membership import base as membership
from waxwingport.membership import failover
from waxwingport.targets import table
from waxwingport.weights import controller

__all__ = ['WeightControllers']

_INTERVAL_S = 0.25
"""Time between rounds of orders."""
_CHECK_INTERVAL_S = 2.0
"""Time between checks for data centres without live nodes."""
_LOG = logging.getLogger(__name__)

MakeController = Callable[[ids.DataCentre], controller.WeightController]


class WeightControllers:
    """Sends orders in this data centre and in those without live nodes.

    Each data centre has a controller of its own.
    """

    def __init__(
        self,
        members: membership.Membership,
        targets: table.TargetTable,
        make_controller: MakeController,
    ) -> None:
        self._members = members
        self._targets = targets
        self._make_controller = make_controller
        self._controllers: dict[
            ids.DataCentre, controller.WeightController
        ] = {}
        self._managed: list[ids.DataCentre] = []
        self._checked_at = float('-inf')

    async def run(self) -> None:
        """Sends orders until cancelled."""
        while True:
            await self.send_due()
            await asyncio.sleep(_INTERVAL_S)

    async def send_due(self) -> None:
        """Sends the orders that are due now."""
        now = asyncio.get_running_loop().time()
        if now - self._checked_at >= _CHECK_INTERVAL_S:
            self._checked_at = now
            self._update_managed()
        await asyncio.gather(
            *(
                self._get_or_create(data_centre).send_due()
                for data_centre in self._managed
            )
        )

    def _update_managed(self) -> None:
        data_centres = {
            target.data_centre for target in self._targets if target.engine
        }
        managed = failover.list_managed_data_centres(
            self._members.local_member.data_centre,
            data_centres,
            self._members.list_live(),
        )
        if managed != self._managed:
            _LOG.info('placement guarded=%s', ','.join(managed))
            self._managed = managed

    def _get_or_create(
        self, data_centre: ids.DataCentre
    ) -> controller.WeightController:
        found = self._controllers.get(data_centre)
        if found is None:
            found = self._controllers[data_centre] = self._make_controller(
                data_centre
            )
        return found
