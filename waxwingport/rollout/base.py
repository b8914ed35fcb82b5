"""Orders to engines and their reports, abstractly."""

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
    """What becomes of the runs at an engine that loads other weights."""

    KEEP = 'keep'
    """They go on under the new version."""
    WAIT = 'wait'
    """They finish first; new ones are turned away meanwhile."""


class Order(msgspec.Struct, frozen=True):
    """Names the version that an engine should have of a model."""

    model: str
    version: ids.WeightVersion
    mode: LoadMode
    holder: ids.NodeName
    fencing_number: base.Epoch
    """Rises with each holder of the right to order."""
    accepted_before: int
    """Orders that the engine must have accepted so far for this one."""


class OrderOutcome(enum.Enum):
    """What came of an order."""

    ACCEPTED = 'accepted'
    ALREADY_LOADED = 'holds'
    """The engine has that version already."""
    REJECTED = 'rejected'
    """Another order is under way, or came before this one."""
    STALE = 'stale'
    """The engine has seen a later holder, or is another instance."""
    UNKNOWN = 'unknown'
    """No answer: it may have been accepted, or may still be."""


class EngineReport(msgspec.Struct, frozen=True):
    """An engine's state, some hundred milliseconds ago."""

    versions: dict[str, ids.WeightVersion]
    order_in_progress: bool
    """Whether an order is under way."""
    accepted_orders: int
    """Orders accepted since the engine started."""
    active_requests: int
    """Requests that run or wait."""


class EngineControl(abc.ABC):
    """Reads reports from engines and gives them orders."""

    @abc.abstractmethod
    async def read_report(
        self, target: fleet.Target
    ) -> Result[EngineReport, str]:
        """Returns an engine's report."""

    @abc.abstractmethod
    async def send_order(
        self, target: fleet.Target, order: Order
    ) -> OrderOutcome:
        """Gives an engine an order and returns what came of it."""
