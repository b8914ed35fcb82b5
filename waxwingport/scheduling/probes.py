"""Order in which requests that may crash targets are sent.

A request that was at three crashes and is not stopped is sent only after a
claim, which all nodes read in the same order.  One try of it is at a target at
a time then, and at a target only one such request, so that the next crash
tells its cause.

Load pattern: all targets are down, and tries of the request that crashes them
come at every node until one is back.  Another request, which has never been
answered, comes as often.
"""

from collections.abc import Iterable

import msgspec

from waxwingport import ids
from waxwingport.scheduling import attribution

__all__ = ['CLAIM_LIFETIME_S', 'Claim', 'ClaimKey', 'ProbeOrder']

CLAIM_LIFETIME_S = 2.0
"""Time after its grant in which a claim holds up others: a target that has
work begins to run a request within that time."""


class Claim(msgspec.Struct, frozen=True, array_like=True):
    """A node's wish to send a request to a target."""

    digest: ids.RequestDigest
    target: attribution.TargetStart
    number: int
    """Tells the claims of a node apart."""


ClaimKey = tuple[ids.NodeName, Claim]


class ProbeOrder:
    """Tells which claims are granted.

    A claim is granted once no earlier one that holds has the same request or
    the same target.  Nodes that read the same claims in the same order grant
    alike.
    """

    def __init__(self) -> None:
        self._granted_at: dict[ClaimKey, float | None] = {}
        """Loop time of the grant of each claim, in their order."""

    def update(self, claims: Iterable[ClaimKey], now: float) -> None:
        """Takes over the claims that stand; new ones come last.

        ``now`` is the loop time in seconds.
        """
        standing = dict.fromkeys(claims)
        known = {
            key: granted_at
            for key, granted_at in self._granted_at.items()
            if key in standing
        }
        self._granted_at = known | {
            key: None for key in standing if key not in known
        }
        self._grant(now)

    def is_granted(self, key: ClaimKey, now: float) -> bool:
        """Returns whether the request may be sent at the loop time ``now``."""
        self._grant(now)
        granted_at = self._granted_at.get(key)
        return granted_at is not None and not _has_expired(granted_at, now)

    def _grant(self, now: float) -> None:
        requests: set[ids.RequestDigest] = set()
        targets: set[attribution.TargetStart] = set()
        for key, granted_at in self._granted_at.items():
            _, claim = key
            if granted_at is None and not (
                claim.digest in requests or claim.target in targets
            ):
                self._granted_at[key] = granted_at = now
            if granted_at is None or not _has_expired(granted_at, now):
                requests.add(claim.digest)
                targets.add(claim.target)


def _has_expired(granted_at: float, now: float) -> bool:
    return now - granted_at >= CLAIM_LIFETIME_S
