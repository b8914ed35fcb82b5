"""The steps that a collector holds, and what it learned of the trainer."""

import asyncio
from collections.abc import Iterator

from expression import Error
from expression import Ok
from expression import Result

from waxwingport import ids
from waxwingport import outcomes
from waxwingport.samples import bitmap
from waxwingport.samples import ledger
from waxwingport.samples import planner
from waxwingport.samples import settings
from waxwingport.samples import steps

__all__ = ['Book', 'Entry']

_SMOOTHING = 0.5
_MOST_ADVANCE = 8.0
_RETRY_AFTER = 1.0


class Entry:
    """A step, its ledger and its history at this collector."""

    def __init__(
        self, step: steps.Step, received: bitmap.Bitmap | None
    ) -> None:
        self.step = step
        self.ledger = ledger.Ledger(step, received)
        self.started_at: float | None = None
        """When its first attempt was started."""
        self.put_at = asyncio.get_running_loop().time()
        self.offered = bitmap.Bitmap(len(step))
        self.idle = 0.0
        self.complete = False
        self.fault: str | None = None
        """Why the engines reject this step, if they do."""

    @property
    def number(self) -> ids.StepNumber:
        """The step's number."""
        return self.step.number


class Book:
    """A few steps of one trainer, by number."""

    def __init__(self, limits: settings.SampleSettings) -> None:
        self.version = ids.WeightVersion(1)
        self.current: ids.StepNumber | None = None
        """The step that the trainer pulled last."""
        self.train_time: float | None = None
        """Seconds between a step's last sample and the next step's pull."""
        self.whole_time: float | None = None
        """Seconds from a step's first attempt to its last sample."""
        self._limits = limits
        self._entries: dict[ids.StepNumber, Entry] = {}
        self._advance = 1.0
        self._drift = 0.0
        self._first_version = ids.WeightVersion(1)
        self._completed_at: float | None = None
        self._needed = ids.StepNumber(0)

    def __iter__(self) -> Iterator[Entry]:
        return iter([self._entries[row] for row in sorted(self._entries)])

    def find(self, number: ids.StepNumber) -> Entry | None:
        """Returns a step that is held, or ``None``."""
        return self._entries.get(number)

    def add(
        self, step: steps.Step, received: bitmap.Bitmap
    ) -> Result[tuple[Entry | None, list[Entry]], outcomes.Refusal]:
        """Takes a step; the same one again changes nothing.

        Returns the new entry, ``None`` for a known step, and the entries
        that had to go for it.
        """
        known = self._entries.get(step.number)
        if known is not None and known.fault is None:
            if known.step.fingerprint == step.fingerprint:
                return Ok((None, []))
            return Error(
                outcomes.Refusal(
                    outcomes.Reason.CONFLICT,
                    f'step {step.number} is known with another body',
                )
            )
        dropped = [] if known is None else [known]
        if known is None and len(self._entries) >= self._limits.steps_held:
            oldest = self._find_droppable(step.number)
            if oldest is None:
                return Error(self._refuse_full())
            dropped.append(oldest)
        for row in dropped:
            del self._entries[row.number]
        entry = self._entries[step.number] = Entry(step, received)
        return Ok((entry, dropped))

    def remove(self, number: ids.StepNumber) -> Entry | None:
        """Drops a step and returns it, ``None`` if it is not known."""
        return self._entries.pop(number, None)

    def note_pull(
        self, step: ids.StepNumber, version: ids.WeightVersion
    ) -> list[Entry]:
        """Learns from a pull; returns the steps that the trainer left."""
        previous = self.current
        self.version = version
        if previous == step:
            self._drift = max(self._drift, version - self._first_version)
            return []
        self._learn_advance(previous, step, version)
        self._first_version = version
        self.current = step
        self._needed = step
        if self._completed_at is not None:
            waited = asyncio.get_running_loop().time() - self._completed_at
            self.train_time = _smooth(self.train_time, waited)
            self._completed_at = None
        return [row for row in self if row.number < step]

    def note_version(self, version: ids.WeightVersion) -> None:
        """Takes a version that the trainer published."""
        self.version = max(self.version, version)

    def note_complete(self, entry: Entry) -> None:
        """Notes that a step's last sample was handed out."""
        self._completed_at = asyncio.get_running_loop().time()
        self._needed = ids.StepNumber(entry.number + 1)

    def note_generated(self, entry: Entry) -> None:
        """Notes that a step's last sample was generated."""
        taken = asyncio.get_running_loop().time() - entry.started_at
        self.whole_time = _smooth(self.whole_time, taken)

    @property
    def needed(self) -> ids.StepNumber:
        """The first step of which the trainer lacks samples."""
        first = min(self._entries, default=ids.StepNumber(0))
        current = first if self.current is None else self.current
        return max(current, self._needed)

    def make_outlook(self, staleness_bound: int) -> planner.Outlook:
        """Returns what planning has to know of the trainer."""
        first = min(self._entries, default=ids.StepNumber(0))
        return planner.Outlook(
            version=self.version,
            staleness_bound=staleness_bound,
            step=first if self.current is None else self.current,
            advance=self._advance,
            drift=0 if staleness_bound == 0 else round(self._drift),
        )

    def _learn_advance(
        self,
        previous: ids.StepNumber | None,
        step: ids.StepNumber,
        version: ids.WeightVersion,
    ) -> None:
        gained = version - self._first_version
        if previous is None or step <= previous or gained < 0:
            return
        each = min(_MOST_ADVANCE, gained / (step - previous))
        self._advance = _smooth(self._advance, each)
        self._drift *= _SMOOTHING

    def _find_droppable(self, new: ids.StepNumber) -> Entry | None:
        rows = list(self)
        current = self.current
        if current is not None and new < current:
            return next(
                (row for row in reversed(rows) if row.number > new), None
            )
        return next(
            (
                row
                for row in rows
                if row.ledger.is_whole
                or (current is not None and row.number < current)
            ),
            None,
        )

    def _refuse_full(self) -> outcomes.Refusal:
        return outcomes.Refusal(
            outcomes.Reason.TOO_MANY_REQUESTS,
            f'{len(self._entries)} steps are in progress',
            retry_after=_RETRY_AFTER,
        )


def _smooth(old: float | None, new: float) -> float:
    return new if old is None else old + _SMOOTHING * (new - old)
