"""Latency histograms; all latencies are passed and returned in milliseconds."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence

    from fulmarhold.clock import Milliseconds

MIN_MICROSECONDS = 10
MAX_MICROSECONDS = 120_000_000
SIGNIFICANT_DIGITS = 2
MICROSECONDS_PER_MILLISECOND = 1_000


class LatencyHistogram:
    """A histogram of latencies from 10 microseconds to 2 minutes.

    >>> histogram = LatencyHistogram()
    >>> for latency in (1.0, 2.0, 40.0):
    ...     histogram.record(latency)
    >>> round(histogram.quantile(0.5))
    2
    """

    def __init__(self) -> None:
        # Imported here because an entry that serves no requests needs none.
        from hdrh.histogram import HdrHistogram  # noqa: PLC0415

        self._histogram = HdrHistogram(MIN_MICROSECONDS, MAX_MICROSECONDS, SIGNIFICANT_DIGITS)
        self._total: Milliseconds = 0.0

    @property
    def total(self) -> Milliseconds:
        """The sum of all recorded latencies."""
        return self._total

    @property
    def count(self) -> int:
        return int(self._histogram.get_total_count())

    def record(self, latency: Milliseconds) -> None:
        """Record one latency; values outside the range are clamped to it."""
        self._total += latency
        microseconds = int(latency * MICROSECONDS_PER_MILLISECOND)
        self._histogram.record_value(min(max(microseconds, MIN_MICROSECONDS), MAX_MICROSECONDS))

    def quantile(self, quantile: float) -> Milliseconds:
        """Return the latency at a quantile between 0 and 1, or zero if the histogram is empty."""
        value = self._histogram.get_value_at_percentile(quantile * 100)
        return float(value) / MICROSECONDS_PER_MILLISECOND

    def reset(self) -> None:
        """Remove all recorded values."""
        self._histogram.reset()
        self._total = 0.0

    def counts_up_to(self, bounds: Sequence[Milliseconds]) -> list[int]:
        """Return the cumulative counts of latencies up to each of the ascending bounds.

        >>> histogram = LatencyHistogram()
        >>> for latency in (1.0, 2.0, 40.0):
        ...     histogram.record(latency)
        >>> histogram.counts_up_to([1.5, 20.0, 50.0])
        [1, 2, 3]
        """
        counts = [0] * len(bounds)
        for item in self._histogram.get_recorded_iterator():
            latency = item.value_iterated_to / MICROSECONDS_PER_MILLISECOND
            for position, bound in enumerate(bounds):
                if latency <= bound:
                    counts[position] += item.count_at_value_iterated_to
        return counts
