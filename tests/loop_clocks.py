"""Clocks based on the event loop's, which tests control."""

import asyncio

from waxwingport import clocks


class LoopWallClock(clocks.WallClock):
    """The loop's time plus an offset in seconds."""

    def __init__(self, offset=0.0):
        self._offset = offset

    def read(self):
        return asyncio.get_running_loop().time() + self._offset


class LoopClock(clocks.SuspendAwareClock):
    """The loop's time plus ``suspended``, the seconds of suspensions."""

    def __init__(self):
        self.suspended = 0.0

    def read(self):
        return asyncio.get_running_loop().time() + self.suspended
