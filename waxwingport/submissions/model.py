"""What a submission, its items and their results hold."""

import enum
from typing import NewType

import msgspec

from waxwingport import ids

__all__ = [
    'Draft',
    'Item',
    'ItemId',
    'ItemResult',
    'ItemState',
    'ListedItem',
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
    """The request that scores a finished text."""

    request_id: ids.RequestId
    host: str
    path: str
    body: bytes


class Item(msgspec.Struct, frozen=True, array_like=True):
    """One generation of a submission."""

    item_id: ItemId
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    tokens: int
    """Tokens of the prompt and of the longest output together."""
    expected_tokens: int | None
    """The submitter's estimate of the output's tokens."""
    group: ids.GroupId
    reward: RewardCall | None


class Submission(msgspec.Struct, frozen=True, array_like=True):
    """A batch as it was accepted."""

    submission_id: SubmissionId
    host: str
    path: str
    """Path that it was submitted under; with the host it names the route."""
    model: str
    step: int
    minimum_version: ids.WeightVersion
    target_groups: int
    """Complete groups that the trainer waits for."""
    items: tuple[Item, ...]
    accepted_at: float
    """Seconds since 1970."""


class ItemResult(msgspec.Struct, frozen=True):
    """How an item ended, as it is told to readers."""

    item_id: ItemId
    state: ItemState
    events: tuple[str, ...]
    versions: tuple[ids.WeightVersion, ...]
    score: str | None


class Draft(msgspec.Struct, frozen=True):
    """Text of an item that has not ended, to go on from later."""

    item_id: ItemId
    events: tuple[str, ...]
    versions: tuple[ids.WeightVersion, ...]


class TextReference(msgspec.Struct, frozen=True, array_like=True, order=True):
    """Where the log holds a text."""

    partition: int
    """Of the topic of texts."""
    offset: ids.Offset
    record_count: int
    """Records that the text takes."""
    size: int
    """Bytes of these."""
    stored_at: float
    """Seconds since 1970; the log forgets it some time after."""


class ListedItem(msgspec.Struct, frozen=True, array_like=True):
    """How an item ended, as the index of submissions has it."""

    item_id: ItemId
    state: ItemState
    text: TextReference | None
    """``None`` where there is none to read."""
    versions: tuple[ids.WeightVersion, ...]
    score: str | None


class StoredDraft(msgspec.Struct, frozen=True, array_like=True):
    """A draft, as the index of submissions has it."""

    item_id: ItemId
    events: int
    """How many it holds."""
    text: TextReference
    versions: tuple[ids.WeightVersion, ...]
