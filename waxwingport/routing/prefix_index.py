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
_MAX_POPULAR_BLOCKS = 8_192
_EXACT_LENGTHS = 8
"""Match lengths, from the longest down, that are all looked up; shorter ones
are halved at each step."""


def compute_key(block: int) -> int:
    """Returns the key of a block in the index: the low 32 bits of its hash."""
    return block & _KEY_MASK


RequestedBlockListener = Callable[[ids.TargetName, int], None]


class _EngineBlocks:
    """Cached blocks of one engine, the least recently used first.

    ``expiries`` maps the key of a block to the time at which the entry
    expires, which is infinite for a block that an event confirmed.  ``next``
    is the offset of the next event, ``bit`` the engine's bit in the masks.
    """

    def __init__(self, number: int) -> None:
        self.bit = 1 << number
        self.number = number
        self.expiries: collections.OrderedDict[int, float] = (
            collections.OrderedDict()
        )
        self.next = 0


class PrefixIndex:
    """Maps blocks to the engines that cache them; bounded in memory.

    Times are in seconds of the event loop's clock.
    """

    def __init__(self, total_blocks: int = _MAX_BLOCKS) -> None:
        self._total_blocks = total_blocks
        self._size = 0
        self._engines: dict[ids.TargetName, _EngineBlocks] = {}
        self._rotation: collections.deque[_EngineBlocks] = collections.deque()
        self._names: dict[int, ids.TargetName] = {}
        self._free: list[int] = []
        self._masks: dict[int, int] = {}
        self._popular: dict[int, None] = {}
        self._popular_listener: RequestedBlockListener | None = None
        self._expiring: list[tuple[float, ids.TargetName, int]] = []

    def __len__(self) -> int:
        return self._size

    def set_requested_listener(self, listener: RequestedBlockListener) -> None:
        """Sets the function to call for each popular block that is cached.

        It gets the name of the engine and the key of the block.
        """
        self._popular_listener = listener

    def find_next_offset(self, engine: ids.TargetName) -> int:
        """Returns the offset of the next event to read from the engine."""
        found = self._engines.get(engine)
        return found.next if found is not None else 0

    def apply_events(
        self, engine: ids.TargetName, page: base.CacheEvents
    ) -> bool:
        """Applies cache events that were read from the next offset on.

        Returns false if events were missed.  The engine's entries from before
        the gap are then removed.
        """
        found = self._find(engine)
        whole = page.first <= found.next <= page.next
        if not whole:
            self._clear(found)
            found.next = page.first
        for event in page.events:
            if event.offset > found.next:
                self._clear(found)
                whole = False
            found.next = event.offset + 1
            self._apply(found, event)
        found.next = max(found.next, page.next)
        return whole

    def record_sent(
        self, engine: ids.TargetName, blocks: Sequence[int], now: float
    ) -> None:
        """Assumes that the engine caches the blocks of a prompt sent to it.

        The entries expire unless an event confirms them.
        """
        found = self._find(engine)
        keys = [block & _KEY_MASK for block in blocks[:_MAX_PROMPT_BLOCKS]]
        cached = self._count_cached(found, keys)
        self.add_unconfirmed(engine, keys[cached:], now, _SENT_LIFETIME_S)
        for key in keys[max(0, cached - _REFRESHED_BLOCKS) : cached]:
            if key in found.expiries:
                found.expiries.move_to_end(key)

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
        found = self._find(engine)
        for key in keys:
            if key not in found.expiries:
                self._add(found, key, now + lifetime)
                heapq.heappush(self._expiring, (now + lifetime, engine, key))

    def clear_engine(self, engine: ids.TargetName) -> None:
        """Removes the entries of an engine; keeps the offset of its events."""
        found = self._engines.get(engine)
        if found is not None:
            self._clear(found)

    def record_requested(self, blocks: Sequence[int]) -> None:
        """Marks the cached leading blocks of a requested prompt as popular.

        A block is popular once it is requested while an engine caches it.
        """
        for block in blocks[:_MAX_PROMPT_BLOCKS]:
            key = block & _KEY_MASK
            if key not in self._masks:
                break
            if key not in self._popular:
                self._popular[key] = None
                self._report_popular(key)
        while len(self._popular) > _MAX_POPULAR_BLOCKS:
            del self._popular[next(iter(self._popular))]

    def has_confirmed(self, engine: ids.TargetName, key: int) -> bool:
        """Returns whether a cache event confirmed the entry of a block."""
        found = self._engines.get(engine)
        return found is not None and found.expiries.get(key, 0.0) == math.inf

    def list_engines(self, key: int) -> list[ids.TargetName]:
        """Returns the engines that cache the block with this key."""
        return [
            self._names[number]
            for number in _list_bits(self._masks.get(key, 0))
        ]

    def match(
        self, blocks: Sequence[int], count: int, rng: random.Random
    ) -> dict[ids.TargetName, int]:
        """Returns up to ``count`` engines with their numbers of cached blocks.

        The number is that of leading blocks of ``blocks``.  The longest
        matches come first; among engines with matches of the same length the
        choice is random.
        """
        matches: dict[ids.TargetName, int] = {}
        seen = 0
        index = self._find_longest(blocks)
        steps = 0
        while index >= 0 and len(matches) < count:
            mask = self._masks.get(blocks[index] & _KEY_MASK, 0) & ~seen
            if mask:
                seen |= mask
                wanted = count - len(matches)
                for number in _sample_bits(mask, wanted, rng):
                    matches[self._names[number]] = index + 1
            steps += 1
            # The lengths of shorter matches are rounded down.
            index = (
                index - 1 if steps < _EXACT_LENGTHS else (index + 1) // 2 - 1
            )
        return matches

    def remove_engine(self, engine: ids.TargetName) -> None:
        """Removes an engine with its entries and offset."""
        found = self._engines.pop(engine, None)
        if found is not None:
            self._clear(found)
            self._rotation.remove(found)
            del self._names[found.number]
            self._free.append(found.number)

    def _report_popular(self, key: int) -> None:
        if self._popular_listener is None:
            return
        for engine in self.list_engines(key):
            if self.has_confirmed(engine, key):
                self._popular_listener(engine, key)

    def _find(self, engine: ids.TargetName) -> _EngineBlocks:
        found = self._engines.get(engine)
        if found is None:
            number = self._free.pop() if self._free else len(self._names)
            found = self._engines[engine] = _EngineBlocks(number)
            self._names[number] = engine
            self._rotation.append(found)
        return found

    def _count_cached(self, found: _EngineBlocks, keys: list[int]) -> int:
        """Returns how many leading keys the engine caches."""
        for index in range(len(keys) - 1, -1, -1):
            if keys[index] in found.expiries:
                # A cached block implies that those before it are cached.
                return index + 1
        return 0

    def _apply(self, found: _EngineBlocks, event: base.CacheEvent) -> None:
        key = event.block & _KEY_MASK
        match event.kind:
            case base.CacheEventKind.STORED:
                self._add(found, key, math.inf)
                if key in self._popular and self._popular_listener is not None:
                    self._popular_listener(self._names[found.number], key)
            case base.CacheEventKind.REMOVED:
                self._remove(found, key)
            case base.CacheEventKind.CLEARED:
                self._clear(found)

    def _add(self, found: _EngineBlocks, key: int, expiry: float) -> None:
        if key not in found.expiries:
            self._masks[key] = self._masks.get(key, 0) | found.bit
            self._size += 1
        found.expiries[key] = expiry
        found.expiries.move_to_end(key)
        if len(found.expiries) > _MAX_ENGINE_BLOCKS:
            self._remove(found, next(iter(found.expiries)))
        while self._size > self._total_blocks:
            self._shrink()

    def _shrink(self) -> None:
        """Removes the oldest entry of an engine with more than its share."""
        share = self._total_blocks // len(self._engines)
        while len(self._rotation[0].expiries) <= share:
            self._rotation.rotate(-1)
        found = self._rotation[0]
        self._remove(found, next(iter(found.expiries)))

    def _remove(self, found: _EngineBlocks, key: int) -> None:
        if found.expiries.pop(key, None) is not None:
            self._size -= 1
            self._clear_bit(found, key)

    def _clear_bit(self, found: _EngineBlocks, key: int) -> None:
        rest = self._masks[key] & ~found.bit
        if rest:
            self._masks[key] = rest
        else:
            del self._masks[key]

    def _clear(self, found: _EngineBlocks) -> None:
        for key in found.expiries:
            self._clear_bit(found, key)
        self._size -= len(found.expiries)
        found.expiries.clear()

    def _expire(self, now: float) -> None:
        while self._expiring and self._expiring[0][0] <= now:
            expiry, engine, key = heapq.heappop(self._expiring)
            found = self._engines.get(engine)
            if found is not None and found.expiries.get(key) == expiry:
                self._remove(found, key)

    def _find_longest(self, blocks: Sequence[int]) -> int:
        """Returns the index of the last cached block, -1 if there is none."""
        low, high = -1, len(blocks)
        while high - low > 1:
            middle = (low + high) // 2
            if blocks[middle] & _KEY_MASK in self._masks:
                low = middle
            else:
                high = middle
        return low


def _list_bits(mask: int) -> Iterable[int]:
    while mask:
        lowest = mask & -mask
        yield lowest.bit_length() - 1
        mask ^= lowest


def _sample_bits(mask: int, count: int, rng: random.Random) -> list[int]:
    if mask.bit_count() <= count:
        return list(_list_bits(mask))
    start = int(rng.random() * mask.bit_length())
    upper = mask >> start << start
    drawn = []
    for part in (upper, mask ^ upper):
        for number in _list_bits(part):
            if len(drawn) == count:
                return drawn
            drawn.append(number)
    return drawn
