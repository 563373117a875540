"""Runs a non-idempotent request at most once, across all entry instances.

The idempotency key is claimed in control's replicated log before the request is sent to one
upstream, so the claim survives a crash of this entry. A request whose key is claimed by another
attempt is never dispatched.
"""

from __future__ import annotations

import json
import uuid
from dataclasses import dataclass
from random import Random
from typing import TYPE_CHECKING

import gevent
import xxhash
from gevent.event import AsyncResult

from fulmarhold.clock import SECOND
from fulmarhold.control.identifiers import identifier_time
from fulmarhold.control.messages import (
    ClaimGranted,
    ClaimHeld,
    ClaimKey,
    ClaimRefused,
    SettleKey,
)
from fulmarhold.errors import PeerUnavailable
from fulmarhold.gather.outcome import (
    Answered,
    Coverage,
    MissingReason,
    NotRun,
    NotRunReason,
    Outcome,
    Refused,
    Snapshot,
    Unknown,
    UnknownReason,
)
from fulmarhold.gather.query import choose_snapshot
from fulmarhold.gather.subrequest import Attempt, AttemptKind
from fulmarhold.observe.logs import get_logger
from fulmarhold.routing.choice import candidates, with_room
from fulmarhold.upstreams.protocol import Part, RequestTemplate

if TYPE_CHECKING:
    from fulmarhold.clock import Clock, Milliseconds
    from fulmarhold.control.client import ControlClient
    from fulmarhold.gather.scatter import Policy
    from fulmarhold.membership.directory import Directory
    from fulmarhold.observe.counters import Counters
    from fulmarhold.routing.replica import Replica
    from fulmarhold.routing.table import RoutingTable, SnapshotReplicas

log = get_logger("effects")

SETTLE_TIMEOUT: Milliseconds = 30_000.0
# How long before the deadline the wait for a claim ends, so that time is left for the dispatch.
DISPATCH_RESERVE: Milliseconds = 10.0
MAX_SHED_RETRIES = 2


