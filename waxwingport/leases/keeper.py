"""Holds one lease, or waits for its turn."""

import asyncio
from collections.abc import Callable
import enum
import logging

from expression import Error
from expression import Result
import msgspec

from waxwingport.charts import chart
from waxwingport import ids
from waxwingport.leases import base
from waxwingport.leases import fold
from waxwingport.membership import base as membership
from waxwingport.outside import base as platform

__all__ = ['LeaseEvent', 'LeaseKeeper', 'LeaseSettings', 'LeaseState']

_TICK = 0.2
_READ_WAIT = 1.0
_RETRY_DELAY = 0.2
_SENT_KEPT = 16
_IDLE_DELAY = 1.0
"""Seconds between two looks at whether to follow the lease."""
_LOG = logging.getLogger(__name__)


class LeaseState(enum.Enum):
    """State of a lease at one node; see ``charts/lease.yaml``."""

    FOLLOWING = 'following'
    HELD = 'held'
    LAPSED = 'lapsed'
    """Last held by this node, which may no longer use it."""


class LeaseEvent(enum.Enum):
    """What happens to a lease."""

    EXPIRED = 'expired'
    OVERTAKEN = 'overtaken'
    RELEASED = 'released'
    WON = 'won'


class LeaseSettings(msgspec.Struct, frozen=True):
    """Times in seconds."""

    duration: float = 10.0
    """For which a renewal is good, from the moment it was sent."""
    renewal_interval: float = 3.0
    """Between two renewals."""
    takeover_margin: float = 2.0
    """That others wait beyond the duration: for clocks that run at different
    rates and for orders on their way."""
    append_timeout: float = 3.0


