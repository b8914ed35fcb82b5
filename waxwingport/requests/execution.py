"""Sends a service call to a target and retries it where that is safe."""

import asyncio
import logging
import random

from expression import Error
from expression import Result

from waxwingport.limits import admission
from waxwingport.limits import retries
from waxwingport import outcomes
from waxwingport.requests import attempts
from waxwingport.requests import refusals
from waxwingport.requests import retrying
from waxwingport.routing import model
from waxwingport.targets import base

__all__ = ['Execution']

_LOG = logging.getLogger(__name__)


class Execution:
    """Runs service calls on the targets that admission grants."""

    def __init__(
        self,
        gate: admission.Admission,
        budget: retries.RetryBudget,
        rng: random.Random,
    ) -> None:
        self._retry_policy = retrying.RetryPolicy(gate, budget, rng)

    async def run(
        self, work: model.Work, call: base.ServiceCall
    ) -> Result[base.ServiceAnswer, outcomes.Refusal]:
        """Returns the service's answer, or a refusal that says if it ran.

        A call that is not idempotent is tried on another target only if no
        byte of it was sent.
        """
        history = attempts.AttemptHistory()
        self._retry_policy.record_request(work.group)
        while True:
            match await self._retry_policy.acquire(work, history):
                case Result(tag='ok', ok=grant):
                    pass
                case refused:
                    return refused
            match await _send(grant, call, work.deadline):
                case Result(tag='ok') as answer:
                    return answer
                case Result(error=fault):
                    pass
            history.record_failure(grant.target.name, fault)
            retry = await self._retry_policy.wait_to_retry(
                work, history, fault, call.idempotent
            )
            _log_attempt(work, grant, history, fault, retry)
            if not retry:
                return Error(
                    refusals.refuse_after(
                        history, refusals.refuse_for_fault(fault)
                    )
                )


async def _send(
    grant: admission.Grant, call: base.ServiceCall, deadline: float
) -> Result[base.ServiceAnswer, base.TargetFault]:
    timeout = deadline - asyncio.get_running_loop().time()
    try:
        answer = await grant.target.service.call(call, timeout)
        grant.finish(answer.swap().default_value(None))
        return answer
    finally:
        grant.release()


def _log_attempt(
    work: model.Work,
    grant: admission.Grant,
    history: attempts.AttemptHistory,
    fault: base.TargetFault,
    retry: bool,
) -> None:
    _LOG.warning(
        'attempt request=%s target=%s number=%d fault=%s sent=%s again=%s '
        'detail=%r',
        work.request_id,
        grant.target.name,
        history.total,
        fault.kind.value,
        fault.sent,
        retry,
        fault.detail,
    )
