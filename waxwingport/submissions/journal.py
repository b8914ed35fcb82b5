"""Writes what becomes of the submissions of one held partition."""

import asyncio
from collections.abc import Sequence

from expression import Error
from expression import Result
from waxwingport.log import base
from waxwingport.log import writers
from waxwingport.submissions import model
from waxwingport.submissions import records
from waxwingport.submissions import texts

__all__ = ['Journal']


class Journal:
    """The only writer of a partition's index and of its texts.

    A text stands in the log before the index names it, so that whoever reads
    the index can read the text.
    """

    def __init__(
        self,
        index: writers.FencedWriter,
        texts_: texts.TextWriter,
        record_size: int,
    ) -> None:
        self._index = index
        self._texts = texts_
        self._record_size = record_size
        self.partition = index.partition
        self.epoch = index.epoch

    async def list_item(
        self, submission_id: model.SubmissionId, result: model.ItemResult
    ) -> Result[None, base.Fault]:
        """Gives an item's result its position; fails when fenced."""
        text = None
        if result.events:
            match await self._texts.store(result.events):
                case Result(tag='ok', ok=text):
                    pass
                case Result(error=fault):
                    return Error(fault)
        listed = model.ListedItem(
            result.item_id, result.state, text, result.versions, result.score
        )
        return await self.list_stored_result(submission_id, listed)

    async def list_stored_result(
        self, submission_id: model.SubmissionId, listed: model.ListedItem
    ) -> Result[None, base.Fault]:
        """Likewise for a result whose text stands in the log."""
        return await self._write(records.Listed(submission_id, listed))

    async def store_drafts(
        self,
        submission_id: model.SubmissionId,
        drafts: Sequence[model.Draft],
    ) -> Result[None, base.Fault]:
        """Keeps texts that have not ended; fails when fenced."""
        outcomes = await asyncio.gather(
            *(self._texts.store(draft.events) for draft in drafts)
        )
        kept: list[model.StoredDraft] = []
        for draft, outcome in zip(drafts, outcomes, strict=True):
            match outcome:
                case Result(tag='ok', ok=text):
                    kept.append(
                        model.StoredDraft(
                            draft.item_id,
                            len(draft.events),
                            text,
                            draft.versions,
                        )
                    )
                case Result(error=fault):
                    return Error(fault)
        return await self._write(records.Drafted(submission_id, tuple(kept)))

    async def _write(self, record: records.Record) -> Result[None, base.Fault]:
        rows = records.encode(record, self._record_size)
        done = await self._index.write(rows)
        return done.map(lambda _: None)
