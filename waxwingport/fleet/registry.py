"""The targets that are registered in the log."""

import asyncio
from collections.abc import Callable
from collections.abc import Iterator
from collections.abc import Sequence
import logging

from expression import Result

from waxwingport.fleet import model
from waxwingport import ids
from waxwingport.log import base
from waxwingport.log import dependency
from waxwingport.log import followers

__all__ = ['Registry']

_RETURN_GRACE = 2.0
"""Seconds after the log's return within which the entries of targets that
live are back, by the platform's word; one missing longer is gone."""

_LOG = logging.getLogger(__name__)


class Registry(followers.KeyedListener):
    """Follows the entries of targets.

    ``decode`` reads one entry.  ``store`` tells when the log was away: entries
    that lapsed meanwhile are kept until the grace after its return is over.
    """

    def __init__(
        self,
        decode: Callable[[str, bytes], Result[model.TargetEntry, str]],
    ) -> None:
        self._decode = decode
        self._targets: dict[model.InstanceId, model.Target] = {}
        self._listeners: list[Callable[[], None]] = []
        self._store: dependency.Dependency | None = None

    def watch_store(self, store: dependency.Dependency) -> None:
        """Learns from ``store`` when the log was away."""
        self._store = store

    def add_listener(self, listener: Callable[[], None]) -> None:
        """Calls ``listener`` after each change."""
        self._listeners.append(listener)

    def __iter__(self) -> Iterator[model.Target]:
        return iter(self._targets.values())

    def __len__(self) -> int:
        return len(self._targets)

    def find(self, instance: model.InstanceId) -> model.Target | None:
        """Returns a registered target."""
        return self._targets.get(instance)

    def find_ready(self, service: ids.ServiceName) -> list[model.Target]:
        """Returns the targets of a service that take new work."""
        return [
            target
            for target in self._targets.values()
            if target.entry.service == service
            and target.entry.stage is model.Stage.READY
        ]

    def replace(self, rows: Sequence[base.KeyedRecord]) -> None:
        """Takes all entries; those that are not among them went away."""
        listed = {model.InstanceId(row.key) for row in rows}
        for instance in [key for key in self._targets if key not in listed]:
            self._remove(instance)
        for row in rows:
            self._take(row)
        self._notify()

    def update(self, row: base.KeyedRecord) -> None:
        """Takes one changed or removed entry."""
        if row.value is None:
            self._remove(model.InstanceId(row.key))
        else:
            self._take(row)
        self._notify()

    def _take(self, row: base.KeyedRecord) -> None:
        instance = model.InstanceId(row.key)
        match self._decode(row.key, row.value or b''):
            case Result(tag='ok', ok=entry):
                pass
            case Result(error=reason):
                _LOG.warning(
                    'target-entry-unreadable',
                    extra={'instance': instance, 'reason': reason},
                )
                self._remove(instance)
                return
        known = self._targets.get(instance)
        if known is None or known.entry.born != entry.born:
            self._add(entry)
            return
        if known.entry.stage is not entry.stage:
            _LOG.info(
                'target-stage',
                extra={'instance': instance, 'stage': entry.stage.value},
            )
        known.entry = entry
        known.removed_at = None
        for name, version in entry.versions.items():
            known.note_version(name, version)

    def _add(self, entry: model.TargetEntry) -> None:
        self._targets[entry.instance] = model.Target(
            entry, versions=dict(entry.versions)
        )
        _LOG.info(
            'target-added',
            extra={
                'instance': entry.instance,
                'service': entry.service,
                'address': entry.address,
                'born': entry.born,
                'versions': entry.versions,
            },
        )

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
                'reason': 'lapsed while the log was away',
                'grace_s': round(grace, 3),
            },
        )
        loop.call_later(grace, self._drop_if_missing, instance, target)

    def _compute_grace(self, now: float) -> float:
        if self._store is None:
            return 0.0
        if not self._store.available:
            return _RETURN_GRACE
        recovered_at = self._store.recovered_at
        if recovered_at is None:
            return 0.0
        return recovered_at + _RETURN_GRACE - now

    def _drop_if_missing(
        self, instance: model.InstanceId, target: model.Target
    ) -> None:
        missing = target.removed_at is not None
        if missing and self._targets.get(instance) is target:
            self._drop(instance)
            self._notify()

    def _drop(self, instance: model.InstanceId) -> None:
        target = self._targets.pop(instance)
        _LOG.info(
            'target-removed',
            extra={'instance': instance, 'service': target.entry.service},
        )

    def _notify(self) -> None:
        for listener in self._listeners:
            listener()
