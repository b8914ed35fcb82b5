"""Scores samples in batches before they are delivered."""

import asyncio
from collections.abc import Callable
from collections.abc import Sequence
import logging
import math

from expression import Result
import msgspec

from waxwingport import ids
from waxwingport.samples import settings
from waxwingport.samples import steps
from waxwingport.targets import base

__all__ = ['Scorer', 'ScoreRequest']

_FIRST_RETRY = 0.1
_LONGEST_RETRY = 5.0
_LOG = logging.getLogger(__name__)

Services = Callable[[], Sequence[base.ScoringService]]
"""Lists the scoring services that may be asked now."""

Taker = Callable[['ScoreRequest', float | None], None]
"""Takes a score, ``None`` once it was given up."""


class ScoreRequest(msgspec.Struct, eq=False):
    """A sample that awaits its score."""

    step: ids.StepNumber
    request_id: ids.RequestId
    prompt: str
    sample: steps.Sample
    failures: int = 0


class Scorer:
    """Sends batches to scoring services, one at a time.

    A batch that fails is sent again, to the next service.  Unless scores are
    required, a sample is given up after ``score_attempts`` failures.
    """

    def __init__(
        self,
        services: Services,
        take: Taker,
        required: bool,
        limits: settings.SampleSettings,
    ) -> None:
        self._services = services
        self._take = take
        self.required = required
        self._limits = limits
        self._waiting: list[ScoreRequest] = []
        self._arrived = asyncio.Event()
        self._turn = 0
        self._task: asyncio.Task[None] | None = None

    def submit(self, request: ScoreRequest) -> None:
        """Queues a sample."""
        self._waiting.append(request)
        self._arrived.set()
        if self._task is None:
            self._task = asyncio.get_running_loop().create_task(self._run())

    def close(self) -> None:
        """Drops what waits."""
        if self._task is not None:
            self._task.cancel()
            self._task = None
        self._waiting.clear()

    async def _run(self) -> None:
        delay = _FIRST_RETRY
        while True:
            await self._gather()
            batch = self._waiting[: self._limits.score_batch]
            del self._waiting[: len(batch)]
            if await self._score(batch):
                delay = _FIRST_RETRY
                continue
            self._put_back(batch)
            await asyncio.sleep(delay)
            delay = min(delay * 2, _LONGEST_RETRY)

    async def _gather(self) -> None:
        if not self._waiting:
            self._arrived.clear()
            await self._arrived.wait()
        if len(self._waiting) < self._limits.score_batch:
            await asyncio.sleep(self._limits.score_delay)

    async def _score(self, batch: list[ScoreRequest]) -> bool:
        services = self._services()
        if not services:
            _LOG.warning('score samples=%d failed: no service', len(batch))
            return False
        self._turn += 1
        service = services[self._turn % len(services)]
        pairs = [(row.prompt, row.sample.text) for row in batch]
        match await self._ask(service, pairs):
            case Result(tag='ok', ok=scores) if _fit(scores, batch):
                for row, score in zip(batch, scores, strict=True):
                    self._take(row, score)
                return True
            case Result(tag='ok'):
                detail = 'the scores do not fit the samples'
            case Result(error=fault):
                detail = fault.detail
        _LOG.warning('score samples=%d failed: %s', len(batch), detail)
        return False

    async def _ask(
        self, service: base.ScoringService, pairs: list[tuple[str, str]]
    ) -> Result[Sequence[float], base.TargetFault]:
        timeout = self._limits.score_timeout
        try:
            async with asyncio.timeout(timeout):
                return await service.score(pairs, timeout)
        except TimeoutError:
            return Result.Error(
                base.TargetFault(
                    base.TargetFaultKind.TIMEOUT,
                    f'no scores within {timeout} s',
                    sent=True,
                )
            )

    def _put_back(self, batch: list[ScoreRequest]) -> None:
        kept = []
        for row in batch:
            row.failures += 1
            tries = self._limits.score_attempts
            if self.required or row.failures < tries:
                kept.append(row)
            else:
                self._take(row, None)
        self._waiting[:0] = kept


def _fit(scores: Sequence[float], batch: list[ScoreRequest]) -> bool:
    return len(scores) == len(batch) and all(map(math.isfinite, scores))
