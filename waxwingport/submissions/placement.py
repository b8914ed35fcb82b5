"""Pure choice of the engine for a waiting item."""

from collections.abc import Iterable

from waxwingport.fleet import choice
from waxwingport.fleet import model as fleet
from waxwingport import ids

__all__ = ['count_free', 'find_fitting', 'place']

_SHARED_PROMPT_WORTH = 0.1
"""Share of an engine's slots that a prompt read there before is worth: less
than one place in the usual engine's queue, as prompts are read quickly."""


def find_fitting(
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
    ]


def count_free(target: fleet.Target, now: float) -> int:
    """Returns the slots that are expected to be free."""
    return int(target.entry.slots - target.compute_load(now) + 0.5)


def place(
    fitting: Iterable[fleet.Target],
    home: ids.DataCentre,
    holding: frozenset[fleet.InstanceId],
    now: float,
) -> fleet.Target | None:
    """Returns the engine with a free slot that suits best, or ``None``.

    ``holding`` names engines that read the item's shared prompt before.

    Load pattern: groups of items that share most of their prompt, started
    together on engines of different speed.
    """
    free = [target for target in fitting if count_free(target, now) >= 1]

    def key(target: fleet.Target) -> float:
        held = target.entry.instance in holding
        worth = _SHARED_PROMPT_WORTH if held else 0.0
        return choice.score(target, home, now) - worth

    return min(free, key=key, default=None)
