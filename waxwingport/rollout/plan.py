"""Plans which engines load which version next."""

from collections.abc import Callable
from collections.abc import Mapping
from collections.abc import Sequence
import enum

import msgspec

from waxwingport.fleet import model as fleet
from waxwingport import ids

__all__ = ['Engine', 'Load', 'Requirement', 'Urgency', 'plan_loads']

_MAX_LOADING_SHARE = 0.4
"""Share of the engines that may load at once: up to about two fifths of them,
the platform's weight store serves each at its full rate."""


class Urgency(enum.IntEnum):
    """Why an engine should load; the lower value goes first."""

    UNUSABLE = 0
    """Its version is too old for the current or next steps."""
    TURN = 1
    """It loads ahead of need, so that not all load at the next version."""


class Engine(msgspec.Struct, frozen=True):
    """Properties of an engine that the plan depends on."""

    instance: fleet.InstanceId
    versions: Mapping[str, ids.WeightVersion]
    """Loaded version of each model."""
    load: float
    """Requests at the engine."""


class Requirement(msgspec.Struct, frozen=True):
    """What the trainer of a model requires."""

    newest: ids.WeightVersion
    staleness_bound: int
    """Versions by which a text may be older than ``newest``."""
    single_version: bool = False
    """Whether a text has to come from one version, so that no run may continue
    across a load."""


class Load(msgspec.Struct, frozen=True):
    """A load that an engine should be ordered."""

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

    ``loading`` is the number of engines that load already; they count towards
    the bound of engines that load at once.

    With a staleness bound of one version, half of the engines load at each
    version and the others at the next.  The half that is one version behind
    serves while the other half loads, and an engine loads every second
    version only.

    This matters because a step is requested as soon as its version is
    published: if all engines loaded together, none could start it.
    """
    queues = {
        name: _plan_model(engines, name, requirement)
        for name, requirement in requirements.items()
    }
    usable = {
        name: _count_usable(engines, name, requirement)
        for name, requirement in requirements.items()
    }
    max_new_loads = max(1, int(_MAX_LOADING_SHARE * len(engines))) - loading
    loads: list[Load] = []
    planned: set[fleet.InstanceId] = set()
    while len(loads) < max_new_loads:
        candidates = [queue[0] for queue in queues.values() if queue]
        if not candidates:
            break
        # Among equal urgencies, the model with the fewest usable engines is
        # first.
        load = min(
            candidates, key=lambda head: (head.urgency, usable[head.model])
        )
        queues[load.model].pop(0)
        if load.instance in planned:
            continue
        planned.add(load.instance)
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
        (stale for stale in behind if stale.versions[name] < oldest_usable),
        key=_by_age_and_load(name),
    )
    loads = [
        Load(
            stale.instance,
            name,
            requirement.newest,
            Urgency.UNUSABLE,
            requirement.single_version,
        )
        for stale in unusable
    ]
    serving = len(engines) - len(behind)
    missing = (
        len(engines) // (requirement.staleness_bound + 1)
        - serving
        - len(unusable)
    )
    spare = sorted(
        (stale for stale in behind if stale not in unusable),
        key=_by_age_and_load(name),
    )
    loads += [
        Load(
            stale.instance,
            name,
            requirement.newest,
            Urgency.TURN,
            requirement.single_version,
        )
        for stale in spare[: max(0, missing)]
    ]
    return loads


def _by_age_and_load(
    name: str,
) -> Callable[[Engine], tuple[ids.WeightVersion, float, str]]:
    return lambda stale: (stale.versions[name], stale.load, stale.instance)
