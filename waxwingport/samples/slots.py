"""The slots of a pool's engines, by weight version."""

import asyncio
import collections
from collections.abc import Callable
from collections.abc import Iterable

from waxwingport import ids
from waxwingport.routing import candidates
from waxwingport.targets import table

__all__ = ['PoolSlots']

_REFRESH_INTERVAL = 0.25
"""Seconds for which a count is used; engines report no faster."""


class PoolSlots:
    """Counts the slots that live engines have reported."""

    def __init__(
        self, list_targets: Callable[[], Iterable[table.Target]]
    ) -> None:
        self._list_targets = list_targets
        self._counted_at = float('-inf')
        self._slots: collections.Counter[int] = collections.Counter()

    def count(self, minimum: ids.WeightVersion | None = None) -> int | None:
        """Returns the slots at ``minimum`` or a later version.

        ``None`` while no engine has reported.
        """
        now = asyncio.get_running_loop().time()
        if now - self._counted_at >= _REFRESH_INTERVAL:
            self._counted_at = now
            self._recount()
        if not self._slots:
            return None
        return sum(
            slots
            for version, slots in self._slots.items()
            if version >= (minimum or 0)
        )

    def _recount(self) -> None:
        self._slots.clear()
        for row in self._list_targets():
            live = row.state is candidates.TargetState.LIVE
            if live and row.report is not None:
                state = row.engine_state
                version = state.weight_version if state else 0
                self._slots[version] += row.report.capacity
