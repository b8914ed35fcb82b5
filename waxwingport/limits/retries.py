"""Budget and backoff of retries.

A retry is taken from a budget that requests fill, so that retries stay a
bounded share of the traffic when every target of a pool slows down.
"""

import math
import random

from waxwingport.limits import decay

__all__ = ['RetryBudget', 'compute_backoff']

_BASE_DELAY = 0.05
"""Seconds: upper end of the first backoff."""
_LONGEST_DELAY = 5.0
"""Seconds."""
_LAST_DOUBLING = math.ceil(math.log2(_LONGEST_DELAY / _BASE_DELAY))
_WINDOW = 10.0
"""Seconds after which a request no longer backs a retry."""
_MINIMUM = 3.0
"""Retries in a window that a group with little traffic may always take."""


class RetryBudget:
    """Retries as a share of the requests of each pool or service.

    Over time a group gets at most ``retry_share`` of its requests plus a few
    retries in each window.  Use it within a running loop.
    """

    def __init__(self, retry_share: float) -> None:
        self.retry_share = retry_share
        self._requests: dict[str, decay.DecayingCount] = {}
        self._retries: dict[str, decay.DecayingCount] = {}

    def record_request(self, group: str) -> None:
        """Counts a first attempt of a request."""
        self._find(self._requests, group).add(1.0)

    def try_spend(self, group: str) -> bool:
        """Takes one retry from the budget; returns false when it is spent."""
        taken = self._find(self._retries, group)
        allowed = (
            _MINIMUM
            + self.retry_share * self._find(self._requests, group).read()
        )
        if taken.read() + 1.0 > allowed:
            return False
        taken.add(1.0)
        return True

    def _find(
        self, counts: dict[str, decay.DecayingCount], group: str
    ) -> decay.DecayingCount:
        found = counts.get(group)
        if found is None:
            found = counts[group] = decay.DecayingCount(_WINDOW)
        return found


def compute_backoff(attempt: int, rng: random.Random) -> float:
    """Returns the seconds to wait before retry ``attempt``, from 0.

    Exponential with full jitter and a cap.
    """
    exponent = min(max(attempt, 0), _LAST_DOUBLING)
    ceiling = min(_LONGEST_DELAY, _BASE_DELAY * 2.0**exponent)
    return rng.uniform(0.0, ceiling)
