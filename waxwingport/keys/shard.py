"""One shard of the key index: reads, folds and appends to its stream."""

import asyncio
from collections.abc import Callable
import enum
import logging

from expression import Result
import msgspec

from waxwingport import decoding
from waxwingport import ids
from waxwingport.keys import fold
from waxwingport.keys import history
from waxwingport.outside import base as platform

__all__ = ['AppendInterval', 'Shard', 'Verdict', 'VerdictKind']

_READ_WAIT_S = 1.0
_RETRY_DELAY_S = 0.2
_MAX_BATCH_INTENTS = 500
_MAX_KEYS = 131_072
"""Keys in the fold at which further new keys are refused."""
_FORGET_DELAY_S = 30.0
"""Time beyond the window for which a key is kept.

A batch in flight is folded with the ``window_start`` of when it was sent.
"""
_LOG = logging.getLogger(__name__)

AppendInterval = Callable[[], float]
"""Returns the minimum time in seconds between two appends to one stream."""


class VerdictKind(enum.Enum):
    """Outcome of submitting an intent."""

    BUSY = 'busy'
    """Refused for now: too many keys, or records of the window are lost."""
    DOWN = 'down'
    """The log is unreachable."""
    LATE = 'late'
    """No outcome before the timeout."""
    UNSURE = 'unsure'
    """The outcome depends on records that the log no longer has."""
    WINNER = 'winner'


class Verdict(msgspec.Struct, frozen=True, array_like=True):
    """Whose intent came first, or why that is unknown.

    If ``conclusive`` is false, ``winner`` may have lost to an intent in a
    record that this shard has not read.  The winner must then not run its
    request.
    """

    kind: VerdictKind
    winner: fold.Intent | None = None
    conclusive: bool = True


class _Waiter:
    def __init__(self, intent: fold.Intent) -> None:
        self.intent = intent
        self.future: asyncio.Future[Verdict] = (
            asyncio.get_running_loop().create_future()
        )

    def resolve(self, verdict: Verdict) -> None:
        if not self.future.done():
            self.future.set_result(verdict)


