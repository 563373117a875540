"""How long ready work waits for the event loop of this process."""

from __future__ import annotations

from typing import TYPE_CHECKING

import gevent

from fulmarhold.clock import SECOND, Milliseconds
from fulmarhold.observe.estimates import LatencyAverage

if TYPE_CHECKING:
    from fulmarhold.clock import Clock

SAMPLE_PERIOD: Milliseconds = 20.0


class LoopLag:
    """A running average of how late a timer fires: the wait of everything else that is ready."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._average = LatencyAverage(0.0)

    @property
    def value(self) -> Milliseconds:
        """The average of the last samples, in milliseconds."""
        return self._average.value

    def run(self) -> None:
        """Sample until killed."""
        while True:
            due = self._clock.now() + SAMPLE_PERIOD
            gevent.sleep(SAMPLE_PERIOD / SECOND)
            self.record(self._clock.now() - due)

    def record(self, lateness: Milliseconds) -> None:
        """Take in how late one timer fired, in milliseconds."""
        self._average.update(max(0.0, lateness))
