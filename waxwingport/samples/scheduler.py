"""Starts and cancels the attempts to generate one trainer's samples."""

import asyncio
from collections.abc import Callable
import contextlib
import logging

from expression import Result
import msgspec

from waxwingport.configuration import declarations
from waxwingport import ids
from waxwingport import metrics
from waxwingport import outcomes
from waxwingport.requests import completions
from waxwingport.routing import model
from waxwingport.routing import prefixes
from waxwingport.samples import generation
from waxwingport.samples import lengths
from waxwingport.samples import placements
from waxwingport.samples import planner
from waxwingport.samples import progress
from waxwingport.samples import scoring
from waxwingport.samples import settings
from waxwingport.samples import statistics
from waxwingport.samples import step_store
from waxwingport.samples import steps
from waxwingport.samples import window

__all__ = ['AttemptScheduler', 'CollectorDependencies']

_POLL_INTERVAL_S = 0.25
"""Time between checks for work while there is any."""
_REORDER_INTERVAL_S = 0.5
"""Time for which one sorted queue of the open samples is used."""
_MIN_RETRY_DELAY_S = 0.1
"""Pause after a refusal; doubles with each one in a row up to the maximum."""
_MAX_RETRY_DELAY_S = 2.0
_AVOID_TIME_S = 10.0
"""Time for which an engine whose sample was discarded gets no attempt."""
_SECOND_ATTEMPT_SHARE = 0.1
"""Share of the window by which second attempts may exceed it."""
_CAPACITY_REASONS = (outcomes.Reason.DEADLINE, outcomes.Reason.OVERLOADED)
"""Reasons of refusals that shrink the window."""
_LOG = logging.getLogger(__name__)

SampleHandler = Callable[
    [step_store.StepEntry, progress.Attempt, steps.Sample], bool
]
"""Stores a finished sample; returns whether it was the first one."""


class CollectorDependencies(msgspec.Struct, frozen=True):
    """What a collector needs from its node.

    ``compute_slot_share`` returns the trainer's share of its pool's slots,
    ``None`` while no engine has reported; with a minimum version it counts
    only the slots of engines at that version or later.  ``list_scoring``
    returns the trainer's scoring services.
    """

    runner: completions.CompletionRunner
    placements: placements.PlacementTracker
    metrics: metrics.Metrics
    compute_slot_share: Callable[..., float | None]
    list_scoring: scoring.ListServices
    sample_settings: settings.SampleSettings = settings.SampleSettings()
    generate_request_id: Callable[[], ids.RequestId] = ids.generate_request_id


