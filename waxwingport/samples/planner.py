"""Decisions of a collector, as pure functions.

They choose the order of samples, second attempts and steps ahead.
"""

from collections.abc import Iterable
from collections.abc import Sequence

import msgspec

from waxwingport import ids

__all__ = [
    'OpenSlot',
    'RunningAttempt',
    'SecondAttempt',
    'VersionForecast',
    'choose_second_attempts',
    'choose_steps_ahead',
    'order_slots',
]

_SECOND_MARGIN = 1.2
"""The rest of an attempt has to take this many times as long as a new one."""
_IDLE_SHARE_OF_VERSION = 0.02
"""Idle share of a trainer that costs as much as one version of staleness."""


class OpenSlot(msgspec.Struct, frozen=True):
    """A sample that needs an attempt.

    ``missing`` is the number of samples that its group still needs, 0 if
    samples are delivered one by one.
    """

    step: ids.StepNumber
    number: ids.SampleNumber
    missing: int
    expected_tokens: float


def order_slots(slots: Iterable[OpenSlot]) -> list[OpenSlot]:
    """Returns the slots in the order in which to generate them.

    Earlier steps go first, then the groups with fewest missing samples, then
    the longest expected samples: started last, they would prolong the step
    while most slots of the engines are free.
    """
    return sorted(
        slots,
        key=lambda slot: (
            slot.step,
            slot.missing,
            -slot.expected_tokens,
            slot.number,
        ),
    )


class VersionForecast(msgspec.Struct, frozen=True):
    """Which weight version the trainer will have at each step.

    ``step`` is the one that the trainer pulls now.  ``advance`` is the number
    of versions per step.  ``drift`` is the number of versions expected within
    the current step before a sample started now is pulled; it is above 0 for
    trainers that publish during a step.
    """

    version: ids.WeightVersion
    staleness_bound: int
    step: ids.StepNumber
    advance: float = 1.0
    drift: int = 0

    def predict_version(self, step: ids.StepNumber) -> int:
        """Returns the trainer's version when it will pull ``step``."""
        ahead = max(0, step - self.step)
        return self.version + round(ahead * self.advance) + self.drift

    def compute_minimum(
        self, step: ids.StepNumber
    ) -> ids.WeightVersion | None:
        """Returns the oldest version that will be fresh enough for ``step``.

        ``None`` if even the newest version will be too old by then.
        """
        oldest = self.predict_version(step) - self.staleness_bound
        if oldest > self.version:
            if step > self.step:
                return None
            oldest = self.version
        return ids.WeightVersion(max(1, oldest))


class RunningAttempt(msgspec.Struct, frozen=True):
    """The attempt of a slot that has just one; ``elapsed`` in seconds."""

    number: ids.SampleNumber
    tokens: int
    elapsed: float
    remaining_tokens: float
    """Tokens that are expected to follow."""


class SecondAttempt(msgspec.Struct, frozen=True):
    """A slot that gets a second attempt.

    The times are what the running attempt and a new one are expected to take,
    in seconds.
    """

    number: ids.SampleNumber
    remaining_time: float
    fresh_time: float


def choose_second_attempts(
    running: Sequence[RunningAttempt],
    fresh_tokens: float,
    tokens_per_second: float,
    budget: float,
    room: int,
) -> list[SecondAttempt]:
    """Returns the slots for which a second attempt is expected to be faster.

    At most ``room`` slots are chosen, the slowest first.  ``budget`` bounds
    the tokens that they may waste, which is for each slot what the losing
    attempt generates.  An attempt without tokens is not judged before it has
    run for as long as a new one would take.
    """
    fresh_time = fresh_tokens / tokens_per_second
    slow = []
    for attempt in running:
        speed = (
            attempt.tokens / attempt.elapsed
            if attempt.elapsed > 0
            else tokens_per_second
        )
        remaining_time = attempt.remaining_tokens / max(speed, 1e-3)
        is_starting = attempt.tokens == 0 and attempt.elapsed <= fresh_time
        if remaining_time > fresh_time * _SECOND_MARGIN and not is_starting:
            slow.append((remaining_time, attempt))
    slow.sort(key=lambda pair: (-pair[0], pair[1].number))
    chosen = []
    for remaining_time, attempt in slow[: max(0, room)]:
        cost = max(attempt.tokens, fresh_tokens)
        if cost > budget:
            continue
        budget -= cost
        chosen.append(
            SecondAttempt(attempt.number, remaining_time, fresh_time)
        )
    return chosen


def choose_steps_ahead(
    idle_weight: float,
    staleness_bound: int,
    throughput_time: float,
    completion_time: float,
    train_time: float,
) -> int:
    """Returns how many steps after the needed one to generate.

    ``throughput_time`` is what a step takes when the engines are always fully
    used, ``completion_time`` the time from its first attempt to its last
    sample, which the longest samples determine, and ``train_time`` what the
    trainer takes for a step; all in seconds.

    The result is at most the staleness bound.  It minimises the sum of the
    trainer's idle share and the cost of staleness, weighted by
    ``idle_weight``; among equal sums the lowest number is returned.
    """

    def compute_cost(ahead: int) -> float:
        idle = _predict_idle(
            ahead, throughput_time, completion_time, train_time
        )
        staleness = ahead * _IDLE_SHARE_OF_VERSION
        return idle_weight * idle + (1 - idle_weight) * staleness

    return min(range(staleness_bound + 1), key=compute_cost)


def _predict_idle(
    ahead: int,
    throughput_time: float,
    completion_time: float,
    train_time: float,
) -> float:
    """Returns the share of time for which the trainer waits for samples."""
    cycle = max(throughput_time, train_time)
    wait = max(completion_time - ahead * cycle, cycle - train_time, 0.0)
    return wait / (wait + train_time) if wait > 0 else 0.0
