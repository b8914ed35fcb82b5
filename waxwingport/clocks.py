"""Clocks beside the loop's, behind abstract bases that tests replace."""

import abc
import time

__all__ = ['BootClock', 'SuspendAwareClock', 'SystemWallClock', 'WallClock']


class SuspendAwareClock(abc.ABC):
    """A steady clock that also counts the time of a suspended VM.

    The loop's clock stands still meanwhile, so that a lease measured by it
    would seem to last longer than it does.
    """

    @abc.abstractmethod
    def read(self) -> float:
        """Returns seconds from a fixed point in the past."""


class BootClock(SuspendAwareClock):
    """The system's ``CLOCK_BOOTTIME``."""

    def read(self) -> float:
        """Returns seconds since the VM's start."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)


class WallClock(abc.ABC):
    """The time of day, which may jump and differ between VMs."""

    @abc.abstractmethod
    def read(self) -> float:
        """Returns seconds since 1970."""


class SystemWallClock(WallClock):
    """The system's time of day."""

    def read(self) -> float:
        """Returns seconds since 1970."""
        return time.time()
