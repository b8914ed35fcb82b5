"""Which requests crash targets, as pure functions.

A target that crashes ends all requests that it runs, so that one crash does
not tell its cause.  A request that is there again and again is its likely
cause; one that was answered since is not, as a request that crashes targets
crashes each one that begins to run it.

Load pattern: a request that crashes each target comes again every few hundred
milliseconds at any node, among others that are answered, while targets end for
other reasons too.
"""

import bisect
from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence
import heapq
import statistics
from typing import NewType

import msgspec

from waxwingport import ids

__all__ = [
    'ANSWER_VALIDITY_S',
    'MAX_CRASHES_PER_TRY',
    'Crash',
    'Presence',
    'Suspicion',
    'TargetStart',
    'find_suspicions',
    'make_placement_key',
]

TargetStart = NewType('TargetStart', str)
"""One run of a target, from its start to its end."""

ANSWER_VALIDITY_S = 10.0
"""Time after an answer in which a crash says nothing against a request: one
that is sent often is at several targets when they end together."""
MAX_CRASHES_PER_TRY = 2
"""Targets that may crash under one try of a caller.  The next try is the third
crash, after which all nodes know whether the request is the cause."""
_MIN_CRASHES = 3
"""Crashes after which a request is stopped if nothing else explains them: as
many as the users accept."""
_MAX_CRASHES = 5
"""Crashes after which it is stopped in any case: the users accept three
retries after the third crash, and one try of a suspect is sent at a time."""
_KILLS_PER_CRASH = 2
"""Unexplained crashes nearby that ask for one more: chance puts a request at
some of the targets that end, and seldom at all of them."""
_NEARBY_S = 10.0
"""Time around a request's crashes in which other ones count: several times
that of a rack's loss or between two stops of a rolling restart."""
_FIRST_STOP_S = 120.0
"""Time for which a request is stopped first.  It bounds the harm to one that
was stopped wrongly."""
_STOP_GROWTH = 5.0
"""Factor of that time for each further crash: a request that still crashes
targets ends three of them in an hour."""
_MAX_STOP_S = 3600.0


class Presence(msgspec.Struct, frozen=True, array_like=True):
    """The runs of a request that a crash ended."""

    longest: float
    """Seconds since the first of them was sent."""
    shortest: float
    """Seconds since the last of them was sent."""

    def include(self, other: 'Presence') -> 'Presence':
        """Returns the presence of both together."""
        return Presence(
            max(self.longest, other.longest),
            min(self.shortest, other.shortest),
        )


class Crash(msgspec.Struct, frozen=True):
    """A target that ended, and the requests that may have caused it."""

    at: float
    """Seconds since 1970."""
    candidates: Mapping[ids.RequestDigest, Presence]
    """Requests that it ended and that were not answered since."""
    settled: bool = True
    """Whether answers to them at other nodes would be known by now."""


class Suspicion(msgspec.Struct, frozen=True):
    """How far a request is held responsible for crashes."""

    crashes: int
    """Crashes that ended it."""
    credit: int
    """Those of them that followed each other and that no other request
    explains better."""
    unexplained: int
    """Crashes within 10 s of them for which no request is a likely cause."""
    last_at: float
    """Time of the last of its crashes in seconds since 1970."""
    unsettled: int = 0
    """Crashes in ``credit`` that are not settled."""

    @property
    def required(self) -> int:
        """Crashes after which the request is stopped.

        Where targets end for other reasons, chance alone may put a request
        at several of them, and more often while answers to it are not known.
        """
        if not self.unexplained:
            return _MIN_CRASHES
        chance = self.unexplained // _KILLS_PER_CRASH + self.unsettled
        return min(_MAX_CRASHES, _MIN_CRASHES + chance)

    @property
    def needs_claim(self) -> bool:
        """Whether one try of the request is sent at a time over all nodes.

        Before, further tries bring the verdict sooner than they do harm.
        """
        return self.crashes >= _MIN_CRASHES

    @property
    def stop_time(self) -> float:
        """Seconds for which it is stopped after its last crash, or 0."""
        if self.credit < self.required:
            return 0.0
        growth = _STOP_GROWTH ** (self.credit - self.required)
        return min(_MAX_STOP_S, _FIRST_STOP_S * growth)

    def compute_remaining(self, now: float) -> float:
        """Returns the seconds for which it is still stopped at ``now``."""
        stop_time = self.stop_time
        if not stop_time:
            return 0.0
        return max(0.0, self.last_at + stop_time - now)


