"""Stand-ins for the platform's log, VM list and weight store."""

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
    """Limits of the stand-in log; times in seconds.

    ``delay`` is the time that an append or a read takes.
    """

    appends_per_second: int = 400
    retention: float = 3600.0
    delay: float = 0.002


class _Stream:
    def __init__(self) -> None:
        self.first = 0
        self.records: collections.deque[tuple[float, bytes]] = (
            collections.deque()
        )
        self.changed = asyncio.Event()

    @property
    def next(self) -> int:
        return self.first + len(self.records)


class StandInLog(base.Log):
    """An in-memory log with fault injection.

    ``down`` makes every call fail, ``delay`` is the time that each takes, and
    ``lost_answers`` is how many of the next appends fail as ``UNKNOWN`` after
    they took effect.  ``appends`` counts the appends that took effect,
    ``reads`` the reads that were requested.
    """

    def __init__(self, settings: StandInLogSettings | None = None) -> None:
        self.settings = settings or StandInLogSettings()
        self.down = False
        self.delay = self.settings.delay
        self.lost_answers = 0
        self.appends = 0
        self.reads = 0
        self._streams: dict[ids.StreamName, _Stream] = {}
        self._append_times: collections.deque[float] = collections.deque()

    async def append(
        self, stream: ids.StreamName, body: bytes
    ) -> Result[ids.Offset, base.LogFault]:
        """Appends one record and returns its offset.

        Fails when the log is down, when there were too many appends in the
        last second, or when the answer is to be lost.
        """
        await asyncio.sleep(self.delay)
        if self.down:
            return Error(_log_fault(base.LogFaultKind.UNAVAILABLE))
        if not self._try_admit():
            return Error(_log_fault(base.LogFaultKind.RATE_LIMITED))
        stream_state = self._get_stream(stream)
        offset = stream_state.next
        stream_state.records.append((_now(), body))
        stream_state.changed.set()
        stream_state.changed = asyncio.Event()
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
        """Returns up to ``limit`` records from ``offset`` on.

        Waits up to ``wait`` seconds for the first one.  Fails when the log is
        down or the offset has expired.
        """
        await asyncio.sleep(self.delay)
        self.reads += 1
        if not self.down and wait > 0:
            await self._wait_for_record(stream, offset, wait)
        if self.down:
            return Error(_log_fault(base.LogFaultKind.UNAVAILABLE))
        stream_state = self._get_stream(stream)
        self._expire(stream_state)
        if offset < stream_state.first:
            return Error(
                base.LogFault(
                    base.LogFaultKind.EXPIRED,
                    f'offset {offset} of {stream} has expired',
                    ids.Offset(stream_state.first),
                )
            )
        return Ok(_make_page(stream_state, offset, limit))

    def expire_before(
        self, stream: ids.StreamName, offset: ids.Offset
    ) -> None:
        """Removes the records of ``stream`` before ``offset``."""
        stream_state = self._get_stream(stream)
        while stream_state.records and stream_state.first < offset:
            stream_state.records.popleft()
            stream_state.first += 1

    def wipe(self, stream: ids.StreamName) -> None:
        """Removes every record of ``stream``; offsets restart at 0."""
        self._streams.pop(stream, None)

    def _get_stream(self, name: ids.StreamName) -> _Stream:
        return self._streams.setdefault(name, _Stream())

    def _try_admit(self) -> bool:
        now = _now()
        while self._append_times and self._append_times[0] <= now - 1.0:
            self._append_times.popleft()
        if len(self._append_times) >= self.settings.appends_per_second:
            return False
        self._append_times.append(now)
        return True

    def _expire(self, stream_state: _Stream) -> None:
        oldest = _now() - self.settings.retention
        while stream_state.records and stream_state.records[0][0] < oldest:
            stream_state.records.popleft()
            stream_state.first += 1

    async def _wait_for_record(
        self, stream: ids.StreamName, offset: ids.Offset, wait: float
    ) -> None:
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(wait):
                while offset >= self._get_stream(stream).next:
                    await self._get_stream(stream).changed.wait()


def _make_page(stream_state: _Stream, offset: int, limit: int) -> base.LogPage:
    start = offset - stream_state.first
    bodies = [
        body
        for _, body in itertools.islice(
            stream_state.records, start, start + limit
        )
    ]
    records = tuple(
        base.LogRecord(ids.Offset(offset + index), body)
        for index, body in enumerate(bodies)
    )
    return base.LogPage(
        records,
        ids.Offset(stream_state.first),
        ids.Offset(offset + len(records)),
        ids.Offset(stream_state.next),
    )


def _log_fault(kind: base.LogFaultKind) -> base.LogFault:
    return base.LogFault(kind, f'stand-in log: {kind.value}')


class StandInVmList(base.VmList):
    """An in-memory VM list; changes show after ``delay`` seconds."""

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
        """Sets the list that ``read`` returns once ``delay`` has passed."""
        self._pending.append((_now() + self.delay, tuple(vms)))

    @property
    def latest(self) -> tuple[base.Vm, ...]:
        """The list that was set last, whether it shows already or not."""
        return self._pending[-1][1] if self._pending else self._shown


class StandInWeightStore(base.WeightStore):
    """An in-memory weight store that knows every reference.

    ``size`` is the bytes of any weights, ``rate`` the engines that may load
    at the same time.
    """

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
