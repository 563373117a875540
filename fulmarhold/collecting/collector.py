"""The collector's side: sends one request to upstreams beside it and merges their parts."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Protocol

import gevent

from fulmarhold.clock import SECOND, Milliseconds
from fulmarhold.collecting.messages import (
    CollectedParts,
    CollectParts,
    Decline,
    HeldBackUpstream,
    Unserved,
)
from fulmarhold.forwarding.call import ServiceCall
from fulmarhold.forwarding.context import CallContext
from fulmarhold.forwarding.records import greatest_records
from fulmarhold.forwarding.request import ForwardRequest, Verdict, account_owners
from fulmarhold.forwarding.shard_timing import STRAGGLER_SHARE, straggler_hedge_delay
from fulmarhold.limits.budget import ExtraLoadBudget
from fulmarhold.limits.memory import Holder
from fulmarhold.observe.estimates import ReplyEstimates
from fulmarhold.routing.availability import Reason
from fulmarhold.routing.choice import choosers

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Iterator
    from random import Random

    from fulmarhold.clock import Clock
    from fulmarhold.forwarding.codec import UpstreamCodec
    from fulmarhold.limits.memory import MemoryBudget
    from fulmarhold.limits.sharing import FairShares
    from fulmarhold.observe.counters import Counters
    from fulmarhold.observe.events import EventLog
    from fulmarhold.routing.replica import Replica
    from fulmarhold.wire.server import MessageServer, StreamReplies

# The way back to the asking entry, between data centres, and wake-up delays on both sides.
DELIVERY_RESERVE: Milliseconds = 10.0
# Parts that arrive after the first reply wait this long for others, to share a reply.
LATE_REPLY_DELAY: Milliseconds = 5.0
DECLINES = {
    Reason.LEAVING: Decline.LEAVING,
    Reason.PAUSED: Decline.PAUSED,
    Reason.COLD: Decline.COLD,
    Reason.EJECTED: Decline.EJECTED,
    Reason.UNRESPONSIVE: Decline.UNRESPONSIVE,
    Reason.AT_LIMIT: Decline.CONGESTED,
}
# A collector sends each request to the one upstream that it was asked for; the asking entry, which
# knows all attempts of the query, decides on hedges and retries.
ATTEMPTS = 1


class ReplicaTable(Protocol):
    """The upstreams that serve."""

    def find(self, name: str) -> Replica | None: ...

    def is_evacuated(self, name: str) -> bool: ...


class CollectorService:
    """Answers the requests of other entries for parts of upstreams beside this one."""

    def __init__(
        self,
        table: ReplicaTable,
        codec: UpstreamCodec,
        clock: Clock,
        random: Random,
        counters: Counters,
        events: EventLog,
        memory: MemoryBudget | None = None,
        shares: FairShares | None = None,
    ) -> None:
        self._shares = shares
        self._table = table
        self._memory = memory
        self._codec = codec
        self._clock = clock
        self._random = random
        self._counters = counters
        self._events = events
        self._open: set[PartCollector] = set()
        self._is_stopping = False

    @property
    def in_flight(self) -> int:
        """The number of requests whose parts are not all collected."""
        return len(self._open)

    def register(self, server: MessageServer) -> None:
        """Answer the requests that arrive at `server`."""
        server.handle_stream(CollectParts, self.open)

    def decline_all(self) -> None:
        """Decline all further requests, because this entry is about to stop."""
        self._is_stopping = True

    def end_all(self) -> None:
        """End the open requests with what is collected, because this entry stops now."""
        for collector in list(self._open):
            collector.end_early()

    def open(self, request: CollectParts, replies: StreamReplies) -> PartCollector:
        """Start to collect the parts of one request."""
        now = self._clock.now()
        forwarded = ForwardRequest(
            request.request_id,
            request.method,
            request.target,
            "",
            request.headers,
            request.body,
            now,
            now + request.left,
            owners=account_owners(request.account),
            account=request.account,
        )
        context = CallContext(
            forwarded,
            self._codec,
            now + request.left,
            may_repeat=True,
            most_attempts=ATTEMPTS,
            choose=choosers.find("least_expected"),
            replies=ReplyEstimates(0.5, request.useful_for),
            clock=self._clock,
            random=self._random,
            counters=self._counters,
            events=self._events,
            useful_until=now + request.useful_for,
            is_urgent=request.is_urgent,
            top_records=request.top_records,
            flow=(self._shares.flow(request.account, request.rank, now) if self._shares else None),
            held=self._memory.open_fixed(Holder.REPLY, forwarded.owners) if self._memory else None,
            find_upstream=self._table.find,
        )
        targets = [self._find_target(name) for name in request.upstreams]
        collector = PartCollector(context, targets, request.top_records, replies, self._open)
        collector.start(is_stopping=self._is_stopping)
        return collector

    def _find_target(self, name: str) -> Replica | Decline:
        replica = self._table.find(name)
        if replica is not None:
            return replica
        return Decline.EVACUATED if self._table.is_evacuated(name) else Decline.UNKNOWN


class PartCollector:
    """Collects the parts of one request and replies with them in as few messages as is timely."""

    def __init__(
        self,
        context: CallContext,
        targets: list[Replica | Decline],
        top_records: int,
        replies: StreamReplies,
        open_collectors: set[PartCollector],
    ) -> None:
        self._context = context
        self._targets = targets
        self._top_records = top_records
        self._replies = replies
        self._open_collectors = open_collectors
        self._started_at = context.clock.now()
        self._reply_by = context.useful_until - DELIVERY_RESERVE
        self._threshold = math.ceil(STRAGGLER_SHARE * len(targets))
        self._calls: dict[ServiceCall, int] = {}
        self._unsent: list[ServiceCall] = []
        self._unserved: list[tuple[int, str, str]] = []
        self._finished_count = 0
        self._is_starting = True
        self._timer: gevent.Greenlet | None = None
        self._timers: list[gevent.Greenlet] = []

    @property
    def _is_open(self) -> bool:
        return self in self._open_collectors

    def start(self, *, is_stopping: bool) -> None:
        """Send the request to the upstreams that are fit for it, and decline the others."""
        context = self._context
        now = self._started_at
        for position, target in enumerate(self._targets):
            if is_stopping:
                self._decline(position, Decline.STOPPING)
            elif isinstance(target, Decline):
                self._decline(position, target)
            elif (reason := _reason_to_decline(target, context, now)) is not None:
                self._decline(position, reason)
            else:
                service = target.upstream.record.service
                # The asking entry accounts for the extra load; no attempt here is an extra one.
                budget = ExtraLoadBudget(0.0, 0)
                self._calls[ServiceCall(service, [target], budget, context, self)] = position
        self._open_collectors.add(self)
        for call in list(self._calls):
            call.start()
        self._is_starting = False
        if self._unserved or self._finished_count == len(self._calls):
            # The asking entry tries other upstreams, which should not wait for these parts.
            self._reply()
        if self._is_open:
            self._arm(self._reply_by, self._reply)
            self._arm(context.deadline_at, self._end)

    def call_finished(self, call: ServiceCall) -> None:
        """Handle a call that has its part, or will not get one."""
        if not self._is_open:
            return
        self._finished_count += 1
        reply = call.reply
        if reply is not None and reply.verdict is Verdict.SUCCESS:
            self._unsent.append(call)
        else:
            self._unserved.append((self._calls[call], *_describe_failure(call)))
        if not self._is_starting:
            self._schedule_reply()

    def cancel(self, *, keep_work: bool) -> None:
        """Send no more replies, because the asking entry needs none."""
        if not self._is_open:
            return
        if not keep_work:
            for call in self._calls:
                call.abandon()
        self._end()

    def end_early(self) -> None:
        """Send the parts that have arrived, and name the others, as the last reply."""
        if not self._is_open:
            return
        open_calls = [call for call in self._calls if not call.is_done]
        for call in open_calls:
            kind = Unserved.FAILED if call.was_sent else Unserved.DECLINED
            self._unserved.append((self._calls[call], kind.value, Decline.STOPPING.value))
        self._finished_count = len(self._calls)
        for call in open_calls:
            call.abandon()
        self._reply()

    def _decline(self, position: int, reason: Decline) -> None:
        self._unserved.append((position, Unserved.DECLINED.value, reason.value))
        self._context.counters.add("collections_declined", reason=reason.value)

    def _schedule_reply(self) -> None:
        now = self._context.clock.now()
        if self._finished_count == len(self._calls) or self._unserved:
            self._reply()
        elif self._timer is None and now >= self._reply_by:
            self._timer = self._arm(now + LATE_REPLY_DELAY, self._reply)
        elif self._timer is None and self._finished_count >= self._threshold:
            delay = straggler_hedge_delay(now - self._started_at, 0.0, 0.0)
            self._timer = self._arm(now + delay, self._reply)

    def _reply(self) -> None:
        """Send what has arrived since the last reply, if anything has."""
        self._timer = None
        is_last = self._finished_count == len(self._calls)
        calls, self._unsent = self._unsent, []
        unserved, self._unserved = self._unserved, []
        if not calls and not unserved:
            return
        replies = [call.reply for call in calls if call.reply is not None]
        parts = tuple(
            (self._calls[call], reply.signature, round(call.latency))
            for call, reply in zip(calls, replies, strict=True)
        )
        records = greatest_records((reply.body for reply in replies), self._top_records)
        positions = [item[0] for item in (*parts, *unserved)]
        signals = tuple(self._signals(positions))
        if is_last:
            self._end()
        self._replies.send(
            CollectedParts(parts, records, tuple(unserved), is_last, signals), is_last=is_last
        )

    def _signals(self, positions: Iterable[int]) -> Iterator[HeldBackUpstream]:
        """Yield which upstreams leave or pause, as their answers have said."""
        now = self._context.clock.now()
        for position in positions:
            target = self._targets[position]
            if isinstance(target, Decline) or target.signals.is_clear:
                continue
            held = target.held_back(now, is_admitted=True)
            left = 0.0 if held.until is None else held.until - now
            if held.reason in (Reason.LEAVING, Reason.PAUSED):
                born = target.upstream.record.incarnation
                yield HeldBackUpstream(position, born, held.reason.value, left, held.source)

    def _end(self) -> None:
        self._open_collectors.discard(self)
        self._replies.end()
        for call in self._calls:
            call.close()
            call.release()
        if self._context.held is not None:
            self._context.held.release()
        own = gevent.getcurrent()
        for timer in self._timers:
            if timer is not own:
                timer.kill(block=False)

    def _arm(self, moment: Milliseconds, action: Callable[[], None]) -> gevent.Greenlet:
        delay = max(0.0, moment - self._context.clock.now())
        timer = gevent.spawn_later(delay / SECOND, action)
        self._timers.append(timer)
        return timer


def _reason_to_decline(replica: Replica, context: CallContext, now: Milliseconds) -> Decline | None:
    """Return why no request should be sent to an upstream now, if there is a reason."""
    reason = replica.availability(now, is_urgent=context.is_urgent, flow=context.flow).reason
    return None if reason is None else DECLINES.get(reason, Decline.UNKNOWN)


def _describe_failure(call: ServiceCall) -> tuple[str, str]:
    if call.may_have_run:
        kind = Unserved.FAILED
    else:
        kind = Unserved.NOT_RUN if call.was_sent else Unserved.DECLINED
    reason = call.failure or call.refusal
    return kind.value, reason.value if reason else "upstream_failure"
