"""Metrics of one process, in a registry of its own."""

from collections.abc import Sequence

import aioprometheus
from aioprometheus import renderer

__all__ = ['Metrics']

_SECONDS = (0.001, 0.005, 0.01, 0.05, 0.1, 0.5, 1.0, 5.0, 10.0, 60.0)


class Metrics:
    """Counters, gauges and histograms by name.

    Units stand in the names; label values come from bounded sets.
    """

    def __init__(self) -> None:
        self._registry = aioprometheus.Registry()
        self._known: dict[str, aioprometheus.Collector] = {}

    def count(
        self, name: str, help_text: str, value: float = 1, **labels: str
    ) -> None:
        """Adds ``value`` to a counter."""
        found = self._find(aioprometheus.Counter, name, help_text)
        found.add(labels, value)

    def set(
        self, name: str, help_text: str, value: float, **labels: str
    ) -> None:
        """Sets a gauge."""
        self._find(aioprometheus.Gauge, name, help_text).set(labels, value)

    def observe(
        self,
        name: str,
        help_text: str,
        value: float,
        buckets: Sequence[float] = _SECONDS,
        **labels: str,
    ) -> None:
        """Adds an observation to a histogram."""
        found = self._known.get(name)
        if found is None:
            found = aioprometheus.Histogram(
                name, help_text, buckets=list(buckets), registry=self._registry
            )
            self._known[name] = found
        found.observe(labels, value)

    def render(self, accept: str = '') -> tuple[bytes, dict[str, str]]:
        """Returns the exposition and its HTTP headers."""
        return renderer.render(self._registry, [accept] if accept else [])

    def _find(self, kind: type, name: str, help_text: str):
        found = self._known.get(name)
        if found is None:
            found = kind(name, help_text, registry=self._registry)
            self._known[name] = found
        return found
