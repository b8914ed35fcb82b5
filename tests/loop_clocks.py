"""Clocks that follow the loop's, which tests pause and advance."""

import asyncio

from waxwingport import clocks


class LoopWallClock(clocks.WallClock):
    """The loop's time plus an offset in seconds."""

    def __init__(self, offset=0.0):
        self._offset = offset

    def read(self):
        return asyncio.get_running_loop().time() + self._offset


class LoopClock(clocks.SuspendAwareClock):
    """The loop's clock and the time of suspensions."""

    def __init__(self):
        self.suspended = 0.0

    def read(self):
        return asyncio.get_running_loop().time() + self.suspended
