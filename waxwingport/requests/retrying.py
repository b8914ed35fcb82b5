"""Grants for the attempts of one request, within budget and deadline."""

import asyncio
import random

from expression import Error
from expression import Result
import msgspec

from waxwingport.limits import admission
from waxwingport.limits import retries
from waxwingport import outcomes
from waxwingport.requests import attempts
from waxwingport.requests import refusals
from waxwingport.routing import candidates
from waxwingport.targets import base

__all__ = ['RetryPolicy']


class RetryPolicy:
    """The rules of retries that completions and service calls share."""

    def __init__(
        self,
        gate: admission.Admission,
        budget: retries.RetryBudget,
        rng: random.Random,
    ) -> None:
        self._admission = gate
        self._budget = budget
        self._rng = rng

    def record_request(self, group: str) -> None:
        """Counts a request's first attempt."""
        self._budget.note_request(group)

    def use_retry(self, group: str) -> bool:
        """Takes one retry from the budget; returns false when it is spent."""
        return self._budget.take(group)

    async def acquire(
        self, work: candidates.Work, history: attempts.AttemptHistory
    ) -> Result[admission.Grant, outcomes.Refusal]:
        """Returns a grant for a target where no attempt has failed.

        When all have failed, they are tried again after a backoff.
        """
        if not history.failed_targets:
            found = await self._admission.acquire(work)
            return found.map_error(lambda row: _refuse(history, row))
        spared = work.excluded | history.failed_targets
        match await self._admission.acquire(
            msgspec.structs.replace(work, excluded=spared)
        ):
            case Result(tag='error', error=refusal) if (
                refusal.reason is outcomes.Reason.NO_TARGET
            ):
                pass
            case found:
                return found.map_error(lambda row: _refuse(history, row))
        if not self.use_retry(work.group) or not await self._back_off(
            work, history
        ):
            return Error(_refuse(history, refusal))
        history.failed_targets = frozenset()
        return await self.acquire(work, history)

    async def wait_to_retry(
        self,
        work: candidates.Work,
        history: attempts.AttemptHistory,
        fault: base.TargetFault,
        idempotent: bool,
    ) -> bool:
        """Returns whether to try again, after the backoff."""
        match history.decide(fault, idempotent):
            case attempts.NextStep.GIVE_UP:
                return False
            case attempts.NextStep.RETRY if not self.use_retry(work.group):
                return False
            case attempts.NextStep.MOVE if history.idle <= 1:
                return _has_time(work, 0.0)
        return await self._back_off(work, history)

    async def _back_off(
        self, work: candidates.Work, history: attempts.AttemptHistory
    ) -> bool:
        delay = retries.compute_backoff(history.idle - 1, self._rng)
        if not _has_time(work, delay):
            return False
        await asyncio.sleep(delay)
        return True


def _has_time(work: candidates.Work, delay: float) -> bool:
    return asyncio.get_running_loop().time() + delay < work.deadline


def _refuse(
    history: attempts.AttemptHistory, refusal: outcomes.Refusal
) -> outcomes.Refusal:
    return refusals.refuse_after(history, refusal)
