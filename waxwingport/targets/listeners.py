"""Abstract base class of listeners to a table of targets."""

import abc
import typing

if typing.TYPE_CHECKING:
    from waxwingport.targets import table

__all__ = ['TableListener']


class TableListener(abc.ABC):
    """Is called after each change in a table of targets."""

    @abc.abstractmethod
    def handle_labels(self, target: 'table.Target') -> None:
        """Handles a target that is new or whose labels changed."""

    @abc.abstractmethod
    def handle_change(self, target: 'table.Target') -> None:
        """Handles a change of a target's state, version or free capacity."""

    @abc.abstractmethod
    def handle_removal(self, target: 'table.Target') -> None:
        """Handles the removal of a target."""
