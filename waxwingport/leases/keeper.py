"""Claims, renews and releases one lease of a node."""

import asyncio
from collections.abc import Callable
import enum
import logging

from expression import Error
from expression import Result
import msgspec

from waxwingport.charts import chart
from waxwingport import decoding
from waxwingport import ids
from waxwingport.leases import base
from waxwingport.leases import fold
from waxwingport.membership import base as membership
from waxwingport.outside import base as platform

__all__ = ['LeaseEvent', 'LeaseKeeper', 'LeaseSettings', 'LeaseState']

_CHECK_INTERVAL_S = 0.2
_READ_WAIT_S = 1.0
_RETRY_DELAY_S = 0.2
_MAX_SENT_RECORDS = 16
"""Own records whose time of sending is kept."""
_IDLE_DELAY_S = 1.0
"""Interval of the checks of whether this node has to read the log."""
_LOG = logging.getLogger(__name__)


class LeaseState(enum.Enum):
    """State of a lease at one node; see ``charts/lease.yaml``."""

    FOLLOWING = 'following'
    HELD = 'held'
    LAPSED = 'lapsed'
    """This node was the last holder, but its renewal has expired."""


class LeaseEvent(enum.Enum):
    """Events that change a lease's state."""

    EXPIRED = 'expired'
    """The last claim or renewal of this node is no longer valid."""
    OVERTAKEN = 'overtaken'
    """A record won after which this node does not hold the lease."""
    RELEASED = 'released'
    WON = 'won'
    """A claim or renewal of this node won."""


class LeaseSettings(msgspec.Struct, frozen=True):
    """Times of a lease, in seconds."""

    duration: float = 10.0
    """Time for which a claim or renewal is valid after it was sent."""
    renewal_interval: float = 3.0
    """Time between two renewals."""
    takeover_margin: float = 2.0
    """Time beyond the duration after which other nodes claim the lease.

    Covers clocks that run at different rates and orders in flight.
    """
    append_timeout: float = 3.0


