"""Decides whether and how a request may be tried once more."""

import enum

import msgspec

from waxwingport import ids
from waxwingport.targets import base

__all__ = ['AttemptHistory', 'NextStep']

_MAX_IDLE_ATTEMPTS = 4
"""Attempts in a row that brought nothing."""
_MAX_ATTEMPTS = 16


class NextStep(enum.Enum):
    """What to do after a failed attempt."""

    GIVE_UP = 'give-up'
    MOVE = 'move'
    """Try another target."""
    RETRY = 'retry'
    """Try another target, if the retry budget allows."""


class AttemptHistory(msgspec.Struct):
    """Counts the attempts of one request.

    An attempt that brought a part of the answer repeats no work when the next
    one resumes from there, and one that reached no target costs none; neither
    is charged to the retry budget.
    """

    total: int = 0
    idle: int = 0
    uncertain_fault: base.TargetFault | None = None
    """The last fault after which the request may have run."""
    failed_targets: frozenset[ids.TargetName] = frozenset()

    def record_failure(
        self,
        target: ids.TargetName,
        fault: base.TargetFault,
        progressed: bool = False,
    ) -> None:
        """Takes a failed attempt at ``target``."""
        self.total += 1
        if fault.sent:
            self.uncertain_fault = fault
        self.idle = 0 if progressed else self.idle + 1
        self.failed_targets |= {target}

    def record_preemption(self, fault: base.TargetFault) -> None:
        """Takes an attempt that gave way, which is no failure."""
        if fault.sent:
            self.uncertain_fault = fault

    def decide(self, fault: base.TargetFault, idempotent: bool) -> NextStep:
        """Returns what to do after ``fault``, the last attempt's."""
        if fault.sent and not idempotent:
            return NextStep.GIVE_UP
        if fault.kind in (
            base.TargetFaultKind.REJECTED,
            base.TargetFaultKind.TIMEOUT,
        ):
            return NextStep.GIVE_UP
        if self.total >= _MAX_ATTEMPTS or self.idle >= _MAX_IDLE_ATTEMPTS:
            return NextStep.GIVE_UP
        if self.idle == 0 or fault.kind is base.TargetFaultKind.UNREACHABLE:
            return NextStep.MOVE
        return NextStep.RETRY
