"""The targets of one pool or service, kept ready for decisions.

A view follows every change of a target, so that a decision costs the same
however many targets there are: it draws a few and scores only these.
"""

import bisect
import collections
from collections.abc import Iterator
from collections.abc import Mapping
import random

import msgspec

from waxwingport.configuration import selectors
from waxwingport import ids
from waxwingport.routing import candidates
from waxwingport.routing import choice
from waxwingport.routing import sets
from waxwingport.targets import table

__all__ = ['PoolView']

_DRAWN = 4
"""Targets of each version drawn at random in this node's data centre."""
_REMOTE_DRAWN = 2
"""Targets of each version drawn at random in another data centre."""


class _Bucket:
    """Targets of one data centre at one weight version.

    ``members`` have room, ``full`` are kept from work by their limit alone,
    and ``margin`` are those of the full ones that take live calls.
    """

    def __init__(
        self,
        remote: bool,
        distance: float,
        version: ids.WeightVersion | None,
    ) -> None:
        self.remote = remote
        self.cost = choice.compute_remote_cost(remote, distance)
        self.version = version
        self.members: sets.RandomSet[table.Target] = sets.RandomSet()
        self.full: sets.RandomSet[table.Target] = sets.RandomSet()
        self.margin: sets.RandomSet[table.Target] = sets.RandomSet()

    def __bool__(self) -> bool:
        return bool(self.members or self.full)

    def reaches(self, work: candidates.Work) -> bool:
        """Returns whether the version is new enough for ``work``."""
        wanted = work.minimum_version
        return wanted is None or (
            self.version is not None and self.version >= wanted
        )

    def count_fitting(self, work: candidates.Work) -> int:
        """Returns how many targets could take work of that class now."""
        if work.work_class is candidates.WorkClass.LIVE:
            return len(self.members) + len(self.margin)
        return len(self.members)

    def count_open(self, work: candidates.Work) -> int:
        """Returns how many targets ``work`` may go to once they have room."""
        return (
            len(self.members)
            + len(self.full)
            - sum(
                row.name in work.excluded
                for held in (self.members, self.full)
                for row in (held if work.excluded else ())
            )
        )

    def draw(
        self, work: candidates.Work, over: bool, rng: random.Random
    ) -> list[table.Target]:
        """Returns a few targets that ``work`` may go to, if there are any.

        ``over`` takes them from the full ones that have a margin.
        """
        held = self.margin if over else self.members
        count = _REMOTE_DRAWN if self.remote else _DRAWN
        if not work.excluded:
            return held.draw(count, rng)
        drawn = held.draw(count + len(work.excluded), rng)
        return [row for row in drawn if row.name not in work.excluded]


class _Standing(msgspec.Struct):
    """Where a target stands in a view: kept out for a reason, or in."""

    reason: str | None = None
    bucket: _Bucket | None = None


class _Best:
    """The lowest score so far."""

    def __init__(self) -> None:
        self.name: ids.TargetName | None = None
        self.score = 0.0
        self.scored = 0

    def offer(self, name: ids.TargetName, score: float) -> None:
        self.scored += 1
        if self.name is None or score < self.score:
            self.name = name
            self.score = score

    def beats(self, score: float) -> bool:
        return self.name is not None and self.score <= score