class _Evidence(msgspec.Struct, eq=False):
    """What speaks for a request as the cause of crashes."""

    credited: set[TargetStart]
    """Crashes where a run of it began after its crash before."""
    certain: set[TargetStart]
    """Crashes where all of its runs did."""
    age: float
    """Mean seconds for which it was there at its crashes."""

    @property
    def rank(self) -> tuple[int, float]:
        """Of two requests the likelier cause has the lower one.

        Of equals it is the one that was there for the shortest time, as it
        crashes each target that begins to run it.  One that is sent often has
        begun many runs that crashed nothing.
        """
        return -len(self.certain), self.age


def find_suspicions(
    crashes: Mapping[TargetStart, Crash],
) -> dict[ids.RequestDigest, Suspicion]:
    """Returns what each request that was at a crash is held responsible for.

    The request that was at most crashes explains them all, the next one is
    judged by the crashes that remain, and so on: as few requests as possible
    are stopped.  One that was stopped for the crashes of another is free
    again as soon as that one has crashed a target without it.
    """
    starts: dict[ids.RequestDigest, set[TargetStart]] = {}
    for start, crash in crashes.items():
        for candidate in crash.candidates:
            starts.setdefault(candidate, set()).add(start)
    unexplained = sorted(
        crash.at
        for crash in crashes.values()
        if all(len(starts[name]) < 2 for name in crash.candidates)
    )
    found: dict[ids.RequestDigest, Suspicion] = {}
    likely: dict[ids.RequestDigest, _Evidence] = {}
    for name, own in starts.items():
        if len(own) < _MIN_CRASHES:
            last_at = max(crashes[start].at for start in own)
            found[name] = Suspicion(len(own), len(own), 0, last_at)
        else:
            likely[name] = _weigh_evidence(name, own, crashes)
    ranks = [(evidence.rank, name) for name, evidence in likely.items()]
    heapq.heapify(ranks)
    while ranks:
        rank, name = heapq.heappop(ranks)
        if rank != likely[name].rank:
            # Others explain some of its crashes, so that it comes later.
            heapq.heappush(ranks, (likely[name].rank, name))
            continue
        own = likely.pop(name).credited
        times = [crashes[start].at for start in starts[name]]
        nearby = _count_nearby(times, unexplained)
        unsettled = sum(not crashes[start].settled for start in own)
        found[name] = Suspicion(
            len(times), len(own), nearby, max(times), unsettled
        )
        if found[name].stop_time:
            for start in starts[name]:
                for other in likely.keys() & crashes[start].candidates.keys():
                    likely[other].credited.discard(start)
                    likely[other].certain.discard(start)
    return found


def make_placement_key(digest: ids.RequestDigest, suspicion: Suspicion) -> str:
    """Returns a key by which a suspected request is placed.

    All nodes send it to the same target, which changes with each crash, and
    other suspects to other ones, so that they part from the cause.

    Load pattern: a request ends both targets of a service whenever they have
    started, and new requests that come often are never answered.
    """
    return f'{digest}/{suspicion.crashes}'


def _weigh_evidence(
    name: ids.RequestDigest,
    starts: Iterable[TargetStart],
    crashes: Mapping[TargetStart, Crash],
) -> _Evidence:
    first_runs = []
    last_runs = []
    ages = []
    # Names decide between equal times, so that all nodes judge alike.
    for start in sorted(starts, key=lambda start: (crashes[start].at, start)):
        at = crashes[start].at
        presence = crashes[start].candidates[name]
        first_runs.append((start, at, at - presence.longest))
        last_runs.append((start, at, at - presence.shortest))
        ages.append(presence.longest)
    return _Evidence(
        _select_successive(last_runs),
        _select_successive(first_runs),
        statistics.fmean(ages),
    )


def _select_successive(
    runs: Iterable[tuple[TargetStart, float, float]],
) -> set[TargetStart]:
    """Returns the crashes of runs that began after the one before.

    ``runs`` has each crash with its time and the beginning of the run, in the
    order of the crashes.

    Load pattern: a rack loses power, and a request that is sent often was at
    several of its targets.  They say no more of it than one crash.
    """
    chosen: set[TargetStart] = set()
    last = float('-inf')
    for start, at, began_at in runs:
        if began_at >= last:
            chosen.add(start)
            last = at
    return chosen


def _count_nearby(times: Iterable[float], others: Sequence[float]) -> int:
    """Returns how many of ``others``, in their order, are near to a time."""
    count = counted = 0
    for at in sorted(times):
        first = max(counted, bisect.bisect_left(others, at - _NEARBY_S))
        counted = max(counted, bisect.bisect_right(others, at + _NEARBY_S))
        count += counted - first if counted > first else 0
    return count
