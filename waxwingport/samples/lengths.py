"""Predicts lengths and speeds of a trainer's generations."""

import bisect
import collections
from collections.abc import Hashable
import itertools

__all__ = ['LengthModel']

_HISTORY_LENGTH = 1024
"""Latest generations from which lengths are predicted."""
_MAX_KEYS = 65_536
_INITIAL_LENGTH = 256.0
"""Tokens of a generation while none has finished."""
_INITIAL_TOKENS_PER_SECOND = 50.0
_SMOOTHING = 0.05
"""Weight of the newest generation in the mean speed."""


class LengthModel:
    """Predicts lengths in tokens from those of finished generations.

    ``tokens_per_second`` is the mean speed of one generation.
    """

    def __init__(self) -> None:
        self.tokens_per_second = _INITIAL_TOKENS_PER_SECOND
        self._recent: collections.deque[int] = collections.deque()
        self._sorted: list[int] = []
        self._sum = 0
        self._tails: list[int] | None = None
        self._by_key: collections.OrderedDict[Hashable, tuple[int, int]] = (
            collections.OrderedDict()
        )

    @property
    def mean(self) -> float:
        """Mean length, for a generation of which nothing is known."""
        return (
            self._sum / len(self._recent) if self._recent else _INITIAL_LENGTH
        )

    def record(self, key: Hashable, tokens: int, seconds: float) -> None:
        """Records a finished generation under a key, such as a prompt's."""
        self._recent.append(tokens)
        bisect.insort(self._sorted, tokens)
        self._sum += tokens
        if len(self._recent) > _HISTORY_LENGTH:
            oldest = self._recent.popleft()
            self._sum -= oldest
            del self._sorted[bisect.bisect_left(self._sorted, oldest)]
        self._tails = None
        count, total = self._by_key.pop(key, (0, 0))
        self._by_key[key] = (count + 1, total + tokens)
        if len(self._by_key) > _MAX_KEYS:
            self._by_key.popitem(last=False)
        if seconds > 0:
            self.tokens_per_second += _SMOOTHING * (
                tokens / seconds - self.tokens_per_second
            )

    def predict(self, key: Hashable) -> float:
        """Returns the expected length under ``key``.

        The mean of all lengths counts as one observation of the key.
        """
        count, total = self._by_key.get(key, (0, 0))
        return (total + self.mean) / (count + 1)

    def predict_remaining(self, tokens: int) -> float:
        """Returns how many tokens are expected after the first ``tokens``.

        This is the mean over recent generations that were longer.
        """
        if self._tails is None:
            self._tails = list(itertools.accumulate(reversed(self._sorted)))
        longer = len(self._sorted) - bisect.bisect_right(self._sorted, tokens)
        if longer:
            return self._tails[longer - 1] / longer - tokens
        return max(self.mean - tokens, tokens / 2)
