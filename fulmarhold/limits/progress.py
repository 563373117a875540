"""How long an unfinished request may take: by its progress, beside limits on its whole duration.

Handles callers that send a part of a request and then nothing, or a byte now and then. Each holds
memory, a descriptor and a place, and time-outs that begin anew with each byte never end it.
"""

from __future__ import annotations

from fulmarhold.clock import SECOND, Milliseconds

# The rate of an unfinished request counts after this many idle time-outs: a caller that pauses no
# longer than it may is inside the limits.
GRACE_TIMEOUTS = 2.0
# The rate below which an unfinished request is ended after the grace: a body of the largest default
# size (262,144 bytes) takes four minutes at this rate, far longer than any caller's deadline.
MIN_BYTES_PER_SECOND = 1_024
# Where memory or descriptors are short, a request from which nothing came for this long counts as
# stalled: longer than a few lost packets are sent again.
STALLED_AFTER: Milliseconds = 1_000.0
# Bytes that a request has to bring in `STALLED_AFTER` in order not to count as stalled then.
MIN_PROGRESS_BYTES = 256


class Progress:
    """The progress of one unfinished request; times are passed in.

    >>> progress = Progress(0.0, idle_timeout=15_000.0)
    >>> progress.add(100, 10.0)
    >>> progress.is_stalled(500.0), progress.is_stalled(1_500.0)
    (False, True)
    >>> progress.is_too_slow(29_000.0), progress.is_too_slow(31_000.0)
    (False, True)
    """

    __slots__ = ("_counted", "_grace", "_marked_at", "_total", "started_at")

    def __init__(self, started_at: Milliseconds, idle_timeout: Milliseconds) -> None:
        self.started_at = started_at
        self._grace = GRACE_TIMEOUTS * idle_timeout
        self._total = 0
        self._counted = 0
        # When enough bytes had come for the last time.
        self._marked_at = started_at

    @property
    def marked_at(self) -> Milliseconds:
        """When the request last made progress."""
        return self._marked_at

    def add(self, size: int, now: Milliseconds) -> None:
        """Count bytes that have arrived; few bytes are no progress until they add up."""
        self._total += size
        if self._total - self._counted >= MIN_PROGRESS_BYTES:
            self._counted = self._total
            self._marked_at = now

    def is_stalled(self, now: Milliseconds) -> bool:
        """Whether it has to give way where memory or descriptors are short."""
        return now - self._marked_at >= STALLED_AFTER

    def is_too_slow(self, now: Milliseconds) -> bool:
        """Whether it is below the minimum rate after the grace, and has to end in any case."""
        age = now - self.started_at
        return age > self._grace and self._total < age / SECOND * MIN_BYTES_PER_SECOND

    def checked_in(self, now: Milliseconds, idle: Milliseconds) -> Milliseconds:
        """Return how long to wait for bytes before the rate is checked again, at most `idle`."""
        until_grace = self.started_at + self._grace - now
        return min(idle, until_grace + 1.0) if until_grace > 0 else idle
