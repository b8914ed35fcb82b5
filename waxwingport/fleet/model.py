"""What a target says of itself, and what this node knows of it."""

import enum
from typing import NewType

import msgspec

from waxwingport import ids

__all__ = [
    'InstanceId',
    'LoadReport',
    'Stage',
    'Target',
    'TargetEntry',
    'estimate_other_load',
]

InstanceId = NewType('InstanceId', str)

_LOAD_FULL_AGE = 0.5
"""Seconds for which a load report is believed whole: about the time of one
generation or a few calls."""
_LOAD_GONE_AGE = 2.0
"""Seconds after which it says nothing."""
_FIRST_CLOSURE = 0.1
"""Seconds for which a model that an engine did not take goes elsewhere,
doubled each time: a load of weights takes about a second."""
_LONGEST_CLOSURE = 0.4
"""Seconds."""


class Stage(enum.Enum):
    """Whether a target takes new work."""

    DRAINING = 'draining'
    READY = 'ready'


class TargetEntry(msgspec.Struct, frozen=True):
    """A target as it registered."""

    instance: InstanceId
    service: ids.ServiceName
    address: str
    """``ip:port``."""
    data_centre: ids.DataCentre
    slots: int
    """Requests that it works on at the same time."""
    stage: Stage
    started_at_ms: int | None
    """Start of this incarnation in milliseconds since 1970, if told."""
    versions: dict[str, ids.WeightVersion]
    """Version of the weights of each model that it serves."""


_PACE_SMOOTHING = 0.04
"""Weight of the latest gap between events: about 25 events decide, which
eight runs at an engine make in an eighth of a second."""


_PACE_GAPS = 15
"""Gaps before a pace is believed: the first ones hold the reading of prompts
and events that come together."""


class LoadReport(msgspec.Struct, frozen=True):
    """Work at a target when it answered, and this node's part of it."""

    working: int
    """Requests that ran or waited there."""
    own: int
    """Requests of this node there when the report came."""
    received_at: float
    """Loop's time."""


def estimate_other_load(report: LoadReport | None, now: float) -> float:
    """Returns the work of other nodes that a report lets expect at ``now``.

    The report loses weight with its age, as the work that it saw ends.
    """
    if report is None:
        return 0.0
    seen = max(0, report.working - report.own)
    age = now - report.received_at
    faded = (age - _LOAD_FULL_AGE) / (_LOAD_GONE_AGE - _LOAD_FULL_AGE)
    return seen * min(1.0, max(0.0, 1.0 - faded))


class ModelPause(msgspec.Struct, frozen=True):
    """A model whose requests an engine turned away."""

    until: float
    """Loop's time."""
    pause: float
    """Seconds."""


class Target(msgspec.Struct, eq=False):
    """A registered target and what this node has seen of it."""

    entry: TargetEntry
    running: int = 0
    """Requests of this node there."""
    load: LoadReport | None = None
    failures: int = 0
    """Failed requests in a row."""
    avoided_until: float = float('-inf')
    """Loop's time before which other targets go first."""
    slowness: float = 1.0
    """Its time over the usual time for the same work; mean, fading."""
    removed_at: float | None = None
    """Loop's time at which its entry went away, if it did."""
    versions: dict[str, ids.WeightVersion] = {}
    """Newest version seen of each model, by entry, answer or report."""
    paused_models: dict[str, ModelPause] = {}
    """Models that it turned away lately, as it does while it loads them."""
    gaps: int = 0
    """Times between events that were noted."""
    mean_gap: float = 0.0
    """Seconds between two events of a generation there; mean, fading."""

    def record_version(self, model: str, version: ids.WeightVersion) -> None:
        """Takes a version that the target named for a model."""
        if version > self.versions.get(model, 0):
            self.versions[model] = version

    def pause_model(self, model: str, now: float) -> None:
        """Takes that a request for a model was turned away."""
        last = self.paused_models.get(model)
        if last is not None and now < last.until:
            return
        pause = 2 * last.pause if last else _FIRST_CLOSURE
        pause = min(pause, _LONGEST_CLOSURE)
        self.paused_models[model] = ModelPause(now + pause, pause)

    def resume_model(self, model: str) -> None:
        """Takes that a request for a model was accepted."""
        self.paused_models.pop(model, None)

    def accepts_model(self, model: str, now: float) -> bool:
        """Returns whether a request for a model is worth a try."""
        closure = self.paused_models.get(model)
        return closure is None or closure.until <= now

    def record_event_gap(self, gap: float) -> None:
        """Takes the time between two events of a generation."""
        self.gaps += 1
        weight = max(_PACE_SMOOTHING, 1.0 / self.gaps)
        self.mean_gap += weight * (gap - self.mean_gap)

    @property
    def event_gap(self) -> float | None:
        """Seconds between two events there, once enough were seen."""
        return self.mean_gap if self.gaps >= _PACE_GAPS else None

    def compute_load_age(self, now: float) -> float | None:
        """Returns the age of the load report in seconds, if there is one."""
        if self.load is None:
            return None
        return round(now - self.load.received_at, 3)

    def compute_load(self, now: float) -> float:
        """Returns the requests expected there, of all nodes."""
        return self.running + estimate_other_load(self.load, now)
