"""What a collector measures: idle time, staleness, waste."""

import collections
import enum

from hdrh import histogram
import msgspec

from waxwingport import ids
from waxwingport import metrics

__all__ = ['Discard', 'Percentiles', 'Statistics', 'Waste']

_MILLISECONDS = 1000
_LONGEST = 24 * 3600 * _MILLISECONDS
_OLDEST = 1_000_000
_DIGITS = 3
_VERSIONS = (0.0, 1.0, 2.0, 3.0, 4.0, 6.0, 8.0, 16.0)
_STEP_SECONDS = (1.0, 5.0, 15.0, 60.0, 300.0, 900.0, 2100.0, 3600.0)


class Discard(enum.Enum):
    """Why a sample was discarded."""

    GAP = 'gap'
    """Chunks did not follow on each other."""
    NO_VERSION = 'no-version'
    STALE = 'stale'
    UNFINISHED = 'unfinished'


class Waste(enum.Enum):
    """Why generated tokens were of no use."""

    ABANDONED = 'abandoned'
    DISCARDED = 'discarded'
    FAILED = 'failed'
    SECOND_ATTEMPT = 'second-attempt'
    STALE = 'stale'


class Percentiles(msgspec.Struct, frozen=True):
    """A histogram in short."""

    count: int
    mean: float
    p50: float
    p99: float
    max: float


class Statistics:
    """Figures of one trainer, also sent to the node's metrics."""

    def __init__(
        self, trainer: ids.TrainerName, sink: metrics.Metrics
    ) -> None:
        self.idle_seconds = 0.0
        self.useful_tokens = 0
        self.delivered = 0
        self.discarded: collections.Counter[Discard] = collections.Counter()
        self.wasted: collections.Counter[Waste] = collections.Counter()
        self._trainer = trainer
        self._sink = sink
        self._staleness = histogram.HdrHistogram(1, _OLDEST, _DIGITS)
        self._step_time = histogram.HdrHistogram(1, _LONGEST, _DIGITS)
        self._step_idle = histogram.HdrHistogram(1, _LONGEST, _DIGITS)

    def note_idle(self, seconds: float) -> None:
        """Adds time in which the trainer waited for samples."""
        self.idle_seconds += seconds
        self._count('trainer_idle_seconds', 'Trainer idle time', seconds)

    def note_delivered(self, staleness: int) -> None:
        """Takes a sample handed out for the first time."""
        self.delivered += 1
        self._staleness.record_value(max(0, staleness) + 1)
        self._sink.observe(
            'waxwingport_sample_staleness_versions',
            'Weight versions between the trainer and a sample',
            staleness,
            _VERSIONS,
            trainer=self._trainer,
        )

    def note_step(self, seconds: float, idle: float) -> None:
        """Takes a step that became whole."""
        self._step_time.record_value(_to_milliseconds(seconds))
        self._step_idle.record_value(_to_milliseconds(idle))
        self._sink.observe(
            'waxwingport_step_seconds',
            'Time from a step being put until it was whole',
            seconds,
            _STEP_SECONDS,
            trainer=self._trainer,
        )

    def note_discarded(self, cause: Discard, tokens: int) -> None:
        """Takes a sample that was discarded."""
        self.discarded[cause] += 1
        self._count(
            'samples_discarded', 'Samples discarded', cause=cause.value
        )
        stale = cause is Discard.STALE
        self.note_wasted(Waste.STALE if stale else Waste.DISCARDED, tokens)

    def note_wasted(self, cause: Waste, tokens: int) -> None:
        """Takes tokens that were of no use."""
        if tokens:
            self.wasted[cause] += tokens
            self._count(
                'tokens_wasted', 'Tokens wasted', tokens, cause=cause.value
            )

    def describe(self) -> dict[str, object]:
        """Returns the figures for ``/v1/status``; times in seconds."""
        return {
            'idle_seconds': round(self.idle_seconds, 3),
            'staleness': _summarise(self._staleness, 1.0, 1),
            'step_seconds': _summarise(self._step_time, _MILLISECONDS),
            'step_idle_seconds': _summarise(self._step_idle, _MILLISECONDS),
            'delivered': self.delivered,
            'useful_tokens': self.useful_tokens,
            'wasted_tokens': {
                cause.value: count for cause, count in self.wasted.items()
            },
            'discarded': {
                cause.value: count for cause, count in self.discarded.items()
            },
        }

    def _count(
        self, name: str, text: str, value: float = 1, **labels: str
    ) -> None:
        self._sink.count(
            f'waxwingport_{name}_total',
            text,
            value,
            trainer=self._trainer,
            **labels,
        )


def _to_milliseconds(seconds: float) -> int:
    return max(1, min(_LONGEST, round(seconds * _MILLISECONDS)))


def _summarise(
    found: histogram.HdrHistogram, unit: float, offset: int = 0
) -> Percentiles:
    count = found.get_total_count()
    if not count:
        return Percentiles(0, 0.0, 0.0, 0.0, 0.0)
    return Percentiles(
        count=count,
        mean=(found.get_mean_value() - offset) / unit,
        p50=(found.get_value_at_percentile(50) - offset) / unit,
        p99=(found.get_value_at_percentile(99) - offset) / unit,
        max=(found.get_max_value() - offset) / unit,
    )
