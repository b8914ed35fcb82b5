"""Which process holds a partition, kept in the partition itself.

A process that wants a partition appends a claim under an epoch of its own,
which fences every earlier holder at once; the claims' order in the log is the
order of the holders.  A holder renews its claim, and the others claim once
nothing was heard of it.  Against the groups that the log offers, a holder
keeps its partition while other processes come and go.
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

_BUSY_INTERVAL = 0.3
"""Seconds between signs of life of a holder with work under way: half a second
of a step's time is worth a few small appends."""
_IDLE_INTERVAL = 0.6
"""Seconds likewise without any."""
_SILENCE_SLACK = 0.4
"""Seconds that a sign of life may be late: an append and a read of a store 60
times slower than its usual 4 ms, one behind another append."""
_CLAIM_SPREAD = 0.2
"""Seconds over which claimants spread, so that most see another's claim."""
_HELD_DELAY = 0.1
"""Seconds that a claimant waits longer for each partition that it holds."""
_CLAIM_TIMEOUT = 1.5
"""Seconds after which a claim that was not seen done is given up."""
_FRESHNESS = 2.0
"""Seconds: age of the newest read of the partition's end on which "nothing
was heard" may rest; a read waits for one."""
SEQUENCE_BITS = 40
"""Claims start at a random number, so that a claim of another process in the
same epoch never passes for a repeat of this one."""

_LOG = logging.getLogger(__name__)


class Claim(msgspec.Struct, frozen=True, tag='claim', array_like=True):
    """A process holds the partition from here on."""

    member: base.MemberName
    epoch: base.Epoch
    written_at: float
    """Seconds since 1970, by the holder's clock."""


class Renewal(msgspec.Struct, frozen=True, tag='renewal', array_like=True):
    """The holder lives."""

    member: base.MemberName
    epoch: base.Epoch
    written_at: float
    """Seconds since 1970, by the holder's clock."""
    interval: float
    """Seconds until the holder renews again."""


class Resignation(
    msgspec.Struct, frozen=True, tag='resignation', array_like=True
):
    """The holder gives the partition up."""

    epoch: base.Epoch


LeaseRecord = Claim | Renewal | Resignation


class LeaseListener(abc.ABC):
    """Learns when this process holds a partition."""

    @property
    @abc.abstractmethod
    def busy(self) -> bool:
        """Whether work on the partition is under way."""

    @abc.abstractmethod
    def handle_acquisition(self, writer: writers.FencedWriter) -> None:
        """Takes the partition up; all that was written before was read."""

    @abc.abstractmethod
    def handle_loss(self, reason: str) -> None:
        """Gives the partition up; nothing can be written any more."""


