"""Forwarding of calls whose responses are sent only when complete.

A call is sent to one target, and to further ones when an attempt fails or is
overdue, as far as its route allows.
"""

import asyncio
import functools
import logging

from expression import Error
from expression import Ok
from expression import Result
import msgspec

from waxwingport.duties import base as duties
from waxwingport.fleet import health
from waxwingport.fleet import model as fleet
from waxwingport.gateway import attempts
from waxwingport.gateway import dialect
from waxwingport.gateway import hedging
from waxwingport.gateway import pools
from waxwingport.gateway import routes
from waxwingport import ids
from waxwingport import outcomes
from waxwingport.scheduling import attribution
from waxwingport.tenancy import active

__all__ = ['CallForwarder']

_EXTRA_SENDS = 2
"""Sends beyond a route's ``max_attempts`` after rejections without a run."""

_LOG = logging.getLogger(__name__)


class _CallState(msgspec.Struct, eq=False, weakref=True):
    """State of a call in progress."""

    call: dialect.Call
    route: routes.Route
    service: ids.ServiceName
    started_at: float
    deadline: float
    """In seconds of the event loop's clock."""
    tried: set[fleet.InstanceId]
    running: dict[asyncio.Task[attempts.Outcome], fleet.Target]
    runs: int = 0
    """Attempts that ran or may have run."""
    sends: int = 0
    """Attempts, also those that the target rejected without a run."""
    crashes: int = 0
    """Targets that crashed under the call."""
    failures: int = 0
    """Number of 5xx responses."""
    failure: attempts.Answered | None = None
    """The last 5xx response, passed on if no other attempt succeeds."""
    lost_detail: str | None = None
    """Why the last attempt of unknown outcome failed, if there was one."""
    waited: float = 0.0
    """Seconds for which it waited for turns."""


