"""A set with random sampling in constant time."""

from collections.abc import Iterator
import random
from typing import Generic
from typing import TypeVar

__all__ = ['RandomSet']

Item = TypeVar('Item')


class RandomSet(Generic[Item]):
    """A set that is stored as a list and an index of positions."""

    def __init__(self) -> None:
        self._items: list[Item] = []
        self._positions: dict[Item, int] = {}

    def __len__(self) -> int:
        return len(self._items)

    def __iter__(self) -> Iterator[Item]:
        return iter(self._items)

    def __contains__(self, item: Item) -> bool:
        return item in self._positions

    def add(self, item: Item) -> None:
        """Adds ``item``; does nothing if it is a member."""
        if item not in self._positions:
            self._positions[item] = len(self._items)
            self._items.append(item)

    def discard(self, item: Item) -> None:
        """Removes ``item``; does nothing if it is not a member."""
        position = self._positions.pop(item, None)
        if position is None:
            return
        last = self._items.pop()
        if position < len(self._items):
            self._items[position] = last
            self._positions[last] = position

    def draw(self, count: int, rng: random.Random) -> list[Item]:
        """Returns up to ``count`` distinct members, chosen at random."""
        size = len(self._items)
        if count >= size:
            return list(self._items)
        if count == 1:
            return [self._items[int(rng.random() * size)]]
        indices = {int(rng.random() * size) for _ in range(count)}
        while len(indices) < count:
            indices.add(int(rng.random() * size))
        return [self._items[index] for index in indices]
