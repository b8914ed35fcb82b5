"""Calls of plain services."""

import asyncio

from expression import Error
from expression import Result

from waxwingport.limits import admission
from waxwingport import outcomes
from waxwingport.routing import candidates
from waxwingport.targets import base

__all__ = ['ServiceRunner']


class ServiceRunner:
    """Runs calls of plain services."""

    def __init__(self, gate: admission.Admission) -> None:
        self._admission = gate

    async def call(
        self, work: candidates.Work, call: base.ServiceCall
    ) -> Result[base.ServiceAnswer, outcomes.Refusal]:
        """Sends the call once and returns the service's answer."""
        match await self._admission.acquire(work):
            case Result(tag='ok', ok=grant):
                pass
            case Result(error=refusal):
                return Error(refusal)
        try:
            timeout = work.deadline - asyncio.get_running_loop().time()
            answer = await grant.target.service.call(call, timeout)
        finally:
            grant.release()
        return answer.map_error(_refuse)


def _refuse(fault: base.TargetFault) -> outcomes.Refusal:
    if not fault.sent:
        return outcomes.Refusal(
            outcomes.Reason.NO_TARGET, fault.detail, retry_after=1.0
        )
    timed_out = fault.kind in (
        base.TargetFaultKind.SILENT,
        base.TargetFaultKind.TIMEOUT,
    )
    reason = (
        outcomes.Reason.TIMEOUT if timed_out else outcomes.Reason.TARGET_FAILED
    )
    return outcomes.Refusal(reason, fault.detail, outcomes.Ran.UNKNOWN)
