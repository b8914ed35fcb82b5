"""Waits before a further attempt, if budget and deadline allow one."""

import asyncio
import random

from waxwingport.limits import retries
from waxwingport.requests import attempts
from waxwingport.routing import candidates
from waxwingport.targets import base

__all__ = ['Retrying']


class Retrying:
    """The retry rules that completions and service calls share."""

    def __init__(
        self, budget: retries.RetryBudget, rng: random.Random
    ) -> None:
        self._budget = budget
        self._rng = rng

    def note_request(self, group: str) -> None:
        """Counts a request's first attempt."""
        self._budget.note_request(group)

    def take(self, group: str) -> bool:
        """Takes one retry from the budget; returns false when it is spent."""
        return self._budget.take(group)

    async def wait(
        self,
        work: candidates.Work,
        made: attempts.Attempts,
        fault: base.TargetFault,
        idempotent: bool,
    ) -> bool:
        """Returns whether to try again, after the backoff."""
        match made.decide(fault, idempotent):
            case attempts.Next.GIVE_UP:
                return False
            case attempts.Next.RETRY if not self._budget.take(work.group):
                return False
            case attempts.Next.MOVE if made.idle <= 1:
                return _has_time(work, 0.0)
        delay = retries.compute_backoff(made.idle - 1, self._rng)
        if not _has_time(work, delay):
            return False
        await asyncio.sleep(delay)
        return True


def _has_time(work: candidates.Work, delay: float) -> bool:
    return asyncio.get_running_loop().time() + delay < work.deadline
