"""Derives the orders that an engine needs from its labels and its pool."""

from collections.abc import Mapping

import msgspec

from waxwingport import ids
from waxwingport.targets import base

__all__ = ['DesiredOrder', 'list_desired_orders', 'may_send']


class DesiredOrder(msgspec.Struct, frozen=True):
    """An order that an engine should get; ``reason`` is for the log."""

    kind: base.OrderKind
    value: str
    reason: str


def list_desired_orders(
    state: base.EngineState,
    labels: Mapping[str, str],
    adapters: tuple[str, ...],
) -> list[DesiredOrder]:
    """Returns the orders that bring an engine to its declared state.

    The label ``role`` sets its role, and ``drain = on`` drains it.
    ``adapters`` are those that its pool declares.
    """
    desired = []
    role = labels.get('role')
    if role is not None and role != state.role:
        reason = f'role is {state.role}'
        desired.append(DesiredOrder(base.OrderKind.SET_ROLE, role, reason))
    drain = labels.get('drain') == 'on'
    if drain != state.draining:
        value = 'on' if drain else 'off'
        reason = f'draining is {state.draining}'
        desired.append(DesiredOrder(base.OrderKind.DRAIN, value, reason))
    for adapter in adapters:
        if adapter not in state.adapters:
            desired.append(
                DesiredOrder(
                    base.OrderKind.LOAD_ADAPTER, adapter, 'not loaded'
                )
            )
    return desired


def may_send(
    kind: base.OrderKind,
    fencing_number: ids.FencingNumber | None,
    log_down: bool,
    is_upgrade: bool,
) -> bool:
    """Returns whether an order may be sent.

    ``fencing_number`` is that of the pool's lease, ``None`` if this node does
    not hold it.  While the log is down no node can get a lease.  A
    load of a higher version than the engine has, which ``is_upgrade`` marks,
    is then sent without one: it does no harm when late or repeated.
    """
    if fencing_number is not None:
        return True
    return log_down and is_upgrade and kind is base.OrderKind.LOAD_VERSION
