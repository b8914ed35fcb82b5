"""Acquires targets for the attempts of a request, within its limits."""

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
from waxwingport.routing import model
from waxwingport.targets import base

__all__ = ['RetryPolicy']


class RetryPolicy:
    """Retry rules of completions and service calls.

    Retries stay within the retry budget and the request's deadline.
    """

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
        """Counts a request, which raises its group's retry budget."""
        self._budget.record_request(group)

    def try_spend(self, group: str) -> bool:
        """Spends one retry of the budget; returns false if none is left."""
        return self._budget.try_spend(group)

    async def acquire(
        self, work: model.Work, history: attempts.AttemptHistory
    ) -> Result[admission.Grant, outcomes.Refusal]:
        """Returns a grant for a target on which no attempt has failed.

        If attempts have failed on all targets, waits for a backoff and
        accepts any of them.
        """
        if not history.failed_targets:
            acquired = await self._admission.acquire(work)
            return acquired.map_error(
                lambda declined: _complete_refusal(history, declined)
            )
        excluded = work.excluded | history.failed_targets
        match await self._admission.acquire(
            msgspec.structs.replace(work, excluded=excluded)
        ):
            case Result(tag='error', error=refusal) if (
                refusal.reason is outcomes.Reason.NO_TARGET
            ):
                pass
            case acquired:
                return acquired.map_error(
                    lambda declined: _complete_refusal(history, declined)
                )
        if not self.try_spend(work.group) or not await self._back_off(
            work, history
        ):
            return Error(_complete_refusal(history, refusal))
        history.failed_targets = frozenset()
        return await self.acquire(work, history)

    async def wait_to_retry(
        self,
        work: model.Work,
        history: attempts.AttemptHistory,
        fault: base.TargetFault,
        idempotent: bool,
    ) -> bool:
        """Returns whether to try again, after waiting for the backoff."""
        match history.decide(fault, idempotent):
            case attempts.NextStep.GIVE_UP:
                return False
            case attempts.NextStep.RETRY if not self.try_spend(work.group):
                return False
            case attempts.NextStep.MOVE if history.without_progress <= 1:
                return _has_time(work, 0.0)
        return await self._back_off(work, history)

    async def _back_off(
        self, work: model.Work, history: attempts.AttemptHistory
    ) -> bool:
        delay = retries.compute_backoff(
            history.without_progress - 1, self._rng
        )
        if not _has_time(work, delay):
            return False
        await asyncio.sleep(delay)
        return True


def _has_time(work: model.Work, delay: float) -> bool:
    return asyncio.get_running_loop().time() + delay < work.deadline


def _complete_refusal(
    history: attempts.AttemptHistory, refusal: outcomes.Refusal
) -> outcomes.Refusal:
    return refusals.refuse_after(history, refusal)
