"""Lease of the right to send orders to engines, held by one VM at a time.

The holder of the partition of orders appends an intent there before each
order.  A later holder's claim fences that append, so a holder that was
disconnected, suspended or slow cannot send orders once the claim is in the
log.
"""

import asyncio
from collections.abc import Callable
import logging
import random

from expression import Error
from expression import Ok
from expression import Result
import msgspec

from waxwingport import clocks
from waxwingport import decoding
from waxwingport.fleet import model as fleet
from waxwingport import ids
from waxwingport.log import base
from waxwingport.log import dependency
from waxwingport.log import leases
from waxwingport.log import tails
from waxwingport.log import writers

__all__ = ['LeaseSettings', 'OrderLease']

_PARTITION = base.Partition(base.Topic('orders'), 0)
_INTENT_VALIDITY_S = 0.4
"""Time from sending an intent within which its order has to be sent."""
_MAX_ORDER_TRANSIT_S = 1.0
"""Time that an order of the last holder may still take to arrive: the timeout
of an order."""
_RESIGN_TIMEOUT_S = 1.0
"""Bounds the release of the lease before the node stops."""
_MAX_APPEND_BYTES = 65_536
"""Bound of one append; an intent takes some dozen bytes."""

_LOG = logging.getLogger(__name__)


class LeaseSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Settings of the order lease."""

    turn_time: float = 3.0
    """Turn time: least number of seconds between the orders of two VMs."""


class _Intent(msgspec.Struct, frozen=True, tag='intent', array_like=True):
    """The holder is about to send an order."""

    member: base.MemberName
    node: ids.NodeName | None = None
    """Node of the member; earlier versions wrote none of what follows."""
    instance: fleet.InstanceId | None = None
    """Engine that the order loads a version on."""
    model: str | None = None


LoadListener = Callable[[fleet.InstanceId, str], None]
"""Called with an engine that is about to load a version, and the model."""


class OrderLease(tails.RecordListener, leases.LeaseListener):
    """Claims, renews and checks the right to send orders.

    ``member`` has to be unique to this run of the process, while ``node``
    names its VM.  ``clock`` has to advance while the machine is suspended.
    ``needs_records`` returns whether this node needs to know at once which
    engines load.
    """

    def __init__(
        self,
        log: base.PartitionLog,
        node: ids.NodeName,
        member: base.MemberName,
        settings: LeaseSettings,
        clock: clocks.SuspendAwareClock,
        wall_clock: clocks.WallClock,
        rng: random.Random,
        needs_records: Callable[[], bool] = lambda: False,
    ) -> None:
        self._load_listeners: list[LoadListener] = []
        self._node = node
        self._member = member
        self._settings = settings
        self._clock = clock
        self._writer: writers.FencedWriter | None = None
        self._turn_ends_at = float('-inf')
        """Time by ``clock`` at which another node's last order is a turn time
        old."""
        self._free_at = float('-inf')
        """Time by ``clock`` from which on this node may order."""
        store = dependency.Dependency('log:orders')
        self._tail = tails.PartitionTail(
            log,
            _PARTITION,
            self,
            store,
            needs_records=lambda: self.held or needs_records(),
        )
        self._lease = leases.PartitionLease(
            log,
            self._tail,
            member,
            self,
            _MAX_APPEND_BYTES,
            wall_clock,
            rng,
            self._compute_turn_left,
        )

    @property
    def fencing_number(self) -> base.Epoch:
        """Number of the present holder's claim; higher than any before."""
        return self._lease.epoch

    @property
    def held(self) -> bool:
        """Whether this process holds the lease, as far as it has read."""
        return self._writer is not None

    @property
    def busy(self) -> bool:
        """Always false: a change of holders need not be quick."""
        return False

    async def run(self) -> None:
        """Follows the lease and claims it when it is not renewed."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._tail.run())
            group.create_task(self._lease.run())

    async def resign(self) -> None:
        """Releases the lease for another node; called before a stop.

        Logs a warning if that takes too long; another node then claims the
        lease when it expires.
        """
        try:
            async with asyncio.timeout(_RESIGN_TIMEOUT_S):
                await self._lease.resign()
        except TimeoutError:
            _LOG.warning(
                'resignation-timeout',
                extra={'partition': str(_PARTITION), 'held': self.held},
            )
            self._lease.drop('not released in time')

    def handle_record(self, record: bytes) -> None:
        """Applies the next record; logs and skips an undecodable one."""
        match decoding.read_msgpack(record, leases.LeaseRecord | _Intent):
            case Result(tag='ok', ok=found):
                pass
            case Result(error=reason):
                _LOG.warning(
                    'record-skipped',
                    extra={'partition': str(_PARTITION), 'reason': reason},
                )
                return
        if not isinstance(found, _Intent):
            self._lease.handle_record(found)
            return
        if found.member != self._member:
            self._apply_intent(found)
        if found.instance is not None and found.model is not None:
            for listener in self._load_listeners:
                listener(found.instance, found.model)

    def handle_gap(self) -> None:
        """Does nothing: renewals and later intents repeat what expired."""

    def handle_acquisition(self, writer: writers.FencedWriter) -> None:
        """Allows intents with ``writer``."""
        self._writer = writer

    def handle_loss(self, reason: str) -> None:
        """Stops sending intents."""
        _LOG.info('order-lease-lost', extra={'reason': reason})
        self._writer = None

    def may_order(self) -> bool:
        """Returns whether the lease is held and no wait is left.

        The turn time counts from another node's last intent.  After an intent
        of an earlier process of this node, which is the same holder, only its
        order may still have to arrive.
        """
        return self.held and self._clock.read() > self._free_at

    def _apply_intent(self, intent: _Intent) -> None:
        now = self._clock.read()
        if intent.node == self._node:
            wait = _INTENT_VALIDITY_S + _MAX_ORDER_TRANSIT_S
        else:
            self._turn_ends_at = now + self._settings.turn_time
            wait = self._settings.turn_time + _MAX_ORDER_TRANSIT_S
        self._free_at = max(self._free_at, now + wait)

    def _compute_turn_left(self) -> float:
        """Returns the seconds of turn time left, 0 if none are.

        Load pattern: all nodes are killed at once.  The node that ordered
        last may order sooner than the others, so it claims first.
        """
        return max(0.0, self._turn_ends_at - self._clock.read())

    def add_load_listener(self, listener: LoadListener) -> None:
        """Calls ``listener`` for each load that any node intends to order."""
        self._load_listeners.append(listener)

    async def declare_intent(
        self, instance: fleet.InstanceId, model: str
    ) -> Result[None, str]:
        """Appends an intent, which proves that the lease is still held.

        It names the engine and the model that the order is for.

        An order may be sent only directly after this succeeds.  Fails with a
        reason if another process holds the lease, if the turn time is not
        over or if the log does not confirm the intent in time.
        """
        writer = self._writer
        if writer is None or not self.may_order():
            return Error('lease not held or turn time not over')
        sent_at = self._clock.read()
        record = msgspec.msgpack.encode(
            _Intent(self._member, self._node, instance, model)
        )
        try:
            async with asyncio.timeout(_INTENT_VALIDITY_S):
                done = await writer.write((record,))
        except TimeoutError:
            return Error('the log did not confirm the intent in time')
        match done:
            case Result(tag='error', error=fault):
                return Error(fault.detail)
        if self._clock.read() - sent_at > _INTENT_VALIDITY_S:
            return Error('process was suspended during the append')
        return Ok(None)
