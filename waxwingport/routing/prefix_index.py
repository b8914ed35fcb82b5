"""Index of the prompt prefixes in the engines' caches.

Engines publish cache events late and with gaps, so every entry is a hint: a
wrong one makes a request slower, but never its answer wrong.
"""

import collections
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Sequence
import heapq
import math
import random

from waxwingport import ids
from waxwingport.targets import base

__all__ = ['PrefixIndex', 'compute_key']

_KEY_MASK = 0xFFFFFFFF
_MAX_BLOCKS = 65_536
"""Entries of all engines together."""
_MAX_ENGINE_BLOCKS = 4_096
"""Entries of one engine."""
_SENT_LIFETIME_S = 10.0
"""Time for which a prompt that was sent to an engine is assumed to be in its
cache without a cache event."""
_MAX_PROMPT_BLOCKS = 256
"""Leading blocks of a prompt that are indexed."""
_REFRESHED_BLOCKS = 8
"""Last cached blocks of a prompt that are marked as recently used."""
_MAX_REQUESTED_BLOCKS = 8_192
"""Blocks that are remembered as requested."""
_EXACT_LENGTHS = 8
"""Match lengths, from the longest down, that are all looked up; then each step
halves the length."""


def compute_key(block: int) -> int:
    """Returns the key of a block in the index: the low 32 bits of its hash."""
    return block & _KEY_MASK


RequestedBlockListener = Callable[[ids.TargetName, int], None]


class _EngineBlocks:
    """Cached blocks of one engine, the least recently used first.

    ``expiries`` maps the key of a block to the time at which the entry
    expires, which is infinite for a block that an event confirmed.
    ``next_offset`` is that of the next event to read.  ``number`` is the
    engine's position in the index's masks and ``bit`` the mask of it alone.
    """

    def __init__(self, number: int) -> None:
        self.bit = 1 << number
        self.number = number
        self.expiries: collections.OrderedDict[int, float] = (
            collections.OrderedDict()
        )
        self.next_offset = 0


