"""Pure plan: which engines load which version next."""

from collections.abc import Callable
from collections.abc import Mapping
from collections.abc import Sequence
import enum

import msgspec

from waxwingport.fleet import model as fleet
from waxwingport import ids

__all__ = ['Engine', 'Load', 'Requirement', 'Urgency', 'plan_loads']

_LOADING_SHARE = 0.4
"""Part of the engines that load at the same time: the platform's weight
store gives each its full rate up to about two fifths of them."""


class Urgency(enum.IntEnum):
    """Why an engine loads now; the lower goes first."""

    UNUSABLE = 0
    """It is too old for the steps that are open or come next."""
    TURN = 1
    """Its turn, so that not all engines load at the next version."""


class Engine(msgspec.Struct, frozen=True):
    """What the plan has to know of an engine."""

    instance: fleet.InstanceId
    versions: Mapping[str, ids.WeightVersion]
    load: float
    """Requests there."""


class Requirement(msgspec.Struct, frozen=True):
    """What the trainer of a model wants."""

    newest: ids.WeightVersion
    staleness_bound: int
    """Versions by which a text may be older than the newest one."""
    single_version: bool = False
    """Whether a text has to come from one version, so that no run may go on
    through a load."""


class Load(msgspec.Struct, frozen=True):
    """An engine that should load."""

    instance: fleet.InstanceId
    model: str
    version: ids.WeightVersion
    urgency: Urgency
    single_version: bool


def plan_loads(
    engines: Sequence[Engine],
    requirements: Mapping[str, Requirement],
    loading: int,
) -> list[Load]:
    """Returns the loads to order now, the most urgent first.

    ``loading`` engines load already and count towards the bound.

    With a lag of one version, half of the engines load at each version and
    the others at the next: the half that is one version behind serves while
    the other loads, and each engine loads every second version only.

    Load pattern: a step is asked for as soon as its version is published, so
    that engines that load together leave nobody to start it.
    """
    queues = {
        name: _plan_model(engines, name, requirement)
        for name, requirement in requirements.items()
    }
    usable = {
        name: _count_usable(engines, name, requirement)
        for name, requirement in requirements.items()
    }
    room = max(1, int(_LOADING_SHARE * len(engines))) - loading
    loads: list[Load] = []
    taken: set[fleet.InstanceId] = set()
    while len(loads) < room:
        heads = [queue[0] for queue in queues.values() if queue]
        if not heads:
            break
        # The model with the fewest engines that can serve it goes first.
        load = min(heads, key=lambda row: (row.urgency, usable[row.model]))
        queues[load.model].pop(0)
        if load.instance in taken:
            continue
        taken.add(load.instance)
        usable[load.model] += load.urgency is Urgency.UNUSABLE
        loads.append(load)
    return loads


def _count_usable(
    engines: Sequence[Engine], name: str, requirement: Requirement
) -> int:
    oldest = requirement.newest - requirement.staleness_bound
    return sum(
        engine.versions.get(name, requirement.newest) >= oldest
        for engine in engines
    )


def _plan_model(
    engines: Sequence[Engine], name: str, requirement: Requirement
) -> list[Load]:
    behind = [
        engine
        for engine in engines
        if engine.versions.get(name, requirement.newest) < requirement.newest
    ]
    oldest_usable = requirement.newest - requirement.staleness_bound
    unusable = sorted(
        (row for row in behind if row.versions[name] < oldest_usable),
        key=_by_age_and_load(name),
    )
    loads = [
        Load(
            row.instance,
            name,
            requirement.newest,
            Urgency.UNUSABLE,
            requirement.single_version,
        )
        for row in unusable
    ]
    serving = len(engines) - len(behind)
    missing = (
        len(engines) // (requirement.staleness_bound + 1)
        - serving
        - len(unusable)
    )
    spare = sorted(
        (row for row in behind if row not in unusable),
        key=_by_age_and_load(name),
    )
    loads += [
        Load(
            row.instance,
            name,
            requirement.newest,
            Urgency.TURN,
            requirement.single_version,
        )
        for row in spare[: max(0, missing)]
    ]
    return loads


def _by_age_and_load(
    name: str,
) -> Callable[[Engine], tuple[ids.WeightVersion, float, str]]:
    return lambda row: (row.versions[name], row.load, row.instance)
