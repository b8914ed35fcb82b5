"""What the senders of orders ask of a lease."""

import abc

from waxwingport import ids

__all__ = ['Lease', 'StaticLease']


class Lease(abc.ABC):
    """The right to send orders to the engines of one pool in one place."""

    @abc.abstractmethod
    def get_fencing_number(self) -> ids.FencingNumber | None:
        """Returns the fencing number if the lease is held now.

        Holders call it right before every order; ``None`` means that no order
        may be sent.
        """

    def find_highest_number(self) -> ids.FencingNumber | None:
        """Returns the highest number seen, held by whoever; it may be old.

        Only orders that stay harmless when late may carry it: loads that move
        a version forward while the log is down.
        """
        return self.get_fencing_number()


class StaticLease(Lease):
    """A lease that tests hold or lose at will."""

    def __init__(self, number: ids.FencingNumber | None) -> None:
        self.number = number

    def get_fencing_number(self) -> ids.FencingNumber | None:
        """Returns the number that was set."""
        return self.number
