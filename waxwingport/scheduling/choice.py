"""Choice among the targets of a service, as pure functions."""

from collections.abc import Iterable
import random

import msgspec

from waxwingport.fleet import model
from waxwingport import ids
from waxwingport.membership import rendezvous

__all__ = [
    'ChoiceSettings',
    'choose',
    'choose_by_key',
    'estimate_finish',
    'order_by_score',
    'score',
]

_DISTANCE_COST = 0.15
"""Score added for a target in another data centre, as a share of its slots.
Traffic between data centres is expensive and takes a few milliseconds, but a
long queue costs more."""
_MAX_RANDOM_COST = 0.05
"""Upper bound of the random number added to each score, as a share of the
slots, so that nodes that see the same loads do not all choose the same
target."""


class ChoiceSettings(msgspec.Struct, frozen=True):
    """How a target is chosen for a call."""

    by_finish: bool = True
    """Whether targets that report their slowdown are compared by the expected
    time to finish."""
    samples: int = 0
    """Targets that are compared then, drawn at random; 0 for all."""
    load_cost: float = 2.0
    """Cost of a full target over an empty one, in the time of a call.  It
    stands for what other nodes have sent since the report, so that not all
    choose the target that is fast or newly reported idle: with less, calls
    gather at the fast targets, with more, the speeds decide too little."""


_SETTINGS = ChoiceSettings()


def estimate_finish(
    target: model.Target,
    local_data_centre: ids.DataCentre,
    now: float,
    seconds: float,
    settings: ChoiceSettings = _SETTINGS,
) -> float:
    """Returns the cost of one more call at ``target``; lower is better.

    It is the expected time until the call is done, with a charge for slots in
    use and for another data centre.  The unit is the time that a call takes
    at the usual speed, which is ``seconds``.

    Load pattern: engines of two speeds, whose machines are slowed in bursts.
    """
    load = target.compute_load(now) + 1
    slots = max(1, target.entry.slots)
    queued = max(0.0, load - slots) / slots
    crowded = settings.load_cost * min(1.0, load / slots)
    remote = target.entry.data_centre != local_data_centre
    slowness = target.estimate_slowness(now, seconds)
    return slowness * (1.0 + crowded + queued) + (
        _DISTANCE_COST if remote else 0.0
    )


def score(
    target: model.Target,
    local_data_centre: ids.DataCentre,
    now: float,
    own: int = 0,
) -> float:
    """Returns the cost of one more request at ``target``; lower is better.

    The cost is the expected share of its slots in use.  ``own`` is a number
    of requests of this node that the load does not include yet.
    """
    load = target.compute_load(now) + own + 1
    used = load / max(1, target.entry.slots) * target.slowness
    remote = target.entry.data_centre != local_data_centre
    return used + (_DISTANCE_COST if remote else 0.0)


def order_by_score(
    targets: Iterable[model.Target],
    local_data_centre: ids.DataCentre,
    now: float,
    rng: random.Random,
) -> list[model.Target]:
    """Returns the targets from best to worst, those to avoid last.

    A random number is added to each score.  It matters when many nodes decide
    at the same time on equal data: without it all would choose the same
    target.
    """

    def key(target: model.Target) -> tuple[float, float]:
        avoided = max(0.0, target.avoided_until - now)
        return avoided, score(target, local_data_centre, now) + rng.uniform(
            0.0, _MAX_RANDOM_COST
        )

    return sorted(targets, key=key)


def choose(
    targets: Iterable[model.Target],
    local_data_centre: ids.DataCentre,
    now: float,
    rng: random.Random,
    seconds: float = 0.0,
    settings: ChoiceSettings = _SETTINGS,
) -> model.Target | None:
    """Returns the best target, or ``None`` if there are no targets.

    ``seconds`` is the time that a call takes at the usual speed.
    """
    targets = list(targets)
    if settings.by_finish and any(
        target.reports_slowdown for target in targets
    ):
        sound = [target for target in targets if target.avoided_until <= now]
        drawn = sound or targets
        if settings.samples and len(drawn) > settings.samples:
            drawn = rng.sample(drawn, settings.samples)
        return min(
            drawn,
            key=lambda target: (
                max(0.0, target.avoided_until - now),
                estimate_finish(
                    target, local_data_centre, now, seconds, settings
                )
                + rng.uniform(0.0, _MAX_RANDOM_COST),
            ),
        )
    ordered = order_by_score(targets, local_data_centre, now, rng)
    return ordered[0] if ordered else None


def choose_by_key(
    targets: Iterable[model.Target], key: str, now: float
) -> model.Target | None:
    """Returns the target for a key, or ``None`` if there are no targets.

    Equal targets give equal results; one to avoid is the last choice.
    """
    by_name = {target.entry.instance: target for target in targets}
    sound = [
        name for name, target in by_name.items() if target.avoided_until <= now
    ]
    chosen = rendezvous.pick(key, sound or by_name)
    return None if chosen is None else by_name[chosen]
