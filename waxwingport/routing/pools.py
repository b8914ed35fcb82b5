"""The targets of one pool or service, indexed for routing decisions.

A view is updated with every change of a target.  A decision samples a few
targets and scores only these, so its cost does not depend on their number.
"""

import bisect
import collections
from collections.abc import Iterator
from collections.abc import Mapping
import random

import msgspec

from waxwingport.configuration import selectors
from waxwingport import ids
from waxwingport.routing import choice
from waxwingport.routing import model
from waxwingport.routing import sets
from waxwingport.targets import table

__all__ = ['PoolView']

_SAMPLED = 4
"""Targets of each version that are sampled in this node's data centre."""
_REMOTE_SAMPLED = 2
"""Targets of each version that are sampled in another data centre."""


class _Bucket:
    """Targets of one data centre at one weight version.

    ``members`` can take work, ``full`` have reached their limit, and
    ``live_only`` are the full ones that still take live calls.
    """

    def __init__(
        self,
        remote: bool,
        network_latency: float,
        version: ids.WeightVersion | None,
    ) -> None:
        self.remote = remote
        self.cost = choice.compute_remote_cost(remote, network_latency)
        self.version = version
        self.members: sets.RandomSet[table.Target] = sets.RandomSet()
        self.full: sets.RandomSet[table.Target] = sets.RandomSet()
        self.live_only: sets.RandomSet[table.Target] = sets.RandomSet()

    def __bool__(self) -> bool:
        return bool(self.members or self.full)

    def meets_version(self, work: model.Work) -> bool:
        """Returns whether the version is new enough for ``work``."""
        minimum = work.minimum_version
        return minimum is None or (
            self.version is not None and self.version >= minimum
        )

    def count_available(self, work: model.Work) -> int:
        """Returns how many targets can take work of this class now."""
        if work.work_class is model.WorkClass.LIVE:
            return len(self.members) + len(self.live_only)
        return len(self.members)

    def count_usable(self, work: model.Work) -> int:
        """Returns how many targets ``work`` may use, full ones included."""
        return (
            len(self.members)
            + len(self.full)
            - sum(
                target.name in work.excluded
                for targets in (self.members, self.full)
                for target in (targets if work.excluded else ())
            )
        )

    def draw(
        self, work: model.Work, over_limit: bool, rng: random.Random
    ) -> list[table.Target]:
        """Returns a random sample of the targets that ``work`` may use.

        With ``over_limit`` they are full ones that still take live calls.
        """
        targets = self.live_only if over_limit else self.members
        count = _REMOTE_SAMPLED if self.remote else _SAMPLED
        if not work.excluded:
            return targets.draw(count, rng)
        sampled = targets.draw(count + len(work.excluded), rng)
        return [
            target for target in sampled if target.name not in work.excluded
        ]


class _Placement(msgspec.Struct):
    """The bucket of a target in a view, or the reason why it has none.

    A full target has both.
    """

    reason: str | None = None
    bucket: _Bucket | None = None


class _BestCandidate:
    """The candidate with the lowest score so far."""

    def __init__(self) -> None:
        self.name: ids.TargetName | None = None
        self.score = 0.0
        self.scored = 0

    def consider(self, name: ids.TargetName, score: float) -> None:
        self.scored += 1
        if self.name is None or score < self.score:
            self.name = name
            self.score = score

    def is_at_most(self, score: float) -> bool:
        return self.name is not None and self.score <= score


