"""Budget and backoff of retries.

Each request adds to a budget that retries are charged to, so that retries
stay a bounded share of the traffic when every target of a pool slows down.
"""

import math
import random

from waxwingport.limits import decay

__all__ = ['RetryBudget', 'compute_backoff']

_BASE_DELAY_S = 0.05
"""Upper bound of the first backoff."""
_MAX_DELAY_S = 5.0
_LAST_DOUBLING = math.ceil(math.log2(_MAX_DELAY_S / _BASE_DELAY_S))
_WINDOW_S = 10.0
"""Time constant with which requests and retries decay."""
_MIN_RETRIES = 3.0
"""Retries in each window that a group with little traffic may always make."""


class RetryBudget:
    """Limits retries to a share of the requests of each pool or service.

    Over time a group may retry at most ``retry_share`` of its requests, plus
    a few retries in each window.  Needs a running event loop.
    """

    def __init__(self, retry_share: float) -> None:
        self.retry_share = retry_share
        self._requests: dict[str, decay.DecayingCount] = {}
        self._retries: dict[str, decay.DecayingCount] = {}

    def record_request(self, group: str) -> None:
        """Counts the first attempt of a request towards the group's budget."""
        self._find(self._requests, group).add(1.0)

    def try_spend(self, group: str) -> bool:
        """Charges one retry to the group's budget.

        Returns false, and charges nothing, when the budget is exhausted.
        """
        spent = self._find(self._retries, group)
        allowed = (
            _MIN_RETRIES
            + self.retry_share * self._find(self._requests, group).read()
        )
        if spent.read() + 1.0 > allowed:
            return False
        spent.add(1.0)
        return True

    def _find(
        self, counts: dict[str, decay.DecayingCount], group: str
    ) -> decay.DecayingCount:
        found = counts.get(group)
        if found is None:
            found = counts[group] = decay.DecayingCount(_WINDOW_S)
        return found


def compute_backoff(attempt: int, rng: random.Random) -> float:
    """Returns the seconds to wait before retry ``attempt``, counted from 0.

    The backoff is exponential with full jitter and an upper bound.
    """
    exponent = min(max(attempt, 0), _LAST_DOUBLING)
    ceiling = min(_MAX_DELAY_S, _BASE_DELAY_S * 2.0**exponent)
    return rng.uniform(0.0, ceiling)
