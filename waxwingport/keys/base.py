"""What request handling asks of the index of idempotency keys."""

import abc
import enum

from expression import Result
import msgspec

from waxwingport import ids
from waxwingport import outcomes

__all__ = ['Claim', 'ClaimState', 'KeyIndex']


class ClaimState(enum.Enum):
    """What this node may do about a key."""

    ELSEWHERE = 'elsewhere'
    """Another request owns the key; ask ``Claim.owner`` for its answer."""
    MISMATCH = 'mismatch'
    """The key was used before with a different request."""
    OURS = 'ours'
    """This request is the first; it alone may be sent, once."""


class Claim(msgspec.Struct, frozen=True):
    """Outcome of claiming a key.

    ``owner`` and ``incarnation`` name the process whose intent came first.
    """

    state: ClaimState
    owner: ids.NodeName
    incarnation: ids.Incarnation
    request_id: ids.RequestId


class KeyIndex(abc.ABC):
    """First intent for a key wins."""

    @abc.abstractmethod
    async def claim(
        self,
        caller: ids.CallerName,
        key: str,
        fingerprint: str,
        request_id: ids.RequestId,
        timeout: float,
    ) -> Result[Claim, outcomes.Refusal]:
        """Records an intent and returns whose intent came first.

        ``fingerprint`` identifies the request's method, path and body.  Fails
        with ``ran: no`` when the log cannot say.  ``timeout`` in seconds.
        """
