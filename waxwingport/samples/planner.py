"""Pure decisions of a collector: order, second attempts, steps ahead."""

from collections.abc import Iterable
from collections.abc import Sequence

import msgspec

from waxwingport import ids

__all__ = [
    'OpenSlot',
    'Outlook',
    'Progress',
    'SecondAttempt',
    'choose_ahead',
    'choose_seconds',
    'order_slots',
]

_SECOND_MARGIN = 1.2
"""How many times a fresh attempt's duration the rest has to last."""
_IDLE_SHARE_OF_VERSION = 0.02
"""Idle share of a trainer that weighs as much as one version's staleness."""


class OpenSlot(msgspec.Struct, frozen=True):
    """A sample that needs an attempt.

    ``lacking`` is the number of samples that its group still needs, 0 if
    samples arrive one by one.
    """

    step: ids.StepNumber
    number: ids.SampleNumber
    lacking: int
    expected_tokens: float


def order_slots(slots: Iterable[OpenSlot]) -> list[OpenSlot]:
    """Returns the slots in the order of generation.

    Earlier steps go first, then the groups closest to being whole, then the
    longest expected, so that long ones do not end up alone at the tail.
    """
    return sorted(
        slots,
        key=lambda row: (
            row.step,
            row.lacking,
            -row.expected_tokens,
            row.number,
        ),
    )


class Outlook(msgspec.Struct, frozen=True):
    """What is known of the trainer when work is planned.

    ``advance`` is how many versions come with each step, ``drift`` how many
    more are expected before a sample started now is pulled in the step that
    the trainer pulls, above none for trainers that publish in mid-step.
    """

    version: ids.WeightVersion
    staleness_bound: int
    step: ids.StepNumber
    advance: float = 1.0
    drift: int = 0

    def expect_version(self, step: ids.StepNumber) -> int:
        """Returns the version at which ``step`` will be pulled."""
        ahead = max(0, step - self.step)
        return self.version + round(ahead * self.advance) + self.drift

    def find_minimum(self, step: ids.StepNumber) -> ids.WeightVersion | None:
        """Returns the oldest version that will still do for ``step``.

        ``None`` if even the newest version will be too old by then.
        """
        oldest = self.expect_version(step) - self.staleness_bound
        if oldest > self.version:
            if step > self.step:
                return None
            oldest = self.version
        return ids.WeightVersion(max(1, oldest))


class Progress(msgspec.Struct, frozen=True):
    """A slot with one attempt running; ``elapsed`` in seconds."""

    number: ids.SampleNumber
    tokens: int
    elapsed: float
    expected_rest: float
    """Tokens that are expected to follow."""


class SecondAttempt(msgspec.Struct, frozen=True):
    """A slot that gets a second attempt, and why; times in seconds."""

    number: ids.SampleNumber
    expected_rest: float
    expected_fresh: float


def choose_seconds(
    running: Sequence[Progress],
    fresh_tokens: float,
    pace: float,
    budget: float,
    room: int,
) -> list[SecondAttempt]:
    """Returns the slots whose rest outlasts a fresh attempt elsewhere.

    ``budget`` bounds the tokens that the chosen may waste: whichever attempt
    loses, what both generate until then.  The slowest slots come first.
    """
    fresh = fresh_tokens / pace
    slow = []
    for row in running:
        speed = row.tokens / row.elapsed if row.elapsed > 0 else pace
        rest = row.expected_rest / max(speed, 1e-3)
        silent = row.tokens == 0 and row.elapsed <= fresh
        if rest > fresh * _SECOND_MARGIN and not silent:
            slow.append((rest, row))
    slow.sort(key=lambda pair: (-pair[0], pair[1].number))
    chosen = []
    for rest, row in slow[: max(0, room)]:
        cost = max(row.tokens, fresh_tokens)
        if cost > budget:
            continue
        budget -= cost
        chosen.append(SecondAttempt(row.number, rest, fresh))
    return chosen


def choose_ahead(
    idle_weight: float,
    staleness_bound: int,
    generate_time: float,
    whole_time: float,
    train_time: float,
) -> int:
    """Returns how many steps beyond the needed one to generate.

    ``generate_time`` is what a step takes when the engines are full all the
    time, ``whole_time`` from its first attempt to its last sample, which the
    longest samples decide, ``train_time`` what the trainer takes for a step;
    all in seconds.  Returns the number, up to the staleness bound, with the
    least sum of the idle share that it leaves and the staleness that it
    costs, weighed by ``idle_weight``; the lowest such number.
    """

    def weigh(ahead: int) -> float:
        idle = _predict_idle(ahead, generate_time, whole_time, train_time)
        staleness = ahead * _IDLE_SHARE_OF_VERSION
        return idle_weight * idle + (1 - idle_weight) * staleness

    return min(range(staleness_bound + 1), key=weigh)


def _predict_idle(
    ahead: int, generate_time: float, whole_time: float, train_time: float
) -> float:
    """Returns the share of time for which the trainer waits."""
    cycle = max(generate_time, train_time)
    wait = max(whole_time - ahead * cycle, cycle - train_time, 0.0)
    return wait / (wait + train_time) if wait > 0 else 0.0
