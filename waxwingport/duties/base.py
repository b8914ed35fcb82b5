"""Interfaces of duties: counting of requests, and the API that is reported to.

The adapter for the platform's API implements ``UsageApi``.
"""

import abc
from collections.abc import Callable
from collections.abc import Coroutine
import enum
from typing import Any, TypeVar

import msgspec

from waxwingport import ids
from waxwingport.log import base
from waxwingport.tenancy import model as tenancy

__all__ = [
    'CallAnswer',
    'CallOutcome',
    'NoCounter',
    'Permit',
    'RequestCounter',
    'UsageApi',
    'UsageReport',
]

Outcome = TypeVar('Outcome')


class RequestCounter(abc.ABC):
    """Counts callers' requests that targets began to run, by tenant."""

    @abc.abstractmethod
    def count(
        self,
        request: object,
        tenant: tenancy.TenantName | None,
        attempt: Callable[[], Coroutine[Any, Any, Outcome]],
    ) -> Coroutine[Any, Any, Outcome]:
        """Runs an attempt, counts its request if it ran, returns its outcome.

        ``request`` is the same object for all attempts of a request, which
        counts once.  A request without a tenant is not counted.
        """


class NoCounter(RequestCounter):
    """Counts nothing; used where no usage is reported."""

    def count(
        self,
        request: object,
        tenant: tenancy.TenantName | None,
        attempt: Callable[[], Coroutine[Any, Any, Outcome]],
    ) -> Coroutine[Any, Any, Outcome]:
        """Returns the attempt itself."""
        return attempt()


class UsageReport(msgspec.Struct, frozen=True):
    """The number of requests of each tenant in one window."""

    window: int
    counts: dict[str, int]
    """By tenant; tenants without requests are left out."""


class CallOutcome(enum.Enum):
    """Outcome of a call to the API."""

    DONE = 'done'
    BUSY = 'busy'
    """Refused since the API got too many calls; may be retried."""
    FAILED = 'failed'
    """Another status than success."""
    UNKNOWN = 'unknown'
    """No answer; the call may have taken effect or may still do so."""
    UNSENT = 'unsent'
    """Nothing was sent."""


class CallAnswer(msgspec.Struct, frozen=True):
    """Outcome of a call and its reason."""

    outcome: CallOutcome
    detail: str = ''
    retry_after: float | None = None
    """Seconds to wait, if the API asks for it."""


class Permit(msgspec.Struct, frozen=True):
    """Permission of the present holder to send one call."""

    holder: ids.NodeName
    fencing_number: base.Epoch
    """Number of the holder's claim; higher for each later holder."""
    is_valid: Callable[[], bool]
    """Returns whether the call may still be sent; to be called directly
    before its first byte is written."""


class UsageApi(abc.ABC):
    """The API that takes reports of usage."""

    @abc.abstractmethod
    async def report_usage(
        self, report: UsageReport, permit: Permit, timeout: float
    ) -> CallAnswer:
        """Sends a report once and returns the outcome.

        Nothing is sent once ``permit`` is not valid any more.  The call does
        not arrive later than ``timeout`` seconds from now.
        """
