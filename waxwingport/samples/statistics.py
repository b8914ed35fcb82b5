"""Statistics of a collector: idle time, staleness, wasted tokens."""

import collections
import enum

from hdrh import histogram
import msgspec

from waxwingport import ids
from waxwingport import metrics

__all__ = ['Discard', 'Percentiles', 'Statistics', 'Waste']

_MS_PER_SECOND = 1000
_MAX_TIME_MS = 24 * 3600 * _MS_PER_SECOND
_MAX_STALENESS = 1_000_000
"""Largest staleness in the histogram, in versions."""
_SIGNIFICANT_DIGITS = 3
"""Precision of the histograms."""
_STALENESS_BUCKETS = (0.0, 1.0, 2.0, 3.0, 4.0, 6.0, 8.0, 16.0)
"""Upper bounds of the metric's buckets, in versions."""
_STEP_SECONDS_BUCKETS = (1.0, 5.0, 15.0, 60.0, 300.0, 900.0, 2100.0, 3600.0)
"""Upper bounds of the metric's buckets."""


class Discard(enum.Enum):
    """Why a finished sample was discarded; counts samples."""

    GAP = 'gap'
    """A chunk did not start where the one before it ended."""
    NO_VERSION = 'no-version'
    """A chunk named no weight version."""
    STALE = 'stale'
    """The sample exceeded the staleness bound."""
    UNFINISHED = 'unfinished'
    """The last chunk named no finish reason, or there was none."""


class Waste(enum.Enum):
    """Why generated tokens were not used; counts tokens.

    The tokens of discarded samples are counted here, too.
    """

    ABANDONED = 'abandoned'
    """The sample had been received, or it or its step was dropped."""
    DISCARDED = 'discarded'
    """The sample was discarded for another reason than staleness."""
    FAILED = 'failed'
    """The attempt ended without a sample."""
    SECOND_ATTEMPT = 'second-attempt'
    """Another attempt at the same sample finished first."""
    STALE = 'stale'
    """The sample exceeded the staleness bound."""


class Percentiles(msgspec.Struct, frozen=True):
    """Summary of a histogram."""

    count: int
    mean: float
    p50: float
    p99: float
    max: float


class Statistics:
    """Statistics of one trainer, also counted in the node's metrics."""

    def __init__(
        self, trainer: ids.TrainerName, sink: metrics.Metrics
    ) -> None:
        self.idle_seconds = 0.0
        self.useful_tokens = 0
        self.returned = 0
        self.discarded: collections.Counter[Discard] = collections.Counter()
        self.wasted: collections.Counter[Waste] = collections.Counter()
        self._trainer = trainer
        self._sink = sink
        self._staleness = histogram.HdrHistogram(
            1, _MAX_STALENESS, _SIGNIFICANT_DIGITS
        )
        self._step_time = histogram.HdrHistogram(
            1, _MAX_TIME_MS, _SIGNIFICANT_DIGITS
        )
        self._step_idle = histogram.HdrHistogram(
            1, _MAX_TIME_MS, _SIGNIFICANT_DIGITS
        )

    def record_idle(self, seconds: float) -> None:
        """Adds seconds for which the trainer waited for samples."""
        self.idle_seconds += seconds
        self._count('trainer_idle_seconds', 'Trainer idle time', seconds)

    def record_returned(self, staleness: int) -> None:
        """Records a sample that a pull returned for the first time.

        ``staleness`` is in weight versions.
        """
        self.returned += 1
        self._staleness.record_value(max(0, staleness) + 1)
        self._sink.observe(
            'waxwingport_sample_staleness_versions',
            'Weight versions between the trainer and a sample',
            staleness,
            _STALENESS_BUCKETS,
            trainer=self._trainer,
        )

    def record_step(self, seconds: float, idle: float) -> None:
        """Records a step of which a pull returned the last sample.

        ``seconds`` is the time since the step was put, ``idle`` how long of it
        pulls waited.
        """
        self._step_time.record_value(_to_milliseconds(seconds))
        self._step_idle.record_value(_to_milliseconds(idle))
        self._sink.observe(
            'waxwingport_step_seconds',
            'Time from a step being put until its last sample was returned',
            seconds,
            _STEP_SECONDS_BUCKETS,
            trainer=self._trainer,
        )

    def record_discarded(self, cause: Discard, tokens: int) -> None:
        """Records a discarded sample and its wasted tokens."""
        self.discarded[cause] += 1
        self._count(
            'samples_discarded', 'Samples discarded', cause=cause.value
        )
        stale = cause is Discard.STALE
        self.record_wasted(Waste.STALE if stale else Waste.DISCARDED, tokens)

    def record_wasted(self, cause: Waste, tokens: int) -> None:
        """Adds tokens that were generated but not used."""
        if tokens:
            self.wasted[cause] += tokens
            self._count(
                'tokens_wasted', 'Tokens wasted', tokens, cause=cause.value
            )

    def describe(self) -> dict[str, object]:
        """Returns the statistics for ``/v1/status``; times in seconds."""
        return {
            'idle_seconds': round(self.idle_seconds, 3),
            'staleness': _summarise(self._staleness, 1.0, 1),
            'step_seconds': _summarise(self._step_time, _MS_PER_SECOND),
            'step_idle_seconds': _summarise(self._step_idle, _MS_PER_SECOND),
            'delivered': self.returned,
            'useful_tokens': self.useful_tokens,
            'wasted_tokens': {
                cause.value: count for cause, count in self.wasted.items()
            },
            'discarded': {
                cause.value: count for cause, count in self.discarded.items()
            },
        }

    def _count(
        self, name: str, help_text: str, value: float = 1, **labels: str
    ) -> None:
        self._sink.count(
            f'waxwingport_{name}_total',
            help_text,
            value,
            trainer=self._trainer,
            **labels,
        )


def _to_milliseconds(seconds: float) -> int:
    return max(1, min(_MAX_TIME_MS, round(seconds * _MS_PER_SECOND)))


def _summarise(
    recorded: histogram.HdrHistogram, unit: float, offset: int = 0
) -> Percentiles:
    count = recorded.get_total_count()
    if not count:
        return Percentiles(0, 0.0, 0.0, 0.0, 0.0)
    return Percentiles(
        count=count,
        mean=(recorded.get_mean_value() - offset) / unit,
        p50=(recorded.get_value_at_percentile(50) - offset) / unit,
        p99=(recorded.get_value_at_percentile(99) - offset) / unit,
        max=(recorded.get_max_value() - offset) / unit,
    )
