"""Small running estimates of latency, updated with each response."""

from __future__ import annotations

from fulmarhold.clock import Milliseconds

AVERAGE_WEIGHT = 0.15
QUANTILE_STEP_SHARE = 0.05
LEAST_QUANTILE: Milliseconds = 0.5
# Without this an upstream or a service that was slow once would be avoided or refused for ever.
ESTIMATE_HALF_LIFE: Milliseconds = 3_000.0


def decay(value: Milliseconds, silence: Milliseconds) -> Milliseconds:
    """Return what an estimate is still worth that nothing has renewed for `silence` ms.

    >>> decay(80.0, 6_000.0)
    20.0
    """
    return value * 0.5 ** (silence / ESTIMATE_HALF_LIFE)


class LatencyAverage:
    """An exponentially weighted average; where it starts from a guess, that counts as one latency.

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
        """Take in one latency."""
        self.value += self._weight * (latency - self.value)
        # 1/2, 1/3, 1/4 and so on: the plain average of the guess and the first few latencies.
        self._weight = max(AVERAGE_WEIGHT, self._weight / (1 + self._weight))


class QuantileEstimate:
    """Follows one quantile by steps that balance where the quantile lies."""

    __slots__ = ("_quantile", "value")

    def __init__(self, quantile: float, initial: Milliseconds) -> None:
        self._quantile = quantile
        self.value = initial

    def update(self, latency: Milliseconds) -> None:
        """Take in one latency."""
        step = QUANTILE_STEP_SHARE * self.value
        if latency > self.value:
            self.value += step * self._quantile
        else:
            self.value = max(LEAST_QUANTILE, self.value - step * (1 - self._quantile))
