"""Folds the records of the configuration stream into declarations.

Pure functions: every node that folds the same records holds the same result.

A change is void when one of its keys changed after the revision that it was
based on, when that revision lies further back than ``WINDOW`` offsets, or
when the declarations would not be consistent with it.  The last bound makes
memory finite without weakening the rule: a removed key and a record id are
kept for ``WINDOW`` offsets, and whatever could still depend on an older one
is void because of its base.
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
    'Folded',
    'Verdict',
    'VerdictKind',
    'fold',
    'preview',
    'take_run',
]

WINDOW = 2048
"""Offsets for which removed keys and record ids are remembered."""


class Entry(msgspec.Struct, frozen=True):
    """A key's last change; ``value`` is ``None`` once it was removed."""

    value: keys.Declared | None
    revision: ids.Revision
    author: str


class Folded(msgspec.Struct, frozen=True, dict=True):
    """The result of folding every record up to ``revision``.

    ``covered`` is the offset that the last snapshot record covers; ``floor``
    that of the last reset, and no change may be based on less.  ``chain``
    identifies the records folded: two nodes at one revision whose chains
    differ have read different logs.  ``skipped`` is the first offset with a
    record that this program did not understand.
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
        return keys.assemble(self.rows)

    @property
    def rows(self) -> dict[keys.Key, keys.Declared]:
        """The declarations in force by key."""
        return {
            key: entry.value
            for key, entry in self.entries.items()
            if entry.value is not None
        }


class VerdictKind(enum.Enum):
    """What became of a record."""

    APPLIED = 'applied'
    CONFLICT = 'conflict'
    """A key changed after the revision that the change was based on."""
    INVALID = 'invalid'
    """The declarations would not be consistent with it."""
    REPEATED = 'repeated'
    """A record with this id came before."""
    SKIPPED = 'skipped'
    """Written for a later version of this program."""
    SNAPSHOT = 'snapshot'
    STALE = 'stale'
    """Based on a revision outside the window."""


class Conflict(msgspec.Struct, frozen=True):
    """The change that came first."""

    revision: ids.Revision
    author: str
    keys: tuple[keys.Key, ...]


class Verdict(msgspec.Struct, frozen=True):
    """What became of the record at ``offset``, and why."""

    kind: VerdictKind
    offset: ids.Offset
    record_id: ids.RecordId | None = None
    detail: str = ''
    conflict: Conflict | None = None


def fold(
    folded: Folded, rows: Iterable[base.LogRecord]
) -> tuple[Folded, tuple[Verdict, ...]]:
    """Returns the state after ``rows`` and a verdict on each one folded.

    Records at or below the revision are passed over; the fold stops before a
    gap, so its revision says how far it came.
    """
    run = take_run(rows, folded.revision)
    if not run:
        return folded, ()
    work = _Work(folded)
    verdicts = tuple(work.take(row) for row in run)
    return work.finish(), verdicts


def take_run(
    rows: Iterable[base.LogRecord], revision: ids.Revision
) -> list[base.LogRecord]:
    """Returns the rows that follow ``revision`` without a gap."""
    run: list[base.LogRecord] = []
    for row in rows:
        if row.offset == revision + len(run) + 1:
            run.append(row)
    return run


def preview(
    folded: Folded, change: records.Change
) -> Result[declarations.Declarations, Verdict]:
    """Returns the declarations after ``change``, or why it would be void."""
    work = _Work(folded)
    verdict = work.take_change(change, ids.Offset(folded.revision + 1))
    if verdict.kind is VerdictKind.APPLIED:
        return Ok(work.finish().declarations)
    return Error(verdict)


class _Work:
    """A private copy of a state, changed record by record."""

    def __init__(self, folded: Folded) -> None:
        self.revision = folded.revision
        self._entries = dict(folded.entries)
        self._rows = folded.rows
        self._seen = dict(folded.seen)
        self._covered = folded.covered
        self._floor = folded.floor
        self._chain = folded.chain
        self._skipped = folded.skipped

    def take(self, row: base.LogRecord) -> Verdict:
        """Folds one record."""
        hashed = row.body
        match records.decode(row.body):
            case Result(tag='ok', ok=records.Change() as change):
                verdict = self.take_change(change, row.offset)
            case Result(tag='ok', ok=records.Reset() as reset):
                verdict = self._take_reset(reset, row.offset)
            case Result(tag='ok', ok=records.Snapshot() as snapshot):
                verdict = self._take_snapshot(snapshot, row.offset)
                hashed = b''
            case Result(error=unreadable):
                verdict = self._skip(row.offset, unreadable)
        self.revision = ids.Revision(row.offset)
        link = f'{self._chain} {row.offset} '.encode() + hashed
        self._chain = xxhash.xxh3_64_hexdigest(link)
        return verdict

    def take_change(
        self, change: records.Change, offset: ids.Offset
    ) -> Verdict:
        """Applies a change or finds it void."""
        first = self._seen.get(change.id)
        if first is not None and first > offset - WINDOW:
            detail = f'first at offset {first}'
            return _judge(VerdictKind.REPEATED, offset, change, detail)
        self._seen[change.id] = ids.Revision(offset)
        void = self._find_void(change, offset)
        if void is not None:
            return void
        match self._read_values(change.values):
            case Result(tag='ok', ok=values):
                self._apply(values, change.author, offset)
                return _judge(VerdictKind.APPLIED, offset, change)
            case Result(error=reason):
                return _judge(VerdictKind.INVALID, offset, change, reason)

    def finish(self) -> Folded:
        """Returns the state; drops what lies outside the window."""
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
        return Folded(
            self.revision,
            entries,
            seen,
            self._covered,
            self._floor,
            self._chain,
            self._skipped,
        )

    def _find_void(
        self, change: records.Change, offset: ids.Offset
    ) -> Verdict | None:
        if not change.values:
            detail = 'names no key'
            return _judge(VerdictKind.INVALID, offset, change, detail)
        if change.based_on >= offset:
            detail = f'based on revision {change.based_on}, yet to come'
            return _judge(VerdictKind.INVALID, offset, change, detail)
        if change.based_on < max(offset - WINDOW, self._floor):
            detail = f'based on revision {change.based_on}, too long ago'
            return _judge(VerdictKind.STALE, offset, change, detail)
        conflict = self._find_conflict(change)
        if conflict is None:
            return None
        detail = _describe(conflict)
        return _judge(VerdictKind.CONFLICT, offset, change, detail, conflict)

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

    def _read_values(
        self, written: Mapping[keys.Key, msgspec.Raw]
    ) -> Result[dict[keys.Key, keys.Declared | None], str]:
        values: dict[keys.Key, keys.Declared | None] = {}
        for key, raw in written.items():
            match records.read_value(key, raw):
                case Result(tag='ok', ok=value):
                    values[key] = value
                case Result(error=reason):
                    return Error(reason)
        return self._check_rows(values)

    def _check_rows(
        self, values: dict[keys.Key, keys.Declared | None]
    ) -> Result[dict[keys.Key, keys.Declared | None], str]:
        before = {key: self._rows.get(key) for key in values}
        _update(self._rows, values)
        faults = consistency.find_faults(self._rows, values)
        _update(self._rows, before)
        if faults:
            return Error('; '.join(f'{key}: {what}' for key, what in faults))
        return Ok(values)

    def _apply(
        self,
        values: dict[keys.Key, keys.Declared | None],
        author: str,
        offset: ids.Offset,
    ) -> None:
        _update(self._rows, values)
        revision = ids.Revision(offset)
        for key, value in values.items():
            self._entries[key] = Entry(value, revision, author)

    def _take_reset(self, reset: records.Reset, offset: ids.Offset) -> Verdict:
        """Starts anew; the outcome depends on the record alone."""
        fresh = _Work(Folded())
        match fresh._read_values(reset.values):
            case Result(tag='ok', ok=values):
                pass
            case Result(error=reason):
                kind = VerdictKind.INVALID
                return Verdict(kind, offset, reset.id, reason)
        values = {key: row for key, row in values.items() if row}
        fresh._apply(values, reset.author, offset)
        self._rows = fresh._rows
        self._entries = fresh._entries
        self._seen = {reset.id: ids.Revision(offset)}
        self._covered = ids.Revision(offset - 1)
        self._floor = ids.Revision(offset)
        self._chain = ''
        self._skipped = None
        return Verdict(VerdictKind.APPLIED, offset, reset.id)

    def _take_snapshot(
        self, snapshot: records.Snapshot, offset: ids.Offset
    ) -> Verdict:
        if self._covered < snapshot.covers < offset:
            self._covered = snapshot.covers
        detail = f'covers {snapshot.covers}'
        return Verdict(VerdictKind.SNAPSHOT, offset, detail=detail)

    def _skip(self, offset: ids.Offset, found: records.Unreadable) -> Verdict:
        if not found.newer:
            kind = VerdictKind.INVALID
            return Verdict(kind, offset, detail=found.reason)
        if self._skipped is None:
            self._skipped = ids.Revision(offset)
        return Verdict(VerdictKind.SKIPPED, offset, detail=found.reason)


def _update(
    rows: dict[keys.Key, keys.Declared],
    values: Mapping[keys.Key, keys.Declared | None],
) -> None:
    for key, value in values.items():
        if value is None:
            rows.pop(key, None)
        else:
            rows[key] = value


def _judge(
    kind: VerdictKind,
    offset: ids.Offset,
    change: records.Change,
    detail: str = '',
    conflict: Conflict | None = None,
) -> Verdict:
    return Verdict(kind, offset, change.id, detail, conflict)


def _describe(conflict: Conflict) -> str:
    return (
        f'{", ".join(conflict.keys)} changed at revision '
        f'{conflict.revision} by {conflict.author}'
    )
