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
from waxwingport.samples import ledger
from waxwingport.samples import lengths
from waxwingport.samples import placements
from waxwingport.samples import planner
from waxwingport.samples import scoring
from waxwingport.samples import settings
from waxwingport.samples import statistics
from waxwingport.samples import steps
from waxwingport.samples import stepstore
from waxwingport.samples import window

__all__ = ['Generator', 'Resources']

_POLL_INTERVAL_S = 0.25
"""Time between checks for work while there is any."""
_REORDER_INTERVAL_S = 0.5
"""How long one order of the open slots is used."""
_MIN_RETRY_DELAY_S = 0.1
"""Pause after a refusal; doubles with each one in a row."""
_MAX_RETRY_DELAY_S = 2.0
_AVOID_TIME_S = 10.0
"""How long an engine whose sample was discarded gets no new attempt."""
_SECOND_ATTEMPT_SHARE = 0.1
"""Second attempts may exceed the window by this share of its size."""
_CAPACITY_REASONS = (outcomes.Reason.DEADLINE, outcomes.Reason.OVERLOADED)
"""Reasons of refusals that shrink the window."""
_LOG = logging.getLogger(__name__)

SampleHandler = Callable[
    [stepstore.StepEntry, ledger.Attempt, steps.Sample], bool
]
"""Stores a finished sample; returns whether it was the slot's first."""


class Resources(msgspec.Struct, frozen=True):
    """What a collector needs from its node.

    ``find_slots`` returns the trainer's share of its pool's slots, ``None``
    while no engine has reported; with a minimum version it counts only the
    slots of engines at that version or later.  ``list_scoring`` returns the
    trainer's scoring services.
    """

    runner: completions.CompletionRunner
    placements: placements.PlacementTracker
    metrics: metrics.Metrics
    find_slots: Callable[..., float | None]
    list_scoring: scoring.ListServices
    limits: settings.SampleSettings = settings.SampleSettings()
    generate_request_id: Callable[[], ids.RequestId] = ids.generate_request_id


