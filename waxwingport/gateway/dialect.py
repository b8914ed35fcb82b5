"""Interface to the wire format of requests, responses and submissions.

The rest of the product works on the structs defined here; an implementation
of ``Dialect`` parses them from messages and encodes them.
"""

import abc
from collections.abc import Sequence

from expression import Result
import msgspec
from tornado import httputil

from waxwingport.fleet import model as fleet
from waxwingport.http import messages
from waxwingport import ids
from waxwingport.submissions import model as submissions
from waxwingport.tenancy import model as tenancy

__all__ = [
    'AnswerHead',
    'BatchCall',
    'BatchRead',
    'Call',
    'Dialect',
    'EndCall',
    'Expectations',
    'Head',
    'Headers',
    'ItemRead',
    'Resumption',
    'SubmitCall',
]

Headers = Sequence[tuple[str, str]]


class Resumption(msgspec.Struct, frozen=True):
    """A stream whose first events the caller has from earlier tries."""

    after: int | None
    """Number of the last event, ``None`` if it can't be read."""
    first_id: ids.RequestId | None
    """Id of the try that brought the first event, if the caller names it."""


class Head(msgspec.Struct, frozen=True):
    """What the head of a request says of it, whatever its kind."""

    request_id: ids.RequestId
    """Empty if the request has none."""
    host: str
    """In lower case, without port; empty if the request names none."""


class Call(msgspec.Struct, frozen=True):
    """A complete request of a caller."""

    request_id: ids.RequestId
    method: str
    path: str
    """Includes the query."""
    host: str
    headers: tuple[tuple[str, str], ...]
    """End-to-end headers, without those that the system sets itself."""
    body: bytes
    timeout: float | None
    """Seconds that the caller waits from now on, or ``None`` if not stated."""
    resumption: Resumption | None = None
    """What the caller has of the stream that it resumes, if it does."""
    digest: ids.RequestDigest | None = None
    """Recognises the request when it comes again; ``None`` for items and their
    reward calls, which come once."""
    tenant: tenancy.TenantName | None = None
    """Tenant whose key the request carries; ``None`` without tenants, on
    public routes without a key, and for reward calls."""


class Expectations(msgspec.Struct, frozen=True):
    """Conditions and limits that are sent to a target with a request."""

    instance: fleet.InstanceId
    """The instance that has to run the request."""
    remaining: float | None = None
    """Seconds after which the response is no longer needed."""
    resume_after: int | None = None
    """Number of the last event received; the stream resumes after it."""
    version: ids.WeightVersion | None = None
    """The version of the weights that has to generate the response."""
    priority: int | None = None
    """From 0, the most urgent, to 9."""


class AnswerHead(msgspec.Struct, frozen=True):
    """Status and headers of a target's response, parsed."""

    request_id: str | None
    """Id of the request that is answered, if the response has one."""
    not_run: bool
    """Whether the target states that it did not run the request."""
    moved: bool
    """Whether another instance than the expected one answered."""
    signature: str | None
    """The target's signature of the response; a scorer's is the score."""
    active_requests: int | None
    """Number of requests that run or wait at the target."""
    slots: int | None
    """Number of requests that the target runs at the same time."""
    version: ids.WeightVersion | None
    """The version of the weights that generates the response."""
    retry_after: float | None
    """Seconds."""
    slowdown: float | None = None
    """Time that work takes at the target now over the usual one, ``None`` if
    it is not reported."""


class SubmitCall(msgspec.Struct, frozen=True):
    """A trainer's request to accept a batch."""

    submission: submissions.Submission


class BatchRead(msgspec.Struct, frozen=True):
    """A request for results from a position on."""

    submission_id: submissions.SubmissionId
    after: int
    wait: float
    """Seconds to wait if there is no result yet."""


class ItemRead(msgspec.Struct, frozen=True):
    """A request for the body of an item."""

    submission_id: submissions.SubmissionId
    item_id: submissions.ItemId


class EndCall(msgspec.Struct, frozen=True):
    """A request to end a submission."""

    submission_id: submissions.SubmissionId


