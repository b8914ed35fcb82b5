"""Steps of one trainer, and estimates of how fast it trains on them."""

import asyncio
from collections.abc import Iterator

from expression import Error
from expression import Ok
from expression import Result

from waxwingport import ids
from waxwingport import outcomes
from waxwingport.samples import bitmap
from waxwingport.samples import planner
from waxwingport.samples import progress
from waxwingport.samples import settings
from waxwingport.samples import steps

__all__ = ['StepEntry', 'StepStore']

_SMOOTHING = 0.5
"""Weight of the newest value in the moving averages."""
_MAX_VERSIONS_PER_STEP = 8.0
"""Most versions per step that one pull may add to the estimate."""
_RETRY_AFTER_S = 1.0
"""Time after which a refused trainer may put the step again."""


class StepEntry:
    """A step and the progress of its samples; times on the loop's clock."""

    def __init__(
        self, step: steps.Step, received: bitmap.Bitmap | None
    ) -> None:
        self.step = step
        self.progress = progress.StepProgress(step, received)
        self.started_at: float | None = None
        """Start of the first attempt, ``None`` before."""
        self.put_at = asyncio.get_running_loop().time()
        self.returned = bitmap.Bitmap(len(step))
        """Samples that at least one pull has returned."""
        self.idle_time = 0.0
        """Seconds for which pulls of this step waited."""
        self.is_fully_returned = False
        """Whether pulls have returned every sample."""
        self.rejection: str | None = None
        """Why the engines rejected the step, ``None`` if they did not."""

    @property
    def number(self) -> ids.StepNumber:
        """The step's number."""
        return self.step.number


