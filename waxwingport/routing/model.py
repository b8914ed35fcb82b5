"""Data of routing: the work, the rules, the candidates and the decision."""

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
    """No longer in the platform's list."""
    JOINING = 'joining'
    """New or recovered; gets a growing share of work."""
    LEAVING = 'leaving'
    """Finishes its requests and gets no new ones."""
    LIVE = 'live'
    """Gets requests of either class, up to its whole capacity."""
    SUSPECT = 'suspect'
    """Failed or refused requests; gets none until its cool-down ends."""


class WorkClass(enum.Enum):
    """Class of a request; live calls are served before rollouts."""

    LIVE = 'live'
    ROLLOUT = 'rollout'


class Work(msgspec.Struct, frozen=True):
    """The properties of a request that routing and admission need.

    ``group`` is the pool or service, ``owner`` the caller or trainer,
    ``deadline`` a time of the event loop's clock in seconds.  ``blocks`` are
    the prefix hashes of the prompt.  Among the requests of an owner those of
    greater ``priority`` go first; ``weight`` is the owner's in the division of
    grants among owners.  Targets in ``excluded`` are not used.
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
    software: ids.SoftwareVersion | None = None
    """Version of the engines' software that may run it, ``None`` for any."""


class GroupRules(msgspec.Struct, frozen=True):
    """Which targets a pool or service may use, and its priority and weight.

    Targets must match ``selector`` and have exactly ``version``, or at least
    ``minimum_version``, where set.  Within a class of requests, groups of
    greater ``priority`` are served first; ``weight`` is the group's in the
    division of grants among groups of the same priority.
    """

    selector: str
    version: ids.WeightVersion | None = None
    minimum_version: ids.WeightVersion | None = None
    priority: int = 0
    weight: float = 1.0


class Candidate(msgspec.Struct, frozen=True):
    """The state of one target at the time of a decision.

    ``in_progress`` is the number of this node's requests at the target and
    ``others`` the estimated number of all other requests there.
    ``matched_blocks`` is the number of leading blocks of the prompt in the
    target's prefix cache.
    """

    name: ids.TargetName
    data_centre: ids.DataCentre
    labels: Mapping[str, str]
    state: TargetState
    network_latency: float = 0.0
    """Network latency in seconds one way from this node's data centre."""
    remote: bool = False
    weight_version: ids.WeightVersion | None = None
    loading: bool = False
    report: base.LoadReport | None = None
    in_progress: int = 0
    others: int = 0
    limit: float = 1e9
    usable_share: float = 1.0
    """Share of its capacity, 0 to 1, that a joining target may use."""
    slowness: float = 1.0
    """Ratio of the time that requests take to the one expected in the pool."""
    matched_blocks: int = 0
    live_allowance: int = 0
    """Number of live calls that may exceed ``limit``."""
    software: ids.SoftwareVersion = ids.SoftwareVersion('')
    """Empty for a target that has not stated it."""


class Decision(msgspec.Struct, frozen=True):
    """The result of a routing decision and the reasons for it.

    ``chosen`` is ``None`` if no target can take the work now; ``cost`` is that
    of the chosen one.  ``considered`` is the number of targets in the pool or
    service, ``rejected`` the number of those that can't take the work by
    obstacle, ``compared`` the number of targets whose costs were compared.
    """

    chosen: ids.TargetName | None
    cost: float
    considered: int
    rejected: Mapping[str, int] = {}
    compared: int = 0
