"""Makes the refusals that callers get after faults of targets."""

from waxwingport import outcomes
from waxwingport.requests import attempts
from waxwingport.targets import base

__all__ = [
    'refuse_after',
    'refuse_for_fault',
    'refuse_interrupted',
    'refuse_shutting_down',
    'refuse_unknown',
]

_RETRY_AFTER_S = 1.0
"""``Retry-After`` of a refusal where no target gave one."""
_TIMEOUT_KINDS = (base.TargetFaultKind.SILENT, base.TargetFaultKind.TIMEOUT)


def refuse_for_fault(fault: base.TargetFault) -> outcomes.Refusal:
    """Returns the refusal of a request whose last attempt had ``fault``."""
    if fault.kind is base.TargetFaultKind.REJECTED:
        return outcomes.Refusal(
            outcomes.Reason.BAD_REQUEST, fault.detail, _find_ran(fault)
        )
    if not fault.sent:
        return outcomes.Refusal(
            outcomes.Reason.NO_TARGET,
            fault.detail,
            retry_after=fault.retry_after or _RETRY_AFTER_S,
        )
    reason = (
        outcomes.Reason.TIMEOUT
        if fault.kind in _TIMEOUT_KINDS
        else outcomes.Reason.TARGET_FAILED
    )
    return outcomes.Refusal(reason, fault.detail, outcomes.Ran.UNKNOWN)


def refuse_unknown(detail: str) -> outcomes.Refusal:
    """Returns the refusal of a request whose outcome is unknown."""
    return outcomes.Refusal(
        outcomes.Reason.UNKNOWN_OUTCOME, detail, outcomes.Ran.UNKNOWN
    )


def refuse_interrupted() -> outcomes.Refusal:
    """Returns the refusal of a request that a shutdown interrupted."""
    return outcomes.Refusal(
        outcomes.Reason.INTERRUPTED,
        'the node stopped before the answer was complete',
        outcomes.Ran.UNKNOWN,
    )


def refuse_shutting_down() -> outcomes.Refusal:
    """Returns the refusal of a new request during a shutdown."""
    return outcomes.Refusal(
        outcomes.Reason.SHUTTING_DOWN,
        'the node is shutting down; ask another one',
        retry_after=_RETRY_AFTER_S,
    )


def refuse_after(
    history: attempts.AttemptHistory, refusal: outcomes.Refusal
) -> outcomes.Refusal:
    """Returns the refusal to send after the attempts in ``history``.

    A refusal that says "not run" is replaced if an earlier attempt may have
    run.  The replacement reports that attempt's fault, which explains more
    than the lack of another target.
    """
    if refusal.ran is outcomes.Ran.UNKNOWN or history.uncertain_fault is None:
        return refusal
    return refuse_for_fault(history.uncertain_fault)


def _find_ran(fault: base.TargetFault) -> outcomes.Ran:
    return outcomes.Ran.UNKNOWN if fault.sent else outcomes.Ran.NO
