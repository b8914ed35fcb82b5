"""Writer of the results and drafts of one partition's submissions."""

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
    """Writes a partition's results, drafts and texts under this node's lease.

    ``index_writer`` appends to the submissions topic, whose records refer to
    texts in a topic of their own.  A text is appended before the record that
    refers to it, so that whoever reads the record can read the text.
    """

    def __init__(
        self,
        index_writer: writers.FencedWriter,
        text_writer: texts.TextWriter,
        max_record_bytes: int,
    ) -> None:
        self._index_writer = index_writer
        self._texts = text_writer
        self._max_record_bytes = max_record_bytes
        self.partition = index_writer.partition
        self.epoch = index_writer.epoch

    async def store_result(
        self, submission_id: model.SubmissionId, result: model.ItemResult
    ) -> Result[None, base.Fault]:
        """Stores an item's text, then its result.

        Results have the order in which they are stored.

        Fails if a later holder has claimed the partition.
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
        """Stores an item's result whose text is already in the log.

        Fails if a later holder has claimed the partition.
        """
        return await self._write(records.ItemFinished(submission_id, finished))

    async def store_drafts(
        self,
        submission_id: model.SubmissionId,
        drafts: Sequence[model.Draft],
    ) -> Result[None, base.Fault]:
        """Stores the texts of unfinished items, to be resumed later.

        Fails if a later holder has claimed the partition.
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
                            draft.origin,
                        )
                    )
                case Result(error=fault):
                    return Error(fault)
        return await self._write(records.Drafted(submission_id, tuple(stored)))

    async def _write(self, record: records.Record) -> Result[None, base.Fault]:
        encoded = records.encode(record, self._max_record_bytes)
        done = await self._index_writer.write(encoded)
        return done.map(lambda _: None)