class Generator:
    """Keeps as many attempts in progress as the window allows.

    Starts a background task at once; ``close`` ends it.
    """

    def __init__(
        self,
        trainer: declarations.Trainer,
        resources: Resources,
        store: stepstore.StepStore,
        concurrency: window.ConcurrencyWindow,
        measured: statistics.Statistics,
        accept_sample: SampleHandler,
    ) -> None:
        self.trainer = trainer
        self.lengths = lengths.LengthModel()
        self.steps_ahead = 0
        """How many steps after the needed one may be generated."""
        self._runner = resources.runner
        self._placements = resources.placements
        self._generate_request_id = resources.generate_request_id
        self._find_slots = resources.find_slots
        self._store = store
        self._window = concurrency
        self._statistics = measured
        self._limits = resources.limits
        self._accept_sample = accept_sample
        self._tasks: dict[ids.RequestId, asyncio.Task[None]] = {}
        self._queue: list[planner.OpenSlot] = []
        """Open slots, the next one last."""
        self._ordered_at = float('-inf')
        self._paused_until = 0.0
        self._retry_delay = _MIN_RETRY_DELAY_S
        self._reserved_tokens = 0.0
        """Tokens that the running second attempts may waste."""
        self._avoided: dict[ids.TargetName, float] = {}
        """Until when each engine gets no new attempt."""
        self._wake = asyncio.Event()
        self._loop = asyncio.get_running_loop()
        self._loop_task = self._loop.create_task(self._run_loop())

    @property
    def in_progress(self) -> int:
        """Number of running attempts."""
        return len(self._tasks)

    def wake(self, reorder: bool = False) -> None:
        """Checks at once for work to start or cancel.

        ``reorder`` sorts the open slots again first.
        """
        if reorder:
            self._ordered_at = float('-inf')
        self._wake.set()

    def cancel(
        self, attempts: list[ledger.Attempt], cause: statistics.Waste
    ) -> None:
        """Cancels attempts that the ledger has already removed."""
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
                attempt.slot.number,
                attempt.request_id,
                cause.value,
                attempt.tokens,
            )
        self._wake.set()

    def cancel_step(self, entry: stepstore.StepEntry) -> None:
        """Cancels all attempts of a step."""
        attempts = [
            attempt
            for slot in list(entry.ledger.list_running())
            for attempt in slot
        ]
        for attempt in attempts:
            entry.ledger.fail(attempt)
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
            entry.ledger.open_count
            for entry in self._store
            if not entry.rejection
        )

    def _cancel_stale(self) -> None:
        """Cancels attempts that will be too old for their step's pull.

        The expected drift is not counted.
        """
        forecast = self._store.make_forecast(self.trainer.staleness_bound)
        forecast = planner.VersionForecast(
            forecast.version,
            forecast.staleness_bound,
            forecast.step,
            forecast.advance,
        )
        for entry in self._store:
            oldest = forecast.compute_minimum(entry.number)
            if oldest is None:
                continue
            stale = [
                attempt
                for slot in entry.ledger.list_running()
                for attempt in slot
                if attempt.oldest is not None and attempt.oldest < oldest
            ]
            for attempt in stale:
                entry.ledger.fail(attempt)
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
            slot = self._queue.pop()
            entry = self._store.find(slot.step)
            if entry is None or not entry.ledger.is_open(slot.number):
                continue
            if not self._has_space(entry, forecast):
                continue
            minimum = forecast.compute_minimum(slot.step)
            if minimum is not None and self._find_slots(minimum) != 0:
                self._start(entry, slot, minimum, forecast)

    def _reorder(self) -> None:
        forecast = self._store.make_forecast(self.trainer.staleness_bound)
        open_slots = (
            planner.OpenSlot(
                entry.number,
                slot.number,
                entry.ledger.count_missing(slot) if entry.step.by_group else 0,
                self.lengths.predict((entry.number, slot.group.group)),
            )
            for entry in self._store
            if self._may_generate(entry, forecast)
            for slot in entry.ledger.list_open()
        )
        self._queue = planner.order_slots(open_slots)
        self._queue.reverse()

    def _may_generate(
        self, entry: stepstore.StepEntry, forecast: planner.VersionForecast
    ) -> bool:
        ahead = entry.number - self._store.needed
        in_range = forecast.step <= entry.number and ahead <= self.steps_ahead
        return entry.rejection is None and in_range

    def _has_space(
        self, entry: stepstore.StepEntry, forecast: planner.VersionForecast
    ) -> bool:
        """Returns whether a sample may be added; frees memory if need be."""
        entries = list(self._store)
        unscored = sum(other.ledger.unscored for other in entries)
        if unscored >= self._limits.unscored_samples:
            return False
        if self._measure_stored() < self._limits.held_size:
            return True
        for other in entries:
            other.ledger.drop_received()
        if entry.number != forecast.step:
            return self._measure_stored() < self._limits.held_size
        self._drop_ahead(entry)
        # A group is delivered whole, so its samples need space until then.
        fits = self._measure_stored() < self._limits.held_size
        return fits or entry.step.by_group

    def _measure_stored(self) -> int:
        return sum(entry.ledger.stored_size for entry in self._store)

    def _drop_ahead(self, current: stepstore.StepEntry) -> None:
        """Drops the undelivered samples of all steps except ``current``."""
        for other in self._store:
            if other is current:
                continue
            for dropped in other.ledger.drop_undelivered():
                self._statistics.record_wasted(
                    statistics.Waste.ABANDONED, dropped.tokens
                )

    def _start(
        self,
        entry: stepstore.StepEntry,
        slot: planner.OpenSlot,
        minimum: ids.WeightVersion,
        forecast: planner.VersionForecast,
    ) -> None:
        attempt = self._create_attempt(entry, slot.number, is_second=False)
        _LOG.info(
            'start trainer=%s step=%d sample=%d attempt=%s lacking=%d '
            'expected_tokens=%.0f minimum_version=%d ahead=%d '
            'in_progress=%d window=%d',
            self.trainer.name,
            slot.step,
            slot.number,
            attempt.request_id,
            slot.missing,
            slot.expected_tokens,
            minimum,
            slot.step - forecast.step,
            len(self._tasks),
            self._window.size,
        )
        self._launch(entry, attempt, minimum, frozenset())

    def _start_second_attempts(self) -> None:
        forecast = self._store.make_forecast(self.trainer.staleness_bound)
        entry = self._store.find(forecast.step)
        if entry is None or entry.rejection or entry.ledger.open_count:
            return
        alone = {
            slot[0].slot.number: slot[0]
            for slot in entry.ledger.list_running()
            if len(slot) == 1
        }
        size = self._window.size
        room = (
            size - len(self._tasks) + max(1, int(size * _SECOND_ATTEMPT_SHARE))
        )
        if not alone or room <= 0:
            return
        chosen = planner.choose_second_attempts(
            [self._describe_attempt(single) for single in alone.values()],
            self.lengths.mean,
            self.lengths.tokens_per_second,
            self._compute_budget(),
            room,
        )
        minimum = forecast.compute_minimum(entry.number)
        for single in chosen:
            self._start_second(entry, alone[single.number], single, minimum)

    def _describe_attempt(
        self, attempt: ledger.Attempt
    ) -> planner.RunningAttempt:
        return planner.RunningAttempt(
            attempt.slot.number,
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
        entry: stepstore.StepEntry,
        first: ledger.Attempt,
        chosen: planner.SecondAttempt,
        minimum: ids.WeightVersion | None,
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
            chosen.fresh_time,
        )
        excluded = frozenset() if target is None else frozenset({target})
        self._launch(entry, attempt, minimum, excluded)

    def _create_attempt(
        self,
        entry: stepstore.StepEntry,
        number: ids.SampleNumber,
        is_second: bool,
    ) -> ledger.Attempt:
        attempt = ledger.Attempt(
            request_id=self._generate_request_id(),
            step=entry.number,
            slot=entry.step.slots[number],
            started_at=self._loop.time(),
            is_second=is_second,
        )
        entry.ledger.begin(attempt)
        if entry.started_at is None:
            entry.started_at = attempt.started_at
        return attempt

    def _launch(
        self,
        entry: stepstore.StepEntry,
        attempt: ledger.Attempt,
        minimum: ids.WeightVersion | None,
        excluded: frozenset[ids.TargetName],
    ) -> None:
        work = self._make_request(entry, attempt, minimum, excluded)
        self._placements.track(attempt.request_id)
        task = self._loop.create_task(self._run_attempt(entry, attempt, work))
        self._tasks[attempt.request_id] = task
        task.add_done_callback(
            lambda _: self._placements.forget(attempt.request_id)
        )

    def _make_request(
        self,
        entry: stepstore.StepEntry,
        attempt: ledger.Attempt,
        minimum: ids.WeightVersion | None,
        excluded: frozenset[ids.TargetName],
    ) -> completions.CompletionWork:
        """Returns the request; a minimum of 1, which all meet, is left out."""
        prompt = attempt.slot.group.prompt
        deadline = self._loop.time() + self._limits.sample_timeout
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
                minimum_version=None if minimum == 1 else minimum,
                excluded=excluded | self._list_avoided(),
            ),
            prompt=prompt,
            max_tokens=entry.step.max_tokens,
            parameters=entry.step.body.parameters,
        )

    async def _run_attempt(
        self,
        entry: stepstore.StepEntry,
        attempt: ledger.Attempt,
        work: completions.CompletionWork,
    ) -> None:
        outcome = await generation.generate(self._runner, work, attempt)
        self._tasks.pop(attempt.request_id, None)
        self._release_budget(attempt)
        match outcome:
            case Result(tag='ok', ok=sample):
                self._handle_sample(entry, attempt, sample)
            case Result(error=statistics.Discard() as cause):
                entry.ledger.fail(attempt)
                self._handle_discard(attempt, cause)
            case Result(error=refusal):
                entry.ledger.fail(attempt)
                self._handle_refusal(entry, attempt, refusal)
        self.wake(reorder=entry.ledger.is_open(attempt.slot.number))

    def _handle_sample(
        self,
        entry: stepstore.StepEntry,
        attempt: ledger.Attempt,
        sample: steps.Sample,
    ) -> None:
        seconds = self._loop.time() - (
            attempt.first_chunk_at or attempt.started_at
        )
        key = (entry.number, attempt.slot.group.group)
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
        self, attempt: ledger.Attempt, cause: statistics.Discard
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
            attempt.slot.number,
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
        entry: stepstore.StepEntry,
        attempt: ledger.Attempt,
        refusal: outcomes.Refusal,
    ) -> None:
        self._statistics.record_wasted(statistics.Waste.FAILED, attempt.tokens)
        _LOG.warning(
            'failed trainer=%s step=%d sample=%d attempt=%s reason=%s %s',
            self.trainer.name,
            attempt.step,
            attempt.slot.number,
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
        """Starts no attempts for a while; refusals meanwhile add nothing."""
        now = self._loop.time()
        if now < self._paused_until:
            return
        self._paused_until = now + self._retry_delay
        self._retry_delay = min(self._retry_delay * 2, _MAX_RETRY_DELAY_S)

    def _release_budget(self, attempt: ledger.Attempt) -> None:
        self._reserved_tokens -= attempt.reserved_tokens
        attempt.reserved_tokens = 0.0
