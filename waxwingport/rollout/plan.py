"""Pure plan: which engines load which version next."""

from collections.abc import Mapping
from collections.abc import Sequence
import enum

import msgspec

from waxwingport.fleet import model as fleet
from waxwingport import ids

__all__ = ['Engine', 'Load', 'Need', 'Urgency', 'plan_loads']


class Urgency(enum.IntEnum):
    """Why an engine loads now; the lower goes first."""

    UNUSABLE = 0
    """It is too old for the steps that are open or come next."""
    TURN = 1
    """Its turn, so that not all engines load at the next version."""


class Engine(msgspec.Struct, frozen=True):
    """What the plan needs to know of an engine."""

    instance: fleet.InstanceId
    versions: Mapping[str, ids.WeightVersion]
    load: float
    """Requests there."""


class Need(msgspec.Struct, frozen=True):
    """What the trainer of a model wants."""

    newest: ids.WeightVersion
    lag: int
    """Versions by which a text may be older than the newest one."""


class Load(msgspec.Struct, frozen=True):
    """An engine that should load."""

    instance: fleet.InstanceId
    model: str
    version: ids.WeightVersion
    urgency: Urgency


def plan_loads(
    engines: Sequence[Engine], needs: Mapping[str, Need]
) -> list[Load]:
    """Returns the loads to order, the most urgent first.

    With a lag of one version, half of the engines load at each version and
    the others at the next: the half that is one version behind serves while
    the other loads, and each engine loads every second version only.

    Load pattern: a step is asked for as soon as its version is published, so
    that engines that load together leave nobody to start it.
    """
    loads = [
        load
        for name, need in needs.items()
        for load in _plan_model(engines, name, need)
    ]
    return sorted(loads, key=lambda load: load.urgency)


def _plan_model(
    engines: Sequence[Engine], name: str, need: Need
) -> list[Load]:
    behind = [
        engine
        for engine in engines
        if engine.versions.get(name, need.newest) < need.newest
    ]
    oldest_usable = need.newest - need.lag
    unusable = [row for row in behind if row.versions[name] < oldest_usable]
    loads = [
        Load(row.instance, name, need.newest, Urgency.UNUSABLE)
        for row in unusable
    ]
    serving = len(engines) - len(behind)
    missing = len(engines) // (need.lag + 1) - serving - len(unusable)
    spare = sorted(
        (row for row in behind if row not in unusable),
        key=lambda row: (row.versions[name], row.load, row.instance),
    )
    loads += [
        Load(row.instance, name, need.newest, Urgency.TURN)
        for row in spare[: max(0, missing)]
    ]
    return loads