class PoolView:
    """Targets of one pool or service by what keeps them from work."""

    def __init__(self, rules: candidates.GroupRules) -> None:
        self.rules = rules
        parsed = selectors.parse(rules.selector)
        self._selector = parsed.default_value(None)
        self._standings: dict[table.Target, _Standing] = {}
        self._names: dict[ids.TargetName, table.Target] = {}
        self._rejected: collections.Counter[str] = collections.Counter()
        self._buckets: dict[tuple[str, object], _Bucket] = {}
        self._nearest: list[_Bucket] = []

    def __len__(self) -> int:
        return len(self._standings)

    def __iter__(self) -> Iterator[table.Target]:
        return iter(self._standings)

    def __contains__(self, target: table.Target) -> bool:
        return target in self._standings

    def count_rejected(self, reason: str) -> int:
        """Returns how many targets are kept from all work by ``reason``."""
        return self._rejected[reason]

    def update_labels(self, target: table.Target) -> None:
        """Takes a target that is new or whose labels have changed."""
        if self._selector is not None and self._selector.matches(
            target.labels
        ):
            self._put(target)
        else:
            self.remove_target(target)

    def update_target(self, target: table.Target) -> bool:
        """Takes a change of the target's state, version or room.

        Returns whether more than its room changed.
        """
        standing = self._standings.get(target)
        if standing is None:
            return False
        before = standing.bucket
        self._put(target)
        return before is None or standing.bucket is not before

    def remove_target(self, target: table.Target) -> None:
        """Takes a target out."""
        standing = self._standings.pop(target, None)
        if standing is None:
            return
        self._take_out(target, standing)
        if self._names.get(target.name) is target:
            del self._names[target.name]

    def has_room_for(self, work: candidates.Work) -> bool:
        """Returns whether targets new enough for ``work`` have room."""
        return any(
            row.count_fitting(work) and row.reaches(work)
            for row in self._nearest
        )

    def admits(self, work: candidates.Work, target: table.Target) -> bool:
        """Returns whether ``work`` may go there once there is room."""
        standing = self._standings.get(target)
        return (
            standing is not None
            and standing.bucket is not None
            and standing.bucket.reaches(work)
            and target.name not in work.excluded
        )

    def is_reachable(self, work: candidates.Work) -> bool:
        """Returns whether a target could take ``work`` if it had room."""
        return any(
            row.reaches(work) and row.count_open(work) > 0
            for row in self._nearest
        )

    def decide(
        self,
        work: candidates.Work,
        matches: Mapping[ids.TargetName, int],
        now: float,
        rng: random.Random,
    ) -> candidates.Decision:
        """Returns the best of a few targets that can take ``work``."""
        best = _Best()
        for over in (False, True):
            if over and work.work_class is not candidates.WorkClass.LIVE:
                break
            self._offer_matches(work, matches, over, now, best)
            self._offer_drawn(work, matches, over, now, best, rng)
            if best.name is not None:
                break
        return candidates.Decision(
            best.name,
            best.score,
            len(self._standings),
            self._list_rejected(work),
            best.scored,
        )

    def _offer_matches(
        self,
        work: candidates.Work,
        matches: Mapping[ids.TargetName, int],
        over: bool,
        now: float,
        best: _Best,
    ) -> None:
        for name, matched in matches.items():
            target = self._names.get(name)
            if target is not None and self._fits(work, target, over):
                candidate = target.describe(now, matched)
                best.offer(name, choice.score(work, candidate))

    def _offer_drawn(
        self,
        work: candidates.Work,
        matches: Mapping[ids.TargetName, int],
        over: bool,
        now: float,
        best: _Best,
        rng: random.Random,
    ) -> None:
        for bucket in self._nearest:
            if bucket.remote and best.beats(bucket.cost):
                break
            if not bucket.reaches(work):
                continue
            for target in bucket.draw(work, over, rng):
                if target.name not in matches:
                    candidate = target.describe(now)
                    best.offer(target.name, choice.score(work, candidate))

    def _fits(
        self, work: candidates.Work, target: table.Target, over: bool
    ) -> bool:
        bucket = self._standings[target].bucket
        return (
            bucket is not None
            and target in (bucket.margin if over else bucket.members)
            and bucket.reaches(work)
            and target.name not in work.excluded
        )

    def _list_rejected(self, work: candidates.Work) -> Mapping[str, int]:
        rejected = {
            reason: count for reason, count in self._rejected.items() if count
        }
        if work.work_class is candidates.WorkClass.LIVE:
            self._spare_margins(rejected)
        if work.minimum_version is not None:
            old = sum(
                row.count_fitting(work)
                for row in self._nearest
                if not row.reaches(work)
            )
            if old:
                rejected['minimum-version'] = old
        if work.excluded:
            named = map(self._names.get, work.excluded)
            excluded = sum(
                row is not None and self._reaches(work, row) for row in named
            )
            if excluded:
                rejected['excluded'] = excluded
        return rejected

    def _spare_margins(self, rejected: dict[str, int]) -> None:
        """Takes the full targets that take live calls out of the count."""
        over = sum(len(row.margin) for row in self._nearest)
        if not over:
            return
        rejected[choice.LIMIT] -= over
        if not rejected[choice.LIMIT]:
            del rejected[choice.LIMIT]

    def _reaches(self, work: candidates.Work, target: table.Target) -> bool:
        bucket = self._standings[target].bucket
        if bucket is None or not bucket.reaches(work):
            return False
        return target in bucket.members or (
            work.work_class is candidates.WorkClass.LIVE
            and target in bucket.margin
        )

    def _put(self, target: table.Target) -> None:
        standing = self._standings.get(target)
        if standing is None:
            standing = self._standings[target] = _Standing()
            self._names[target.name] = target
        else:
            self._take_out(target, standing)
        reason = choice.find_target_obstacle(self.rules, target)
        standing.reason = reason
        if reason is not None:
            self._rejected[reason] += 1
        if reason in (None, choice.LIMIT):
            bucket = self._find_bucket(target)
            held = bucket.members if reason is None else bucket.full
            held.add(target)
            if (
                held is bucket.full
                and target.in_progress < target.limit + target.margin
            ):
                bucket.margin.add(target)
            standing.bucket = bucket

    def _take_out(self, target: table.Target, standing: _Standing) -> None:
        if standing.reason is not None:
            self._rejected[standing.reason] -= 1
        if standing.bucket is not None:
            standing.bucket.members.discard(target)
            standing.bucket.full.discard(target)
            standing.bucket.margin.discard(target)
        standing.reason = None
        standing.bucket = None

    def _find_bucket(self, target: table.Target) -> _Bucket:
        key = (target.data_centre, target.weight_version)
        found = self._buckets.get(key)
        if found is None:
            self._prune()
            found = _Bucket(
                target.remote, target.distance, target.weight_version
            )
            self._buckets[key] = found
            bisect.insort(self._nearest, found, key=lambda row: row.cost)
        return found

    def _prune(self) -> None:
        """Forgets buckets of versions that no target is at any more."""
        self._buckets = {key: row for key, row in self._buckets.items() if row}
        self._nearest = [row for row in self._nearest if row]
