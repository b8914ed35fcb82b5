"""Admission of work to targets.

A grant is the right to send one request to one target.  Whoever holds it
releases it exactly once.
"""

import asyncio
import logging
import random

from expression import Error
from expression import Ok
from expression import Result

from waxwingport.configuration import state
from waxwingport import outcomes
from waxwingport.routing import candidates
from waxwingport.routing import choice
from waxwingport.targets import table

__all__ = ['Admission', 'Grant']

_LOG = logging.getLogger(__name__)


class Grant:
    """The right to send one request to ``target``.

    ``preempted`` is set when a rollout has to give way to a live call.
    """

    def __init__(self, work: candidates.Work, target: table.Target) -> None:
        self.work = work
        self.target = target
        self.preempted = asyncio.Event()
        self._held = True
        target.start_request()

    def release(self) -> None:
        """Gives the right back; does nothing the second time."""
        if self._held:
            self._held = False
            self.target.finish_request()


class Admission:
    """Grants targets to requests."""

    def __init__(
        self,
        configuration: state.ConfigurationState,
        targets: table.TargetTable,
        rng: random.Random,
    ) -> None:
        self._configuration = configuration
        self._targets = targets
        self._rng = rng

    async def acquire(
        self, work: candidates.Work
    ) -> Result[Grant, outcomes.Refusal]:
        """Returns a grant for ``work``, or why there is none."""
        selector = self._configuration.find_selector(work.group)
        if selector is None:
            return Error(
                outcomes.Refusal(
                    outcomes.Reason.NOT_FOUND,
                    f'no pool or service is called {work.group!r}',
                )
            )
        options = self._targets.select(selector)
        decision = choice.choose(
            work, [row.describe() for row in options], self._rng
        )
        _log_decision(work, decision)
        if decision.chosen is None:
            return Error(
                outcomes.Refusal(
                    outcomes.Reason.NO_TARGET,
                    f'no target of {work.group!r} can take the request',
                    retry_after=1.0,
                )
            )
        target = self._targets.find(decision.chosen)
        return Ok(Grant(work, target))


def _log_decision(
    work: candidates.Work, decision: candidates.Decision
) -> None:
    _LOG.info(
        'route request=%s group=%s class=%s considered=%d chosen=%s '
        'score=%.3f rejected=%s',
        work.request_id,
        work.group,
        work.work_class.value,
        decision.considered,
        decision.chosen,
        decision.score,
        dict(decision.rejected),
    )
