"""Prometheus metrics of one process, in a registry of its own."""

from collections.abc import Mapping
from collections.abc import Sequence

import aioprometheus
from aioprometheus import renderer

__all__ = ['Metrics']

_DURATION_BUCKETS_S = (
    0.001,
    0.005,
    0.01,
    0.05,
    0.1,
    0.5,
    1.0,
    5.0,
    10.0,
    60.0,
)


class Metrics:
    """Counters, gauges and histograms by name.

    A metric is created with its first value.  Names end in the unit; label
    values have to come from bounded sets.
    """

    def __init__(self) -> None:
        self._registry = aioprometheus.Registry()
        self._collectors: dict[str, aioprometheus.Collector] = {}

    def count(
        self, name: str, help_text: str, value: float = 1, **labels: str
    ) -> None:
        """Adds ``value`` to the counter ``name``."""
        collector = self._get_or_create(aioprometheus.Counter, name, help_text)
        collector.add(labels, value)

    def set(
        self, name: str, help_text: str, value: float, **labels: str
    ) -> None:
        """Sets the gauge ``name`` to ``value``."""
        self._get_or_create(aioprometheus.Gauge, name, help_text).set(
            labels, value
        )

    def replace_counts(
        self, name: str, help_text: str, label: str, values: Mapping[str, int]
    ) -> None:
        """Sets all series of the counter ``name``, by the value of ``label``.

        Series that are not in ``values`` end.
        """
        collector = self._get_or_create(aioprometheus.Counter, name, help_text)
        collector.values.clear()
        for value, count in values.items():
            collector.set({label: value}, count)

    def observe(
        self,
        name: str,
        help_text: str,
        value: float,
        buckets: Sequence[float] = _DURATION_BUCKETS_S,
        **labels: str,
    ) -> None:
        """Adds ``value`` to the histogram ``name``.

        ``buckets`` are upper bounds, used when the histogram is created.
        """
        collector = self._collectors.get(name)
        if collector is None:
            collector = aioprometheus.Histogram(
                name, help_text, buckets=list(buckets), registry=self._registry
            )
            self._collectors[name] = collector
        collector.observe(labels, value)

    def render(self, accept: str = '') -> tuple[bytes, dict[str, str]]:
        """Returns the metrics as an HTTP body, and its headers.

        ``accept`` is the request's ``Accept`` header, which selects the
        format.
        """
        return renderer.render(self._registry, [accept] if accept else [])

    def _get_or_create(self, kind: type, name: str, help_text: str):
        collector = self._collectors.get(name)
        if collector is None:
            collector = kind(name, help_text, registry=self._registry)
            self._collectors[name] = collector
        return collector
