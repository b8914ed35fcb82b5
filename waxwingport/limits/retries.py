"""Budget and backoff of retries.

Each request adds to a budget that retries are charged to, so that retries
stay a bounded share of the traffic when every target of a pool slows down.
"""

import math
import random

from waxwingport.limits import decay

__all__ = ['RetryBudget', 'compute_backoff']

_FIRST_MAX_DELAY_S = 0.05
"""Longest first backoff; the bound doubles with each further one."""
_MAX_DELAY_S = 5.0
_LAST_DOUBLING = math.ceil(math.log2(_MAX_DELAY_S / _FIRST_MAX_DELAY_S))
_TIME_CONSTANT_S = 10.0
"""Time constant with which requests and retries decay."""
_MIN_RETRIES = 3.0
"""Retries per time constant that a group may make beyond its share, so that a
group with little traffic can retry at all."""


class RetryBudget:
    """Limits retries to a share of the requests of each pool or service.

    Over time a group may retry at most ``retry_share`` of its requests, plus
    a few retries per time constant.  Needs a running event loop.
    """

    def __init__(self, retry_share: float) -> None:
        self.retry_share = retry_share
        self._requests: dict[str, decay.DecayingCount] = {}
        self._retries: dict[str, decay.DecayingCount] = {}

    def record_request(self, group: str) -> None:
        """Counts the first attempt of a request towards the group's budget."""
        self._get_or_create_count(self._requests, group).add(1.0)

    def try_spend(self, group: str) -> bool:
        """Charges one retry to the group's budget.

        Returns false, and charges nothing, when the budget is exhausted.
        """
        spent = self._get_or_create_count(self._retries, group)
        allowed = (
            _MIN_RETRIES
            + self.retry_share
            * self._get_or_create_count(self._requests, group).read()
        )
        if spent.read() + 1.0 > allowed:
            return False
        spent.add(1.0)
        return True

    def _get_or_create_count(
        self, counts: dict[str, decay.DecayingCount], group: str
    ) -> decay.DecayingCount:
        count = counts.get(group)
        if count is None:
            count = counts[group] = decay.DecayingCount(_TIME_CONSTANT_S)
        return count


def compute_backoff(attempt: int, rng: random.Random) -> float:
    """Returns the seconds to wait before retry ``attempt``, counted from 0.

    The backoff is exponential with full jitter and an upper bound.
    """
    exponent = min(max(attempt, 0), _LAST_DOUBLING)
    ceiling = min(_MAX_DELAY_S, _FIRST_MAX_DELAY_S * 2.0**exponent)
    return rng.uniform(0.0, ceiling)
