"""Forwards a request to one upstream of every shard and merges the parts of the answer."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from gevent.event import Event

from fulmarhold.clock import SECOND
from fulmarhold.collecting.plan import plan_collections
from fulmarhold.collecting.remote import RemoteCollection
from fulmarhold.forwarding.records import greatest_records
from fulmarhold.forwarding.refusals import refuse_held_back
from fulmarhold.forwarding.request import (
    Failed,
    FailedReason,
    Gathered,
    Refused,
    RefusedReason,
    Verdict,
)
from fulmarhold.forwarding.shard_timing import (
    STRAGGLER_SHARE,
    is_worth_collecting,
    latest_timely_hedge,
    required_parts,
    straggler_hedge_delay,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from fulmarhold.clock import Milliseconds
    from fulmarhold.collecting.remote import Collector
    from fulmarhold.forwarding.call import CallOwner, ServiceCall
    from fulmarhold.forwarding.context import CallContext
    from fulmarhold.forwarding.request import Outcome, Reply
    from fulmarhold.routes.configuration import Route


class ShardQuery:
    """One query over all shards of a route, as one version of the configuration lists them."""

    def __init__(
        self,
        context: CallContext,
        route: Route,
        make_call: Callable[[str, CallOwner], ServiceCall],
        hedge_after: Milliseconds,
        retry_after: Callable[[], Milliseconds],
        find_collectors: Callable[[], Mapping[str, Collector]] = dict,
    ) -> None:
        self._context = context
        self._route = route
        self._find_collectors = find_collectors
        self._collections: list[RemoteCollection] = []
        self._hedge_after = hedge_after
        self._retry_after = retry_after
        self._required = required_parts(route.least_share, len(route.shards))
        self._partial_at = context.useful_until
        self._started_at = context.clock.now()
        self._hedge_not_before = latest_timely_hedge(context.useful_until, hedge_after)
        # When each pending call is hedged; recalculated once most parts have arrived.
        self._hedge_at: dict[ServiceCall, Milliseconds] = {}
        self._wake = Event()
        self._is_caller_gone = False
        self._is_ended = False
        self._total = self._open_count = len(route.shards)
        self._straggler_threshold = max(1, math.ceil(STRAGGLER_SHARE * self._total))
        self._left_out: list[ServiceCall] = []
        self._calls = [make_call(service, self) for service in route.shards]

    @property
    def calls(self) -> list[ServiceCall]:
        """The calls of the shards, in the order of the route's configuration."""
        return self._calls

    def run(self) -> Outcome:
        """Call the shards, wait for their parts, hedge late calls and return the outcome."""
        refusal = self._refusal_if_held_back(self._started_at)
        if refusal is not None:
            return refusal
        first_hedge_at = max(self._started_at + self._hedge_after, self._hedge_not_before)
        self._hedge_at = dict.fromkeys(self._calls, first_hedge_at)
        reason = self._leave_out_congested()
        if reason is not None:
            return Refused(reason, self._retry_after())
        # A call that fails at once may start one that was left out, which must not start twice.
        starting = [item for item in self._calls if item not in self._left_out]
        for call in self._collect_remotely(starting):
            call.start()
        while self._wait_until(min(self._hedge_at.values(), default=self._context.deadline_at)):
            now = self._context.clock.now()
            if now >= self._context.deadline_at:
                break
            for call in [item for item, due in self._hedge_at.items() if due <= now]:
                del self._hedge_at[call]
                call.hedge()
        outcome = self._outcome()
        for collection in self._collections:
            collection.finish()
        return outcome

    def _refusal_if_held_back(self, now: Milliseconds) -> Refused | None:
        """Refuse if the required parts can't come because of what upstreams said."""
        held = [item for call in self._calls if (item := call.held_back(now)) is not None]
        needed = self._required - (self._total - len(held))
        return refuse_held_back(self._context, held, needed) if held and needed > 0 else None

    def _collect_remotely(self, calls: list[ServiceCall]) -> list[ServiceCall]:
        """Ask collectors for what other data centres have; returns the calls that are left."""
        context = self._context
        useful_for = context.useful_until - self._started_at
        replies = context.replies
        if not is_worth_collecting(useful_for, replies.typical.value, replies.size):
            return calls
        collectors = self._find_collectors()
        if not collectors:
            return calls
        choices = {call: call.remote_choices(self._started_at) for call in calls}
        plan = plan_collections(
            {
                call: [place for place in held if place in collectors]
                for call, held in choices.items()
            }
        )
        for data_centre, collected in plan.items():
            collection = RemoteCollection(
                self._context, collectors[data_centre], self._route.top_records
            )
            for call in collected:
                collection.add(call, choices[call][data_centre])
            self._collections.append(collection)
            collection.send()
        asked = {call for collected in plan.values() for call in collected}
        return [call for call in calls if call not in asked]

    def _leave_out_congested(self) -> RefusedReason | None:
        """Leave out shards that can't reply in time, up to the number that may be missing.

        If there are more of them, returns why the request gives way to others, if it does.
        """
        congested = [call for call in self._calls if call.is_congested(self._started_at)]
        if len(congested) > self._total - self._required:
            reason = self._context.reason_to_give_way(self._started_at)
            if reason is not None:
                return reason
        self._left_out = congested[: self._total - self._required]
        self._open_count -= len(self._left_out)
        for call in self._left_out:
            self._hedge_at.pop(call)
            call.count_left_out()
        return None

    def _start_left_out(self) -> None:
        """Start calls that were left out, once the others can't supply the required parts."""
        while self._left_out and len(self._parts()) + self._open_count < self._required:
            self._open_count += 1
            self._left_out.pop(0).start()

    def caller_gone(self) -> None:
        """Abandon the query, because the caller has closed its connection."""
        self._is_caller_gone = True
        self._abandon()
        self._wake.set()

    def end(self) -> None:
        """End the wait with the parts that are known now, because this entry is about to exit."""
        self._is_ended = True
        self._wake.set()

    def release(self) -> None:
        """Let go of the calls; there is an outcome."""
        for call in self._calls:
            call.release()
        self._collections = []

    def call_finished(self, call: ServiceCall) -> None:
        """Handle a call that has its part, or will not get one."""
        self._open_count -= 1
        self._hedge_at.pop(call, None)
        self._start_left_out()
        if self._total - self._open_count == self._straggler_threshold:
            self._hedge_stragglers()
            self._wake.set()
        if self._is_finished():
            self._wake.set()

    def _hedge_stragglers(self) -> None:
        """Bring forward the hedges of pending calls, based on the latency of the received parts."""
        # Imported here because an entry that serves no queries over shards doesn't need it.
        from statistics import median  # noqa: PLC0415

        now = self._context.clock.now()
        typical = median(call.expected_latency for call in self._calls if call.is_done)
        for call, due in self._hedge_at.items():
            delay = straggler_hedge_delay(now - self._started_at, call.expected_latency, typical)
            self._hedge_at[call] = min(due, max(now + delay, self._hedge_not_before))

    def _parts(self) -> list[Reply]:
        return [
            call.reply
            for call in self._calls
            if call.reply is not None and call.reply.verdict is Verdict.SUCCESS
        ]

    def _is_finished(self) -> bool:
        if self._open_count == 0 or self._is_caller_gone or self._is_ended:
            return True
        parts = len(self._parts())
        if parts + self._open_count < self._required:
            # The required share is out of reach.
            return True
        if parts < self._required:
            return False
        now = self._context.clock.now()
        # Shards whose upstreams are all unresponsive are not waited for once all others replied.
        return now >= self._partial_at or all(
            call.is_unresponsive(now) for call in self._calls if not call.is_done
        )

    def _wait_until(self, moment: Milliseconds) -> bool:
        """Wait for an event until `moment` at the latest; returns whether the query continues."""
        if self._is_finished():
            return False
        now = self._context.clock.now()
        wake_at = min(moment, self._context.deadline_at)
        if now < self._partial_at:
            wake_at = min(wake_at, self._partial_at)
        self._wake.clear()
        if wake_at > now:
            self._wake.wait((wake_at - now) / SECOND)
        return not self._is_finished()

    def _outcome(self) -> Outcome:
        if self._is_caller_gone:
            return Failed(FailedReason.CALLER_GONE)
        for call in self._calls:
            call.close()
        parts = self._parts()
        if len(parts) >= self._required:
            records = greatest_records((part.body for part in parts), self._route.top_records)
            signatures = tuple(part.signature for part in parts)
            if len(parts) < len(self._calls):
                self._note_missing()
            return Gathered(signatures, len(self._calls) - len(parts), records)
        if not any(call.was_sent or call.may_have_run for call in self._calls):
            self._abandon()
            reason = RefusedReason.STOPPING if self._is_ended else RefusedReason.NO_UPSTREAM
            return Refused(reason, self._retry_after())
        if not any(call.can_have_run for call in self._calls):
            refusal = self._refusal_if_held_back(self._context.clock.now())
            if refusal is not None:
                return refusal
        if self._is_ended:
            self._abandon()
            return Failed(FailedReason.STOPPING, f"{len(parts)} of {self._required} parts")
        if self._open_count and self._context.clock.now() >= self._context.deadline_at:
            return Failed(FailedReason.DEADLINE, f"{len(parts)} of {self._required} parts")
        self._abandon()
        return Failed(FailedReason.PARTS_MISSING, f"{len(parts)} of {self._required} parts")

    def _note_missing(self) -> None:
        context = self._context
        now = context.clock.now()
        context.events.record(
            "parts_missing",
            request=context.request.request_id,
            missing=[call.describe(now) for call in self._calls if call.reply is None],
        )

    def _abandon(self) -> None:
        for call in self._calls:
            call.abandon()
