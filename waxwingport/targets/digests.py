"""Messages in which a node passes on the load of the engines it polls."""

import collections
from collections.abc import Callable

import msgspec
import xxhash

from waxwingport import ids
from waxwingport.targets import base

__all__ = ['Digest', 'EngineSummary', 'RequestedBlockQueue', 'hash_name']

_MAX_BLOCKS = 1_024
"""Most blocks of one engine that wait for their first report, and most that
are remembered as reported."""
_REPEAT_INTERVAL_S = 40.0
"""Interval at which a block that is still cached is reported again."""

IsConfirmed = Callable[[ids.TargetName, int], bool]
"""Returns whether an engine caches a block, by its own cache events."""


class EngineSummary(msgspec.Struct, frozen=True, array_like=True):
    """The latest load of one engine; ``engine`` is the hash of its name.

    ``measured_at`` is in milliseconds of the engine's clock.  ``state`` is
    ``None`` in most digests, to save space.  ``blocks`` are the keys of
    cached blocks of requested prompts.
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
        """Returns the load report, in seconds of the engine's clock."""
        return base.LoadReport(
            self.running, self.waiting, self.capacity, self.measured_at / 1000
        )


class Digest(msgspec.Struct, frozen=True, array_like=True):
    """Summaries of engines that the sender polls.

    ``interval`` is the time until the next digest in milliseconds.
    """

    interval: int
    engines: tuple[EngineSummary, ...]


def hash_name(name: str) -> int:
    """Returns the 32-bit hash that stands for an engine in digests."""
    return xxhash.xxh32_intdigest(name.encode())


class RequestedBlockQueue:
    """Cached blocks of requested prompts, to report to the other nodes.

    ``is_confirmed`` tells whether an engine still caches a block.
    """

    def __init__(self, is_confirmed: IsConfirmed) -> None:
        self._is_confirmed = is_confirmed
        self._unreported: dict[ids.TargetName, dict[int, None]] = {}
        self._reported_at: dict[ids.TargetName, collections.OrderedDict] = {}

    def add_block(self, engine: ids.TargetName, block: int) -> None:
        """Queues a requested block unless it was reported already.

        Does nothing if the engine's queue is full.
        """
        if block in self._reported_at.get(engine, ()):
            return
        unreported = self._unreported.setdefault(engine, {})
        if len(unreported) < _MAX_BLOCKS:
            unreported[block] = None

    def pop_blocks(
        self, engine: ids.TargetName, count: int, now: float
    ) -> tuple[int, ...]:
        """Removes and returns up to ``count`` blocks to report now.

        Blocks that are due to be reported again come first.  Those that the
        engine no longer caches are dropped.
        """
        unreported = self._unreported.get(engine, {})
        reported_at = self._reported_at.setdefault(
            engine, collections.OrderedDict()
        )
        popped: list[int] = []
        while reported_at and len(popped) < count:
            block, last_at = next(iter(reported_at.items()))
            if last_at > now - _REPEAT_INTERVAL_S:
                break
            del reported_at[block]
            if self._is_confirmed(engine, block):
                popped.append(block)
        while unreported and len(popped) < count:
            block = next(iter(unreported))
            del unreported[block]
            if self._is_confirmed(engine, block):
                popped.append(block)
        for block in popped:
            reported_at[block] = now
        while len(reported_at) > _MAX_BLOCKS:
            reported_at.popitem(last=False)
        return tuple(popped)

    def remove_engine(self, engine: ids.TargetName) -> None:
        """Drops the blocks of an engine."""
        self._unreported.pop(engine, None)
        self._reported_at.pop(engine, None)
