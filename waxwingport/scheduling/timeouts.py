"""Timeouts of the runs of items at engines."""

from waxwingport.fleet import model as fleet

__all__ = [
    'choose_head_timeout',
    'compute_event_timeout',
    'compute_silence_timeout',
]

_MIN_EVENT_TIMEOUT_S = 1.5
"""Least time without an event after which a caller's stream is resumed at
another target: callers close their connections after two seconds or more."""
_EVENT_TIMEOUT_RATIO = 3.0
"""That time as a multiple of the route's target time; callers wait for four
times as long."""
_SILENT_RUNS_AT_ONCE = 2
"""Runs of an item that may fall silent in one incident, as at two engines that
go dark, without longer timeouts for the next."""
_MAX_DOUBLINGS = 4
"""Bound of the doublings of a timeout: then it is sixteen times as long."""

_HEAD_TIMEOUT_S = 1.5
"""Time within which an engine with a free slot has to start its response;
after this the response counts as lost."""
_SUSPECT_HEAD_TIMEOUT_S = 0.6
"""The same for an engine that failed and has not answered since; engines with
a free slot usually answer in a tenth of it."""
_QUEUED_HEAD_TIMEOUT_S = 4.0
"""Time within which an engine without a free slot has to start its response;
the run may wait there for requests of other nodes."""
_MAX_SILENCE_TIMEOUT_S = 1.2
"""Longest time between two pieces of a stream before it counts as broken: ten
times the longest pause between events that trainers allow."""
_MIN_SILENCE_TIMEOUT_S = 0.5
"""Shortest such time, whatever the engine's pace: longer than the pauses while
an engine processes the prompts of several new runs."""
_SILENCE_GAPS = 12
"""Gaps between events after which a stream counts as broken.  An engine that
turns slow has up to six times its usual gap."""


def compute_silence_timeout(gap: float | None, silent_runs: int = 0) -> float:
    """Returns the seconds without an event after which a stream is broken.

    ``gap`` is the usual time between two events at the engine, ``None`` if it
    is not known.  The time doubles with each of the item's ``silent_runs``,
    the first ones excepted.

    Load pattern: an engine goes dark while it runs the longest items of a
    step.  Each tenth of a second until they resume elsewhere delays the step.
    """
    factor = _compute_patience(silent_runs)
    if gap is None:
        return factor * _MAX_SILENCE_TIMEOUT_S
    return factor * min(
        _MAX_SILENCE_TIMEOUT_S,
        max(_MIN_SILENCE_TIMEOUT_S, _SILENCE_GAPS * gap),
    )


def _compute_patience(silent_runs: int) -> int:
    """Returns the factor of a timeout after an item's silent runs.

    Load pattern: all engines are sound and slow.  With fixed timeouts an item
    would run at one after the other and finish at none.
    """
    doublings = max(0, silent_runs - _SILENT_RUNS_AT_ONCE)
    return 2 ** min(doublings, _MAX_DOUBLINGS)


def compute_event_timeout(target_time: float, silent_runs: int) -> float:
    """Returns the seconds without an event after which a stream moves on.

    ``target_time`` is that of the route.  The time doubles with each of the
    ``silent_runs`` that were ended for that reason.

    Load pattern: all engines are sound and slow.  With a fixed time each
    stream would go from one to the next and end at none.
    """
    usual = max(_MIN_EVENT_TIMEOUT_S, _EVENT_TIMEOUT_RATIO * target_time)
    return usual * 2 ** min(silent_runs, _MAX_DOUBLINGS)


def choose_head_timeout(
    target: fleet.Target, now: float, silent_runs: int = 0
) -> float:
    """Returns the seconds in which an engine has to start its response.

    The time doubles with each of the item's ``silent_runs``, the first ones
    excepted.
    """
    factor = _compute_patience(silent_runs)
    if target.compute_load(now) > target.entry.slots:
        return factor * _QUEUED_HEAD_TIMEOUT_S
    if target.failures and not target.proven:
        return factor * _SUSPECT_HEAD_TIMEOUT_S
    return factor * _HEAD_TIMEOUT_S
