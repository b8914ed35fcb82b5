"""Lease of the right to send orders to engines, held by one VM at a time.

The holder of the partition of orders appends an intent there before each
order.
"""

from collections.abc import Callable
import logging
import random

from expression import Result
import msgspec

from waxwingport import clocks
from waxwingport.fleet import model as fleet
from waxwingport import ids
from waxwingport.log import base
from waxwingport.log import turn_leases

__all__ = ['LeaseSettings', 'OrderLease']

_PARTITION = base.Partition(base.Topic('orders'), 0)
_MAX_ORDER_TRANSIT_S = 1.0
"""Time that an order of the last holder may still take to arrive: the timeout
of an order."""

_LOG = logging.getLogger(__name__)


class LeaseSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Settings of the order lease."""

    turn_time: float = 3.0
    """Turn time: least number of seconds between the orders of two VMs."""


class _Intent(turn_leases.Intent, frozen=True, tag='intent', array_like=True):
    """The holder is about to send an order."""

    instance: fleet.InstanceId | None = None
    """Engine that the order loads a version on."""
    model: str | None = None


LoadListener = Callable[[fleet.InstanceId, str], None]
"""Called with an engine that is about to load a version, and the model."""


class OrderLease(turn_leases.TurnLease):
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
        self._others_need_records = needs_records
        super().__init__(
            log,
            _PARTITION,
            turn_leases.Holder(node, member),
            settings.turn_time,
            _Intent,
            clock,
            wall_clock,
            rng,
        )

    def handle_loss(self, reason: str) -> None:
        """Stops sending intents."""
        _LOG.info('order-lease-lost', extra={'reason': reason})
        super().handle_loss(reason)

    def may_order(self) -> bool:
        """Returns whether the lease is held and no wait is left."""
        return self.may_act()

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
        intent = _Intent(self._member, self._node, instance, model)
        declared = await self._append_intent(intent)
        return declared.map(lambda _: None)

    def _get_transit_time(self, intent: turn_leases.Intent) -> float:
        return _MAX_ORDER_TRANSIT_S

    def _handle_content(self, record: msgspec.Struct) -> None:
        if not isinstance(record, _Intent):
            return
        if record.instance is not None and record.model is not None:
            for listener in self._load_listeners:
                listener(record.instance, record.model)

    def _needs_records(self) -> bool:
        return self.held or self._others_need_records()
