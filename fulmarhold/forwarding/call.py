"""One request's call of a service: the first attempt, hedges and retries at its upstreams."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING, Protocol

from fulmarhold.forwarding.attempt import FIRST, HEDGE, RETRY, CallAttempt
from fulmarhold.forwarding.records import RECORD_BYTES, greatest_records
from fulmarhold.forwarding.request import FailedReason, RefusedReason, Verdict
from fulmarhold.routing.choice import candidates, timely_local, wanting_first, with_room

if TYPE_CHECKING:
    from collections.abc import Sequence

    from fulmarhold.clock import Milliseconds
    from fulmarhold.forwarding.attempt import Attempt
    from fulmarhold.forwarding.context import CallContext
    from fulmarhold.forwarding.refusals import HeldBack
    from fulmarhold.forwarding.request import Reply
    from fulmarhold.limits.budget import ExtraLoadBudget
    from fulmarhold.routing.replica import Replica

# A replica in another data centre is an alternative to the best one up to this multiple of its
# expected latency: what is gained by asking for many parts together is worth that much time.
REMOTE_CHOICE_FACTOR = 1.5
# A part up to this size is kept as it is until the answer is merged.
KEPT_WHOLE_BYTES = 4_096


class CallOwner(Protocol):
    """Is told when a service call ends."""

    def call_finished(self, call: ServiceCall) -> None: ...


class _NoOwner:
    """Stands for the owner of a call that was released."""

    def call_finished(self, call: ServiceCall) -> None:
        pass


NO_OWNER = _NoOwner()


class ServiceCall:
    """Obtains one reply from a service, with as few attempts as necessary."""

    __slots__ = ("_attempts", "_budget", "_context", "_is_closed", "_owner", "_replicas",
                 "failure", "latency", "may_have_run", "refusal", "reply", "service")  # fmt: skip

    def __init__(
        self,
        service: str,
        replicas: list[Replica],
        budget: ExtraLoadBudget,
        context: CallContext,
        owner: CallOwner,
    ) -> None:
        self.service = service
        self.reply: Reply | None = None
        self.failure: FailedReason | None = None
        self.refusal: RefusedReason | None = None
        self.may_have_run = False
        # How long the upstream took for the reply.
        self.latency: Milliseconds = 0.0
        self._replicas = replicas
        self._budget = budget
        self._context = context
        self._owner = owner
        self._attempts: list[Attempt] = []
        self._is_closed = False

    @property
    def replicas(self) -> list[Replica]:
        return self._replicas

    @property
    def is_done(self) -> bool:
        return self.reply is not None or self.failure is not None or self.refusal is not None

    @property
    def was_sent(self) -> bool:
        """Whether the request was sent to any upstream."""
        return any(attempt.sent_at is not None for attempt in self._attempts)

    @property
    def can_have_run(self) -> bool:
        """Whether any upstream may have run the request, or may still run it."""
        return self.may_have_run or any(attempt.may_have_run for attempt in self._attempts)

    @property
    def expected_latency(self) -> Milliseconds:
        """The usual latency of the first attempt's upstream; zero before an upstream is chosen."""
        return self._attempts[0].replica.latency.value if self._attempts else 0.0

    def held_back(self, now: Milliseconds) -> HeldBack | None:
        """Return which upstream wants work first, if all are held back by what they said."""
        return wanting_first(self._replicas, now)

    def start(self, *, gives_way: bool = False) -> None:
        """Send the first attempt; a call that `gives_way` is refused where room is short."""
        self._budget.earn(1)
        replicas = self._untried()
        if not replicas:
            self._refuse(RefusedReason.NO_UPSTREAM)
        elif gives_way and (reason := self._reason_to_give_way(replicas)) is not None:
            self._refuse(reason)
        else:
            self._send(replicas, FIRST)

    def start_remote(self, attempt: Attempt) -> None:
        """Take an attempt that another entry makes as the first one."""
        self._budget.earn(1)
        self._attempts.append(attempt)
        attempt.replica.note_sent(self._context.clock.now())

    def remote_choices(self, now: Milliseconds) -> dict[str, Replica]:
        """Return the best replica of each other data centre, if the first attempt is to go there.

        None is returned if a replica in this data centre is good enough, and none that is expected
        to take much longer than the best one.
        """
        usable = self._usable(self._untried(), now)
        best = min((item.expected_latency(now) for item in usable), default=0.0)
        chosen: dict[str, Replica] = {}
        for replica in timely_local(usable, now, self._context.useful_until):
            expected = replica.expected_latency(now)
            if replica.is_local:
                if expected <= best:
                    return {}
            elif expected <= REMOTE_CHOICE_FACTOR * best:
                held = chosen.get(replica.upstream.record.data_centre)
                if held is None or expected < held.expected_latency(now):
                    chosen[replica.upstream.record.data_centre] = replica
        return chosen

    def is_congested(self, now: Milliseconds) -> bool:
        """Whether all responsive upstreams already have as much work as they finish in time."""
        return self._are_congested(self._untried(), now)

    def _are_congested(self, replicas: list[Replica], now: Milliseconds) -> bool:
        is_urgent, flow = self._context.is_urgent, self._context.flow
        is_any_responsive = False
        for item in replicas:
            if item.is_responsive(now):
                if item.may_send(now, is_urgent=is_urgent, flow=flow):
                    return False
                is_any_responsive = True
        return is_any_responsive

    def _reason_to_give_way(self, replicas: list[Replica]) -> RefusedReason | None:
        now = self._context.clock.now()
        if self._context.flow is None or not self._are_congested(replicas, now):
            return None
        reason = self._context.reason_to_give_way(now)
        soonest = min(item.expected_latency(now) for item in replicas)
        if reason is None and now + soonest > self._context.deadline_at:
            return RefusedReason.NO_TIME
        return reason

    def count_left_out(self) -> None:
        """Count that the call was left out because its reply would not arrive in time."""
        self._context.counters.add("shards_left_out", reason=RefusedReason.OVERLOADED.value)

    def hedge(self) -> None:
        """Send a second attempt in parallel with an unanswered one, if the budget allows it."""
        context = self._context
        if self.is_done or not context.may_repeat or not self._may_start_another():
            return
        left = [item for item in self._untried() if item.is_responsive(context.clock.now())]
        if not left:
            self._count(HEDGE, "no_replica")
        elif not self._budget.take_unreserved(1):
            self._count(HEDGE, "no_budget")
        else:
            self._send(left, HEDGE)

    def is_unresponsive(self, now: Milliseconds) -> bool:
        """Whether every upstream that could still reply has been unresponsive for long."""
        if self.is_done or any(
            not attempt.is_done and not attempt.replica.is_unresponsive(now)
            for attempt in self._attempts
        ):
            return False
        return not (
            self._may_start_another()
            and any(not item.is_unresponsive(now) for item in self._untried())
        )

    def describe(self, now: Milliseconds) -> str:
        """Return why there is no reply, for events: `service: upstream dark, upstream 40 ms`.

        `dark` marks an unresponsive upstream.
        """
        if self.is_done:
            held = self.held_back(now)
            if held is not None:
                return f"{self.service}: {held[0].upstream.record.name} {held[1].describe()}"
            reason = self.failure or self.refusal
            return f"{self.service}: {reason.value if reason else 'failed'}"
        waiting = ", ".join(
            attempt.describe(now) for attempt in self._attempts if not attempt.is_done
        )
        return f"{self.service}: {waiting or ('abandoned' if self._attempts else 'left out')}"

    def close(self) -> None:
        """Send no more attempts: the request has its outcome. Those already sent may finish."""
        self._is_closed = True
        for attempt in self._attempts:
            attempt.close()

    def abandon(self) -> None:
        """Abandon all attempts, so that upstreams stop work whose result is no longer needed."""
        self._is_closed = True
        for attempt in self._attempts:
            attempt.abandon()

    def release(self) -> None:
        """Let go of everything that the closed call refers to.

        Calls, their owners and attempts refer to each other. Without this, replies and requests
        would stay in memory until the garbage collector finds them.
        """
        self._is_closed = True
        self._attempts = []
        self._owner = NO_OWNER
        self.reply = None

    # Callbacks of the attempts

    def note_latency(self, latency: Milliseconds) -> None:
        """Record how long an upstream took for a successful reply."""
        self.latency = latency
        self._context.replies.note_latency(latency)

    def collected(self, attempt: Attempt, reply: Reply) -> None:
        """Handle a part from a collector, which wins over one from another attempt.

        Its records are merged with those of other shards and can't be left out alone.
        """
        if self._is_closed:
            return
        if self.is_done:
            self.reply = self._keep(reply)
        else:
            self.attempt_replied(attempt, reply)

    def declined(self, attempt: Attempt) -> None:
        """Go on as if the attempt had not been made: the collector sent nothing."""
        if self.is_done or self._is_closed:
            return
        self._attempts.remove(attempt)
        self._retry_or_finish(RefusedReason.UNREACHABLE, None, None)

    def attempt_replied(self, attempt: Attempt, reply: Reply) -> None:
        """Handle a complete response to this request."""
        if self.is_done or self._is_closed:
            return
        reply = self._keep(reply)
        match reply.verdict:
            case Verdict.SUCCESS:
                self.reply = reply
                if attempt.kind != FIRST:
                    self._count(attempt.kind, "won")
                self._owner.call_finished(self)
            case Verdict.NOT_RUN | Verdict.OTHER_OWNER:
                attempt.may_have_run = False
                self._retry_or_finish(RefusedReason.UPSTREAMS_FULL, None, reply)
            case _:
                self.may_have_run = True
                if reply.reads_as_not_run:
                    self._report_withheld(attempt, reply)
                    self._retry_or_finish(None, FailedReason.UPSTREAM_ERROR, None)
                else:
                    self._retry_or_finish(None, FailedReason.UPSTREAM_ERROR, reply)

    def attempt_failed(self, attempt: Attempt, reason: str) -> None:
        """Handle an attempt that ended without a usable response."""
        if self.is_done or self._is_closed:
            return
        if attempt.may_have_run:
            self.may_have_run = True
            self._retry_or_finish(None, FailedReason.CONNECTION_LOST, None)
        else:
            self._retry_or_finish(RefusedReason.UNREACHABLE, None, None)

    def _keep(self, reply: Reply) -> Reply:
        """Account for a reply until the request has its outcome; returns what has to be kept."""
        context = self._context
        size = len(reply.body)
        if size > KEPT_WHOLE_BYTES and 0 < context.top_records * RECORD_BYTES < size:
            reply = replace(reply, body=greatest_records((reply.body,), context.top_records))
        if context.held is not None:
            context.held.grow(len(reply.body))
        return reply

    def _retry_or_finish(
        self, refusal: RefusedReason | None, failure: FailedReason | None, reply: Reply | None
    ) -> None:
        """Try another upstream if that is allowed and useful; otherwise end the call."""
        context = self._context
        if any(not attempt.is_done for attempt in self._attempts):
            return
        is_final = reply is not None and reply.verdict is Verdict.FAILURE and reply.status < 500
        may_repeat = context.may_repeat or not self.may_have_run
        if may_repeat and not is_final and context.clock.now() < context.deadline_at:
            left = self._untried()
            is_extra = any(attempt.sent_at is not None for attempt in self._attempts)
            if left and self._may_start_another():
                if not is_extra or self._budget.take(1):
                    self._send(left, RETRY if self._attempts else FIRST)
                    return
                self._count(RETRY, "no_budget")
        if self.may_have_run:
            if reply is not None and reply.verdict is Verdict.FAILURE:
                self.reply = reply
            else:
                self.failure = failure or FailedReason.CONNECTION_LOST
            self._owner.call_finished(self)
        else:
            self._refuse(refusal or RefusedReason.UNREACHABLE)

    def _refuse(self, reason: RefusedReason) -> None:
        self.refusal = reason
        self._owner.call_finished(self)

    def _may_start_another(self) -> bool:
        """Whether the route allows one more attempt, should all that are pending be run."""
        counted = [item for item in self._attempts if item.may_have_run or not item.is_done]
        return len(counted) < self._context.most_attempts

    def _untried(self) -> list[Replica]:
        tried = [attempt.replica for attempt in self._attempts]
        return candidates(self._replicas, tried, self._context.clock.now())

    def _send(self, replicas: list[Replica], kind: str) -> None:
        context = self._context
        now = context.clock.now()
        usable = self._usable(replicas, now)
        if kind == FIRST:
            usable = timely_local(usable, now, context.useful_until)
        replica = context.choose(usable, context.random, now)
        attempt = CallAttempt(self, context, replica, kind)
        self._attempts.append(attempt)
        if kind != FIRST:
            self._count(kind, "sent")
            context.events.record(
                kind,
                request=context.request.request_id,
                service=self.service,
                upstream=replica.upstream.record.name,
                after_ms=now - context.request.received_at,
            )
        replica.note_sent(now)
        replica.pool.submit(attempt)

    def _usable(self, replicas: list[Replica], now: Milliseconds) -> Sequence[Replica]:
        """Return the replicas that reply and have room, or what comes nearest to that."""
        responsive = [item for item in replicas if item.is_responsive(now)] or replicas
        is_urgent = self._context.is_urgent
        flow = self._context.flow
        usable = [item for item in responsive if item.may_send(now, is_urgent=is_urgent, flow=flow)]
        return with_room(usable or responsive, now)

    def _report_withheld(self, attempt: Attempt, reply: Reply) -> None:
        """Report a reply that callers must not see, since the request may have run."""
        self._context.counters.add("replies_withheld", status=str(reply.status))
        self._context.events.record(
            "reply_withheld",
            request=self._context.request.request_id,
            service=self.service,
            upstream=attempt.replica.upstream.record.name,
            kind=attempt.kind,
            status=reply.status,
            may_repeat=self._context.may_repeat,
        )

    def _count(self, kind: str, result: str) -> None:
        self._context.counters.add("extra_attempts", kind=kind, result=result)
