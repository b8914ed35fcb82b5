"""Order in which waiting items of open submissions are started."""

from collections.abc import Iterable
from collections.abc import Sequence
import math

import msgspec

from waxwingport import ids
from waxwingport.submissions import model

__all__ = ['Candidate', 'rank_groups', 'sort_candidates']

_DEFAULT_OUTPUT_TOKENS = 1000
"""Output tokens assumed for an item without an estimate."""


class Candidate(msgspec.Struct, frozen=True):
    """A waiting item with the values that decide its position."""

    submission_id: model.SubmissionId
    item_id: model.ItemId
    group: ids.GroupId
    due_at: float
    """Seconds since 1970 at which its submission is due."""
    group_rank: int
    """Rank of its group within the submission, from 0; see ``rank_groups``."""
    wanted_groups: int
    """Number of complete groups that the trainer waits for."""
    priority: int
    """Priority of the route; 0 is the most urgent, unlike the priorities of
    ``routing.Work``, of which the greatest is."""
    expected_tokens: int
    """Tokens expected of the whole output; without an estimate, the bound of
    prompt and output together.  Text generated so far is not subtracted."""


def rank_groups(
    items: Iterable[model.Item], first: frozenset[ids.GroupId]
) -> dict[ids.GroupId, int]:
    """Returns the rank of each group, from 0.

    Groups in ``first`` come first; the others follow in the order of the
    longest output expected in them, shortest first.

    Load pattern: a trainer waits for nine tenths of its groups, and a few
    groups have an item five times as long as the mean.  These groups come
    last, so that they delay the step only if the trainer needs them.
    """
    longest: dict[ids.GroupId, int] = {}
    for item in items:
        tokens = item.expected_output_tokens or _DEFAULT_OUTPUT_TOKENS
        longest[item.group] = max(longest.get(item.group, 0), tokens)
    groups = sorted(
        longest, key=lambda name: (name not in first, longest[name])
    )
    return {name: rank for rank, name in enumerate(groups)}


def sort_candidates(
    candidates: Sequence[Candidate],
) -> list[Candidate]:
    """Returns waiting items in the order in which they should start.

    Items of groups that the trainer waits for come before the others.  Then
    the earlier due time decides (in whole seconds), then the more urgent
    route, and then the longer item, since the longest one decides when the
    submission is complete.  The order matters when the items of several
    trainers outnumber the free slots.
    """

    def key(candidate: Candidate) -> tuple[bool, int, int, int]:
        not_needed = candidate.group_rank >= candidate.wanted_groups
        due = math.floor(candidate.due_at)
        return not_needed, due, candidate.priority, -candidate.expected_tokens

    return sorted(candidates, key=key)
