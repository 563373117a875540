"""Online estimates of latency, updated with each response."""

from __future__ import annotations

from fulmarhold.clock import Milliseconds

AVERAGE_WEIGHT = 0.15
QUANTILE_STEP_SHARE = 0.05
MIN_ESTIMATE: Milliseconds = 0.5
# Without decay, an upstream or a service that was slow once would be avoided or refused forever.
ESTIMATE_HALF_LIFE: Milliseconds = 3_000.0


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


class ReplyEstimates:
    """Latency and size of the replies to one kind of request.

    `typical` is the median latency, `high` the one that few replies exceed and `average` the recent
    mean; `size` is the average size in bytes, zero before the first reply.

    >>> estimates = ReplyEstimates(0.9, 40.0)
    >>> estimates.note_size(1_000)
    >>> estimates.size
    1000.0
    """

    __slots__ = ("average", "high", "size", "typical")

    def __init__(self, high_quantile: float, initial: Milliseconds) -> None:
        self.typical = QuantileEstimate(0.5, initial)
        self.high = QuantileEstimate(high_quantile, initial)
        self.average = LatencyAverage(initial, is_guess=True)
        self.size = 0.0

    @property
    def prudent(self) -> Milliseconds:
        """The latency to reckon with: the quantiles follow a change in small steps only.

        >>> estimates = ReplyEstimates(0.9, 40.0)
        >>> for _ in range(20):
        ...     estimates.note_latency(2_500.0)
        >>> estimates.high.value < 120.0, estimates.prudent > 2_000.0
        (True, True)
        """
        return max(self.high.value, self.average.value)

    def note_latency(self, latency: Milliseconds) -> None:
        """Update the estimates of latency with one reply."""
        self.typical.update(latency)
        self.high.update(latency)
        self.average.update(latency)

    def note_size(self, size: int) -> None:
        """Update the average size with one reply of `size` bytes."""
        self.size += (AVERAGE_WEIGHT if self.size else 1.0) * (size - self.size)
