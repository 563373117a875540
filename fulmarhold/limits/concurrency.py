"""Adaptive limit of the requests that an entry keeps open at one upstream.

When most upstreams of a shard are lost or slow under high load, the remaining one receives more
requests than it can serve. Without a limit its queue grows until every reply misses the target
latency, and every query waits for it. With a limit, the queries that are sent to it get their part
in time, and the others leave the shard out at once.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from fulmarhold.clock import Milliseconds
    from fulmarhold.limits.sharing import Flow

# Initial limit, at which nothing is limited; a healthy upstream has far fewer open requests.
MAX_LIMIT = 8.0
# A limit below one means one request at a time, with a pause after each.
MIN_LIMIT = 0.25
# The late share is a moving average over rounds of requests. Two late rounds in a row reach the
# first threshold; once the limit is lowered, each late round reaches the second. Requests that one
# pause of the upstream delayed were all sent before the first late reply, and count as one round.
LATE_WEIGHT = 0.35
LATE_SHARE_THRESHOLD = 0.5
LATE_SHARE_THRESHOLD_WHEN_LIMITED = 0.3
DECREASE_FACTOR = 0.5
# A reply in time raises the limit by this, divided by the limit where that is above one.
INCREASE_STEP = 0.2
# A reply that took more than this share of its useful time has queued; the next may be late.
CONGESTED_SHARE = 0.85
# Less urgent requests may use this share of a lowered limit.
LESS_URGENT_SHARE = 0.7


class ConcurrencyLimit:
    """A limit that falls while replies arrive too late to be of use, and rises otherwise.

    >>> limit = ConcurrencyLimit()
    >>> for moment in range(0, 4_000, 400):
    ...     limit.note_reply(400.0, 250.0, 3, float(moment))
    >>> limit.may_send(0, 6_000.0, is_urgent=True), limit.may_send(9, 6_000.0, is_urgent=True)
    (True, False)
    """

    __slots__ = ("_last_late_at", "_last_reply_at", "_late_share", "_latency", "value")

    def __init__(self) -> None:
        self.value = MAX_LIMIT
        self._late_share = 0.0
        self._latency: Milliseconds = 0.0
        self._last_late_at: Milliseconds = float("-inf")
        self._last_reply_at: Milliseconds = float("-inf")

    def may_send(
        self,
        open_requests: int,
        now: Milliseconds,
        *,
        is_urgent: bool,
        flow: Flow | None = None,
    ) -> bool:
        """Whether one more request may be sent while `open_requests` are unanswered.

        A request whose account asks for more than usual may use a smaller part of a lowered limit.
        """
        if self.value >= MAX_LIMIT:
            return True
        allowed = self.value if is_urgent else LESS_URGENT_SHARE * self.value
        if flow is not None:
            allowed *= flow.room_share(now)
        if allowed >= 1:
            return open_requests < int(allowed)
        pause = self._latency * (1 / allowed - 1)
        return open_requests == 0 and now >= self._last_reply_at + pause

    def note_reply(
        self,
        elapsed: Milliseconds,
        useful_for: Milliseconds,
        open_requests: int,
        now: Milliseconds,
    ) -> None:
        """Record a reply after `elapsed` ms that was of use within `useful_for` ms.

        `open_requests` is the number of requests that were open, including this one.
        """
        self._last_reply_at = now
        self._latency = elapsed
        if elapsed <= CONGESTED_SHARE * useful_for:
            self._late_share -= LATE_WEIGHT * self._late_share
            self.value = min(MAX_LIMIT, self.value + INCREASE_STEP / max(1.0, self.value))
        elif now - elapsed > self._last_late_at:
            self._last_late_at = now
            self._late_share += LATE_WEIGHT * (1 - self._late_share)
            is_limited = self.value < MAX_LIMIT
            if self._late_share >= (
                LATE_SHARE_THRESHOLD_WHEN_LIMITED if is_limited else LATE_SHARE_THRESHOLD
            ):
                self.value = max(
                    MIN_LIMIT, DECREASE_FACTOR * min(self.value, max(1, open_requests))
                )
