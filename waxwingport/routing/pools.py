"""The targets of one pool or service, indexed for routing decisions.

A view is updated with every change of a target.  A decision samples a few
targets and compares only these, so its time does not depend on how many there
are.
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

_LOCAL_SAMPLE_SIZE = 4
"""Targets of each version that are sampled in this node's data centre."""
_REMOTE_SAMPLE_SIZE = 2
"""Targets of each version that are sampled in another data centre."""


class _Bucket:
    """Targets of one data centre at one version of weights and software.

    ``available`` can take work, ``full`` have reached their limit, and
    ``live_only`` are the full ones that still take live calls.
    """

    def __init__(
        self,
        remote: bool,
        network_latency: float,
        version: ids.WeightVersion | None,
        software: ids.SoftwareVersion,
    ) -> None:
        self.remote = remote
        self.cost = choice.compute_remote_cost(remote, network_latency)
        self.version = version
        self.software = software
        self.available: sets.RandomSet[table.Target] = sets.RandomSet()
        self.full: sets.RandomSet[table.Target] = sets.RandomSet()
        self.live_only: sets.RandomSet[table.Target] = sets.RandomSet()

    def __bool__(self) -> bool:
        return bool(self.available or self.full)

    def meets_versions(self, work: model.Work) -> bool:
        """Returns whether ``work`` may run at both versions."""
        return self.find_obstacle(work) is None

    def find_obstacle(self, work: model.Work) -> str | None:
        """Returns which of the versions ``work`` must not run at, if any."""
        minimum = work.minimum_version
        if minimum is not None and (
            self.version is None or self.version < minimum
        ):
            return 'minimum-version'
        if work.software not in (None, self.software):
            return 'software'
        return None

    def count_available(self, work: model.Work) -> int:
        """Returns how many targets can take work of this class now."""
        if work.work_class is model.WorkClass.LIVE:
            return len(self.available) + len(self.live_only)
        return len(self.available)

    def count_usable(self, work: model.Work) -> int:
        """Returns how many targets ``work`` may use, full ones included."""
        return (
            len(self.available)
            + len(self.full)
            - sum(
                target.name in work.excluded
                for targets in (self.available, self.full)
                for target in (targets if work.excluded else ())
            )
        )

    def draw(
        self, work: model.Work, over_limit: bool, rng: random.Random
    ) -> list[table.Target]:
        """Returns a random sample of the targets that ``work`` may use.

        With ``over_limit`` they are full ones that still take live calls.
        """
        targets = self.live_only if over_limit else self.available
        count = _REMOTE_SAMPLE_SIZE if self.remote else _LOCAL_SAMPLE_SIZE
        if not work.excluded:
            return targets.draw(count, rng)
        sampled = targets.draw(count + len(work.excluded), rng)
        return [
            target for target in sampled if target.name not in work.excluded
        ]


class _Position(msgspec.Struct):
    """The bucket of a target in a view, or the obstacle if it has none.

    A full target has both.
    """

    obstacle: str | None = None
    bucket: _Bucket | None = None


class _BestCandidate:
    """The target with the lowest cost so far, and the number compared."""

    def __init__(self) -> None:
        self.name: ids.TargetName | None = None
        self.cost = 0.0
        self.compared = 0

    def consider(self, name: ids.TargetName, cost: float) -> None:
        self.compared += 1
        if self.name is None or cost < self.cost:
            self.name = name
            self.cost = cost

    def is_at_most(self, cost: float) -> bool:
        return self.name is not None and self.cost <= cost


