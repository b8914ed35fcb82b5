"""Tracks whether a dependency answers; logs each loss and recovery once."""

import asyncio
import logging

__all__ = ['Dependency']

_LOG = logging.getLogger(__name__)


class Dependency:
    """Availability of one dependency, judged by the calls to it.

    ``lost_at`` is the loop time of the first failure since the last success,
    ``None`` if the last call succeeded.  ``recovered_at`` is the loop time of
    the last success that followed a failure, ``None`` if there was none.
    ``answered_at`` is the loop time of the last success.
    """

    def __init__(self, name: str) -> None:
        self.name = name
        self.lost_at: float | None = None
        self.recovered_at: float | None = None
        self.answered_at = float('-inf')
        self._failures = 0

    @property
    def available(self) -> bool:
        """Whether the last call succeeded."""
        return self.lost_at is None

    def record_success(self) -> None:
        """Marks the dependency available after a successful call."""
        now = asyncio.get_running_loop().time()
        self.answered_at = now
        if self.lost_at is None:
            return
        _LOG.info(
            'dependency-returned',
            extra={
                'dependency': self.name,
                'away_s': round(now - self.lost_at, 3),
                'failures': self._failures,
            },
        )
        self.lost_at = None
        self.recovered_at = now
        self._failures = 0

    def record_failure(self, detail: str) -> None:
        """Marks the dependency lost after a failed call."""
        self._failures += 1
        if self.lost_at is not None:
            return
        self.lost_at = asyncio.get_running_loop().time()
        _LOG.warning(
            'dependency-lost',
            extra={'dependency': self.name, 'reason': detail},
        )
