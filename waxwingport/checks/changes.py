"""A difference between two versions of a configuration."""

import enum

import msgspec

__all__ = [
    'LATER',
    'REMOVED',
    'REPUBLISHED',
    'REVERTED',
    'Difference',
    'Importance',
]

REMOVED = 'yes, by a higher version without it'
REPUBLISHED = 'yes, by the former entry in a higher version'
REVERTED = 'yes, by the former value in a higher version'
LATER = 'requests in progress are completed under the former value'


class Importance(enum.IntEnum):
    """How much a difference matters to callers; the lowest comes first."""

    LOST_ACCESS = 0
    """Requests that were served are refused."""
    SERVICE = 1
    TIMEOUT = 2
    OTHER = 3


class Difference(msgspec.Struct, frozen=True):
    """One difference; ``place`` is a path into one of the documents."""

    importance: Importance
    place: str
    change: str
    effect: str
    """What it does to requests in progress."""
    revert: str
    """Whether it can be reverted: begins with "yes" or "partly"."""
    in_former: bool = False
    """Whether the place is in the former document, as for what was dropped."""
