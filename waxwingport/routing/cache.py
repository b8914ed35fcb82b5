"""Index of the prompt prefixes that engines hold in their caches.

Engines publish cache events late and with gaps, so everything here is a hint:
a wrong one costs time and nothing else.
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
_TOTAL_BLOCKS = 65_536
"""Entries of all engines together."""
_ENGINE_BLOCKS = 4_096
_SENT_LIFETIME = 10.0
"""Seconds for which a prompt sent to an engine is taken as cached there."""
_SENT_BLOCKS = 256
"""Blocks of one prompt that are noted when it is sent."""
_TOUCHED_BLOCKS = 8
"""Known blocks of a prompt that are marked as just used."""
_POPULAR_BLOCKS = 8_192
_EXACT_STEPS = 8
"""Blocks from the longest match down that are all looked up."""


def compute_key(block: int) -> int:
    """Returns the key of a block: the low 32 bits of its hash."""
    return block & _KEY_MASK


Follower = Callable[[ids.TargetName, int], None]


class _EngineBlocks:
    """Blocks of one engine, the one used longest ago first.

    Maps each to the time until which it counts, infinite once an event
    confirmed it.
    """

    def __init__(self, number: int) -> None:
        self.bit = 1 << number
        self.number = number
        self.expiries: collections.OrderedDict[int, float] = (
            collections.OrderedDict()
        )
        self.next = 0


class PrefixIndex:
    """Maps blocks to the engines that hold them; bounded in memory."""

    def __init__(self, total_blocks: int = _TOTAL_BLOCKS) -> None:
        self._total_blocks = total_blocks
        self._size = 0
        self._engines: dict[ids.TargetName, _EngineBlocks] = {}
        self._turns: collections.deque[_EngineBlocks] = collections.deque()
        self._names: dict[int, ids.TargetName] = {}
        self._free: list[int] = []
        self._masks: dict[int, int] = {}
        self._popular: dict[int, None] = {}
        self._follower: Follower | None = None
        self._expiring: list[tuple[float, ids.TargetName, int]] = []

    def __len__(self) -> int:
        return self._size

    def set_popular_listener(self, follower: Follower) -> None:
        """Tells ``follower`` of popular blocks that engines hold."""
        self._follower = follower

    def find_next_offset(self, engine: ids.TargetName) -> int:
        """Returns the offset from which to read the engine's events."""
        found = self._engines.get(engine)
        return found.next if found is not None else 0

    def apply_events(
        self, engine: ids.TargetName, page: base.CacheEvents
    ) -> bool:
        """Takes events read from the next offset on.

        Returns false when some were missed; what was known of the engine is
        dropped then, and only the events after the gap count.
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
            self._follow(found, event)
        found.next = max(found.next, page.next)
        return whole

    def record_sent(
        self, engine: ids.TargetName, blocks: Sequence[int], now: float
    ) -> None:
        """Takes the blocks of a prompt as cached there for a while."""
        found = self._find(engine)
        keys = [block & _KEY_MASK for block in blocks[:_SENT_BLOCKS]]
        known = self._count_known(found, keys)
        self.record_reported(engine, keys[known:], now, _SENT_LIFETIME)
        for key in keys[max(0, known - _TOUCHED_BLOCKS) : known]:
            if key in found.expiries:
                found.expiries.move_to_end(key)

    def record_reported(
        self,
        engine: ids.TargetName,
        keys: Sequence[int],
        now: float,
        lifetime: float,
    ) -> None:
        """Takes blocks as cached there for ``lifetime`` seconds."""
        self._expire(now)
        found = self._find(engine)
        for key in keys:
            if key not in found.expiries:
                self._add(found, key, now + lifetime)
                heapq.heappush(self._expiring, (now + lifetime, engine, key))

    def clear_engine(self, engine: ids.TargetName) -> None:
        """Forgets the blocks of an engine."""
        found = self._engines.get(engine)
        if found is not None:
            self._clear(found)

    def record_requested(self, blocks: Sequence[int]) -> None:
        """Takes the blocks of a prompt that is asked for.

        A block is popular once it is asked for while an engine holds it.
        """
        for block in blocks[:_SENT_BLOCKS]:
            key = block & _KEY_MASK
            if key not in self._masks:
                break
            if key not in self._popular:
                self._popular[key] = None
                self._tell_holders(key)
        while len(self._popular) > _POPULAR_BLOCKS:
            del self._popular[next(iter(self._popular))]

    def has_confirmed(self, engine: ids.TargetName, key: int) -> bool:
        """Returns whether an event said that the engine holds the block."""
        found = self._engines.get(engine)
        return found is not None and found.expiries.get(key, 0.0) == math.inf

    def list_engines(self, key: int) -> list[ids.TargetName]:
        """Returns the engines that hold the block."""
        return [
            self._names[number]
            for number in _list_bits(self._masks.get(key, 0))
        ]

    def match(
        self, blocks: Sequence[int], count: int, rng: random.Random
    ) -> dict[ids.TargetName, int]:
        """Returns engines by the number of leading blocks that they hold.

        The longest matches come first, up to ``count``; among many of the
        same length the choice is random.
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
                for number in _draw_bits(mask, wanted, rng):
                    matches[self._names[number]] = index + 1
            steps += 1
            # Beyond the steps taken one by one, lengths are rounded down.
            index = index - 1 if steps < _EXACT_STEPS else (index + 1) // 2 - 1
        return matches

    def remove_engine(self, engine: ids.TargetName) -> None:
        """Forgets an engine."""
        found = self._engines.pop(engine, None)
        if found is not None:
            self._clear(found)
            self._turns.remove(found)
            del self._names[found.number]
            self._free.append(found.number)

    def _tell_holders(self, key: int) -> None:
        if self._follower is None:
            return
        for engine in self.list_engines(key):
            if self.has_confirmed(engine, key):
                self._follower(engine, key)

    def _find(self, engine: ids.TargetName) -> _EngineBlocks:
        found = self._engines.get(engine)
        if found is None:
            number = self._free.pop() if self._free else len(self._names)
            found = self._engines[engine] = _EngineBlocks(number)
            self._names[number] = engine
            self._turns.append(found)
        return found

    def _count_known(self, found: _EngineBlocks, keys: list[int]) -> int:
        """Returns how many leading keys the engine holds, by its last one."""
        for index in range(len(keys) - 1, -1, -1):
            if keys[index] in found.expiries:
                # A block is stored after those before it.
                return index + 1
        return 0

    def _follow(self, found: _EngineBlocks, event: base.CacheEvent) -> None:
        key = event.block & _KEY_MASK
        match event.kind:
            case base.CacheEventKind.STORED:
                self._add(found, key, math.inf)
                if key in self._popular and self._follower is not None:
                    self._follower(self._names[found.number], key)
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
        if len(found.expiries) > _ENGINE_BLOCKS:
            self._remove(found, next(iter(found.expiries)))
        while self._size > self._total_blocks:
            self._shrink()

    def _shrink(self) -> None:
        """Forgets the oldest block of an engine with more than its share."""
        share = self._total_blocks // len(self._engines)
        while len(self._turns[0].expiries) <= share:
            self._turns.rotate(-1)
        found = self._turns[0]
        self._remove(found, next(iter(found.expiries)))

    def _remove(self, found: _EngineBlocks, key: int) -> None:
        if found.expiries.pop(key, None) is not None:
            self._size -= 1
            self._unmark(found, key)

    def _unmark(self, found: _EngineBlocks, key: int) -> None:
        rest = self._masks[key] & ~found.bit
        if rest:
            self._masks[key] = rest
        else:
            del self._masks[key]

    def _clear(self, found: _EngineBlocks) -> None:
        for key in found.expiries:
            self._unmark(found, key)
        self._size -= len(found.expiries)
        found.expiries.clear()

    def _expire(self, now: float) -> None:
        while self._expiring and self._expiring[0][0] <= now:
            expiry, engine, key = heapq.heappop(self._expiring)
            found = self._engines.get(engine)
            if found is not None and found.expiries.get(key) == expiry:
                self._remove(found, key)

    def _find_longest(self, blocks: Sequence[int]) -> int:
        """Returns the index of the last block that any engine holds."""
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


def _draw_bits(mask: int, count: int, rng: random.Random) -> list[int]:
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
