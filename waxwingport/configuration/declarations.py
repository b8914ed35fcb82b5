"""What operators declare: labels, pools, trainers, services and callers.

Each declaration is a TOML table; its kind and name are the key by which a
change in the log names it.
"""

import functools
from typing import Annotated

import msgspec

from waxwingport import ids

__all__ = [
    'Caller',
    'Declarations',
    'LabelRule',
    'Limits',
    'Pool',
    'Service',
    'Trainer',
]

_Share = Annotated[float, msgspec.Meta(ge=0.0, le=1.0)]
_Positive = Annotated[float, msgspec.Meta(gt=0.0)]
_Count = Annotated[int, msgspec.Meta(ge=0)]


class LabelRule(
    msgspec.Struct,
    frozen=True,
    forbid_unknown_fields=True,
    omit_defaults=True,
):
    """Sets labels on the targets whose labels match a selector.

    Rules apply in the order of their names; a later one sees and overrides
    the labels that earlier ones set.
    """

    name: str
    match: str
    set: dict[str, str]


class Pool(
    msgspec.Struct,
    frozen=True,
    forbid_unknown_fields=True,
    omit_defaults=True,
):
    """Engines that answer completions under one ``model`` name.

    ``version`` pins a weight version, as a rollback does.  ``minimum_version``
    keeps engines below it out.  ``serving_share`` of the engines keeps serving
    while others load weights.
    """

    name: ids.PoolName
    selector: str
    priority: int = 0
    weight: _Positive = 1.0
    version: ids.WeightVersion | None = None
    minimum_version: ids.WeightVersion | None = None
    serving_share: _Share = 0.6
    adapters: tuple[str, ...] = ()


class Trainer(
    msgspec.Struct,
    frozen=True,
    forbid_unknown_fields=True,
    omit_defaults=True,
):
    """A trainer and the pool that generates its samples.

    ``staleness_bound`` is in weight versions.  ``idle_weight`` weighs idle
    time against staleness.  ``wasted_share`` bounds the tokens that second
    attempts may waste.
    """

    name: ids.TrainerName
    pool: ids.PoolName
    staleness_bound: _Count = 2
    weight: _Positive = 1.0
    idle_weight: _Share = 0.5
    priority: int = 0
    scoring: str | None = None
    score_required: bool = True
    wasted_share: _Share = 0.05
    owner: bool = True
    """Whether this trainer's versions are the ones that the pool loads."""


class Service(
    msgspec.Struct,
    frozen=True,
    forbid_unknown_fields=True,
    omit_defaults=True,
):
    """A plain service or scoring service."""

    name: ids.ServiceName
    selector: str
    non_idempotent_methods: tuple[str, ...] = ('POST', 'PATCH')
    timeout: _Positive = 30.0
    """Seconds."""


class Caller(
    msgspec.Struct,
    frozen=True,
    forbid_unknown_fields=True,
    omit_defaults=True,
):
    """A caller known by its bearer token.

    ``token_sha256`` is the hexadecimal digest of the token.  ``allow`` names
    pools, services and trainers; empty means all.
    """

    name: ids.CallerName
    token_sha256: Annotated[str, msgspec.Meta(pattern='^[0-9a-f]{64}$')]
    weight: _Positive = 1.0
    allow: tuple[str, ...] = ()
    operator: bool = False


class Limits(
    msgspec.Struct,
    frozen=True,
    forbid_unknown_fields=True,
    omit_defaults=True,
):
    """Limits that hold for the whole deployment."""

    name: str = 'default'
    queue_length: _Count = 512
    """Requests that may wait at one node for one pool or service."""
    retry_share: _Share = 0.1
    """Retries as a share of the traffic."""
    default_timeout: _Positive = 60.0
    """Seconds."""
    key_window: _Positive = 3600.0
    """Seconds for which an idempotency key is known."""


class Declarations(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True, dict=True
):
    """Everything that operators have declared."""

    labels: tuple[LabelRule, ...] = ()
    pools: tuple[Pool, ...] = ()
    trainers: tuple[Trainer, ...] = ()
    services: tuple[Service, ...] = ()
    callers: tuple[Caller, ...] = ()
    limits: tuple[Limits, ...] = ()

    @property
    def effective_limits(self) -> Limits:
        """The limits in force."""
        return self.limits[0] if self.limits else Limits()

    def find_pool(self, name: str) -> Pool | None:
        """Returns the pool called ``name``, or ``None``."""
        return self._pools.get(name)

    def find_trainer(self, name: str) -> Trainer | None:
        """Returns the trainer called ``name``, or ``None``."""
        return self._trainers.get(name)

    def find_service(self, name: str) -> Service | None:
        """Returns the service called ``name``, or ``None``."""
        return self._services.get(name)

    def find_caller(self, token_sha256: str) -> Caller | None:
        """Returns the caller whose token has this digest, or ``None``."""
        return self._callers.get(token_sha256)

    @functools.cached_property
    def _pools(self) -> dict[str, Pool]:
        return {row.name: row for row in self.pools}

    @functools.cached_property
    def _trainers(self) -> dict[str, Trainer]:
        return {row.name: row for row in self.trainers}

    @functools.cached_property
    def _services(self) -> dict[str, Service]:
        return {row.name: row for row in self.services}

    @functools.cached_property
    def _callers(self) -> dict[str, Caller]:
        return {row.token_sha256: row for row in self.callers}
