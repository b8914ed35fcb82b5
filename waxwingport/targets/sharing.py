"""Divides the capacity of an engine among the nodes that send work to it."""

from collections.abc import Sequence
import functools

from waxwingport import ids
from waxwingport.membership import rendezvous

__all__ = ['CapacityShare']

_MARGIN_PART = 8
"""Capacity of an engine over its part that live calls may go over."""


class CapacityShare:
    """This node among the nodes that send work to the same engines.

    Without names the node has the engines for itself.
    """

    def __init__(
        self,
        own: ids.NodeName | None = None,
        names: Sequence[ids.NodeName] = (),
    ) -> None:
        self._own = own
        self._names = tuple(names)
        self._rank = functools.lru_cache(maxsize=None)(self._find_rank)

    def compute_limit(
        self,
        engine: ids.TargetName,
        capacity: int,
        counted: int,
        others: int,
    ) -> float:
        """Returns how many requests this node may have at ``engine``.

        That is its share of the capacity at the least, unless it is the only
        node.  Of the room that the
        latest report leaves, with ``counted`` requests of this node and
        ``others`` of the others, each node takes an equal part.
        """
        nodes = len(self._names)
        room = capacity - others - counted
        if nodes <= 1:
            return counted + room
        share, rest = divmod(capacity, nodes)
        if rest and self._rank(engine) < rest:
            share += 1
        return max(share, counted + room // nodes)

    def compute_live_margin(self, capacity: int) -> int:
        """Returns how many live calls may exceed ``compute_limit``.

        They wait at the engine, which lets them go before the rollouts of
        every node; without other nodes they wait here.
        """
        if len(self._names) <= 1:
            return 0
        return max(1, capacity // _MARGIN_PART)

    def _find_rank(self, engine: ids.TargetName) -> int:
        if self._own not in self._names:
            return len(self._names)
        return rendezvous.rank(engine, self._names).index(self._own)
