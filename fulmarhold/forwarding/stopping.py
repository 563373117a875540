"""When a stopping entry accepts requests, ends the open ones and exits."""

from __future__ import annotations

from dataclasses import dataclass

from fulmarhold.clock import Milliseconds
from fulmarhold.observe.estimates import RecentLatencies

# The time at the end of the grace period that is reserved for exiting.
EXIT_RESERVE: Milliseconds = 400.0
# The time before the exit in which the last answers are sent: up to a thousand of them.
SEND_RESERVE: Milliseconds = 400.0
# The share of the grace period in which only requests in flight are completed.
COMPLETION_SHARE = 0.3
# What a request may take beyond what comparable ones took lately.
DURATION_RESERVE: Milliseconds = 300.0
# A request that may be repeated is accepted if this share of the recent ones were fast enough: the
# others can be sent again. The outcome of one that may not be repeated must not become unknown.
IDEMPOTENT_SHARE = 0.9
NON_IDEMPOTENT_SHARE = 1.0


@dataclass(frozen=True)
class StopSchedule:
    """The phases of a planned stop, as times of the entry's clock.

    Until `accepts_until` the entry serves callers that still have its address, and afterwards it
    only completes open requests. At `answers_by` every open request gets the outcome that is known
    by then. The process exits once the answers are sent, at `exits_by` at the latest unless it was
    held up.

    >>> schedule = StopSchedule.plan(0.0, grace=6_000.0, address_lifetime=3_600.0)
    >>> schedule
    StopSchedule(accepts_until=3600.0, answers_by=5200.0, exits_by=5600.0)
    >>> schedule.can_complete(3_500.0, deadline_at=9_000.0, expected=1_500.0)
    False
    """

    accepts_until: Milliseconds
    answers_by: Milliseconds
    exits_by: Milliseconds

    @classmethod
    def plan(
        cls, now: Milliseconds, grace: Milliseconds, address_lifetime: Milliseconds
    ) -> StopSchedule:
        """Return the schedule of a stop that begins now.

        `grace` is the time after which the process is killed, and `address_lifetime` how long
        callers may use an address after the directory last named it.
        """
        exits_by = now + max(0.0, grace - EXIT_RESERVE)
        accepting = min(address_lifetime, (1 - COMPLETION_SHARE) * grace)
        answers_by = max(now, exits_by - SEND_RESERVE)
        return cls(min(now + accepting, answers_by), answers_by, exits_by)

    def can_complete(
        self, now: Milliseconds, deadline_at: Milliseconds, expected: Milliseconds
    ) -> bool:
        """Whether a request that is `expected` to take so long ends before the entry exits."""
        return min(deadline_at, now + expected + DURATION_RESERVE) <= self.answers_by


def expected_duration(recent: RecentLatencies, *, is_idempotent: bool) -> Milliseconds:
    """Return how long a request must be expected to take, by recent ones of the same route.

    Without any, nothing is known of a request that may not be repeated.

    >>> expected_duration(RecentLatencies(), is_idempotent=False)
    inf
    """
    longest = recent.quantile(IDEMPOTENT_SHARE if is_idempotent else NON_IDEMPOTENT_SHARE)
    if longest is None:
        return 0.0 if is_idempotent else float("inf")
    return longest
