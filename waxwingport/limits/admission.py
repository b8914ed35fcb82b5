"""Admission of work to targets.

A request gets a grant at once, waits for one in a bounded queue, or is
refused as soon as it is clear that it can't be answered in time.  Live calls
are served before rollouts, and within each class the owners share the grants
by weight.
"""

import asyncio
from collections.abc import Iterator
import itertools
import logging
import random

from expression import Error
from expression import Ok
from expression import Result

from waxwingport.configuration import state
from waxwingport.limits import fairness
from waxwingport.limits import grants
from waxwingport.limits import groups
from waxwingport.limits import preemption
from waxwingport.limits import refusals
from waxwingport import outcomes
from waxwingport.routing import model
from waxwingport.routing import pools
from waxwingport.routing import router
from waxwingport.targets import base
from waxwingport.targets import table

__all__ = ['Admission', 'Grant']

Grant = grants.Grant
GrantResult = Result[grants.Grant, outcomes.Refusal]

_MAX_SUSPECT_SHARE = 0.5
"""Largest share of a pool's targets that may be suspect because requests
failed; beyond it only a target that refuses or can't be reached turns
suspect."""
_MAX_COOL_DOWN_S = 1.0
"""Longest remaining cool-down for which requests wait when every target is
suspect."""
_LOG = logging.getLogger(__name__)


