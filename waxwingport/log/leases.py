"""Leases of partitions, recorded in the partitions themselves.

A process claims a partition by appending a claim under a higher epoch, which
fences every earlier holder at once; the order of the claims in the log is the
order of the holders.  A holder appends renewals, and the others claim the
partition when these stop.  Unlike with the consumer groups of the log, a
holder keeps its partition while other processes start and stop.
"""

import abc
import asyncio
from collections.abc import Callable
from collections.abc import Coroutine
import logging
import random

from expression import Result
import msgspec

from waxwingport import clocks
from waxwingport.log import base
from waxwingport.log import tails
from waxwingport.log import writers

__all__ = [
    'Claim',
    'SEQUENCE_BITS',
    'LeaseListener',
    'LeaseRecord',
    'PartitionLease',
    'Renewal',
    'Resignation',
]

_BUSY_INTERVAL_S = 0.3
"""Time between renewals of a holder with work under way.  The extra appends
are cheap compared with the half second by which they shorten a step whose
holder is lost."""
_IDLE_INTERVAL_S = 0.6
"""Time between renewals of a holder without work."""
_RENEWAL_SLACK_S = 0.4
"""Delay of a renewal that is tolerated: an append queued behind another one
and a read, at a log 60 times slower than its usual 4 ms."""
_CLAIM_JITTER_S = 0.2
"""Upper bound of the random delay of a claim, so that most processes see
another's claim before they claim themselves."""
_CLAIM_TIMEOUT_S = 1.5
"""Time after which a claim that was not read back is abandoned."""
_MAX_READ_AGE_S = 2.0
"""Greatest age of the last read to the partition's end on which the holder may
be taken for lost.  Longer than the 1 s for which a read waits for a record."""
_MAX_TASKS = 16
"""Tasks of a lease, most of them renewals that the log has not acknowledged.
A holder of an unavailable log would start 6,000 of them an hour."""
SEQUENCE_BITS = 40
"""Bits of the random sequence number of a claim.  It keeps the log from taking
another process's claim in the same epoch for a repeat of this one."""

_LOG = logging.getLogger(__name__)


class Claim(msgspec.Struct, frozen=True, tag='claim', array_like=True):
    """The process holds the partition from this record on."""

    member: base.MemberName
    epoch: base.Epoch
    written_at: float
    """Seconds since 1970, by the holder's clock."""


class Renewal(msgspec.Struct, frozen=True, tag='renewal', array_like=True):
    """The holder still holds the partition."""

    member: base.MemberName
    epoch: base.Epoch
    written_at: float
    """Seconds since 1970, by the holder's clock."""
    interval: float
    """Seconds until the next renewal."""


class Resignation(
    msgspec.Struct, frozen=True, tag='resignation', array_like=True
):
    """The holder releases the partition."""

    epoch: base.Epoch


LeaseRecord = Claim | Renewal | Resignation


class LeaseListener(abc.ABC):
    """Is told when this process starts and stops holding a partition."""

    @property
    @abc.abstractmethod
    def busy(self) -> bool:
        """Whether work on the partition is under way.

        If so, renewals are more frequent, and a loss is noticed sooner.
        """

    @abc.abstractmethod
    def handle_acquisition(self, writer: writers.FencedWriter) -> None:
        """Starts work on the partition with ``writer``.

        Called after all earlier records of the partition have been handled.
        """

    @abc.abstractmethod
    def handle_loss(self, reason: str) -> None:
        """Stops work on the partition; its writer can't append any more."""


