"""Measurement of the event loop lag of this process."""

from __future__ import annotations

from typing import TYPE_CHECKING

import gevent

from fulmarhold.clock import SECOND, Milliseconds
from fulmarhold.observe.estimates import LatencyAverage

if TYPE_CHECKING:
    from fulmarhold.clock import Clock

SAMPLE_PERIOD: Milliseconds = 20.0


class LoopLag:
    """A moving average of timer delay, which is also the delay of all other ready greenlets."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._average = LatencyAverage(0.0)

    @property
    def value(self) -> Milliseconds:
        """The weighted average of the recent samples, in milliseconds."""
        return self._average.value

    def run(self) -> None:
        """Sample periodically until killed."""
        while True:
            due = self._clock.now() + SAMPLE_PERIOD
            gevent.sleep(SAMPLE_PERIOD / SECOND)
            self.record(self._clock.now() - due)

    def record(self, lateness: Milliseconds) -> None:
        """Add one sample: the delay of a timer in milliseconds."""
        self._average.update(max(0.0, lateness))
