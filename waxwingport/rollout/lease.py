"""The right to order engines: one VM at a time, with a rising number.

Whoever holds the partition of orders writes an intent there before each
order.  A later holder's claim fences it, so that a holder that was cut off,
suspended or slow cannot order any more once the claim stands.
"""

import asyncio
import logging
import random

from expression import Error
from expression import Ok
from expression import Result
import msgspec

from waxwingport import clocks
from waxwingport.log import base
from waxwingport.log import dependency
from waxwingport.log import leases
from waxwingport.log import tails
from waxwingport.log import writers

__all__ = ['LeaseSettings', 'OrderLease']

_PARTITION = base.Partition(base.Topic('orders'), 0)
_INTENT_VALIDITY = 0.4
"""Seconds after an intent was sent within which its order has to leave."""
_IN_FLIGHT = 1.0
"""Seconds that an order of the last holder may still be on its way: the
time-out of an order."""
_CALL_SIZE = 65_536
"""Bytes of one append; intents take some dozen."""

_LOG = logging.getLogger(__name__)


class LeaseSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Orders to engines."""

    turn_time: float = 3.0
    """Seconds that must lie between the orders of two VMs."""


class _Intent(msgspec.Struct, frozen=True, tag='intent', array_like=True):
    """The holder is about to order an engine."""

    member: base.MemberName


_DECODER = msgspec.msgpack.Decoder(leases.LeaseRecord | _Intent)


class OrderLease(tails.RecordListener, leases.LeaseListener):
    """Holds, keeps and uses the right to order."""

    def __init__(
        self,
        log: base.PartitionLog,
        member: base.MemberName,
        settings: LeaseSettings,
        clock: clocks.SuspendAwareClock,
        wall: clocks.WallClock,
        rng: random.Random,
    ) -> None:
        self._member = member
        self._settings = settings
        self._clock = clock
        self._writer: writers.FencedWriter | None = None
        self._foreign_intent_at = float('-inf')
        """Suspend-aware time at which another's last intent was read."""
        store = dependency.Dependency('log:orders')
        self._tail = tails.PartitionTail(log, _PARTITION, self, store)
        self._lease = leases.PartitionLease(
            log, self._tail, member, self, _CALL_SIZE, wall, rng
        )

    @property
    def fencing_number(self) -> base.Epoch:
        """Number of the present tenure; higher than all earlier ones."""
        return self._lease.epoch

    @property
    def held(self) -> bool:
        """Whether this process holds the lease, as far as it has read."""
        return self._writer is not None

    @property
    def busy(self) -> bool:
        """Whether a change of holders should be quick; it never is."""
        return False

    async def run(self) -> None:
        """Follows the lease, and claims it when nobody renews it."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._tail.run())
            group.create_task(self._lease.run())

    async def resign(self) -> None:
        """Lets another node claim the lease; called before a stop."""
        await self._lease.resign()

    def handle_record(self, record: bytes) -> None:
        """Takes the next record of the partition."""
        try:
            found = _DECODER.decode(record)
        except msgspec.DecodeError as error:
            _LOG.warning(
                'record-skipped',
                extra={'partition': str(_PARTITION), 'reason': str(error)},
            )
            return
        if not isinstance(found, _Intent):
            self._lease.handle_record(found)
        elif found.member != self._member:
            self._foreign_intent_at = self._clock.read()

    def handle_gap(self) -> None:
        """Does nothing: every holder repeats what matters."""

    def handle_acquisition(self, writer: writers.FencedWriter) -> None:
        """Takes the right up."""
        self._writer = writer

    def handle_loss(self, reason: str) -> None:
        """Gives the right up."""
        _LOG.info('order-lease-lost', extra={'reason': reason})
        self._writer = None

    def may_order(self) -> bool:
        """Returns whether the last holder's orders lie far enough back."""
        since = self._clock.read() - self._foreign_intent_at
        return self.held and since > self._settings.turn_time + _IN_FLIGHT

    async def declare_intent(self) -> Result[None, str]:
        """Makes sure that this process still holds the lease.

        An order may leave only right after this; fails when somebody else
        holds it, or when nobody knows.
        """
        writer = self._writer
        if writer is None or not self.may_order():
            return Error('lease not held')
        sent_at = self._clock.read()
        record = msgspec.msgpack.encode(_Intent(self._member))
        try:
            async with asyncio.timeout(_INTENT_VALIDITY):
                done = await writer.write((record,))
        except TimeoutError:
            return Error('the log took too long')
        match done:
            case Result(tag='error', error=fault):
                return Error(fault.detail)
        if self._clock.read() - sent_at > _INTENT_VALIDITY:
            return Error('suspended meanwhile')
        return Ok(None)