class LeaseKeeper(base.Lease):
    """Claims a lease when it is free and renews it.

    ``is_candidate`` returns whether this node should try; while it should not
    and holds nothing, it leaves the log alone.  A holder that ``is_entitled``
    no longer gives the lease up.  Timeouts decide when to try, the fold
    decides who wins.
    """

    def __init__(
        self,
        log: platform.Log,
        stream: ids.StreamName,
        own: membership.Member,
        settings: LeaseSettings | None = None,
        is_candidate: Callable[[], bool] = lambda: True,
        is_entitled: Callable[[], bool] = lambda: True,
    ) -> None:
        self._log = log
        self._stream = stream
        self._own = own
        self._settings = settings or LeaseSettings()
        self._is_candidate = is_candidate
        self._is_entitled = is_entitled
        self._loop = asyncio.get_running_loop()
        self._chart = chart.read_chart('lease', LeaseState, LeaseEvent)
        self.state = self._chart.initial
        self.valid_until = float('-inf')
        self._fold: fold.LeaseFold | None = None
        self._caught_up = False
        self._heard_at = self._loop.time()
        """When the latest winning record was seen."""
        self._tried_at = float('-inf')
        self._sent: dict[ids.RecordId, float] = {}
        self._stopped = False

    @property
    def tenure(self) -> fold.Tenure | None:
        """Who holds the lease, as far as the log was read."""
        return self._fold.tenure if self._fold else None

    def get_fencing_number(self) -> ids.FencingNumber | None:
        """Returns the fencing number if the lease is held now."""
        if self._loop.time() >= self.valid_until:
            self._note(LeaseEvent.EXPIRED)
            return None
        if self.state is not LeaseState.HELD or not self._is_holder():
            return None
        return self._fold.tenure.number

    def find_highest_number(self) -> ids.FencingNumber | None:
        """Returns the highest number seen, held by whoever."""
        return self._fold.highest if self._fold else None

    async def run(self) -> None:
        """Follows, claims and renews until cancelled."""
        await asyncio.gather(self._follow(), self._drive())

    async def release(self) -> None:
        """Gives the lease up, so that the next holder need not wait."""
        self._stopped = True
        held = self.get_fencing_number()
        self.valid_until = float('-inf')
        self._note(LeaseEvent.RELEASED)
        if held is not None:
            await self._append(released=True)

    async def _give_up(self) -> None:
        self.valid_until = float('-inf')
        self._note(LeaseEvent.RELEASED)
        await self._append(released=True)
        await asyncio.sleep(_RETRY_DELAY)

    def _is_holder(self) -> bool:
        tenure = self.tenure
        return tenure is not None and (
            (tenure.holder, tenure.incarnation)
            == (self._own.name, self._own.incarnation)
            and not tenure.released
        )

    def _note(self, event: LeaseEvent) -> None:
        after = self._chart.next(self.state, event)
        if after is not self.state:
            _LOG.info(
                'lease=%s state=%s event=%s tenure=%s',
                self._stream,
                after.value,
                event.value,
                self.tenure,
            )
            self.state = after

    async def _follow(self) -> None:
        while True:
            if not (self._is_candidate() or self._is_holder()):
                # What comes meanwhile has to be read before a claim.
                self._caught_up = False
                await asyncio.sleep(_IDLE_DELAY)
                continue
            wait = _READ_WAIT if self._caught_up else 0.0
            if not await self._read(wait):
                await asyncio.sleep(_RETRY_DELAY)

    async def _read(self, wait: float) -> bool:
        """Reads and folds one page; returns whether the log answered."""
        start = self._fold.next if self._fold else ids.Offset(0)
        match await self._log.read(self._stream, start, wait=wait):
            case Result(tag='ok', ok=page):
                self._take(start, page)
                return True
            case Result(error=fault):
                if fault.kind is platform.LogFaultKind.EXPIRED:
                    self._restart(fault.oldest)
                else:
                    _LOG.info('lease=%s log=%s', self._stream, fault.detail)
                return False

    def _restart(self, oldest: ids.Offset) -> None:
        self._fold = fold.LeaseFold(oldest)
        self._caught_up = False
        self._heard_at = self._loop.time()

    def _take(self, start: ids.Offset, page: platform.LogPage) -> None:
        if self._fold is None:
            self._restart(start)
        for record in page.records:
            if record.offset >= self._fold.next:
                self._apply(record)
        if not page.records:
            self._caught_up = True

    def _apply(self, found: platform.LogRecord) -> None:
        try:
            record = msgspec.msgpack.decode(found.body, type=fold.LeaseRecord)
        except msgspec.DecodeError as error:
            _LOG.warning('lease record=%d: %s', found.offset, error)
            self._fold.skip(found.offset)
            return
        won = self._fold.apply(found.offset, record)
        if won or self._fold.tenure is None:
            self._heard_at = self._loop.time()
        if not won:
            return
        if not self._is_holder():
            self.valid_until = float('-inf')
            self._note(LeaseEvent.OVERTAKEN)
            return
        sent_at = self._sent.get(record.record_id)
        if sent_at is not None and not self._stopped:
            until = sent_at + self._settings.duration
            self.valid_until = max(self.valid_until, until)
            self._note(LeaseEvent.WON)

    async def _drive(self) -> None:
        while True:
            if self._loop.time() >= self.valid_until:
                self._note(LeaseEvent.EXPIRED)
            if self._is_holder() and not self._is_entitled():
                await self._give_up()
            elif self._is_due():
                self._tried_at = self._loop.time()
                await self._append()
            await asyncio.sleep(_TICK)

    def _is_due(self) -> bool:
        """Returns whether to renew or to claim now."""
        now = self._loop.time()
        if not self._caught_up or self._stopped:
            return False
        if self._is_holder():
            return now >= self._tried_at + self._settings.renewal_interval
        if not self._is_candidate() or now < self._tried_at + _RETRY_DELAY:
            return False
        return self._is_free(now)

    def _is_free(self, now: float) -> bool:
        tenure = self.tenure
        if self._fold.next == 0 or (tenure is not None and tenure.released):
            return True
        silence = self._settings.duration + self._settings.takeover_margin
        return now >= self._heard_at + silence

    async def _append(self, released: bool = False) -> None:
        """Appends a claim, or a renewal if this node is the holder.

        Whether it won shows in the fold; so an answer that was lost is
        looked for there.
        """
        record = fold.LeaseRecord(
            ids.mint_record_id(),
            self._own.name,
            self._own.incarnation,
            ids.Offset(self._fold.next - 1),
            self.tenure.number if self._is_holder() else None,
            released,
        )
        self._sent[record.record_id] = self._loop.time()
        if len(self._sent) > _SENT_KEPT:
            del self._sent[next(iter(self._sent))]
        outcome = await self._append_in_time(msgspec.msgpack.encode(record))
        match outcome:
            case Result(tag='ok', ok=offset):
                while self._fold.next <= offset and await self._read(0.0):
                    pass
            case Result(error=fault):
                _LOG.info('lease=%s append=%s', self._stream, fault.detail)

    async def _append_in_time(
        self, body: bytes
    ) -> Result[ids.Offset, platform.LogFault]:
        try:
            async with asyncio.timeout(self._settings.append_timeout):
                return await self._log.append(self._stream, body)
        except TimeoutError:
            kind = platform.LogFaultKind.UNKNOWN
            return Error(platform.LogFault(kind, 'no answer in time'))
