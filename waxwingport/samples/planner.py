"""Decisions of a collector, as pure functions.

They choose the order of samples, second attempts and steps ahead.
"""

from collections.abc import Iterable
from collections.abc import Sequence

import msgspec

from waxwingport import ids

__all__ = [
    'OpenSample',
    'RunningAttempt',
    'SecondAttempt',
    'VersionForecast',
    'choose_second_attempts',
    'choose_steps_ahead',
    'order_samples',
]

_SECOND_ATTEMPT_RATIO = 1.2
"""Ratio of expected times above which a second attempt starts.

Compares the rest of the running attempt with a whole new one.
"""
_STALENESS_COST = 0.02
"""Cost of one version of staleness, as the idle share of equal cost."""


class OpenSample(msgspec.Struct, frozen=True):
    """A sample that needs an attempt, as an input of the order.

    ``missing`` is the number of samples that its group still needs, 0 if
    samples are delivered one by one.
    """

    step: ids.StepNumber
    number: ids.SampleNumber
    missing: int
    expected_tokens: float


def order_samples(samples: Iterable[OpenSample]) -> list[OpenSample]:
    """Returns the samples in the order in which to generate them.

    Earlier steps go first, then the groups with fewest missing samples, then
    the longest expected samples: started last, they would prolong the step
    while most slots of the engines are free.
    """
    return sorted(
        samples,
        key=lambda sample: (
            sample.step,
            sample.missing,
            -sample.expected_tokens,
            sample.number,
        ),
    )


class VersionForecast(msgspec.Struct, frozen=True):
    """Which weight version the trainer will have at each step.

    ``step`` is the one that the trainer pulls now.  ``versions_per_step`` is
    the number of versions published from one step to the next.
    ``versions_within_step`` is the number expected in the current step before
    a sample started now is pulled; it is above 0 for trainers that publish
    during a step.
    """

    version: ids.WeightVersion
    staleness_bound: int
    step: ids.StepNumber
    versions_per_step: float = 1.0
    versions_within_step: int = 0

    def predict_version(self, step: ids.StepNumber) -> int:
        """Returns the trainer's version when it will pull ``step``."""
        ahead = max(0, step - self.step)
        return (
            self.version
            + round(ahead * self.versions_per_step)
            + self.versions_within_step
        )

    def compute_minimum_version(
        self, step: ids.StepNumber
    ) -> ids.WeightVersion | None:
        """Returns the oldest version within the staleness bound for ``step``.

        ``None`` if even the newest version will be too old by then.
        """
        minimum = self.predict_version(step) - self.staleness_bound
        if minimum > self.version:
            if step > self.step:
                return None
            minimum = self.version
        return ids.WeightVersion(max(1, minimum))


class RunningAttempt(msgspec.Struct, frozen=True):
    """The only attempt of a sample; ``elapsed`` in seconds."""

    number: ids.SampleNumber
    tokens: int
    elapsed: float
    remaining_tokens: float
    """Tokens that are expected to follow."""


class SecondAttempt(msgspec.Struct, frozen=True):
    """A sample that gets a second attempt.

    The times are what the running attempt and a new one are expected to take,
    in seconds.
    """

    number: ids.SampleNumber
    remaining_time: float
    new_attempt_time: float


def choose_second_attempts(
    running: Sequence[RunningAttempt],
    new_attempt_tokens: float,
    tokens_per_second: float,
    budget: float,
    room: int,
) -> list[SecondAttempt]:
    """Returns the samples for which a second attempt is expected to be faster.

    At most ``room`` samples are chosen, the slowest first.  ``budget`` bounds
    the tokens that they may waste, which is for each sample what the losing
    attempt generates.  An attempt without tokens is not judged before it has
    run for as long as a new one would take.
    """
    new_attempt_time = new_attempt_tokens / tokens_per_second
    slow = []
    for attempt in running:
        speed = (
            attempt.tokens / attempt.elapsed
            if attempt.elapsed > 0
            else tokens_per_second
        )
        remaining_time = attempt.remaining_tokens / max(speed, 1e-3)
        is_starting = (
            attempt.tokens == 0 and attempt.elapsed <= new_attempt_time
        )
        if (
            remaining_time > new_attempt_time * _SECOND_ATTEMPT_RATIO
            and not is_starting
        ):
            slow.append((remaining_time, attempt))
    slow.sort(key=lambda pair: (-pair[0], pair[1].number))
    chosen = []
    for remaining_time, attempt in slow[: max(0, room)]:
        cost = max(attempt.tokens, new_attempt_tokens)
        if cost > budget:
            continue
        budget -= cost
        chosen.append(
            SecondAttempt(attempt.number, remaining_time, new_attempt_time)
        )
    return chosen


def choose_steps_ahead(
    idle_weight: float,
    staleness_bound: int,
    throughput_time: float,
    generation_time: float,
    train_time: float,
) -> int:
    """Returns how many steps after the first needed one to generate.

    ``throughput_time`` is what a step takes when the engines are always fully
    used, ``generation_time`` the time from its first attempt to its last
    sample, which the longest samples determine, and ``train_time`` what the
    trainer takes for a step; all in seconds.

    The result is at most the staleness bound.  It minimises the sum of the
    trainer's idle share and the cost of staleness, weighted by
    ``idle_weight``; among equal sums the lowest number is returned.
    """

    def compute_cost(ahead: int) -> float:
        idle = _predict_idle(
            ahead, throughput_time, generation_time, train_time
        )
        staleness = ahead * _STALENESS_COST
        return idle_weight * idle + (1 - idle_weight) * staleness

    return min(range(staleness_bound + 1), key=compute_cost)


def _predict_idle(
    ahead: int,
    throughput_time: float,
    generation_time: float,
    train_time: float,
) -> float:
    """Returns the share of time for which the trainer waits for samples."""
    cycle = max(throughput_time, train_time)
    wait = max(generation_time - ahead * cycle, cycle - train_time, 0.0)
    return wait / (wait + train_time) if wait > 0 else 0.0
