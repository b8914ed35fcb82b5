"""Stand-ins for plain services and scoring services."""

import asyncio
from collections.abc import Sequence

from expression import Error
from expression import Ok
from expression import Result
import msgspec
import xxhash

from waxwingport import ids
from waxwingport.targets import base

__all__ = ['ServiceEcho', 'StandInScoringService', 'StandInService']

_JSON = ('Content-Type', 'application/json')


class ServiceEcho(msgspec.Struct):
    """The request as a stand-in service received it.

    ``run`` is the number of the execution at this target, so that a caller
    can tell when a request ran twice.
    """

    service: str
    target: str
    run: int
    method: str
    path: str
    body: str


class StandInService(base.Service):
    """An in-memory plain service that counts its executions.

    ``crashed`` and ``refusing`` fail calls without running them, ``silent``
    runs them and answers with a fault after the timeout.  ``delay`` is the
    seconds that a call takes.
    """

    def __init__(
        self, service: str, target: str, delay: float = 0.005
    ) -> None:
        self.service = service
        self.target = target
        self.delay = delay
        self.crashed = False
        self.refusing = False
        self.silent = False
        self.runs = 0
        self.runs_by_request: dict[ids.RequestId, int] = {}

    async def call(
        self, call: base.ServiceCall, timeout: float
    ) -> Result[base.ServiceAnswer, base.TargetFault]:
        """Counts the call and returns it as a ``ServiceEcho`` in JSON."""
        if self.crashed:
            return Error(_fault(base.TargetFaultKind.UNREACHABLE, False))
        if self.refusing:
            return Error(_fault(base.TargetFaultKind.REFUSED, False))
        self.runs += 1
        previous_runs = self.runs_by_request.get(call.request_id, 0)
        self.runs_by_request[call.request_id] = previous_runs + 1
        run = self.runs
        await asyncio.sleep(self.delay)
        if self.silent:
            await asyncio.sleep(timeout)
            return Error(_fault(base.TargetFaultKind.SILENT, True))
        echo = ServiceEcho(
            service=self.service,
            target=self.target,
            run=run,
            method=call.method,
            path=call.path,
            body=call.body.decode('utf-8', 'replace'),
        )
        return Ok(base.ServiceAnswer(200, (_JSON,), msgspec.json.encode(echo)))


class StandInScoringService(base.ScoringService):
    """An in-memory scoring service; a score depends only on the sample.

    ``delay`` is the seconds that a call takes.
    """

    def __init__(self, delay: float = 0.01) -> None:
        self.delay = delay
        self.crashed = False
        self.scored = 0

    async def score(
        self, samples: Sequence[tuple[str, str]], timeout: float
    ) -> Result[Sequence[float], base.TargetFault]:
        """Returns one score from 0 to 1 for each sample."""
        if self.crashed:
            return Error(_fault(base.TargetFaultKind.UNREACHABLE, False))
        await asyncio.sleep(self.delay)
        self.scored += len(samples)
        return Ok([_score(prompt, text) for prompt, text in samples])


def _score(prompt: str, text: str) -> float:
    return xxhash.xxh32_intdigest(f'{prompt}\0{text}'.encode()) / 2**32


def _fault(kind: base.TargetFaultKind, sent: bool) -> base.TargetFault:
    return base.TargetFault(kind, f'stand-in: {kind.value}', sent)
