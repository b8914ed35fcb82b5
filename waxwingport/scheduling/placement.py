"""Choice of the engine for a waiting item, and moves between engines.

Engines are compared by an estimated cost in units of the time that a run takes
at the fastest of them.
"""

from collections.abc import Iterable
from collections.abc import Sequence
import random
import statistics

import msgspec

from waxwingport.fleet import model as fleet
from waxwingport import ids
from waxwingport.scheduling import order

__all__ = [
    'Placement',
    'PlacementSettings',
    'RunProgress',
    'describe_capacity',
    'find_accepting',
    'find_eligible',
]


_USUAL_EVENTS = 20.0
"""Events of a text of which nothing is known."""


class PlacementSettings(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True
):
    """Weights and thresholds of the placement of items."""

    cached_prompt_gain: float = 0.1
    """Cost saved by an engine that processed the shared prompt before.
    Engines process prompts some hundred times as fast as they generate text,
    so the cost of a prompt is small."""
    load_cost: float = 0.3
    """Extra cost of a full engine over an empty one: simultaneous runs slow
    each other down, and other nodes may choose the same free slots."""
    distance_cost: float = 0.02
    """Extra cost of an engine in another data centre."""
    max_jitter: float = 0.05
    """Upper bound of the random cost added to each engine, so that nodes that
    see the same loads do not all choose the same engine."""
    suspect_cost: float = 1.0
    """Extra cost of an engine that failed and has not answered since: its
    next run may be lost too, so the longest items go elsewhere while there
    are slots."""
    suspect_share: float = 0.0
    """Share of its slots that such an engine gets; one slot at least."""
    unproven_share: float = 0.5
    """Share of its slots that an added engine gets before its first answer.
    It may hold no weights yet, and all nodes notice it at the same time."""
    min_speedup: float = 1.25
    """Ratio of two engines' speeds from which on a move is considered.
    Smaller differences may come from the variation of the times between
    events."""
    move_cost: float = 0.25
    """Seconds that a move takes: connecting, getting a slot and processing
    the text so far."""
    burst_move_gain: float = 0.5
    """Least seconds that a move has to save while the machine of an engine is
    slowed in a burst that the engine reports.  Half a second is more than such
    a burst costs by itself: its rest lasts 0.3 s on average."""
    burst_ratio: float = 1.03
    """Ratio of the expected gap to the usual one from which on a burst is
    taken for the reason."""
    move_check_events: int = 5
    """Events between two decisions whether a run should move: a fifth of a
    second, which delays a move little and costs little processor time."""
    min_events_before_move: int = 10
    """Events that a run that resumed a text generates before it may move
    again.  A move delays the other runs at the engine that it reaches, which
    would make these move in turn."""
    probes_models: bool = True
    """Whether one run at a time tries an engine that rejected or loads a
    model.  Each free slot there would take a run and reject it."""


class RunProgress(msgspec.Struct, frozen=True):
    """How far the run of an item has come."""

    generated: int
    """Events that this run has generated."""
    resumed: bool
    """Whether an earlier run began the text."""
    remaining: float
    """Events that the text is expected to lack."""


def find_eligible(
    targets: Sequence[fleet.Target],
    model: str,
    minimum: ids.WeightVersion,
    now: float,
) -> list[fleet.Target]:
    """Returns the engines that may run an item, with or without a free slot.

    Leaves out engines whose known version is below ``minimum``, and those
    that are avoided or do not accept the model at the loop time ``now``.  An
    engine that has not said which version it has is left out as long as
    another one has that names no limit.

    Load pattern: the only engine that has answered items of a model names a
    limit, while others are free.
    """
    known = [target for target in targets if model in target.versions]
    if any(target.limit is None for target in known):
        targets = known
    return [
        target
        for target in targets
        if target.versions.get(model, minimum) >= minimum
        and target.avoided_until <= now
        and target.accepts_model(model, now)
    ]


def find_accepting(
    eligible: Iterable[fleet.Target], model: str, now: float
) -> list[fleet.Target]:
    """Returns the engines that accept the model at the loop time ``now``.

    A run that was started since ``find_eligible`` may probe one of them.
    """
    return [target for target in eligible if target.accepts_model(model, now)]


def describe_capacity(
    engines: Sequence[fleet.Target], now: float
) -> order.Capacity:
    """Returns what the engines can do together."""
    gaps = [
        gap
        for engine in engines
        if (gap := engine.estimate_gap(now, _USUAL_EVENTS))
    ]
    return order.Capacity(
        statistics.fmean(gaps) if gaps else None,
        sum(engine.entry.slots for engine in engines),
    )


