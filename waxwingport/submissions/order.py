"""Pure order in which items of open submissions are started."""

from collections.abc import Iterable
from collections.abc import Sequence
import math

import msgspec

from waxwingport import ids
from waxwingport.submissions import model

__all__ = ['Candidate', 'rank_groups', 'sort_candidates']

_DEFAULT_TOKENS = 1000
"""Output tokens assumed of an item without an estimate."""


class Candidate(msgspec.Struct, frozen=True):
    """An item that waits, and what decides its turn."""

    submission_id: model.SubmissionId
    item_id: model.ItemId
    group: ids.GroupId
    due_at: float
    """Seconds since 1970 at which its submission is due."""
    group_rank: int
    """Place of its group among those of the submission, from 0."""
    wanted_groups: int
    """Groups that the trainer waits for."""
    priority: int
    """Of its route; 0 is the most urgent."""
    remaining_tokens: int
    """Output that is still expected."""


def rank_groups(
    items: Iterable[model.Item], first: frozenset[ids.GroupId]
) -> dict[ids.GroupId, int]:
    """Returns the place of each group, from 0.

    Groups in ``first`` lead; the others follow by the longest output expected
    in them, shortest first.

    Load pattern: a trainer that waits for nine tenths of its groups, a few
    of which hold an item five times as long as the mean.  Those groups decide
    when the step is whole unless they are the ones left out.
    """
    longest: dict[ids.GroupId, int] = {}
    for item in items:
        tokens = item.expected_tokens or _DEFAULT_TOKENS
        longest[item.group] = max(longest.get(item.group, 0), tokens)
    groups = sorted(
        longest, key=lambda name: (name not in first, longest[name])
    )
    return {name: place for place, name in enumerate(groups)}


def sort_candidates(
    candidates: Sequence[Candidate],
) -> list[Candidate]:
    """Returns waiting items in the order in which they should start.

    Items of wanted groups go before the others; among them those of the
    submission that is due first, of the more urgent route among those due
    together, and then the longest first, since it decides when the submission
    is whole.

    Load pattern: more items than free slots, from several trainers at once.
    """

    def key(row: Candidate) -> tuple[bool, int, int, int]:
        spare = row.group_rank >= row.wanted_groups
        due = math.floor(row.due_at)
        return spare, due, row.priority, -row.remaining_tokens

    return sorted(candidates, key=key)
