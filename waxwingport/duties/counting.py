"""Counts this process's requests by tenant and window, and appends them.

A request counts for the window in which it was sent to the target that began
it first.  Whether a target ran it is known once the attempt ends, which may
be long after the window's report is due.  Targets reject what they do not run
within some milliseconds, so an attempt counts once it has gone on for 0.2 s,
and is taken back if it is rejected after all.
"""

import asyncio
from collections.abc import Callable
from collections.abc import Coroutine
import logging
from typing import Any
import weakref
import zlib

import msgspec

from waxwingport import clocks
from waxwingport.duties import base
from waxwingport.duties import records
from waxwingport.log import base as log_base
from waxwingport.log import turn_leases
from waxwingport.log import writers
from waxwingport.tenancy import model as tenancy

__all__ = ['UsageCounter']

_APPEND_INTERVAL_S = 0.8
"""Time between two appends of new counts."""
_SETTLE_S = 0.2
"""Time after which an attempt that has not ended counts as run.  A node that
is killed loses the counts of both times together, a second."""
_MAX_WINDOWS = 300
"""Windows whose counts are kept while the log takes none."""
_FLUSH_TIMEOUT_S = 0.4
"""Bounds the append of the last counts before the node stops."""

_LOG = logging.getLogger(__name__)


class _Runs(msgspec.Struct, eq=False):
    """Windows in which targets began to run one request."""

    windows: list[int]
    counted: int | None = None
    """Window in which the request is counted."""


class _Attempt(msgspec.Struct, eq=False):
    """An attempt that has not ended and does not count yet."""

    runs: _Runs
    tenant: tenancy.TenantName
    window: int
    started_at: float
    """Loop time."""
    counts: bool = False
    """Whether it is in ``runs``."""


class UsageCounter(base.RequestCounter):
    """Counts requests and appends the new counts to the log.

    ``has_run`` returns whether an attempt with an outcome ran at its target.
    ``window`` is in seconds.
    """

    def __init__(
        self,
        log: log_base.PartitionLog,
        holder: turn_leases.Holder,
        partitions: int,
        window: float,
        call_size: int,
        wall_clock: clocks.WallClock,
        has_run: Callable[[Any], bool],
    ) -> None:
        self._process = holder.member
        self._window = window
        self._wall_clock = wall_clock
        self._has_run = has_run
        number = zlib.crc32(holder.node.encode()) % partitions
        self._writer = writers.MemberWriter(
            log,
            log_base.Partition(records.COUNTS_TOPIC, number),
            holder.member,
            call_size,
        )
        self._sequence = 0
        self._appending = asyncio.Lock()
        self._runs: weakref.WeakKeyDictionary[object, _Runs] = (
            weakref.WeakKeyDictionary()
        )
        self._open: dict[_Attempt, None] = {}
        """Attempts that do not count yet, in the order of their start."""
        self._new: dict[int, dict[tenancy.TenantName, int]] = {}
        """Counts by window and tenant that were not appended."""

    def count(
        self,
        request: object,
        tenant: tenancy.TenantName | None,
        attempt: Callable[[], Coroutine[Any, Any, base.Outcome]],
    ) -> Coroutine[Any, Any, base.Outcome]:
        """Runs an attempt and counts its request, see the base class."""
        if tenant is None:
            return attempt()
        return self._follow(request, tenant, attempt)

    async def run(self) -> None:
        """Appends new counts until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._writer.run())
            while True:
                await asyncio.sleep(_APPEND_INTERVAL_S)
                self._settle(_SETTLE_S)
                await self._append_new()

    async def flush(self) -> None:
        """Appends all counts, those of open attempts included.

        Called while ``run`` goes on, before the node stops.  Logs a warning
        if the log does not take them in time.
        """
        self._settle(0.0)
        try:
            async with asyncio.timeout(_FLUSH_TIMEOUT_S):
                await self._append_new()
        except TimeoutError:
            _LOG.warning('usage-unflushed', extra={'member': self._process})

    async def _follow(
        self,
        request: object,
        tenant: tenancy.TenantName,
        attempt: Callable[[], Coroutine[Any, Any, base.Outcome]],
    ) -> base.Outcome:
        started = _Attempt(
            self._runs.setdefault(request, _Runs([])),
            tenant,
            int(self._wall_clock.read() // self._window),
            asyncio.get_running_loop().time(),
        )
        self._open[started] = None
        # An attempt that is cancelled was sent in all likelihood.
        has_run = True
        try:
            outcome = await attempt()
            has_run = self._has_run(outcome)
        finally:
            self._open.pop(started, None)
            self._apply(started, has_run)
        return outcome

    def _settle(self, age: float) -> None:
        """Counts the attempts that were started ``age`` seconds ago."""
        latest = asyncio.get_running_loop().time() - age
        for attempt in list(self._open):
            if attempt.started_at > latest:
                return
            del self._open[attempt]
            self._apply(attempt, True)

    def _apply(self, attempt: _Attempt, counts: bool) -> None:
        """Counts an attempt, or takes it back."""
        if counts == attempt.counts:
            return
        attempt.counts = counts
        runs = attempt.runs
        if counts:
            runs.windows.append(attempt.window)
        else:
            runs.windows.remove(attempt.window)
        window = min(runs.windows, default=None)
        if window == runs.counted:
            return
        if runs.counted is not None:
            self._add(runs.counted, attempt.tenant, -1)
        if window is not None:
            self._add(window, attempt.tenant, 1)
        runs.counted = window

    def _add(
        self, window: int, tenant: tenancy.TenantName, change: int
    ) -> None:
        counts = self._new.setdefault(window, {})
        counts[tenant] = counts.get(tenant, 0) + change
        if len(self._new) > _MAX_WINDOWS:
            dropped = min(self._new)
            _LOG.error(
                'usage-dropped',
                extra={
                    'window': dropped,
                    'requests': sum(self._new.pop(dropped).values()),
                },
            )

    async def _append_new(self) -> None:
        """Appends the new counts; returns once they are confirmed."""
        async with self._appending:
            new = self._take_new()
            if not new:
                return
            # The writer appends them together, as far as one call takes them.
            await asyncio.gather(
                *(self._writer.write((record,)) for record in new)
            )

    def _take_new(self) -> list[bytes]:
        new, self._new = self._new, {}
        encoded = []
        for window, counts in sorted(new.items()):
            changed = {name: count for name, count in counts.items() if count}
            for part in records.split_counts(changed):
                self._sequence += 1
                encoded.append(
                    msgspec.msgpack.encode(
                        records.Counts(
                            self._process, self._sequence, window, part
                        )
                    )
                )
        return encoded
