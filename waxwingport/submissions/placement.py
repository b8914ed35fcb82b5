"""Pure choice of the engine for a waiting item."""

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

_SHARED_PROMPT_WORTH = 0.1
"""Part of a run's time that a prompt read there before is worth: prompts are
read some hundred times as quickly as text is made."""
_LOAD_WORTH = 0.3
"""Part of a run's time that a full engine costs over an empty one: runs of
one batch slow each other down a little, and other nodes may count on the
same free slots."""
_DISTANCE_COST = 0.02
"""Part of a run's time that another data centre costs."""
_TIE = 0.05
"""Parts of a run's time within which engines count as equal, so that nodes
that see the same loads do not all choose the same engine."""
_MOVE_GAIN = 1.15
"""How many times as quickly a run has to go on elsewhere to be moved; lower
ratios are within the noise of an engine's pace."""
_MOVE_COST = 0.25
"""Seconds of a move: a connection, a place, and reading the text so far."""


def find_eligible(
    targets: Iterable[fleet.Target],
    model: str,
    minimum: ids.WeightVersion,
    now: float,
) -> list[fleet.Target]:
    """Returns the engines that may run an item now, free or not."""
    return [
        target
        for target in targets
        if target.versions.get(model, minimum) >= minimum
        and target.avoided_until <= now
        and target.accepts_model(model, now)
    ]


def count_free_slots(target: fleet.Target, now: float) -> int:
    """Returns the slots that are expected to be free."""
    return int(target.entry.slots - target.compute_load(now) + 0.5)


def choose_engine(
    fitting: Iterable[fleet.Target],
    home: ids.DataCentre,
    holding: frozenset[fleet.InstanceId],
    now: float,
    rng: random.Random,
) -> fleet.Target | None:
    """Returns the engine with a free slot that suits best, or ``None``.

    ``holding`` names engines that read the item's shared prompt before.

    Load pattern: groups of items that share most of their prompt, started
    together on engines of different speed.
    """
    free = [target for target in fitting if count_free_slots(target, now) >= 1]
    paces = [
        target.event_gap for target in free if target.event_gap is not None
    ]
    usual = min(paces, default=1.0)

    def estimate(target: fleet.Target) -> float:
        slowness = (target.event_gap or usual) / usual
        load = target.compute_load(now) / target.entry.slots
        away = target.entry.data_centre != home
        held = target.entry.instance in holding
        return (
            slowness
            + _LOAD_WORTH * load
            + (_DISTANCE_COST if away else 0.0)
            - (_SHARED_PROMPT_WORTH if held else 0.0)
            + rng.uniform(0.0, _TIE)
        )

    return min(free, key=estimate, default=None)


def should_move(
    target: fleet.Target,
    fitting: Iterable[fleet.Target],
    events: int,
    expected: int,
    now: float,
) -> bool:
    """Returns whether a run had better go on at another engine.

    ``events`` came so far of an ``expected`` number, which may be too low:
    a text that is longer than expected is taken to double once more.

    Load pattern: an engine turns slow, with the longest items of a step on
    it; the step is whole when they are.
    """
    if target.event_gap is None:
        return False
    others = [
        other.event_gap
        for other in fitting
        if other is not target
        and other.event_gap is not None
        and count_free_slots(other, now) >= 1
    ]
    if not others or target.event_gap < _MOVE_GAIN * min(others):
        return False
    left = expected - events if events < expected else events
    return left * (target.event_gap - min(others)) > _MOVE_COST
