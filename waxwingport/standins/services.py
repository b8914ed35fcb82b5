"""Stand-ins of plain services and scoring services."""

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
    """What a stand-in service answers.

    ``run`` counts the executions at this target, so that a caller sees when
    something ran twice.
    """

    service: str
    target: str
    run: int
    method: str
    path: str
    body: str


class StandInService(base.Service):
    """A plain service in memory that counts what it runs."""

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
        """Runs the call, counts it and echoes it."""
        if self.crashed:
            return Error(_fault(base.TargetFaultKind.UNREACHABLE, False))
        if self.refusing:
            return Error(_fault(base.TargetFaultKind.REFUSED, False))
        self.runs += 1
        seen = self.runs_by_request.get(call.request_id, 0)
        self.runs_by_request[call.request_id] = seen + 1
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
    """A scoring service in memory; a score depends on the sample alone."""

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
        return Ok([_rate(prompt, text) for prompt, text in samples])


def _rate(prompt: str, text: str) -> float:
    return xxhash.xxh32_intdigest(f'{prompt}\0{text}'.encode()) / 2**32


def _fault(kind: base.TargetFaultKind, sent: bool) -> base.TargetFault:
    return base.TargetFault(kind, f'stand-in: {kind.value}', sent)