BatchCall = SubmitCall | BatchRead | ItemRead | EndCall


class Dialect(abc.ABC):
    """Parses and encodes the messages of callers and targets."""

    @abc.abstractmethod
    def read_head(self, headers: Headers) -> Head:
        """Returns the parsed head of a caller's request."""

    @abc.abstractmethod
    def read_key(self, headers: Headers) -> Result[str, str]:
        """Returns the API key that a request carries, in visible ASCII.

        Fails with what is wrong, without the key, if there is none or if it
        is malformed.
        """

    @abc.abstractmethod
    def read_call(
        self,
        method: str,
        path: str,
        headers: Headers,
        body: bytes,
        identity: tenancy.Identity | None = None,
    ) -> Result[Call, str]:
        """Returns a caller's request; fails with what is wrong.

        With an ``identity`` the call has neither the key nor a tenant that
        the caller names, and its digest depends on the tenant.
        """

    @abc.abstractmethod
    def read_batch_call(
        self,
        call: Call,
        now: float,
        identity: tenancy.Identity | None = None,
    ) -> Result[BatchCall | None, str]:
        """Returns the operation on submissions that a call asks for.

        Returns ``None`` for any other call; fails with a description of the
        fault.  ``now`` is in seconds since 1970.  With an ``identity`` the
        items of a submission have no keys.
        """

    @abc.abstractmethod
    def make_request(
        self,
        call: Call,
        expected: Expectations,
        fresh: bool,
        peer: messages.Peer | None = None,
    ) -> messages.Request:
        """Returns the request to send to a target.

        ``fresh`` asks for a connection of its own; ``peer`` is the target.
        """

    @abc.abstractmethod
    def make_start_request(
        self, instance: fleet.InstanceId, peer: messages.Peer
    ) -> messages.Request:
        """Returns the request that asks a target when it started."""

    @abc.abstractmethod
    def read_start(self, body: bytes) -> Result[int | None, str]:
        """Returns when a target started, in milliseconds since 1970.

        Returns ``None`` if its answer does not tell; fails with what is wrong
        with the answer.
        """

    @abc.abstractmethod
    def make_item_call(
        self,
        item: submissions.Item,
        host: str,
        identity: tenancy.Identity | None = None,
    ) -> Call:
        """Returns the request that generates an item.

        ``identity`` is for whom it is sent, if tenants are in force.
        """

    @abc.abstractmethod
    def make_reward_call(self, reward: submissions.RewardCall) -> Call:
        """Returns the request that scores a generated text."""

    @abc.abstractmethod
    def read_answer(self, status: int, headers: Headers) -> AnswerHead:
        """Returns the parsed head of a target's response."""

    @abc.abstractmethod
    def is_leaving(self, headers: httputil.HTTPHeaders) -> bool:
        """Returns whether a target's answer says that the target leaves."""

    @abc.abstractmethod
    def read_limit(
        self, headers: httputil.HTTPHeaders
    ) -> Result[float | None, str]:
        """Returns the requests a second that a target takes from all nodes.

        Returns ``None`` if its answer names no limit; fails with what is
        wrong with the one that it names.
        """

    @abc.abstractmethod
    def read_event_version(self, event: bytes) -> ids.WeightVersion | None:
        """Returns the version of the weights that an event announces.

        It generates the events that follow; ``None`` if there is no change.
        """

    @abc.abstractmethod
    def make_response_headers(
        self,
        request_id: ids.RequestId | None,
        retry_after: float | None,
        needs_key: bool = False,
    ) -> dict[str, str]:
        """Returns the headers of a response that the gateway makes itself.

        ``retry_after`` is in seconds.  ``needs_key`` asks for a key.
        """

    @abc.abstractmethod
    def encode_results(
        self,
        total: int,
        after: int,
        results: Sequence[submissions.ItemResult],
    ) -> bytes:
        """Returns results from position ``after`` on, as many as fit.

        ``total`` is the number of items of the submission.
        """
