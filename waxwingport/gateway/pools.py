"""The targets of services, as one node chooses among them."""

import asyncio
from collections.abc import Collection
import random

from waxwingport.fleet import choice
from waxwingport.fleet import model as fleet
from waxwingport.fleet import registry
from waxwingport.gateway import hedging
from waxwingport.gateway import routes
from waxwingport import ids

__all__ = ['TargetPool']


class TargetPool:
    """Registered targets with the node's place and its random choices."""

    def __init__(
        self,
        targets: registry.Registry,
        local_data_centre: ids.DataCentre,
        rng: random.Random,
    ) -> None:
        self._targets = targets
        self._local_data_centre = local_data_centre
        self._rng = rng

    def pick_service(self, route: routes.Route) -> ids.ServiceName:
        """Returns the service that a request of a route goes to."""
        return hedging.pick_service(route, self._rng)

    def find_ready(self, service: ids.ServiceName) -> list[fleet.Target]:
        """Returns the targets of a service that take requests."""
        return self._targets.find_ready(service)

    def find_untried(
        self, service: ids.ServiceName, tried: Collection[fleet.InstanceId]
    ) -> list[fleet.Target]:
        """Returns those of them that a request has not been sent to."""
        return [
            target
            for target in self.find_ready(service)
            if target.entry.instance not in tried
        ]

    def choose(self, candidates: list[fleet.Target]) -> fleet.Target | None:
        """Returns the best of some targets, or ``None`` of none."""
        now = asyncio.get_running_loop().time()
        return choice.choose(
            candidates, self._local_data_centre, now, self._rng
        )

    def compute_retry_after(
        self, service: ids.ServiceName, usual: hedging.ResponseTimes
    ) -> float | None:
        """Returns the seconds after which a caller had better come again."""
        now = asyncio.get_running_loop().time()
        return hedging.compute_retry_after(
            self.find_ready(service), usual, now, self._rng
        )
