"""Which requests crash targets, as pure functions.

A target that crashes ends all requests that it runs, so that one crash does
not tell its cause.  A request that is there again and again is its likely
cause; one that was answered since is not, as a request that crashes targets
crashes each one that begins to run it.

Load pattern: a request that crashes each target comes again every few hundred
milliseconds at any node, among others that are answered, while targets end for
other reasons too.
"""

import collections
from collections.abc import Collection
from collections.abc import Iterable
from collections.abc import Mapping
from typing import NewType

import msgspec

from waxwingport import ids

__all__ = [
    'ANSWER_VALIDITY_S',
    'Crash',
    'Suspicion',
    'TargetStart',
    'find_suspicions',
]

TargetStart = NewType('TargetStart', str)
"""One run of a target, from its start to its end."""

ANSWER_VALIDITY_S = 10.0
"""Time after an answer in which a crash says nothing against a request: one
that is sent often is at several targets when they end together."""
_MIN_CRASHES = 3
"""Crashes after which a request is stopped if nothing else explains them: as
many as the users accept."""
_MAX_CRASHES = 5
"""Crashes after which it is stopped in any case: the users accept three
retries more than that of a request that is sent to one target at a time."""
_NEARBY_S = 10.0
"""Time around a request's crashes in which other ones count: several times
that of a rack's loss or between two stops of a rolling restart."""
_FIRST_STOP_S = 120.0
"""Time for which a request is stopped after its last crash: no longer than
callers would wait for one that was stopped wrongly."""
_STOP_GROWTH = 5.0
"""Factor of that time for each further crash: a request that still crashes
targets ends three of them in an hour."""
_MAX_STOP_S = 3600.0


class Crash(msgspec.Struct, frozen=True):
    """A target that ended, and the requests that may have caused it."""

    at: float
    """Seconds since 1970."""
    candidates: Collection[ids.RequestDigest]
    """Requests that it ended and that were not answered since."""


class Suspicion(msgspec.Struct, frozen=True):
    """How far a request is held responsible for crashes."""

    crashes: int
    """Crashes that ended it."""
    credit: float
    """Crashes that it explains better than others; equal ones share them."""
    unexplained: int
    """Crashes at the same time for which no request is a likely cause."""
    last_at: float
    """Time of the last of its crashes in seconds since 1970."""

    @property
    def required(self) -> int:
        """Crashes after which the request is stopped.

        Where targets end for other reasons, chance alone may put a request
        at several of them.
        """
        return max(_MIN_CRASHES, min(_MAX_CRASHES, self.unexplained + 1))

    @property
    def stop_time(self) -> float:
        """Seconds for which it is stopped after its last crash, or 0."""
        if self.credit < self.required:
            return 0.0
        growth = _STOP_GROWTH ** (self.crashes - _MIN_CRASHES)
        return min(_MAX_STOP_S, _FIRST_STOP_S * growth)

    def compute_remaining(self, now: float) -> float:
        """Returns the seconds for which it is still stopped at ``now``."""
        stop_time = self.stop_time
        if not stop_time:
            return 0.0
        return max(0.0, self.last_at + stop_time - now)


def find_suspicions(
    crashes: Mapping[TargetStart, Crash],
) -> dict[ids.RequestDigest, Suspicion]:
    """Returns what each request that was at a crash is held responsible for.

    The likely cause of a crash is the candidate that was at most crashes, if
    it was at two or more.
    """
    counts = collections.Counter(
        candidate
        for crash in crashes.values()
        for candidate in crash.candidates
    )
    credits: collections.defaultdict[ids.RequestDigest, float] = (
        collections.defaultdict(float)
    )
    unexplained: list[float] = []
    for crash in crashes.values():
        causes = _find_causes(crash, counts)
        for cause in causes:
            credits[cause] += 1.0 / len(causes)
        if not causes:
            unexplained.append(crash.at)
    times = _group_times(crashes.values())
    return {
        candidate: Suspicion(
            count,
            credits[candidate],
            _count_nearby(times[candidate], unexplained),
            max(times[candidate]),
        )
        for candidate, count in counts.items()
    }


def _find_causes(
    crash: Crash, counts: Mapping[ids.RequestDigest, int]
) -> list[ids.RequestDigest]:
    most = max((counts[name] for name in crash.candidates), default=0)
    if most < 2:
        return []
    return [name for name in crash.candidates if counts[name] == most]


def _group_times(
    crashes: Iterable[Crash],
) -> dict[ids.RequestDigest, list[float]]:
    times: dict[ids.RequestDigest, list[float]] = {}
    for crash in crashes:
        for candidate in crash.candidates:
            times.setdefault(candidate, []).append(crash.at)
    return times


def _count_nearby(times: Iterable[float], others: Iterable[float]) -> int:
    own = list(times)
    return sum(
        any(abs(other - at) <= _NEARBY_S for at in own) for other in others
    )
