"""Choice of the engine for a waiting item.

Engines are compared by an estimated cost in units of the time that a run takes
at the fastest of them.
"""

from collections.abc import Iterable
import random

from waxwingport.fleet import model as fleet
from waxwingport import ids

__all__ = [
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
_MIN_SPEEDUP = 1.15
"""Ratio of two engines' speeds from which on a move is considered.  Smaller
differences may come from the variation of the times between events."""
_MOVE_COST_S = 0.25
"""Time that a move takes: connecting, getting a slot and processing the text
so far."""


def find_eligible(
    targets: Iterable[fleet.Target],
    model: str,
    minimum: ids.WeightVersion,
    now: float,
) -> list[fleet.Target]:
    """Returns the engines that may run an item, with or without a free slot.

    Leaves out engines whose known version is below ``minimum``, and those
    that are avoided or do not accept the model at the loop time ``now``.
    """
    return [
        target
        for target in targets
        if target.versions.get(model, minimum) >= minimum
        and target.avoided_until <= now
        and target.accepts_model(model, now)
    ]


def count_free_slots(target: fleet.Target, now: float) -> int:
    """Returns the estimated number of free slots, negative when overloaded."""
    return int(target.entry.slots - target.compute_load(now) + 0.5)


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
    gaps = [
        target.event_gap for target in free if target.event_gap is not None
    ]
    smallest_gap = min(gaps, default=1.0)

    def estimate(target: fleet.Target) -> float:
        slowness = (target.event_gap or smallest_gap) / smallest_gap
        load = target.compute_load(now) / target.entry.slots
        remote = target.entry.data_centre != local_data_centre
        cached = target.entry.instance in engines_with_prompt
        return (
            slowness
            + _LOAD_COST * load
            + (_DISTANCE_COST if remote else 0.0)
            - (_CACHED_PROMPT_GAIN if cached else 0.0)
            + rng.uniform(0.0, _MAX_JITTER)
        )

    return min(free, key=estimate, default=None)


def should_move(
    target: fleet.Target,
    eligible: Iterable[fleet.Target],
    event_count: int,
    expected_count: int,
    now: float,
) -> bool:
    """Returns whether a run should be moved to another engine.

    ``event_count`` is the number of events so far, ``expected_count`` that of
    the whole text.  A text that has exceeded it is assumed to reach twice its
    present length.

    A move pays off when an engine becomes slow while it runs the longest
    items of a step, which delay the whole step.
    """
    if target.event_gap is None:
        return False
    others = [
        other.event_gap
        for other in eligible
        if other is not target
        and other.event_gap is not None
        and count_free_slots(other, now) >= 1
    ]
    if not others or target.event_gap < _MIN_SPEEDUP * min(others):
        return False
    remaining = (
        expected_count - event_count
        if event_count < expected_count
        else event_count
    )
    return remaining * (target.event_gap - min(others)) > _MOVE_COST_S
