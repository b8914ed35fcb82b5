"""Generates the samples of one trainer's steps and answers its pulls."""

import asyncio
import contextlib
import logging

from expression import Error
from expression import Ok
from expression import Result

from waxwingport.configuration import declarations
from waxwingport import ids
from waxwingport import outcomes
from waxwingport.samples import bitmap
from waxwingport.samples import planner
from waxwingport.samples import progress
from waxwingport.samples import scheduler
from waxwingport.samples import scoring
from waxwingport.samples import statistics
from waxwingport.samples import step_store
from waxwingport.samples import steps
from waxwingport.samples import window

__all__ = ['Collector']

_LOG = logging.getLogger(__name__)


class Collector:
    """Keeps a trainer's steps and answers its pulls.

    Starts background tasks at once; ``close`` ends them.
    """

    def __init__(
        self,
        trainer: declarations.Trainer,
        dependencies: scheduler.CollectorDependencies,
    ) -> None:
        self.trainer = trainer
        self.last_used = self._now()
        self._settings = dependencies.sample_settings
        self._list_scoring = dependencies.list_scoring
        self._store = step_store.StepStore(self._settings)
        self.statistics = statistics.Statistics(
            trainer.name, dependencies.metrics
        )
        self._window = window.ConcurrencyWindow(
            dependencies.compute_slot_share
        )
        self._scheduler = scheduler.AttemptScheduler(
            trainer,
            dependencies,
            self._store,
            self._window,
            self.statistics,
            self._accept_sample,
        )
        self._scorer = self._make_scorer()
        self._changed = asyncio.Event()
        self._pull_number = 0

    @property
    def version(self) -> ids.WeightVersion:
        """Latest weight version that the trainer stated or published."""
        return self._store.version

    @property
    def is_busy(self) -> bool:
        """Whether any attempt is in progress."""
        return self._scheduler.in_progress > 0

    def update(self, trainer: declarations.Trainer) -> None:
        """Applies a changed declaration.

        A change of the scoring drops the samples that await a score; they are
        generated again.
        """
        if trainer == self.trainer:
            return
        scored = (trainer.scoring, trainer.score_required)
        if scored != (self.trainer.scoring, self.trainer.score_required):
            self._reset_scoring()
            self.trainer = trainer
            self._scorer = self._make_scorer()
        self.trainer = trainer
        self._scheduler.trainer = trainer
        self._scheduler.wake(reorder=True)

    def record_version(self, version: ids.WeightVersion) -> None:
        """Records a published version and drops samples too old for it."""
        self._store.record_version(version)
        self._drop_stale()
        self._scheduler.wake(reorder=True)

    def put_step(
        self, number: ids.StepNumber, body: steps.StepBody
    ) -> Result[None, outcomes.Refusal]:
        """Starts a step; does nothing if it is known with the same body.

        Fails with ``BAD_REQUEST`` for an invalid body, and as
        ``StepStore.add`` does.
        """
        self.last_used = self._now()
        match steps.make_step(number, body, self._settings):
            case Result(tag='ok', ok=step):
                pass
            case Result(error=fault):
                return Error(_refuse_body(fault))
        match bitmap.Bitmap.decode(len(step), body.received):
            case Result(tag='ok', ok=received):
                pass
            case Result(error=fault):
                return Error(_refuse_body(fault))
        return self._store.add(step, received).map(
            lambda added: self._handle_added(step, *added)
        )

    def remove_step(self, number: ids.StepNumber) -> None:
        """Cancels and removes a step; does nothing if it is unknown."""
        entry = self._store.remove(number)
        if entry is not None:
            self._scheduler.cancel_step(entry)

    async def pull(
        self, request: steps.PullRequest
    ) -> Result[steps.PullAnswer, outcomes.Refusal]:
        """Returns samples that the trainer has not received yet.

        Waits up to ``wait_ms`` for the first one; a newer pull ends the wait
        with a superseded answer.  Fails with ``UNKNOWN_STEP`` for a step that
        was not put, and with ``BAD_REQUEST`` for an invalid request or a step
        that the engines rejected.
        """
        self._pull_number += 1
        self._changed.set()
        self.last_used = self._now()
        match self._validate_pull(request):
            case Result(tag='ok', ok=(entry, received)):
                pass
            case Result(error=refusal):
                return Error(refusal)
        self._apply_pull(entry, received, request)
        return await self._wait_for_samples(
            entry, request, received, self._pull_number
        )

    async def close(self) -> None:
        """Cancels all attempts and scoring; waiting pulls end at once."""
        self._pull_number += 1
        self._changed.set()
        if self._scorer is not None:
            self._scorer.close()
        await self._scheduler.close()

    def describe(self) -> dict[str, object]:
        """Returns this trainer's statistics for ``/v1/status``."""
        return {
            **self.statistics.describe(),
            'steps': [
                {
                    'step': entry.number,
                    'samples': len(entry.step),
                    'received': len(entry.progress.received),
                    'held': entry.progress.stored_count,
                    'awaiting_score': entry.progress.unscored,
                }
                for entry in self._store
            ],
            'attempts': self._scheduler.in_progress,
            'window': self._window.size,
            'steps_ahead': self._scheduler.steps_ahead,
        }

    def _now(self) -> float:
        return asyncio.get_running_loop().time()

    def _make_scorer(self) -> scoring.Scorer | None:
        if self.trainer.scoring is None:
            return None
        return scoring.Scorer(
            self._list_scoring,
            self._apply_score,
            self.trainer.score_required,
            self._settings,
        )

    def _reset_scoring(self) -> None:
        """Drops samples that await a score; they are generated again."""
        if self._scorer is not None:
            self._scorer.close()
            self._scorer = None
        for entry in self._store:
            entry.progress.drop_unscored()

    def _handle_added(
        self,
        step: steps.Step,
        entry: step_store.StepEntry | None,
        dropped: list[step_store.StepEntry],
    ) -> None:
        for old in dropped:
            self._scheduler.cancel_step(old)
        if entry is None:
            return
        _LOG.info(
            'step trainer=%s step=%d groups=%d samples=%d received=%d '
            'delivery=%s',
            self.trainer.name,
            step.number,
            len(step.body.groups),
            len(step),
            len(entry.progress.received),
            step.body.delivery.value,
        )
        self._choose_steps_ahead()
        self._window.grow_to_share()
        self._scheduler.wake(reorder=True)

    def _validate_pull(
        self, request: steps.PullRequest
    ) -> Result[tuple[step_store.StepEntry, bitmap.Bitmap], outcomes.Refusal]:
        entry = self._store.find(request.step)
        if entry is None:
            return Error(
                outcomes.Refusal(
                    outcomes.Reason.UNKNOWN_STEP,
                    f'step {request.step} is not known; put it before pulling',
                )
            )
        if entry.rejection is not None:
            return Error(_refuse_body(entry.rejection))
        largest = max(group.samples for group in entry.step.body.groups)
        if entry.step.by_group and request.max < largest:
            return Error(
                _refuse_body(
                    f'max: {request.max}, expected at least {largest}: '
                    'groups are delivered whole'
                )
            )
        return (
            bitmap.Bitmap.decode(len(entry.step), request.received)
            .map(lambda received: (entry, received))
            .map_error(_refuse_body)
        )

    def _apply_pull(
        self,
        entry: step_store.StepEntry,
        received: bitmap.Bitmap,
        request: steps.PullRequest,
    ) -> None:
        for finished in self._store.record_pull(request.step, request.version):
            self._scheduler.cancel_step(finished)
            finished.progress.drop_received()
        useless = entry.progress.record_received(received)
        self._scheduler.cancel(useless, statistics.Waste.ABANDONED)
        self._drop_stale()
        self._choose_steps_ahead()
        self._scheduler.wake()

    async def _wait_for_samples(
        self,
        entry: step_store.StepEntry,
        request: steps.PullRequest,
        received: bitmap.Bitmap,
        pull_number: int,
    ) -> Result[steps.PullAnswer, outcomes.Refusal]:
        start = self._now()
        wait = min(request.wait_ms / 1000, self._settings.pull_wait)
        while True:
            self._changed.clear()
            samples = self._select(entry, request, received)
            remaining = start + wait - self._now()
            if samples or remaining <= 0 or entry.progress.is_fully_received:
                break
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(remaining):
                    await self._changed.wait()
            if pull_number != self._pull_number:
                self._changed.set()
                self._record_idle(entry, start)
                return Ok(steps.PullAnswer(superseded=True, final=True))
            if entry.rejection is not None:
                return Error(_refuse_body(entry.rejection))
        self._record_idle(entry, start)
        self._record_returned(entry, request, samples)
        return Ok(
            steps.PullAnswer(samples, final=entry.progress.is_fully_received)
        )

    def _select(
        self,
        entry: step_store.StepEntry,
        request: steps.PullRequest,
        received: bitmap.Bitmap,
    ) -> tuple[steps.Sample, ...]:
        minimum_version = request.version - self.trainer.staleness_bound
        chosen = entry.progress.select(minimum_version, received, request.max)
        self._record_stale(entry, chosen.stale)
        return chosen.samples

    def _record_idle(self, entry: step_store.StepEntry, start: float) -> None:
        waited = self._now() - start
        if waited > 0:
            entry.idle_time += waited
            self.statistics.record_idle(waited)

    def _record_returned(
        self,
        entry: step_store.StepEntry,
        request: steps.PullRequest,
        samples: tuple[steps.Sample, ...],
    ) -> None:
        for sample in samples:
            if sample.number not in entry.returned:
                entry.returned.add(sample.number)
                self.statistics.record_returned(
                    request.version - sample.oldest_version
                )
        available = len(entry.progress.received) + len(samples)
        if available >= len(entry.step) and not entry.is_fully_returned:
            entry.is_fully_returned = True
            self._store.record_fully_returned(entry)
            self.statistics.record_step(
                self._now() - entry.put_at, entry.idle_time
            )

    def _drop_stale(self) -> None:
        forecast = self._store.make_forecast(self.trainer.staleness_bound)
        for entry in self._store:
            if entry.number >= forecast.step:
                minimum_version = self.version - self.trainer.staleness_bound
                self._record_stale(
                    entry, entry.progress.drop_older(minimum_version)
                )

    def _record_stale(
        self,
        entry: step_store.StepEntry,
        stale: tuple[progress.DroppedSample, ...],
    ) -> None:
        for sample in stale:
            self.statistics.record_discarded(
                statistics.Discard.STALE, sample.tokens
            )
        if stale:
            _LOG.info(
                'stale trainer=%s step=%d samples=%d version=%d',
                self.trainer.name,
                entry.number,
                len(stale),
                self.version,
            )
            self._scheduler.wake(reorder=True)

    def _choose_steps_ahead(self) -> None:
        forecast = self._store.make_forecast(self.trainer.staleness_bound)
        entry = self._store.find(forecast.step)
        if entry is None:
            return
        lengths = self._scheduler.lengths
        tokens = len(entry.step) * lengths.mean
        throughput_time = tokens / (
            lengths.tokens_per_second * self._window.size
        )
        train_time = self._store.train_time
        generation_time = self._store.generation_time
        ahead = planner.choose_steps_ahead(
            self.trainer.idle_weight,
            self.trainer.staleness_bound,
            throughput_time,
            throughput_time if generation_time is None else generation_time,
            throughput_time if train_time is None else train_time,
        )
        if ahead != self._scheduler.steps_ahead:
            _LOG.info(
                'ahead trainer=%s steps=%d generate_seconds=%.1f '
                'whole_seconds=%.1f train_seconds=%.1f',
                self.trainer.name,
                ahead,
                throughput_time,
                generation_time or 0.0,
                train_time or 0.0,
            )
            self._scheduler.steps_ahead = ahead
            self._scheduler.wake(reorder=True)

    def _accept_sample(
        self,
        entry: step_store.StepEntry,
        attempt: progress.Attempt,
        sample: steps.Sample,
    ) -> bool:
        """Stores a finished sample unless another attempt finished first.

        Returns whether the sample was stored.
        """
        scorer = self._scorer
        finish = entry.progress.finish(attempt, sample, scorer is not None)
        if not finish.accepted:
            return False
        if entry.progress.is_fully_generated:
            self._store.record_fully_generated(entry)
        losers = list(finish.losers)
        self._scheduler.cancel(losers, statistics.Waste.SECOND_ATTEMPT)
        if scorer is None:
            self._changed.set()
            return True
        scorer.submit(
            scoring.ScoreRequest(
                step=entry.number,
                request_id=attempt.request_id,
                prompt=attempt.spec.group.prompt,
                sample=sample,
            )
        )
        return True

    def _apply_score(
        self, request: scoring.ScoreRequest, score: float | None
    ) -> None:
        entry = self._store.find(request.step)
        if entry is not None and entry.progress.score(
            request.sample.number, request.request_id, score
        ):
            self._changed.set()
            self._scheduler.wake()


def _refuse_body(fault: str) -> outcomes.Refusal:
    return outcomes.Refusal(outcomes.Reason.BAD_REQUEST, fault)
