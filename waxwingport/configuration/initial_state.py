"""Complete states to start from: snapshots, resets, given declarations."""

from expression import Error
from expression import Ok
from expression import Result

from waxwingport.configuration import consistency
from waxwingport.configuration import declarations
from waxwingport.configuration import fold
from waxwingport.configuration import keys
from waxwingport.configuration import records
from waxwingport import ids
from waxwingport.outside import base

__all__ = [
    'find_initial_state',
    'make_snapshot',
    'make_state',
    'restore_snapshot',
]


def make_snapshot(folded: fold.FoldedState) -> records.Snapshot:
    """Returns the snapshot record that covers the state's revision."""
    entries = {
        key: records.Entry(
            entry.revision,
            entry.author,
            records.write_value(entry.value),
        )
        for key, entry in sorted(folded.entries.items())
    }
    return records.Snapshot(
        covers=folded.revision,
        entries=entries,
        seen=dict(sorted(folded.seen.items())),
        covered=folded.covered,
        floor=folded.floor,
        chain=folded.chain,
    )


def restore_snapshot(
    snapshot: records.Snapshot,
) -> Result[fold.FoldedState, str]:
    """Returns the state in a snapshot record, or why it is invalid."""
    if snapshot.covers < 0 or not snapshot.chain:
        return Error('the snapshot is shortened: it has no entries')
    entries = {}
    for key, entry in snapshot.entries.items():
        match records.read_value(key, entry.value):
            case Result(tag='ok', ok=value):
                pass
            case Result(error=reason):
                return Error(reason)
        entries[key] = fold.Entry(value, entry.revision, entry.author)
    found = fold.FoldedState(
        snapshot.covers,
        entries,
        snapshot.seen,
        snapshot.covered,
        snapshot.floor,
        snapshot.chain,
    )
    faults = consistency.find_faults(found.declared)
    if faults:
        return Error('; '.join(f'{key}: {what}' for key, what in faults))
    return Ok(found)


def find_initial_state(
    record: base.LogRecord, oldest: ids.Offset
) -> fold.FoldedState | None:
    """Returns the complete state that ``record`` gives, or ``None``.

    A valid reset gives one.  A snapshot does if every record after the offset
    that it covers is still in the log, whose oldest offset is ``oldest``.
    """
    match records.decode(record.body):
        case Result(tag='ok', ok=records.Reset()):
            before = fold.FoldedState(ids.Revision(record.offset - 1))
            folded, verdicts = fold.fold(before, [record])
            valid = verdicts[0].kind is fold.VerdictKind.APPLIED
            return folded if valid else None
        case Result(tag='ok', ok=records.Snapshot() as snapshot):
            if oldest - 1 <= snapshot.covers < record.offset:
                return restore_snapshot(snapshot).default_value(None)
    return None


def make_state(
    revision: ids.Revision, declared: declarations.Declarations
) -> fold.FoldedState:
    """Returns a state in which ``declared`` is in force at ``revision``."""
    entries = {
        key: fold.Entry(value, revision, '')
        for key, value in keys.split(declared).items()
    }
    return fold.FoldedState(revision, entries)
