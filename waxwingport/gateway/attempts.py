"""One request sent to one target."""

import asyncio

from expression import Result
import msgspec

from waxwingport.fleet import health
from waxwingport.fleet import model as fleet
from waxwingport.gateway import dialect
from waxwingport.http import client

__all__ = ['Answered', 'Lost', 'NotRun', 'Outcome', 'Sender', 'open_attempt']


class Answered(msgspec.Struct, frozen=True):
    """The target's whole answer to this request."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes
    head: dialect.AnswerHead
    failures: int = 0
    """Targets that answered with a failure of their own, this one included."""


class NotRun(msgspec.Struct, frozen=True):
    """The target has not run the request and will not."""

    signal: health.HealthSignal
    detail: str
    retry_after: float | None = None


class Lost(msgspec.Struct, frozen=True):
    """The request left and no answer of use came: it may have run."""

    signal: health.HealthSignal
    detail: str


Outcome = Answered | NotRun | Lost


class Sender:
    """Sends requests to targets and keeps account of them there."""

    def __init__(
        self, http: client.HttpClient, spelling: dialect.Dialect
    ) -> None:
        self.http = http
        self.dialect = spelling

    async def send(
        self,
        call: dialect.Call,
        target: fleet.Target,
        expected: dialect.Expectations,
        timeout: float,
        fresh: bool,
    ) -> Outcome:
        """Sends ``call`` and returns what came of it.

        ``timeout`` in seconds covers the whole exchange.
        """
        request = self.dialect.make_request(call, expected, fresh)
        target.running += 1
        try:
            found = await self.http.fetch(
                target.entry.address, request, timeout
            )
        finally:
            target.running -= 1
        outcome = self._judge(call, found)
        record_outcome(target, outcome)
        return outcome

    def _judge(
        self,
        call: dialect.Call,
        found: Result[client.WholeResponse, client.TransportFault],
    ) -> Outcome:
        match found:
            case Result(tag='ok', ok=response):
                pass
            case Result(error=fault):
                return classify_fault(fault)
        facts = self.dialect.read_answer(response.status, response.headers)
        refusal = check_head(call, facts)
        if refusal is not None:
            return refusal
        return Answered(
            response.status, response.headers, response.body, facts
        )


async def open_attempt(
    sender: Sender,
    call: dialect.Call,
    target: fleet.Target,
    expected: dialect.Expectations,
    timeout: float,
    fresh: bool,
) -> tuple[client.Response, dialect.AnswerHead] | NotRun | Lost:
    """Sends ``call`` and returns the head of its answer."""
    request = sender.dialect.make_request(call, expected, fresh)
    found = await sender.http.open(target.entry.address, request, timeout)
    match found:
        case Result(tag='ok', ok=response):
            pass
        case Result(error=fault):
            return classify_fault(fault)
    rows = tuple(response.headers.get_all())
    facts = sender.dialect.read_answer(response.status, rows)
    refusal = check_head(call, facts)
    if refusal is None:
        return response, facts
    if isinstance(refusal, NotRun):
        # Its short answer is on its way: the connection serves on.
        response.release()
    else:
        response.close()
    return refusal


def classify_fault(fault: client.TransportFault) -> NotRun | Lost:
    """Returns what a failed exchange says of the request."""
    if not fault.sent:
        return NotRun(health.HealthSignal.UNREACHABLE, fault.detail)
    return Lost(health.HealthSignal.BROKEN, fault.detail)


def check_head(
    call: dialect.Call, facts: dialect.AnswerHead
) -> NotRun | Lost | None:
    """Returns why an answer is none to ``call``, or ``None`` if it is."""
    if facts.moved:
        return NotRun(
            health.HealthSignal.MOVED, 'another instance has the address'
        )
    if facts.request_id != call.request_id:
        # A late or extra answer on a kept connection.
        detail = f'answer to request {facts.request_id!r}'
        return Lost(health.HealthSignal.BROKEN, detail)
    if facts.not_run:
        return NotRun(
            health.HealthSignal.FULL,
            'turned away by the target',
            facts.retry_after,
        )
    return None


def record_outcome(target: fleet.Target, outcome: Outcome) -> None:
    """Takes what an attempt says of its target."""
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
    target: fleet.Target, facts: dialect.AnswerHead, now: float
) -> None:
    """Takes the load that an answer names."""
    if facts.active_requests is not None:
        # The answered request itself may still be counted there.
        target.load = fleet.LoadReport(
            facts.active_requests, target.running + 1, now
        )
