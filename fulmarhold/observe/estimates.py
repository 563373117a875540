"""Online estimates of latency, updated with each response."""

from __future__ import annotations

import math
from collections import deque

from fulmarhold.clock import Milliseconds

AVERAGE_WEIGHT = 0.15
QUANTILE_STEP_SHARE = 0.05
MIN_ESTIMATE: Milliseconds = 0.5
# Without decay, an upstream or a service that was slow once would be avoided or refused forever.
ESTIMATE_HALF_LIFE: Milliseconds = 3_000.0
# How many latencies exact quantiles are taken from.
RECENT_COUNT = 64


def decay(value: Milliseconds, silence: Milliseconds) -> Milliseconds:
    """Return an estimate decayed for `silence` ms, the time since its last update.

    >>> decay(80.0, 6_000.0)
    20.0
    """
    return value * 0.5 ** (silence / ESTIMATE_HALF_LIFE)


class LatencyAverage:
    """An exponentially weighted moving average; an initial guess counts as one latency.

    >>> average = LatencyAverage(10.0)
    >>> average.update(20.0)
    >>> average.value
    11.5
    >>> guessed = LatencyAverage(10.0, is_guess=True)
    >>> guessed.update(20.0)
    >>> guessed.value
    15.0
    """

    __slots__ = ("_weight", "value")

    def __init__(self, initial: Milliseconds, *, is_guess: bool = False) -> None:
        self.value = initial
        self._weight = 0.5 if is_guess else AVERAGE_WEIGHT

    def update(self, latency: Milliseconds) -> None:
        """Update the average with one latency."""
        self.value += self._weight * (latency - self.value)
        # Weights of 1/2, 1/3, 1/4 and so on give the arithmetic mean of the guess and the first
        # latencies.
        self._weight = max(AVERAGE_WEIGHT, self._weight / (1 + self._weight))


class QuantileEstimate:
    """Estimates one quantile with up and down steps that are in equilibrium at the quantile."""

    __slots__ = ("_quantile", "value")

    def __init__(self, quantile: float, initial: Milliseconds) -> None:
        self._quantile = quantile
        self.value = initial

    def update(self, latency: Milliseconds) -> None:
        """Update the estimate with one latency."""
        step = QUANTILE_STEP_SHARE * self.value
        if latency > self.value:
            self.value += step * self._quantile
        else:
            self.value = max(MIN_ESTIMATE, self.value - step * (1 - self._quantile))


class RecentLatencies:
    """The latest latencies, for exact quantiles that follow a change at once.

    >>> recent = RecentLatencies()
    >>> recent.quantile(0.9) is None
    True
    >>> for latency in range(1, 11):
    ...     recent.note(float(latency))
    >>> recent.quantile(0.9), recent.quantile(1.0)
    (9.0, 10.0)
    """

    __slots__ = ("_latencies",)

    def __init__(self) -> None:
        self._latencies: deque[Milliseconds] = deque(maxlen=RECENT_COUNT)

    def note(self, latency: Milliseconds) -> None:
        """Add one latency, in place of the oldest one."""
        self._latencies.append(latency)

    def quantile(self, share: float) -> Milliseconds | None:
        """Return the latency that a share of the latest ones don't exceed, if there are any."""
        if not self._latencies:
            return None
        position = math.ceil(share * len(self._latencies)) - 1
        return sorted(self._latencies)[max(0, position)]


class ReplyEstimates:
    """Latency and size of the replies to one kind of request.

    `typical` is the median latency and `high` the one that few replies exceed; `size` is the
    average size in bytes, zero before the first reply.

    >>> estimates = ReplyEstimates(0.9, 40.0)
    >>> estimates.note_size(1_000)
    >>> estimates.size
    1000.0
    """

    __slots__ = ("high", "size", "typical")

    def __init__(self, high_quantile: float, initial: Milliseconds) -> None:
        self.typical = QuantileEstimate(0.5, initial)
        self.high = QuantileEstimate(high_quantile, initial)
        self.size = 0.0

    def note_latency(self, latency: Milliseconds) -> None:
        """Update the estimates of latency with one reply."""
        self.typical.update(latency)
        self.high.update(latency)

    def note_size(self, size: int) -> None:
        """Update the average size with one reply of `size` bytes."""
        self.size += (AVERAGE_WEIGHT if self.size else 1.0) * (size - self.size)
