"""Interface of the leases under which orders are sent to engines."""

import abc

from waxwingport import ids

__all__ = ['Lease', 'StaticLease']


class Lease(abc.ABC):
    """The right to send orders to the engines of one pool in a data centre."""

    @abc.abstractmethod
    def get_fencing_number(self) -> ids.FencingNumber | None:
        """Returns the fencing number if this node holds the lease now.

        Call it right before every order.  ``None`` means that this node may
        not send orders.
        """

    def find_highest_number(self) -> ids.FencingNumber | None:
        """Returns the highest fencing number seen; it may be outdated.

        While the log is down, orders to load a newer version may carry it,
        because they do no harm when they arrive late.  Other orders may not.
        """
        return self.get_fencing_number()


class StaticLease(Lease):
    """A lease with a fixed number, for tests."""

    def __init__(self, number: ids.FencingNumber | None) -> None:
        self.number = number

    def get_fencing_number(self) -> ids.FencingNumber | None:
        """Returns ``number``."""
        return self.number