class PoolView:
    """The targets of one pool or service, by whether they can take work.

    A target that can't is counted by its obstacle; see ``choice``.  An
    available target has capacity for ``work``; a usable one may be full.
    """

    def __init__(self, rules: model.GroupRules) -> None:
        self.rules = rules
        parsed = selectors.parse(rules.selector)
        self._selector = parsed.default_value(None)
        self._positions: dict[table.Target, _Position] = {}
        self._targets_by_name: dict[ids.TargetName, table.Target] = {}
        self._rejected: collections.Counter[str] = collections.Counter()
        self._buckets: dict[tuple[str, object, str], _Bucket] = {}
        self._buckets_by_cost: list[_Bucket] = []

    def __len__(self) -> int:
        return len(self._positions)

    def __iter__(self) -> Iterator[table.Target]:
        return iter(self._positions)

    def __contains__(self, target: table.Target) -> bool:
        return target in self._positions

    def count_rejected(self, obstacle: str) -> int:
        """Returns how many targets can't take any work due to ``obstacle``."""
        return self._rejected[obstacle]

    def update_membership(self, target: table.Target) -> None:
        """Adds or removes a target whose labels are new or have changed."""
        if self._selector is not None and self._selector.matches(
            target.labels
        ):
            self._set_position(target)
        else:
            self.remove_target(target)

    def update_target(self, target: table.Target) -> bool:
        """Updates a target whose state, version or free capacity changed.

        Returns whether more than its free capacity changed.
        """
        position = self._positions.get(target)
        if position is None:
            return False
        before = position.bucket
        self._set_position(target)
        return before is None or position.bucket is not before

    def remove_target(self, target: table.Target) -> None:
        """Removes a target from the view."""
        position = self._positions.pop(target, None)
        if position is None:
            return
        self._clear_position(target, position)
        if self._targets_by_name.get(target.name) is target:
            del self._targets_by_name[target.name]

    def has_available(self, work: model.Work) -> bool:
        """Returns whether a target of a sufficient version has capacity.

        Does not check which targets ``work`` excludes.
        """
        return any(
            bucket.count_available(work) and bucket.meets_versions(work)
            for bucket in self._buckets_by_cost
        )

    def is_usable(self, work: model.Work, target: table.Target) -> bool:
        """Returns whether ``target``, full or not, may take ``work``."""
        position = self._positions.get(target)
        return (
            position is not None
            and position.bucket is not None
            and position.bucket.meets_versions(work)
            and target.name not in work.excluded
        )

    def has_usable(self, work: model.Work) -> bool:
        """Returns whether any target may take ``work``, full or not."""
        return any(
            bucket.meets_versions(work) and bucket.count_usable(work) > 0
            for bucket in self._buckets_by_cost
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
        these engines are always compared.  Live calls may exceed the limit of
        a target if no other target has capacity.
        """
        best = _BestCandidate()
        for over_limit in (False, True):
            if over_limit and work.work_class is not model.WorkClass.LIVE:
                break
            self._consider_matches(work, matches, over_limit, now, best)
            self._consider_sample(work, matches, over_limit, now, best, rng)
            if best.name is not None:
                break
        return model.Decision(
            best.name,
            best.cost,
            len(self._positions),
            self._list_rejected(work),
            best.compared,
        )

    def _consider_matches(
        self,
        work: model.Work,
        matches: Mapping[ids.TargetName, int],
        over_limit: bool,
        now: float,
        best: _BestCandidate,
    ) -> None:
        for name, matched in matches.items():
            target = self._targets_by_name.get(name)
            if target is not None and self._is_available(
                work, target, over_limit
            ):
                candidate = target.describe(now, matched)
                best.consider(name, choice.compute_cost(work, candidate))

    def _consider_sample(
        self,
        work: model.Work,
        matches: Mapping[ids.TargetName, int],
        over_limit: bool,
        now: float,
        best: _BestCandidate,
        rng: random.Random,
    ) -> None:
        for bucket in self._buckets_by_cost:
            if bucket.remote and best.is_at_most(bucket.cost):
                break
            if not bucket.meets_versions(work):
                continue
            for target in bucket.draw(work, over_limit, rng):
                if target.name not in matches:
                    candidate = target.describe(now)
                    best.consider(
                        target.name, choice.compute_cost(work, candidate)
                    )

    def _is_available(
        self, work: model.Work, target: table.Target, over_limit: bool
    ) -> bool:
        """Returns whether ``work`` can get ``target`` now.

        With ``over_limit`` only a full target counts.
        """
        bucket = self._positions[target].bucket
        return (
            bucket is not None
            and target
            in (bucket.live_only if over_limit else bucket.available)
            and bucket.meets_versions(work)
            and target.name not in work.excluded
        )

    def _list_rejected(self, work: model.Work) -> Mapping[str, int]:
        """Returns the numbers of targets that can't take ``work``.

        The keys are the obstacles.
        """
        rejected = {
            obstacle: count
            for obstacle, count in self._rejected.items()
            if count
        }
        if work.work_class is model.WorkClass.LIVE:
            self._subtract_live_only(rejected)
        for bucket in self._buckets_by_cost:
            obstacle = bucket.find_obstacle(work)
            count = bucket.count_available(work)
            if obstacle is not None and count:
                rejected[obstacle] = rejected.get(obstacle, 0) + count
        if work.excluded:
            named = map(self._targets_by_name.get, work.excluded)
            excluded = sum(
                target is not None and self._would_be_available(work, target)
                for target in named
            )
            if excluded:
                rejected['excluded'] = excluded
        return rejected

    def _subtract_live_only(self, rejected: dict[str, int]) -> None:
        """Subtracts the full targets that still take live calls."""
        over_limit = sum(
            len(bucket.live_only) for bucket in self._buckets_by_cost
        )
        if not over_limit:
            return
        rejected[choice.LIMIT_REACHED] -= over_limit
        if not rejected[choice.LIMIT_REACHED]:
            del rejected[choice.LIMIT_REACHED]

    def _would_be_available(
        self, work: model.Work, target: table.Target
    ) -> bool:
        """Returns whether ``work`` could get ``target`` but for exclusion."""
        bucket = self._positions[target].bucket
        if bucket is None or not bucket.meets_versions(work):
            return False
        return target in bucket.available or (
            work.work_class is model.WorkClass.LIVE
            and target in bucket.live_only
        )

    def _set_position(self, target: table.Target) -> None:
        """Moves ``target`` to the bucket and obstacle of its present state."""
        position = self._positions.get(target)
        if position is None:
            position = self._positions[target] = _Position()
            self._targets_by_name[target.name] = target
        else:
            self._clear_position(target, position)
        obstacle = choice.find_target_obstacle(self.rules, target)
        position.obstacle = obstacle
        if obstacle is not None:
            self._rejected[obstacle] += 1
        if obstacle in (None, choice.LIMIT_REACHED):
            bucket = self._get_or_create_bucket(target)
            targets = bucket.available if obstacle is None else bucket.full
            targets.add(target)
            if (
                targets is bucket.full
                and target.in_progress < target.limit + target.live_allowance
            ):
                bucket.live_only.add(target)
            position.bucket = bucket

    def _clear_position(
        self, target: table.Target, position: _Position
    ) -> None:
        if position.obstacle is not None:
            self._rejected[position.obstacle] -= 1
        if position.bucket is not None:
            position.bucket.available.discard(target)
            position.bucket.full.discard(target)
            position.bucket.live_only.discard(target)
        position.obstacle = None
        position.bucket = None

    def _get_or_create_bucket(self, target: table.Target) -> _Bucket:
        key = (target.data_centre, target.weight_version, target.software)
        bucket = self._buckets.get(key)
        if bucket is None:
            self._prune()
            bucket = _Bucket(
                target.remote,
                target.network_latency,
                target.weight_version,
                target.software,
            )
            self._buckets[key] = bucket
            bisect.insort(
                self._buckets_by_cost, bucket, key=lambda other: other.cost
            )
        return bucket

    def _prune(self) -> None:
        """Drops buckets without targets, such as those of an old version."""
        self._buckets = {
            key: bucket for key, bucket in self._buckets.items() if bucket
        }
        self._buckets_by_cost = [
            bucket for bucket in self._buckets_by_cost if bucket
        ]
