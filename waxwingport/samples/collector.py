"""Collects the samples of one trainer's steps."""

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
from waxwingport.samples import book
from waxwingport.samples import generator
from waxwingport.samples import ledger
from waxwingport.samples import planner
from waxwingport.samples import scoring
from waxwingport.samples import statistics
from waxwingport.samples import steps
from waxwingport.samples import window

__all__ = ['Collector']

_LOG = logging.getLogger(__name__)


class Collector:
    """Generates a trainer's samples and hands them to its pulls."""

    def __init__(
        self, trainer: declarations.Trainer, resources: generator.Resources
    ) -> None:
        self.trainer = trainer
        self.last_used = self._now()
        self._limits = resources.limits
        self._list_scoring = resources.list_scoring
        self._book = book.Book(self._limits)
        self.statistics = statistics.Statistics(
            trainer.name, resources.metrics
        )
        self._window = window.Window(resources.find_slots)
        self._generator = generator.Generator(
            trainer,
            resources,
            self._book,
            self._window,
            self.statistics,
            self._take,
        )
        self._scorer = self._make_scorer()
        self._grown = asyncio.Event()
        self._turn = 0

    @property
    def version(self) -> ids.WeightVersion:
        """The trainer's latest version, as stated or published."""
        return self._book.version

    @property
    def is_busy(self) -> bool:
        """Whether samples are being generated or waited for."""
        return self._generator.in_progress > 0

    def update(self, trainer: declarations.Trainer) -> None:
        """Takes a changed declaration."""
        if trainer == self.trainer:
            return
        scored = (trainer.scoring, trainer.score_required)
        if scored != (self.trainer.scoring, self.trainer.score_required):
            self._give_up_scores()
            self.trainer = trainer
            self._scorer = self._make_scorer()
        self.trainer = trainer
        self._generator.trainer = trainer
        self._generator.wake(reorder=True)

    def note_version(self, version: ids.WeightVersion) -> None:
        """Takes a version that the trainer published."""
        self._book.note_version(version)
        self._drop_stale()
        self._generator.wake(reorder=True)

    def put_step(
        self, number: ids.StepNumber, body: steps.StepBody
    ) -> Result[None, outcomes.Refusal]:
        """Starts a step; the same one again changes nothing."""
        self.last_used = self._now()
        match steps.parse(number, body, self._limits):
            case Result(tag='ok', ok=step):
                pass
            case Result(error=fault):
                return Error(_refuse_body(fault))
        match bitmap.Bitmap.decode(len(step), body.received):
            case Result(tag='ok', ok=received):
                pass
            case Result(error=fault):
                return Error(_refuse_body(fault))
        return self._book.add(step, received).map(
            lambda added: self._note_added(step, *added)
        )

    def remove_step(self, number: ids.StepNumber) -> None:
        """Gives a step up; does nothing to an unknown one."""
        entry = self._book.remove(number)
        if entry is not None:
            self._generator.cancel_step(entry)

    async def pull(
        self, request: steps.PullRequest
    ) -> Result[steps.PullAnswer, outcomes.Refusal]:
        """Returns samples that the trainer has not received yet.

        Waits for the first one up to ``wait_ms``; a newer pull ends the wait
        at once.
        """
        self._turn += 1
        self._grown.set()
        self.last_used = self._now()
        match self._read_pull(request):
            case Result(tag='ok', ok=(entry, received)):
                pass
            case Result(error=refusal):
                return Error(refusal)
        self._follow(entry, received, request)
        return await self._wait(entry, request, received, self._turn)

    async def close(self) -> None:
        """Cancels what is being generated and scored."""
        self._turn += 1
        self._grown.set()
        if self._scorer is not None:
            self._scorer.close()
        await self._generator.close()

    def describe(self) -> dict[str, object]:
        """Returns the figures of this trainer for ``/v1/status``."""
        return {
            **self.statistics.describe(),
            'steps': [
                {
                    'step': entry.number,
                    'samples': len(entry.step),
                    'received': len(entry.ledger.received),
                    'held': entry.ledger.held_count,
                    'awaiting_score': entry.ledger.unscored,
                }
                for entry in self._book
            ],
            'attempts': self._generator.in_progress,
            'window': self._window.size,
            'steps_ahead': self._generator.ahead,
        }

    def _now(self) -> float:
        return asyncio.get_running_loop().time()

    def _make_scorer(self) -> scoring.Scorer | None:
        if self.trainer.scoring is None:
            return None
        return scoring.Scorer(
            self._list_scoring,
            self._take_score,
            self.trainer.score_required,
            self._limits,
        )

    def _give_up_scores(self) -> None:
        """Opens again what waited for the scoring that is changing."""
        if self._scorer is not None:
            self._scorer.close()
            self._scorer = None
        for entry in self._book:
            entry.ledger.drop_unscored()

    def _note_added(
        self,
        step: steps.Step,
        entry: book.Entry | None,
        dropped: list[book.Entry],
    ) -> None:
        for row in dropped:
            self._generator.cancel_step(row)
        if entry is None:
            return
        _LOG.info(
            'step trainer=%s step=%d groups=%d samples=%d received=%d '
            'delivery=%s',
            self.trainer.name,
            step.number,
            len(step.body.groups),
            len(step),
            len(entry.ledger.received),
            step.body.delivery.value,
        )
        self._choose_ahead()
        self._window.open_fully()
        self._generator.wake(reorder=True)

    def _read_pull(
        self, request: steps.PullRequest
    ) -> Result[tuple[book.Entry, bitmap.Bitmap], outcomes.Refusal]:
        entry = self._book.find(request.step)
        if entry is None:
            return Error(
                outcomes.Refusal(
                    outcomes.Reason.UNKNOWN_STEP,
                    f'step {request.step} is not known; put it again',
                )
            )
        if entry.fault is not None:
            return Error(_refuse_body(entry.fault))
        largest = max(row.samples for row in entry.step.body.groups)
        if entry.step.by_group and request.max < largest:
            return Error(
                _refuse_body(f'max: a group has {largest} samples, all in one')
            )
        return (
            bitmap.Bitmap.decode(len(entry.step), request.received)
            .map(lambda received: (entry, received))
            .map_error(_refuse_body)
        )

    def _follow(
        self,
        entry: book.Entry,
        received: bitmap.Bitmap,
        request: steps.PullRequest,
    ) -> None:
        for left in self._book.note_pull(request.step, request.version):
            self._generator.cancel_step(left)
            left.ledger.drop_received()
        useless = entry.ledger.record_received(received)
        self._generator.cancel(useless, statistics.Waste.ABANDONED)
        self._drop_stale()
        self._choose_ahead()
        self._generator.wake()

    async def _wait(
        self,
        entry: book.Entry,
        request: steps.PullRequest,
        received: bitmap.Bitmap,
        turn: int,
    ) -> Result[steps.PullAnswer, outcomes.Refusal]:
        start = self._now()
        wait = min(request.wait_ms / 1000, self._limits.pull_wait)
        while True:
            self._grown.clear()
            samples = self._select(entry, request, received)
            left = start + wait - self._now()
            if samples or left <= 0 or entry.ledger.is_whole:
                break
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(left):
                    await self._grown.wait()
            if turn != self._turn:
                self._grown.set()
                self._note_idle(entry, start)
                return Ok(steps.PullAnswer(superseded=True, final=True))
            if entry.fault is not None:
                return Error(_refuse_body(entry.fault))
        self._note_idle(entry, start)
        self._note_offered(entry, request, samples)
        return Ok(steps.PullAnswer(samples, final=entry.ledger.is_whole))

    def _select(
        self,
        entry: book.Entry,
        request: steps.PullRequest,
        received: bitmap.Bitmap,
    ) -> tuple[steps.Sample, ...]:
        oldest = request.version - self.trainer.staleness_bound
        chosen = entry.ledger.select(oldest, received, request.max)
        self._note_stale(entry, chosen.stale)
        return chosen.samples

    def _note_idle(self, entry: book.Entry, start: float) -> None:
        waited = self._now() - start
        if waited > 0:
            entry.idle += waited
            self.statistics.note_idle(waited)

    def _note_offered(
        self,
        entry: book.Entry,
        request: steps.PullRequest,
        samples: tuple[steps.Sample, ...],
    ) -> None:
        for sample in samples:
            if sample.number not in entry.offered:
                entry.offered.add(sample.number)
                self.statistics.note_delivered(request.version - sample.oldest)
        there = len(entry.ledger.received) + len(samples)
        if there >= len(entry.step) and not entry.complete:
            entry.complete = True
            self._book.note_complete(entry)
            self.statistics.note_step(self._now() - entry.put_at, entry.idle)

    def _drop_stale(self) -> None:
        outlook = self._book.make_outlook(self.trainer.staleness_bound)
        for entry in self._book:
            if entry.number >= outlook.step:
                oldest = self.version - self.trainer.staleness_bound
                self._note_stale(entry, entry.ledger.drop_older(oldest))

    def _note_stale(
        self, entry: book.Entry, stale: tuple[ledger.Dropped, ...]
    ) -> None:
        for row in stale:
            self.statistics.note_discarded(
                statistics.Discard.STALE, row.tokens
            )
        if stale:
            _LOG.info(
                'stale trainer=%s step=%d samples=%d version=%d',
                self.trainer.name,
                entry.number,
                len(stale),
                self.version,
            )
            self._generator.wake(reorder=True)

    def _choose_ahead(self) -> None:
        outlook = self._book.make_outlook(self.trainer.staleness_bound)
        entry = self._book.find(outlook.step)
        if entry is None:
            return
        lengths = self._generator.lengths
        tokens = len(entry.step) * lengths.mean
        generate = tokens / (lengths.pace * self._window.size)
        train = self._book.train_time
        whole = self._book.whole_time
        ahead = planner.choose_ahead(
            self.trainer.idle_weight,
            self.trainer.staleness_bound,
            generate,
            generate if whole is None else whole,
            generate if train is None else train,
        )
        if ahead != self._generator.ahead:
            _LOG.info(
                'ahead trainer=%s steps=%d generate_seconds=%.1f '
                'whole_seconds=%.1f train_seconds=%.1f',
                self.trainer.name,
                ahead,
                generate,
                whole or 0.0,
                train or 0.0,
            )
            self._generator.ahead = ahead
            self._generator.wake(reorder=True)

    def _take(
        self,
        entry: book.Entry,
        attempt: ledger.Attempt,
        sample: steps.Sample,
    ) -> bool:
        scorer = self._scorer
        finish = entry.ledger.finish(attempt, sample, scorer is not None)
        if not finish.accepted:
            return False
        if entry.ledger.is_generated:
            self._book.note_generated(entry)
        losers = list(finish.losers)
        self._generator.cancel(losers, statistics.Waste.SECOND_ATTEMPT)
        if scorer is None:
            self._grown.set()
            return True
        scorer.submit(
            scoring.ScoreRequest(
                step=entry.number,
                request_id=attempt.request_id,
                prompt=attempt.slot.group.prompt,
                sample=sample,
            )
        )
        return True

    def _take_score(
        self, request: scoring.ScoreRequest, score: float | None
    ) -> None:
        entry = self._book.find(request.step)
        if entry is not None and entry.ledger.score(
            request.sample.number, request.request_id, score
        ):
            self._grown.set()
            self._generator.wake()


def _refuse_body(fault: str) -> outcomes.Refusal:
    return outcomes.Refusal(outcomes.Reason.BAD_REQUEST, fault)