class PartitionLease:
    """Claims one partition and renews the claim.

    ``member`` has to be unique to this run of the process.  ``call_size``
    bounds the bytes of one append.  ``compute_delay`` returns the seconds by
    which this process should claim later than others, which are then preferred
    as holders.
    """

    def __init__(
        self,
        log: base.PartitionLog,
        tail: tails.PartitionTail,
        member: base.MemberName,
        listener: LeaseListener,
        call_size: int,
        wall_clock: clocks.WallClock,
        rng: random.Random,
        compute_delay: Callable[[], float] = lambda: 0.0,
    ) -> None:
        self._log = log
        self._tail = tail
        self._member = member
        self._listener = listener
        self._call_size = call_size
        self._wall_clock = wall_clock
        self._rng = rng
        self._compute_delay = compute_delay
        self._holder: base.MemberName | None = None
        self._renewed_at = float('-inf')
        """Loop time of the holder's last claim or renewal."""
        self._interval = _IDLE_INTERVAL_S
        """Seconds until the holder's next renewal, as it announced."""
        self._writer: writers.FencedWriter | None = None
        self._tasks: set[asyncio.Task] = set()
        self._fenced_epoch = base.Epoch(0)
        """Highest epoch in which a claim of this process was fenced."""
        self._used_epoch = base.Epoch(0)
        """Highest epoch in which a claim of this process did not follow the
        appends of another one."""
        self.epoch = base.Epoch(0)
        """Highest epoch that was claimed; higher for each holder."""
        self.held = False
        """Whether this process holds the partition, as far as it has read."""
        self._resigned = asyncio.Event()
        self._has_resigned = False
        """Whether this process will not claim any more."""

    async def run(self) -> None:
        """Claims the partition and renews the claim until cancelled."""
        try:
            await self._tail.caught_up.wait()
            while True:
                if self.held and self._writer is not None:
                    self._renew(self._writer)
                elif not self._has_resigned and self._is_free():
                    await self._try_claim()
                await self._wait()
        finally:
            self.close()

    def handle_record(self, record: LeaseRecord) -> None:
        """Applies the next lease record of the partition."""
        match record:
            case Claim(member, epoch, written_at):
                self._apply_claim(member, epoch, written_at)
            case Renewal(member, epoch, written_at, interval):
                # The claim itself may have expired from the log.
                self._apply_claim(member, epoch, written_at)
                if epoch == self.epoch:
                    self._interval = interval
                    self._record_renewal(written_at)
            case Resignation(epoch) if epoch == self.epoch:
                self._holder = None
                self._resigned.set()

    async def resign(self) -> None:
        """Releases the partition for good, so that others can claim at once.

        Returns once the record of it is acknowledged.
        """
        self._has_resigned = True
        writer = self._writer
        if writer is None or not self.held:
            return
        await writer.write((msgspec.msgpack.encode(Resignation(self.epoch)),))
        self._end(writer, 'resigned')

    def drop(self, reason: str) -> None:
        """Stops holding the partition without a record of it.

        Another process claims it once the renewals stop.
        """
        if self._writer is not None:
            self._end(self._writer, reason)

    def close(self) -> None:
        """Cancels all background work without a record of it."""
        for task in self._tasks:
            task.cancel()

    async def _wait(self) -> None:
        """Waits until a renewal is due or the holder resigns."""
        self._resigned.clear()
        try:
            async with asyncio.timeout(self._choose_interval()):
                await self._resigned.wait()
        except TimeoutError:
            return

    def _apply_claim(
        self, member: base.MemberName, epoch: base.Epoch, written_at: float
    ) -> None:
        if epoch <= self.epoch:
            return
        self._interval = _IDLE_INTERVAL_S
        writer = self._writer
        own = (
            writer is not None
            and member == self._member
            and writer.epoch == epoch
        )
        self.epoch = epoch
        self._holder = member
        self._record_renewal(written_at)
        _LOG.info(
            'partition-claimed',
            extra={
                'partition': str(self._tail.partition),
                'holder': member,
                'epoch': epoch,
                'own': own,
            },
        )
        if writer is None:
            return
        if own:
            self.held = True
            self._listener.handle_acquisition(writer)
        else:
            # Also reached if another process claimed the same epoch first.
            self._end(writer, f'claimed by {member}')

    def _is_free(self) -> bool:
        now = asyncio.get_running_loop().time()
        dependency = self._tail.dependency
        if self._writer is not None:
            return False
        if (
            not dependency.available
            or self._tail.caught_up_at < now - _MAX_READ_AGE_S
        ):
            return False
        if self._holder is None:
            return True
        renewed_at = max(
            self._renewed_at, dependency.recovered_at or self._renewed_at
        )
        return now - renewed_at > 2 * self._interval + _RENEWAL_SLACK_S

    def _record_renewal(self, written_at: float) -> None:
        """Records a claim or renewal of the holder.

        One that was in the log before this process first caught up counts as
        older by one interval, or by its age by the wall clock if that is more.
        A clock that is too far off can cost a holder its partition, but
        fencing does not depend on clocks.

        This matters when all nodes are lost at once and restart together while
        their steps are due: they claim the partitions sooner.
        """
        self._renewed_at = asyncio.get_running_loop().time()
        if self._tail.first_caught_up_at is None:
            age = self._wall_clock.read() - written_at
            self._renewed_at -= max(self._interval, age)

    async def _try_claim(self) -> None:
        jitter = self._rng.uniform(0.0, _CLAIM_JITTER_S)
        await asyncio.sleep(jitter + self._compute_delay())
        match await self._tail.catch_up(0.0):
            case Result(tag='error'):
                return
        if self._is_free() and not self._has_resigned:
            self._claim()

    def _claim(self) -> None:
        # The log may still know an epoch whose records have expired.
        epoch = base.Epoch(
            max(self.epoch + 1, 2 * self._fenced_epoch, self._used_epoch + 1)
        )
        writer = writers.FencedWriter(
            self._log,
            self._tail.partition,
            epoch,
            self._rng.getrandbits(SEQUENCE_BITS),
            self._call_size,
        )
        self._writer = writer
        self._spawn(self._run_writer(writer))
        self._spawn(self._write_claim(writer))
        asyncio.get_running_loop().call_later(
            _CLAIM_TIMEOUT_S, self._abandon_claim, writer
        )

    async def _write_claim(self, writer: writers.FencedWriter) -> None:
        claim = Claim(self._member, writer.epoch, self._wall_clock.read())
        done = await writer.write((msgspec.msgpack.encode(claim),))
        if done.is_ok():
            # The read of the tail that waits for a record may be delayed.
            await self._tail.catch_up(0.0)

    def _renew(self, writer: writers.FencedWriter) -> None:
        if len(self._tasks) >= _MAX_TASKS:
            return
        self._write(
            writer,
            Renewal(
                self._member,
                self.epoch,
                self._wall_clock.read(),
                self._choose_interval(),
            ),
        )

    def _choose_interval(self) -> float:
        """Returns the seconds until the next renewal or check."""
        if self.held and not self._listener.busy:
            return _IDLE_INTERVAL_S
        return _BUSY_INTERVAL_S

    async def _run_writer(self, writer: writers.FencedWriter) -> None:
        fault = await writer.run()
        if fault.kind is base.FaultKind.FENCED and not self.held:
            self._fenced_epoch = max(self._fenced_epoch, writer.epoch)
        if fault.kind is base.FaultKind.SEQUENCE and not self.held:
            self._used_epoch = max(self._used_epoch, writer.epoch)
        if writer is self._writer:
            self._end(writer, fault.detail)

    def _abandon_claim(self, writer: writers.FencedWriter) -> None:
        # If the append takes effect later, the claim is not renewed and
        # another process claims the partition.
        if writer is self._writer and not self.held:
            self._end(writer, 'claim was not read back in time')

    def _end(self, writer: writers.FencedWriter, reason: str) -> None:
        was_held = self.held
        self._writer = None
        self.held = False
        # Later records are another process's.  The time without a renewal of
        # that process counts from now.
        self._renewed_at = asyncio.get_running_loop().time()
        if was_held:
            self._listener.handle_loss(reason)
        writer.abandon(base.Fault(base.FaultKind.FENCED, reason))
        for task in list(self._tasks):
            if task is not asyncio.current_task():
                task.cancel()

    def _write(
        self, writer: writers.FencedWriter, record: LeaseRecord
    ) -> None:
        self._spawn(writer.write((msgspec.msgpack.encode(record),)))

    def _spawn(self, work: Coroutine[None, None, object]) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
