"""Reports of usage at one node: counting, recording and sending."""

import abc
import asyncio
from collections.abc import Callable
import random
from typing import Any

import msgspec

from waxwingport import clocks
from waxwingport.duties import base
from waxwingport.duties import counting
from waxwingport.duties import lease
from waxwingport.duties import recording
from waxwingport.duties import records
from waxwingport.duties import sending
from waxwingport.duties import settings
from waxwingport.duties import state
from waxwingport.log import base as log_base
from waxwingport.log import turn_leases
from waxwingport import metrics

__all__ = ['LogAccess', 'NoUsage', 'Usage', 'UsageReports']


class Usage(abc.ABC):
    """What a node does about usage."""

    counter: base.RequestCounter

    @abc.abstractmethod
    async def run(self) -> None:
        """Counts, records and sends until cancelled."""

    @abc.abstractmethod
    async def resign(self) -> None:
        """Releases the duty for another node; called before a stop."""

    @abc.abstractmethod
    async def flush(self) -> None:
        """Appends the last counts; called when requests have ended."""

    @abc.abstractmethod
    def update_metrics(self) -> None:
        """Sets the gauges of this node."""


class NoUsage(Usage):
    """Does nothing, where no usage is reported."""

    def __init__(self) -> None:
        self.counter = base.NoCounter()

    async def run(self) -> None:
        """Returns at once."""

    async def resign(self) -> None:
        """Returns at once."""

    async def flush(self) -> None:
        """Returns at once."""

    def update_metrics(self) -> None:
        """Sets nothing."""


class LogAccess(msgspec.Struct, frozen=True):
    """The log and its bounds."""

    log: log_base.PartitionLog
    call_size: int
    """Maximum size of the records of one append in bytes."""
    retention: float
    """Seconds for which a record is kept."""


class UsageReports(Usage):
    """Counts requests and, at one node at a time, reports them to the API.

    ``clock`` has to advance while the machine is suspended.  ``has_run``
    returns whether an attempt with an outcome ran at its target.
    """

    def __init__(
        self,
        access: LogAccess,
        holder: turn_leases.Holder,
        api: base.UsageApi,
        settings_: settings.UsageSettings,
        clock: clocks.SuspendAwareClock,
        wall_clock: clocks.WallClock,
        rng: random.Random,
        counters: metrics.Metrics,
        has_run: Callable[[Any], bool],
    ) -> None:
        self._settings = settings_
        self._wall_clock = wall_clock
        self._metrics = counters
        self.state = state.UsageState()
        self.counter = self._counter = counting.UsageCounter(
            access.log,
            holder,
            settings_.partitions,
            settings_.window,
            access.call_size,
            wall_clock,
            has_run,
        )
        self.duty = lease.DutyLease(
            access.log,
            records.PARTITION,
            holder,
            settings_.turn_time,
            records.Report | records.Done,
            self.state.apply,
            clock,
            wall_clock,
            rng,
            access.call_size,
        )
        self._recorder = recording.UsageRecorder(
            access.log,
            self.duty,
            self.state,
            settings_,
            access.retention,
            wall_clock,
        )
        self._sender = sending.UsageSender(
            self.duty, self.state, api, settings_, wall_clock, rng, counters
        )

    async def run(self) -> None:
        """Counts, records and sends until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._counter.run())
            group.create_task(self.duty.run())
            group.create_task(self._recorder.run())
            group.create_task(self._sender.run())

    async def resign(self) -> None:
        """Releases the duty for another node; called before a stop."""
        await self.duty.resign()

    async def flush(self) -> None:
        """Appends the last counts; called when requests have ended."""
        await self._counter.flush()

    def update_metrics(self) -> None:
        """Sets the gauges of this node."""
        done_through = self.state.done_through
        age = 0.0
        if done_through is not None:
            # The oldest window that is not done begins where that one ends.
            ended_at = (done_through + 2) * self._settings.window
            age = max(0.0, self._wall_clock.read() - ended_at)
        for name, help_text, value in (
            (
                'usage_oldest_window_age_seconds',
                'Seconds since the end of the oldest window not reported.',
                age,
            ),
            (
                'usage_windows_waiting',
                'Windows whose recorded report the API has not accepted.',
                self.state.waiting_count,
            ),
            (
                'usage_lease_held',
                'Whether this node holds the duty to report usage.',
                int(self.duty.held),
            ),
        ):
            self._metrics.set(f'waxwingport_{name}', help_text, value)
