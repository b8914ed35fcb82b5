"""Composes the report of each window and records it, at the holder."""

import asyncio
from collections.abc import Iterable
from collections.abc import Iterator
import itertools
import logging

from expression import Result
import msgspec

from waxwingport import clocks
from waxwingport.duties import counts
from waxwingport.duties import lease
from waxwingport.duties import records
from waxwingport.duties import settings
from waxwingport.duties import state
from waxwingport.log import base

__all__ = ['UsageRecorder']

_INTERVAL_S = 0.2
"""Time between two looks for a window that is due."""
_COMPOSE_SHARE = 0.4
"""Share of the time for a report after which it is composed: 4 s after the
window's end.  Counts arrive within 2 s: an attempt settles after 0.2 s, counts
are appended each 0.8 s, an append that is repeated takes 1 s at most.  A
holder that is lost directly before its call is replaced within 5 s, which is
still in time."""
_RECOVERY_S = 2.5
"""Time from the return of the log to the next report: nodes append the counts
that they have kept."""
_REPEAT_SHARE = 0.25
"""Share of the log's retention after which waiting reports are recorded anew,
as they would expire."""
_NEVER = float('-inf')

_LOG = logging.getLogger(__name__)


class UsageRecorder:
    """Records the reports of all windows, oldest first.

    ``retention`` is the number of seconds for which the log keeps a record.
    """

    def __init__(
        self,
        log: base.PartitionLog,
        duty: lease.DutyLease,
        usage_state: state.UsageState,
        settings_: settings.UsageSettings,
        retention: float,
        wall_clock: clocks.WallClock,
    ) -> None:
        self._log = log
        self._duty = duty
        self._state = usage_state
        self._settings = settings_
        self._retention = retention
        self._wall_clock = wall_clock
        self._counts: counts.UsageCounts | None = None
        """What was read in the present tenure."""
        self._epoch = base.Epoch(0)
        """Number of the tenure of ``_counts``."""
        self._repeated_at = _NEVER
        """Loop time at which this tenure last recorded waiting reports."""
        self._unread_at = _NEVER
        """Loop time of the last read of counts that failed."""

    async def run(self) -> None:
        """Records reports while this node holds the duty, until cancelled."""
        while True:
            if self._duty.held:
                await self._record_due()
            else:
                self._counts = None
            await asyncio.sleep(_INTERVAL_S)

    async def _record_due(self) -> None:
        """Records what is due; returns early once the duty is lost."""
        loop = asyncio.get_running_loop()
        window = self._state.find_next()
        if window is None:
            await self._begin()
            return
        if self._epoch != self._duty.fencing_number:
            self._epoch = self._duty.fencing_number
            # Earlier holders may all have been lost before it was time.
            self._repeated_at = _NEVER
            self._counts = None
        if self._counts is None:
            self._counts = counts.UsageCounts(
                self._log,
                self._settings.partitions,
                self._state.positions,
                window - 1,
            )
        if loop.time() - self._repeated_at > _REPEAT_SHARE * self._retention:
            self._repeated_at = loop.time()
            await self._repeat()
            return
        if self._is_due(window) and self._is_log_settled(loop.time()):
            await self._record(self._counts)

    async def _begin(self) -> None:
        """Records that the present window is the first."""
        current = self._compute_window()
        _LOG.info('usage-begun', extra={'window': current})
        await self._append((records.Done(current - 1),))

    async def _record(self, found: counts.UsageCounts) -> None:
        """Composes and records the reports of all windows that are due."""
        match await found.read(self._compute_window()):
            case Result(tag='error', error=reason):
                _LOG.warning('usage-unread', extra={'reason': reason})
                self._unread_at = asyncio.get_running_loop().time()
                return
        # Without a wait from here to the append, so that the reports follow
        # from the state of the tenure that records them.
        if not self._duty.held or self._epoch != self._duty.fencing_number:
            return
        window = self._state.find_next()
        reports = []
        while window is not None and self._is_due(window):
            reports.append(
                records.Report(
                    window,
                    found.compose(window),
                    found.find_positions(window),
                )
            )
            found.close_window(window)
            window += 1
        if not reports:
            # The clock was set back during the read.
            return
        if not await self._append(_split(reports)):
            # What was composed is not in the log, or not known to be.
            self._counts = None
            return
        for report in reports:
            _LOG.info(
                'usage-recorded',
                extra={
                    'window': report.window,
                    'tenants': len(report.counts),
                    'requests': sum(report.counts.values()),
                    'epoch': self._epoch,
                },
            )

    async def _repeat(self) -> None:
        """Records waiting reports anew, before the log removes them."""
        done_through = self._state.done_through
        if self._state.waiting_count and done_through is not None:
            # One at a time, as many may wait.
            await self._append(
                itertools.chain(
                    (records.Done(done_through),),
                    _split(self._state.iterate_waiting()),
                )
            )

    async def _append(self, found: Iterable[msgspec.Struct]) -> bool:
        match await self._duty.append(found):
            case Result(tag='ok'):
                return True
            case Result(error=reason):
                _LOG.warning('usage-unrecorded', extra={'reason': reason})
                return False

    def _is_due(self, window: int) -> bool:
        """Returns whether the counts of a window should have arrived."""
        ended_at = (window + 1) * self._settings.window
        delay = _COMPOSE_SHARE * self._settings.report_time
        return self._wall_clock.read() >= ended_at + delay

    def _is_log_settled(self, now: float) -> bool:
        """Returns whether all nodes have had the log for some time."""
        log = self._duty.log_dependency
        unavailable_at = max(log.recovered_at or _NEVER, self._unread_at)
        return log.available and now - unavailable_at >= _RECOVERY_S

    def _compute_window(self) -> int:
        return int(self._wall_clock.read() // self._settings.window)


def _split(reports: Iterable[records.Report]) -> Iterator[records.Report]:
    for report in reports:
        yield from records.split_report(report)
