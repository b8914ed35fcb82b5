"""Abstract base of what follows the changes of a table of targets."""

import abc
import typing

if typing.TYPE_CHECKING:
    from waxwingport.targets import table

__all__ = ['TableListener']


class TableListener(abc.ABC):
    """Learns of changes in a table of targets."""

    @abc.abstractmethod
    def handle_labels(self, target: 'table.Target') -> None:
        """Takes a target that is new or has other labels."""

    @abc.abstractmethod
    def handle_change(self, target: 'table.Target') -> None:
        """Takes a change of a target's state, version or room."""

    @abc.abstractmethod
    def handle_removal(self, target: 'table.Target') -> None:
        """Takes a target that is gone."""