class Admission(grants.GrantIssuer):
    """Issues grants for the targets of all pools and services."""

    def __init__(
        self,
        configuration: state.ConfigurationState,
        targets: table.TargetTable,
        rng: random.Random,
    ) -> None:
        self.router = router.Router(configuration, targets, rng)
        self._configuration = configuration
        self._targets = targets
        self._groups: dict[str, groups.AdmissionGroup] = {}
        self._group_tags = fairness.StartTags()
        self._arrival_numbers = itertools.count()
        self._preemption = preemption.Preemption(self._groups)
        self._refusals = refusals.RefusalFactory(rng)
        self._dispatch_scheduled = False
        self._changes_at_last_check = 0
        self.router.listen(self._schedule_dispatch)

    async def acquire(self, work: model.Work) -> GrantResult:
        """Returns a grant for ``work``, or a refusal.

        Waits while all targets are busy, at most until the request could no
        longer be answered before its deadline.
        """
        view = self.router.find_view(work.group)
        if view is None:
            return Error(
                outcomes.Refusal(
                    outcomes.Reason.NOT_FOUND,
                    f'no pool or service is called {work.group!r}',
                )
            )
        if self._dispatch_scheduled:
            self._dispatch()
        group = self._get_or_create_group(work.group)
        if not group.has_waiters_before(work):
            grant = self._try_grant(group, view, work)
            if grant is not None:
                return Ok(grant)
        refusal = self._refuse(group, view, work)
        if refusal is not None:
            return Error(refusal)
        return await self._wait_for_grant(group, view, work)

    def count_waiting(self, group: str) -> int:
        """Returns the number of requests that wait for a pool or service."""
        admission_group = self._groups.get(group)
        return admission_group.waiting_count if admission_group else 0

    def record_request_end(
        self,
        grant: grants.Grant,
        elapsed: float,
        fault: base.TargetFault | None,
    ) -> None:
        """Updates the target's health and the expected time of requests.

        ``elapsed`` is in seconds; ``fault`` is ``None`` for an answer.
        """
        work = grant.work
        group = self._get_or_create_group(work.group)
        if fault is None:
            expected = group.read_expected_time(work.work_class)
            grant.target.record_success(elapsed, expected)
            group.record_time(work.work_class, elapsed)
            return
        if fault.kind is base.TargetFaultKind.TIMEOUT:
            group.record_time(work.work_class, elapsed)
        view = self.router.find_view(work.group)
        may_turn_suspect = view is not None and (
            view.count_rejected(model.TargetState.SUSPECT.value) + 1
            <= _MAX_SUSPECT_SHARE * len(view)
        )
        grant.target.record_fault(fault, elapsed, may_turn_suspect)

    def handle_release(self, grant: grants.Grant) -> None:
        """Makes the slot of a released grant available to the waiters."""
        self._get_or_create_group(grant.work.group).remove_grant(grant)
        self._preemption.handle_release(grant)
        self._schedule_dispatch()

    def _get_or_create_group(self, name: str) -> groups.AdmissionGroup:
        group = self._groups.get(name)
        if group is None:
            group = self._groups[name] = groups.AdmissionGroup(name)
        return group

    def _try_grant(
        self,
        group: groups.AdmissionGroup,
        view: pools.PoolView,
        work: model.Work,
        protected: bool = False,
    ) -> grants.Grant | None:
        if not view.has_available(work):
            return None
        decision = self.router.decide(view, work)
        if decision.chosen is None:
            return None
        _log_decision(work, decision)
        target = self._targets.find(decision.chosen)
        expected = group.read_expected_time(work.work_class)
        grant = grants.Grant(work, target, self, expected, protected)
        group.add_grant(grant)
        self._group_tags.charge(group.name, view.rules.weight)
        self.router.record_sent(work, target)
        return grant

    def _refuse(
        self,
        group: groups.AdmissionGroup,
        view: pools.PoolView,
        work: model.Work,
    ) -> outcomes.Refusal | None:
        """Returns a refusal if ``work`` must not wait, ``None`` if it may."""
        now = asyncio.get_running_loop().time()
        if not view.has_usable(work):
            cool_down = self._find_cool_down(view, work, now)
            if cool_down is None or cool_down > _MAX_COOL_DOWN_S:
                return self._refusals.make_no_target_refusal(work, cool_down)
        wait = group.estimate_wait(work, len(view))
        late = now + wait - group.find_admission_deadline(work, now)
        if late >= 0.0:
            detail = (
                f'the estimated wait of {wait:.2f} s leaves too little of the '
                f'{work.deadline - now:.2f} s until the deadline'
            )
            return self._refusals.make_refusal(
                work, outcomes.Reason.DEADLINE, detail, min(late, wait)
            )
        limit = self._configuration.declarations.effective_limits.queue_length
        if group.waiting_count >= limit and not self._displace_rollout(
            group, work
        ):
            detail = (
                f'{group.waiting_count} requests wait for {work.group!r}, '
                f'at most {limit}'
            )
            return self._refusals.make_refusal(
                work, outcomes.Reason.OVERLOADED, detail, wait
            )
        return None

    def _find_cool_down(
        self, view: pools.PoolView, work: model.Work, now: float
    ) -> float | None:
        """Returns the seconds until a suspect target is tried again.

        Returns ``None`` if no target that ``work`` may use is suspect.
        """
        if not view.count_rejected(model.TargetState.SUSPECT.value):
            return None
        return min(
            (
                target.compute_cool_down(now)
                for target in view
                if target.state is model.TargetState.SUSPECT
                and target.name not in work.excluded
            ),
            default=None,
        )

    def _displace_rollout(
        self, group: groups.AdmissionGroup, work: model.Work
    ) -> bool:
        """Refuses a waiting rollout to make room for a live call ``work``.

        Returns whether a rollout was refused.
        """
        if work.work_class is not model.WorkClass.LIVE:
            return False
        queue = group.queues[model.WorkClass.ROLLOUT]
        rollout = queue.find_displaceable()
        if rollout is None:
            return False
        wait = group.estimate_wait(rollout.work, 1)
        self._refuse_waiter(
            group,
            rollout,
            self._refusals.make_refusal(
                rollout.work,
                outcomes.Reason.OVERLOADED,
                'a live call took its place in the full queue of '
                f'{group.name!r}',
                wait,
            ),
        )
        return True

    async def _wait_for_grant(
        self,
        group: groups.AdmissionGroup,
        view: pools.PoolView,
        work: model.Work,
    ) -> GrantResult:
        loop = asyncio.get_running_loop()
        waiter = fairness.Waiter(
            work, loop.create_future(), next(self._arrival_numbers)
        )
        group.queues[work.work_class].add(waiter)
        wait_end = group.find_wait_end(work)
        waiter.timer = loop.call_at(wait_end, self._expire, group, waiter)
        if work.work_class is model.WorkClass.LIVE:
            self._preemption.preempt_for(group, view, work)
        _LOG.info(
            'queue request=%s group=%s class=%s waiting=%d',
            work.request_id,
            work.group,
            work.work_class.value,
            group.waiting_count,
        )
        try:
            return await waiter.grant_result
        except asyncio.CancelledError:
            _release_unused(waiter.grant_result)
            raise
        finally:
            group.queues[work.work_class].discard(waiter)
            waiter.timer.cancel()

    def _expire(
        self, group: groups.AdmissionGroup, waiter: fairness.Waiter
    ) -> None:
        wait = group.estimate_wait(waiter.work, 1)
        detail = (
            f'no target of {group.name!r} became available early enough to '
            'answer before the deadline'
        )
        refusal = self._refusals.make_refusal(
            waiter.work, outcomes.Reason.DEADLINE, detail, wait
        )
        self._refuse_waiter(group, waiter, refusal)

    def _refuse_waiter(
        self,
        group: groups.AdmissionGroup,
        waiter: fairness.Waiter,
        refusal: outcomes.Refusal,
    ) -> None:
        group.queues[waiter.work.work_class].discard(waiter)
        if not waiter.grant_result.done():
            waiter.grant_result.set_result(Error(refusal))

    def _schedule_dispatch(self) -> None:
        """Serves the waiters in the next iteration of the event loop.

        All changes until then share one call.
        """
        if self._dispatch_scheduled or not any(
            group.waiting_count for group in self._groups.values()
        ):
            return
        self._dispatch_scheduled = True
        asyncio.get_running_loop().call_soon(self._dispatch)

    def _dispatch(self) -> None:
        """Serves waiters until none can be served any more.

        After changes of targets or rules, refuses those that no target may
        ever serve.
        """
        self._dispatch_scheduled = False
        while any(
            self._grant_next(group, view, work_class)
            for group, view, work_class in self._list_eligible()
        ):
            pass
        if self._changes_at_last_check != self.router.changes:
            self._changes_at_last_check = self.router.changes
            for group in self._groups.values():
                self._refuse_unservable(group)

    def _list_eligible(
        self,
    ) -> Iterator[
        tuple[groups.AdmissionGroup, pools.PoolView, model.WorkClass]
    ]:
        """Returns what may get the next grant, in the order to try."""
        eligible = []
        for group in self._groups.values():
            view = self.router.find_view(group.name)
            if not group.waiting_count or view is None:
                continue
            for rank, work_class in enumerate(group.list_classes()):
                first = work_class is model.WorkClass.LIVE or (
                    rank == 0 and group.is_rollout_due()
                )
                key = (not first, -view.rules.priority, rank)
                tag = self._group_tags.compute_start_tag(group.name)
                eligible.append(((*key, tag), (group, view, work_class)))
        eligible.sort(key=lambda item: item[0])
        return iter([entry for _, entry in eligible])

    def _grant_next(
        self,
        group: groups.AdmissionGroup,
        view: pools.PoolView,
        work_class: model.WorkClass,
    ) -> bool:
        """Issues a grant to the next waiter that a target can serve.

        Returns whether a waiter left the queue, so that the caller should try
        again.
        """
        queue = group.queues[work_class]
        rollout = work_class is model.WorkClass.ROLLOUT
        protected = rollout and group.is_rollout_due()
        for waiter in list(queue.iterate_in_order()):
            if waiter.grant_result.done():
                # It was cancelled, but its task has not run yet.
                queue.discard(waiter)
                return True
            grant = self._try_grant(group, view, waiter.work, protected)
            if grant is not None:
                queue.discard(waiter)
                waiter.grant_result.set_result(Ok(grant))
                return True
        return False

    def _refuse_unservable(self, group: groups.AdmissionGroup) -> None:
        """Refuses the waiters that no target may serve, full ones included.

        Waiters stay while a suspect target is tried again soon.
        """
        view = self.router.find_view(group.name)
        now = asyncio.get_running_loop().time()
        for queue in group.queues.values():
            for waiter in list(queue):
                if view is None:
                    refusal = self._refusals.make_no_target_refusal(
                        waiter.work, None
                    )
                    self._refuse_waiter(group, waiter, refusal)
                elif not view.has_usable(waiter.work):
                    cool_down = self._find_cool_down(view, waiter.work, now)
                    if cool_down is None or cool_down > _MAX_COOL_DOWN_S:
                        refusal = self._refusals.make_no_target_refusal(
                            waiter.work, cool_down
                        )
                        self._refuse_waiter(group, waiter, refusal)


def _release_unused(grant_result: asyncio.Future) -> None:
    """Releases a grant that was issued to a cancelled waiter."""
    if grant_result.done() and not grant_result.cancelled():
        match grant_result.result():
            case Result(tag='ok', ok=grant):
                grant.release()


def _log_decision(work: model.Work, decision: model.Decision) -> None:
    if not _LOG.isEnabledFor(logging.INFO):
        return
    _LOG.info(
        'route request=%s group=%s class=%s considered=%d scored=%d '
        'chosen=%s score=%.3f rejected=%s',
        work.request_id,
        work.group,
        work.work_class.value,
        decision.considered,
        decision.compared,
        decision.chosen,
        decision.cost,
        dict(decision.rejected),
    )
