"""Filtering of targets and the costs of using them, without state.

``choose`` checks every target and serves as the reference for
``waxwingport.routing.pools``, which samples a few targets instead.
"""

import collections
from collections.abc import Sequence
import random

from waxwingport.routing import model

__all__ = [
    'LIMIT_REACHED',
    'choose',
    'compute_cost',
    'compute_remote_cost',
    'find_obstacle',
    'find_target_obstacle',
    'may_exceed_limit',
]

LIMIT_REACHED = 'limit'
"""Obstacle of a target whose limit is reached, until one of its requests ends.

The other obstacles are the state of the target, 'version',
'minimum-version', 'software' and 'excluded'."""
_REMOTE_COST = 0.25
"""Cost added for a target in another data centre."""
_LATENCY_COST = 50.0
"""Cost added for each second of latency to another data centre."""
_LOADING_COST = 0.5
"""Cost added for an engine that is loading weights."""
_CACHED_PROMPT_DISCOUNT = 0.5
"""Cost subtracted for a prompt that is cached as a whole."""
_MIN_DISCOUNT_BLOCKS = 8
"""A shorter prompt counts as this many blocks, so it gets a part of the
discount."""
_ADMISSIBLE = (model.TargetState.LIVE, model.TargetState.JOINING)


def compute_cost(work: model.Work, candidate: model.Candidate) -> float:
    """Returns the cost of sending ``work`` to a candidate; lower is better.

    A cost of 1 corresponds to one target's whole capacity.
    """
    report = candidate.report
    capacity = report.capacity if report else candidate.limit
    requests = candidate.in_progress + candidate.others + 1
    utilisation = requests / (max(1.0, capacity) * candidate.usable_share)
    cost = utilisation * candidate.slowness
    cost += compute_remote_cost(candidate.remote, candidate.network_latency)
    if candidate.loading:
        cost += _LOADING_COST
    if candidate.matched_blocks:
        blocks = max(_MIN_DISCOUNT_BLOCKS, len(work.blocks))
        cost -= _CACHED_PROMPT_DISCOUNT * candidate.matched_blocks / blocks
    return cost


def compute_remote_cost(remote: bool, network_latency: float) -> float:
    """Returns the cost of a target's data centre, 0 for the local one.

    ``network_latency`` is the latency in seconds one way.
    """
    return _REMOTE_COST + network_latency * _LATENCY_COST if remote else 0.0


def choose(
    rules: model.GroupRules,
    work: model.Work,
    targets: Sequence[model.Candidate],
    rng: random.Random,
) -> model.Decision:
    """Returns the better of two random targets that can take ``work``.

    Targets at their limit are used only if there is no other.
    """
    rejected: collections.Counter[str] = collections.Counter()
    eligible = []
    for target in targets:
        obstacle = find_obstacle(rules, work, target)
        if obstacle is None:
            eligible.append(target)
        else:
            rejected[obstacle] += 1
    if not eligible:
        return model.Decision(None, 0.0, len(targets), rejected)
    available = [
        candidate
        for candidate in eligible
        if candidate.in_progress < candidate.limit
    ]
    sampled = rng.sample(
        available or eligible, min(2, len(available or eligible))
    )
    best = min(sampled, key=lambda target: compute_cost(work, target))
    return model.Decision(
        best.name,
        compute_cost(work, best),
        len(targets),
        rejected,
        len(sampled),
    )


def find_obstacle(
    rules: model.GroupRules,
    work: model.Work,
    target: model.Candidate,
) -> str | None:
    """Returns the reason why ``target`` can't take ``work``, or ``None``."""
    obstacle = find_target_obstacle(rules, target)
    if obstacle is not None and not (
        obstacle is LIMIT_REACHED and may_exceed_limit(work, target)
    ):
        return obstacle
    if work.minimum_version is not None and (
        target.weight_version is None
        or target.weight_version < work.minimum_version
    ):
        return 'minimum-version'
    if work.software not in (None, target.software):
        return 'software'
    return 'excluded' if target.name in work.excluded else None


def may_exceed_limit(work: model.Work, target: model.Candidate) -> bool:
    """Returns whether ``target`` takes ``work`` in spite of its limit.

    Live calls may exceed the limit by the target's live allowance.  Also
    accepts a ``table.Target``, which has the same attributes.
    """
    return (
        work.work_class is model.WorkClass.LIVE
        and target.in_progress < target.limit + target.live_allowance
    )


def find_target_obstacle(
    rules: model.GroupRules, target: model.Candidate
) -> str | None:
    """Returns the reason why ``target`` can't take any work, or ``None``.

    Also accepts a ``table.Target``, which has the same attributes.
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
    return LIMIT_REACHED if target.in_progress >= target.limit else None
