"""Counts and means that handle_release the past exponentially."""

import asyncio
import math

__all__ = ['DecayingCount', 'DecayingMean']


class DecayingCount:
    """A sum whose parts fade with time constant ``window`` (seconds)."""

    def __init__(self, window: float) -> None:
        self.window = window
        self._value = 0.0
        self._updated = 0.0

    def add(self, amount: float) -> None:
        """Adds ``amount`` now."""
        self._value = self.read() + amount

    def read(self) -> float:
        """Returns what is left of everything added so far."""
        now = asyncio.get_running_loop().time()
        elapsed = max(0.0, now - self._updated)
        self._value *= math.exp(-elapsed / self.window)
        self._updated = now
        return self._value


class DecayingMean:
    """Mean of a value over time, with time constant ``window`` (seconds)."""

    def __init__(self, window: float) -> None:
        self.window = window
        self._mean = 0.0
        self._value = 0.0
        self._updated = 0.0

    def record(self, value: float) -> None:
        """Takes the value that holds from now on."""
        self.read()
        self._value = value

    def read(self) -> float:
        """Returns the mean up to now."""
        now = asyncio.get_running_loop().time()
        fading = math.exp(-max(0.0, now - self._updated) / self.window)
        self._mean = self._value + (self._mean - self._value) * fading
        self._updated = now
        return self._mean
