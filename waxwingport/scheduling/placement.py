"""Choice of the engine for a waiting item.

Engines are compared by an estimated cost in units of the time that a run takes
at the fastest of them.
"""

from collections.abc import Iterable
from collections.abc import Sequence
import random

import msgspec

from waxwingport.fleet import model as fleet
from waxwingport import ids

__all__ = [
    'RunProgress',
    'choose_engine',
    'count_free_slots',
    'find_eligible',
    'should_move',
]

_CACHED_PROMPT_GAIN = 0.1
"""Cost saved by an engine that processed the shared prompt before.  Engines
process prompts some hundred times as fast as they generate text, so the cost
of a prompt is small."""
_LOAD_COST = 0.3
"""Extra cost of a full engine over an empty one: simultaneous runs slow each
other down a little, and other nodes may choose the same free slots."""
_DISTANCE_COST = 0.02
"""Extra cost of an engine in another data centre."""
_MAX_JITTER = 0.05
"""Upper bound of the random cost added to each engine, so that nodes that see
the same loads do not all choose the same engine."""
_UNPROVEN_COST = 1.0
"""Extra cost of an engine that failed and has not answered since: its next run
may be lost too, so the longest items go elsewhere while there are slots."""
_UNPROVEN_SHARE = 0.5
"""Share of its slots that an engine gets before its first answer.  It may hold
no weights yet, and all nodes notice it at the same time."""
_MIN_SPEEDUP = 1.25
"""Ratio of two engines' speeds from which on a move is considered.  Smaller
differences may come from the variation of the times between events."""
_MOVE_COST_S = 0.25
"""Time that a move takes: connecting, getting a slot and processing the text
so far."""
_MIN_EVENTS_BEFORE_MOVE = 10
"""Events that a run that resumed a text generates before it may move again.
A move delays the other runs at the engine that it reaches, which would make
these move in turn."""


class RunProgress(msgspec.Struct, frozen=True):
    """How far the run of an item has come."""

    generated: int
    """Events that this run has generated."""
    resumed: bool
    """Whether an earlier run began the text."""
    remaining: float
    """Events that the text is expected to lack."""


def find_eligible(
    targets: Sequence[fleet.Target],
    model: str,
    minimum: ids.WeightVersion,
    now: float,
) -> list[fleet.Target]:
    """Returns the engines that may run an item, with or without a free slot.

    Leaves out engines whose known version is below ``minimum``, and those
    that are avoided or do not accept the model at the loop time ``now``.  An
    engine that has not said which version it has is left out as long as
    another one has.
    """
    known = [target for target in targets if model in target.versions]
    return [
        target
        for target in known or targets
        if target.versions.get(model, minimum) >= minimum
        and target.avoided_until <= now
        and target.accepts_model(model, now)
    ]


def count_free_slots(target: fleet.Target, now: float) -> int:
    """Returns the estimated number of free slots, negative when overloaded.

    An engine that has not answered yet has half of its slots, one that failed
    and has not answered since has one.

    Load pattern: an engine goes dark with all of its slots taken.  It then
    looks idle, so that each run that is resumed would be sent to it again.
    """
    free = int(target.entry.slots - target.compute_load(now) + 0.5)
    if target.proven:
        return free
    share = 0.0 if target.failures else _UNPROVEN_SHARE
    usable = max(1, int(target.entry.slots * share))
    return min(free, usable - target.running)


def choose_engine(
    eligible: Iterable[fleet.Target],
    local_data_centre: ids.DataCentre,
    engines_with_prompt: frozenset[fleet.InstanceId],
    now: float,
    rng: random.Random,
) -> fleet.Target | None:
    """Returns the cheapest engine with a free slot, ``None`` if all are full.

    ``engines_with_prompt`` names the engines that processed the prompt of the
    item's group before.  The choice matters when groups of items that share
    most of their prompt start at the same time on engines of different speed.
    """
    free = [
        target for target in eligible if count_free_slots(target, now) >= 1
    ]
    gaps = [gap for target in free if (gap := target.pace.seconds)]
    smallest_gap = min(gaps, default=1.0)

    def estimate(target: fleet.Target) -> float:
        slowness = (target.pace.seconds or smallest_gap) / smallest_gap
        load = target.compute_load(now) / target.entry.slots
        remote = target.entry.data_centre != local_data_centre
        cached = target.entry.instance in engines_with_prompt
        suspect = target.failures and not target.proven
        return (
            slowness
            + (_UNPROVEN_COST if suspect else 0.0)
            + _LOAD_COST * load
            + (_DISTANCE_COST if remote else 0.0)
            - (_CACHED_PROMPT_GAIN if cached else 0.0)
            + rng.uniform(0.0, _MAX_JITTER)
        )

    return min(free, key=estimate, default=None)


def should_move(
    target: fleet.Target,
    eligible: Iterable[fleet.Target],
    progress: RunProgress,
    now: float,
) -> bool:
    """Returns whether a run should be moved to another engine.

    Load pattern: an engine becomes slow while it runs the longest items of a
    step, which delay the whole step.
    """
    gap = target.pace.seconds
    if gap is None or progress.remaining * gap <= _MOVE_COST_S:
        return False
    if progress.resumed and progress.generated < _MIN_EVENTS_BEFORE_MOVE:
        return False
    others = [
        other.pace.seconds
        for other in eligible
        if other is not target
        and other.pace.seconds is not None
        and count_free_slots(other, now) >= 1
    ]
    if not others or gap < _MIN_SPEEDUP * min(others):
        return False
    return progress.remaining * (gap - min(others)) > _MOVE_COST_S
