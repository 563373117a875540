"""Clocks for the whole package; every time and duration is in milliseconds."""

from __future__ import annotations

import time

Milliseconds = float

SECOND: Milliseconds = 1_000.0
MINUTE: Milliseconds = 60 * SECOND
HOUR: Milliseconds = 60 * MINUTE


class Clock:
    """Reads the system clocks in milliseconds."""

    def now(self) -> Milliseconds:
        """Return a monotonic time that includes suspensions; only differences are meaningful."""
        # CLOCK_MONOTONIC stops while the system is suspended, so leases would expire too late.
        return time.clock_gettime(time.CLOCK_BOOTTIME) * SECOND

    def wall(self) -> Milliseconds:
        """Return the time since the Unix epoch by the system clock, which may be adjusted."""
        return time.time() * SECOND


class ManualClock(Clock):
    """A clock that advances only on request, for deterministic tests.

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
