"""Registered targets and the state that this node keeps of each."""

import enum
import math
from typing import NewType

import msgspec

from waxwingport.fleet import limits
from waxwingport.fleet import pace as event_pace
from waxwingport.fleet import speed as learned_speed
from waxwingport import ids

__all__ = [
    'InstanceId',
    'LoadReport',
    'Origin',
    'Stage',
    'Target',
    'TargetEntry',
    'estimate_other_load',
]

InstanceId = NewType('InstanceId', str)
"""Key of a target's entry in the log; a restarted target may reuse it."""

_LOAD_FULL_AGE_S = 0.5
"""Age up to which a load report has its full weight: about the time of one
generation or a few calls."""
_LOAD_MAX_AGE_S = 2.0
"""Age from which a load report has no weight."""
_FIRST_PAUSE_S = 0.1
"""Time for which an engine that rejected a request for a model gets no more of
them; doubled with each rejection.  Loading weights takes about a second."""
_MAX_PAUSE_S = 0.4
"""Upper bound of that time."""
_LOAD_PAUSE_S = 0.7
"""Time without requests for a model that an engine is about to load.  A load
takes about a second; requests are rejected until it is complete."""


class Stage(enum.Enum):
    """Whether a target accepts new work."""

    DRAINING = 'draining'
    READY = 'ready'


class Origin(msgspec.Struct, frozen=True, array_like=True):
    """Service and software version of the target that began a text.

    Only targets of the same origin may go on with it.
    """

    service: ids.ServiceName
    software: ids.SoftwareVersion


class TargetEntry(msgspec.Struct, frozen=True):
    """The entry that a target registered."""

    instance: InstanceId
    service: ids.ServiceName
    address: str
    """``ip:port``."""
    data_centre: ids.DataCentre
    slots: int
    """Requests that the target can run at the same time."""
    stage: Stage
    started_at_ms: int | None
    """Start of this run of the target in milliseconds since 1970, if known."""
    versions: dict[str, ids.WeightVersion]
    """Weight version of each model that the target serves."""
    software: ids.SoftwareVersion = ids.SoftwareVersion('')
    """Version of the target's software."""


class LoadReport(msgspec.Struct, frozen=True):
    """Requests at a target when it answered, and this node's part of them."""

    working: int
    """Requests that ran or waited at the target."""
    own: int
    """Requests of this node at the target when the report arrived."""
    received_at: float
    """Time of the event loop's clock."""
    slowdown: float | None = None
    """Time that work takes there at present over the usual one, ``None`` if
    the target does not report it."""


def estimate_other_load(report: LoadReport | None, now: float) -> float:
    """Returns the expected requests of other nodes at a target at ``now``.

    The weight of the report decreases with its age, as the requests that it
    covers end.  Without a report the result is 0.
    """
    if report is None:
        return 0.0
    reported = max(0, report.working - report.own)
    age = now - report.received_at
    lost = (age - _LOAD_FULL_AGE_S) / (_LOAD_MAX_AGE_S - _LOAD_FULL_AGE_S)
    return reported * min(1.0, max(0.0, 1.0 - lost))


class ModelPause(msgspec.Struct, frozen=True):
    """A time in which an engine gets no requests for one model."""

    until: float
    """Time of the event loop's clock."""
    pause: float
    """Length of the pause in seconds."""


