"""What the node that polls an engine tells the other nodes of it."""

import collections
from collections.abc import Callable

import msgspec
import xxhash

from waxwingport import ids
from waxwingport.targets import base

__all__ = ['PopularBlockQueue', 'Digest', 'EngineSummary', 'hash_name']

_HELD = 1_024
"""Blocks of one engine that wait to be told, or to be told again."""
_REPEAT_TIME = 40.0
"""Seconds after which a block that is still held is told again."""

Holds = Callable[[ids.TargetName, int], bool]


class EngineSummary(msgspec.Struct, frozen=True, array_like=True):
    """The latest of one engine; ``engine`` is the key of its name.

    ``measured_at`` is in milliseconds of the engine's clock.  ``state`` is
    left out of most digests.  ``blocks`` are keys of popular cached blocks.
    """

    engine: int
    running: int
    waiting: int
    capacity: int
    measured_at: int
    weight_version: ids.WeightVersion | None = None
    blocks: tuple[int, ...] = ()
    state: base.EngineState | None = None

    def read_report(self) -> base.LoadReport:
        """Returns the load report."""
        return base.LoadReport(
            self.running, self.waiting, self.capacity, self.measured_at / 1000
        )


class Digest(msgspec.Struct, frozen=True, array_like=True):
    """Rows of the engines that the sender polls.

    ``interval`` is the time until the next digest in milliseconds.
    """

    interval: int
    engines: tuple[EngineSummary, ...]


def hash_name(name: str) -> int:
    """Returns the key by which digests name an engine."""
    return xxhash.xxh32_intdigest(name.encode())


class PopularBlockQueue:
    """Popular blocks that the other nodes have not been told of."""

    def __init__(self, holds: Holds) -> None:
        self._holds = holds
        self._fresh: dict[ids.TargetName, dict[int, None]] = {}
        self._told: dict[ids.TargetName, collections.OrderedDict] = {}

    def add_block(self, engine: ids.TargetName, block: int) -> None:
        """Takes a popular block that ``engine`` holds."""
        if block in self._told.get(engine, ()):
            return
        fresh = self._fresh.setdefault(engine, {})
        if len(fresh) < _HELD:
            fresh[block] = None

    def pop_blocks(
        self, engine: ids.TargetName, count: int, now: float
    ) -> tuple[int, ...]:
        """Returns up to ``count`` blocks to tell now."""
        fresh = self._fresh.get(engine, {})
        told = self._told.setdefault(engine, collections.OrderedDict())
        taken: list[int] = []
        while told and len(taken) < count:
            block, told_at = next(iter(told.items()))
            if told_at > now - _REPEAT_TIME:
                break
            del told[block]
            if self._holds(engine, block):
                taken.append(block)
        while fresh and len(taken) < count:
            block = next(iter(fresh))
            del fresh[block]
            if self._holds(engine, block):
                taken.append(block)
        for block in taken:
            told[block] = now
        while len(told) > _HELD:
            told.popitem(last=False)
        return tuple(taken)

    def remove_engine(self, engine: ids.TargetName) -> None:
        """Forgets an engine."""
        self._fresh.pop(engine, None)
        self._told.pop(engine, None)
