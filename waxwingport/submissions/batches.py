"""The items of one submission that a node runs, and places they take."""

import asyncio

import msgspec

from waxwingport.fleet import model as fleet
from waxwingport import ids
from waxwingport.submissions import fold
from waxwingport.submissions import generation
from waxwingport.submissions import journal
from waxwingport.submissions import model

__all__ = ['Batch', 'Job', 'Slot']


class Job(msgspec.Struct, eq=False):
    """One item to run."""

    item: model.Item
    text: generation.Text
    failures: int = 0
    stored_events: int = 0
    """Events of the text that the log holds."""
    not_before: float = 0.0
    """Loop's time."""

    def start_over(self) -> None:
        """Drops the text, also the kept one."""
        self.text.clear()
        self.stored_events = 0


class Slot:
    """A place at an engine, taken before the run begins there."""

    def __init__(self, target: fleet.Target) -> None:
        self.target = target
        self._held = True
        target.running += 1

    def release(self) -> None:
        """Gives the place back; does nothing the second time."""
        if self._held:
            self._held = False
            self.target.running -= 1


class Batch(msgspec.Struct, eq=False):
    """The items of one submission that this node runs."""

    entry: fold.Entry
    journal: journal.Journal
    waiting: dict[model.ItemId, Job]
    ranks: dict[ids.GroupId, int]
    tasks: set[asyncio.Task[None]]
    drafts: dict[model.ItemId, Job]
    """Jobs that have begun and are not listed."""

    def make_drafts(self, new_events: int) -> list[model.Draft]:
        """Returns the texts without a result that have grown.

        ``new_events`` is by how many events at least since they were returned
        last.
        """
        grown = [
            job
            for job in self.drafts.values()
            if len(job.text.events) >= job.stored_events + new_events
        ]
        for job in grown:
            job.stored_events = len(job.text.events)
        return [
            model.Draft(
                job.item.item_id,
                tuple(job.text.events),
                tuple(job.text.versions),
            )
            for job in grown
        ]
