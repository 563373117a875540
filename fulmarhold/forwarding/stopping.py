"""When a stopping entry accepts requests, ends the open ones and exits."""

from __future__ import annotations

from dataclasses import dataclass

from fulmarhold.clock import Milliseconds

# The time at the end of the grace period that is reserved for exiting.
EXIT_RESERVE: Milliseconds = 400.0
# The time before the exit in which the last answers are sent: a round trip, and event loop lag.
SEND_RESERVE: Milliseconds = 200.0
# The share of the grace period in which only requests in flight are completed.
COMPLETION_SHARE = 0.3
# A request is accepted if this multiple of the latency that few replies exceed is left. Where the
# entry exits first, an idempotent request can be repeated, but the outcome of others is unknown.
IDEMPOTENT_MARGIN = 3.0
NON_IDEMPOTENT_MARGIN = 10.0


@dataclass(frozen=True)
class StopSchedule:
    """The phases of a planned stop, as times of the entry's clock.

    Until `accepts_until` the entry serves callers that still have its address, and afterwards it
    only completes open requests. At `answers_by` every open request gets the outcome that is known
    by then, and at `exits_by` the process exits, whatever callers have received.

    >>> schedule = StopSchedule.plan(0.0, grace=6_000.0, address_lifetime=3_600.0)
    >>> schedule
    StopSchedule(accepts_until=3600.0, answers_by=5400.0, exits_by=5600.0)
    >>> schedule.can_complete(3_500.0, 9_000.0, usual=200.0, is_idempotent=False)
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
        self, now: Milliseconds, deadline_at: Milliseconds, usual: Milliseconds, *,
        is_idempotent: bool,
    ) -> bool:  # fmt: skip
        """Whether a request can be expected to have its outcome before the entry exits.

        `usual` is the latency that few replies to such requests exceed.
        """
        margin = IDEMPOTENT_MARGIN if is_idempotent else NON_IDEMPOTENT_MARGIN
        return min(deadline_at, now + margin * usual) <= self.answers_by
