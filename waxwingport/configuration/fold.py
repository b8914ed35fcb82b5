"""Folds the records of the configuration stream into declarations.

All functions are pure: nodes that fold the same records get the same result.

A change is void when one of its keys changed after the revision that it was
based on, when that revision is more than ``WINDOW`` offsets back, or when the
declarations would be inconsistent with it.  The window bounds memory without
weakening the conflict rule: removed keys and record ids are kept for
``WINDOW`` offsets, and any change that could depend on an older one is void
because its base is too old.
"""

from collections.abc import Iterable
from collections.abc import Mapping
import enum
import functools

from expression import Error
from expression import Ok
from expression import Result
import msgspec
import xxhash

from waxwingport.configuration import consistency
from waxwingport.configuration import declarations
from waxwingport.configuration import keys
from waxwingport.configuration import records
from waxwingport import ids
from waxwingport.outside import base

__all__ = [
    'WINDOW',
    'Conflict',
    'Entry',
    'FoldedState',
    'Verdict',
    'VerdictKind',
    'fold',
    'preview',
    'select_contiguous',
]

WINDOW = 2048
"""Offsets for which removed keys and record ids are remembered."""


class Entry(msgspec.Struct, frozen=True):
    """The last change of a key; ``value`` is ``None`` if it was removed."""

    value: keys.Declared | None
    revision: ids.Revision
    author: str


class FoldedState(msgspec.Struct, frozen=True, dict=True):
    """The result of folding every record up to ``revision``.

    ``seen`` maps recent record ids to their offsets.  ``covered`` is the
    offset up to which the last snapshot record covers the stream.  ``floor``
    is the offset of the last reset; no change may be based on an earlier
    revision.  ``chain`` is a running hash of the records folded: two nodes at
    one revision with different chains have read different logs.  ``skipped``
    is the first offset with a record of a newer, unknown version.
    """

    revision: ids.Revision = ids.Revision(-1)
    entries: Mapping[keys.Key, Entry] = {}
    seen: Mapping[ids.RecordId, ids.Revision] = {}
    covered: ids.Revision = ids.Revision(-1)
    floor: ids.Revision = ids.Revision(-1)
    chain: str = ''
    skipped: ids.Revision | None = None

    @functools.cached_property
    def declarations(self) -> declarations.Declarations:
        """The declarations in force."""
        return keys.assemble(self.declared)

    @property
    def declared(self) -> dict[keys.Key, keys.Declared]:
        """The declarations in force, by key."""
        return {
            key: entry.value
            for key, entry in self.entries.items()
            if entry.value is not None
        }


class VerdictKind(enum.Enum):
    """The result of folding one record."""

    APPLIED = 'applied'
    CONFLICT = 'conflict'
    """A key changed after the revision that the change was based on."""
    INVALID = 'invalid'
    """The declarations would be inconsistent with it."""
    REPEATED = 'repeated'
    """A record with the same id came before."""
    SKIPPED = 'skipped'
    """The record has a newer version than this program knows."""
    SNAPSHOT = 'snapshot'
    STALE = 'stale'
    """Based on a revision that is outside the window."""


class Conflict(msgspec.Struct, frozen=True):
    """The earlier change that a void change conflicts with."""

    revision: ids.Revision
    author: str
    keys: tuple[keys.Key, ...]


class Verdict(msgspec.Struct, frozen=True):
    """The result of folding the record at ``offset``, with the reason."""

    kind: VerdictKind
    offset: ids.Offset
    record_id: ids.RecordId | None = None
    detail: str = ''
    conflict: Conflict | None = None


def fold(
    folded: FoldedState, found: Iterable[base.LogRecord]
) -> tuple[FoldedState, tuple[Verdict, ...]]:
    """Returns the state after the records and a verdict on each one folded.

    Records at or below the revision are ignored.  The fold stops at the first
    gap in the offsets; the new revision tells how far it came.
    """
    run = select_contiguous(found, folded.revision)
    if not run:
        return folded, ()
    builder = _StateBuilder(folded)
    verdicts = tuple(builder.fold_record(record) for record in run)
    return builder.finish(), verdicts


