"""Reads that wait for records over connections that may be dead."""

import asyncio

from expression import Error
from expression import Result

from waxwingport import ids
from waxwingport.log import base

__all__ = ['WaitingReader', 'compute_retry_pause']

_READ_WAIT_S = 1.0
"""Time that a read waits at the log for a record."""
_ANSWER_TIMEOUT_S = 0.7
"""Time allowed for an answer beyond the wait: a log 60 times slower than its
usual 4 ms needs less than half of it.  With the wait it is less than the 2 s
in which a change has to take effect, as a dead connection shows itself only
by the missing answer."""
_PROMPT_READS = 2
"""Reads in a row that get only that time."""
_SLOW_ANSWER_TIMEOUT_S = 1.5
"""Time for an answer to further ones, as a slow log can't be told from a dead
connection: as long as for any other call to the log."""
_RETRY_INTERVAL_S = 0.2
"""Least time between the starts of two calls of which the first failed."""


def compute_retry_pause(elapsed: float) -> float:
    """Returns the seconds to wait after a failed call.

    ``elapsed`` is the seconds that the call took.  One that was rejected at
    once is repeated after an interval, one that got no answer at once.
    """
    return max(0.0, _RETRY_INTERVAL_S - elapsed)


class WaitingReader:
    """Reads the end of one partition as soon as records are appended.

    After a failure the next read does not wait for records: the log answers
    it at once, which tells sooner whether it answers at all.
    """

    def __init__(
        self, log: base.PartitionLog, partition: base.Partition
    ) -> None:
        self._log = log
        self._partition = partition
        self._failures = 0
        """Reads that failed since the last answer."""

    async def read(self, offset: ids.Offset) -> Result[base.Page, base.Fault]:
        """Returns records from ``offset`` on, or none if none was appended.

        Fails as ``PartitionLog.read`` does, and with ``UNKNOWN`` if there is
        no answer in time.
        """
        wait = 0.0 if self._failures else _READ_WAIT_S
        found = await self._read_in_time(offset, wait)
        self._failures = 0 if found.is_ok() else self._failures + 1
        return found

    async def _read_in_time(
        self, offset: ids.Offset, wait: float
    ) -> Result[base.Page, base.Fault]:
        prompt = self._failures < _PROMPT_READS
        timeout = _ANSWER_TIMEOUT_S if prompt else _SLOW_ANSWER_TIMEOUT_S
        try:
            async with asyncio.timeout(wait + timeout):
                return await self._log.read(self._partition, offset, wait)
        except TimeoutError:
            detail = f'no answer {timeout:g} s after the wait'
            return Error(base.Fault(base.FaultKind.UNKNOWN, detail))
