"""Health of one target: its state and the faults that change it."""

import enum

from waxwingport.charts import chart
from waxwingport.routing import model
from waxwingport.targets import base

__all__ = ['FaultClass', 'Health', 'TargetEvent', 'classify_fault']

_MAX_CONSECUTIVE_FAULTS = 3
"""Consecutive failed requests after which a target turns suspect."""
_REFUSAL_COOL_DOWN_S = 0.2
"""Shortest cool-down after a refusal."""
_FAULT_COOL_DOWN_S = 0.5
"""Cool-down after other failures; doubled with each consecutive one."""
_MAX_COOL_DOWN_S = 10.0
_MAX_DOUBLINGS = 8
"""Bounds the exponent; the cool-down reaches its maximum before that."""


class TargetEvent(enum.Enum):
    """Event in the state chart of a target; see ``charts/target.yaml``."""

    FAIL = 'fail'
    """Requests failed, or the target refused or could not be reached."""
    LEAVE = 'leave'
    """The VM list or a label says that the target is leaving."""
    RECOVER = 'recover'
    """The cool-down is over, or a poll succeeded again."""
    REMOVE = 'remove'
    """The target is no longer in the VM list."""
    RETURN = 'return'
    """The target is not leaving any more."""
    SETTLE = 'settle'
    """The target has joined and may use its whole capacity."""


class FaultClass(enum.Enum):
    """What a fault means for the health of the target."""

    FAILING = 'failing'
    """The request failed; several consecutive faults make it suspect."""
    NEUTRAL = 'neutral'
    """Nothing: the request or this node caused the fault."""
    REFUSING = 'refusing'
    """The target accepts no work at present."""
    UNREACHABLE = 'unreachable'
    """No connection could be opened."""


_FAULT_CLASSES = {
    base.TargetFaultKind.BROKEN: FaultClass.FAILING,
    base.TargetFaultKind.CANCELLED: FaultClass.NEUTRAL,
    base.TargetFaultKind.REFUSED: FaultClass.REFUSING,
    base.TargetFaultKind.REJECTED: FaultClass.NEUTRAL,
    base.TargetFaultKind.SILENT: FaultClass.FAILING,
    base.TargetFaultKind.TIMEOUT: FaultClass.FAILING,
    base.TargetFaultKind.UNREACHABLE: FaultClass.UNREACHABLE,
}


def classify_fault(fault: base.TargetFault) -> FaultClass:
    """Returns what ``fault`` means for the health of the target."""
    return _FAULT_CLASSES[fault.kind]


class Health:
    """The state of a target in its chart.

    ``failures`` counts how often it turned suspect since its last answer,
    other than by refusals.
    """

    def __init__(self) -> None:
        self._chart = chart.read_chart(
            'target', model.TargetState, TargetEvent
        )
        self.state = self._chart.initial
        self.failures = 0
        self._consecutive_faults = 0
        self._cool_down = _FAULT_COOL_DOWN_S

    def handle(self, event: TargetEvent) -> bool:
        """Applies an event to the state; returns whether the state changed."""
        before = self.state
        self.state = self._chart.next(before, event)
        return self.state is not before

    def record_success(self) -> None:
        """Resets the counts of failures after an answer."""
        self.failures = 0
        self._consecutive_faults = 0

    def record_fault(
        self, fault: base.TargetFault, may_turn_suspect: bool
    ) -> float | None:
        """Counts a failed request, which may turn the target suspect.

        Returns the cool-down in seconds if the target turned suspect or has
        to stay so, ``None`` otherwise.  ``may_turn_suspect`` is false if too
        large a share of the pool is suspect already; then only a target that
        refuses or can't be reached turns suspect.
        """
        fault_class = classify_fault(fault)
        if fault_class is FaultClass.NEUTRAL:
            return None
        if self.state is model.TargetState.SUSPECT:
            if fault_class is not FaultClass.UNREACHABLE:
                return None
            return max(self._cool_down, fault.retry_after or 0.0)
        if fault_class is FaultClass.FAILING:
            self._consecutive_faults += 1
            if (
                self._consecutive_faults < _MAX_CONSECUTIVE_FAULTS
                or not may_turn_suspect
            ):
                return None
        if not self._chart.accepts(self.state, TargetEvent.FAIL):
            return None
        self._consecutive_faults = 0
        self.handle(TargetEvent.FAIL)
        if fault_class is FaultClass.REFUSING:
            requested = fault.retry_after or _REFUSAL_COOL_DOWN_S
            return min(max(requested, _REFUSAL_COOL_DOWN_S), _MAX_COOL_DOWN_S)
        doublings = min(self.failures, _MAX_DOUBLINGS)
        self.failures += 1
        self._cool_down = min(
            _FAULT_COOL_DOWN_S * 2**doublings, _MAX_COOL_DOWN_S
        )
        return max(self._cool_down, fault.retry_after or 0.0)
