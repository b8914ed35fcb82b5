"""Preemption of rollouts by live calls."""

from collections.abc import Mapping
import itertools
import logging

from waxwingport.limits import grants
from waxwingport.limits import groups
from waxwingport.routing import model
from waxwingport.routing import pools

__all__ = ['Preemption']

_LOG = logging.getLogger(__name__)


class Preemption:
    """Preempts rollouts, never more than there are live calls waiting.

    A rollout counts as being preempted until its grant is released.
    """

    def __init__(
        self, admission_groups: Mapping[str, groups.AdmissionGroup]
    ) -> None:
        self._groups = admission_groups
        self._preempting: dict[grants.Grant, groups.AdmissionGroup] = {}

    def preempt_for(
        self,
        group: groups.AdmissionGroup,
        view: pools.PoolView,
        work: model.Work,
    ) -> None:
        """Preempts a rollout for each waiting live call that lacks one.

        Chooses rollouts of any group at targets that ``work`` may use.
        """
        live_queue = group.queues[model.WorkClass.LIVE]
        lacking_count = len(live_queue) - group.preempting_count
        if lacking_count <= 0:
            return
        preemptible = itertools.chain.from_iterable(
            other.iterate_preemptible() for other in self._groups.values()
        )
        usable_grants = (
            rollout
            for rollout in preemptible
            if view.is_usable(work, rollout.target)
        )
        for grant in itertools.islice(usable_grants, lacking_count):
            grant.preempted.set()
            group.preempting_count += 1
            self._preempting[grant] = group
            _LOG.info(
                'preempt request=%s group=%s target=%s',
                grant.work.request_id,
                grant.work.group,
                grant.target.name,
            )

    def handle_release(self, grant: grants.Grant) -> None:
        """Ends the preemption of ``grant``, if it was being preempted."""
        requester = self._preempting.pop(grant, None)
        if requester is not None:
            requester.preempting_count -= 1
