"""The asking entry's side: the parts that a query gets through one collector."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, Protocol

from fulmarhold.collecting.messages import (
    CollectedParts,
    CollectParts,
    Decline,
    HeldBackUpstream,
    Unserved,
)
from fulmarhold.forwarding.attempt import FIRST
from fulmarhold.forwarding.request import Reply, Verdict
from fulmarhold.forwarding.signals import note_leaving, note_pause
from fulmarhold.routing.availability import Reason
from fulmarhold.routing.replica import UNRESPONSIVE_AFTER

if TYPE_CHECKING:
    from fulmarhold.clock import Milliseconds
    from fulmarhold.forwarding.call import ServiceCall
    from fulmarhold.forwarding.context import CallContext
    from fulmarhold.routing.replica import Replica
    from fulmarhold.wire.client import StreamReceiver

COLLECTOR_LOST = "collector lost"
COLLECTED_STATUS = 200
NOT_RUN_STATUS = 503


class OpenStream(Protocol):
    """A request to a collector that may still be replied to."""

    def cancel(self, *, keep_work: bool) -> None: ...


class Collector(Protocol):
    """A connected collector."""

    @property
    def name(self) -> str: ...

    def ask(self, request: CollectParts, receiver: StreamReceiver) -> OpenStream:
        """Send a request; its replies, or the loss of the connection, go to `receiver`."""


class RemoteCollection:
    """One request to a collector, for the parts of several shards of one query."""

    def __init__(self, context: CallContext, collector: Collector, top_records: int) -> None:
        self._context = context
        self._collector = collector
        self._top_records = top_records
        self._attempts: list[RemoteAttempt] = []
        self._stream: OpenStream | None = None
        self._sent_at: Milliseconds = 0.0
        self._has_replied = False

    @property
    def collector_name(self) -> str:
        return self._collector.name

    def add(self, call: ServiceCall, replica: Replica) -> None:
        """Collect the part of a call from `replica`; before `send`."""
        attempt = RemoteAttempt(self, call, replica, self._context.clock.now())
        self._attempts.append(attempt)
        call.start_remote(attempt)

    def send(self) -> None:
        """Send the request to the collector."""
        context = self._context
        request = context.request
        self._sent_at = context.clock.now()
        self._stream = self._collector.ask(
            CollectParts(
                request.request_id,
                request.method,
                request.target,
                request.headers,
                request.body,
                tuple(attempt.replica.upstream.record.name for attempt in self._attempts),
                self._top_records,
                context.deadline_at - self._sent_at,
                max(0.0, context.useful_until - self._sent_at),
                context.is_urgent,
                request.account,
                context.flow.rank if context.flow is not None else 0,
            ),
            self,
        )

    def finish(self) -> None:
        """Take no more parts, because the query has its answer; upstreams may finish their work."""
        self._cancel(keep_work=True)

    def abandon(self) -> None:
        """Have the upstreams stop work whose result is no longer needed."""
        self._cancel(keep_work=False)

    def _cancel(self, *, keep_work: bool) -> None:
        stream, self._stream = self._stream, None
        if stream is None:
            return
        stream.cancel(keep_work=keep_work)
        now = self._context.clock.now()
        for attempt in self._attempts:
            attempt.end_without_reply(now, is_known_to_wait=self._has_replied)

    # Called by the connection to the collector

    def replied(self, value: Any) -> bool:
        """Pass the parts of one reply on; returns whether more are expected."""
        if not isinstance(value, CollectedParts) or not self._are_known(value):
            self.lost(f"unexpected reply {value!r:.80}")
            return False
        self._has_replied = True
        for signal in value.signals:
            self._apply(signal)
        now = self._context.clock.now()
        slowest = max((latency for _, _, latency in value.parts), default=0)
        # The way to the collector and back, and its wait for the slowest of the parts.
        overhead = max(0.0, now - self._sent_at - slowest)
        records = value.records
        for position, signature, latency in value.parts:
            # The records of all parts of a reply are merged: the first part stands for all.
            self._attempts[position].replied(signature, records, latency + overhead, now)
            records = b""
        for position, kind, reason in value.unserved:
            self._attempts[position].unserved(Unserved(kind), reason, now)
        if value.is_last:
            self._stream = None
        return not value.is_last

    def _apply(self, signal: HeldBackUpstream) -> None:
        """Hold back an upstream that has told the collector that it leaves or pauses."""
        replica = self._attempts[signal.position].replica
        if replica.upstream.record.incarnation != signal.born:
            return
        via = self.collector_name
        if signal.reason == Reason.LEAVING.value:
            note_leaving(replica, signal.source, self._context, via)
        elif signal.reason == Reason.PAUSED.value:
            note_pause(replica, signal.left, signal.source, self._context, via)

    def _are_known(self, value: CollectedParts) -> bool:
        positions = [item[0] for item in (*value.parts, *value.unserved)]
        positions += [item.position for item in value.signals]
        return all(0 <= position < len(self._attempts) for position in positions)

    def lost(self, reason: str) -> None:
        """Fail the attempts without a reply: the connection to the collector is lost."""
        self._stream = None
        now = self._context.clock.now()
        self._context.counters.add("collections_lost")
        self._context.events.record(
            "collection_lost",
            request=self._context.request.request_id,
            collector=self._collector.name,
            reason=reason,
            elapsed_ms=now - self._sent_at,
        )
        for attempt in self._attempts:
            attempt.lost(now)


class RemoteAttempt:
    """The first attempt of a call, made by a collector."""

    __slots__ = ("_call", "_collection", "is_done", "kind", "may_have_run", "replica", "sent_at")

    def __init__(
        self,
        collection: RemoteCollection,
        call: ServiceCall,
        replica: Replica,
        sent_at: Milliseconds,
    ) -> None:
        self._collection = collection
        self._call = call
        self.replica = replica
        self.kind = FIRST
        self.sent_at: Milliseconds | None = sent_at
        self.may_have_run = True
        self.is_done = False

    def describe(self, now: Milliseconds) -> str:
        """Return the upstream, the collector, and how long its part is pending."""
        waited = now - (self.sent_at or now)
        name = self.replica.upstream.record.name
        return f"{name} via {self._collection.collector_name} {waited:.0f} ms"

    def close(self) -> None:
        """Do nothing: the attempt is sent, and may finish."""

    def abandon(self) -> None:
        """Abandon the attempt; a query abandons all of a collection at once."""
        self._collection.abandon()

    def end_without_reply(self, now: Milliseconds, *, is_known_to_wait: bool) -> None:
        """Handle that no reply will be taken, which says little about the upstream.

        It counts as unresponsive only if the collector waits for it alone, and for long.
        """
        if self.is_done:
            return
        self.is_done = True
        if not (is_known_to_wait and now - (self.sent_at or now) > UNRESPONSIVE_AFTER):
            self.replica.note_reply()

    def replied(
        self, signature: str, records: bytes, latency: Milliseconds, now: Milliseconds
    ) -> None:
        """Handle the part; `records` holds those of all parts of its reply, or nothing."""
        if self.is_done:
            return
        self.is_done = True
        self.replica.note_reply()
        self.replica.note_success(latency, now)
        self.replica.signals.note_good_answer(self.sent_at or now, now)
        self._call.note_latency(latency)
        reply = Reply(Verdict.SUCCESS, COLLECTED_STATUS, (), records, signature)
        self._call.collected(self, reply)

    def unserved(self, kind: Unserved, reason: str, now: Milliseconds) -> None:
        """Handle that the collector has no part of this upstream."""
        if self.is_done:
            return
        self.is_done = True
        self.replica.note_reply()
        match kind:
            case Unserved.DECLINED:
                self._declined(reason, now)
            case Unserved.NOT_RUN:
                self._note_failure(now)
                self._call.attempt_replied(
                    self, Reply(Verdict.NOT_RUN, NOT_RUN_STATUS, (), b"", "")
                )
            case Unserved.FAILED:
                self._note_failure(now)
                self._call.attempt_failed(self, reason)

    def _note_failure(self, now: Milliseconds) -> None:
        if not self.replica.signals.is_paused(now):
            self.replica.note_failure(now)

    def _declined(self, reason: str, now: Milliseconds) -> None:
        self.sent_at, self.may_have_run = None, False
        if reason in (Decline.UNKNOWN.value, Decline.STOPPING.value, Decline.COLD.value):
            # That is about the collector, and this entry may send the request itself.
            self._call.declined(self)
            return
        if reason in (Decline.LEAVING.value, Decline.PAUSED.value):
            # This entry must not ask it either, and it is not in ill health.
            self._call.attempt_failed(self, reason)
            return
        # The next queries ask another upstream for a moment.
        self.replica.note_unreachable(now)
        if reason in (Decline.CONGESTED.value, Decline.EVACUATED.value):
            # One more request would be late, or must not be sent, from here too.
            self._call.attempt_failed(self, reason)
        else:
            self._call.declined(self)

    def lost(self, now: Milliseconds) -> None:
        """Handle the loss of the collector, which says nothing about the upstream."""
        if self.is_done:
            return
        self.is_done = True
        self.replica.note_reply()
        self._call.attempt_failed(self, COLLECTOR_LOST)
