"""Virtual time of a replay."""

from collections.abc import Callable
import heapq
import itertools

__all__ = ['Agenda']


class Agenda:
    """Actions in the order of their times, equal ones as they were added."""

    def __init__(self) -> None:
        self.now = 0.0
        """Time of the last action in seconds."""
        self._actions: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = itertools.count()

    def __len__(self) -> int:
        return len(self._actions)

    def schedule(self, at: float, action: Callable[[], None]) -> None:
        """Adds an action at a time in seconds."""
        heapq.heappush(self._actions, (at, next(self._numbers), action))

    def pop(self) -> Callable[[], None]:
        """Removes the next action and takes over its time."""
        self.now, _, action = heapq.heappop(self._actions)
        return action
