"""Lets rollouts give way to live calls."""

from collections.abc import Mapping
import itertools
import logging

from waxwingport.limits import grants
from waxwingport.limits import groups
from waxwingport.routing import candidates
from waxwingport.routing import pools

__all__ = ['Preemption']

_LOG = logging.getLogger(__name__)


class Preemption:
    """Keeps as many rollouts giving way as live calls wait, and no more."""

    def __init__(self, found: Mapping[str, groups.AdmissionGroup]) -> None:
        self._groups = found
        self._preempting: dict[grants.Grant, groups.AdmissionGroup] = {}

    def preempt_for(
        self,
        group: groups.AdmissionGroup,
        view: pools.PoolView,
        work: candidates.Work,
    ) -> None:
        """Preempts rollouts on targets that could take ``work``."""
        live = group.queues[candidates.WorkClass.LIVE]
        wanted = len(live) - group.preempting
        if wanted <= 0:
            return
        victims = itertools.chain.from_iterable(
            row.list_preemptible() for row in self._groups.values()
        )
        fitting = (row for row in victims if view.admits(work, row.target))
        for grant in itertools.islice(fitting, wanted):
            grant.preempted.set()
            group.preempting += 1
            self._preempting[grant] = group
            _LOG.info(
                'preempt request=%s group=%s target=%s',
                grant.work.request_id,
                grant.work.group,
                grant.target.name,
            )

    def handle_release(self, grant: grants.Grant) -> None:
        """Takes the release of a grant."""
        asking = self._preempting.pop(grant, None)
        if asking is not None:
            asking.preempting -= 1
