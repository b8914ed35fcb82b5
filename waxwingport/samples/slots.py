"""Counts the slots of a pool's engines by weight version."""

import asyncio
import collections
from collections.abc import Callable
from collections.abc import Iterable

from waxwingport import ids
from waxwingport.routing import model
from waxwingport.targets import table

__all__ = ['SlotCounter']

_REFRESH_INTERVAL_S = 0.25
"""How long a count is used; engines do not report more often."""


class SlotCounter:
    """Counts the slots, places for running generations, of live engines.

    Engines report their slots.  Counts are cached briefly, since they are
    read for every attempt.
    """

    def __init__(
        self, list_targets: Callable[[], Iterable[table.Target]]
    ) -> None:
        self._list_targets = list_targets
        self._counted_at = float('-inf')
        self._slots: collections.Counter[int] = collections.Counter()

    def count(
        self, minimum_version: ids.WeightVersion | None = None
    ) -> int | None:
        """Returns the number of slots at ``minimum_version`` or later.

        ``None`` while no engine has reported.
        """
        now = asyncio.get_running_loop().time()
        if now - self._counted_at >= _REFRESH_INTERVAL_S:
            self._counted_at = now
            self._recount()
        if not self._slots:
            return None
        return sum(
            slots
            for version, slots in self._slots.items()
            if version >= (minimum_version or 0)
        )

    def _recount(self) -> None:
        self._slots.clear()
        for target in self._list_targets():
            is_live = target.state is model.TargetState.LIVE
            if is_live and target.report is not None:
                state = target.engine_state
                version = state.weight_version if state else 0
                self._slots[version] += target.report.capacity
