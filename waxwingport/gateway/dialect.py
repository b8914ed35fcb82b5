"""How requests, answers and orders are spelled on the wire, abstractly.

The product decides by the facts named here; an adapter reads them from
messages and writes them there.
"""

import abc
from collections.abc import Sequence

from expression import Result
import msgspec

from waxwingport.fleet import model as fleet
from waxwingport.http import messages
from waxwingport import ids
from waxwingport.submissions import model as submissions

__all__ = [
    'AnswerHead',
    'BatchCall',
    'BatchRead',
    'Call',
    'Dialect',
    'EndCall',
    'Expectations',
    'Headers',
    'ItemRead',
    'SubmitCall',
]

Headers = Sequence[tuple[str, str]]


class Call(msgspec.Struct, frozen=True):
    """A caller's request, whole."""

    request_id: ids.RequestId
    method: str
    path: str
    """With the query."""
    host: str
    headers: tuple[tuple[str, str], ...]
    """End-to-end headers as the caller sent them."""
    body: bytes
    timeout: float | None
    """Seconds that the caller waits from now on, if it said so."""


class Expectations(msgspec.Struct, frozen=True):
    """What the system tells a target beside the request itself."""

    instance: fleet.InstanceId
    remaining: float | None = None
    """Seconds after which the answer is of no use."""
    resume_after: int | None = None
    """Number of the last event that came, to go on after it."""
    version: ids.WeightVersion | None = None
    """The only version of the weights that will do."""
    priority: int | None = None
    """From 0, the most urgent, to 9."""


class AnswerHead(msgspec.Struct, frozen=True):
    """What the head of a target's answer says."""

    request_id: str | None
    """Id of the request that it answers, if it names one."""
    not_run: bool
    """Whether the target promises that it did not run the request."""
    moved: bool
    """Whether another instance has the address."""
    signature: str | None
    active_requests: int | None
    """Requests that run or wait at the target."""
    slots: int | None
    version: ids.WeightVersion | None
    retry_after: float | None


class SubmitCall(msgspec.Struct, frozen=True):
    """A trainer submits a batch."""

    submission: submissions.Submission


class BatchRead(msgspec.Struct, frozen=True):
    """Somebody reads results from a position on."""

    submission_id: submissions.SubmissionId
    after: int
    wait: float
    """Seconds to wait for a result."""


class ItemRead(msgspec.Struct, frozen=True):
    """Somebody reads the body of an item."""

    submission_id: submissions.SubmissionId
    item_id: submissions.ItemId


class EndCall(msgspec.Struct, frozen=True):
    """Somebody ends a submission."""

    submission_id: submissions.SubmissionId


BatchCall = SubmitCall | BatchRead | ItemRead | EndCall


class Dialect(abc.ABC):
    """Reads and writes the messages of callers and targets."""

    @abc.abstractmethod
    def read_call(
        self, method: str, path: str, headers: Headers, body: bytes
    ) -> Result[Call, str]:
        """Returns a caller's request; fails with what is wrong with it."""

    @abc.abstractmethod
    def read_batch_call(
        self, call: Call, now: float
    ) -> Result[BatchCall | None, str]:
        """Returns what a call wants of submissions, or ``None`` if nothing.

        ``now`` is in seconds since 1970.  Fails with what is wrong with it.
        """

    @abc.abstractmethod
    def make_request(
        self, call: Call, expected: Expectations, fresh: bool
    ) -> messages.Request:
        """Returns the request for a target.

        ``fresh`` asks for a connection of its own.
        """

    @abc.abstractmethod
    def make_item_call(self, item: submissions.Item, host: str) -> Call:
        """Returns the request that generates an item."""

    @abc.abstractmethod
    def make_reward_call(self, reward: submissions.RewardCall) -> Call:
        """Returns the request that scores a text."""

    @abc.abstractmethod
    def read_answer(self, status: int, headers: Headers) -> AnswerHead:
        """Returns what the head of a target's answer says."""

    @abc.abstractmethod
    def read_event_version(self, event: bytes) -> ids.WeightVersion | None:
        """Returns the version from which on a stream is generated."""

    @abc.abstractmethod
    def make_refusal_headers(
        self, request_id: ids.RequestId | None, retry_after: float | None
    ) -> dict[str, str]:
        """Returns the headers of an answer of the system's own."""

    @abc.abstractmethod
    def encode_results(
        self,
        total: int,
        after: int,
        results: Sequence[submissions.ItemResult],
    ) -> bytes:
        """Returns results from position ``after`` on, as many as fit."""
