"""Interface of the index of idempotency keys."""

import abc
import enum

from expression import Result
import msgspec

from waxwingport import ids
from waxwingport import outcomes

__all__ = ['Claim', 'ClaimState', 'KeyIndex']


class ClaimState(enum.Enum):
    """Whether this node may run the request that uses a key."""

    ELSEWHERE = 'elsewhere'
    """Another request came first; ``Claim.owner`` has its outcome."""
    MISMATCH = 'mismatch'
    """The key was used before for a request with another fingerprint."""
    OURS = 'ours'
    """This request came first.  It alone may be sent, and only once."""


class Claim(msgspec.Struct, frozen=True):
    """Outcome of claiming a key.

    ``owner`` and ``incarnation`` identify the process whose intent came
    first, ``request_id`` the request that may run for the key.
    """

    state: ClaimState
    owner: ids.NodeName
    incarnation: ids.Incarnation
    request_id: ids.RequestId


class KeyIndex(abc.ABC):
    """Decides which request runs for a key: the one whose intent is first."""

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

        ``fingerprint`` identifies the request's method, path and body.
        Returns a refusal with ``Ran.NO`` if the log gives no decision within
        ``timeout`` seconds.
        """