class AttemptScheduler:
    """Keeps as many attempts in progress as the concurrency window allows.

    Starts a background task at once; ``close`` ends it.
    """

    def __init__(
        self,
        trainer: declarations.Trainer,
        dependencies: CollectorDependencies,
        store: step_store.StepStore,
        concurrency_window: window.ConcurrencyWindow,
        trainer_statistics: statistics.Statistics,
        accept_sample: SampleHandler,
    ) -> None:
        self.trainer = trainer
        self.lengths = lengths.LengthModel()
        self.steps_ahead = 0
        """How many steps after ``first_needed_step`` may be generated."""
        self._runner = dependencies.runner
        self._placements = dependencies.placements
        self._generate_request_id = dependencies.generate_request_id
        self._compute_slot_share = dependencies.compute_slot_share
        self._store = store
        self._window = concurrency_window
        self._statistics = trainer_statistics
        self._settings = dependencies.sample_settings
        self._accept_sample = accept_sample
        self._tasks: dict[ids.RequestId, asyncio.Task[None]] = {}
        self._queue: list[planner.OpenSample] = []
        """Open samples, the one to start next last."""
        self._ordered_at = float('-inf')
        self._paused_until = 0.0
        self._retry_delay = _MIN_RETRY_DELAY_S
        self._reserved_tokens = 0.0
        """Tokens that the running second attempts may waste."""
        self._avoided: dict[ids.TargetName, float] = {}
        """Time on the loop's clock until which each engine gets no attempt."""
        self._wake = asyncio.Event()
        self._loop = asyncio.get_running_loop()
        self._loop_task = self._loop.create_task(self._run_loop())

    @property
    def in_progress(self) -> int:
        """Number of running attempts."""
        return len(self._tasks)

    def wake(self, reorder: bool = False) -> None:
        """Checks at once for work to start or cancel.

        ``reorder`` sorts the open samples again first.
        """
        if reorder:
            self._ordered_at = float('-inf')
        self._wake.set()

    def cancel(
        self, attempts: list[progress.Attempt], cause: statistics.Waste
    ) -> None:
        """Cancels attempts that were already removed from their step."""
        for attempt in attempts:
            self._statistics.record_wasted(cause, attempt.tokens)
            self._release_budget(attempt)
            task = self._tasks.pop(attempt.request_id, None)
            if task is not None:
                task.cancel()
            _LOG.info(
                'cancel trainer=%s step=%d sample=%d attempt=%s cause=%s '
                'tokens=%d',
                self.trainer.name,
                attempt.step,
                attempt.spec.number,
                attempt.request_id,
                cause.value,
                attempt.tokens,
            )
        self._wake.set()

    def cancel_step(self, entry: step_store.StepEntry) -> None:
        """Cancels all attempts of a step."""
        attempts = [
            attempt
            for running in list(entry.progress.list_running())
            for attempt in running
        ]
        for attempt in attempts:
            entry.progress.remove_attempt(attempt)
        self.cancel(attempts, statistics.Waste.ABANDONED)

    async def close(self) -> None:
        """Cancels all attempts and waits until their tasks have ended."""
        tasks = [self._loop_task, *self._tasks.values()]
        self._tasks.clear()
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _run_loop(self) -> None:
        while True:
            with contextlib.suppress(TimeoutError):
                timeout = (
                    _POLL_INTERVAL_S
                    if self._tasks or self._has_open()
                    else None
                )
                async with asyncio.timeout(timeout):
                    await self._wake.wait()
            self._wake.clear()
            self._cancel_stale()
            if self._loop.time() >= self._paused_until:
                self._start_open()
                self._start_second_attempts()

    def _has_open(self) -> bool:
        return any(
            entry.progress.open_count
            for entry in self._store
            if not entry.rejection
        )

    def _cancel_stale(self) -> None:
        """Cancels attempts that will be too old for their step's pull.

        Versions expected to be published during the step are not counted, as
        they may not come: ``versions_within_step`` keeps its default of 0.
        """
        forecast = self._store.make_forecast(self.trainer.staleness_bound)
        forecast = planner.VersionForecast(
            forecast.version,
            forecast.staleness_bound,
            forecast.step,
            forecast.versions_per_step,
        )
        for entry in self._store:
            minimum_version = forecast.compute_minimum_version(entry.number)
            if minimum_version is None:
                continue
            stale = [
                attempt
                for running in entry.progress.list_running()
                for attempt in running
                if attempt.oldest_version is not None
                and attempt.oldest_version < minimum_version
            ]
            for attempt in stale:
                entry.progress.remove_attempt(attempt)
            if stale:
                self.cancel(stale, statistics.Waste.STALE)
                self._ordered_at = float('-inf')

    def _start_open(self) -> None:
        now = self._loop.time()
        if now - self._ordered_at > _REORDER_INTERVAL_S:
            self._reorder()
            self._ordered_at = now
        forecast = self._store.make_forecast(self.trainer.staleness_bound)
        while self._queue and len(self._tasks) < self._window.size:
            sample = self._queue.pop()
            entry = self._store.find(sample.step)
            if entry is None or not entry.progress.is_open(sample.number):
                continue
            if not self._make_space(entry, forecast):
                continue
            minimum_version = forecast.compute_minimum_version(sample.step)
            if (
                minimum_version is not None
                and self._compute_slot_share(minimum_version) != 0
            ):
                self._start(entry, sample, minimum_version, forecast)

    def _reorder(self) -> None:
        forecast = self._store.make_forecast(self.trainer.staleness_bound)
        open_samples = (
            planner.OpenSample(
                entry.number,
                spec.number,
                entry.progress.count_missing(spec)
                if entry.step.by_group
                else 0,
                self.lengths.predict((entry.number, spec.group.group)),
            )
            for entry in self._store
            if self._may_generate(entry, forecast)
            for spec in entry.progress.list_open()
        )
        self._queue = planner.order_samples(open_samples)
        self._queue.reverse()

    def _may_generate(
        self, entry: step_store.StepEntry, forecast: planner.VersionForecast
    ) -> bool:
        ahead = entry.number - self._store.first_needed_step
        in_range = forecast.step <= entry.number and ahead <= self.steps_ahead
        return entry.rejection is None and in_range

    def _make_space(
        self, entry: step_store.StepEntry, forecast: planner.VersionForecast
    ) -> bool:
        """Returns whether a sample may be added.

        Drops samples that the trainer has received and, for the step that it
        pulls, those of other steps while memory is full.
        """
        entries = list(self._store)
        unscored = sum(other.progress.unscored for other in entries)
        if unscored >= self._settings.unscored_samples:
            return False
        if self._measure_stored() < self._settings.held_size:
            return True
        for other in entries:
            other.progress.drop_received()
        if entry.number != forecast.step:
            return self._measure_stored() < self._settings.held_size
        self._drop_other_steps(entry)
        # A group is delivered whole, so its samples need space until then.
        fits = self._measure_stored() < self._settings.held_size
        return fits or entry.step.by_group

    def _measure_stored(self) -> int:
        return sum(entry.progress.stored_size for entry in self._store)

    def _drop_other_steps(self, current: step_store.StepEntry) -> None:
        """Drops the unreceived samples of all steps except ``current``."""
        for other in self._store:
            if other is current:
                continue
            for dropped in other.progress.drop_unreceived():
                self._statistics.record_wasted(
                    statistics.Waste.ABANDONED, dropped.tokens
                )

    def _start(
        self,
        entry: step_store.StepEntry,
        sample: planner.OpenSample,
        minimum_version: ids.WeightVersion,
        forecast: planner.VersionForecast,
    ) -> None:
        attempt = self._create_attempt(entry, sample.number, is_second=False)
        _LOG.info(
            'start trainer=%s step=%d sample=%d attempt=%s lacking=%d '
            'expected_tokens=%.0f minimum_version=%d ahead=%d '
            'in_progress=%d window=%d',
            self.trainer.name,
            sample.step,
            sample.number,
            attempt.request_id,
            sample.missing,
            sample.expected_tokens,
            minimum_version,
            sample.step - forecast.step,
            len(self._tasks),
            self._window.size,
        )
        self._launch(entry, attempt, minimum_version, frozenset())

    def _start_second_attempts(self) -> None:
        forecast = self._store.make_forecast(self.trainer.staleness_bound)
        entry = self._store.find(forecast.step)
        if entry is None or entry.rejection or entry.progress.open_count:
            return
        single_attempts = {
            running[0].spec.number: running[0]
            for running in entry.progress.list_running()
            if len(running) == 1
        }
        size = self._window.size
        room = (
            size - len(self._tasks) + max(1, int(size * _SECOND_ATTEMPT_SHARE))
        )
        if not single_attempts or room <= 0:
            return
        chosen = planner.choose_second_attempts(
            [
                self._describe_attempt(attempt)
                for attempt in single_attempts.values()
            ],
            self.lengths.mean,
            self.lengths.tokens_per_second,
            self._compute_budget(),
            room,
        )
        minimum_version = forecast.compute_minimum_version(entry.number)
        for second in chosen:
            self._start_second(
                entry, single_attempts[second.number], second, minimum_version
            )

    def _describe_attempt(
        self, attempt: progress.Attempt
    ) -> planner.RunningAttempt:
        return planner.RunningAttempt(
            attempt.spec.number,
            attempt.tokens,
            self._loop.time() - attempt.started_at,
            self.lengths.predict_remaining(attempt.tokens),
        )

    def _compute_budget(self) -> float:
        """Returns how many tokens further second attempts may waste."""
        allowed = self.trainer.wasted_share * self._statistics.useful_tokens
        wasted = self._statistics.wasted[statistics.Waste.SECOND_ATTEMPT]
        return allowed - wasted - self._reserved_tokens

    def _start_second(
        self,
        entry: step_store.StepEntry,
        first: progress.Attempt,
        chosen: planner.SecondAttempt,
        minimum_version: ids.WeightVersion | None,
    ) -> None:
        target = self._placements.find(first.request_id)
        attempt = self._create_attempt(entry, chosen.number, is_second=True)
        attempt.reserved_tokens = max(first.tokens, self.lengths.mean)
        self._reserved_tokens += attempt.reserved_tokens
        _LOG.info(
            'second trainer=%s step=%d sample=%d attempt=%s first=%s at=%s '
            'expected_rest=%.2f expected_fresh=%.2f',
            self.trainer.name,
            entry.number,
            chosen.number,
            attempt.request_id,
            first.request_id,
            target,
            chosen.remaining_time,
            chosen.new_attempt_time,
        )
        excluded = frozenset() if target is None else frozenset({target})
        self._launch(entry, attempt, minimum_version, excluded)

    def _create_attempt(
        self,
        entry: step_store.StepEntry,
        number: ids.SampleNumber,
        is_second: bool,
    ) -> progress.Attempt:
        attempt = progress.Attempt(
            request_id=self._generate_request_id(),
            step=entry.number,
            spec=entry.step.specs[number],
            started_at=self._loop.time(),
            is_second=is_second,
        )
        entry.progress.add_attempt(attempt)
        if entry.started_at is None:
            entry.started_at = attempt.started_at
        return attempt

    def _launch(
        self,
        entry: step_store.StepEntry,
        attempt: progress.Attempt,
        minimum_version: ids.WeightVersion | None,
        excluded: frozenset[ids.TargetName],
    ) -> None:
        work = self._make_request(entry, attempt, minimum_version, excluded)
        self._placements.track(attempt.request_id)
        task = self._loop.create_task(self._run_attempt(entry, attempt, work))
        self._tasks[attempt.request_id] = task
        task.add_done_callback(
            lambda _: self._placements.forget(attempt.request_id)
        )

    def _make_request(
        self,
        entry: step_store.StepEntry,
        attempt: progress.Attempt,
        minimum_version: ids.WeightVersion | None,
        excluded: frozenset[ids.TargetName],
    ) -> completions.CompletionWork:
        """Returns the request; a minimum version of 1 is left out."""
        prompt = attempt.spec.group.prompt
        deadline = self._loop.time() + self._settings.sample_timeout
        return completions.CompletionWork(
            work=model.Work(
                request_id=attempt.request_id,
                group=self.trainer.pool,
                owner=self.trainer.name,
                work_class=model.WorkClass.ROLLOUT,
                deadline=deadline,
                priority=self.trainer.priority,
                weight=self.trainer.weight,
                blocks=prefixes.hash_blocks(prompt),
                minimum_version=None
                if minimum_version == 1
                else minimum_version,
                excluded=excluded | self._list_avoided(),
            ),
            prompt=prompt,
            max_tokens=entry.step.max_tokens,
            parameters=entry.step.body.parameters,
        )

    async def _run_attempt(
        self,
        entry: step_store.StepEntry,
        attempt: progress.Attempt,
        work: completions.CompletionWork,
    ) -> None:
        outcome = await generation.generate(self._runner, work, attempt)
        self._tasks.pop(attempt.request_id, None)
        self._release_budget(attempt)
        match outcome:
            case Result(tag='ok', ok=sample):
                self._handle_sample(entry, attempt, sample)
            case Result(error=statistics.Discard() as cause):
                entry.progress.remove_attempt(attempt)
                self._handle_discard(attempt, cause)
            case Result(error=refusal):
                entry.progress.remove_attempt(attempt)
                self._handle_refusal(entry, attempt, refusal)
        self.wake(reorder=entry.progress.is_open(attempt.spec.number))

    def _handle_sample(
        self,
        entry: step_store.StepEntry,
        attempt: progress.Attempt,
        sample: steps.Sample,
    ) -> None:
        seconds = self._loop.time() - (
            attempt.first_chunk_at or attempt.started_at
        )
        key = (entry.number, attempt.spec.group.group)
        self.lengths.record(key, attempt.tokens, seconds)
        self._window.record_finished()
        self._retry_delay = _MIN_RETRY_DELAY_S
        if self._accept_sample(entry, attempt, sample):
            self._statistics.useful_tokens += attempt.tokens
        else:
            self._statistics.record_wasted(
                statistics.Waste.SECOND_ATTEMPT, attempt.tokens
            )

    def _handle_discard(
        self, attempt: progress.Attempt, cause: statistics.Discard
    ) -> None:
        target = self._placements.find(attempt.request_id)
        self._statistics.record_discarded(cause, attempt.tokens)
        if target is not None:
            self._avoided[target] = self._loop.time() + _AVOID_TIME_S
        _LOG.warning(
            'discard trainer=%s step=%d sample=%d attempt=%s cause=%s '
            'target=%s',
            self.trainer.name,
            attempt.step,
            attempt.spec.number,
            attempt.request_id,
            cause.value,
            target,
        )

    def _list_avoided(self) -> frozenset[ids.TargetName]:
        now = self._loop.time()
        return frozenset(
            name for name, until in self._avoided.items() if until > now
        )

    def _handle_refusal(
        self,
        entry: step_store.StepEntry,
        attempt: progress.Attempt,
        refusal: outcomes.Refusal,
    ) -> None:
        self._statistics.record_wasted(statistics.Waste.FAILED, attempt.tokens)
        _LOG.warning(
            'failed trainer=%s step=%d sample=%d attempt=%s reason=%s %s',
            self.trainer.name,
            attempt.step,
            attempt.spec.number,
            attempt.request_id,
            refusal.reason.value,
            refusal.detail,
        )
        if refusal.reason is outcomes.Reason.BAD_REQUEST:
            entry.rejection = refusal.detail
            self.cancel_step(entry)
            return
        if refusal.reason in _CAPACITY_REASONS:
            self._window.record_refused()
        self._pause()

    def _pause(self) -> None:
        """Starts no attempts for a while.

        Refusals during the pause do not prolong it.
        """
        now = self._loop.time()
        if now < self._paused_until:
            return
        self._paused_until = now + self._retry_delay
        self._retry_delay = min(self._retry_delay * 2, _MAX_RETRY_DELAY_S)

    def _release_budget(self, attempt: progress.Attempt) -> None:
        self._reserved_tokens -= attempt.reserved_tokens
        attempt.reserved_tokens = 0.0
