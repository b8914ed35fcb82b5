"""Stand-ins of the platform's log, VM list and weight store."""

import asyncio
import collections
from collections.abc import Sequence
import contextlib
import itertools

from expression import Error
from expression import Ok
from expression import Result
import msgspec

from waxwingport import ids
from waxwingport.outside import base

__all__ = [
    'StandInLog',
    'StandInLogSettings',
    'StandInVmList',
    'StandInWeightStore',
]


class StandInLogSettings(msgspec.Struct, frozen=True):
    """Limits of the stand-in log; times in seconds."""

    appends_per_second: int = 400
    retention: float = 3600.0
    delay: float = 0.002


class _Stream:
    def __init__(self) -> None:
        self.first = 0
        self.records: collections.deque[tuple[float, bytes]] = (
            collections.deque()
        )
        self.grown = asyncio.Event()

    @property
    def next(self) -> int:
        return self.first + len(self.records)


class StandInLog(base.Log):
    """The log in memory, with switches for its faults.

    ``down`` refuses everything, ``delay`` slows every operation, and
    ``lost_answers`` counts the appends to come whose answers get lost after
    they took effect.  ``reads`` and ``appends`` count what was asked.
    """

    def __init__(self, settings: StandInLogSettings | None = None) -> None:
        self.settings = settings or StandInLogSettings()
        self.down = False
        self.delay = self.settings.delay
        self.lost_answers = 0
        self.appends = 0
        self.reads = 0
        self._streams: dict[ids.StreamName, _Stream] = {}
        self._recent: collections.deque[float] = collections.deque()

    async def append(
        self, stream: ids.StreamName, body: bytes
    ) -> Result[ids.Offset, base.LogFault]:
        """Appends one record and returns its offset."""
        await asyncio.sleep(self.delay)
        if self.down:
            return Error(_log_fault(base.LogFaultKind.UNAVAILABLE))
        if not self._admit():
            return Error(_log_fault(base.LogFaultKind.RATE_LIMITED))
        rows = self._stream(stream)
        offset = rows.next
        rows.records.append((_now(), body))
        rows.grown.set()
        rows.grown = asyncio.Event()
        self.appends += 1
        if self.lost_answers:
            self.lost_answers -= 1
            return Error(_log_fault(base.LogFaultKind.UNKNOWN))
        return Ok(ids.Offset(offset))

    async def read(
        self,
        stream: ids.StreamName,
        offset: ids.Offset,
        limit: int = 1000,
        wait: float = 0.0,
    ) -> Result[base.LogPage, base.LogFault]:
        """Returns up to ``limit`` records from ``offset`` on."""
        await asyncio.sleep(self.delay)
        self.reads += 1
        if not self.down and wait > 0:
            await self._wait(stream, offset, wait)
        if self.down:
            return Error(_log_fault(base.LogFaultKind.UNAVAILABLE))
        rows = self._stream(stream)
        self._expire(rows)
        if offset < rows.first:
            return Error(
                base.LogFault(
                    base.LogFaultKind.EXPIRED,
                    f'offset {offset} of {stream} has expired',
                    ids.Offset(rows.first),
                )
            )
        return Ok(_make_page(rows, offset, limit))

    def expire_before(
        self, stream: ids.StreamName, offset: ids.Offset
    ) -> None:
        """Drops the records of ``stream`` before ``offset``."""
        rows = self._stream(stream)
        while rows.records and rows.first < offset:
            rows.records.popleft()
            rows.first += 1

    def wipe(self, stream: ids.StreamName) -> None:
        """Loses every record of ``stream``; offsets begin at 0 again."""
        self._streams.pop(stream, None)

    def _stream(self, name: ids.StreamName) -> _Stream:
        return self._streams.setdefault(name, _Stream())

    def _admit(self) -> bool:
        now = _now()
        while self._recent and self._recent[0] <= now - 1.0:
            self._recent.popleft()
        if len(self._recent) >= self.settings.appends_per_second:
            return False
        self._recent.append(now)
        return True

    def _expire(self, rows: _Stream) -> None:
        oldest = _now() - self.settings.retention
        while rows.records and rows.records[0][0] < oldest:
            rows.records.popleft()
            rows.first += 1

    async def _wait(
        self, stream: ids.StreamName, offset: ids.Offset, wait: float
    ) -> None:
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(wait):
                while offset >= self._stream(stream).next:
                    await self._stream(stream).grown.wait()


def _make_page(rows: _Stream, offset: int, limit: int) -> base.LogPage:
    start = offset - rows.first
    bodies = [
        body
        for _, body in itertools.islice(rows.records, start, start + limit)
    ]
    records = tuple(
        base.LogRecord(ids.Offset(offset + index), body)
        for index, body in enumerate(bodies)
    )
    return base.LogPage(
        records,
        ids.Offset(rows.first),
        ids.Offset(offset + len(records)),
        ids.Offset(rows.next),
    )


def _log_fault(kind: base.LogFaultKind) -> base.LogFault:
    return base.LogFault(kind, f'stand-in log: {kind.value}')


class StandInVmList(base.VmList):
    """The VM list in memory; changes show after ``delay`` seconds."""

    def __init__(self, vms: Sequence[base.Vm] = (), delay: float = 0.0):
        self.down = False
        self.delay = delay
        self._shown = tuple(vms)
        self._pending: list[tuple[float, tuple[base.Vm, ...]]] = []

    async def read(self) -> Result[Sequence[base.Vm], base.PlatformFault]:
        """Returns the VMs as they were ``delay`` seconds ago."""
        await asyncio.sleep(0)
        if self.down:
            return Error(base.PlatformFault('stand-in VM list is down'))
        while self._pending and self._pending[0][0] <= _now():
            self._shown = self._pending.pop(0)[1]
        return Ok(self._shown)

    def replace(self, vms: Sequence[base.Vm]) -> None:
        """Sets the list that shows after the delay."""
        self._pending.append((_now() + self.delay, tuple(vms)))

    @property
    def latest(self) -> tuple[base.Vm, ...]:
        """The list as it will be shown in the end."""
        return self._pending[-1][1] if self._pending else self._shown


class StandInWeightStore(base.WeightStore):
    """The weight store in memory; knows every reference."""

    def __init__(self, rate: int = 2, size: int = 1_000_000) -> None:
        self.down = False
        self.rate = rate
        self.size = size

    async def describe(
        self, reference: str
    ) -> Result[base.Weights, base.PlatformFault]:
        """Returns the size of the weights under ``reference``."""
        if self.down:
            return Error(base.PlatformFault('stand-in weight store is down'))
        return Ok(base.Weights(reference, self.size))

    async def read_rate(self) -> Result[int, base.PlatformFault]:
        """Returns how many engines may load at the same time."""
        if self.down:
            return Error(base.PlatformFault('stand-in weight store is down'))
        return Ok(self.rate)


def _now() -> float:
    return asyncio.get_running_loop().time()
