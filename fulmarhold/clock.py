"""The one clock type of the project; every time and duration is in milliseconds."""

from __future__ import annotations

import time

Milliseconds = float

SECOND: Milliseconds = 1_000.0
MINUTE: Milliseconds = 60 * SECOND
HOUR: Milliseconds = 60 * MINUTE


class Clock:
    """Reads the machine's clocks in milliseconds."""

    def now(self) -> Milliseconds:
        """Return a steady time that also counts suspensions; only differences mean something."""
        # The monotonic clock stands still while a machine is suspended: leases would outlive it.
        return time.clock_gettime(time.CLOCK_BOOTTIME) * SECOND

    def wall(self) -> Milliseconds:
        """Return the time since the Unix epoch, as far as this machine knows it."""
        return time.time() * SECOND


class ManualClock(Clock):
    """A clock that moves only when told to, for tests of timed decisions.

    >>> clock = ManualClock()
    >>> clock.advance(250)
    >>> clock.now()
    250.0
    """

    def __init__(self, now: Milliseconds = 0.0, wall: Milliseconds = 1_700_000_000_000.0) -> None:
        self._now = now
        self._wall = wall

    def now(self) -> Milliseconds:
        return self._now

    def wall(self) -> Milliseconds:
        return self._wall

    def advance(self, duration: Milliseconds) -> None:
        """Move both clocks forward by `duration` milliseconds."""
        self._now += duration
        self._wall += duration
