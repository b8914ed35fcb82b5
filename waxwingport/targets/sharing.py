"""Division of an engine's capacity among the nodes that send work to it."""

from collections.abc import Sequence
import functools

from waxwingport import ids
from waxwingport.membership import rendezvous

__all__ = ['CapacityShare']

_LIVE_ALLOWANCE_DIVISOR = 8
"""Ratio of an engine's capacity to the live calls above a node's limit."""


class CapacityShare:
    """This node's share of the engines' capacities.

    ``names`` are the nodes that send work to the same engines, this one
    included.  Without names this node may use the whole capacity.
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
        own_at_report: int,
        others: int,
    ) -> float:
        """Returns how many requests this node may have at ``engine``.

        With several nodes that is at least an equal share of the capacity.
        Each node may also use an equal part of the capacity that the latest
        report left, with ``own_at_report`` requests of this node and
        ``others`` of the other nodes.
        """
        nodes = len(self._names)
        available = capacity - others - own_at_report
        if nodes <= 1:
            return own_at_report + available
        share, rest = divmod(capacity, nodes)
        if rest and self._rank(engine) < rest:
            share += 1
        return max(share, own_at_report + available // nodes)

    def compute_live_allowance(self, capacity: int) -> int:
        """Returns how many live calls may exceed the limit of this node.

        They wait at the engine, which serves them before the rollouts of all
        nodes.  A single node has no allowance: its live calls wait in its own
        queue.
        """
        if len(self._names) <= 1:
            return 0
        return max(1, capacity // _LIVE_ALLOWANCE_DIVISOR)

    def _find_rank(self, engine: ids.TargetName) -> int:
        if self._own not in self._names:
            return len(self._names)
        return rendezvous.rank(engine, self._names).index(self._own)
