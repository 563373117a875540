"""Applies changes of the fleet that follow each other closely together.

When a fleet starts or loses many instances, each entry learns of every other one within a second,
and working out anew who serves and where upstreams are costs the same for one change as for many.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from fulmarhold.clock import Clock, Milliseconds


class CoalescedUpdate:
    """Runs an update at once, or with the next `run_pending` if the last one was just before.

    >>> from fulmarhold.clock import ManualClock
    >>> clock, runs = ManualClock(), []
    >>> update = CoalescedUpdate(lambda: runs.append(clock.now()), 50.0, clock)
    >>> for _ in range(3):
    ...     update.request()
    >>> clock.advance(100.0)
    >>> update.run_pending(), update.run_pending(), runs
    (None, None, [0.0, 100.0])
    """

    def __init__(self, run: Callable[[], None], interval: Milliseconds, clock: Clock) -> None:
        self._run = run
        self._interval = interval
        self._clock = clock
        self._last_run_at: Milliseconds = float("-inf")
        self._is_pending = False

    def request(self) -> None:
        """Run the update now, or later if it ran less than the interval ago."""
        if self._clock.now() < self._last_run_at + self._interval:
            self._is_pending = True
        else:
            self.run()

    def expedite(self) -> None:
        """Run the update without delay at the next request."""
        self._last_run_at = float("-inf")

    def run_pending(self) -> None:
        """Run an update that was put off; called periodically."""
        if self._is_pending:
            self.run()

    def run(self) -> None:
        """Run the update now."""
        self._last_run_at = self._clock.now()
        self._is_pending = False
        self._run()
