"""Attempts of a call, each at one upstream."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

from fulmarhold.forwarding.request import Verdict
from fulmarhold.forwarding.signals import note_reply_signals
from fulmarhold.upstreams.channel import SHARE_USED
from fulmarhold.upstreams.pool import CONNECT_REFUSED

if TYPE_CHECKING:
    from fulmarhold.clock import Milliseconds
    from fulmarhold.forwarding.context import CallContext
    from fulmarhold.forwarding.request import Reply
    from fulmarhold.limits.sharing import Flow
    from fulmarhold.routing.replica import Replica
    from fulmarhold.upstreams.protocol import UpstreamResponse

FIRST, HEDGE, RETRY = "first", "hedge", "retry"


class Attempt(Protocol):
    """One attempt of a call, made by this entry or by another one for it."""

    replica: Replica
    kind: str
    sent_at: Milliseconds | None
    is_done: bool
    may_have_run: bool

    def describe(self, now: Milliseconds) -> str:
        """Return the upstream and how long its reply is pending."""

    def close(self) -> None:
        """End the attempt if it was not sent; otherwise it may finish."""

    def abandon(self) -> None:
        """Cancel the attempt, so that the upstream stops work that is no longer needed."""


class AttemptOwner(Protocol):
    """Makes attempts and is told how they end."""

    @property
    def service(self) -> str: ...

    def note_latency(self, latency: Milliseconds) -> None: ...

    def attempt_replied(self, attempt: Attempt, reply: Reply) -> None: ...

    def attempt_failed(self, attempt: Attempt, reason: str) -> None: ...


class CallAttempt:
    """One attempt of a call at one upstream; implements the exchange of its connection pool."""

    __slots__ = ("_call", "_context", "is_done", "kind", "may_have_run", "replica", "sent_at")

    def __init__(
        self, call: AttemptOwner, context: CallContext, replica: Replica, kind: str
    ) -> None:
        self._call = call
        self._context = context
        self.replica = replica
        self.kind = kind
        self.sent_at: Milliseconds | None = None
        self.is_done = False
        self.may_have_run = False

    @property
    def expires_at(self) -> Milliseconds:
        return self._context.deadline_at

    @property
    def memory_owners(self) -> tuple[str, ...]:
        return self._context.request.owners

    @property
    def flow(self) -> Flow | None:
        return self._context.flow

    def may_send(self) -> bool:
        """Whether the attempt is still needed and in time, and its upstream not held back."""
        now = self._context.clock.now()
        if self.is_done or now >= self._context.deadline_at:
            return False
        return self.replica.held_back(now, is_admitted=True).reason is None

    def encode(self) -> bytes:
        """Return the bytes of the request; called at the moment of sending."""
        context = self._context
        self.sent_at = context.clock.now()
        self.may_have_run = True
        if context.flow is not None:
            context.flow.note_sent(self.sent_at)
        self.replica.note_transmitted(self.sent_at)
        left = context.deadline_at - self.sent_at
        return context.codec.encode(context.prepared, self.replica.upstream.record.name, left)

    def describe(self, now: Milliseconds) -> str:
        """Return the upstream and how long its reply is pending, or that it is unresponsive."""
        name = self.replica.upstream.record.name
        if self.replica.is_unresponsive(now):
            return f"{name} dark"
        return f"{name} {now - self.sent_at:.0f} ms" if self.sent_at else f"{name} not sent"

    def close(self) -> None:
        """End the attempt if it was not sent; otherwise it may finish."""
        if self.sent_at is None:
            self.abandon()

    def abandon(self) -> None:
        """Cancel the attempt and close its connection, which tells the upstream to stop."""
        if not self.is_done:
            self.is_done = True
            self.replica.pool.withdraw(self)

    def completed(self, response: UpstreamResponse) -> bool:
        """Handle the response; returns whether the connection may be reused."""
        context = self._context
        now = context.clock.now()
        reply = context.codec.read(response, context.request.request_id)
        self.replica.note_reply()
        note_reply_signals(self.replica, reply, context)
        if reply.warm_up and not reply.sender:
            self.replica.note_cold(reply.warm_up, now)
        if reply.verdict is Verdict.WRONG_ECHO:
            self._report_failure("wrong_echo", response.status, now)
            self._note_failure(now)
            self._fail("wrong_echo")
            return False
        elapsed = now - (self.sent_at or now)
        if self.kind == FIRST and self.sent_at is not None and not reply.is_pausing:
            useful_for = context.useful_until - self.sent_at
            # An upstream that refuses requests as full counts as late, however quickly it does.
            waited = useful_for + elapsed if reply.verdict is Verdict.NOT_RUN else elapsed
            self.replica.concurrency.note_reply(waited, useful_for, self.replica.pool.load + 1, now)
        if reply.verdict is Verdict.SUCCESS:
            self.replica.note_success(elapsed, now)
            self._call.note_latency(elapsed)
            context.replies.note_size(len(reply.body))
        elif reply.verdict is Verdict.OTHER_OWNER:
            self.replica.note_superseded(now)
        elif (reply.status >= 500 or reply.verdict is Verdict.NOT_RUN) and not reply.is_pausing:
            self._note_failure(now)
        if reply.shows_service:
            self.replica.signals.note_good_answer(now - elapsed, now)
        if reply.verdict is not Verdict.SUCCESS:
            self._report_failure(reply.verdict.value, response.status, now)
        if not self.is_done:
            self.is_done = True
            self._call.attempt_replied(self, reply)
        return True

    def failed(self, reason: str, *, sent: bool) -> None:
        """Handle the failure of the request."""
        now = self._context.clock.now()
        if reason == CONNECT_REFUSED:
            self.replica.note_unreachable(now)
        elif sent and not self.is_done and reason != SHARE_USED:
            self._note_failure(now)
        if not self.is_done:
            self._report_failure(reason, 0, now)
        self._fail(reason)

    def _fail(self, reason: str) -> None:
        if not self.is_done:
            self.is_done = True
            self._call.attempt_failed(self, reason)

    def _note_failure(self, now: Milliseconds) -> None:
        if self.replica.note_failure(now):
            self._context.events.record(
                "upstream_ejected",
                request=self._context.request.request_id,
                service=self._call.service,
                upstream=self.replica.upstream.record.name,
                for_ms=self.replica.ejected_until - now,
            )

    def _report_failure(self, result: str, status: int, now: Milliseconds) -> None:
        self._context.counters.add("attempts_failed", reason=result)
        self._context.events.record(
            "attempt_failed",
            request=self._context.request.request_id,
            service=self._call.service,
            upstream=self.replica.upstream.record.name,
            kind=self.kind,
            result=result,
            status=status,
            sent=self.sent_at is not None,
            elapsed_ms=now - (self.sent_at or now),
        )
