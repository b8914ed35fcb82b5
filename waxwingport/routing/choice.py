"""Choice of one target among candidates."""

import collections
from collections.abc import Sequence
import random

from waxwingport.routing import candidates

__all__ = ['choose', 'score']

_BLOCK_VALUE = 0.25
_DISTANCE_COST = 100.0


def score(work: candidates.Work, candidate: candidates.Candidate) -> float:
    """Returns the cost of sending ``work`` there; lower is better."""
    report = candidate.report
    capacity = max(1, report.capacity if report else 1)
    reported = report.running + report.waiting if report else 0
    load = max(candidate.in_progress, reported + candidate.sent_since)
    matched = candidate.matched_blocks / max(1, len(work.blocks))
    return (
        load / capacity
        + candidate.distance * _DISTANCE_COST
        - matched * _BLOCK_VALUE
    )


def choose(
    work: candidates.Work,
    targets: Sequence[candidates.Candidate],
    rng: random.Random,
) -> candidates.Decision:
    """Returns the better of two fitting targets drawn at random."""
    rejected: collections.Counter[str] = collections.Counter()
    fitting = []
    for target in targets:
        reason = _find_obstacle(work, target)
        if reason is None:
            fitting.append(target)
        else:
            rejected[reason] += 1
    if not fitting:
        return candidates.Decision(None, 0.0, len(targets), rejected)
    drawn = rng.sample(fitting, min(2, len(fitting)))
    best = min(drawn, key=lambda target: score(work, target))
    return candidates.Decision(
        best.name, score(work, best), len(targets), rejected
    )


def _find_obstacle(
    work: candidates.Work, target: candidates.Candidate
) -> str | None:
    if target.state not in (
        candidates.TargetState.LIVE,
        candidates.TargetState.JOINING,
    ):
        return target.state.value
    if target.name in work.excluded:
        return 'excluded'
    if target.in_progress >= target.limit:
        return 'limit'
    if work.minimum_version is not None and (
        target.weight_version is None
        or target.weight_version < work.minimum_version
    ):
        return 'weight-version'
    return None
