"""Records which engine runs which attempt."""

from expression import Result

from waxwingport import ids
from waxwingport.limits import admission
from waxwingport import outcomes
from waxwingport.routing import model

__all__ = ['PlacementTracker']


class PlacementTracker:
    """Wraps an admission and records the target of each tracked request."""

    def __init__(self, wrapped: admission.Admission) -> None:
        self._wrapped = wrapped
        self._targets: dict[ids.RequestId, ids.TargetName | None] = {}

    def track(self, request_id: ids.RequestId) -> None:
        """Starts to record the target of a request."""
        self._targets[request_id] = None

    def find(self, request_id: ids.RequestId) -> ids.TargetName | None:
        """Returns the latest target of a tracked request.

        ``None`` before the first grant and for an untracked request.
        """
        return self._targets.get(request_id)

    def forget(self, request_id: ids.RequestId) -> None:
        """Stops tracking a request."""
        self._targets.pop(request_id, None)

    async def acquire(
        self, work: model.Work
    ) -> Result[admission.Grant, outcomes.Refusal]:
        """Returns a grant for ``work``, or why the admission refused it."""
        outcome = await self._wrapped.acquire(work)
        match outcome:
            case Result(tag='ok', ok=grant) if (
                work.request_id in self._targets
            ):
                self._targets[work.request_id] = grant.target.name
        return outcome