class StepStore:
    """The steps of one trainer in memory, by number."""

    def __init__(self, sample_settings: settings.SampleSettings) -> None:
        self.version = ids.WeightVersion(1)
        """Latest version that the trainer stated or published."""
        self.current_step: ids.StepNumber | None = None
        """The step of the latest pull, ``None`` before the first."""
        self.train_time: float | None = None
        """Mean seconds from returning a whole step to the next step's pull."""
        self.generation_time: float | None = None
        """Mean seconds from a step's first attempt to its last sample."""
        self._settings = sample_settings
        self._entries: dict[ids.StepNumber, StepEntry] = {}
        self._versions_per_step = 1.0
        """Mean versions that the trainer gains from one step to the next."""
        self._versions_within_step = 0.0
        """Most versions gained during a step; halved with each step."""
        self._version_at_first_pull = ids.WeightVersion(1)
        """Trainer's version at the first pull of the current step."""
        self._fully_returned_at: float | None = None
        """When a pull returned the last sample of the current step."""
        self._first_unreturned_step = ids.StepNumber(0)
        """The current step, or the next once all its samples were returned."""

    def __iter__(self) -> Iterator[StepEntry]:
        return iter(
            [self._entries[number] for number in sorted(self._entries)]
        )

    def find(self, number: ids.StepNumber) -> StepEntry | None:
        """Returns a step's entry, ``None`` if the step is unknown."""
        return self._entries.get(number)

    def add(
        self, step: steps.Step, received: bitmap.Bitmap
    ) -> Result[tuple[StepEntry | None, list[StepEntry]], outcomes.Refusal]:
        """Adds a step; does nothing if it is known with the same body.

        Returns the new entry, ``None`` for a known step, and the entries
        that were removed to make room.  A step that the engines rejected is
        replaced.  Fails with ``CONFLICT`` if the step is known with another
        body, with ``TOO_MANY_REQUESTS`` if no step can be removed.
        """
        known = self._entries.get(step.number)
        if known is not None and known.rejection is None:
            if known.step.fingerprint == step.fingerprint:
                return Ok((None, []))
            return Error(
                outcomes.Refusal(
                    outcomes.Reason.CONFLICT,
                    f'step {step.number} was put before with another body',
                )
            )
        dropped = [] if known is None else [known]
        if known is None and len(self._entries) >= self._settings.steps_held:
            droppable = self._find_droppable(step.number)
            if droppable is None:
                return Error(self._refuse_full())
            dropped.append(droppable)
        for old in dropped:
            del self._entries[old.number]
        entry = self._entries[step.number] = StepEntry(step, received)
        return Ok((entry, dropped))

    def remove(self, number: ids.StepNumber) -> StepEntry | None:
        """Removes a step and returns it, ``None`` if it is unknown."""
        return self._entries.pop(number, None)

    def record_pull(
        self, step: ids.StepNumber, version: ids.WeightVersion
    ) -> list[StepEntry]:
        """Updates the estimates from a pull.

        Returns the earlier steps, which the trainer no longer pulls.
        """
        previous = self.current_step
        self.version = version
        if previous == step:
            self._versions_within_step = max(
                self._versions_within_step,
                version - self._version_at_first_pull,
            )
            return []
        self._update_versions_per_step(previous, step, version)
        self._version_at_first_pull = version
        self.current_step = step
        self._first_unreturned_step = step
        if self._fully_returned_at is not None:
            waited = (
                asyncio.get_running_loop().time() - self._fully_returned_at
            )
            self.train_time = _smooth(self.train_time, waited)
            self._fully_returned_at = None
        return [entry for entry in self if entry.number < step]

    def record_version(self, version: ids.WeightVersion) -> None:
        """Records a published version; an older one changes nothing."""
        self.version = max(self.version, version)

    def record_fully_returned(self, entry: StepEntry) -> None:
        """Records that a pull returned a step's last sample."""
        self._fully_returned_at = asyncio.get_running_loop().time()
        self._first_unreturned_step = ids.StepNumber(entry.number + 1)

    def record_fully_generated(self, entry: StepEntry) -> None:
        """Records that a step's last sample was generated."""
        elapsed = asyncio.get_running_loop().time() - entry.started_at
        self.generation_time = _smooth(self.generation_time, elapsed)

    @property
    def first_needed_step(self) -> ids.StepNumber:
        """The first step of which the trainer still needs samples."""
        first = min(self._entries, default=ids.StepNumber(0))
        current_step = (
            first if self.current_step is None else self.current_step
        )
        return max(current_step, self._first_unreturned_step)

    def make_forecast(self, staleness_bound: int) -> planner.VersionForecast:
        """Returns a forecast of the trainer's version at each step."""
        first = min(self._entries, default=ids.StepNumber(0))
        return planner.VersionForecast(
            version=self.version,
            staleness_bound=staleness_bound,
            step=first if self.current_step is None else self.current_step,
            versions_per_step=self._versions_per_step,
            versions_within_step=0
            if staleness_bound == 0
            else round(self._versions_within_step),
        )

    def _update_versions_per_step(
        self,
        previous: ids.StepNumber | None,
        step: ids.StepNumber,
        version: ids.WeightVersion,
    ) -> None:
        gained = version - self._version_at_first_pull
        if previous is None or step <= previous or gained < 0:
            return
        versions_per_step = min(
            _MAX_VERSIONS_PER_STEP, gained / (step - previous)
        )
        self._versions_per_step = _smooth(
            self._versions_per_step, versions_per_step
        )
        self._versions_within_step *= _SMOOTHING

    def _find_droppable(self, new: ids.StepNumber) -> StepEntry | None:
        """Returns an entry that step ``new`` may replace, if there is one.

        A trainer that went back to a checkpoint puts steps before the current
        one; the latest later step is removed for them.
        """
        entries = list(self)
        current_step = self.current_step
        if current_step is not None and new < current_step:
            return next(
                (entry for entry in reversed(entries) if entry.number > new),
                None,
            )
        return next(
            (
                entry
                for entry in entries
                if entry.progress.is_fully_received
                or (current_step is not None and entry.number < current_step)
            ),
            None,
        )

    def _refuse_full(self) -> outcomes.Refusal:
        return outcomes.Refusal(
            outcomes.Reason.TOO_MANY_REQUESTS,
            f'{len(self._entries)} steps are stored, at most '
            f'{self._settings.steps_held}',
            retry_after=_RETRY_AFTER_S,
        )


def _smooth(old: float | None, new: float) -> float:
    return new if old is None else old + _SMOOTHING * (new - old)
