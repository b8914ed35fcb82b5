"""Submissions whose items a node runs, and engine slots reserved for them."""

import asyncio
from collections.abc import Iterable

import msgspec

from waxwingport.fleet import model as fleet
from waxwingport import ids
from waxwingport.scheduling import cuts
from waxwingport.submissions import generation
from waxwingport.submissions import journal
from waxwingport.submissions import model
from waxwingport.submissions import partition_state

__all__ = ['EngineSlot', 'Job', 'SubmissionRun', 'find_longest_outputs']

_DEFAULT_OUTPUT_TOKENS = 1000
"""Output tokens assumed for the rank of a group if its items have no hint."""


class Job(msgspec.Struct, eq=False):
    """An item to run and the text generated for it so far."""

    item: model.Item
    text: generation.Text
    failures: int = 0
    """Runs that the engine answered as failed."""
    silent_runs: int = 0
    """Runs that ended because no response or event came in time."""
    stored_events: int = 0
    """Events of the text that are stored in the log as a draft."""
    not_before: float = 0.0
    """Loop time before which the item must not be started."""
    waits_since: float | None = None
    """Loop time since which it waits for an engine that may go on with its
    text, ``None`` if it does not."""
    cut_runs: list[cuts.Cut] = []
    """Runs that this node ended so that the item goes on elsewhere."""

    def start_over(self) -> None:
        """Discards the generated text, so that the next run begins anew."""
        self.text.clear()
        self.stored_events = 0
        self.cut_runs.clear()
        self.waits_since = None


class EngineSlot:
    """A reserved slot at an engine, from creation until ``release``.

    Counts as a running request of the target before the run begins there.
    """

    def __init__(self, target: fleet.Target) -> None:
        self.target = target
        self._occupied = True
        target.running += 1

    def release(self) -> None:
        """Frees the slot; further calls have no effect."""
        if self._occupied:
            self._occupied = False
            self.target.running -= 1


class SubmissionRun(msgspec.Struct, eq=False):
    """A submission whose items this node runs."""

    entry: partition_state.Entry
    journal: journal.Journal
    waiting: dict[model.ItemId, Job]
    """Jobs that wait for an engine slot."""
    ranks: dict[ids.GroupId, int]
    """Rank of each group; see ``order.rank_groups``."""
    tasks: set[asyncio.Task[None]]
    """Tasks that run items, read drafts or store results."""
    started: dict[model.ItemId, Job]
    """Jobs that have been started and whose result is not stored yet."""

    def collect_drafts(self, new_events: int) -> list[model.Draft]:
        """Returns drafts of the unfinished texts, and counts them as stored.

        Leaves out a text that has grown by fewer than ``new_events`` events
        since it was last returned.
        """
        grown = [
            job
            for job in self.started.values()
            if len(job.text.events) >= job.stored_events + new_events
        ]
        for job in grown:
            job.stored_events = len(job.text.events)
        return [
            model.Draft(
                job.item.item_id,
                tuple(job.text.events),
                tuple(job.text.versions),
                job.text.origin,
            )
            for job in grown
        ]


def find_longest_outputs(
    items: Iterable[model.Item],
) -> dict[ids.GroupId, int]:
    """Returns the longest output hinted in each group, in tokens."""
    longest: dict[ids.GroupId, int] = {}
    for item in items:
        tokens = item.expected_output_tokens or _DEFAULT_OUTPUT_TOKENS
        longest[item.group] = max(longest.get(item.group, 0), tokens)
    return longest