class Target(msgspec.Struct, eq=False, weakref=True):
    """A registered target and what this node has observed of it."""

    entry: TargetEntry
    running: int = 0
    """Requests of this node at the target."""
    load: LoadReport | None = None
    failures: int = 0
    """Consecutive failed requests."""
    avoided_until: float = float('-inf')
    """Loop time until which other targets are preferred."""
    slowness: float = 1.0
    """Moving average of the ratio of elapsed to expected time of a request."""
    removed_at: float | None = None
    """Loop time at which its entry was removed, ``None`` if it exists."""
    versions: dict[str, ids.WeightVersion] = {}
    """Newest version of each model in its entry, answers and reports."""
    paused_models: dict[str, ModelPause] = {}
    """Models whose requests it rejected, as it does while it loads them."""
    pace: event_pace.EventPace = msgspec.field(
        default_factory=event_pace.EventPace
    )
    """Time between two events of a generation there."""
    proven: bool = False
    """Whether it may take all of its slots.  It may not after it was added or
    broke off, until it answers."""
    leaving: bool = False
    """Whether nothing new may be sent to it until it starts anew: an answer
    said that it leaves, or it is no longer registered."""
    confirmed_at: float = float('-inf')
    """Loop time at which it was asked last whether it is the start that its
    entry tells of, and was."""
    outdated: bool = False
    """Whether it is a later start than its entry tells of, so that the
    version of its software is not known; calls don't depend on that."""
    speed: learned_speed.LearnedSpeed = msgspec.field(
        default_factory=learned_speed.LearnedSpeed
    )
    """Learned only from answers that report a slowdown."""
    limit: limits.RateLimit | None = None
    """Limit that its last answer named, ``None`` if it named none."""

    @property
    def origin(self) -> Origin:
        """Origin of the texts that begin here."""
        return Origin(self.entry.service, self.entry.software)

    @property
    def stage(self) -> Stage:
        """Whether it accepts new work, by its entry and its answers.

        The entry of a target that leaves may say ``ready`` for long, as while
        the log is unavailable.
        """
        return Stage.DRAINING if self.leaving else self.entry.stage

    def record_version(self, model: str, version: ids.WeightVersion) -> None:
        """Records a version that the target reported, if it is newer."""
        if version > self.versions.get(model, 0):
            self.versions[model] = version

    def pause_model(self, model: str, now: float) -> None:
        """Pauses a model after a request for it was rejected.

        Each pause is twice as long as the one before, up to a limit.  Does
        nothing during a pause.
        """
        previous = self.paused_models.get(model)
        if previous is not None and now < previous.until:
            return
        pause = 2 * previous.pause if previous else _FIRST_PAUSE_S
        pause = min(pause, _MAX_PAUSE_S)
        self.paused_models[model] = ModelPause(now + pause, pause)

    def expect_load(self, model: str, now: float) -> None:
        """Pauses a model that the engine is about to be ordered to load."""
        self.paused_models[model] = ModelPause(
            now + _LOAD_PAUSE_S, _FIRST_PAUSE_S
        )

    def probe_model(self, model: str, now: float) -> None:
        """Called when a request for a model is about to be sent.

        After a pause it is the only one until the engine accepts it or the
        pause has passed again.

        Load pattern: a step starts while a third of the engines load weights.
        Each free slot there would take an item and reject it.
        """
        previous = self.paused_models.get(model)
        if previous is not None:
            self.paused_models[model] = ModelPause(
                now + previous.pause, previous.pause
            )

    def resume_model(self, model: str) -> None:
        """Ends the pause of a model after a request for it was accepted."""
        self.paused_models.pop(model, None)

    def accepts_model(self, model: str, now: float) -> bool:
        """Returns whether the model is not paused at ``now``."""
        paused = self.paused_models.get(model)
        return paused is None or paused.until <= now

    def compute_load_age(self, now: float) -> float | None:
        """Returns the age of the load report in seconds, or ``None``."""
        if self.load is None:
            return None
        return round(now - self.load.received_at, 3)

    @property
    def reports_slowdown(self) -> bool:
        """Whether its last load report had the slowdown of its machine."""
        return self.load is not None and self.load.slowdown is not None

    def record_load(
        self, working: int, own: int, slowdown: float | None, now: float
    ) -> None:
        """Stores what an answer that arrived at ``now`` reports of the load.

        See ``LoadReport``.
        """
        if slowdown is not None:
            self.speed.record_report(slowdown, self._estimate_slowdown(now))
        self.load = LoadReport(working, own, now, slowdown)

    def _estimate_slowdown(self, now: float) -> float:
        """Returns the slowdown that is expected of the next report."""
        if self.load is None or self.load.slowdown is None:
            return self.speed.mean_slowdown
        age = now - self.load.received_at
        return self.speed.estimate_slowdown(self.load.slowdown, age, 0.0)

    def estimate_slowness(self, now: float, seconds: float = 0.0) -> float:
        """Returns the expected time of work there over the route's mean.

        ``seconds`` is the usual length of the work.  Without a reported
        slowdown it is what the last requests took, waits included.
        """
        if self.load is None or self.load.slowdown is None:
            return self.slowness
        age = now - self.load.received_at
        return self.speed.slowness * self.speed.estimate_slowdown(
            self.load.slowdown, age, seconds
        )

    def estimate_gap(self, now: float, events: float) -> float | None:
        """Returns the expected seconds between the next events of a text.

        ``events`` is how many it lacks.  Where the target reports its
        slowdown, a fresh report, or else the latest pace, counts for as long
        as a burst may last, and the pace of a longer time for the rest.
        Otherwise it is the latest pace.

        Load pattern: a burst slows a machine for half a second, while its
        texts take several.
        """
        gap = self.pace.seconds
        steady = self.pace.steady
        if gap is None or steady is None:
            return None
        if self.load is None or self.load.slowdown is None:
            return gap
        seconds = steady * events
        age = now - self.load.received_at
        if not learned_speed.compute_weight(age, 0.0):
            weight = learned_speed.compute_weight(0.0, seconds)
            return steady + weight * (gap - steady)
        slowdown = self.speed.estimate_slowdown(
            self.load.slowdown, age, seconds
        )
        return steady * slowdown / self.speed.mean_slowdown

    def count_turns(self, now: float) -> float:
        """Returns how many requests it takes from this node now."""
        return math.inf if self.limit is None else self.limit.count_turns(now)

    def compute_turn_wait(self, now: float) -> float:
        """Returns the seconds until it takes a request from this node."""
        return 0.0 if self.limit is None else self.limit.compute_wait(now)

    def compute_load(self, now: float) -> float:
        """Returns the expected requests of all nodes at the target."""
        return self.running + estimate_other_load(self.load, now)
