"""Filter and score of targets: pure decisions over a snapshot.

``choose`` looks at every target.  ``waxwingport.routing.pools`` comes to a
choice of the same kind from a few of them.
"""

import collections
from collections.abc import Sequence
import random

from waxwingport.routing import candidates

__all__ = [
    'LIMIT',
    'choose',
    'compute_remote_cost',
    'find_obstacle',
    'find_target_obstacle',
    'has_margin',
    'score',
]

LIMIT = 'limit'
"""The obstacle that goes away by itself: no room."""
_REMOTE_COST = 0.25
"""Share of a target's capacity that a call to another data centre costs."""
_DISTANCE_COST = 50.0
"""Share of a target's capacity for each second of distance."""
_LOADING_COST = 0.5
_MATCH_VALUE = 0.5
"""Share of a target's capacity that a wholly cached prompt is worth."""
_FULL_VALUE_BLOCKS = 8
"""Blocks from which on a cached prompt has its full value."""
_ADMISSIBLE = (candidates.TargetState.LIVE, candidates.TargetState.JOINING)


def score(work: candidates.Work, candidate: candidates.Candidate) -> float:
    """Returns the cost of sending ``work`` there; lower is better.

    It is in shares of a target's capacity.
    """
    report = candidate.report
    capacity = report.capacity if report else candidate.limit
    load = candidate.in_progress + candidate.others + 1
    pressure = load / (max(1.0, capacity) * candidate.ramp)
    cost = pressure * candidate.slowness
    cost += compute_remote_cost(candidate.remote, candidate.distance)
    if candidate.loading:
        cost += _LOADING_COST
    if candidate.matched_blocks:
        blocks = max(_FULL_VALUE_BLOCKS, len(work.blocks))
        cost -= _MATCH_VALUE * candidate.matched_blocks / blocks
    return cost


def compute_remote_cost(remote: bool, distance: float) -> float:
    """Returns the part of the score that the data centre makes."""
    return _REMOTE_COST + distance * _DISTANCE_COST if remote else 0.0


def choose(
    rules: candidates.GroupRules,
    work: candidates.Work,
    targets: Sequence[candidates.Candidate],
    rng: random.Random,
) -> candidates.Decision:
    """Returns the better of two fitting targets drawn at random.

    Targets over their limit are left for when no other fits.
    """
    rejected: collections.Counter[str] = collections.Counter()
    fitting = []
    for target in targets:
        reason = find_obstacle(rules, work, target)
        if reason is None:
            fitting.append(target)
        else:
            rejected[reason] += 1
    if not fitting:
        return candidates.Decision(None, 0.0, len(targets), rejected)
    free = [row for row in fitting if row.in_progress < row.limit]
    drawn = rng.sample(free or fitting, min(2, len(free or fitting)))
    best = min(drawn, key=lambda target: score(work, target))
    return candidates.Decision(
        best.name, score(work, best), len(targets), rejected, len(drawn)
    )


def find_obstacle(
    rules: candidates.GroupRules,
    work: candidates.Work,
    target: candidates.Candidate,
) -> str | None:
    """Returns why ``work`` can't go there, or ``None``."""
    reason = find_target_obstacle(rules, target)
    if reason is not None and not (
        reason is LIMIT and has_margin(work, target)
    ):
        return reason
    if work.minimum_version is not None and (
        target.weight_version is None
        or target.weight_version < work.minimum_version
    ):
        return 'minimum-version'
    return 'excluded' if target.name in work.excluded else None


def has_margin(work: candidates.Work, target: candidates.Candidate) -> bool:
    """Returns whether ``work`` may go over the limit of a full target.

    Works on anything with the attributes of a candidate.
    """
    return (
        work.work_class is candidates.WorkClass.LIVE
        and target.in_progress < target.limit + target.margin
    )


def find_target_obstacle(
    rules: candidates.GroupRules, target: candidates.Candidate
) -> str | None:
    """Returns why no work of the pool can go there, or ``None``.

    Works on anything with the attributes of a candidate.
    """
    if target.state not in _ADMISSIBLE:
        return target.state.value
    version = target.weight_version
    if rules.version is not None and version != rules.version:
        return 'version'
    if rules.minimum_version is not None and (
        version is None or version < rules.minimum_version
    ):
        return 'version'
    return LIMIT if target.in_progress >= target.limit else None
