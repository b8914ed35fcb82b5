"""Claims of the nodes to send requests that may crash targets.

A node writes its claims with its reports of crashes, so that the others read
that a request has crashed a target before they read that it may be sent again.
"""

from collections.abc import Iterable
import itertools
import random

from waxwingport import ids
from waxwingport.scheduling import attribution
from waxwingport.scheduling import probes

__all__ = ['ProbeClaims']

_MAX_CLAIMS = 64
"""Claims in the record of a node: more than are granted in the time for which
a request waits."""
_NUMBER_BITS = 32


class ProbeClaims:
    """The claims of this node and of all."""

    def __init__(self, node: ids.NodeName) -> None:
        self._node = node
        # A process that is started anew must not repeat earlier numbers.
        self._numbers = itertools.count(random.getrandbits(_NUMBER_BITS))
        self.own: list[probes.Claim] = []
        """Claims of this node, to be written."""
        self._read: dict[probes.ClaimKey, None] = {}
        """Claims in the order in which they were read."""
        self._order = probes.ProbeOrder()
        self._own_order = probes.ProbeOrder()
        """Order of this node's claims, for use while the log is away."""

    def add(
        self,
        digest: ids.RequestDigest,
        target: attribution.TargetStart,
        now: float,
    ) -> probes.Claim | None:
        """Returns a new claim, ``None`` if there are too many."""
        if len(self.own) >= _MAX_CLAIMS:
            return None
        claim = probes.Claim(digest, target, next(self._numbers))
        self.own.append(claim)
        self._update_own_order(now)
        return claim

    def remove(self, claim: probes.Claim, now: float) -> None:
        """Withdraws a claim of this node."""
        self.own.remove(claim)
        self._update_own_order(now)

    def read(self, claims: Iterable[probes.ClaimKey]) -> None:
        """Takes over the claims in the log, called after each record."""
        standing = set()
        for key in claims:
            standing.add(key)
            self._read.setdefault(key)
        for key in self._read.keys() - standing:
            del self._read[key]

    def apply(self, now: float) -> None:
        """Grants by what was read.  The reports beside it have to be known."""
        self._order.update(self._read, now)

    def is_granted(
        self, claim: probes.Claim, now: float, log_available: bool
    ) -> bool:
        """Returns whether the request of a claim may be sent.

        Without the log this node decides by its own claims.
        """
        order = self._order if log_available else self._own_order
        return order.is_granted((self._node, claim), now)

    def _update_own_order(self, now: float) -> None:
        self._own_order.update(((self._node, own) for own in self.own), now)
