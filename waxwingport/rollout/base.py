"""Interface for orders to engines and for their reports."""

import abc
import enum

from expression import Result
import msgspec

from waxwingport.fleet import model as fleet
from waxwingport import ids
from waxwingport.log import base

__all__ = [
    'EngineControl',
    'EngineReport',
    'LoadMode',
    'Order',
    'OrderOutcome',
]


class LoadMode(enum.Enum):
    """What an engine does with its runs when it loads another version."""

    KEEP = 'keep'
    """They continue with the new version."""
    WAIT = 'wait'
    """They finish first; new ones are refused until the load is done."""


class Order(msgspec.Struct, frozen=True):
    """Order to load a version of a model."""

    model: str
    version: ids.WeightVersion
    mode: LoadMode
    holder: ids.NodeName
    """Node that sends the order."""
    fencing_number: base.Epoch
    """Number of the order lease's tenure; higher for each later holder."""
    accepted_before: int
    """Number of orders that the engine must have accepted so far.

    The engine refuses this one if it has accepted another number.
    """


class OrderOutcome(enum.Enum):
    """Outcome of an order."""

    ACCEPTED = 'accepted'
    ALREADY_LOADED = 'holds'
    """The engine has that version already."""
    REJECTED = 'rejected'
    """Another order is in progress or was accepted before this one."""
    STALE = 'stale'
    """The engine has an order of a later holder, or is another instance."""
    UNKNOWN = 'unknown'
    """No answer: it may have been accepted or may still be."""


class EngineReport(msgspec.Struct, frozen=True):
    """State of an engine, some hundred milliseconds old."""

    versions: dict[str, ids.WeightVersion]
    """Loaded version of each model."""
    order_in_progress: bool
    """Whether the engine is carrying out an order."""
    accepted_orders: int
    """Orders accepted since the engine started."""
    active_requests: int
    """Requests that run or wait at the engine."""


class EngineControl(abc.ABC):
    """Reads reports from engines and sends them orders."""

    @abc.abstractmethod
    async def read_report(
        self, target: fleet.Target
    ) -> Result[EngineReport, str]:
        """Returns an engine's report; fails with a reason without one."""

    @abc.abstractmethod
    async def send_order(
        self, target: fleet.Target, order: Order
    ) -> OrderOutcome:
        """Sends an engine an order and returns the outcome."""
