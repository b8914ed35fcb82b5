"""Which engine runs which attempt."""

from expression import Result

from waxwingport import ids
from waxwingport.limits import admission
from waxwingport import outcomes
from waxwingport.routing import candidates

__all__ = ['Placements']


class Placements:
    """Admission that remembers the latest target of each watched request."""

    def __init__(self, gate: admission.Admission) -> None:
        self._gate = gate
        self._targets: dict[ids.RequestId, ids.TargetName | None] = {}

    def watch(self, request_id: ids.RequestId) -> None:
        """Starts to remember the target of a request."""
        self._targets[request_id] = None

    def find(self, request_id: ids.RequestId) -> ids.TargetName | None:
        """Returns the target of a watched request, ``None`` before."""
        return self._targets.get(request_id)

    def forget(self, request_id: ids.RequestId) -> None:
        """Ends what ``watch`` started."""
        self._targets.pop(request_id, None)

    async def acquire(
        self, work: candidates.Work
    ) -> Result[admission.Grant, outcomes.Refusal]:
        """Returns a grant for ``work``, or why there is none."""
        outcome = await self._gate.acquire(work)
        match outcome:
            case Result(tag='ok', ok=grant) if (
                work.request_id in self._targets
            ):
                self._targets[work.request_id] = grant.target.name
        return outcome
