"""Counts and means that decay exponentially with time."""

import asyncio
import math

__all__ = ['DecayingCount', 'DecayingMean']


class DecayingCount:
    """A sum whose parts decay exponentially.

    ``time_constant`` is in seconds: after it a part counts 1/e of its amount.
    """

    def __init__(self, time_constant: float) -> None:
        self.time_constant = time_constant
        self._value = 0.0
        self._updated_at = 0.0

    def add(self, amount: float) -> None:
        """Adds ``amount`` at the present time."""
        self._value = self.read() + amount

    def read(self) -> float:
        """Returns the decayed sum of everything added so far."""
        now = asyncio.get_running_loop().time()
        elapsed = max(0.0, now - self._updated_at)
        self._value *= math.exp(-elapsed / self.time_constant)
        self._updated_at = now
        return self._value


class DecayingMean:
    """Time-weighted mean of a value; older values decay exponentially.

    ``time_constant`` is in seconds: after it a value counts 1/e as much.
    """

    def __init__(self, time_constant: float) -> None:
        self.time_constant = time_constant
        self._mean = 0.0
        self._value = 0.0
        self._updated_at = 0.0

    def record(self, value: float) -> None:
        """Sets the value that applies from now on."""
        self.read()
        self._value = value

    def read(self) -> float:
        """Returns the decayed mean up to the present time."""
        now = asyncio.get_running_loop().time()
        decay = math.exp(
            -max(0.0, now - self._updated_at) / self.time_constant
        )
        self._mean = self._value + (self._mean - self._value) * decay
        self._updated_at = now
        return self._mean
