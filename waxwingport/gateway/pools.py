"""Choice of a target among those of a service."""

import asyncio
from collections.abc import Collection
import random

from waxwingport.fleet import model as fleet
from waxwingport.fleet import registry
from waxwingport.gateway import hedging
from waxwingport.gateway import routes
from waxwingport import ids
from waxwingport.scheduling import choice

__all__ = ['TargetPool']


class TargetPool:
    """Chooses among the registered targets, nearby ones preferred."""

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
        """Returns a random service of the route, by its weights."""
        return hedging.pick_service(route, self._rng)

    def find_ready(self, service: ids.ServiceName) -> list[fleet.Target]:
        """Returns the targets of a service that accept requests."""
        return self._targets.find_ready(service)

    def count_leaving(self, service: ids.ServiceName) -> int:
        """Returns how many targets of the service said that they leave."""
        return self._targets.count_leaving(service)

    def find_untried(
        self,
        service: ids.ServiceName,
        tried_instances: Collection[fleet.InstanceId],
    ) -> list[fleet.Target]:
        """Returns the targets that accept requests and were not tried yet."""
        return [
            target
            for target in self.find_ready(service)
            if target.entry.instance not in tried_instances
        ]

    def choose(self, candidates: list[fleet.Target]) -> fleet.Target | None:
        """Returns the best candidate, or ``None`` if there is none."""
        now = asyncio.get_running_loop().time()
        return choice.choose(
            candidates, self._local_data_centre, now, self._rng
        )

    def compute_retry_after(
        self, service: ids.ServiceName, times: hedging.ResponseTimes
    ) -> float | None:
        """Returns the seconds after which a refused caller may retry."""
        now = asyncio.get_running_loop().time()
        return hedging.compute_retry_after(
            self.find_ready(service), times, now, self._rng
        )
