"""Model of machines that other programs slow in bursts."""

import random

from waxwingport.experiment import patterns

__all__ = ['Machine']


class Machine:
    """A machine of an engine; equal arguments give equal bursts."""

    def __init__(
        self, number: int, settings: patterns.EngineSettings, seed: int
    ) -> None:
        self.speed = settings.speeds[number % len(settings.speeds)]
        self._bursts = settings.bursts
        self._rng = random.Random(f'{seed}/{number}')
        self._offset = (
            self._rng.uniform(0.0, self._bursts.interval)
            if self._bursts
            else 0.0
        )
        self._slowed: list[bool] = []

    def read_slowdown(self, now: float) -> float:
        """Returns the time that work takes now over the usual one."""
        if self._bursts is None:
            return 1.0
        number = int((now + self._offset) / self._bursts.interval)
        while len(self._slowed) <= number:
            self._slowed.append(self._rng.random() < self._bursts.share)
        return self._bursts.factor if self._slowed[number] else 1.0

    def find_end(self, begin: float, work: float) -> float:
        """Returns when work that begins at a time is done.

        ``work`` is in seconds at the usual speed.
        """
        if self._bursts is None:
            return begin + work / self.speed
        now = begin
        while True:
            rate = self.speed / self.read_slowdown(now)
            number = int((now + self._offset) / self._bursts.interval)
            until = (number + 1) * self._bursts.interval - self._offset
            # Times are rounded, so that a step may be empty.
            until = max(until, now + 1e-6)
            if work <= (until - now) * rate:
                return now + work / rate
            work -= (until - now) * rate
            now = until