class PrefixIndex:
    """Maps blocks to the engines that cache them; bounded in memory.

    Times are in seconds of the event loop's clock.
    """

    def __init__(self, total_blocks: int = _MAX_BLOCKS) -> None:
        self._total_blocks = total_blocks
        self._size = 0
        self._engines: dict[ids.TargetName, _EngineBlocks] = {}
        # The engine whose entries are checked first for eviction comes first.
        self._eviction_order: collections.deque[_EngineBlocks] = (
            collections.deque()
        )
        self._names_by_number: dict[int, ids.TargetName] = {}
        # Numbers of removed engines, to be used again.
        self._free_numbers: list[int] = []
        # Engines that cache a block, by its key, as a mask of their numbers.
        self._engine_masks: dict[int, int] = {}
        self._requested: dict[int, None] = {}
        self._requested_listener: RequestedBlockListener | None = None
        self._expiring: list[tuple[float, ids.TargetName, int]] = []

    def __len__(self) -> int:
        return self._size

    def set_requested_listener(self, listener: RequestedBlockListener) -> None:
        """Sets the function to call for each requested block that is cached.

        It gets the name of the engine and the key of the block, only for
        blocks that a cache event of the engine confirmed.
        """
        self._requested_listener = listener

    def find_next_offset(self, engine: ids.TargetName) -> int:
        """Returns the offset of the next event to read from the engine."""
        engine_blocks = self._engines.get(engine)
        return engine_blocks.next_offset if engine_blocks is not None else 0

    def apply_events(
        self, engine: ids.TargetName, page: base.CacheEvents
    ) -> bool:
        """Applies cache events that were read from the next offset on.

        Returns false if events were missed.  The engine's entries from before
        the gap are then removed.
        """
        engine_blocks = self._get_or_create_engine(engine)
        complete = page.first <= engine_blocks.next_offset <= page.next
        if not complete:
            self._clear_blocks(engine_blocks)
            engine_blocks.next_offset = page.first
        for event in page.events:
            if event.offset > engine_blocks.next_offset:
                self._clear_blocks(engine_blocks)
                complete = False
            engine_blocks.next_offset = event.offset + 1
            self._apply_event(engine_blocks, event)
        engine_blocks.next_offset = max(engine_blocks.next_offset, page.next)
        return complete

    def record_sent(
        self, engine: ids.TargetName, blocks: Sequence[int], now: float
    ) -> None:
        """Assumes that the engine caches the blocks of a prompt sent to it.

        The entries expire unless an event confirms them.
        """
        engine_blocks = self._get_or_create_engine(engine)
        keys = [block & _KEY_MASK for block in blocks[:_MAX_PROMPT_BLOCKS]]
        cached = self._count_cached(engine_blocks, keys)
        self.add_unconfirmed(engine, keys[cached:], now, _SENT_LIFETIME_S)
        for key in keys[max(0, cached - _REFRESHED_BLOCKS) : cached]:
            if key in engine_blocks.expiries:
                engine_blocks.expiries.move_to_end(key)

    def add_unconfirmed(
        self,
        engine: ids.TargetName,
        keys: Sequence[int],
        now: float,
        lifetime: float,
    ) -> None:
        """Adds unconfirmed entries that expire after ``lifetime`` seconds.

        Blocks that are indexed already stay as they are.
        """
        self._expire(now)
        engine_blocks = self._get_or_create_engine(engine)
        for key in keys:
            if key not in engine_blocks.expiries:
                self._add_block(engine_blocks, key, now + lifetime)
                heapq.heappush(self._expiring, (now + lifetime, engine, key))

    def clear_engine(self, engine: ids.TargetName) -> None:
        """Removes the entries of an engine; keeps the offset of its events."""
        engine_blocks = self._engines.get(engine)
        if engine_blocks is not None:
            self._clear_blocks(engine_blocks)

    def record_requested(self, blocks: Sequence[int]) -> None:
        """Marks the cached leading blocks of a prompt as requested.

        Blocks that no engine caches at the time are not marked.
        """
        for block in blocks[:_MAX_PROMPT_BLOCKS]:
            key = block & _KEY_MASK
            if key not in self._engine_masks:
                break
            if key not in self._requested:
                self._requested[key] = None
                self._report_requested(key)
        while len(self._requested) > _MAX_REQUESTED_BLOCKS:
            del self._requested[next(iter(self._requested))]

    def has_confirmed(self, engine: ids.TargetName, key: int) -> bool:
        """Returns whether a cache event confirmed the entry of a block."""
        engine_blocks = self._engines.get(engine)
        return (
            engine_blocks is not None
            and engine_blocks.expiries.get(key, 0.0) == math.inf
        )

    def list_engines(self, key: int) -> list[ids.TargetName]:
        """Returns the engines that cache the block with this key."""
        return [
            self._names_by_number[number]
            for number in _iterate_bits(self._engine_masks.get(key, 0))
        ]

    def match(
        self, blocks: Sequence[int], count: int, rng: random.Random
    ) -> dict[ids.TargetName, int]:
        """Returns up to ``count`` engines that cache a prefix of ``blocks``.

        Maps each of them to how many leading blocks of ``blocks`` it caches.
        The longest matches come first; among engines with matches of the same
        length the choice is random.
        """
        matches: dict[ids.TargetName, int] = {}
        seen = 0
        index = self._find_longest(blocks)
        steps = 0
        while index >= 0 and len(matches) < count:
            mask = self._engine_masks.get(blocks[index] & _KEY_MASK, 0) & ~seen
            if mask:
                seen |= mask
                wanted = count - len(matches)
                for number in _sample_bits(mask, wanted, rng):
                    matches[self._names_by_number[number]] = index + 1
            steps += 1
            # The lengths of shorter matches are rounded down.
            index = (
                index - 1 if steps < _EXACT_LENGTHS else (index + 1) // 2 - 1
            )
        return matches

    def remove_engine(self, engine: ids.TargetName) -> None:
        """Removes an engine with its entries and offset."""
        engine_blocks = self._engines.pop(engine, None)
        if engine_blocks is not None:
            self._clear_blocks(engine_blocks)
            self._eviction_order.remove(engine_blocks)
            del self._names_by_number[engine_blocks.number]
            self._free_numbers.append(engine_blocks.number)

    def _report_requested(self, key: int) -> None:
        if self._requested_listener is None:
            return
        for engine in self.list_engines(key):
            if self.has_confirmed(engine, key):
                self._requested_listener(engine, key)

    def _get_or_create_engine(self, engine: ids.TargetName) -> _EngineBlocks:
        engine_blocks = self._engines.get(engine)
        if engine_blocks is None:
            number = (
                self._free_numbers.pop()
                if self._free_numbers
                else len(self._names_by_number)
            )
            engine_blocks = self._engines[engine] = _EngineBlocks(number)
            self._names_by_number[number] = engine
            self._eviction_order.append(engine_blocks)
        return engine_blocks

    def _count_cached(
        self, engine_blocks: _EngineBlocks, keys: list[int]
    ) -> int:
        """Returns how many leading keys the engine caches."""
        for index in range(len(keys) - 1, -1, -1):
            if keys[index] in engine_blocks.expiries:
                # Assumes that an engine which caches a block caches those
                # before it.
                return index + 1
        return 0

    def _apply_event(
        self, engine_blocks: _EngineBlocks, event: base.CacheEvent
    ) -> None:
        key = event.block & _KEY_MASK
        match event.kind:
            case base.CacheEventKind.STORED:
                self._add_block(engine_blocks, key, math.inf)
                if (
                    key in self._requested
                    and self._requested_listener is not None
                ):
                    self._requested_listener(
                        self._names_by_number[engine_blocks.number], key
                    )
            case base.CacheEventKind.REMOVED:
                self._remove_block(engine_blocks, key)
            case base.CacheEventKind.CLEARED:
                self._clear_blocks(engine_blocks)

    def _add_block(
        self, engine_blocks: _EngineBlocks, key: int, expiry: float
    ) -> None:
        if key not in engine_blocks.expiries:
            self._engine_masks[key] = (
                self._engine_masks.get(key, 0) | engine_blocks.bit
            )
            self._size += 1
        engine_blocks.expiries[key] = expiry
        engine_blocks.expiries.move_to_end(key)
        if len(engine_blocks.expiries) > _MAX_ENGINE_BLOCKS:
            self._remove_block(
                engine_blocks, next(iter(engine_blocks.expiries))
            )
        while self._size > self._total_blocks:
            self._shrink()

    def _shrink(self) -> None:
        """Removes the oldest entry of an engine with more than its share."""
        share = self._total_blocks // len(self._engines)
        while len(self._eviction_order[0].expiries) <= share:
            self._eviction_order.rotate(-1)
        engine_blocks = self._eviction_order[0]
        self._remove_block(engine_blocks, next(iter(engine_blocks.expiries)))

    def _remove_block(self, engine_blocks: _EngineBlocks, key: int) -> None:
        if engine_blocks.expiries.pop(key, None) is not None:
            self._size -= 1
            self._clear_bit(engine_blocks, key)

    def _clear_bit(self, engine_blocks: _EngineBlocks, key: int) -> None:
        rest = self._engine_masks[key] & ~engine_blocks.bit
        if rest:
            self._engine_masks[key] = rest
        else:
            del self._engine_masks[key]

    def _clear_blocks(self, engine_blocks: _EngineBlocks) -> None:
        for key in engine_blocks.expiries:
            self._clear_bit(engine_blocks, key)
        self._size -= len(engine_blocks.expiries)
        engine_blocks.expiries.clear()

    def _expire(self, now: float) -> None:
        while self._expiring and self._expiring[0][0] <= now:
            expiry, engine, key = heapq.heappop(self._expiring)
            engine_blocks = self._engines.get(engine)
            if (
                engine_blocks is not None
                and engine_blocks.expiries.get(key) == expiry
            ):
                self._remove_block(engine_blocks, key)

    def _find_longest(self, blocks: Sequence[int]) -> int:
        """Returns the index of the last cached block, -1 if there is none.

        The binary search assumes that the blocks before a cached one are
        cached, too; as entries are hints, the result may be too low.
        """
        low, high = -1, len(blocks)
        while high - low > 1:
            middle = (low + high) // 2
            if blocks[middle] & _KEY_MASK in self._engine_masks:
                low = middle
            else:
                high = middle
        return low


def _iterate_bits(mask: int) -> Iterable[int]:
    """Yields the positions of the set bits of ``mask``, the lowest first."""
    while mask:
        lowest = mask & -mask
        yield lowest.bit_length() - 1
        mask ^= lowest


def _sample_bits(mask: int, count: int, rng: random.Random) -> list[int]:
    """Returns the positions of up to ``count`` set bits of ``mask``.

    With more set bits than that, they are the next ones from a random
    position on, and then from the lowest on.
    """
    if mask.bit_count() <= count:
        return list(_iterate_bits(mask))
    first_position = int(rng.random() * mask.bit_length())
    upper = mask >> first_position << first_position
    drawn = []
    for part in (upper, mask ^ upper):
        for number in _iterate_bits(part):
            if len(drawn) == count:
                return drawn
            drawn.append(number)
    return drawn
