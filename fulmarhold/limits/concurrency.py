"""How many requests an entry keeps open at one upstream that answers too late.

The load this answers: most upstreams of a shard are lost or slow while many users come, so that
the remaining one is asked for more than it can do. Without a limit its queue grows until every
answer of it comes after the target, and every query waits for it. With one, the queries that are
sent there get their part in time, and the others leave the shard out at once.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from fulmarhold.clock import Milliseconds

# Requests that one entry may keep open before anything is known; far above a healthy upstream's.
HIGHEST_LIMIT = 8.0
# Below one, an upstream gets a request at a time with a pause after it.
LOWEST_LIMIT = 0.25
# The share of late rounds of requests: two in a row, with nothing in time between, pass the first
# bound, and each later one the second. All replies that one pause of an upstream makes late were
# sent before the first of them came, and count as one round.
LATE_WEIGHT = 0.35
LATE_SHARE = 0.5
LATE_SHARE_ONCE_LIMITED = 0.3
LOWERING = 0.5
# What one reply in time adds, for each request that may be open.
RAISING = 0.2
# A reply that took this share of its useful time has queued, and the next one may be late.
CONGESTED_SHARE = 0.85
# Less urgent requests use this share of a limit that has been lowered.
LESS_URGENT_SHARE = 0.7


class ConcurrencyLimit:
    """Falls while replies come too late to be of use, and rises while they come in time.

    >>> limit = ConcurrencyLimit()
    >>> for moment in range(0, 4_000, 400):
    ...     limit.note_reply(400.0, 250.0, 3, float(moment))
    >>> limit.may_send(0, 6_000.0, is_urgent=True), limit.may_send(9, 6_000.0, is_urgent=True)
    (True, False)
    """

    __slots__ = ("_late_at", "_late_share", "_latency", "_replied_at", "value")

    def __init__(self) -> None:
        self.value = HIGHEST_LIMIT
        self._late_share = 0.0
        self._latency: Milliseconds = 0.0
        self._late_at: Milliseconds = float("-inf")
        self._replied_at: Milliseconds = float("-inf")

    def may_send(self, open_requests: int, now: Milliseconds, *, is_urgent: bool) -> bool:
        """Whether one more request may be sent while `open_requests` are not answered."""
        if self.value >= HIGHEST_LIMIT:
            return True
        allowed = self.value if is_urgent else LESS_URGENT_SHARE * self.value
        if allowed >= 1:
            return open_requests < int(allowed)
        pause = self._latency * (1 / allowed - 1)
        return open_requests == 0 and now >= self._replied_at + pause

    def note_reply(
        self,
        elapsed: Milliseconds,
        useful_for: Milliseconds,
        open_requests: int,
        now: Milliseconds,
    ) -> None:
        """Take in a reply after `elapsed` ms that would have been of use for `useful_for` ms.

        `open_requests` tells how many were open with it.
        """
        self._replied_at = now
        self._latency = elapsed
        if elapsed <= CONGESTED_SHARE * useful_for:
            self._late_share -= LATE_WEIGHT * self._late_share
            self.value = min(HIGHEST_LIMIT, self.value + RAISING / max(1.0, self.value))
        elif now - elapsed > self._late_at:
            self._late_at = now
            self._late_share += LATE_WEIGHT * (1 - self._late_share)
            is_limited = self.value < HIGHEST_LIMIT
            if self._late_share >= (LATE_SHARE_ONCE_LIMITED if is_limited else LATE_SHARE):
                self.value = max(LOWEST_LIMIT, LOWERING * min(self.value, max(1, open_requests)))
