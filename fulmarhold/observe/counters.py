"""Counters with a fixed set of labels, and the exposition of metrics as Prometheus text."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from fulmarhold.observe.latency import LatencyHistogram

Gauge = tuple[str, dict[str, str], float]
Histogram = tuple[str, dict[str, str], "LatencyHistogram"]
# Upper bounds of the histogram buckets in milliseconds; current latency targets lie between 60 and
# 800.
BUCKETS = (2, 5, 10, 20, 40, 60, 80, 100, 150, 200, 300, 500, 800, 1_200, 2_000, 5_000, 15_000)
PREFIX = "fulmarhold_"


class Counters:
    """The counters, gauges and histograms of one process.

    >>> counters = Counters()
    >>> counters.add("refusals", reason="unknown_service")
    >>> counters.value("refusals", reason="unknown_service")
    1.0
    """

    def __init__(self) -> None:
        self._values: dict[tuple[str, tuple[tuple[str, str], ...]], float] = {}
        self._gauges: list[Callable[[], Iterable[Gauge]]] = []
        self._histograms: list[Callable[[], Iterable[Histogram]]] = []

    def add(self, name: str, amount: float = 1.0, **labels: str) -> None:
        """Add `amount` to the counter with this name and labels, creating it on first use."""
        key = (name, tuple(labels.items()))
        self._values[key] = self._values.get(key, 0.0) + amount

    def value(self, name: str, **labels: str) -> float:
        """Return the current value, zero for a counter that was never increased."""
        return self._values.get((name, tuple(labels.items())), 0.0)

    def expose(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        # Imported at the first scrape, because restarting daemons must serve as soon as possible.
        from prometheus_client import CollectorRegistry, generate_latest  # noqa: PLC0415

        registry = CollectorRegistry()
        registry.register(self)  # type: ignore[arg-type]
        return generate_latest(registry)

    def register_gauges(self, collect: Callable[[], Iterable[Gauge]]) -> None:
        """Register a callback that returns gauges; it is called at each scrape."""
        self._gauges.append(collect)

    def register_histograms(self, collect: Callable[[], Iterable[Histogram]]) -> None:
        """Register a callback that returns latency histograms; it is called at each scrape."""
        self._histograms.append(collect)

    def collect(self) -> Iterable[Any]:
        """Yield the metric families; implements the collector interface of prometheus_client."""
        from prometheus_client.core import (  # noqa: PLC0415
            CounterMetricFamily,
            GaugeMetricFamily,
            HistogramMetricFamily,
        )

        counters: dict[str, Any] = {}
        for (name, pairs), amount in list(self._values.items()):
            family = counters.get(name)
            labels = dict(sorted(pairs))
            if family is None:
                family = CounterMetricFamily(PREFIX + name, name, labels=list(labels))
                counters[name] = family
            family.add_metric(list(labels.values()), amount)
        yield from counters.values()
        for source in self._gauges:
            gauges: dict[str, Any] = {}
            for name, pairs_by_name, value in source():
                labels = dict(sorted(pairs_by_name.items()))
                if name not in gauges:
                    gauges[name] = GaugeMetricFamily(PREFIX + name, name, labels=list(labels))
                gauges[name].add_metric(list(labels.values()), value)
            yield from gauges.values()
        for histogram_source in self._histograms:
            histograms: dict[str, Any] = {}
            for name, pairs_by_name, histogram in histogram_source():
                labels = dict(sorted(pairs_by_name.items()))
                if name not in histograms:
                    histograms[name] = HistogramMetricFamily(
                        PREFIX + name, name, labels=list(labels)
                    )
                counts = histogram.counts_up_to(BUCKETS)
                buckets = [
                    (str(bound), count) for bound, count in zip(BUCKETS, counts, strict=True)
                ]
                buckets.append(("+Inf", histogram.count))
                histograms[name].add_metric(list(labels.values()), buckets, histogram.total)
            yield from histograms.values()
