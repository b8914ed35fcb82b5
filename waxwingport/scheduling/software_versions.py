"""Choice of the software version that begins a stream, as pure functions.

A stream may go on only at the version that began it.  Its version is computed
from its id and the slots of the versions, so that a node that has just
started finds it again without a record of the stream.

Load pattern: all nodes are killed while engines of two versions serve, and
callers resume all streams at once.
"""

from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence
import math

import xxhash

from waxwingport.fleet import model as fleet
from waxwingport import ids

__all__ = [
    'SlotCounts',
    'assign',
    'count_slots',
    'may_wait',
    'should_replace',
    'select',
]

SlotCounts = Mapping[ids.SoftwareVersion, int]
"""Slots of the engines of each version."""

_MAX_DRIFT = 0.1
"""Difference between a version's share of the counts in use and of the slots
from which on the counts are replaced.  Each replacement makes the version of
some streams ambiguous; a smaller difference costs little."""
_DEFAULT_EVENT_TIME_S = 0.02
"""Time between two events while none is known."""
_MAX_WAIT_S = 2.0
"""Longest wait of a text for an engine of its version: steps are due some
seconds after they began."""
_HASH_BITS = 53
"""Bits of a hash that a float represents exactly."""


def count_slots(
    targets: Iterable[fleet.Target],
) -> dict[ids.SoftwareVersion, int]:
    """Returns the slots of each version's targets."""
    slots: dict[ids.SoftwareVersion, int] = {}
    for target in targets:
        software = target.entry.software
        slots[software] = slots.get(software, 0) + target.entry.slots
    return dict(sorted(slots.items()))


def should_replace(current: SlotCounts, fresh: SlotCounts) -> bool:
    """Returns whether streams should be assigned by ``fresh`` from now on."""
    if not fresh or current.keys() != fresh.keys():
        return bool(fresh)
    current_total = sum(current.values())
    fresh_total = sum(fresh.values())
    return any(
        abs(current[software] / current_total - slots / fresh_total)
        > _MAX_DRIFT
        for software, slots in fresh.items()
    )


def assign(key: str, slots: SlotCounts) -> ids.SoftwareVersion | None:
    """Returns the version that begins a stream, ``None`` without slots.

    All tries of the stream have the same ``key``.

    A change of the counts moves no more streams than it has to.
    """
    return max(
        slots,
        key=lambda software: (
            _compute_rank(key, software, slots[software]),
            software,
        ),
        default=None,
    )


def _compute_rank(
    key: str, software: ids.SoftwareVersion, weight: int
) -> float:
    # Weighted rendezvous hashing: the highest rank goes to a version with a
    # probability in proportion to its weight.
    hashed = xxhash.xxh3_64_intdigest(f'{key}\0{software}'.encode())
    digest = hashed >> (64 - _HASH_BITS)
    position = (digest + 0.25) / (1 << _HASH_BITS)
    return -weight / math.log(position)


def select(
    candidates: Sequence[fleet.Target],
    assigned: ids.SoftwareVersion | None,
    may_deviate: bool,
    now: float,
) -> list[fleet.Target]:
    """Returns the targets at which a new stream may begin.

    Those of the ``assigned`` version, unless there are none or all are full
    while others have free slots.  With ``may_deviate`` false, only those.

    Load pattern: the engines of one version are full and those of another
    are not.
    """
    own = [
        target for target in candidates if target.entry.software == assigned
    ]
    if not may_deviate or any(_has_free_slot(target, now) for target in own):
        return own
    others = [
        target for target in candidates if target.entry.software != assigned
    ]
    free = [target for target in others if _has_free_slot(target, now)]
    return free or own or others


def may_wait(waited: float, events: int, event_time: float | None) -> bool:
    """Returns whether a text should still wait for an engine of its version.

    ``waited`` is in seconds, ``event_time`` the usual ones between events.  It
    waits no longer than its events take to be generated anew, which costs at
    most twice as much as the better choice, and in no case for so long that
    its step is late for that.

    Load pattern: most engines of a service are replaced, and texts that broke
    off wait for slots of the few that are left.
    """
    anew = events * (event_time or _DEFAULT_EVENT_TIME_S)
    return waited < min(anew, _MAX_WAIT_S)


def _has_free_slot(target: fleet.Target, now: float) -> bool:
    return (
        target.compute_load(now) < target.entry.slots
        and target.avoided_until <= now
    )
