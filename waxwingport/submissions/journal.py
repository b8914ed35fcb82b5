"""Writes results and drafts of the submissions of one partition."""

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
    """Writes a partition's index and texts while this node holds its lease.

    A text is appended before the index record that refers to it, so that a
    reader of the index can always read the text.
    """

    def __init__(
        self,
        index: writers.FencedWriter,
        text_writer: texts.TextWriter,
        max_record_bytes: int,
    ) -> None:
        self._index = index
        self._texts = text_writer
        self._max_record_bytes = max_record_bytes
        self.partition = index.partition
        self.epoch = index.epoch

    async def store_result(
        self, submission_id: model.SubmissionId, result: model.ItemResult
    ) -> Result[None, base.Fault]:
        """Stores an item's text and result, which gives it its position.

        Fails when a later holder has fenced this node.
        """
        text = None
        if result.events:
            match await self._texts.store(result.events):
                case Result(tag='ok', ok=text):
                    pass
                case Result(error=fault):
                    return Error(fault)
        finished = model.FinishedItem(
            result.item_id, result.state, text, result.versions, result.score
        )
        return await self.store_finished_item(submission_id, finished)

    async def store_finished_item(
        self, submission_id: model.SubmissionId, finished: model.FinishedItem
    ) -> Result[None, base.Fault]:
        """Stores an item's result whose text is in the log already.

        Fails when a later holder has fenced this node.
        """
        return await self._write(records.ItemFinished(submission_id, finished))

    async def store_drafts(
        self,
        submission_id: model.SubmissionId,
        drafts: Sequence[model.Draft],
    ) -> Result[None, base.Fault]:
        """Stores the texts of unfinished items, to be resumed later.

        Fails when a later holder has fenced this node.
        """
        outcomes = await asyncio.gather(
            *(self._texts.store(draft.events) for draft in drafts)
        )
        stored: list[model.StoredDraft] = []
        for draft, outcome in zip(drafts, outcomes, strict=True):
            match outcome:
                case Result(tag='ok', ok=text):
                    stored.append(
                        model.StoredDraft(
                            draft.item_id,
                            len(draft.events),
                            text,
                            draft.versions,
                        )
                    )
                case Result(error=fault):
                    return Error(fault)
        return await self._write(records.Drafted(submission_id, tuple(stored)))

    async def _write(self, record: records.Record) -> Result[None, base.Fault]:
        encoded = records.encode(record, self._max_record_bytes)
        done = await self._index.write(encoded)
        return done.map(lambda _: None)
