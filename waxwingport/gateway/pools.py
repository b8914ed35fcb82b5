"""Choice of a target among those of a service."""

import asyncio
from collections.abc import Callable
from collections.abc import Collection
import itertools
import random

import msgspec
import sortedcontainers

from waxwingport.fleet import model as fleet
from waxwingport.fleet import registry
from waxwingport.gateway import hedging
from waxwingport.gateway import routes
from waxwingport import ids
from waxwingport.scheduling import choice
from waxwingport.scheduling import urgency
from waxwingport.tenancy import active

__all__ = ['TargetPool']

_RECHECK_INTERVAL_S = 0.1
"""Longest time after which a waiting request looks at the targets again, as
they may end their limits or leave."""

_STREAM_TIME_S = 1.0
"""Usual time of a request where none is known: a stream of some thirty
events."""

_MIN_WAIT_S = 0.001
"""Shortest wait for a turn that is due, as clocks are rounded."""


class _Queue(msgspec.Struct):
    """Requests that wait for a turn at the targets of one service."""

    by_cost: bool
    """Whether ranks are virtual deadlines instead of priorities.  Stays the
    same until the queue is empty, since the two can't be compared."""
    tickets: sortedcontainers.SortedList = msgspec.field(
        default_factory=sortedcontainers.SortedList
    )
    """Rank and number of each request."""


class TargetPool:
    """Chooses among the registered targets, nearby ones preferred."""

    def __init__(
        self,
        targets: registry.Registry,
        local_data_centre: ids.DataCentre,
        rng: random.Random,
        tenants: active.ActiveTenants,
    ) -> None:
        self._targets = targets
        self._local_data_centre = local_data_centre
        self._rng = rng
        self._tickets = itertools.count()
        self._waiting: dict[ids.ServiceName, _Queue] = {}
        self._tenants = tenants

    def pick_service(
        self, route: routes.Route, key: str | None = None
    ) -> ids.ServiceName:
        """Returns a random service of the route, by its weights.

        With a ``key`` it is the one that all nodes choose for it.
        """
        rng = self._rng if key is None else random.Random(key)
        return hedging.pick_service(route, rng)

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
        software: ids.SoftwareVersion | None = None,
    ) -> list[fleet.Target]:
        """Returns the targets that accept requests and were not tried yet.

        With ``software`` only those of this version.
        """
        return [
            target
            for target in self.find_ready(service)
            if target.entry.instance not in tried_instances
            and software in (None, target.entry.software)
        ]

    def choose(
        self,
        candidates: list[fleet.Target],
        key: str | None = None,
        seconds: float = _STREAM_TIME_S,
    ) -> fleet.Target | None:
        """Returns the best candidate that takes a request now.

        ``seconds`` is the usual time of the request.  With a ``key`` it is
        the one that all nodes choose for it.  A turn is reserved at a target
        with a limit.  Returns ``None`` if there is no such candidate.
        """
        now = asyncio.get_running_loop().time()
        free = []
        for target in candidates:
            if target.limit is not None:
                target.limit.want(now)
            if target.limit is None or target.limit.count_turns(now):
                free.append(target)
        if key is None:
            target = choice.choose(
                free, self._local_data_centre, now, self._rng, seconds
            )
        else:
            target = choice.choose_by_key(free, key, now)
        if target is not None and target.limit is not None:
            target.limit.reserve(now)
        return target

    async def wait_for_turn(
        self,
        service: ids.ServiceName,
        find_candidates: Callable[[], list[fleet.Target]],
        priority: int,
        deadline: float,
        seconds: float = _STREAM_TIME_S,
    ) -> bool:
        """Waits until one of the candidates takes a request.

        ``find_candidates`` returns what ``choose`` would choose among now.

        Returns ``False`` at once if none will before the loop time
        ``deadline``.  Of the requests that wait for the targets of a service
        the most urgent goes first; 0 is the most urgent ``priority``.  Where
        the order is by the cost of delay (``urgency.applies`` when the first
        of them began to wait), ``seconds``, the usual time of the request,
        and ``deadline`` count too.
        """
        loop = asyncio.get_running_loop()
        queue = self._waiting.get(service)
        if queue is None:
            by_cost = urgency.applies(
                find_candidates(), self._tenants.have_priorities
            )
            queue = self._waiting[service] = _Queue(by_cost)
        waiting = queue.tickets
        rank: float = priority
        if queue.by_cost:
            work = urgency.Work(priority, deadline + seconds, seconds)
            position = urgency.compute_position(work, loop.time())
            rank = position.virtual_deadline
        ticket = rank, next(self._tickets)
        waiting.add(ticket)
        try:
            while True:
                candidates = find_candidates()
                wait = hedging.compute_turn_wait(
                    candidates, waiting.index(ticket), loop.time()
                )
                if wait is None or loop.time() + wait >= deadline:
                    return False
                if wait <= 0.0 and any(
                    target.count_turns(loop.time()) for target in candidates
                ):
                    return True
                await asyncio.sleep(
                    max(_MIN_WAIT_S, min(wait, _RECHECK_INTERVAL_S))
                )
        finally:
            waiting.remove(ticket)
            if not waiting:
                del self._waiting[service]

    def compute_retry_after(
        self, service: ids.ServiceName, times: hedging.ResponseTimes
    ) -> float | None:
        """Returns the seconds after which a refused caller may retry."""
        now = asyncio.get_running_loop().time()
        queue = self._waiting.get(service)
        return hedging.compute_retry_after(
            self.find_ready(service),
            times,
            now,
            self._rng,
            len(queue.tickets) if queue else 0,
        )