class CallForwarder:
    """Forwards calls to targets and returns complete responses.

    ``counter`` counts the calls that ran.
    """

    def __init__(
        self,
        sender: attempts.Sender,
        pool: pools.TargetPool,
        tenants: active.ActiveTenants,
        counter: duties.RequestCounter | None = None,
    ) -> None:
        self._counter = counter or duties.NoCounter()
        self._sender = sender
        self._tenants = tenants
        self._crash_watch = sender.crash_watch
        self._pool = pool
        self._times: dict[str, hedging.ResponseTimes] = {}

    async def run(
        self, call: dialect.Call, route: routes.Route
    ) -> Result[attempts.Answered, outcomes.Refusal]:
        """Returns a target's response, or why there is none.

        Cancellation cancels the attempts in progress.
        """
        now = asyncio.get_running_loop().time()
        # Without a timeout of the caller, only that of the route applies.
        timeout = call.timeout if call.timeout is not None else 1e9
        state = _CallState(
            call,
            route,
            self._pool.pick_service(route),
            now,
            now + min(timeout, route.timeout),
            set(),
            {},
        )
        if self._crash_watch.is_stopped(call.digest):
            return self._refuse_stopped(state)
        try:
            return await self._run_attempts(state)
        finally:
            for task in state.running:
                task.cancel()

    async def _run_attempts(
        self, state: _CallState
    ) -> Result[attempts.Answered, outcomes.Refusal]:
        loop = asyncio.get_running_loop()
        times = self._times.setdefault(
            state.route.name, hedging.ResponseTimes()
        )
        targets = self._pool.find_ready(state.service)
        remaining = state.deadline - loop.time()
        if hedging.is_infeasible(targets, times, remaining, loop.time()):
            return self._refuse(
                state,
                outcomes.Reason.OVERLOADED,
                'no target can answer before the deadline',
            )
        hedge_at = loop.time()
        while True:
            now = loop.time()
            if now >= state.deadline:
                return self._time_out(state)
            due = now >= hedge_at or not state.running
            if due and self._start_attempt(state):
                delay = hedging.compute_hedge_delay(state.route, times)
                hedge_at = now + delay
            elif not state.running:
                if await self._wait_for_turn(state):
                    continue
                return self._conclude_unanswered(state)
            elif due:
                # No further attempt is possible until a running one ends.
                hedge_at = state.deadline
            done, _ = await asyncio.wait(
                state.running,
                timeout=min(hedge_at, state.deadline) - now,
                return_when=asyncio.FIRST_COMPLETED,
            )
            for task in done:
                target = state.running.pop(task)
                answer = self._handle_outcome(
                    state, target, task.result(), times
                )
                if answer is not None:
                    return Ok(answer)

    def _compute_latest_start(self, state: _CallState) -> float:
        """Returns the loop time until which the call may wait to be sent."""
        times = self._times[state.route.name]
        return hedging.compute_latest_start(
            state.started_at, state.deadline, times.mean
        )

    async def _wait_for_turn(self, state: _CallState) -> bool:
        """Waits until an attempt is possible; ``False`` if none will be.

        The answer still has to arrive before the deadline.
        """
        if not self._may_attempt(state):
            return False
        loop = asyncio.get_running_loop()
        waits_since = loop.time()
        has_turn = await self._pool.wait_for_turn(
            state.service,
            lambda: self._pool.find_untried(state.service, state.tried),
            self._tenants.compute_priority(state.route, state.call.tenant),
            self._compute_latest_start(state),
            self._times[state.route.name].mean,
        )
        state.waited += loop.time() - waits_since
        return has_turn

    def _may_attempt(self, state: _CallState) -> bool:
        """Returns whether the route allows a further attempt now."""
        route = state.route
        idempotent = route.kind is routes.RouteKind.IDEMPOTENT
        if state.runs + len(state.running) >= route.max_attempts:
            return False
        if state.sends >= route.max_attempts + _EXTRA_SENDS:
            return False
        if not self._may_crash_another(state):
            return False
        return idempotent or not (state.running or state.runs)

    def _may_crash_another(self, state: _CallState) -> bool:
        """Returns whether a further target may be put at risk by the call.

        A call that was at a crash is sent to one target at a time.
        """
        digest = state.call.digest
        if state.crashes >= attribution.MAX_CRASHES_PER_TRY:
            return False
        if self._crash_watch.is_stopped(digest):
            return False
        return not state.running or not self._crash_watch.is_suspect(digest)

    def _start_attempt(self, state: _CallState) -> bool:
        """Sends the call to one more target and returns ``True``.

        Returns ``False`` if the route allows no further attempt now or no
        untried target accepts requests.
        """
        if not self._may_attempt(state):
            return False
        route = state.route
        idempotent = route.kind is routes.RouteKind.IDEMPOTENT
        loop = asyncio.get_running_loop()
        candidates = self._pool.find_untried(state.service, state.tried)
        key = self._crash_watch.make_placement_key(state.call.digest)
        target = self._pool.choose(
            candidates, key, self._times[route.name].mean
        )
        if target is None:
            return False
        state.tried.add(target.entry.instance)
        state.sends += 1
        remaining = state.deadline - loop.time()
        expected = dialect.Expectations(target.entry.instance, remaining)
        _LOG.info(
            'call-routed',
            extra={
                'request': state.call.request_id,
                'digest': state.call.digest,
                'route': route.name,
                'tenant': state.call.tenant,
                'instance': target.entry.instance,
                'candidates': len(candidates),
                'limit': target.limit.rate if target.limit else None,
                'leaving': self._pool.count_leaving(state.service),
                'load': round(target.compute_load(loop.time()), 2),
                'load_age_s': target.compute_load_age(loop.time()),
                'slowness': round(target.estimate_slowness(loop.time()), 2),
                'attempt': state.sends,
                'left_s': round(remaining, 3),
            },
        )
        task = loop.create_task(
            self._counter.count(
                state,
                state.call.tenant,
                functools.partial(
                    self._sender.send,
                    state.call,
                    target,
                    expected,
                    remaining,
                    not idempotent,
                    self._compute_latest_start(state),
                ),
            )
        )
        state.running[task] = target
        return True

    def _handle_outcome(
        self,
        state: _CallState,
        target: fleet.Target,
        outcome: attempts.Outcome,
        times: hedging.ResponseTimes,
    ) -> attempts.Answered | None:
        """Records a finished attempt; returns its response if it is final."""
        match outcome:
            case attempts.Answered(status=status) if status < 500:
                now = asyncio.get_running_loop().time()
                elapsed = now - state.started_at
                response_time = elapsed - state.waited - outcome.waited
                health.record_time(target, response_time, times.mean)
                times.record(response_time)
                _LOG.info(
                    'call-answered',
                    extra={
                        'request': state.call.request_id,
                        'instance': target.entry.instance,
                        'status': status,
                        'attempts': state.sends,
                        'taken_s': round(elapsed, 4),
                    },
                )
                return outcome
            case attempts.Answered():
                state.runs += 1
                state.failures += 1
                state.failure = msgspec.structs.replace(
                    outcome, failures=state.failures
                )
                detail = f'target returned status {outcome.status}'
            case attempts.NotRun(signal=signal, detail=detail):
                if signal is health.HealthSignal.WITHHELD:
                    # Nothing was sent, so another target may be tried.
                    state.sends -= 1
            case attempts.Lost(detail=detail, crashed=crashed):
                state.runs += 1
                state.crashes += crashed
                state.lost_detail = detail
        _LOG.info(
            'attempt-failed',
            extra={
                'request': state.call.request_id,
                'digest': state.call.digest,
                'instance': target.entry.instance,
                'company': target.running,
                'ran': not isinstance(outcome, attempts.NotRun),
                'reason': detail,
            },
        )
        return None

    def _conclude_unanswered(
        self, state: _CallState
    ) -> Result[attempts.Answered, outcomes.Refusal]:
        if state.failure is not None:
            return Ok(state.failure)
        if state.lost_detail is not None:
            return Error(
                outcomes.Refusal(
                    outcomes.Reason.UNKNOWN_OUTCOME,
                    state.lost_detail,
                    outcomes.Ran.UNKNOWN,
                )
            )
        if self._crash_watch.is_stopped(state.call.digest):
            return self._refuse_stopped(state)
        return self._refuse(
            state, outcomes.Reason.NO_TARGET, 'no target accepted the call'
        )

    def _refuse_stopped(
        self, state: _CallState
    ) -> Result[attempts.Answered, outcomes.Refusal]:
        return Error(attempts.make_stop(self._crash_watch, state.call))

    def _time_out(
        self, state: _CallState
    ) -> Result[attempts.Answered, outcomes.Refusal]:
        if state.failure is not None:
            return Ok(state.failure)
        return Error(
            outcomes.Refusal(
                outcomes.Reason.TIMEOUT,
                'no response before the deadline',
                outcomes.Ran.UNKNOWN,
            )
        )

    def _refuse(
        self, state: _CallState, reason: outcomes.Reason, detail: str
    ) -> Result[attempts.Answered, outcomes.Refusal]:
        times = self._times[state.route.name]
        return Error(
            outcomes.Refusal(
                reason,
                detail,
                retry_after=self._pool.compute_retry_after(
                    state.service, times
                ),
            )
        )
