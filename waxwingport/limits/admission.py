"""Admission of work to targets.

A request gets a grant at once, waits for one in a bounded queue, or is
refused as soon as it is clear that it can't be answered in time.  Live calls
go before rollouts, and within each class owners get their weighted share.
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
from waxwingport.limits import refusing
from waxwingport import outcomes
from waxwingport.routing import candidates
from waxwingport.routing import pools
from waxwingport.routing import router
from waxwingport.targets import base
from waxwingport.targets import table

__all__ = ['Admission', 'Grant']

Grant = grants.Grant
Outcome = Result[grants.Grant, outcomes.Refusal]

_LONGEST_SUSPECT_SHARE = 0.5
"""Share of a pool that failures alone may make suspect."""
_SUSPECT_WAIT = 1.0
"""Seconds for which requests wait for a pool whose targets all cool down."""
_LOG = logging.getLogger(__name__)


class Admission(grants.GrantHolder):
    """Grants targets to requests."""

    def __init__(
        self,
        configuration: state.ConfigurationState,
        targets: table.TargetTable,
        rng: random.Random,
    ) -> None:
        self.router = router.Router(configuration, targets, rng)
        self._configuration = configuration
        self._targets = targets
        self._groups: dict[str, groups.Group] = {}
        self._clock = fairness.FairClock()
        self._numbers = itertools.count()
        self._preemption = preemption.Preemption(self._groups)
        self._refusals = refusing.Refusals(rng)
        self._due = False
        self._reviewed = 0
        self.router.listen(self._schedule)

    async def acquire(self, work: candidates.Work) -> Outcome:
        """Returns a grant for ``work``, or why there is none."""
        view = self.router.find_view(work.group)
        if view is None:
            return Error(
                outcomes.Refusal(
                    outcomes.Reason.NOT_FOUND,
                    f'no pool or service is called {work.group!r}',
                )
            )
        if self._due:
            self._dispatch()
        group = self._find_group(work.group)
        if not group.has_waiters_before(work):
            grant = self._try_grant(group, view, work)
            if grant is not None:
                return Ok(grant)
        refusal = self._refuse(group, view, work)
        if refusal is not None:
            return Error(refusal)
        return await self._wait(group, view, work)

    def count_waiting(self, group: str) -> int:
        """Returns how many requests wait for a pool or service."""
        found = self._groups.get(group)
        return found.waiting if found else 0

    def take_back(
        self,
        grant: grants.Grant,
        taken: float,
        fault: base.TargetFault | None,
    ) -> None:
        """Takes the outcome of a grant's request."""
        work = grant.work
        group = self._find_group(work.group)
        if fault is None:
            usual = group.read_hold(work.work_class)
            grant.target.note_success(taken, usual)
            group.note_hold(work.work_class, taken)
            return
        if fault.kind is base.TargetFaultKind.TIMEOUT:
            group.note_hold(work.work_class, taken)
        view = self.router.find_view(work.group)
        may_eject = view is not None and (
            view.count_rejected(candidates.TargetState.SUSPECT.value) + 1
            <= _LONGEST_SUSPECT_SHARE * len(view)
        )
        grant.target.note_fault(fault, taken, may_eject)

    def forget(self, grant: grants.Grant) -> None:
        """Takes the release of a grant."""
        self._find_group(grant.work.group).remove_grant(grant)
        self._preemption.forget(grant)
        self._schedule()

    def _find_group(self, name: str) -> groups.Group:
        found = self._groups.get(name)
        if found is None:
            found = self._groups[name] = groups.Group(name)
        return found

    def _try_grant(
        self,
        group: groups.Group,
        view: pools.PoolView,
        work: candidates.Work,
        protected: bool = False,
    ) -> grants.Grant | None:
        if not view.has_room_for(work):
            return None
        decision = self.router.decide(view, work)
        if decision.chosen is None:
            return None
        _log_decision(work, decision)
        target = self._targets.find(decision.chosen)
        usual = group.read_hold(work.work_class)
        grant = grants.Grant(work, target, self, usual, protected)
        group.add_grant(grant)
        self._clock.charge(group.name, view.rules.weight)
        self.router.note_sent(work, target)
        return grant

    def _refuse(
        self,
        group: groups.Group,
        view: pools.PoolView,
        work: candidates.Work,
    ) -> outcomes.Refusal | None:
        """Returns why ``work`` can't wait, or ``None`` when it can."""
        now = asyncio.get_running_loop().time()
        if not view.is_reachable(work):
            cool_down = self._find_cool_down(view, work, now)
            if cool_down is None or cool_down > _SUSPECT_WAIT:
                return self._refusals.say_no_target(work, cool_down)
        wait = group.estimate_wait(work, len(view))
        late = now + wait - group.find_last_moment(work, now)
        if late >= 0.0:
            detail = f'the wait of about {wait:.2f} s is too long'
            return self._refusals.say_no(
                work, outcomes.Reason.DEADLINE, detail, min(late, wait)
            )
        limit = self._configuration.declarations.effective_limits.queue_length
        if group.waiting >= limit and not self._displace(group, work):
            detail = f'{group.waiting} requests wait for {work.group!r}'
            return self._refusals.say_no(
                work, outcomes.Reason.OVERLOADED, detail, wait
            )
        return None

    def _find_cool_down(
        self, view: pools.PoolView, work: candidates.Work, now: float
    ) -> float | None:
        """Returns when the first suspect target is tried again, if any is."""
        if not view.count_rejected(candidates.TargetState.SUSPECT.value):
            return None
        return min(
            (
                row.read_cool_down(now)
                for row in view
                if row.state is candidates.TargetState.SUSPECT
                and row.name not in work.excluded
            ),
            default=None,
        )

    def _displace(self, group: groups.Group, work: candidates.Work) -> bool:
        """Makes room for a live call in a full queue."""
        if work.work_class is not candidates.WorkClass.LIVE:
            return False
        queue = group.queues[candidates.WorkClass.ROLLOUT]
        last = queue.find_last()
        if last is None:
            return False
        wait = group.estimate_wait(last.work, 1)
        self._end(
            group,
            last,
            self._refusals.say_no(
                last.work,
                outcomes.Reason.OVERLOADED,
                'live calls fill the queue',
                wait,
            ),
        )
        return True

    async def _wait(
        self,
        group: groups.Group,
        view: pools.PoolView,
        work: candidates.Work,
    ) -> Outcome:
        loop = asyncio.get_running_loop()
        waiter = fairness.Waiter(
            work, loop.create_future(), next(self._numbers)
        )
        group.queues[work.work_class].add(waiter)
        latest = group.find_giving_up(work)
        waiter.timer = loop.call_at(latest, self._expire, group, waiter)
        if work.work_class is candidates.WorkClass.LIVE:
            self._preemption.make_way(group, view, work)
        _LOG.info(
            'queue request=%s group=%s class=%s waiting=%d',
            work.request_id,
            work.group,
            work.work_class.value,
            group.waiting,
        )
        try:
            return await waiter.turn
        except asyncio.CancelledError:
            _return_unused(waiter.turn)
            raise
        finally:
            group.queues[work.work_class].discard(waiter)
            waiter.timer.cancel()

    def _expire(self, group: groups.Group, waiter: fairness.Waiter) -> None:
        wait = group.estimate_wait(waiter.work, 1)
        detail = 'no target came free in time'
        refusal = self._refusals.say_no(
            waiter.work, outcomes.Reason.DEADLINE, detail, wait
        )
        self._end(group, waiter, refusal)

    def _end(
        self,
        group: groups.Group,
        waiter: fairness.Waiter,
        refusal: outcomes.Refusal,
    ) -> None:
        group.queues[waiter.work.work_class].discard(waiter)
        if not waiter.turn.done():
            waiter.turn.set_result(Error(refusal))

    def _schedule(self) -> None:
        """Serves the waiters soon, once for all changes until then."""
        if self._due or not any(row.waiting for row in self._groups.values()):
            return
        self._due = True
        asyncio.get_running_loop().call_soon(self._dispatch)

    def _dispatch(self) -> None:
        self._due = False
        while any(
            self._serve(group, view, work_class)
            for group, view, work_class in self._list_turns()
        ):
            pass
        if self._reviewed != self.router.changes:
            self._reviewed = self.router.changes
            for group in self._groups.values():
                self._review(group)

    def _list_turns(
        self,
    ) -> Iterator[tuple[groups.Group, pools.PoolView, candidates.WorkClass]]:
        """Yields who may get the next grant, in order."""
        turns = []
        for group in self._groups.values():
            view = self.router.find_view(group.name)
            if not group.waiting or view is None:
                continue
            for rank, work_class in enumerate(group.list_classes()):
                first = work_class is candidates.WorkClass.LIVE or (
                    rank == 0 and group.owes_rollouts()
                )
                key = (not first, -view.rules.priority, rank)
                tag = self._clock.read(group.name)
                turns.append(((*key, tag), (group, view, work_class)))
        turns.sort(key=lambda row: row[0])
        return iter([turn for _, turn in turns])

    def _serve(
        self,
        group: groups.Group,
        view: pools.PoolView,
        work_class: candidates.WorkClass,
    ) -> bool:
        """Grants a target to the next waiter.

        Returns whether the queue got shorter, so that another look pays.
        """
        queue = group.queues[work_class]
        rollout = work_class is candidates.WorkClass.ROLLOUT
        protected = rollout and group.owes_rollouts()
        for waiter in list(queue.list_next()):
            if waiter.turn.done():
                # Cancelled, but its task has not run since.
                queue.discard(waiter)
                return True
            grant = self._try_grant(group, view, waiter.work, protected)
            if grant is not None:
                queue.discard(waiter)
                waiter.turn.set_result(Ok(grant))
                return True
        return False

    def _review(self, group: groups.Group) -> None:
        """Refuses the waiters that no target is left for."""
        view = self.router.find_view(group.name)
        now = asyncio.get_running_loop().time()
        for queue in group.queues.values():
            for waiter in list(queue):
                if view is None:
                    refusal = self._refusals.say_no_target(waiter.work, None)
                    self._end(group, waiter, refusal)
                elif not view.is_reachable(waiter.work):
                    cool_down = self._find_cool_down(view, waiter.work, now)
                    if cool_down is None or cool_down > _SUSPECT_WAIT:
                        refusal = self._refusals.say_no_target(
                            waiter.work, cool_down
                        )
                        self._end(group, waiter, refusal)


def _return_unused(turn: asyncio.Future) -> None:
    if turn.done() and not turn.cancelled():
        match turn.result():
            case Result(tag='ok', ok=grant):
                grant.release()


def _log_decision(
    work: candidates.Work, decision: candidates.Decision
) -> None:
    if not _LOG.isEnabledFor(logging.INFO):
        return
    _LOG.info(
        'route request=%s group=%s class=%s considered=%d scored=%d '
        'chosen=%s score=%.3f rejected=%s',
        work.request_id,
        work.group,
        work.work_class.value,
        decision.considered,
        decision.scored,
        decision.chosen,
        decision.score,
        dict(decision.rejected),
    )
