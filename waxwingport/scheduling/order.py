"""Order in which waiting items of open submissions are started."""

from collections.abc import Callable
from collections.abc import Hashable
from collections.abc import Iterable
from collections.abc import Mapping
import math
from typing import Generic
from typing import TypeVar

import msgspec

from waxwingport import ids
from waxwingport.scheduling import urgency

__all__ = [
    'Candidate',
    'Capacity',
    'add_rests',
    'rank_groups',
    'sort_by_cost',
    'sort_candidates',
]

Key = TypeVar('Key')

_SUBMISSION_RESERVE = 0.8
"""Multiple of the rest of a submission that has to be left for it to be in
time.  Texts often end sooner than estimated; with 1.0 submissions that could
have been done in time were put off, with 0.6 late ones delayed others."""


class Candidate(msgspec.Struct, Generic[Key], frozen=True):
    """A waiting item with the values that decide its position."""

    key: Key
    """Names the item to the caller."""
    due_at: float
    """Seconds since 1970 at which its submission is due."""
    group_rank: int
    """Rank of its group within the submission, from 0; see ``rank_groups``."""
    wanted_groups: int
    """Number of complete groups that the trainer waits for."""
    priority: int
    """Priority of the tenant or the route; 0 is the most urgent, unlike the
    priorities of ``routing.Work``, of which the greatest is."""
    remaining: float
    """Events that its text is expected to lack."""
    rest: float = 0.0
    """Seconds that the rest of its submission takes if it has all engines."""


def rank_groups(
    longest: Mapping[ids.GroupId, int], first: frozenset[ids.GroupId]
) -> dict[ids.GroupId, int]:
    """Returns the rank of each group, from 0.

    ``longest`` has the longest output expected in each group.  Groups in
    ``first`` come first; the others follow in the order of that length,
    shortest first.

    Load pattern: a trainer waits for nine tenths of its groups, and a few
    groups have an item five times as long as the mean.  These groups come
    last, so that they delay the step only if the trainer needs them.
    """
    groups = sorted(
        longest, key=lambda name: (name not in first, longest[name])
    )
    return {name: rank for rank, name in enumerate(groups)}


def sort_candidates(
    candidates: Iterable[Candidate[Key]],
) -> list[Candidate[Key]]:
    """Returns waiting items in the order in which they should start.

    Items of groups that the trainer waits for come before the others.  Then
    the earlier due time decides (in whole seconds), then the more urgent
    tenant or route, and then the longer rest, since the longest one decides
    when the submission is complete.  The order matters when the items of
    several trainers outnumber the free slots.
    """

    def key(candidate: Candidate[Key]) -> tuple[bool, int, int, float]:
        not_needed = candidate.group_rank >= candidate.wanted_groups
        due = math.floor(candidate.due_at)
        return not_needed, due, candidate.priority, -candidate.remaining

    return sorted(candidates, key=key)


class Capacity(msgspec.Struct, frozen=True):
    """What the engines of some items can do."""

    gap: float | None
    """Mean seconds between two events, ``None`` while it is not known."""
    slots: int


def add_rests(
    candidates: Iterable[Candidate[Key]],
    find_submission: Callable[[Key], Hashable],
    capacity: Capacity,
) -> list[Candidate[Key]]:
    """Returns items with the time that the rest of their submission takes.

    That is the time of the longest text, or of all of them on all slots, of
    the groups that the trainer waits for.  ``find_submission`` returns what
    the submission of an item is recognised by.
    """
    candidates = list(candidates)
    if capacity.gap is None or capacity.slots <= 0:
        return candidates
    longest: dict[Hashable, float] = {}
    total: dict[Hashable, float] = {}
    for candidate in candidates:
        if candidate.group_rank >= candidate.wanted_groups:
            continue
        name = find_submission(candidate.key)
        longest[name] = max(longest.get(name, 0.0), candidate.remaining)
        total[name] = total.get(name, 0.0) + candidate.remaining
    rests = {
        name: capacity.gap * max(events, total[name] / capacity.slots)
        for name, events in longest.items()
    }
    return [
        msgspec.structs.replace(
            candidate, rest=rests.get(find_submission(candidate.key), 0.0)
        )
        for candidate in candidates
    ]


def sort_by_cost(
    candidates: Iterable[Candidate[Key]], now: float
) -> list[Candidate[Key]]:
    """Returns waiting items in the order of what their delay costs.

    Items of groups that the trainer waits for come before the others.  Then
    the position of the submission decides, by its priority, due time and
    rest: one that can't be done in time comes after those that can.  Within a
    submission the longer rest goes first.  ``now`` is in seconds since 1970.

    Load pattern: one kind of submission comes at four times its rate.
    """

    def key(
        candidate: Candidate[Key],
    ) -> tuple[bool, urgency.Position, float]:
        not_needed = candidate.group_rank >= candidate.wanted_groups
        work = urgency.Work(
            candidate.priority,
            candidate.due_at,
            candidate.rest,
            _SUBMISSION_RESERVE,
        )
        position = urgency.compute_position(work, now)
        return not_needed, position, -candidate.remaining

    return sorted(candidates, key=key)
