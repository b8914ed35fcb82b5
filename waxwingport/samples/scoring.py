"""Scores samples in batches before pulls return them."""

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

_MIN_RETRY_DELAY_S = 0.1
"""Delay after a failed batch; doubles with each one in a row."""
_MAX_RETRY_DELAY_S = 5.0
_LOG = logging.getLogger(__name__)

ListServices = Callable[[], Sequence[base.ScoringService]]
"""Returns the scoring services that are live."""

ScoreHandler = Callable[['ScoreRequest', float | None], None]
"""Called with a score, or with ``None`` after too many failures."""


class ScoreRequest(msgspec.Struct, eq=False):
    """A sample that awaits its score.

    ``failures`` counts the batches with this sample that failed.
    """

    step: ids.StepNumber
    request_id: ids.RequestId
    prompt: str
    sample: steps.Sample
    failures: int = 0


class Scorer:
    """Sends batches to the scoring services, one batch at a time.

    A batch that fails is sent again, to the next service, after a delay that
    doubles up to a limit.  Unless scores are required, a sample is released
    without one after ``score_attempts`` failures.
    """

    def __init__(
        self,
        list_services: ListServices,
        handle_score: ScoreHandler,
        required: bool,
        sample_settings: settings.SampleSettings,
    ) -> None:
        self._list_services = list_services
        self._handle_score = handle_score
        self.required = required
        self._settings = sample_settings
        self._waiting: list[ScoreRequest] = []
        self._arrived = asyncio.Event()
        self._service_index = 0
        self._task: asyncio.Task[None] | None = None

    def submit(self, request: ScoreRequest) -> None:
        """Queues a sample; starts the background task if none runs."""
        self._waiting.append(request)
        self._arrived.set()
        if self._task is None:
            self._task = asyncio.get_running_loop().create_task(self._run())

    def close(self) -> None:
        """Stops scoring and drops the queued samples."""
        if self._task is not None:
            self._task.cancel()
            self._task = None
        self._waiting.clear()

    async def _run(self) -> None:
        delay = _MIN_RETRY_DELAY_S
        while True:
            await self._wait_for_batch()
            batch = self._waiting[: self._settings.score_batch]
            del self._waiting[: len(batch)]
            if await self._score(batch):
                delay = _MIN_RETRY_DELAY_S
                continue
            self._requeue(batch)
            await asyncio.sleep(delay)
            delay = min(delay * 2, _MAX_RETRY_DELAY_S)

    async def _wait_for_batch(self) -> None:
        if not self._waiting:
            self._arrived.clear()
            await self._arrived.wait()
        if len(self._waiting) < self._settings.score_batch:
            await asyncio.sleep(self._settings.score_delay)

    async def _score(self, batch: list[ScoreRequest]) -> bool:
        services = self._list_services()
        if not services:
            _LOG.warning(
                'score samples=%d failed: no scoring service is available',
                len(batch),
            )
            return False
        self._service_index += 1
        service = services[self._service_index % len(services)]
        pairs = [(request.prompt, request.sample.text) for request in batch]
        match await self._request_scores(service, pairs):
            case Result(tag='ok', ok=scores) if _are_valid(scores, batch):
                for request, score in zip(batch, scores, strict=True):
                    self._handle_score(request, score)
                return True
            case Result(tag='ok'):
                detail = (
                    f'expected {len(batch)} scores, each finite, '
                    f'got {len(scores)}'
                )
            case Result(error=fault):
                detail = fault.detail
        _LOG.warning('score samples=%d failed: %s', len(batch), detail)
        return False

    async def _request_scores(
        self, service: base.ScoringService, pairs: list[tuple[str, str]]
    ) -> Result[Sequence[float], base.TargetFault]:
        timeout = self._settings.score_timeout
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

    def _requeue(self, batch: list[ScoreRequest]) -> None:
        retried = []
        for request in batch:
            request.failures += 1
            max_failures = self._settings.score_attempts
            if self.required or request.failures < max_failures:
                retried.append(request)
            else:
                self._handle_score(request, None)
        self._waiting[:0] = retried


def _are_valid(scores: Sequence[float], batch: list[ScoreRequest]) -> bool:
    return len(scores) == len(batch) and all(map(math.isfinite, scores))
