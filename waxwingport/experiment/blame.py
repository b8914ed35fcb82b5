"""Rules that a replay compares: which requests are stopped after crashes."""

import abc
import collections
from collections.abc import Mapping

from waxwingport import ids
from waxwingport.scheduling import attribution

__all__ = [
    'BlameRule',
    'ByCompany',
    'ClearingCount',
    'CurrentRule',
    'NoRule',
    'PlainCount',
]

_LIMIT = 3
"""Crashes after which the rules that count stop a request."""

Crashes = Mapping[attribution.TargetStart, attribution.Crash]


class BlameRule(abc.ABC):
    """Decides which requests are stopped."""

    clears: bool = True
    """Whether an answer withdraws a request from the crashes before."""

    @abc.abstractmethod
    def find_stopped(
        self, crashes: Crashes, now: float
    ) -> set[ids.RequestDigest]:
        """Returns the requests that may reach no target at ``now``."""


class CurrentRule(BlameRule):
    """The rule of a node."""

    def find_stopped(
        self, crashes: Crashes, now: float
    ) -> set[ids.RequestDigest]:
        """Returns those that a node stops."""
        return {
            digest
            for digest, suspicion in attribution.find_suspicions(
                crashes
            ).items()
            if suspicion.compute_remaining(now) > 0.0
        }


class NoRule(BlameRule):
    """Every request is sent on."""

    def find_stopped(
        self, crashes: Crashes, now: float
    ) -> set[ids.RequestDigest]:
        """Returns none."""
        return set()


class ClearingCount(BlameRule):
    """Counts the crashes of each request since its last answer."""

    def find_stopped(
        self, crashes: Crashes, now: float
    ) -> set[ids.RequestDigest]:
        """Returns those that were at three crashes or more."""
        counts = collections.Counter(
            digest for crash in crashes.values() for digest in crash.candidates
        )
        return {digest for digest, count in counts.items() if count >= _LIMIT}


class PlainCount(ClearingCount):
    """Counts all crashes of each request."""

    clears = False


class ByCompany(BlameRule):
    """Shares each crash equally among the requests that were there."""

    def find_stopped(
        self, crashes: Crashes, now: float
    ) -> set[ids.RequestDigest]:
        """Returns those whose shares amount to three crashes."""
        shares: collections.Counter[ids.RequestDigest] = collections.Counter()
        for crash in crashes.values():
            for digest in crash.candidates:
                shares[digest] += 1.0 / len(crash.candidates)
        return {digest for digest, share in shares.items() if share >= _LIMIT}