class PoolView:
    """The targets of one pool or service, by why they can't take work."""

    def __init__(self, rules: model.GroupRules) -> None:
        self.rules = rules
        parsed = selectors.parse(rules.selector)
        self._selector = parsed.default_value(None)
        self._placements: dict[table.Target, _Placement] = {}
        self._names: dict[ids.TargetName, table.Target] = {}
        self._rejected: collections.Counter[str] = collections.Counter()
        self._buckets: dict[tuple[str, object], _Bucket] = {}
        self._nearest: list[_Bucket] = []

    def __len__(self) -> int:
        return len(self._placements)

    def __iter__(self) -> Iterator[table.Target]:
        return iter(self._placements)

    def __contains__(self, target: table.Target) -> bool:
        return target in self._placements

    def count_rejected(self, reason: str) -> int:
        """Returns how many targets can't take any work for ``reason``."""
        return self._rejected[reason]

    def update_membership(self, target: table.Target) -> None:
        """Adds or removes a target by its labels, which are new or changed."""
        if self._selector is not None and self._selector.matches(
            target.labels
        ):
            self._place(target)
        else:
            self.remove_target(target)

    def update_target(self, target: table.Target) -> bool:
        """Updates a target whose state, version or free capacity changed.

        Returns whether more than its free capacity changed.
        """
        placement = self._placements.get(target)
        if placement is None:
            return False
        before = placement.bucket
        self._place(target)
        return before is None or placement.bucket is not before

    def remove_target(self, target: table.Target) -> None:
        """Removes a target from the view."""
        placement = self._placements.pop(target, None)
        if placement is None:
            return
        self._unplace(target, placement)
        if self._names.get(target.name) is target:
            del self._names[target.name]

    def has_available(self, work: model.Work) -> bool:
        """Returns whether a target of a sufficient version has capacity."""
        return any(
            bucket.count_available(work) and bucket.meets_version(work)
            for bucket in self._nearest
        )

    def is_usable(self, work: model.Work, target: table.Target) -> bool:
        """Returns whether ``target``, full or not, may take ``work``."""
        placement = self._placements.get(target)
        return (
            placement is not None
            and placement.bucket is not None
            and placement.bucket.meets_version(work)
            and target.name not in work.excluded
        )

    def has_usable(self, work: model.Work) -> bool:
        """Returns whether any target may take ``work``, full or not."""
        return any(
            bucket.meets_version(work) and bucket.count_usable(work) > 0
            for bucket in self._nearest
        )

    def decide(
        self,
        work: model.Work,
        matches: Mapping[ids.TargetName, int],
        now: float,
        rng: random.Random,
    ) -> model.Decision:
        """Returns the best of a few targets that can take ``work``.

        ``matches`` maps engines to their numbers of cached prompt blocks;
        these engines are always scored.  Live calls may exceed the limit of
        a target if no other target has capacity.
        """
        best = _BestCandidate()
        for over_limit in (False, True):
            if over_limit and work.work_class is not model.WorkClass.LIVE:
                break
            self._score_matches(work, matches, over_limit, now, best)
            self._score_sample(work, matches, over_limit, now, best, rng)
            if best.name is not None:
                break
        return model.Decision(
            best.name,
            best.score,
            len(self._placements),
            self._list_rejected(work),
            best.scored,
        )

    def _score_matches(
        self,
        work: model.Work,
        matches: Mapping[ids.TargetName, int],
        over_limit: bool,
        now: float,
        best: _BestCandidate,
    ) -> None:
        for name, matched in matches.items():
            target = self._names.get(name)
            if target is not None and self._fits(work, target, over_limit):
                candidate = target.describe(now, matched)
                best.consider(name, choice.compute_cost(work, candidate))

    def _score_sample(
        self,
        work: model.Work,
        matches: Mapping[ids.TargetName, int],
        over_limit: bool,
        now: float,
        best: _BestCandidate,
        rng: random.Random,
    ) -> None:
        for bucket in self._nearest:
            if bucket.remote and best.is_at_most(bucket.cost):
                break
            if not bucket.meets_version(work):
                continue
            for target in bucket.draw(work, over_limit, rng):
                if target.name not in matches:
                    candidate = target.describe(now)
                    best.consider(
                        target.name, choice.compute_cost(work, candidate)
                    )

    def _fits(
        self, work: model.Work, target: table.Target, over_limit: bool
    ) -> bool:
        bucket = self._placements[target].bucket
        return (
            bucket is not None
            and target in (bucket.live_only if over_limit else bucket.members)
            and bucket.meets_version(work)
            and target.name not in work.excluded
        )

    def _list_rejected(self, work: model.Work) -> Mapping[str, int]:
        rejected = {
            reason: count for reason, count in self._rejected.items() if count
        }
        if work.work_class is model.WorkClass.LIVE:
            self._subtract_margins(rejected)
        if work.minimum_version is not None:
            old = sum(
                entry.count_available(work)
                for entry in self._nearest
                if not entry.meets_version(work)
            )
            if old:
                rejected['minimum-version'] = old
        if work.excluded:
            named = map(self._names.get, work.excluded)
            excluded = sum(
                entry is not None and self._can_take(work, entry)
                for entry in named
            )
            if excluded:
                rejected['excluded'] = excluded
        return rejected

    def _subtract_margins(self, rejected: dict[str, int]) -> None:
        """Subtracts the full targets that still take live calls."""
        over_limit = sum(len(bucket.live_only) for bucket in self._nearest)
        if not over_limit:
            return
        rejected[choice.LIMIT_REACHED] -= over_limit
        if not rejected[choice.LIMIT_REACHED]:
            del rejected[choice.LIMIT_REACHED]

    def _can_take(self, work: model.Work, target: table.Target) -> bool:
        bucket = self._placements[target].bucket
        if bucket is None or not bucket.meets_version(work):
            return False
        return target in bucket.members or (
            work.work_class is model.WorkClass.LIVE
            and target in bucket.live_only
        )

    def _place(self, target: table.Target) -> None:
        placement = self._placements.get(target)
        if placement is None:
            placement = self._placements[target] = _Placement()
            self._names[target.name] = target
        else:
            self._unplace(target, placement)
        reason = choice.find_target_obstacle(self.rules, target)
        placement.reason = reason
        if reason is not None:
            self._rejected[reason] += 1
        if reason in (None, choice.LIMIT_REACHED):
            bucket = self._find_bucket(target)
            targets = bucket.members if reason is None else bucket.full
            targets.add(target)
            if (
                targets is bucket.full
                and target.in_progress < target.limit + target.live_allowance
            ):
                bucket.live_only.add(target)
            placement.bucket = bucket

    def _unplace(self, target: table.Target, placement: _Placement) -> None:
        if placement.reason is not None:
            self._rejected[placement.reason] -= 1
        if placement.bucket is not None:
            placement.bucket.members.discard(target)
            placement.bucket.full.discard(target)
            placement.bucket.live_only.discard(target)
        placement.reason = None
        placement.bucket = None

    def _find_bucket(self, target: table.Target) -> _Bucket:
        key = (target.data_centre, target.weight_version)
        found = self._buckets.get(key)
        if found is None:
            self._prune()
            found = _Bucket(
                target.remote, target.network_latency, target.weight_version
            )
            self._buckets[key] = found
            bisect.insort(self._nearest, found, key=lambda bucket: bucket.cost)
        return found

    def _prune(self) -> None:
        """Drops buckets without targets, as of an old weight version."""
        self._buckets = {
            key: bucket for key, bucket in self._buckets.items() if bucket
        }
        self._nearest = [bucket for bucket in self._nearest if bucket]
