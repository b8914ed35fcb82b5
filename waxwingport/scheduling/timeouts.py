"""Timeouts of the runs of items at engines."""

from waxwingport.fleet import model as fleet

__all__ = ['choose_head_timeout', 'compute_silence_timeout']

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


def compute_silence_timeout(gap: float | None) -> float:
    """Returns the seconds without an event after which a stream is broken.

    ``gap`` is the usual time between two events at the engine, ``None`` if it
    is not known.

    Load pattern: an engine goes dark while it runs the longest items of a
    step.  Each tenth of a second until they resume elsewhere delays the step.
    """
    if gap is None:
        return _MAX_SILENCE_TIMEOUT_S
    return min(
        _MAX_SILENCE_TIMEOUT_S,
        max(_MIN_SILENCE_TIMEOUT_S, _SILENCE_GAPS * gap),
    )


def choose_head_timeout(target: fleet.Target, now: float) -> float:
    """Returns the seconds in which an engine has to start its response."""
    if target.compute_load(now) > target.entry.slots:
        return _QUEUED_HEAD_TIMEOUT_S
    if target.failures and not target.proven:
        return _SUSPECT_HEAD_TIMEOUT_S
    return _HEAD_TIMEOUT_S
