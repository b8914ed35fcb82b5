"""Measured lengths and speeds of a trainer's generations."""

import bisect
import collections
from collections.abc import Hashable
import itertools

__all__ = ['LengthModel']

_HISTORY = 1024
_KEYS_HELD = 65_536
_FIRST_LENGTH = 256.0
_FIRST_PACE = 50.0
_SMOOTHING = 0.05


class LengthModel:
    """Expects lengths in tokens from those of finished generations.

    ``pace`` is the usual speed of one generation in tokens a second.
    """

    def __init__(self) -> None:
        self.pace = _FIRST_PACE
        self._recent: collections.deque[int] = collections.deque()
        self._sorted: list[int] = []
        self._sum = 0
        self._tails: list[int] | None = None
        self._by_key: collections.OrderedDict[Hashable, tuple[int, int]] = (
            collections.OrderedDict()
        )

    @property
    def mean(self) -> float:
        """Expected length of a generation of which nothing is known."""
        return self._sum / len(self._recent) if self._recent else _FIRST_LENGTH

    def note(self, key: Hashable, tokens: int, seconds: float) -> None:
        """Takes a finished generation."""
        self._recent.append(tokens)
        bisect.insort(self._sorted, tokens)
        self._sum += tokens
        if len(self._recent) > _HISTORY:
            oldest = self._recent.popleft()
            self._sum -= oldest
            del self._sorted[bisect.bisect_left(self._sorted, oldest)]
        self._tails = None
        count, total = self._by_key.pop(key, (0, 0))
        self._by_key[key] = (count + 1, total + tokens)
        if len(self._by_key) > _KEYS_HELD:
            self._by_key.popitem(last=False)
        if seconds > 0:
            self.pace += _SMOOTHING * (tokens / seconds - self.pace)

    def expect(self, key: Hashable) -> float:
        """Returns the expected length under ``key``, such as a prompt.

        The mean of all lengths counts as one observation of the key.
        """
        count, total = self._by_key.get(key, (0, 0))
        return (total + self.mean) / (count + 1)

    def expect_rest(self, tokens: int) -> float:
        """Returns how many more tokens follow the first ``tokens``."""
        if self._tails is None:
            self._tails = list(itertools.accumulate(reversed(self._sorted)))
        longer = len(self._sorted) - bisect.bisect_right(self._sorted, tokens)
        if longer:
            return self._tails[longer - 1] / longer - tokens
        return max(self.mean - tokens, tokens / 2)