class EffectRunner:
    """Claims, dispatches and settles non-idempotent requests."""

    def __init__(
        self,
        name: str,
        table: RoutingTable,
        directory: Directory,
        control: ControlClient,
        clock: Clock,
        counters: Counters,
    ) -> None:
        self._name = name
        self._table = table
        self._control = control
        self._clock = clock
        self._counters = counters
        self._context = _DispatchContext(clock, counters, directory, Random())
        self._settle_greenlets: set[gevent.Greenlet] = set()

    @property
    def pending_settlements(self) -> int:
        """The number of outcomes that control has not recorded yet."""
        return len(self._settle_greenlets)

    def run(
        self,
        request_type: str,
        key: str,
        shard_key: str,
        body: bytes,
        policy: Policy,
        deadline_at: Milliseconds,
        claim_timeout: Milliseconds,
    ) -> Outcome:
        """Return the outcome; raises `Refused` when the request was not run."""
        if identifier_time(key) is None:
            raise Refused(NotRunReason.KEY_INVALID, "Idempotency-Key must be a UUID version 7")
        service = policy.service.name
        snapshot = choose_snapshot(self._table.snapshots(service), self._clock.now())
        shard = xxhash.xxh64_intdigest((shard_key or key).encode()) % snapshot.total
        attempt_id = uuid.uuid4().hex
        digest = request_digest(service, request_type, shard_key, body)
        held = self._claim(key, digest, attempt_id, deadline_at, claim_timeout)
        if held is not None:
            return _earlier_outcome(held)
        template = RequestTemplate(service, request_type, body, key)
        outcome = _Dispatch(
            self._context, template, snapshot, shard, attempt_id, policy, deadline_at
        ).run()
        self._settle_in_background(key, attempt_id, outcome)
        return outcome

    def await_settled(self, timeout: Milliseconds) -> None:
        """Wait until control has recorded the outcomes so far; used for a graceful stop."""
        gevent.joinall(list(self._settle_greenlets), timeout=timeout / SECOND)

    def _claim(
        self,
        key: str,
        digest: str,
        attempt_id: str,
        deadline_at: Milliseconds,
        claim_timeout: Milliseconds,
    ) -> ClaimHeld | None:
        """Claim the key; returns `None` on success, or else the attempt that already holds it."""
        unanswered = self._control.unanswered_for
        if unanswered > claim_timeout:
            # Refused without a call: the periodic syncs notice when control answers again.
            raise Refused(
                NotRunReason.CLAIM_UNAVAILABLE, f"no leader has answered for {unanswered:.0f} ms"
            )
        remaining = deadline_at - DISPATCH_RESERVE - self._clock.now()
        request = ClaimKey(key, digest, attempt_id, self._name, 0.0)
        try:
            outcome = self._control.call(request, min(remaining, claim_timeout))
        except PeerUnavailable as error:
            self._release_in_background(key, attempt_id)
            raise Refused(NotRunReason.CLAIM_UNAVAILABLE, str(error)) from error
        match outcome:
            case ClaimGranted():
                return None
            case ClaimHeld():
                return outcome
            case ClaimRefused():
                raise Refused(NotRunReason(outcome.reason))
        raise Refused(NotRunReason.CLAIM_UNAVAILABLE, f"unexpected reply {outcome!r:.80}")

    def _settle_in_background(self, key: str, attempt_id: str, outcome: Outcome) -> None:
        if isinstance(outcome, Answered):
            answer = encode_answer(outcome)
            self._spawn_settle(SettleKey(key, attempt_id, True, answer, 0.0))
        elif isinstance(outcome, NotRun):
            self._release_in_background(key, attempt_id)

    def _release_in_background(self, key: str, attempt_id: str) -> None:
        self._spawn_settle(SettleKey(key, attempt_id, False, b"", 0.0))

    def _spawn_settle(self, command: SettleKey) -> None:
        greenlet = gevent.spawn(self._settle, command)
        self._settle_greenlets.add(greenlet)
        greenlet.rawlink(self._settle_greenlets.discard)

    def _settle(self, command: SettleKey) -> None:
        try:
            self._control.call(command, SETTLE_TIMEOUT)
        except PeerUnavailable as error:
            self._counters.add("settle_failures", reason="control_unavailable")
            log.warning("control did not record the outcome of key {}: {}", command.key, error)


@dataclass(frozen=True)
class _DispatchContext:
    """The dependencies that all dispatches of an entry share."""

    clock: Clock
    counters: Counters
    directory: Directory
    random: Random


