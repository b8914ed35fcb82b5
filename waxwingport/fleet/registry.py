"""Registry of the targets with an entry in the log."""

import asyncio
import collections
from collections.abc import Callable
from collections.abc import Iterator
from collections.abc import Sequence
import logging

from expression import Result
import msgspec

from waxwingport import clocks
from waxwingport.fleet import model
from waxwingport import ids
from waxwingport.log import base
from waxwingport.log import dependency
from waxwingport.log import followers

__all__ = ['Registry']

_RETURN_GRACE_S = 2.0
"""Time within which, by the platform's guarantee, live targets have entries
again after the log was unavailable; others are removed after that."""
_MAX_LEFT = 4096
"""Targets remembered after they said that they leave: several days'
replacements at 1,100 a day, some 100 bytes each."""
_MAX_ENTRY_LAG_S = 10.0
"""Time for which the entry of a run may come after the first answer of that
run: three heartbeats, and some for the log."""

_LOG = logging.getLogger(__name__)


class _LeavingNotice(msgspec.Struct, eq=False):
    """An answer of a target that said that it leaves."""

    started_at_ms: int
    """Start of the run that leaves, as far as the entries tell."""
    wall_time_ms: float
    """Time of the answer in milliseconds since 1970."""
    received_at: float
    """Loop time of the answer."""

    def applies_to(self, started_at_ms: int, now: float) -> bool:
        """Returns whether a run that has an entry at ``now`` leaves.

        The answer may come from a later run than the one that was registered.
        """
        if started_at_ms == self.started_at_ms:
            return True
        return (
            self.started_at_ms < started_at_ms < self.wall_time_ms
            and now - self.received_at < _MAX_ENTRY_LAG_S
        )


