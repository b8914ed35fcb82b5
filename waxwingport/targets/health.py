"""State of one target: its chart, and when a fault counts against it."""

import enum

from waxwingport.charts import chart
from waxwingport.routing import candidates
from waxwingport.targets import base

__all__ = ['Health', 'TargetEvent', 'FaultClass', 'classify_fault']

_FAULTS_IN_A_ROW = 3
"""Attempts that fail one after the other before a target is suspect."""
_REFUSAL_COOL_DOWN = 0.2
"""Seconds."""
_FAULT_COOL_DOWN = 0.5
"""Seconds, doubled with each failure in a row."""
_LONGEST_COOL_DOWN = 10.0
"""Seconds."""
_LAST_DOUBLING = 8


class TargetEvent(enum.Enum):
    """What changes the state of a target; see ``charts/target.yaml``."""

    FAIL = 'fail'
    LEAVE = 'leave'
    RECOVER = 'recover'
    REMOVE = 'remove'
    RETURN = 'return'
    SETTLE = 'settle'


class FaultClass(enum.Enum):
    """What a fault says of the target."""

    FAILING = 'failing'
    """The request broke there; several in a row make it suspect."""
    NEUTRAL = 'neutral'
    """Nothing: the request or this node was at fault."""
    REFUSING = 'refusing'
    """It said that it takes no work now."""
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
    """Returns what ``fault`` says of the target."""
    return _FAULT_CLASSES[fault.kind]


class Health:
    """Where a target stands in its chart, and its failures in a row."""

    def __init__(self) -> None:
        self._chart = chart.read_chart(
            'target', candidates.TargetState, TargetEvent
        )
        self.state = self._chart.initial
        self.failures = 0
        self._faults = 0
        self._cool_down = _FAULT_COOL_DOWN

    def handle(self, event: TargetEvent) -> bool:
        """Follows the chart; returns whether the state changed."""
        before = self.state
        self.state = self._chart.next(before, event)
        return self.state is not before

    def record_success(self) -> None:
        """Takes an answer as a sign that the target works."""
        self.failures = 0
        self._faults = 0

    def record_fault(
        self, fault: base.TargetFault, may_eject: bool
    ) -> float | None:
        """Takes a failed request.

        Returns the seconds to cool down when the target turned suspect.
        ``may_eject`` is false when too much of its pool is suspect already;
        then only a target that refuses or can't be reached turns suspect.
        """
        verdict = classify_fault(fault)
        if verdict is FaultClass.NEUTRAL:
            return None
        if self.state is candidates.TargetState.SUSPECT:
            if verdict is not FaultClass.UNREACHABLE:
                return None
            return max(self._cool_down, fault.retry_after or 0.0)
        if verdict is FaultClass.FAILING:
            self._faults += 1
            if self._faults < _FAULTS_IN_A_ROW or not may_eject:
                return None
        if not self._chart.accepts(self.state, TargetEvent.FAIL):
            return None
        self._faults = 0
        self.handle(TargetEvent.FAIL)
        if verdict is FaultClass.REFUSING:
            wanted = fault.retry_after or _REFUSAL_COOL_DOWN
            return min(max(wanted, _REFUSAL_COOL_DOWN), _LONGEST_COOL_DOWN)
        doublings = min(self.failures, _LAST_DOUBLING)
        self.failures += 1
        self._cool_down = min(
            _FAULT_COOL_DOWN * 2**doublings, _LONGEST_COOL_DOWN
        )
        return max(self._cool_down, fault.retry_after or 0.0)
