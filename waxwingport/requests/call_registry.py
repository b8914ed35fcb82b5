"""Calls that may run at most once in this process, and their outcomes.

The registry keeps a call as long as a repeat of it could be mistaken for a
new call.  When it is full, it refuses new calls instead of dropping old ones.
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
"""Runs a call and returns its outcome."""

_RETRY_AFTER_S = 5.0
"""``Retry-After`` of a refusal for lack of space."""
_MAX_SWEPT_ENTRIES = 16
"""Entries checked for each new call, which bounds its cost."""
_MAX_CALLER_SHARE = 0.5
"""Share of the entries that one caller may use."""


class CallState(enum.Enum):
    """State of a call in the registry."""

    DONE = 'done'
    """Its outcome is final."""
    IDLE = 'idle'
    """It has not run; the next request for it may start it."""
    RUNNING = 'running'


class Call:
    """A call that runs at most once, however often it is requested.

    ``keep_until`` is the loop time until which the entry is kept.
    """

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
    """The calls of this process, by request id."""

    def __init__(self, request_settings: settings.RequestSettings) -> None:
        self._settings = request_settings
        self._calls: collections.OrderedDict[ids.RequestId, Call] = (
            collections.OrderedDict()
        )
        self._stored_bytes = 0
        self._by_caller: collections.Counter[ids.CallerName] = (
            collections.Counter()
        )

    def __len__(self) -> int:
        return len(self._calls)

    @property
    def stored_bytes(self) -> int:
        """Bytes of all stored answers."""
        return self._stored_bytes

    def find(self, request_id: ids.RequestId) -> Call | None:
        """Returns the call, ``None`` if it is not stored."""
        return self._calls.get(request_id)

    def admit(
        self,
        request_id: ids.RequestId,
        caller: ids.CallerName,
        fingerprint: str,
        keep_until: float,
    ) -> Result[Call, outcomes.Refusal]:
        """Adds and returns an idle call.

        Refuses when the registry is full, or when the caller already uses its
        share of the entries.
        """
        self._remove_expired()
        caller_limit = self._settings.answers_held * _MAX_CALLER_SHARE
        if (
            len(self._calls) >= self._settings.answers_held
            or self._stored_bytes >= self._settings.answer_bytes
            or self._by_caller[caller] >= caller_limit
        ):
            return Error(
                outcomes.Refusal(
                    outcomes.Reason.OVERLOADED,
                    'no space to store another answer for repeated requests',
                    retry_after=_RETRY_AFTER_S,
                )
            )
        call = Call(caller, fingerprint, keep_until)
        self._calls[request_id] = call
        self._by_caller[caller] += 1
        return Ok(call)

    def drop(self, request_id: ids.RequestId) -> None:
        """Removes a call if it has not run."""
        call = self._calls.get(request_id)
        if call is not None and call.state is CallState.IDLE:
            self._remove(request_id)

    async def run_once(self, call: Call, run: Run, deadline: float) -> Outcome:
        """Starts the call unless it runs or has run; returns its outcome.

        The run continues if the requester is cancelled.  Refuses with
        ``TIMEOUT`` if the call still runs at ``deadline``, a loop time.
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
                    'the call is still running; repeat it with the same id',
                    outcomes.Ran.UNKNOWN,
                )
            )

    async def wait_finished(self) -> None:
        """Waits until no call is running."""
        tasks = [call.task for call in self._calls.values() if call.task]
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _run(self, call: Call, run: Run) -> Outcome:
        outcome: Outcome = Error(
            refusals.refuse_unknown('the call was interrupted')
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
                outcome = self._store(answer)
        call.state = CallState.DONE
        call.outcome = outcome

    def _store(self, answer: base.ServiceAnswer) -> Outcome:
        size = _compute_size(answer)
        if self._stored_bytes + size > self._settings.answer_bytes:
            return Error(
                refusals.refuse_unknown(
                    f'the call ran, but its answer of {size} bytes is too '
                    'large to store'
                )
            )
        self._stored_bytes += size
        return Ok(answer)

    def _remove_expired(self) -> None:
        """Removes expired calls; checks a few entries, oldest first."""
        now = asyncio.get_running_loop().time()
        for _ in range(min(_MAX_SWEPT_ENTRIES, len(self._calls))):
            request_id = next(iter(self._calls))
            call = self._calls[request_id]
            if call.state is CallState.RUNNING or now < call.keep_until:
                self._calls.move_to_end(request_id)
                continue
            self._remove(request_id)

    def _remove(self, request_id: ids.RequestId) -> None:
        call = self._calls.pop(request_id)
        self._by_caller[call.caller] -= 1
        if not self._by_caller[call.caller]:
            del self._by_caller[call.caller]
        match call.outcome:
            case Result(tag='ok', ok=answer):
                self._stored_bytes -= _compute_size(answer)


def _compute_size(answer: base.ServiceAnswer) -> int:
    headers = sum(len(name) + len(text) for name, text in answer.headers)
    return len(answer.body) + headers
