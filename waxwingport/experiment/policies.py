"""Policies that a replay compares: settings of the deciding objects."""

import math

from expression import Error
from expression import Ok
from expression import Result
import msgspec

from waxwingport.experiment import blame
from waxwingport.experiment import disciplines
from waxwingport.scheduling import choice
from waxwingport.scheduling import placement

__all__ = ['POLICIES', 'Policy', 'find_policy']


class Policy(msgspec.Struct, frozen=True):
    """How a replayed node decides."""

    name: str
    description: str
    placement_settings: placement.PlacementSettings = (
        placement.PlacementSettings()
    )
    max_gap_ratio: float | None = None
    """Largest influence of one gap on an engine's pace; by default that of
    ``EventPace``."""
    silence_timeout: float | None = None
    """Seconds without an event after which a stream is broken; by default
    derived from the engine's pace."""
    longest_first: bool = True
    by_cost: bool = True
    """Whether items are ordered by the cost of delay where engines report the
    slowdown of their machines."""
    blame_rule: blame.BlameRule = blame.CurrentRule()
    isolates_suspects: bool = True
    """Whether requests that were at a crash are sent apart from each other."""
    claims_suspects: bool = True
    """Whether one try of a request that was at three is sent at a time."""
    choice_settings: choice.ChoiceSettings = choice.ChoiceSettings()
    discipline: disciplines.Discipline = disciplines.CostOfDelay()
    """Order of the calls that wait at a node."""
    reads_slowdown: bool = True
    """Whether targets report the slowdown of their machines."""


_FULL_SHARE = 1.0
"""All slots of an engine."""

POLICIES = (
    Policy('current', 'the settings of a node'),
    Policy(
        'mean-pace',
        'paces are plain means, runs move for a sixth of speed at any time',
        placement.PlacementSettings(
            min_speedup=1.15, min_events_before_move=0
        ),
        max_gap_ratio=math.inf,
    ),
    Policy(
        'trusting',
        'engines that failed or were added get all of their slots',
        placement.PlacementSettings(
            suspect_cost=0.0,
            suspect_share=_FULL_SHARE,
            unproven_share=_FULL_SHARE,
            probes_models=False,
        ),
        silence_timeout=1.2,
    ),
    Policy(
        'no-moves',
        'no run moves',
        placement.PlacementSettings(min_speedup=math.inf),
    ),
    Policy(
        'no-probes',
        'an engine that rejected runs gets all of its slots again at once',
        placement.PlacementSettings(probes_models=False),
    ),
    Policy('any-order', 'items start in any order', longest_first=False),
    Policy(
        'by-due-time',
        'items start by the due time of their step',
        by_cost=False,
    ),
    Policy(
        'no-isolation',
        'requests that were at a crash are sent like others',
        isolates_suspects=False,
    ),
    Policy(
        'no-claims',
        'tries of a request that was at three crashes are sent together',
        claims_suspects=False,
    ),
    Policy(
        'no-blame',
        'no request is stopped',
        blame_rule=blame.NoRule(),
        claims_suspects=False,
    ),
    Policy(
        'plain-count',
        'a request is stopped after three crashes',
        blame_rule=blame.PlainCount(),
        claims_suspects=False,
    ),
    Policy(
        'clearing-count',
        'a request is stopped after three crashes without an answer',
        blame_rule=blame.ClearingCount(),
        claims_suspects=False,
    ),
    Policy(
        'by-company',
        'the requests at a crash share it equally',
        blame_rule=blame.ByCompany(),
        claims_suspects=False,
    ),
    Policy(
        'by-shares',
        'calls go to the target with the least share of slots in use',
        choice_settings=choice.ChoiceSettings(by_finish=False),
    ),
    Policy(
        'two-choices',
        'calls go to the better one of two targets drawn at random',
        choice_settings=choice.ChoiceSettings(samples=2),
    ),
    Policy(
        'uncharged',
        'calls go to the target that is expected to finish first',
        choice_settings=choice.ChoiceSettings(load_cost=0.2),
    ),
    Policy(
        'arrival-order',
        'calls that wait at a node start in the order of their arrival',
        discipline=disciplines.ArrivalOrder(),
    ),
    Policy(
        'strict-priority',
        'calls that wait at a node start in the order of their priorities',
        discipline=disciplines.StrictPriority(),
    ),
    Policy(
        'earliest-deadline',
        'calls that wait at a node start in the order of their deadlines',
        discipline=disciplines.EarliestDeadline(),
    ),
    Policy(
        'fair-queueing',
        'tenants get equal shares of the slots, weighted by priority',
        discipline=disciplines.FairQueueing(),
    ),
    Policy(
        'three-figures',
        'targets report no slowdown',
        reads_slowdown=False,
    ),
)


def find_policy(name: str) -> Result[Policy, str]:
    """Returns a policy by its name."""
    for policy in POLICIES:
        if policy.name == name:
            return Ok(policy)
    known = ', '.join(policy.name for policy in POLICIES)
    return Error(f'no policy {name!r}; expected one of {known}')
