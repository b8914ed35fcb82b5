"""Declarations of operators: labels, pools, trainers, services, callers.

Each declaration is a TOML table.  Its kind and name form the key that
identifies it in the log.
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

    Rules apply in the order of their names.  A later rule sees the labels
    that earlier ones set and may override them.
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

    ``version`` pins a weight version, for example to roll back.  Engines
    below ``minimum_version`` get no requests.  ``serving_share`` is the share
    of the engines that keep serving while others load weights.
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

    ``staleness_bound`` is in weight versions.  ``idle_weight`` weighs the
    trainer's idle time against staleness: 1 considers idle time only, 0
    staleness only.  ``wasted_share`` is the maximum share of tokens that
    second attempts may waste.
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
    """Whether the pool loads the weight versions of this trainer."""


class Service(
    msgspec.Struct,
    frozen=True,
    forbid_unknown_fields=True,
    omit_defaults=True,
):
    """A plain service or a scoring service."""

    name: ids.ServiceName
    selector: str
    non_idempotent_methods: tuple[str, ...] = ('POST', 'PATCH')
    timeout: _Positive = 30.0
    """Timeout in seconds of a request that sets none."""


class Caller(
    msgspec.Struct,
    frozen=True,
    forbid_unknown_fields=True,
    omit_defaults=True,
):
    """A caller, identified by its bearer token.

    ``token_sha256`` is the hexadecimal digest of the token.  ``allow`` names
    the pools, services and trainers it may use; empty means all.
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
    """Limits that apply to the whole deployment."""

    name: str = 'default'
    queue_length: _Count = 512
    """Maximum requests queued at one node for one pool or service."""
    retry_share: _Share = 0.1
    """Maximum retries as a share of the traffic."""
    default_timeout: _Positive = 60.0
    """Timeout in seconds of a completion request that sets none."""
    key_window: _Positive = 3600.0
    """Seconds for which an idempotency key is remembered."""


class Declarations(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True, dict=True
):
    """A complete set of declarations."""

    labels: tuple[LabelRule, ...] = ()
    pools: tuple[Pool, ...] = ()
    trainers: tuple[Trainer, ...] = ()
    services: tuple[Service, ...] = ()
    callers: tuple[Caller, ...] = ()
    limits: tuple[Limits, ...] = ()

    @property
    def effective_limits(self) -> Limits:
        """The declared limits, or the defaults if none are declared."""
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
        return {pool.name: pool for pool in self.pools}

    @functools.cached_property
    def _trainers(self) -> dict[str, Trainer]:
        return {trainer.name: trainer for trainer in self.trainers}

    @functools.cached_property
    def _services(self) -> dict[str, Service]:
        return {service.name: service for service in self.services}

    @functools.cached_property
    def _callers(self) -> dict[str, Caller]:
        return {caller.token_sha256: caller for caller in self.callers}
