"""Starts, watches and cancels the attempts of one trainer."""

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
from waxwingport.routing import candidates
from waxwingport.routing import prefixes
from waxwingport.samples import book
from waxwingport.samples import generation
from waxwingport.samples import ledger
from waxwingport.samples import lengths
from waxwingport.samples import placements
from waxwingport.samples import planner
from waxwingport.samples import scoring
from waxwingport.samples import settings
from waxwingport.samples import statistics
from waxwingport.samples import steps
from waxwingport.samples import window

__all__ = ['Generator', 'Resources']

_TICK = 0.25
_REORDER_INTERVAL = 0.5
_RETRY_DELAY = 0.1
_LONGEST_RETRY = 2.0
_AVOID_TIME = 10.0
"""How long an engine whose sample was discarded gets no attempt."""
_SECONDS_RESERVE = 0.1
"""Share of the window that second attempts may use on top of it."""
_NO_ROOM = (outcomes.Reason.DEADLINE, outcomes.Reason.OVERLOADED)
_LOG = logging.getLogger(__name__)

Taker = Callable[[book.Entry, ledger.Attempt, steps.Sample], bool]
"""Takes a whole sample; returns whether it was the slot's first."""


class Resources(msgspec.Struct, frozen=True):
    """What a collector uses of its node.

    ``find_slots`` gives the trainer's share of its pool's slots, of those at
    a minimum version if one is given, ``None`` while unknown;
    ``list_scoring`` its scoring services.
    """

    runner: completions.CompletionRunner
    places: placements.Placements
    metrics: metrics.Metrics
    find_slots: Callable[..., float | None]
    list_scoring: scoring.Services
    limits: settings.SampleSettings = settings.SampleSettings()
    generate_request_id: Callable[[], ids.RequestId] = ids.mint_request_id


