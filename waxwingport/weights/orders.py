"""Which orders an engine's declared labels and pool call for."""

from collections.abc import Mapping

import msgspec

from waxwingport import ids
from waxwingport.targets import base

__all__ = ['DesiredOrder', 'list_desired_orders', 'may_send']


class DesiredOrder(msgspec.Struct, frozen=True):
    """An order that an engine should get."""

    kind: base.OrderKind
    value: str
    reason: str


def list_desired_orders(
    state: base.EngineState,
    labels: Mapping[str, str],
    adapters: tuple[str, ...],
) -> list[DesiredOrder]:
    """Returns the orders that bring an engine to its declared state.

    The label ``role`` sets its role, ``drain = on`` drains it, and the pool
    names its adapters.
    """
    wishes = []
    role = labels.get('role')
    if role is not None and role != state.role:
        reason = f'role is {state.role}'
        wishes.append(DesiredOrder(base.OrderKind.SET_ROLE, role, reason))
    drain = labels.get('drain') == 'on'
    if drain != state.draining:
        value = 'on' if drain else 'off'
        reason = f'draining is {state.draining}'
        wishes.append(DesiredOrder(base.OrderKind.DRAIN, value, reason))
    for adapter in adapters:
        if adapter not in state.adapters:
            wishes.append(
                DesiredOrder(
                    base.OrderKind.LOAD_ADAPTER, adapter, 'not loaded'
                )
            )
    return wishes


def may_send(
    kind: base.OrderKind,
    held: ids.FencingNumber | None,
    log_down: bool,
    forward: bool,
) -> bool:
    """Returns whether an order may be sent.

    ``held`` is the fencing number of a lease that this node holds now.  With
    the log down nobody can get a lease; a load that moves a version forward
    is harmless when late or repeated, so it goes on.
    """
    if held is not None:
        return True
    return log_down and forward and kind is base.OrderKind.LOAD_VERSION
