"""Calls that may run at most once in this process, and their answers.

The registry never forgets a call while a repeat of it could still be taken for
a new one; when it is full it takes no new call instead.
"""

import asyncio
import collections
from collections.abc import Awaitable
from collections.abc import Callable
import enum

from expression import Error
from expression import Ok
from expression import Result

from waxwingport import ids
from waxwingport import outcomes
from waxwingport.requests import refusals
from waxwingport.requests import settings
from waxwingport.targets import base

__all__ = ['Call', 'CallRegistry', 'CallState', 'Outcome']

Outcome = Result[base.ServiceAnswer, outcomes.Refusal]
Run = Callable[[], Awaitable[Outcome]]

_RETRY_AFTER = 5.0
_SWEEP_STEP = 16
_CALLER_SHARE = 0.5
"""Share of the entries that one caller may hold."""


class CallState(enum.Enum):
    """State of a call in the registry."""

    DONE = 'done'
    """Its outcome is known and final."""
    IDLE = 'idle'
    """It has not run; a request for it may start it."""
    RUNNING = 'running'


class Call:
    """One call: it runs at most once, whoever asks for it."""

    def __init__(
        self,
        caller: ids.CallerName,
        fingerprint: str,
        keep_until: float,
    ) -> None:
        self.caller = caller
        self.fingerprint = fingerprint
        self.keep_until = keep_until
        self.state = CallState.IDLE
        self.outcome: Outcome | None = None
        self.task: asyncio.Task[Outcome] | None = None


class CallRegistry:
    """The calls of one process by request id."""

    def __init__(self, configured: settings.RequestSettings) -> None:
        self._settings = configured
        self._calls: collections.OrderedDict[ids.RequestId, Call] = (
            collections.OrderedDict()
        )
        self._bytes = 0
        self._by_caller: collections.Counter[ids.CallerName] = (
            collections.Counter()
        )

    def __len__(self) -> int:
        return len(self._calls)

    @property
    def stored_bytes(self) -> int:
        """Bytes of the answers that are kept."""
        return self._bytes

    def find(self, request_id: ids.RequestId) -> Call | None:
        """Returns the call, or ``None`` if it is not stored."""
        return self._calls.get(request_id)

    def admit(
        self,
        request_id: ids.RequestId,
        caller: ids.CallerName,
        fingerprint: str,
        keep_until: float,
    ) -> Result[Call, outcomes.Refusal]:
        """Returns a new idle call; refuses when the registry is full.

        One caller can't fill it alone.
        """
        self._sweep()
        share = self._settings.answers_held * _CALLER_SHARE
        if (
            len(self._calls) >= self._settings.answers_held
            or self._bytes >= self._settings.answer_bytes
            or self._by_caller[caller] >= share
        ):
            return Error(
                outcomes.Refusal(
                    outcomes.Reason.OVERLOADED,
                    'no room to keep another answer for repeats',
                    retry_after=_RETRY_AFTER,
                )
            )
        call = Call(caller, fingerprint, keep_until)
        self._calls[request_id] = call
        self._by_caller[caller] += 1
        return Ok(call)

    def drop(self, request_id: ids.RequestId) -> None:
        """Forgets a call that has not run and that nobody can ask for."""
        call = self._calls.get(request_id)
        if call is not None and call.state is CallState.IDLE:
            self._forget(request_id)

    async def run_once(self, call: Call, run: Run, deadline: float) -> Outcome:
        """Starts the call unless it runs or has run; returns its outcome.

        The run goes on when the one who asked goes away.
        """
        if call.state is CallState.DONE:
            return call.outcome
        if call.state is CallState.IDLE:
            call.state = CallState.RUNNING
            call.task = asyncio.get_running_loop().create_task(
                self._run(call, run)
            )
        timeout = deadline - asyncio.get_running_loop().time()
        try:
            async with asyncio.timeout(max(timeout, 0.0)):
                return await asyncio.shield(call.task)
        except TimeoutError:
            return Error(
                outcomes.Refusal(
                    outcomes.Reason.TIMEOUT,
                    'the call still runs; ask again with the same id',
                    outcomes.Ran.UNKNOWN,
                )
            )

    async def wait_finished(self) -> None:
        """Waits until no call runs."""
        tasks = [row.task for row in self._calls.values() if row.task]
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _run(self, call: Call, run: Run) -> Outcome:
        outcome: Outcome = Error(
            refusals.refuse_unknown('the call was cut off')
        )
        try:
            outcome = await run()
        finally:
            call.task = None
            self._finish(call, outcome)
        return outcome

    def _finish(self, call: Call, outcome: Outcome) -> None:
        now = asyncio.get_running_loop().time()
        lifetime = self._settings.answer_lifetime
        call.keep_until = max(call.keep_until, now + lifetime)
        match outcome:
            case Result(tag='error', error=refusal) if (
                refusal.ran is outcomes.Ran.NO
            ):
                call.state = CallState.IDLE
                return
            case Result(tag='ok', ok=answer):
                outcome = self._keep(answer)
        call.state = CallState.DONE
        call.outcome = outcome

    def _keep(self, answer: base.ServiceAnswer) -> Outcome:
        size = _measure(answer)
        if self._bytes + size > self._settings.answer_bytes:
            return Error(
                refusals.refuse_unknown(
                    f'ran; its answer of {size} bytes was too large to keep'
                )
            )
        self._bytes += size
        return Ok(answer)

    def _sweep(self) -> None:
        """Drops expired calls, a few at a time, oldest first."""
        now = asyncio.get_running_loop().time()
        for _ in range(min(_SWEEP_STEP, len(self._calls))):
            request_id = next(iter(self._calls))
            call = self._calls[request_id]
            if call.state is CallState.RUNNING or now < call.keep_until:
                self._calls.move_to_end(request_id)
                continue
            self._forget(request_id)

    def _forget(self, request_id: ids.RequestId) -> None:
        call = self._calls.pop(request_id)
        self._by_caller[call.caller] -= 1
        if not self._by_caller[call.caller]:
            del self._by_caller[call.caller]
        match call.outcome:
            case Result(tag='ok', ok=answer):
                self._bytes -= _measure(answer)


def _measure(answer: base.ServiceAnswer) -> int:
    headers = sum(len(name) + len(text) for name, text in answer.headers)
    return len(answer.body) + headers
