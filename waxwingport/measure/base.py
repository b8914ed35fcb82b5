"""Abstract base of measurements and the report that they give."""

import abc
import enum

import msgspec

__all__ = ['Bound', 'Figure', 'Measurement', 'Options', 'Report']


class Bound(enum.Enum):
    """On which side of its target a figure has to be."""

    AT_LEAST = 'at least'
    AT_MOST = 'at most'


class Options(msgspec.Struct, frozen=True):
    """How long and with which random seed to measure."""

    seconds: float = 10.0
    seed: int = 1


class Figure(msgspec.Struct, frozen=True):
    """One measured figure; ``target`` comes from the design, if it has one."""

    name: str
    value: float
    unit: str
    target: float | None = None
    bound: Bound = Bound.AT_MOST

    @property
    def met(self) -> bool | None:
        """Whether the target is met; ``None`` without a target."""
        if self.target is None:
            return None
        if self.bound is Bound.AT_MOST:
            return self.value <= self.target
        return self.value >= self.target


class Report(msgspec.Struct, frozen=True):
    """Figures of one measurement."""

    name: str
    options: Options
    figures: tuple[Figure, ...]


class Measurement(abc.ABC):
    """A measurement that can be repeated by its seed."""

    name: str
    summary: str

    @abc.abstractmethod
    async def run(self, options: Options) -> Report:
        """Measures and returns the figures."""
