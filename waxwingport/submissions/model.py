"""Submissions, their items and the items' results."""

import enum
from typing import NewType

import msgspec

from waxwingport.fleet import model as fleet
from waxwingport import ids

__all__ = [
    'Draft',
    'FinishedItem',
    'Item',
    'ItemId',
    'ItemResult',
    'ItemState',
    'RewardCall',
    'StoredDraft',
    'Submission',
    'SubmissionId',
    'TextReference',
]

ItemId = NewType('ItemId', str)
SubmissionId = NewType('SubmissionId', str)


class ItemState(enum.Enum):
    """How an item ended."""

    COMPLETED = 'completed'
    ERRORED = 'errored'


class RewardCall(msgspec.Struct, frozen=True, array_like=True):
    """Request to a scoring service that scores a finished text."""

    request_id: ids.RequestId
    host: str
    path: str
    body: bytes


class Item(msgspec.Struct, frozen=True, array_like=True):
    """One generation request of a submission."""

    item_id: ItemId
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    max_total_tokens: int
    """Tokens of the prompt and of the longest permitted output together."""
    expected_output_tokens: int | None
    """The submitter's estimate of the output's tokens."""
    group: ids.GroupId
    reward: RewardCall | None


class Submission(msgspec.Struct, frozen=True, array_like=True):
    """An accepted batch of generation requests."""

    submission_id: SubmissionId
    host: str
    path: str
    """Path of the call that submitted it; selects the route, with the host."""
    model: str
    step: int
    minimum_version: ids.WeightVersion
    wanted_groups: int
    """Number of complete groups that the trainer waits for."""
    items: tuple[Item, ...]
    accepted_at: float
    """Seconds since 1970."""
    tenant: str = ''
    """Name of the tenant that it belongs to, empty if it has none: no tenants
    were in force, or an earlier release of this project stored it."""


class ItemResult(msgspec.Struct, frozen=True):
    """An item's result with its text, as returned to callers."""

    item_id: ItemId
    state: ItemState
    events: tuple[str, ...]
    versions: tuple[ids.WeightVersion, ...]
    score: str | None
    """As returned by the scoring service, not interpreted; ``None`` if the
    item asks for no score or has failed."""


class Draft(msgspec.Struct, frozen=True):
    """Text of an unfinished item, from which a later run can resume."""

    item_id: ItemId
    events: tuple[str, ...]
    versions: tuple[ids.WeightVersion, ...]
    origin: fleet.Origin | None
    """Origin of the engine that began it."""


class TextReference(msgspec.Struct, frozen=True, array_like=True, order=True):
    """Location of a text in the log."""

    partition: int
    """Number of the partition of the texts topic."""
    offset: ids.Offset
    record_count: int
    """Consecutive records that the text occupies from ``offset`` on."""
    size: int
    """Bytes of these records."""
    stored_at: float
    """Seconds since 1970; the log drops texts from a certain age on."""


class FinishedItem(msgspec.Struct, frozen=True, array_like=True):
    """An item's result as stored in the submissions topic."""

    item_id: ItemId
    state: ItemState
    text: TextReference | None
    """``None`` if the text is empty."""
    versions: tuple[ids.WeightVersion, ...]
    score: str | None


class StoredDraft(msgspec.Struct, frozen=True, array_like=True):
    """A draft as stored in the submissions topic."""

    item_id: ItemId
    event_count: int
    """Number of events in the text."""
    text: TextReference
    versions: tuple[ids.WeightVersion, ...]
    origin: fleet.Origin | None = None
    """Origin of the engine that began it, ``None`` if an earlier release of
    this project stored it."""