class Placement:
    """Chooses engines for the items that one node runs."""

    def __init__(
        self,
        local_data_centre: ids.DataCentre,
        rng: random.Random,
        settings: PlacementSettings | None = None,
    ) -> None:
        self._local_data_centre = local_data_centre
        self._rng = rng
        self._settings = settings or PlacementSettings()

    def count_free_slots(self, target: fleet.Target, now: float) -> int:
        """Returns the estimated free slots, negative when overloaded.

        At an engine with a limit there are no more than this node's turns.

        An engine that was added and has not answered yet has half of its
        slots, one that failed and has not answered since has one.

        Load pattern: an engine goes dark with all of its slots taken.  It
        then looks idle, so that each run that is resumed would be sent to it
        again.
        """
        free = int(target.entry.slots - target.compute_load(now) + 0.5)
        free = int(min(free, target.count_turns(now)))
        if target.proven:
            return free
        share = (
            self._settings.suspect_share
            if target.failures
            else self._settings.unproven_share
        )
        usable = max(1, int(target.entry.slots * share))
        return min(free, usable - target.running)

    def choose_engine(
        self,
        eligible: Iterable[fleet.Target],
        engines_with_prompt: frozenset[fleet.InstanceId],
        now: float,
        remaining: float = _USUAL_EVENTS,
    ) -> fleet.Target | None:
        """Returns the cheapest engine with a free slot, ``None`` if none has.

        ``remaining`` is the number of events that the text is expected to
        lack.

        ``engines_with_prompt`` names the engines that processed the prompt of
        the item's group before.  The choice matters when groups of items that
        share most of their prompt start at the same time on engines of
        different speed.
        """
        free = [
            target
            for target in eligible
            if self.count_free_slots(target, now) >= 1
        ]
        gaps = {
            target.entry.instance: target.estimate_gap(now, remaining)
            for target in free
        }
        smallest_gap = min(filter(None, gaps.values()), default=1.0)

        def estimate(target: fleet.Target) -> float:
            cached = target.entry.instance in engines_with_prompt
            gap = gaps[target.entry.instance] or smallest_gap
            return self._estimate_cost(target, gap / smallest_gap, cached, now)

        return min(free, key=estimate, default=None)

    def record_start(
        self, target: fleet.Target, model: str, now: float
    ) -> None:
        """Records that a run for a model starts at an engine.

        It uses up a turn at an engine with a limit.
        """
        if target.limit is not None:
            target.limit.reserve(now)
        if self._settings.probes_models:
            target.probe_model(model, now)

    def checks_move(self, event_count: int) -> bool:
        """Returns whether ``should_move`` is asked at this event of a text."""
        return event_count % self._settings.move_check_events == 0

    def should_move(
        self,
        target: fleet.Target,
        eligible: Iterable[fleet.Target],
        progress: RunProgress,
        now: float,
    ) -> bool:
        """Returns whether a run should be moved to another engine.

        Load pattern: an engine becomes slow while it runs the longest items
        of a step, which delay the whole step.
        """
        settings = self._settings
        gap = target.estimate_gap(now, progress.remaining)
        if gap is None or progress.remaining * gap <= settings.move_cost:
            return False
        if (
            progress.resumed
            and progress.generated < settings.min_events_before_move
        ):
            return False
        others = [
            other_gap
            for other in eligible
            if other is not target
            and (other_gap := other.estimate_gap(now, progress.remaining))
            is not None
            and self.count_free_slots(other, now) >= 1
        ]
        if not others or gap < settings.min_speedup * min(others):
            return False
        gain = progress.remaining * (gap - min(others))
        steady = target.pace.steady or gap
        if target.reports_slowdown and gap > settings.burst_ratio * steady:
            return gain > settings.burst_move_gain
        return gain > settings.move_cost

    def _estimate_cost(
        self,
        target: fleet.Target,
        slowness: float,
        cached: bool,
        now: float,
    ) -> float:
        settings = self._settings
        load = target.compute_load(now) / target.entry.slots
        remote = target.entry.data_centre != self._local_data_centre
        suspect = target.failures and not target.proven
        return (
            slowness
            + settings.load_cost * load
            + (settings.distance_cost if remote else 0.0)
            + (settings.suspect_cost if suspect else 0.0)
            - (settings.cached_prompt_gain if cached else 0.0)
            + self._rng.uniform(0.0, settings.max_jitter)
        )
