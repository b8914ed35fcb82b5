"""Clocks besides the event loop's; tests replace them by subclasses."""

import abc
import time

__all__ = ['BootClock', 'SuspendAwareClock', 'SystemWallClock', 'WallClock']


class SuspendAwareClock(abc.ABC):
    """A monotonic clock that also runs while the VM is suspended.

    The event loop's clock stops during a suspension, so a lease timed by it
    would be trusted after its end.
    """

    @abc.abstractmethod
    def read(self) -> float:
        """Returns seconds from a fixed point in the past."""


class BootClock(SuspendAwareClock):
    """The system's ``CLOCK_BOOTTIME``."""

    def read(self) -> float:
        """Returns seconds since the VM booted."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)


class WallClock(abc.ABC):
    """The time of day; it may jump, and differs between VMs."""

    @abc.abstractmethod
    def read(self) -> float:
        """Returns seconds since the Unix epoch."""


class SystemWallClock(WallClock):
    """The system's time of day."""

    def read(self) -> float:
        """Returns seconds since the Unix epoch."""
        return time.time()
