"""Snapshot of the targets that a routing decision works on."""

from collections.abc import Mapping
import enum

import msgspec

from waxwingport import ids
from waxwingport.targets import base

__all__ = [
    'Candidate',
    'Decision',
    'GroupRules',
    'TargetState',
    'Work',
    'WorkClass',
]


class TargetState(enum.Enum):
    """State of a target as this node sees it; see ``charts/target.yaml``."""

    GONE = 'gone'
    JOINING = 'joining'
    LEAVING = 'leaving'
    LIVE = 'live'
    SUSPECT = 'suspect'


class WorkClass(enum.Enum):
    """Live calls go before rollouts."""

    LIVE = 'live'
    ROLLOUT = 'rollout'


class Work(msgspec.Struct, frozen=True):
    """A request as routing and limits see it.

    ``group`` is the pool or service, ``owner`` the caller or trainer,
    ``deadline`` a time of the loop's clock in seconds.
    """

    request_id: ids.RequestId
    group: str
    owner: str
    work_class: WorkClass
    deadline: float
    priority: int = 0
    weight: float = 1.0
    blocks: tuple[int, ...] = ()
    minimum_version: ids.WeightVersion | None = None
    excluded: frozenset[ids.TargetName] = frozenset()


class GroupRules(msgspec.Struct, frozen=True):
    """What a pool or service asks of its targets.

    ``version`` and ``minimum_version`` are those of the declared pool.
    """

    selector: str
    version: ids.WeightVersion | None = None
    minimum_version: ids.WeightVersion | None = None
    priority: int = 0
    weight: float = 1.0


class Candidate(msgspec.Struct, frozen=True):
    """One target as it stands at the time of a decision.

    ``in_progress`` counts this node's own requests there, ``others`` the work
    of others after the latest report; ``matched_blocks`` how many of the
    prompt's blocks are in its prefix cache.
    """

    name: ids.TargetName
    data_centre: ids.DataCentre
    labels: Mapping[str, str]
    state: TargetState
    distance: float = 0.0
    """Seconds one way from this node's data centre."""
    remote: bool = False
    weight_version: ids.WeightVersion | None = None
    loading: bool = False
    report: base.LoadReport | None = None
    in_progress: int = 0
    others: int = 0
    limit: float = 1e9
    ramp: float = 1.0
    """Share of its capacity that a joining target counts with."""
    slowness: float = 1.0
    """Time that it takes for a request over the time usual in its pool."""
    matched_blocks: int = 0
    margin: int = 0
    """Live calls that may go over the limit."""


class Decision(msgspec.Struct, frozen=True):
    """The outcome of a routing decision and the reasons for it.

    ``considered`` counts the targets of the pool or service, ``rejected`` by
    reason those that fell out, ``scored`` those whose score was compared.
    """

    chosen: ids.TargetName | None
    score: float
    considered: int
    rejected: Mapping[str, int] = {}
    scored: int = 0
