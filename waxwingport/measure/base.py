"""Abstract base of measurements and the report that they return."""

import abc
import enum

import msgspec

__all__ = ['Bound', 'Figure', 'Measurement', 'Options', 'Report']


class Bound(enum.Enum):
    """Whether a target is a lower or an upper limit."""

    AT_LEAST = 'at least'
    AT_MOST = 'at most'


class Options(msgspec.Struct, frozen=True):
    """Duration of a measurement in seconds, and its random seed."""

    seconds: float = 10.0
    seed: int = 1


class Figure(msgspec.Struct, frozen=True):
    """One measured value; ``target`` is ``None`` if the design states none."""

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
    """Figures and options of one run of a measurement."""

    name: str
    options: Options
    figures: tuple[Figure, ...]


class Measurement(abc.ABC):
    """A measurement whose random choices repeat with the same seed.

    ``name`` selects it on the command line; ``summary`` describes it in the
    list of measurements and on the page.
    """

    name: str
    summary: str

    @abc.abstractmethod
    async def run(self, options: Options) -> Report:
        """Runs the measurement and returns its figures."""