class Registry(followers.KeyedListener):
    """Keeps the targets up to date with their entries in the log.

    ``decode`` decodes the key and value of one entry.  Entries that expired
    while the log was unavailable are kept for a grace period after its return;
    see ``set_log_dependency``.
    """

    def __init__(
        self,
        decode: Callable[[str, bytes], Result[model.TargetEntry, str]],
        wall_clock: clocks.WallClock | None = None,
    ) -> None:
        self._decode = decode
        self._wall_clock = wall_clock or clocks.SystemWallClock()
        self._targets: dict[model.InstanceId, model.Target] = {}
        self._listeners: list[Callable[[], None]] = []
        self._leaving: collections.defaultdict[
            ids.ServiceName, set[model.Target]
        ] = collections.defaultdict(set)
        """Registered targets that said that they leave, by service."""
        self._left: dict[model.InstanceId, _LeavingNotice] = {}
        """What each target said.  Its entry may expire and come back while
        the target is still there."""
        self._log_dependency: dependency.Dependency | None = None

    def set_log_dependency(
        self, log_dependency: dependency.Dependency
    ) -> None:
        """Sets the log's dependency, which tells when it was unavailable."""
        self._log_dependency = log_dependency

    def add_listener(self, listener: Callable[[], None]) -> None:
        """Calls ``listener`` after each change from now on."""
        self._listeners.append(listener)

    def __iter__(self) -> Iterator[model.Target]:
        return iter(self._targets.values())

    def __len__(self) -> int:
        return len(self._targets)

    def find(self, instance: model.InstanceId) -> model.Target | None:
        """Returns a registered target, or ``None``."""
        return self._targets.get(instance)

    def find_at(self, address: str) -> list[model.Target]:
        """Returns the targets that are registered at ``ip:port``."""
        return [
            target
            for target in self._targets.values()
            if target.entry.address == address
        ]

    def find_ready(self, service: ids.ServiceName) -> list[model.Target]:
        """Returns the targets of a service that accept new work."""
        return [
            target
            for target in self._targets.values()
            if target.entry.service == service
            and target.stage is model.Stage.READY
        ]

    def count_leaving(self, service: ids.ServiceName) -> int:
        """Returns how many targets of a service said that they leave."""
        return len(self._leaving.get(service, ()))

    def record_leaving(self, target: model.Target) -> bool:
        """Records that a target's answer said that it leaves.

        Nothing new is sent to it until it starts anew, whatever its entry
        says.  Returns whether that is news.
        """
        if target.leaving:
            return False
        self._mark_leaving(target)
        started_at_ms = target.entry.started_at_ms
        if started_at_ms is not None:
            self._left[target.entry.instance] = _LeavingNotice(
                started_at_ms,
                1000.0 * self._wall_clock.read(),
                asyncio.get_running_loop().time(),
            )
            while len(self._left) > _MAX_LEFT:
                del self._left[next(iter(self._left))]
        self._notify()
        return True

    def replace(self, entries: Sequence[base.KeyedRecord]) -> None:
        """Applies all entries; targets that have none are removed.

        New targets count as proven, as they may have been there for long.
        """
        listed = {model.InstanceId(keyed.key) for keyed in entries}
        for instance in [key for key in self._targets if key not in listed]:
            self._remove(instance)
        for keyed in entries:
            self._apply_entry(keyed, proven=True)
        self._notify()

    def update(self, keyed: base.KeyedRecord) -> None:
        """Applies one entry, which is removed if its value is ``None``."""
        if keyed.value is None:
            self._remove(model.InstanceId(keyed.key))
        else:
            self._apply_entry(keyed, proven=False)
        self._notify()

    def _apply_entry(self, keyed: base.KeyedRecord, proven: bool) -> None:
        instance = model.InstanceId(keyed.key)
        match self._decode(keyed.key, keyed.value or b''):
            case Result(tag='ok', ok=entry):
                pass
            case Result(error=reason):
                _LOG.warning(
                    'target-entry-unreadable',
                    extra={'instance': instance, 'reason': reason},
                )
                self._remove(instance)
                return
        target = self._targets.get(instance)
        if target is None or target.entry.started_at_ms != entry.started_at_ms:
            self._add(entry, proven)
            return
        if target.entry.stage is not entry.stage:
            _LOG.info(
                'target-stage',
                extra={'instance': instance, 'stage': entry.stage.value},
            )
        target.entry = entry
        target.removed_at = None
        for name, version in entry.versions.items():
            target.record_version(name, version)

    def _add(self, entry: model.TargetEntry, proven: bool) -> None:
        replaced = self._targets.get(entry.instance)
        if replaced is not None:
            self._forget(replaced)
        target = model.Target(
            entry, versions=dict(entry.versions), proven=proven
        )
        self._targets[entry.instance] = target
        self._recall_leaving(target)
        _LOG.info(
            'target-added',
            extra={
                'instance': entry.instance,
                'service': entry.service,
                'address': entry.address,
                'born': entry.started_at_ms,
                'software': entry.software,
                'versions': entry.versions,
                'leaving': target.leaving,
            },
        )

    def _recall_leaving(self, target: model.Target) -> None:
        """Marks a target that said that it leaves before it had this entry."""
        notice = self._left.get(target.entry.instance)
        started_at_ms = target.entry.started_at_ms
        if notice is None or started_at_ms is None:
            return
        if notice.applies_to(started_at_ms, asyncio.get_running_loop().time()):
            notice.started_at_ms = started_at_ms
            self._mark_leaving(target)

    def _remove(self, instance: model.InstanceId) -> None:
        target = self._targets.get(instance)
        if target is None:
            return
        loop = asyncio.get_running_loop()
        if target.removed_at is None:
            target.removed_at = loop.time()
        grace = self._compute_grace(loop.time())
        if grace <= 0.0:
            self._drop(instance)
            return
        _LOG.info(
            'target-kept',
            extra={
                'instance': instance,
                'reason': 'entry expired while the log was unavailable',
                'grace_s': round(grace, 3),
            },
        )
        loop.call_later(grace, self._drop_if_still_missing, instance, target)

    def _compute_grace(self, now: float) -> float:
        if self._log_dependency is None:
            return 0.0
        if not self._log_dependency.available:
            return _RETURN_GRACE_S
        recovered_at = self._log_dependency.recovered_at
        if recovered_at is None:
            return 0.0
        return recovered_at + _RETURN_GRACE_S - now

    def _drop_if_still_missing(
        self, instance: model.InstanceId, target: model.Target
    ) -> None:
        missing = target.removed_at is not None
        if missing and self._targets.get(instance) is target:
            self._drop(instance)
            self._notify()

    def _drop(self, instance: model.InstanceId) -> None:
        target = self._targets.pop(instance)
        self._forget(target)
        _LOG.info(
            'target-removed',
            extra={'instance': instance, 'service': target.entry.service},
        )

    def _mark_leaving(self, target: model.Target) -> None:
        target.leaving = True
        if self._targets.get(target.entry.instance) is target:
            self._leaving[target.entry.service].add(target)

    def _forget(self, target: model.Target) -> None:
        """Withdraws what was to be sent to a target that is not registered."""
        target.leaving = True
        for leaving in self._leaving.values():
            leaving.discard(target)

    def _notify(self) -> None:
        for listener in self._listeners:
            listener()