def select_contiguous(
    found: Iterable[base.LogRecord], revision: ids.Revision
) -> list[base.LogRecord]:
    """Returns the records that follow ``revision`` without a gap."""
    run: list[base.LogRecord] = []
    for record in found:
        if record.offset == revision + len(run) + 1:
            run.append(record)
    return run


def preview(
    folded: FoldedState, change: records.Change
) -> Result[declarations.Declarations, Verdict]:
    """Returns the declarations after ``change``, or why it would be void."""
    builder = _StateBuilder(folded)
    verdict = builder.fold_change(change, ids.Offset(folded.revision + 1))
    if verdict.kind is VerdictKind.APPLIED:
        return Ok(builder.finish().declarations)
    return Error(verdict)


class _StateBuilder:
    """A mutable copy of a state to which records are applied."""

    def __init__(self, folded: FoldedState) -> None:
        self.revision = folded.revision
        self._entries = dict(folded.entries)
        self._declared = folded.declared
        self._seen = dict(folded.seen)
        self._covered = folded.covered
        self._floor = folded.floor
        self._chain = folded.chain
        self._skipped = folded.skipped

    def fold_record(self, record: base.LogRecord) -> Verdict:
        """Applies one record and returns the verdict on it."""
        hashed = record.body
        match records.decode(record.body):
            case Result(tag='ok', ok=records.Change() as change):
                verdict = self.fold_change(change, record.offset)
            case Result(tag='ok', ok=records.Reset() as reset):
                verdict = self._fold_reset(reset, record.offset)
            case Result(tag='ok', ok=records.Snapshot() as snapshot):
                verdict = self._fold_snapshot(snapshot, record.offset)
                hashed = b''
            case Result(error=unreadable):
                verdict = self._skip(record.offset, unreadable)
        self.revision = ids.Revision(record.offset)
        data = f'{self._chain} {record.offset} '.encode() + hashed
        self._chain = xxhash.xxh3_64_hexdigest(data)
        return verdict

    def fold_change(
        self, change: records.Change, offset: ids.Offset
    ) -> Verdict:
        """Applies a change unless it is void; returns the verdict."""
        first = self._seen.get(change.id)
        if first is not None and first > offset - WINDOW:
            detail = f'first at offset {first}'
            return _make_verdict(VerdictKind.REPEATED, offset, change, detail)
        self._seen[change.id] = ids.Revision(offset)
        void = self._check_void(change, offset)
        if void is not None:
            return void
        match self._parse_values(change.values):
            case Result(tag='ok', ok=values):
                self._apply(values, change.author, offset)
                return _make_verdict(VerdictKind.APPLIED, offset, change)
            case Result(error=reason):
                return _make_verdict(
                    VerdictKind.INVALID, offset, change, reason
                )

    def finish(self) -> FoldedState:
        """Returns the state without entries older than the window."""
        oldest = self.revision - WINDOW
        entries = {
            key: entry
            for key, entry in self._entries.items()
            if entry.value is not None or entry.revision > oldest
        }
        seen = {
            key: offset
            for key, offset in self._seen.items()
            if offset > oldest
        }
        return FoldedState(
            self.revision,
            entries,
            seen,
            self._covered,
            self._floor,
            self._chain,
            self._skipped,
        )

    def _check_void(
        self, change: records.Change, offset: ids.Offset
    ) -> Verdict | None:
        if not change.values:
            detail = 'change holds no keys'
            return _make_verdict(VerdictKind.INVALID, offset, change, detail)
        if change.based_on >= offset:
            detail = (
                f'based on revision {change.based_on}, which is in the future'
            )
            return _make_verdict(VerdictKind.INVALID, offset, change, detail)
        if change.based_on < max(offset - WINDOW, self._floor):
            detail = f'based on revision {change.based_on}, too long ago'
            return _make_verdict(VerdictKind.STALE, offset, change, detail)
        conflict = self._find_conflict(change)
        if conflict is None:
            return None
        detail = _describe_conflict(conflict)
        return _make_verdict(
            VerdictKind.CONFLICT, offset, change, detail, conflict
        )

    def _find_conflict(self, change: records.Change) -> Conflict | None:
        later = {
            key: self._entries[key]
            for key in change.values
            if key in self._entries
            and self._entries[key].revision > change.based_on
        }
        if not later:
            return None
        last = max(later.values(), key=lambda entry: entry.revision)
        return Conflict(last.revision, last.author, tuple(sorted(later)))

    def _parse_values(
        self, written: Mapping[keys.Key, msgspec.Raw]
    ) -> Result[dict[keys.Key, keys.Declared | None], str]:
        values: dict[keys.Key, keys.Declared | None] = {}
        for key, raw in written.items():
            match records.read_value(key, raw):
                case Result(tag='ok', ok=value):
                    values[key] = value
                case Result(error=reason):
                    return Error(reason)
        return self._check_consistency(values)

    def _check_consistency(
        self, values: dict[keys.Key, keys.Declared | None]
    ) -> Result[dict[keys.Key, keys.Declared | None], str]:
        before = {key: self._declared.get(key) for key in values}
        _update(self._declared, values)
        faults = consistency.find_faults(self._declared, values)
        _update(self._declared, before)
        if faults:
            return Error('; '.join(f'{key}: {what}' for key, what in faults))
        return Ok(values)

    def _apply(
        self,
        values: dict[keys.Key, keys.Declared | None],
        author: str,
        offset: ids.Offset,
    ) -> None:
        _update(self._declared, values)
        revision = ids.Revision(offset)
        for key, value in values.items():
            self._entries[key] = Entry(value, revision, author)

    def _fold_reset(self, reset: records.Reset, offset: ids.Offset) -> Verdict:
        """Replaces the state; the result depends on this record alone."""
        fresh = _StateBuilder(FoldedState())
        match fresh._parse_values(reset.values):
            case Result(tag='ok', ok=values):
                pass
            case Result(error=reason):
                kind = VerdictKind.INVALID
                return Verdict(kind, offset, reset.id, reason)
        values = {key: value for key, value in values.items() if value}
        fresh._apply(values, reset.author, offset)
        self._declared = fresh._declared
        self._entries = fresh._entries
        self._seen = {reset.id: ids.Revision(offset)}
        self._covered = ids.Revision(offset - 1)
        self._floor = ids.Revision(offset)
        self._chain = ''
        self._skipped = None
        return Verdict(VerdictKind.APPLIED, offset, reset.id)

    def _fold_snapshot(
        self, snapshot: records.Snapshot, offset: ids.Offset
    ) -> Verdict:
        if self._covered < snapshot.covers < offset:
            self._covered = snapshot.covers
        detail = f'covers {snapshot.covers}'
        return Verdict(VerdictKind.SNAPSHOT, offset, detail=detail)

    def _skip(
        self, offset: ids.Offset, unreadable: records.Unreadable
    ) -> Verdict:
        if not unreadable.newer:
            kind = VerdictKind.INVALID
            return Verdict(kind, offset, detail=unreadable.reason)
        if self._skipped is None:
            self._skipped = ids.Revision(offset)
        return Verdict(VerdictKind.SKIPPED, offset, detail=unreadable.reason)


def _update(
    declared: dict[keys.Key, keys.Declared],
    values: Mapping[keys.Key, keys.Declared | None],
) -> None:
    for key, value in values.items():
        if value is None:
            declared.pop(key, None)
        else:
            declared[key] = value


def _make_verdict(
    kind: VerdictKind,
    offset: ids.Offset,
    change: records.Change,
    detail: str = '',
    conflict: Conflict | None = None,
) -> Verdict:
    return Verdict(kind, offset, change.id, detail, conflict)


def _describe_conflict(conflict: Conflict) -> str:
    return (
        f'{", ".join(conflict.keys)} changed at revision '
        f'{conflict.revision} by {conflict.author}'
    )
