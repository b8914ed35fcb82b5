"""Decides whether and how a request may be tried again."""

import enum

import msgspec

from waxwingport import ids
from waxwingport.targets import base

__all__ = ['AttemptHistory', 'NextStep']

_MAX_ATTEMPTS_WITHOUT_PROGRESS = 4
"""Consecutive attempts without progress after which a request fails."""
_MAX_ATTEMPTS = 16
"""Failed attempts after which a request fails in any case."""


class NextStep(enum.Enum):
    """What to do after a failed attempt."""

    GIVE_UP = 'give-up'
    """Fail the request."""
    MOVE = 'move'
    """Try another target without spending a retry of the budget."""
    RETRY = 'retry'
    """Try another target, if the retry budget allows."""


class AttemptHistory(msgspec.Struct):
    """Counts the failed attempts of one request.

    Two kinds of attempts are not charged to the retry budget.  After one
    that returned a part of the answer, the next resumes from there and
    repeats no work; one that reached no target caused no work.
    """

    total: int = 0
    without_progress: int = 0
    uncertain_fault: base.TargetFault | None = None
    """Last fault after which the request may have run."""
    failed_targets: frozenset[ids.TargetName] = frozenset()

    def record_failure(
        self,
        target: ids.TargetName,
        fault: base.TargetFault,
        progressed: bool = False,
    ) -> None:
        """Adds a failed attempt.

        ``progressed`` says whether it returned a part of the answer.
        """
        self.total += 1
        if fault.sent:
            self.uncertain_fault = fault
        self.without_progress = 0 if progressed else self.without_progress + 1
        self.failed_targets |= {target}

    def record_preemption(self, fault: base.TargetFault) -> None:
        """Adds a preempted attempt, which does not count as a failure."""
        if fault.sent:
            self.uncertain_fault = fault

    def decide(self, fault: base.TargetFault, idempotent: bool) -> NextStep:
        """Returns what to do after ``fault``, which ended the last attempt."""
        if fault.sent and not idempotent:
            return NextStep.GIVE_UP
        if fault.kind in (
            base.TargetFaultKind.REJECTED,
            base.TargetFaultKind.TIMEOUT,
        ):
            return NextStep.GIVE_UP
        if (
            self.total >= _MAX_ATTEMPTS
            or self.without_progress >= _MAX_ATTEMPTS_WITHOUT_PROGRESS
        ):
            return NextStep.GIVE_UP
        if (
            self.without_progress == 0
            or fault.kind is base.TargetFaultKind.UNREACHABLE
        ):
            return NextStep.MOVE
        return NextStep.RETRY