class LeaseKeeper(base.Lease):
    """Claims a lease when it is free and renews it.

    ``is_candidate`` returns whether this node should claim the lease; a node
    that is neither a candidate nor the holder does not read the log.
    ``is_entitled`` returns whether a holder may keep the lease; otherwise it
    releases it.  Timeouts only decide when to try; the fold of the log
    decides who wins.
    """

    def __init__(
        self,
        log: platform.Log,
        stream: ids.StreamName,
        local_member: membership.Member,
        settings: LeaseSettings | None = None,
        is_candidate: Callable[[], bool] = lambda: True,
        is_entitled: Callable[[], bool] = lambda: True,
    ) -> None:
        self._log = log
        self._stream = stream
        self._local_member = local_member
        self._settings = settings or LeaseSettings()
        self._is_candidate = is_candidate
        self._is_entitled = is_entitled
        self._loop = asyncio.get_running_loop()
        self._chart = chart.read_chart('lease', LeaseState, LeaseEvent)
        self.state = self._chart.initial
        self.valid_until = float('-inf')
        self._fold: fold.LeaseFold | None = None
        self._caught_up = False
        self._last_win_read_at = self._loop.time()
        """Loop time at which a record that may have won was last read."""
        self._last_append_at = float('-inf')
        self._sent_at: dict[ids.RecordId, float] = {}
        self._stopped = False

    @property
    def tenure(self) -> fold.Tenure | None:
        """Last known holder of the lease, ``None`` if unknown."""
        return self._fold.tenure if self._fold else None

    def get_fencing_number(self) -> ids.FencingNumber | None:
        """Returns the fencing number if this node holds the lease now."""
        if self._loop.time() >= self.valid_until:
            self._handle_event(LeaseEvent.EXPIRED)
            return None
        if self.state is not LeaseState.HELD or not self._is_holder():
            return None
        return self._fold.tenure.number

    def find_highest_number(self) -> ids.FencingNumber | None:
        """Returns the highest fencing number seen, ``None`` if none was."""
        return self._fold.highest if self._fold else None

    async def run(self) -> None:
        """Follows the log, claims and renews, until cancelled."""
        await asyncio.gather(self._follow(), self._claim_and_renew())

    async def release(self) -> None:
        """Releases the lease, so that the next holder need not wait."""
        self._stopped = True
        number = self.get_fencing_number()
        self.valid_until = float('-inf')
        self._handle_event(LeaseEvent.RELEASED)
        if number is not None:
            await self._append(released=True)

    async def _release_and_wait(self) -> None:
        self.valid_until = float('-inf')
        self._handle_event(LeaseEvent.RELEASED)
        await self._append(released=True)
        await asyncio.sleep(_RETRY_DELAY_S)

    def _is_holder(self) -> bool:
        tenure = self.tenure
        return tenure is not None and (
            (tenure.holder, tenure.incarnation)
            == (self._local_member.name, self._local_member.incarnation)
            and not tenure.released
        )

    def _handle_event(self, event: LeaseEvent) -> None:
        next_state = self._chart.next(self.state, event)
        if next_state is not self.state:
            _LOG.info(
                'lease=%s state=%s event=%s tenure=%s',
                self._stream,
                next_state.value,
                event.value,
                self.tenure,
            )
            self.state = next_state

    async def _follow(self) -> None:
        while True:
            if not (self._is_candidate() or self._is_holder()):
                # Records that arrive meanwhile must be read before a claim.
                self._caught_up = False
                await asyncio.sleep(_IDLE_DELAY_S)
                continue
            wait = _READ_WAIT_S if self._caught_up else 0.0
            if not await self._read(wait):
                await asyncio.sleep(_RETRY_DELAY_S)

    async def _read(self, wait: float) -> bool:
        """Reads and folds one page; returns whether the log answered."""
        start = self._fold.next if self._fold else ids.Offset(0)
        match await self._log.read(self._stream, start, wait=wait):
            case Result(tag='ok', ok=page):
                self._apply_page(start, page)
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
        self._last_win_read_at = self._loop.time()

    def _apply_page(self, start: ids.Offset, page: platform.LogPage) -> None:
        if self._fold is None:
            self._restart(start)
        for record in page.records:
            if record.offset >= self._fold.next:
                self._apply(record)
        if not page.records:
            self._caught_up = True

    def _apply(self, log_record: platform.LogRecord) -> None:
        match decoding.read_msgpack(log_record.body, fold.LeaseRecord):
            case Result(tag='ok', ok=record):
                pass
            case Result(error=reason):
                _LOG.warning(
                    'lease record=%d: undecodable record ignored: %s',
                    log_record.offset,
                    reason,
                )
                self._fold.skip(log_record.offset)
                return
        won = self._fold.apply(log_record.offset, record)
        if won or self._fold.tenure is None:
            self._last_win_read_at = self._loop.time()
        if not won:
            return
        if not self._is_holder():
            self.valid_until = float('-inf')
            self._handle_event(LeaseEvent.OVERTAKEN)
            return
        sent_at = self._sent_at.get(record.record_id)
        if sent_at is not None and not self._stopped:
            until = sent_at + self._settings.duration
            self.valid_until = max(self.valid_until, until)
            self._handle_event(LeaseEvent.WON)

    async def _claim_and_renew(self) -> None:
        while True:
            if self._loop.time() >= self.valid_until:
                self._handle_event(LeaseEvent.EXPIRED)
            if self._is_holder() and not self._is_entitled():
                await self._release_and_wait()
            elif self._is_due():
                self._last_append_at = self._loop.time()
                await self._append()
            await asyncio.sleep(_CHECK_INTERVAL_S)

    def _is_due(self) -> bool:
        """Returns whether a claim or renewal is due."""
        now = self._loop.time()
        if not self._caught_up or self._stopped:
            return False
        if self._is_holder():
            return (
                now >= self._last_append_at + self._settings.renewal_interval
            )
        if (
            not self._is_candidate()
            or now < self._last_append_at + _RETRY_DELAY_S
        ):
            return False
        return self._is_free(now)

    def _is_free(self, now: float) -> bool:
        tenure = self.tenure
        if self._fold.next == 0 or (tenure is not None and tenure.released):
            return True
        takeover_delay = (
            self._settings.duration + self._settings.takeover_margin
        )
        return now >= self._last_win_read_at + takeover_delay

    async def _append(self, released: bool = False) -> None:
        """Appends a claim, or a renewal if this node is the holder.

        The fold tells whether the record won, also if the log's answer was
        lost.
        """
        record = fold.LeaseRecord(
            ids.generate_record_id(),
            self._local_member.name,
            self._local_member.incarnation,
            ids.Offset(self._fold.next - 1),
            self.tenure.number if self._is_holder() else None,
            released,
        )
        self._sent_at[record.record_id] = self._loop.time()
        if len(self._sent_at) > _MAX_SENT_RECORDS:
            del self._sent_at[next(iter(self._sent_at))]
        outcome = await self._append_with_timeout(
            msgspec.msgpack.encode(record)
        )
        match outcome:
            case Result(tag='ok', ok=offset):
                while self._fold.next <= offset and await self._read(0.0):
                    pass
            case Result(error=fault):
                _LOG.info('lease=%s append=%s', self._stream, fault.detail)

    async def _append_with_timeout(
        self, body: bytes
    ) -> Result[ids.Offset, platform.LogFault]:
        try:
            async with asyncio.timeout(self._settings.append_timeout):
                return await self._log.append(self._stream, body)
        except TimeoutError:
            kind = platform.LogFaultKind.UNKNOWN
            return Error(
                platform.LogFault(kind, 'no answer from the log in time')
            )
