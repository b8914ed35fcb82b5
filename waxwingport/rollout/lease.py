"""The right to order engines: one VM at a time, with a rising number.

The lease is a partition of the log.  Whoever holds it writes there before
each order, so that a later holder, whose claim fences the partition, shuts
every earlier one out at once.  Groups of the log would deal the right out
anew with each change of their members, and each change of the holder costs
the time that has to lie between the orders of two VMs.
"""

import asyncio
import logging
import random

from expression import Error
from expression import Ok
from expression import Result
import msgspec

from waxwingport import clocks
from waxwingport import ids
from waxwingport.log import base
from waxwingport.log import dependency
from waxwingport.log import tails

__all__ = ['LeaseSettings', 'OrderLease']

_PARTITION = base.Partition(base.Topic('orders'), 0)
_WRITER = 'orders'
_RENEWAL_INTERVAL = 0.5
"""Seconds between signs of life of the holder."""
_SILENCE = 1.6
"""Seconds without a sign of life after which the lease is claimed: three
renewals and the time of a slow one."""
_CLAIM_SPREAD = 0.3
"""Seconds over which claimants spread, so that most see another's claim."""
_FRESHNESS = 3.0
"""Seconds: age of the newest read of the lease's end on which a claim may
rest; a read waits for two."""
_INTENT_VALIDITY = 0.4
"""Seconds after an intent was sent within which its order has to leave."""
_IN_FLIGHT = 1.0
"""Seconds that an order of the last holder may still be on its way: the
time-out of an order."""
_FINAL = frozenset(
    {
        base.FaultKind.CONFLICT,
        base.FaultKind.FENCED,
        base.FaultKind.INVALID,
        base.FaultKind.SEQUENCE,
    }
)
"""Faults after which the lease is not held."""
_SEQUENCE_BITS = 40
"""Claims start at a random number, so that a claim of another process in the
same epoch is never taken for a repeat of this one."""

_LOG = logging.getLogger(__name__)


class LeaseSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Orders to engines."""

    turn_time: float = 3.0
    """Seconds that must lie between the orders of two VMs."""


class _Claim(msgspec.Struct, frozen=True, tag='claim', array_like=True):
    member: base.MemberName
    epoch: base.Generation


class _Renewal(msgspec.Struct, frozen=True, tag='renewal', array_like=True):
    member: base.MemberName


class _Intent(msgspec.Struct, frozen=True, tag='intent', array_like=True):
    member: base.MemberName


class _Write(msgspec.Struct, frozen=True):
    """A write whose outcome is not known yet."""

    record: bytes
    at: ids.Offset | None


_Record = _Claim | _Renewal | _Intent
_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(_Record)


class OrderLease(tails.RecordListener):
    """Claims, keeps and uses the right to order."""

    def __init__(
        self,
        log: base.PartitionLog,
        member: base.MemberName,
        settings: LeaseSettings,
        clock: clocks.SuspendAwareClock,
        rng: random.Random,
    ) -> None:
        self._log = log
        self._member = member
        self._settings = settings
        self._clock = clock
        self._rng = rng
        self._holder: base.MemberName | None = None
        self._epoch = base.Generation(0)
        self._sequence = 0
        self._heard_at = 0.0
        """Loop's time of the holder's last sign of life."""
        self._foreign_intent_at = float('-inf')
        """Suspend-aware time at which another's last intent was read."""
        self._busy = asyncio.Lock()
        self._unresolved: _Write | None = None
        self.store = dependency.Dependency('log:orders')
        self.tail = tails.PartitionTail(log, _PARTITION, self, self.store)

    @property
    def fence(self) -> base.Generation:
        """Number of the present tenure; higher than all earlier ones."""
        return self._epoch

    @property
    def held(self) -> bool:
        """Whether this process holds the lease, as far as it has read."""
        return self._holder == self._member

    async def run(self) -> None:
        """Follows the lease, claims it when nobody renews it."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self.tail.run())
            group.create_task(self._maintain())

    def take(self, record: bytes) -> None:
        """Takes the next record of the lease."""
        self._heard_at = asyncio.get_running_loop().time()
        try:
            found = _DECODER.decode(record)
        except msgspec.DecodeError as error:
            _LOG.warning(
                'record-skipped',
                extra={'partition': str(_PARTITION), 'reason': str(error)},
            )
            return
        match found:
            case _Claim(member, epoch):
                self._take_claim(member, epoch)
            case _Intent(member) if member != self._member:
                self._foreign_intent_at = self._clock.read()

    def skip(self) -> None:
        """Does nothing: every holder repeats what matters."""

    def may_order(self) -> bool:
        """Returns whether the last holder's orders lie far enough back."""
        since = self._clock.read() - self._foreign_intent_at
        return self.held and since > self._settings.turn_time + _IN_FLIGHT

    async def declare_intent(self) -> Result[None, str]:
        """Makes sure that this process still holds the lease.

        An order may leave only right after this; fails when somebody else
        holds it, or when nobody knows.
        """
        if not self.may_order():
            return Error('lease not held')
        sent_at = self._clock.read()
        match await self._append(_Intent(self._member)):
            case Result(tag='error', error=fault):
                return Error(fault.detail)
        if self._clock.read() - sent_at > _INTENT_VALIDITY:
            return Error('the log took too long')
        return Ok(None)

    async def resign(self) -> None:
        """Lets another node claim the lease; called before a stop."""
        if self.held:
            await self._append(_Claim(base.MemberName(''), self._epoch))

    def _take_claim(
        self, member: base.MemberName, epoch: base.Generation
    ) -> None:
        if member == self._member and epoch != self._epoch:
            # A claim of this process that has been given up since.
            return
        if self.held and member != self._member:
            self._foreign_intent_at = self._clock.read()
        self._holder = member
        self._epoch = max(self._epoch, epoch)
        _LOG.info(
            'order-lease', extra={'holder': member, 'epoch': self._epoch}
        )

    async def _maintain(self) -> None:
        while True:
            await asyncio.sleep(_RENEWAL_INTERVAL)
            if self.held:
                await self._renew()
            elif self._is_free():
                await asyncio.sleep(self._rng.uniform(0.0, _CLAIM_SPREAD))
                if self._is_free():
                    await self._claim()

    async def _renew(self) -> None:
        match await self._append(_Renewal(self._member)):
            case Result(tag='error', error=fault):
                self.store.note_failure(fault.detail)

    def _is_free(self) -> bool:
        now = asyncio.get_running_loop().time()
        if self.tail.confirmed_at < now - _FRESHNESS:
            return False
        heard_at = max(self._heard_at, self.store.returned_at or 0.0)
        vacant = self._holder in (None, '')
        return self.store.available and (vacant or now - heard_at > _SILENCE)

    async def _claim(self) -> None:
        """Claims the lease unless somebody wrote there meanwhile."""
        match await self.tail.catch_up(0.0):
            case Result(tag='error', error=fault):
                self.store.note_failure(fault.detail)
                return
        if not self._is_free():
            return
        async with self._busy:
            if self._unresolved is None:
                self._epoch = base.Generation(self._epoch + 1)
                self._sequence = self._rng.getrandbits(_SEQUENCE_BITS) + 1
                record = _Claim(self._member, self._epoch)
                self._unresolved = _Write(
                    _ENCODER.encode(record), self.tail.position
                )
            match await self._resolve(self._unresolved):
                case Result(tag='error', error=fault):
                    _LOG.info('claim-failed', extra={'reason': fault.detail})

    async def _append(self, record: _Record) -> Result[None, base.Fault]:
        async with self._busy:
            if self._unresolved is not None:
                match await self._resolve(self._unresolved):
                    case Result(tag='error', error=fault):
                        return Error(fault)
            self._unresolved = _Write(_ENCODER.encode(record), None)
            return await self._resolve(self._unresolved)

    async def _resolve(self, write: _Write) -> Result[None, base.Fault]:
        """Makes the last write again as long as its outcome is not known.

        Another record under its number might pass for a repeat of it.
        """
        writer = base.Writer(_WRITER, self._epoch, self._sequence)
        done = await self._log.append(
            _PARTITION, (write.record,), writer, write.at
        )
        match done:
            case Result(tag='ok'):
                self._sequence += 1
                self._unresolved = None
                return Ok(None)
            case Result(error=fault):
                pass
        if fault.kind in _FINAL:
            _LOG.info('order-lease-lost', extra={'reason': fault.detail})
            self._unresolved = None
            self._holder = None
            self._heard_at = asyncio.get_running_loop().time()
        return Error(fault)
