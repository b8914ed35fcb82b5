"""Applies the records of one partition to its state.

The state depends on the records only, so it is the same on every node.
"""

from collections.abc import Iterator
from collections.abc import Sequence

import msgspec

from waxwingport.submissions import model
from waxwingport.submissions import records

__all__ = ['Entry', 'PartitionState']


class Entry(msgspec.Struct, eq=False):
    """One submission with its results and drafts."""

    submission: model.Submission
    items: dict[model.ItemId, model.Item]
    results: list[model.FinishedItem]
    """Results by position; the position of a result never changes."""
    finished: dict[model.ItemId, model.FinishedItem]
    drafts: dict[model.ItemId, model.StoredDraft]
    ended: bool = False
    """Whether a caller ended the submission."""

    @property
    def open(self) -> bool:
        """Whether it lacks results and was not ended by a caller."""
        return not self.ended and len(self.finished) < len(self.items)

    def find_unfinished(self) -> Iterator[model.Item]:
        """Yields the items that have no result yet."""
        for item in self.submission.items:
            if item.item_id not in self.finished:
                yield item


class PartitionState:
    """State of one partition's submissions.

    The first acceptance of a submission and the first result of an item
    count; later ones are duplicates and ignored, as are records of a
    submission whose acceptance has expired.
    """

    def __init__(self) -> None:
        self._entries: dict[model.SubmissionId, Entry] = {}
        self._by_item: dict[model.ItemId, list[Entry]] = {}

    def __iter__(self) -> Iterator[Entry]:
        return iter(self._entries.values())

    def find(self, submission_id: model.SubmissionId) -> Entry | None:
        """Returns a submission's entry, or ``None`` if it is not known."""
        return self._entries.get(submission_id)

    def find_with_item(self, item_id: model.ItemId) -> Sequence[Entry]:
        """Returns the entries with an item, in the order of acceptance."""
        return self._by_item.get(item_id, ())

    def apply(self, record: records.Record) -> Entry | None:
        """Applies the next record; returns the entry it changed, if any."""
        match record:
            case records.Accepted(submission):
                return self._accept(submission)
            case records.ItemFinished(submission_id, result):
                return self._store_result(submission_id, result)
            case records.Drafted(submission_id, drafts):
                return self._store_drafts(submission_id, drafts)
            case records.Ended(submission_id):
                return self._end(submission_id)

    def evict(self, accepted_before: float) -> int:
        """Drops submissions accepted before a time in seconds since 1970.

        Open ones, which have items to run, stay.  Returns the number dropped.
        """
        expired = [
            entry.submission.submission_id
            for entry in self._entries.values()
            if not entry.open
            and entry.submission.accepted_at < accepted_before
        ]
        for submission_id in expired:
            self._remove_from_index(self._entries.pop(submission_id))
        return len(expired)

    def _remove_from_index(self, entry: Entry) -> None:
        for item_id in entry.items:
            entries = self._by_item[item_id]
            entries.remove(entry)
            if not entries:
                del self._by_item[item_id]

    def _accept(self, submission: model.Submission) -> Entry | None:
        if submission.submission_id in self._entries:
            return None
        items = {item.item_id: item for item in submission.items}
        entry = Entry(submission, items, [], {}, {})
        self._entries[submission.submission_id] = entry
        for item_id in items:
            self._by_item.setdefault(item_id, []).append(entry)
        return entry

    def _store_result(
        self, submission_id: model.SubmissionId, result: model.FinishedItem
    ) -> Entry | None:
        entry = self._entries.get(submission_id)
        if entry is None or result.item_id in entry.finished:
            return None
        if result.item_id not in entry.items:
            return None
        entry.finished[result.item_id] = result
        entry.results.append(result)
        entry.drafts.pop(result.item_id, None)
        return entry

    def _store_drafts(
        self,
        submission_id: model.SubmissionId,
        drafts: tuple[model.StoredDraft, ...],
    ) -> Entry | None:
        entry = self._entries.get(submission_id)
        if entry is None:
            return None
        for draft in drafts:
            if draft.item_id not in entry.finished:
                entry.drafts[draft.item_id] = draft
        return entry

    def _end(self, submission_id: model.SubmissionId) -> Entry | None:
        entry = self._entries.get(submission_id)
        if entry is None or entry.ended:
            return None
        entry.ended = True
        return entry
