"""Pure choice among targets of a service."""

from collections.abc import Iterable
import random

from waxwingport.fleet import model
from waxwingport import ids

__all__ = ['choose', 'order_by_score', 'score']

_DISTANCE_COST = 0.15
"""Share of a target's slots that another data centre is worth: a call across
costs a few milliseconds and bytes that are dear, a queue costs more."""
_TIE = 0.05
"""Shares of slots within which targets count as equal, so that nodes that
see the same loads do not all choose the same target."""


def score(
    target: model.Target, home: ids.DataCentre, now: float, own: int = 0
) -> float:
    """Returns the expected use of ``target`` with one more request.

    In shares of its slots; lower is better.  ``own`` is added to the load.
    """
    load = target.compute_load(now) + own + 1
    used = load / max(1, target.entry.slots) * target.slowness
    away = target.entry.data_centre != home
    return used + (_DISTANCE_COST if away else 0.0)


def order_by_score(
    targets: Iterable[model.Target],
    home: ids.DataCentre,
    now: float,
    rng: random.Random,
) -> list[model.Target]:
    """Returns targets best first; those to be avoided come last.

    Load pattern: many nodes that decide at the same moment on equal views.
    """

    def key(target: model.Target) -> tuple[float, float]:
        avoided = max(0.0, target.avoided_until - now)
        return avoided, score(target, home, now) + rng.uniform(0.0, _TIE)

    return sorted(targets, key=key)


def choose(
    targets: Iterable[model.Target],
    home: ids.DataCentre,
    now: float,
    rng: random.Random,
) -> model.Target | None:
    """Returns the best target, or ``None`` if there is none."""
    found = order_by_score(targets, home, now, rng)
    return found[0] if found else None
