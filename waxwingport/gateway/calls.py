"""Calls with whole answers: attempts, second attempts and refusals."""

import asyncio
import logging

from expression import Error
from expression import Ok
from expression import Result
import msgspec

from waxwingport.fleet import health
from waxwingport.fleet import model as fleet
from waxwingport.gateway import attempts
from waxwingport.gateway import dialect
from waxwingport.gateway import hedging
from waxwingport.gateway import pools
from waxwingport.gateway import routes
from waxwingport import ids
from waxwingport import outcomes

__all__ = ['CallForwarder']

_EXTRA_SENDS = 2
"""Further targets for a call that targets turned away without running it."""

_LOG = logging.getLogger(__name__)


class _Progress(msgspec.Struct, eq=False):
    """One call under way."""

    call: dialect.Call
    route: routes.Route
    service: ids.ServiceName
    started_at: float
    deadline: float
    """Loop's time."""
    tried: set[fleet.InstanceId]
    running: dict[asyncio.Task[attempts.Outcome], fleet.Target]
    runs: int = 0
    """Attempts that ran or may have run."""
    sends: int = 0
    failures: int = 0
    """Targets that answered with a failure of their own."""
    failure: attempts.Answered | None = None
    """A target's own failure, passed on when nothing better comes."""
    lost: str | None = None
    """Why an attempt got no answer, if one did not."""


class CallForwarder:
    """Runs calls whose answers are passed on whole."""

    def __init__(
        self,
        sender: attempts.Sender,
        pool: pools.TargetPool,
    ) -> None:
        self._sender = sender
        self._pool = pool
        self._usual: dict[str, hedging.ResponseTimes] = {}

    async def run(
        self, call: dialect.Call, route: routes.Route
    ) -> Result[attempts.Answered, outcomes.Refusal]:
        """Returns a target's answer, or why there is none.

        Cancelling ends the attempts under way.
        """
        now = asyncio.get_running_loop().time()
        patience = call.timeout if call.timeout is not None else 1e9
        progress = _Progress(
            call,
            route,
            self._pool.pick_service(route),
            now,
            now + min(patience, route.timeout),
            set(),
            {},
        )
        try:
            return await self._drive(progress)
        finally:
            for task in progress.running:
                task.cancel()

    async def _drive(
        self, progress: _Progress
    ) -> Result[attempts.Answered, outcomes.Refusal]:
        loop = asyncio.get_running_loop()
        usual = self._usual.setdefault(
            progress.route.name, hedging.ResponseTimes()
        )
        ready = self._pool.find_ready(progress.service)
        left = progress.deadline - loop.time()
        if hedging.is_infeasible(ready, usual, left, loop.time()):
            return self._refuse(
                progress, outcomes.Reason.OVERLOADED, 'every target is full'
            )
        hedge_at = loop.time()
        while True:
            now = loop.time()
            if now >= progress.deadline:
                return self._time_out(progress)
            due = now >= hedge_at or not progress.running
            if due and self._start(progress):
                delay = hedging.compute_hedge_delay(progress.route, usual)
                hedge_at = now + delay
            elif not progress.running:
                return self._give_up(progress)
            elif due:
                hedge_at = progress.deadline
            done, _ = await asyncio.wait(
                progress.running,
                timeout=min(hedge_at, progress.deadline) - now,
                return_when=asyncio.FIRST_COMPLETED,
            )
            for task in done:
                target = progress.running.pop(task)
                answer = self._settle(progress, target, task.result(), usual)
                if answer is not None:
                    return Ok(answer)

    def _start(self, progress: _Progress) -> bool:
        """Sends the call to one more target; returns whether it could."""
        route = progress.route
        repeatable = route.kind is routes.RouteKind.IDEMPOTENT
        if progress.runs + len(progress.running) >= route.max_attempts:
            return False
        if progress.sends >= route.max_attempts + _EXTRA_SENDS:
            return False
        if progress.running and not repeatable:
            return False
        if progress.runs and not repeatable:
            return False
        loop = asyncio.get_running_loop()
        candidates = self._pool.find_untried(progress.service, progress.tried)
        target = self._pool.choose(candidates)
        if target is None:
            return False
        progress.tried.add(target.entry.instance)
        progress.sends += 1
        left = progress.deadline - loop.time()
        expected = dialect.Expectations(target.entry.instance, left)
        _LOG.info(
            'call-routed',
            extra={
                'request': progress.call.request_id,
                'route': route.name,
                'instance': target.entry.instance,
                'candidates': len(candidates),
                'load': round(target.compute_load(loop.time()), 2),
                'load_age_s': target.compute_load_age(loop.time()),
                'attempt': progress.sends,
                'left_s': round(left, 3),
            },
        )
        task = loop.create_task(
            self._sender.send(
                progress.call, target, expected, left, fresh=not repeatable
            )
        )
        progress.running[task] = target
        return True

    def _settle(
        self,
        progress: _Progress,
        target: fleet.Target,
        outcome: attempts.Outcome,
        usual: hedging.ResponseTimes,
    ) -> attempts.Answered | None:
        """Takes an attempt's outcome; returns the answer to pass on."""
        match outcome:
            case attempts.Answered(status=status) if status < 500:
                now = asyncio.get_running_loop().time()
                taken = now - progress.started_at
                health.record_time(target, taken, usual.mean)
                usual.record(taken)
                _LOG.info(
                    'call-answered',
                    extra={
                        'request': progress.call.request_id,
                        'instance': target.entry.instance,
                        'status': status,
                        'attempts': progress.sends,
                        'taken_s': round(taken, 4),
                    },
                )
                return outcome
            case attempts.Answered():
                progress.runs += 1
                progress.failures += 1
                progress.failure = msgspec.structs.replace(
                    outcome, failures=progress.failures
                )
                detail = f'answered {outcome.status}'
            case attempts.NotRun(detail=detail):
                pass
            case attempts.Lost(detail=detail):
                progress.runs += 1
                progress.lost = detail
        _LOG.info(
            'attempt-failed',
            extra={
                'request': progress.call.request_id,
                'instance': target.entry.instance,
                'ran': not isinstance(outcome, attempts.NotRun),
                'reason': detail,
            },
        )
        return None

    def _give_up(
        self, progress: _Progress
    ) -> Result[attempts.Answered, outcomes.Refusal]:
        if progress.failure is not None:
            return Ok(progress.failure)
        if progress.lost is not None:
            return Error(
                outcomes.Refusal(
                    outcomes.Reason.UNKNOWN_OUTCOME,
                    progress.lost,
                    outcomes.Ran.UNKNOWN,
                )
            )
        return self._refuse(
            progress, outcomes.Reason.NO_TARGET, 'no target took the call'
        )

    def _time_out(
        self, progress: _Progress
    ) -> Result[attempts.Answered, outcomes.Refusal]:
        if progress.failure is not None:
            return Ok(progress.failure)
        return Error(
            outcomes.Refusal(
                outcomes.Reason.TIMEOUT,
                'no answer in time',
                outcomes.Ran.UNKNOWN,
            )
        )

    def _refuse(
        self, progress: _Progress, reason: outcomes.Reason, detail: str
    ) -> Result[attempts.Answered, outcomes.Refusal]:
        usual = self._usual[progress.route.name]
        return Error(
            outcomes.Refusal(
                reason,
                detail,
                retry_after=self._pool.compute_retry_after(
                    progress.service, usual
                ),
            )
        )
