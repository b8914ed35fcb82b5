"""Draws the steps of a pattern's trainers."""

import math
import random

from waxwingport.experiment import engines
from waxwingport.experiment import patterns
from waxwingport import ids
from waxwingport.scheduling import order

__all__ = ['draw_steps']

_TOKENS_PER_EVENT = 46
"""Hinted tokens for each event; any number serves, since nodes learn it."""
_TRAINER_OFFSET_S = 0.03
"""Time between the requests of two trainers for the same step."""


def draw_steps(pattern: patterns.Pattern, seed: int) -> list[engines.Step]:
    """Returns all steps of a pattern; the same ones for every policy."""
    rng = random.Random(seed)
    steps: list[engines.Step] = []
    first = 0
    for settings in (pattern.trainers, pattern.other_trainers):
        if settings is None:
            continue
        steps += [
            _draw_step(
                pattern,
                settings,
                first + trainer,
                number * settings.interval
                + (first + trainer) * _TRAINER_OFFSET_S,
                rng,
            )
            for number in range(settings.steps)
            for trainer in range(settings.count)
        ]
        first += settings.count
    return steps


def _draw_step(
    pattern: patterns.Pattern,
    settings: patterns.TrainerSettings,
    trainer: int,
    asked_at: float,
    rng: random.Random,
) -> engines.Step:
    group_count = max(1, settings.items // settings.group_size)
    wanted = max(1, math.ceil(settings.wanted_share * group_count))
    step = engines.Step(
        trainer,
        asked_at,
        asked_at + settings.due,
        [],
        {},
        wanted,
        0.0,
        priority=settings.priority,
    )
    hints: dict[ids.GroupId, int] = {}
    for number in range(settings.items):
        group = ids.GroupId(f'group-{number % group_count}')
        length = _draw_length(settings, rng)
        error = rng.lognormvariate(0.0, settings.hint_spread)
        hint = max(1, round(length * _TOKENS_PER_EVENT * error))
        hints[group] = max(hints.get(group, 0), hint)
        step.items.append(engines.Item(step, group, hint, length))
    step.ranks = order.rank_groups(hints, frozenset())
    step.bound = _compute_bound(pattern, step)
    return step


def _draw_length(
    settings: patterns.TrainerSettings, rng: random.Random
) -> int:
    drawn = rng.lognormvariate(
        math.log(settings.median_events), settings.spread
    )
    return min(settings.longest_events, max(1, round(drawn)))


def _compute_bound(pattern: patterns.Pattern, step: engines.Step) -> float:
    """Returns the least time that a step takes if it has all engines.

    That is the time of the longest text among the groups that the trainer
    needs at least, and of their events on all slots.  Faults are left out.
    """
    longest: dict[ids.GroupId, int] = {}
    total: dict[ids.GroupId, int] = {}
    for item in step.items:
        longest[item.group] = max(longest.get(item.group, 0), item.length)
        total[item.group] = total.get(item.group, 0) + item.length
    wanted = step.wanted_groups
    slots = pattern.engines.count * pattern.engines.slots
    return pattern.engines.gap * max(
        sorted(longest.values())[wanted - 1],
        sum(sorted(total.values())[:wanted]) / slots,
    )