class _Dispatch:
    """Sends a claimed request to one replica, and to another only if it certainly did not run."""

    def __init__(
        self,
        context: _DispatchContext,
        template: RequestTemplate,
        snapshot: SnapshotReplicas,
        shard: int,
        attempt_id: str,
        policy: Policy,
        deadline_at: Milliseconds,
    ) -> None:
        self.clock = context.clock
        self.template = template
        self.deadline_at = deadline_at
        self._context = context
        self._snapshot = snapshot
        self._shard = shard
        self._attempt_id = attempt_id
        self._policy = policy
        self._tried: list[Replica] = []
        self._result: AsyncResult = AsyncResult()
        self._current_attempt: Attempt | None = None

    def run(self) -> Outcome:
        """Send the request and wait for its outcome, at most until the deadline."""
        remaining = self.deadline_at - self.clock.now()
        if remaining <= 0:
            return NotRun(NotRunReason.DEADLINE_TOO_SHORT, "the claim took all the time")
        self._policy.budget.earn(1)
        self._context.counters.add("subrequests", service=self._policy.service.name, kind="first")
        self._send(AttemptKind.FIRST)
        try:
            outcome: Outcome = self._result.get(timeout=remaining / SECOND)
        except gevent.Timeout:
            outcome = self._end_at_deadline()
        return outcome

    # Callbacks of attempts

    def part_arrived(self, attempt: Attempt, body: bytes) -> None:
        """Set the received part as the outcome."""
        snapshot = Snapshot(self._snapshot.layout, self._snapshot.version)
        coverage = Coverage(1, {})
        self._result.set(Answered(snapshot, coverage, {attempt.shard: body}, True))

    def attempt_failed(
        self, attempt: Attempt, reason: MissingReason, detail: str, *, may_have_run: bool
    ) -> None:
        """End as unknown if the request may have run, else retry elsewhere within the budget."""
        service = self._policy.service.name
        self._context.counters.add("attempts_failed", service=service, reason=reason.value)
        if may_have_run:
            self._result.set(Unknown(_unknown_reason(reason), detail))
        elif len(self._tried) > MAX_SHED_RETRIES or not self._policy.budget.take(1):
            self._result.set(NotRun(_not_run_reason(reason), detail))
        else:
            kind = f"retry_{reason.value}"
            self._context.counters.add("extra_load", service=service, kind=kind)
            self._send(AttemptKind.RETRY)

    def replica_draining(self, replica: Replica) -> None:
        """Record in the directory that an upstream is leaving."""
        self._context.directory.note_left(*replica.key)

    def _send(self, kind: AttemptKind) -> None:
        now = self.clock.now()
        replicas = self._snapshot.shards.get(self._shard, ())
        untried = with_room(candidates(replicas, self._tried, now), now)
        if not untried:
            self._result.set(NotRun(NotRunReason.NO_LIVE_REPLICA, f"shard {self._shard}"))
            return
        replica = self._policy.choose(untried, self._context.random, now)
        self._tried.append(replica)
        version, layout = self._snapshot.version, self._snapshot.layout
        part = Part(self._attempt_id, self._shard, version, layout)
        self._current_attempt = Attempt(self, self._shard, replica, str(part), kind)
        replica.pool.submit(self._current_attempt)

    def _end_at_deadline(self) -> Outcome:
        """Cancel the attempt at the deadline: not run if it was not sent, otherwise unknown."""
        if self._result.ready():
            outcome: Outcome = self._result.get()
            return outcome
        if self._current_attempt is not None:
            was_sent = self._current_attempt.sent_at is not None
            self._current_attempt.cancel()
            if was_sent:
                return Unknown(UnknownReason.DEADLINE)
        return NotRun(NotRunReason.DEADLINE_TOO_SHORT, "no connection came free in time")


def request_digest(service: str, request_type: str, shard_key: str, body: bytes) -> str:
    """Return a digest that detects the reuse of a key for a different request."""
    head = "\0".join((service, request_type, shard_key, "")).encode()
    return str(xxhash.xxh3_128_hexdigest(head + body))


def encode_answer(outcome: Answered) -> bytes:
    """Return an answer in the form that control stores with the key."""
    parts = {str(shard): body.decode("utf-8", "replace") for shard, body in outcome.parts.items()}
    return json.dumps([outcome.snapshot.layout, outcome.snapshot.version, parts]).encode()


def _earlier_outcome(held: ClaimHeld) -> Outcome:
    if not held.settled or not held.answer:
        return Unknown(UnknownReason.EARLIER_ATTEMPT, f"an attempt by {held.entry} holds the key")
    layout, version, parts = json.loads(held.answer)
    bodies = {int(shard): body.encode() for shard, body in parts.items()}
    return Answered(Snapshot(layout, version), Coverage(1, {}), bodies, True)


def _unknown_reason(reason: MissingReason) -> UnknownReason:
    if reason is MissingReason.CONNECTION_LOST:
        return UnknownReason.CONNECTION_LOST
    return UnknownReason.UNUSABLE_RESPONSE


def _not_run_reason(reason: MissingReason) -> NotRunReason:
    return NotRunReason.SHED if reason is MissingReason.SHED else NotRunReason.NO_LIVE_REPLICA
