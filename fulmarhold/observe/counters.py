"""Counters with a closed set of labels, and their exposition as Prometheus text."""

from __future__ import annotations

from typing import TYPE_CHECKING

from prometheus_client import CollectorRegistry, Counter, generate_latest
from prometheus_client.core import GaugeMetricFamily

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

Gauge = tuple[str, dict[str, str], float]


class Counters:
    """The counters of one process.

    >>> counters = Counters()
    >>> counters.add("refusals", reason="unknown_service")
    >>> counters.value("refusals", reason="unknown_service")
    1.0
    """

    def __init__(self) -> None:
        self._registry = CollectorRegistry()
        self._counters: dict[str, Counter] = {}
        self._children: dict[tuple[str, tuple[tuple[str, str], ...]], Counter] = {}

    def add(self, name: str, amount: float = 1.0, **labels: str) -> None:
        """Add `amount` to the counter of that name and labels, creating it at first use."""
        self._child(name, labels).inc(amount)

    def value(self, name: str, **labels: str) -> float:
        """Return the present value, zero for a counter that was never added to."""
        sample = f"fulmarhold_{name}_total"
        return self._registry.get_sample_value(sample, labels) or 0.0

    def expose(self) -> bytes:
        """Return every counter in the Prometheus text format."""
        return generate_latest(self._registry)

    def register_gauges(self, collect: Callable[[], Iterable[Gauge]]) -> None:
        """Expose values that are read at the time of the scrape."""
        self._registry.register(_GaugeCollector(collect))  # type: ignore[arg-type]

    def _child(self, name: str, labels: dict[str, str]) -> Counter:
        key = (name, tuple(labels.items()))
        child = self._children.get(key)
        if child is None:
            counter = self._counters.get(name)
            if counter is None:
                counter = Counter(
                    f"fulmarhold_{name}", name, sorted(labels), registry=self._registry
                )
                self._counters[name] = counter
            child = counter.labels(**labels) if labels else counter
            self._children[key] = child
        return child


class _GaugeCollector:
    def __init__(self, collect: Callable[[], Iterable[Gauge]]) -> None:
        self._collect = collect

    def collect(self) -> Iterable[GaugeMetricFamily]:
        for name, labels, value in self._collect():
            family = GaugeMetricFamily(f"fulmarhold_{name}", name, labels=sorted(labels))
            family.add_metric([labels[key] for key in sorted(labels)], value)
            yield family
