"""One request sent to one target."""

import asyncio
import functools

from expression import Result
import msgspec

from waxwingport.fleet import health
from waxwingport.fleet import model as fleet
from waxwingport.gateway import conditions
from waxwingport.gateway import crashes
from waxwingport.gateway import dialect
from waxwingport.gateway import starts
from waxwingport.http import client
from waxwingport import outcomes

__all__ = ['Answered', 'Lost', 'NotRun', 'Outcome', 'Sender', 'open_attempt']


class Answered(msgspec.Struct, frozen=True):
    """The complete response of the target to this request."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes
    head: dialect.AnswerHead
    failures: int = 0
    """Number of targets that returned a 5xx response, this one included."""
    waited: float = 0.0
    """Seconds for which the request waited for other tries of it."""


class NotRun(msgspec.Struct, frozen=True):
    """The request was not executed and will not be.

    ``retry_after`` is in seconds, as the target asked for.
    """

    signal: health.HealthSignal
    detail: str
    retry_after: float | None = None


class Lost(msgspec.Struct, frozen=True):
    """The request was sent and no valid response came: it may have run."""

    signal: health.HealthSignal
    detail: str
    closed: bool = False
    """Whether the connection was closed, unlike after a time without bytes."""
    crashed: bool = False
    """Whether the target has crashed."""


Outcome = Answered | NotRun | Lost


class Sender:
    """Sends requests to targets and updates their load and health."""

    def __init__(
        self,
        http: client.HttpClient,
        dialect_: dialect.Dialect,
        conditions_: conditions.TargetConditions,
        crash_watch: crashes.CrashWatch,
    ) -> None:
        self.http = http
        self.dialect = dialect_
        self.crash_watch = crash_watch
        self.starts = starts.StartCheck(http, dialect_, conditions_)
        self._conditions = conditions_

    async def send(
        self,
        call: dialect.Call,
        target: fleet.Target,
        expected: dialect.Expectations,
        timeout: float,
        fresh: bool,
        latest_start: float,
    ) -> Outcome:
        """Sends ``call`` and records and returns the outcome.

        ``timeout`` in seconds covers the wait and the whole exchange.
        ``fresh`` asks for a connection of its own.  A call that may crash its
        target is not sent after the loop time ``latest_start``.
        """
        loop = asyncio.get_running_loop()
        waits_since = loop.time()
        async with self.crash_watch.probe(
            target, call.digest, latest_start
        ) as may_send:
            if not may_send:
                return make_withheld()
            waited = loop.time() - waits_since
            remaining = timeout - waited
            expected = msgspec.structs.replace(expected, remaining=remaining)
            outcome = await self._exchange(
                call, target, expected, remaining, fresh
            )
        if isinstance(outcome, Answered):
            return msgspec.structs.replace(outcome, waited=waited)
        return outcome

    async def _exchange(
        self,
        call: dialect.Call,
        target: fleet.Target,
        expected: dialect.Expectations,
        timeout: float,
        fresh: bool,
    ) -> Outcome:
        request = self.make_request(call, target, expected, fresh)
        sent_at = asyncio.get_running_loop().time()
        target.running += 1
        try:
            fetched = await self.http.fetch(
                target.entry.address, request, timeout
            )
        finally:
            target.running -= 1
        outcome = self._classify(call, fetched)
        if isinstance(outcome, Answered):
            self.crash_watch.record_answer(call.digest)
        record_outcome(target, outcome)
        return await self.examine(call, target, outcome, sent_at)

    async def examine(
        self,
        call: dialect.Call,
        target: fleet.Target,
        outcome: Outcome,
        sent_at: float,
    ) -> Outcome:
        """Returns the outcome, with whether the target has crashed.

        ``sent_at`` is the loop time at which the call was sent.
        """
        if not isinstance(outcome, Lost) or not outcome.closed:
            return outcome
        if not await self.crash_watch.examine(target, call.digest, sent_at):
            return outcome
        return msgspec.structs.replace(outcome, crashed=True)

    def make_request(
        self,
        call: dialect.Call,
        target: fleet.Target,
        expected: dialect.Expectations,
        fresh: bool,
    ) -> client.Request:
        """Returns the request that sends ``call`` to ``target``.

        It is withdrawn if the target accepts no work any more when the
        request is about to be sent.
        """
        peer = self._conditions.make_peer(
            target,
            functools.partial(self.crash_watch.is_stopped, call.digest),
        )
        return self.dialect.make_request(call, expected, fresh, peer)

    def _classify(
        self,
        call: dialect.Call,
        fetched: Result[client.WholeResponse, client.TransportFault],
    ) -> Outcome:
        match fetched:
            case Result(tag='ok', ok=response):
                pass
            case Result(error=fault):
                return classify_fault(fault)
        head = self.dialect.read_answer(response.status, response.headers)
        refusal = check_head(call, head)
        if refusal is not None:
            return refusal
        return Answered(response.status, response.headers, response.body, head)


async def open_attempt(
    sender: Sender,
    call: dialect.Call,
    target: fleet.Target,
    expected: dialect.Expectations,
    timeout: float,
    fresh: bool,
) -> tuple[client.Response, dialect.AnswerHead] | NotRun | Lost:
    """Sends ``call`` and returns the open response with its parsed head.

    Returns ``NotRun`` or ``Lost`` if there is no response to this request.
    The caller records the outcome with ``target`` and closes the response.
    """
    request = sender.make_request(call, target, expected, fresh)
    sent_at = asyncio.get_running_loop().time()
    fetched = await sender.http.open(target.entry.address, request, timeout)
    match fetched:
        case Result(tag='ok', ok=response):
            pass
        case Result(error=fault):
            return await sender.examine(
                call, target, classify_fault(fault), sent_at
            )
    header_fields = tuple(response.headers.get_all())
    head = sender.dialect.read_answer(response.status, header_fields)
    refusal = check_head(call, head)
    if refusal is None:
        return response, head
    if isinstance(refusal, NotRun):
        # The short body follows at once; the connection can be reused.
        response.release()
    else:
        response.close()
    return refusal


def make_stop(
    crash_watch: crashes.CrashWatch, call: dialect.Call
) -> outcomes.Refusal:
    """Returns the refusal of a request that crashes targets.

    It has not run.  A request that was stopped wrongly is served again after
    ``retry_after``.
    """
    return outcomes.Refusal(
        outcomes.Reason.CRASHES_TARGETS,
        'targets crashed when they ran this request',
        retry_after=crash_watch.compute_stop(call.digest),
    )


def make_withheld() -> NotRun:
    """Returns the outcome of a request that waits for other tries of it."""
    return NotRun(
        health.HealthSignal.WITHHELD, 'another try of it is not answered yet'
    )


def classify_fault(fault: client.TransportFault) -> NotRun | Lost:
    """Returns ``Lost`` if the request was sent, else ``NotRun``."""
    if fault.kind is client.TransportFaultKind.WITHDRAWN:
        return NotRun(health.HealthSignal.WITHHELD, fault.detail)
    if not fault.sent:
        return NotRun(health.HealthSignal.UNREACHABLE, fault.detail)
    closed = fault.kind is client.TransportFaultKind.BROKEN
    return Lost(health.HealthSignal.BROKEN, fault.detail, closed)


def check_head(
    call: dialect.Call, head: dialect.AnswerHead
) -> NotRun | Lost | None:
    """Returns why a response does not answer ``call``, else ``None``."""
    if head.moved:
        return NotRun(
            health.HealthSignal.MOVED, 'another instance has the address'
        )
    if head.request_id != call.request_id:
        # A late or extra response on a reused connection.
        detail = f'answer to request {head.request_id!r}'
        return Lost(health.HealthSignal.BROKEN, detail)
    if head.not_run:
        return NotRun(
            health.HealthSignal.FULL,
            'rejected by the target',
            head.retry_after,
        )
    return None


def record_outcome(target: fleet.Target, outcome: Outcome) -> None:
    """Updates the target's load and health by the outcome of an attempt."""
    now = asyncio.get_running_loop().time()
    match outcome:
        case Answered(status=status, head=head):
            record_load_report(target, head, now)
            if status >= 500:
                health.record_failure(target, health.HealthSignal.FAILED, now)
            else:
                health.record_success(target)
        case NotRun(signal=signal) | Lost(signal=signal):
            health.record_failure(target, signal, now)


def record_load_report(
    target: fleet.Target, head: dialect.AnswerHead, now: float
) -> None:
    """Stores the load that a response reports, if it reports one."""
    if head.active_requests is not None:
        # The target may still count the request that it has just answered.
        target.record_load(
            head.active_requests, target.running + 1, head.slowdown, now
        )
