"""What all service calls of one request share."""

from __future__ import annotations

from typing import TYPE_CHECKING

from fulmarhold.forwarding.request import RefusedReason

if TYPE_CHECKING:
    from collections.abc import Callable
    from random import Random

    from fulmarhold.clock import Clock, Milliseconds
    from fulmarhold.forwarding.codec import UpstreamCodec
    from fulmarhold.forwarding.request import ForwardRequest
    from fulmarhold.limits.holdings import FixedHolding
    from fulmarhold.limits.sharing import Flow
    from fulmarhold.observe.counters import Counters
    from fulmarhold.observe.estimates import ReplyEstimates
    from fulmarhold.observe.events import EventLog
    from fulmarhold.routing.choice import Chooser
    from fulmarhold.routing.replica import Replica


class CallContext:
    """State that all service calls of one request share."""

    def __init__(
        self,
        request: ForwardRequest,
        codec: UpstreamCodec,
        deadline_at: Milliseconds,
        may_repeat: bool,
        most_attempts: int,
        choose: Chooser,
        replies: ReplyEstimates,
        clock: Clock,
        random: Random,
        counters: Counters,
        events: EventLog,
        *,
        useful_until: Milliseconds,
        is_urgent: bool = True,
        top_records: int = 0,
        held: FixedHolding | None = None,
        find_upstream: Callable[[str], Replica | None] = lambda _: None,
        flow: Flow | None = None,
    ) -> None:
        self.request = request
        # When replies start to be late, and whether no route has a higher priority.
        self.useful_until = useful_until
        self.is_urgent = is_urgent
        # How many records of a part can be in the answer; zero if replies are no parts.
        self.top_records = top_records
        # Accounts for the replies until the request has its outcome.
        self.held = held
        # Finds an upstream that serves by its name.
        self.find_upstream = find_upstream
        # Decides how the request shares scarce room; only where there are accounts.
        self.flow = flow
        self.codec = codec
        self.prepared = codec.prepare(request)
        self.deadline_at = deadline_at
        self.may_repeat = may_repeat
        self.most_attempts = most_attempts
        self.choose = choose
        self.replies = replies
        self.clock = clock
        self.random = random
        self.counters = counters
        self.events = events

    def reason_to_give_way(self, now: Milliseconds) -> RefusedReason | None:
        """Return why the request is refused now that room is short, or `None` if it isn't."""
        if self.flow is None:
            return None
        self.flow.note_shortage(now)
        if self.flow.is_excess(now):
            return RefusedReason.ACCOUNT_EXCESS
        return None if self.is_urgent else RefusedReason.OVERLOADED