class PartitionLease:
    """Claims and renews one partition.

    ``member`` has to name one life of a process.  ``count_held`` returns how
    many partitions this process holds; one that holds fewer claims sooner.
    """

    def __init__(
        self,
        log: base.PartitionLog,
        tail: tails.PartitionTail,
        member: base.MemberName,
        listener: LeaseListener,
        call_size: int,
        wall: clocks.WallClock,
        rng: random.Random,
        count_held: Callable[[], int] = lambda: 0,
    ) -> None:
        self._log = log
        self._tail = tail
        self._member = member
        self._listener = listener
        self._call_size = call_size
        self._wall = wall
        self._rng = rng
        self._count_held = count_held
        self._holder: base.MemberName | None = None
        self._heard_at = float('-inf')
        """Loop's time of the holder's last sign of life."""
        self._interval = _IDLE_INTERVAL
        """Seconds after which the holder said to renew again."""
        self._writer: writers.FencedWriter | None = None
        self._tasks: set[asyncio.Task] = set()
        self._refused = base.Epoch(0)
        """Highest epoch under which a claim of this process was fenced."""
        self.epoch = base.Epoch(0)
        """Highest epoch that was claimed; rises with each holder."""
        self.held = False
        self._vacated = asyncio.Event()
        self._retired = False
        """Whether this process claims no more."""

    async def run(self) -> None:
        """Claims and renews until cancelled."""
        try:
            await self._tail.caught_up.wait()
            while True:
                if self.held and self._writer is not None:
                    self._renew(self._writer)
                elif not self._retired and self._is_free():
                    await self._try_claim()
                await self._wait()
        finally:
            self.close()

    def handle_record(self, record: LeaseRecord) -> None:
        """Takes the next record about the partition's holder."""
        match record:
            case Claim(member, epoch, written_at):
                self._take_claim(member, epoch, written_at)
            case Renewal(member, epoch, written_at, interval):
                # The claim itself may have expired.
                self._take_claim(member, epoch, written_at)
                if epoch == self.epoch:
                    self._interval = interval
                    self._note_life(written_at)
            case Resignation(epoch) if epoch == self.epoch:
                self._holder = None
                self._vacated.set()

    async def resign(self) -> None:
        """Gives the partition up for good, so that others need not wait."""
        self._retired = True
        writer = self._writer
        if writer is None or not self.held:
            return
        await writer.write((msgspec.msgpack.encode(Resignation(self.epoch)),))
        self._end(writer, 'resigned')

    def drop(self, reason: str) -> None:
        """Holds the partition no more; another process claims it in time."""
        if self._writer is not None:
            self._end(self._writer, reason)

    def close(self) -> None:
        """Ends what runs for the partition, without a word to the log."""
        for task in self._tasks:
            task.cancel()

    async def _wait(self) -> None:
        """Waits for the next renewal, or until the partition is vacated."""
        self._vacated.clear()
        try:
            async with asyncio.timeout(self._choose_interval()):
                await self._vacated.wait()
        except TimeoutError:
            return

    def _take_claim(
        self, member: base.MemberName, epoch: base.Epoch, written_at: float
    ) -> None:
        if epoch <= self.epoch:
            return
        self._interval = _IDLE_INTERVAL
        writer = self._writer
        own = (
            writer is not None
            and member == self._member
            and writer.epoch == epoch
        )
        self.epoch = epoch
        self._holder = member
        self._note_life(written_at)
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
            # Also another claim under the same epoch, which came first.
            self._end(writer, f'claimed by {member}')

    def _is_free(self) -> bool:
        now = asyncio.get_running_loop().time()
        dependency = self._tail.dependency
        if self._writer is not None:
            return False
        if (
            not dependency.available
            or self._tail.caught_up_at < now - _FRESHNESS
        ):
            return False
        if self._holder is None:
            return True
        heard_at = max(
            self._heard_at, dependency.recovered_at or self._heard_at
        )
        return now - heard_at > 2 * self._interval + _SILENCE_SLACK

    def _note_life(self, written_at: float) -> None:
        """Takes a sign of life; what stood there at the start is history.

        Of history, one interval less is waited for, and nothing at all where
        it was written long enough ago by the wall clock.  Clocks that differ
        by more cost a holder its partition, but fencing does not rest on them.

        Load pattern: all nodes lost at once and started together, while the
        steps that they held are due.
        """
        self._heard_at = asyncio.get_running_loop().time()
        if self._tail.first_caught_up_at is None:
            age = self._wall.read() - written_at
            self._heard_at -= max(self._interval, age)

    async def _try_claim(self) -> None:
        spread = self._rng.uniform(0.0, _CLAIM_SPREAD)
        await asyncio.sleep(spread + _HELD_DELAY * self._count_held())
        match await self._tail.catch_up(0.0):
            case Result(tag='error'):
                return
        if self._is_free() and not self._retired:
            self._claim()

    def _claim(self) -> None:
        # The log may remember an epoch whose records have expired.
        epoch = base.Epoch(max(self.epoch + 1, 2 * self._refused))
        writer = writers.FencedWriter(
            self._log,
            self._tail.partition,
            epoch,
            self._rng.getrandbits(SEQUENCE_BITS),
            self._call_size,
        )
        self._writer = writer
        self._spawn(self._serve(writer))
        self._spawn(self._write_claim(writer))
        asyncio.get_running_loop().call_later(
            _CLAIM_TIMEOUT, self._give_claim_up, writer
        )

    async def _write_claim(self, writer: writers.FencedWriter) -> None:
        claim = Claim(self._member, writer.epoch, self._wall.read())
        done = await writer.write((msgspec.msgpack.encode(claim),))
        if done.is_ok():
            # A waiting read may have been held up; this one is not.
            await self._tail.catch_up(0.0)

    def _renew(self, writer: writers.FencedWriter) -> None:
        self._write(
            writer,
            Renewal(
                self._member,
                self.epoch,
                self._wall.read(),
                self._choose_interval(),
            ),
        )

    def _choose_interval(self) -> float:
        """Returns the seconds between two renewals, or looks at them."""
        if self.held and not self._listener.busy:
            return _IDLE_INTERVAL
        return _BUSY_INTERVAL

    async def _serve(self, writer: writers.FencedWriter) -> None:
        fault = await writer.run()
        if fault.kind is base.FaultKind.FENCED and not self.held:
            self._refused = max(self._refused, writer.epoch)
        if writer is self._writer:
            self._end(writer, fault.detail)

    def _give_claim_up(self, writer: writers.FencedWriter) -> None:
        # If it is done late, nobody renews it and it falls silent.
        if writer is self._writer and not self.held:
            self._end(writer, 'claim not seen done')

    def _end(self, writer: writers.FencedWriter, reason: str) -> None:
        was_held = self.held
        self._writer = None
        self.held = False
        # What comes next is the word of another process.
        self._heard_at = asyncio.get_running_loop().time()
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