class Shard:
    """Follows one stream and appends intents to it in batches.

    ``window`` returns how long a key has to be known, in seconds.
    ``append_interval`` limits the rate of appends.
    """

    def __init__(
        self,
        log: platform.Log,
        stream: ids.StreamName,
        window: Callable[[], float],
        append_interval: AppendInterval,
    ) -> None:
        self._log = log
        self._stream = stream
        self._window = window
        self._append_interval = append_interval
        self._loop = asyncio.get_running_loop()
        self.used_at = self._loop.time()
        self._fold: fold.KeyFold | None = None
        self._history = history.ReadHistory(ids.Offset(0))
        self._caught_up = asyncio.Event()
        self._down = False
        self._incomplete_until = float('-inf')
        """Loop time until which the fold lacks records of the window.

        New keys are refused until then.
        """
        self._waiters: dict[bytes, list[_Waiter]] = {}
        self._queue: list[_Waiter] = []
        self._queued = asyncio.Event()
        self._appended_at = float('-inf')

    @property
    def size(self) -> int:
        """Number of keys in the fold; 0 before the first read."""
        return len(self._fold) if self._fold is not None else 0

    async def run(self) -> None:
        """Reads and appends until cancelled."""
        await asyncio.gather(self._follow(), self._append_batches())

    async def submit(self, intent: fold.Intent, timeout: float) -> Verdict:
        """Returns whose intent for the key came first.

        Returns ``LATE`` after ``timeout`` seconds; the intent may be in the
        log nevertheless.
        """
        self.used_at = self._loop.time()
        if self._down:
            return Verdict(VerdictKind.DOWN)
        waiter = _Waiter(intent)
        waiters = self._waiters.setdefault(intent.key, [])
        waiters.append(waiter)
        try:
            async with asyncio.timeout(timeout):
                return await self._wait_for_verdict(waiter)
        except TimeoutError:
            return Verdict(VerdictKind.LATE)
        finally:
            waiters.remove(waiter)
            if not waiters:
                self._waiters.pop(intent.key, None)

    async def _wait_for_verdict(self, waiter: _Waiter) -> Verdict:
        if self._caught_up.is_set():
            self._resolve_or_queue(waiter)
        return await waiter.future

    def _resolve_or_queue(self, waiter: _Waiter) -> None:
        """Resolves the waiter from the fold or queues it for a batch."""
        self._resolve_from_fold(waiter)
        if waiter.future.done():
            return
        incomplete = self._loop.time() < self._incomplete_until
        if incomplete or len(self._fold) >= _MAX_KEYS:
            waiter.resolve(Verdict(VerdictKind.BUSY))
            return
        self._queue.append(waiter)
        self._queued.set()

    def _resolve_from_fold(self, waiter: _Waiter) -> None:
        """Resolves a waiter whose key has an intent within the window."""
        entry = self._fold.find(waiter.intent.key)
        if entry is None or entry.last < self._find_window_start():
            return
        if entry.winner == waiter.intent and not entry.conclusive:
            waiter.resolve(Verdict(VerdictKind.UNSURE))
        else:
            waiter.resolve(
                Verdict(VerdictKind.WINNER, entry.winner, entry.conclusive)
            )

    def _find_window_start(self) -> ids.Offset:
        return self._history.find_window_start(
            self._window(), self._loop.time()
        )

    async def _follow(self) -> None:
        while True:
            wait = _READ_WAIT_S if self._caught_up.is_set() else 0.0
            if not await self._read(wait):
                await asyncio.sleep(_RETRY_DELAY_S)

    async def _read(self, wait: float) -> bool:
        """Reads and folds one page; returns whether the log answered."""
        start = self._fold.next if self._fold is not None else ids.Offset(0)
        outcome = await self._log.read(self._stream, start, wait=wait)
        match outcome:
            case Result(tag='ok', ok=page):
                self._apply_page(start, page)
                return True
            case Result(error=fault):
                self._handle_fault(fault)
                return False

    def _handle_fault(self, fault: platform.LogFault) -> None:
        if fault.kind is platform.LogFaultKind.EXPIRED:
            self._check_oldest(fault.oldest)
            self._restart(fault.oldest)
            return
        _LOG.info('keys stream=%s log=%s', self._stream, fault.detail)
        self._down = True
        self._fail_all(VerdictKind.DOWN)

    def _restart(self, oldest: ids.Offset) -> None:
        """Starts a new fold at the oldest record that the log has."""
        self._fold = fold.KeyFold(oldest)
        self._history = history.ReadHistory(oldest)
        self._caught_up.clear()

    def _apply_page(self, start: ids.Offset, page: platform.LogPage) -> None:
        self._down = False
        if self._fold is None:
            self._restart(start)
        for record in page.records:
            if record.offset >= self._fold.next:
                self._apply(record)
        now = self._loop.time()
        window = self._window()
        self._history.record(self._fold.next, window, now)
        self._check_oldest(page.oldest)
        self._fold.forget(
            self._history.find_window_start(window + _FORGET_DELAY_S, now)
        )
        if not page.records and not self._caught_up.is_set():
            self._caught_up.set()
            for waiter in self._list_waiters():
                self._resolve_or_queue(waiter)

    def _check_oldest(self, oldest: ids.Offset) -> None:
        """Refuses new keys for a window if the log drops records early."""
        now = self._loop.time()
        window = self._window()
        if self._history.is_truncated(oldest, window, now):
            _LOG.error(
                'keys stream=%s oldest=%d: the log retains records for less '
                'than the key window of %g s; refusing new keys',
                self._stream,
                oldest,
                window,
            )
            self._incomplete_until = now + window

    def _list_waiters(self) -> list[_Waiter]:
        return [
            waiter for waiters in self._waiters.values() for waiter in waiters
        ]

    def _apply(self, record: platform.LogRecord) -> None:
        match decoding.read_msgpack(record.body, fold.Batch):
            case Result(tag='ok', ok=batch):
                pass
            case Result(error=reason):
                _LOG.warning(
                    'keys record=%d: undecodable record ignored: %s',
                    record.offset,
                    reason,
                )
                self._fold.skip(record.offset)
                return
        self._fold.apply(record.offset, batch)
        if not self._caught_up.is_set():
            return
        for intent in batch.intents:
            for waiter in self._waiters.get(intent.key, ()):
                self._resolve_from_fold(waiter)

    async def _append_batches(self) -> None:
        while True:
            await self._queued.wait()
            due = self._appended_at + self._append_interval()
            await asyncio.sleep(max(0.0, due - self._loop.time()))
            batch = self._pop_batch()
            if batch:
                self._appended_at = self._loop.time()
                await self._append(batch)

    def _pop_batch(self) -> list[_Waiter]:
        waiting = [
            waiter for waiter in self._queue if not waiter.future.done()
        ]
        self._queue = waiting[_MAX_BATCH_INTENTS:]
        if not self._queue:
            self._queued.clear()
        return waiting[:_MAX_BATCH_INTENTS]

    async def _append(self, batch: list[_Waiter]) -> None:
        intents = tuple(waiter.intent for waiter in batch)
        record = fold.Batch(self._find_window_start(), intents)
        outcome = await self._log.append(
            self._stream, msgspec.msgpack.encode(record)
        )
        match outcome:
            case Result(tag='ok', ok=offset):
                await self._read_past(offset)
            case Result(error=fault):
                await self._retry(batch, fault)

    async def _read_past(self, offset: ids.Offset) -> None:
        """Reads until the fold covers ``offset``, which resolves waiters."""
        while self._fold.next <= offset and await self._read(0.0):
            pass

    async def _retry(
        self, batch: list[_Waiter], fault: platform.LogFault
    ) -> None:
        """Queues intents again that are not in the log after a failure.

        After a lost answer the stream is read to its end first, because the
        batch may have been appended.  It may also appear later; a repeated
        intent does not change the fold.
        """
        if fault.kind is platform.LogFaultKind.UNAVAILABLE:
            self._fail(batch, VerdictKind.DOWN)
            return
        if fault.kind is platform.LogFaultKind.RATE_LIMITED:
            await asyncio.sleep(_RETRY_DELAY_S)
        elif not await self._read_to_end():
            return
        self._queue = [
            waiter for waiter in batch if not waiter.future.done()
        ] + self._queue
        if self._queue:
            self._queued.set()

    async def _read_to_end(self) -> bool:
        before = None
        while before != self._fold.next:
            before = self._fold.next
            if not await self._read(0.0):
                return False
        return True

    def _fail_all(self, kind: VerdictKind) -> None:
        self._fail(self._list_waiters(), kind)

    def _fail(self, waiters: list[_Waiter], kind: VerdictKind) -> None:
        for waiter in waiters:
            waiter.resolve(Verdict(kind))