class Generator:
    """Keeps as many attempts in progress as the window allows."""

    def __init__(
        self,
        trainer: declarations.Trainer,
        resources: Resources,
        steps_held: book.Book,
        room: window.Window,
        figures: statistics.Statistics,
        take: Taker,
    ) -> None:
        self.trainer = trainer
        self.lengths = lengths.LengthModel()
        self.ahead = 0
        """Steps beyond the needed one that may be generated."""
        self._runner = resources.runner
        self._places = resources.places
        self._generate_request_id = resources.generate_request_id
        self._find_slots = resources.find_slots
        self._book = steps_held
        self._window = room
        self._figures = figures
        self._limits = resources.limits
        self._take = take
        self._tasks: dict[ids.RequestId, asyncio.Task[None]] = {}
        self._order: list[planner.OpenSlot] = []
        self._ordered_at = float('-inf')
        self._paused_until = 0.0
        self._retry_delay = _RETRY_DELAY
        self._committed = 0.0
        self._avoided: dict[ids.TargetName, float] = {}
        self._wake = asyncio.Event()
        self._loop = asyncio.get_running_loop()
        self._pumping = self._loop.create_task(self._pump())

    @property
    def in_progress(self) -> int:
        """Attempts that are running."""
        return len(self._tasks)

    def wake(self, reorder: bool = False) -> None:
        """Asks for a new look at what is open."""
        if reorder:
            self._ordered_at = float('-inf')
        self._wake.set()

    def cancel(
        self, attempts: list[ledger.Attempt], cause: statistics.Waste
    ) -> None:
        """Cancels attempts that the ledger has already let go."""
        for attempt in attempts:
            self._figures.note_wasted(cause, attempt.tokens)
            self._settle(attempt)
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

    def cancel_step(self, entry: book.Entry) -> None:
        """Cancels everything in progress for a step."""
        rows = [
            attempt
            for slot in list(entry.ledger.list_running())
            for attempt in slot
        ]
        for attempt in rows:
            entry.ledger.fail(attempt)
        self.cancel(rows, statistics.Waste.ABANDONED)

    async def close(self) -> None:
        """Cancels everything and waits until the engines were told."""
        tasks = [self._pumping, *self._tasks.values()]
        self._tasks.clear()
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _pump(self) -> None:
        while True:
            with contextlib.suppress(TimeoutError):
                timeout = _TICK if self._tasks or self._has_open() else None
                async with asyncio.timeout(timeout):
                    await self._wake.wait()
            self._wake.clear()
            self._cancel_stale()
            if self._loop.time() >= self._paused_until:
                self._start_open()
                self._start_seconds()

    def _has_open(self) -> bool:
        return any(
            row.ledger.open_count for row in self._book if not row.fault
        )

    def _cancel_stale(self) -> None:
        outlook = self._book.make_outlook(self.trainer.staleness_bound)
        outlook = planner.Outlook(
            outlook.version,
            outlook.staleness_bound,
            outlook.step,
            outlook.advance,
        )
        for entry in self._book:
            oldest = outlook.find_minimum(entry.number)
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
        if now - self._ordered_at > _REORDER_INTERVAL:
            self._reorder()
            self._ordered_at = now
        outlook = self._book.make_outlook(self.trainer.staleness_bound)
        while self._order and len(self._tasks) < self._window.size:
            slot = self._order.pop()
            entry = self._book.find(slot.step)
            if entry is None or not entry.ledger.is_open(slot.number):
                continue
            if not self._has_memory(entry, outlook):
                continue
            minimum = outlook.find_minimum(slot.step)
            if minimum is not None and self._find_slots(minimum) != 0:
                self._start(entry, slot, minimum, outlook)

    def _reorder(self) -> None:
        outlook = self._book.make_outlook(self.trainer.staleness_bound)
        rows = (
            planner.OpenSlot(
                entry.number,
                slot.number,
                entry.ledger.count_missing(slot) if entry.step.by_group else 0,
                self.lengths.expect((entry.number, slot.group.group)),
            )
            for entry in self._book
            if self._may_generate(entry, outlook)
            for slot in entry.ledger.list_open()
        )
        self._order = planner.order_slots(rows)
        self._order.reverse()

    def _may_generate(
        self, entry: book.Entry, outlook: planner.Outlook
    ) -> bool:
        ahead = entry.number - self._book.needed
        wanted = outlook.step <= entry.number and ahead <= self.ahead
        return entry.fault is None and wanted

    def _has_memory(self, entry: book.Entry, outlook: planner.Outlook) -> bool:
        rows = list(self._book)
        unscored = sum(row.ledger.unscored for row in rows)
        if unscored >= self._limits.unscored_samples:
            return False
        if self._measure_held() < self._limits.held_size:
            return True
        for row in rows:
            row.ledger.drop_received()
        if entry.number != outlook.step:
            return self._measure_held() < self._limits.held_size
        self._drop_ahead(entry)
        # The parts of a group can only leave once the group is whole.
        fits = self._measure_held() < self._limits.held_size
        return fits or entry.step.by_group

    def _measure_held(self) -> int:
        return sum(row.ledger.held_size for row in self._book)

    def _drop_ahead(self, current: book.Entry) -> None:
        """Frees the memory that the pulled step needs."""
        for row in self._book:
            if row is current:
                continue
            for dropped in row.ledger.drop_held():
                self._figures.note_wasted(
                    statistics.Waste.ABANDONED, dropped.tokens
                )

    def _start(
        self,
        entry: book.Entry,
        slot: planner.OpenSlot,
        minimum: ids.WeightVersion,
        outlook: planner.Outlook,
    ) -> None:
        attempt = self._begin(entry, slot.number, second=False)
        _LOG.info(
            'start trainer=%s step=%d sample=%d attempt=%s lacking=%d '
            'expected_tokens=%.0f minimum_version=%d ahead=%d '
            'in_progress=%d window=%d',
            self.trainer.name,
            slot.step,
            slot.number,
            attempt.request_id,
            slot.lacking,
            slot.expected_tokens,
            minimum,
            slot.step - outlook.step,
            len(self._tasks),
            self._window.size,
        )
        self._run(entry, attempt, minimum, frozenset())

    def _start_seconds(self) -> None:
        outlook = self._book.make_outlook(self.trainer.staleness_bound)
        entry = self._book.find(outlook.step)
        if entry is None or entry.fault or entry.ledger.open_count:
            return
        alone = {
            slot[0].slot.number: slot[0]
            for slot in entry.ledger.list_running()
            if len(slot) == 1
        }
        size = self._window.size
        room = size - len(self._tasks) + max(1, int(size * _SECONDS_RESERVE))
        if not alone or room <= 0:
            return
        chosen = planner.choose_seconds(
            [self._describe(row) for row in alone.values()],
            self.lengths.mean,
            self.lengths.pace,
            self._find_budget(),
            room,
        )
        minimum = outlook.find_minimum(entry.number)
        for row in chosen:
            self._start_second(entry, alone[row.number], row, minimum)

    def _describe(self, attempt: ledger.Attempt) -> planner.Progress:
        return planner.Progress(
            attempt.slot.number,
            attempt.tokens,
            self._loop.time() - attempt.started_at,
            self.lengths.expect_rest(attempt.tokens),
        )

    def _find_budget(self) -> float:
        allowed = self.trainer.wasted_share * self._figures.useful_tokens
        wasted = self._figures.wasted[statistics.Waste.SECOND_ATTEMPT]
        return allowed - wasted - self._committed

    def _start_second(
        self,
        entry: book.Entry,
        first: ledger.Attempt,
        chosen: planner.SecondAttempt,
        minimum: ids.WeightVersion | None,
    ) -> None:
        place = self._places.find(first.request_id)
        attempt = self._begin(entry, chosen.number, second=True)
        attempt.committed = max(first.tokens, self.lengths.mean)
        self._committed += attempt.committed
        _LOG.info(
            'second trainer=%s step=%d sample=%d attempt=%s first=%s at=%s '
            'expected_rest=%.2f expected_fresh=%.2f',
            self.trainer.name,
            entry.number,
            chosen.number,
            attempt.request_id,
            first.request_id,
            place,
            chosen.expected_rest,
            chosen.expected_fresh,
        )
        excluded = frozenset() if place is None else frozenset({place})
        self._run(entry, attempt, minimum, excluded)

    def _begin(
        self, entry: book.Entry, number: ids.SampleNumber, second: bool
    ) -> ledger.Attempt:
        attempt = ledger.Attempt(
            request_id=self._generate_request_id(),
            step=entry.number,
            slot=entry.step.slots[number],
            started_at=self._loop.time(),
            second=second,
        )
        entry.ledger.begin(attempt)
        if entry.started_at is None:
            entry.started_at = attempt.started_at
        return attempt

    def _run(
        self,
        entry: book.Entry,
        attempt: ledger.Attempt,
        minimum: ids.WeightVersion | None,
        excluded: frozenset[ids.TargetName],
    ) -> None:
        work = self._plan(entry, attempt, minimum, excluded)
        self._places.watch(attempt.request_id)
        task = self._loop.create_task(self._follow(entry, attempt, work))
        self._tasks[attempt.request_id] = task
        task.add_done_callback(
            lambda _: self._places.forget(attempt.request_id)
        )

    def _plan(
        self,
        entry: book.Entry,
        attempt: ledger.Attempt,
        minimum: ids.WeightVersion | None,
        excluded: frozenset[ids.TargetName],
    ) -> completions.CompletionWork:
        prompt = attempt.slot.group.prompt
        deadline = self._loop.time() + self._limits.sample_timeout
        return completions.CompletionWork(
            work=candidates.Work(
                request_id=attempt.request_id,
                group=self.trainer.pool,
                owner=self.trainer.name,
                work_class=candidates.WorkClass.ROLLOUT,
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

    async def _follow(
        self,
        entry: book.Entry,
        attempt: ledger.Attempt,
        work: completions.CompletionWork,
    ) -> None:
        outcome = await generation.generate(self._runner, work, attempt)
        self._tasks.pop(attempt.request_id, None)
        self._settle(attempt)
        match outcome:
            case Result(tag='ok', ok=sample):
                self._finish(entry, attempt, sample)
            case Result(error=statistics.Discard() as cause):
                entry.ledger.fail(attempt)
                self._note_discard(attempt, cause)
            case Result(error=refusal):
                entry.ledger.fail(attempt)
                self._note_refusal(entry, attempt, refusal)
        self.wake(reorder=entry.ledger.is_open(attempt.slot.number))

    def _finish(
        self,
        entry: book.Entry,
        attempt: ledger.Attempt,
        sample: steps.Sample,
    ) -> None:
        seconds = self._loop.time() - (
            attempt.first_chunk_at or attempt.started_at
        )
        key = (entry.number, attempt.slot.group.group)
        self.lengths.note(key, attempt.tokens, seconds)
        self._window.note_finished()
        self._retry_delay = _RETRY_DELAY
        if self._take(entry, attempt, sample):
            self._figures.useful_tokens += attempt.tokens
        else:
            self._figures.note_wasted(
                statistics.Waste.SECOND_ATTEMPT, attempt.tokens
            )

    def _note_discard(
        self, attempt: ledger.Attempt, cause: statistics.Discard
    ) -> None:
        place = self._places.find(attempt.request_id)
        self._figures.note_discarded(cause, attempt.tokens)
        if place is not None:
            self._avoided[place] = self._loop.time() + _AVOID_TIME
        _LOG.warning(
            'discard trainer=%s step=%d sample=%d attempt=%s cause=%s '
            'target=%s',
            self.trainer.name,
            attempt.step,
            attempt.slot.number,
            attempt.request_id,
            cause.value,
            place,
        )

    def _list_avoided(self) -> frozenset[ids.TargetName]:
        now = self._loop.time()
        return frozenset(
            name for name, until in self._avoided.items() if until > now
        )

    def _note_refusal(
        self,
        entry: book.Entry,
        attempt: ledger.Attempt,
        refusal: outcomes.Refusal,
    ) -> None:
        self._figures.note_wasted(statistics.Waste.FAILED, attempt.tokens)
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
            entry.fault = refusal.detail
            self.cancel_step(entry)
            return
        if refusal.reason in _NO_ROOM:
            self._window.note_refused()
        self._pause()

    def _pause(self) -> None:
        now = self._loop.time()
        if now < self._paused_until:
            return
        self._paused_until = now + self._retry_delay
        self._retry_delay = min(self._retry_delay * 2, _LONGEST_RETRY)

    def _settle(self, attempt: ledger.Attempt) -> None:
        self._committed -= attempt.committed
        attempt.committed = 0.0
