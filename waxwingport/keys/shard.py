"""One shard of the key index: its stream, its fold and its appends."""

import asyncio
from collections.abc import Callable
import enum
import logging

from expression import Result
import msgspec

from waxwingport import ids
from waxwingport.keys import fold
from waxwingport.keys import history
from waxwingport.outside import base as platform

__all__ = ['AppendInterval', 'Shard', 'Verdict', 'VerdictKind']

_READ_WAIT = 1.0
_RETRY_DELAY = 0.2
_BATCH_SIZE = 500
_MOST_KEYS = 131_072
_FORGET_DELAY = 30.0
"""Seconds beyond the window, so that batches in flight can be judged."""
_LOG = logging.getLogger(__name__)

AppendInterval = Callable[[], float]
"""Returns the seconds between two appends to one stream."""


class VerdictKind(enum.Enum):
    """What is known of an intent."""

    BUSY = 'busy'
    """Refused for now: too many keys, or the log's rate is used up."""
    DOWN = 'down'
    """The log does not answer."""
    LATE = 'late'
    """No outcome in time."""
    UNSURE = 'unsure'
    """Only records that are no longer held could tell."""
    WINNER = 'winner'


class Verdict(msgspec.Struct, frozen=True, array_like=True):
    """Whose intent came first, or why that is not known.

    If ``conclusive`` is false, ``winner`` may have lost to an intent in a
    record that this shard has not read; it must not run its request.
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

    def settle(self, verdict: Verdict) -> None:
        if not self.future.done():
            self.future.set_result(verdict)


class Shard:
    """Follows one stream and appends intents to it in batches.

    ``window`` returns the seconds for which a key has to be known.
    """

    def __init__(
        self,
        log: platform.Log,
        stream: ids.StreamName,
        window: Callable[[], float],
        pace: AppendInterval,
    ) -> None:
        self._log = log
        self._stream = stream
        self._window = window
        self._pace = pace
        self._loop = asyncio.get_running_loop()
        self.used_at = self._loop.time()
        self._fold: fold.KeyFold | None = None
        self._history = history.ReadHistory(ids.Offset(0))
        self._caught_up = asyncio.Event()
        self._down = False
        self._blind_until = float('-inf')
        """While records within the window are missing."""
        self._waiters: dict[bytes, list[_Waiter]] = {}
        self._queue: list[_Waiter] = []
        self._queued = asyncio.Event()
        self._appended_at = float('-inf')

    @property
    def size(self) -> int:
        """How many keys are known."""
        return len(self._fold) if self._fold is not None else 0

    async def run(self) -> None:
        """Follows and appends until cancelled."""
        await asyncio.gather(self._follow(), self._append_batches())

    async def submit(self, intent: fold.Intent, timeout: float) -> Verdict:
        """Returns whose intent for the key came first."""
        self.used_at = self._loop.time()
        if self._down:
            return Verdict(VerdictKind.DOWN)
        waiter = _Waiter(intent)
        rows = self._waiters.setdefault(intent.key, [])
        rows.append(waiter)
        try:
            async with asyncio.timeout(timeout):
                return await self._decide(waiter)
        except TimeoutError:
            return Verdict(VerdictKind.LATE)
        finally:
            rows.remove(waiter)
            if not rows:
                self._waiters.pop(intent.key, None)

    async def _decide(self, waiter: _Waiter) -> Verdict:
        if self._caught_up.is_set():
            self._enter(waiter)
        return await waiter.future

    def _enter(self, waiter: _Waiter) -> None:
        """Answers from the fold if it can, or queues for the next batch."""
        self._answer(waiter)
        if waiter.future.done():
            return
        blind = self._loop.time() < self._blind_until
        if blind or len(self._fold) >= _MOST_KEYS:
            waiter.settle(Verdict(VerdictKind.BUSY))
            return
        self._queue.append(waiter)
        self._queued.set()

    def _answer(self, waiter: _Waiter) -> None:
        """Settles a waiter whose key has an intent within the window."""
        found = self._fold.find(waiter.intent.key)
        if found is None or found.last < self._find_window_start():
            return
        if found.winner == waiter.intent and not found.conclusive:
            waiter.settle(Verdict(VerdictKind.UNSURE))
        else:
            waiter.settle(
                Verdict(VerdictKind.WINNER, found.winner, found.conclusive)
            )

    def _find_window_start(self) -> ids.Offset:
        return self._history.find_window_start(
            self._window(), self._loop.time()
        )

    async def _follow(self) -> None:
        while True:
            wait = _READ_WAIT if self._caught_up.is_set() else 0.0
            if not await self._read(wait):
                await asyncio.sleep(_RETRY_DELAY)

    async def _read(self, wait: float) -> bool:
        """Reads and folds one page; returns whether the log answered."""
        start = self._fold.next if self._fold is not None else ids.Offset(0)
        outcome = await self._log.read(self._stream, start, wait=wait)
        match outcome:
            case Result(tag='ok', ok=page):
                self._take(start, page)
                return True
            case Result(error=fault):
                self._note_fault(fault)
                return False

    def _note_fault(self, fault: platform.LogFault) -> None:
        if fault.kind is platform.LogFaultKind.EXPIRED:
            self._check_oldest(fault.oldest)
            self._restart(fault.oldest)
            return
        _LOG.info('keys stream=%s log=%s', self._stream, fault.detail)
        self._down = True
        self._fail_all(VerdictKind.DOWN)

    def _restart(self, oldest: ids.Offset) -> None:
        """Starts from what the log still holds."""
        self._fold = fold.KeyFold(oldest)
        self._history = history.ReadHistory(oldest)
        self._caught_up.clear()

    def _take(self, start: ids.Offset, page: platform.LogPage) -> None:
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
            self._history.find_window_start(window + _FORGET_DELAY, now)
        )
        if not page.records and not self._caught_up.is_set():
            self._caught_up.set()
            for waiter in self._list_waiters():
                self._enter(waiter)

    def _check_oldest(self, oldest: ids.Offset) -> None:
        """Notices a log that drops records within the window."""
        now = self._loop.time()
        window = self._window()
        if self._history.is_truncated(oldest, window, now):
            _LOG.error(
                'keys stream=%s oldest=%d: the log keeps records for less '
                'than the key window of %g s',
                self._stream,
                oldest,
                window,
            )
            self._blind_until = now + window

    def _list_waiters(self) -> list[_Waiter]:
        return [row for rows in self._waiters.values() for row in rows]

    def _apply(self, record: platform.LogRecord) -> None:
        try:
            batch = msgspec.msgpack.decode(record.body, type=fold.Batch)
        except msgspec.DecodeError as error:
            _LOG.warning('keys record=%d: %s', record.offset, error)
            self._fold.skip(record.offset)
            return
        self._fold.apply(record.offset, batch)
        if not self._caught_up.is_set():
            return
        for intent in batch.intents:
            for waiter in self._waiters.get(intent.key, ()):
                self._answer(waiter)

    async def _append_batches(self) -> None:
        while True:
            await self._queued.wait()
            due = self._appended_at + self._pace()
            await asyncio.sleep(max(0.0, due - self._loop.time()))
            batch = self._take_batch()
            if batch:
                self._appended_at = self._loop.time()
                await self._append(batch)

    def _take_batch(self) -> list[_Waiter]:
        waiting = [row for row in self._queue if not row.future.done()]
        self._queue = waiting[_BATCH_SIZE:]
        if not self._queue:
            self._queued.clear()
        return waiting[:_BATCH_SIZE]

    async def _append(self, batch: list[_Waiter]) -> None:
        intents = tuple(row.intent for row in batch)
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
        """Reads until the fold covers ``offset``; that settles waiters."""
        while self._fold.next <= offset and await self._read(0.0):
            pass

    async def _retry(
        self, batch: list[_Waiter], fault: platform.LogFault
    ) -> None:
        """Queues again what is not in the log after a failed append.

        An append whose answer was lost is looked for first.  It may still
        come in later: a repeated intent changes nothing in the fold.
        """
        if fault.kind is platform.LogFaultKind.UNAVAILABLE:
            self._fail(batch, VerdictKind.DOWN)
            return
        if fault.kind is platform.LogFaultKind.RATE_LIMITED:
            await asyncio.sleep(_RETRY_DELAY)
        elif not await self._read_to_end():
            return
        self._queue = [
            row for row in batch if not row.future.done()
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
            waiter.settle(Verdict(kind))
