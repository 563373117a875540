"""Estimates how many requests of an account an entry receives."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from fulmarhold.clock import Milliseconds

# Follows the start of a burst within two reports.
FAST: Milliseconds = 300.0
# Callers pause and come back; their next requests should find tokens.
SLOW: Milliseconds = 1_500.0
# The fast average leaves out this many requests: a single one is no burst.
SINGLE_REQUESTS = 2.0


class Demand:
    """The higher of a fast and a slow average, in requests per millisecond.

    >>> demand = Demand(0.0)
    >>> for moment in range(0, 2_000, 10):
    ...     demand.note(moment)
    >>> 0.09 < demand.rate(2_000.0) < 0.1
    True
    """

    def __init__(self, now: Milliseconds) -> None:
        self._fast = 0.0
        self._slow = 0.0
        self._updated_at = now

    def note(self, now: Milliseconds) -> None:
        """Count one request."""
        self._decay(now)
        self._fast += 1 / FAST
        self._slow += 1 / SLOW

    def expect(self, rate: float, now: Milliseconds) -> None:
        """Expect at least this rate, until requests show another."""
        self._decay(now)
        self._slow = max(self._slow, rate)

    def rate(self, now: Milliseconds) -> float:
        """Return the current estimate."""
        self._decay(now)
        return max(self._slow, self._fast - SINGLE_REQUESTS / FAST)

    def _decay(self, now: Milliseconds) -> None:
        elapsed = max(0.0, now - self._updated_at)
        self._updated_at = max(now, self._updated_at)
        if elapsed:
            self._fast *= math.exp(-elapsed / FAST)
            self._slow *= math.exp(-elapsed / SLOW)
