"""Load patterns: engines, trainers and faults that a replay plays."""

import enum
from importlib import resources
import pathlib
import tomllib

from expression import Error
from expression import Ok
from expression import Result
import msgspec

__all__ = [
    'BurstSettings',
    'CallSettings',
    'CallerSettings',
    'EngineSettings',
    'Fault',
    'FaultKind',
    'Pattern',
    'TrainerSettings',
    'list_patterns',
    'read_pattern',
]

_SUFFIX = '.toml'


class BurstSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Bursts in which machines are slowed, drawn anew at equal intervals."""

    share: float
    """Share of the intervals in which a machine is slowed."""
    factor: float
    """Time that work takes then, over the usual one."""
    interval: float
    """Seconds."""


class EngineSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Engines of a pattern, alike but for their speeds."""

    count: int
    slots: int
    gap: float
    """Seconds between two events of a run that is alone at its engine."""
    batch_cost: float = 0.2
    """Share by which the gap is longer when all slots are taken."""
    prompt_time: float = 0.015
    """Seconds for which the start of a run delays the others there."""
    start_time: float = 0.0
    """Seconds from the start of a run to its first gap."""
    down_time: float = 2.0
    """Seconds from a crash that a call causes to the next start."""
    speeds: tuple[float, ...] = (1.0,)
    """Speeds over the usual one, given to the engines in turn."""
    bursts: BurstSettings | None = None
    """Reported by the engines as their slowdown."""


class TrainerSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Trainers of a pattern, all alike."""

    count: int
    items: int
    """Items of a step."""
    group_size: int
    wanted_share: float = 0.9
    """Share of the groups that the trainer waits for."""
    interval: float = 4.0
    """Seconds between two steps."""
    steps: int = 6
    median_events: float = 20.0
    spread: float = 0.8
    """Standard deviation of the logarithm of the lengths."""
    longest_events: int = 181
    hint_spread: float = 0.5
    """Standard deviation of the logarithm of hint over length."""
    priority: int = 0
    """0 is the most urgent."""
    due: float = 7.5
    """Seconds within which a step is due."""


class CallSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Calls of one kind, beside each other or alone."""

    name: str
    gap: float
    """Mean seconds between two calls."""
    duration: float
    """Seconds that a call takes."""
    at: float = 0.0
    seconds: float = 30.0
    """Time over which they come."""
    same: bool = True
    """Whether all are the same request."""
    crashes: bool = False
    """Whether they crash the engines that run them."""


class CallerSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Callers of one kind, whose calls differ and crash nothing."""

    name: str
    gap: float
    """Mean seconds between two calls of all of them."""
    duration: float
    """Mean seconds that a call takes at an engine of the usual speed."""
    timeout: float
    """Seconds that they wait for an answer."""
    priority: int = 0
    """0 is the most urgent."""
    count: int = 1
    """Tenants among which the calls are spread evenly."""
    spread: float = 0.3
    """Standard deviation of the logarithm of the durations."""
    rise_at: float = 0.0
    rise_seconds: float = 0.0
    rise: float = 1.0
    """Factor of their rate during ``rise_seconds`` from ``rise_at`` on."""


class FaultKind(enum.Enum):
    """What happens to engines."""

    ADDED = 'added'
    """They are there only from then on, and serve nothing at first."""
    CRASHED = 'crashed'
    """They end, with all calls that they run, and start anew."""
    DARK = 'dark'
    """They answer nothing; open streams stay silent."""
    LOADING = 'loading'
    """They reject new runs; those in progress continue."""
    SLOW = 'slow'
    """Their gap is ``factor`` times as long."""


class Fault(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A fault of some engines."""

    kind: FaultKind
    at: float
    """Seconds from the start."""
    seconds: float
    engines: int = 1
    """The first ones are affected; with ``ADDED``, the last ones."""
    factor: float = 3.0


class Pattern(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A load pattern."""

    name: str
    description: str
    engines: EngineSettings
    trainers: TrainerSettings | None = None
    other_trainers: TrainerSettings | None = None
    """Trainers of a second kind, beside the first."""
    calls: tuple[CallSettings, ...] = ()
    """A pattern has either trainers, calls or callers."""
    callers: tuple[CallerSettings, ...] = ()
    nodes: int = 1
    """Nodes to which callers send."""
    seconds: float = 30.0
    """Time over which callers send."""
    queued: bool = False
    """Whether calls wait at one node instead of at the engines."""
    faults: tuple[Fault, ...] = ()


def list_patterns() -> list[str]:
    """Returns the names of the patterns that come with the program."""
    return sorted(
        entry.name.removesuffix(_SUFFIX)
        for entry in _find_folder().iterdir()
        if entry.name.endswith(_SUFFIX)
    )


def read_pattern(name: str) -> Result[Pattern, str]:
    """Returns a pattern by its name or by the path of a TOML file.

    Fails with a text that names the file, the value and what was expected.
    """
    if name.endswith(_SUFFIX):
        path = pathlib.Path(name)
    elif name in list_patterns():
        path = _find_folder() / f'{name}{_SUFFIX}'
    else:
        known = ', '.join(list_patterns())
        return Error(f'no pattern {name!r}; expected a .toml file or {known}')
    try:
        return Ok(msgspec.convert(tomllib.loads(path.read_text()), Pattern))
    except OSError as error:
        return Error(f'{name}: {error.strerror}')
    except (tomllib.TOMLDecodeError, msgspec.ValidationError) as error:
        return Error(f'{name}: {error}')


def _find_folder() -> resources.abc.Traversable:
    return resources.files('waxwingport.experiment') / 'patterns'
