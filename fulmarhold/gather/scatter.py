"""Sends a query to every shard of one snapshot and collects the parts."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import TYPE_CHECKING

from gevent.event import Event

from fulmarhold.clock import SECOND
from fulmarhold.gather.outcome import Answered, Coverage, MissingReason, Snapshot
from fulmarhold.gather.subrequest import Attempt, AttemptKind
from fulmarhold.routing.choice import candidates, with_room
from fulmarhold.upstreams.protocol import Part

if TYPE_CHECKING:
    from collections.abc import Callable
    from random import Random

    from fulmarhold.clock import Clock, Milliseconds
    from fulmarhold.configuration import ServiceConfiguration
    from fulmarhold.limits.budget import ExtraLoadBudget
    from fulmarhold.observe.counters import Counters
    from fulmarhold.observe.estimates import QuantileEstimate
    from fulmarhold.routing.choice import Chooser
    from fulmarhold.routing.replica import Replica
    from fulmarhold.routing.table import SnapshotReplicas
    from fulmarhold.upstreams.protocol import RequestTemplate

# The time before the caller's deadline that is reserved for encoding and sending the answer.
RESPONSE_RESERVE: Milliseconds = 2.0
# A part is late after this many times the hedge delay.
LATE_FACTOR = 3.0


@dataclass(frozen=True)
class Policy:
    """The settings, budget and estimates of one service, shared by its queries."""

    service: ServiceConfiguration
    choose: Chooser
    hedges: bool
    returns_early: bool
    budget: ExtraLoadBudget
    hedge_after: QuantileEstimate


class _ShardState:
    """The attempts and the result of one shard."""

    __slots__ = ("attempts", "body", "hedged", "reason")

    def __init__(self) -> None:
        self.attempts: list[Attempt] = []
        self.body: bytes | None = None
        self.hedged = False
        self.reason: MissingReason | None = None


class Scatter:
    """A single run of a query over one snapshot."""

    def __init__(
        self,
        request_id: str,
        template: RequestTemplate,
        snapshot: SnapshotReplicas,
        policy: Policy,
        deadline_at: Milliseconds,
        clock: Clock,
        random: Random,
        counters: Counters,
        note_left: Callable[[str, int], None],
    ) -> None:
        self.clock = clock
        self.template = template
        self.deadline_at = deadline_at - RESPONSE_RESERVE
        self._request_id = request_id
        self._snapshot = snapshot
        self._policy = policy
        self._random = random
        self._counters = counters
        self._note_left = note_left
        self._shards = [_ShardState() for _ in range(snapshot.total)]
        self._unresolved = snapshot.total
        self._covered = 0
        self._required = math.ceil(policy.service.least_coverage * snapshot.total)
        self._wake = Event()
        self._started_at = clock.now()
        self._late_at: Milliseconds = float("inf")
        self.saw_snapshot_gone = False

    def run(self) -> Answered:
        """Send, wait as long as the policy allows, cancel the open attempts, return the answer."""
        self._send_first_attempts()
        hedge_delay = self._policy.hedge_after.value
        if self._policy.returns_early:
            self._late_at = self._started_at + LATE_FACTOR * hedge_delay
        if self._policy.hedges and self._wait_until(self._started_at + hedge_delay):
            self._hedge()
        self._wait_until(self.deadline_at)
        return self._finish()

    # Callbacks of attempts

    def part_arrived(self, attempt: Attempt, body: bytes) -> None:
        """Store the first part of a shard and cancel the shard's other attempts."""
        shard = self._shards[attempt.shard]
        if shard.body is not None:
            return
        now = self.clock.now()
        if attempt.kind is AttemptKind.HEDGE:
            self._count_extra_load("hedge_won")
        self._policy.hedge_after.update(now - self._started_at)
        was_unresolved = shard.reason is None
        shard.body = body
        shard.reason = None
        self._covered += 1
        for other in shard.attempts:
            other.cancel()
        if was_unresolved:
            self._unresolved -= 1
        if self._unresolved == 0 or (now >= self._late_at and self._covered >= self._required):
            self._wake.set()

    def attempt_failed(
        self, attempt: Attempt, reason: MissingReason, detail: str, *, may_have_run: bool
    ) -> None:
        """Retry on another replica within the budget, or mark the shard as missing."""
        self._counters.add(
            "attempts_failed", service=self._policy.service.name, reason=reason.value
        )
        if reason is MissingReason.SNAPSHOT_GONE:
            self.saw_snapshot_gone = True
        shard = self._shards[attempt.shard]
        if shard.body is not None or any(not other.is_over for other in shard.attempts):
            return
        untried = self._candidates(attempt.shard)
        if not untried or self.clock.now() >= self.deadline_at:
            self._mark_missing(shard, reason)
        elif attempt.sent_at is None:
            # Nothing was sent to an upstream, so a retry is not extra load.
            self._send(attempt.shard, untried, AttemptKind.RETRY)
        elif not self._policy.budget.take(1):
            self._count_extra_load("retry_refused")
            self._mark_missing(shard, MissingReason.BUDGET_SPENT)
        else:
            self._count_extra_load(f"retry_{reason.value}")
            self._send(attempt.shard, untried, AttemptKind.RETRY)

    def replica_draining(self, replica: Replica) -> None:
        """Record in the directory that an upstream is leaving."""
        self._note_left(*replica.key)

    def _send_first_attempts(self) -> None:
        self._policy.budget.earn(self._snapshot.total)
        self._counters.add(
            "subrequests", self._snapshot.total, service=self._policy.service.name, kind="first"
        )
        for shard_number, shard in enumerate(self._shards):
            untried = self._candidates(shard_number)
            if untried:
                self._send(shard_number, untried, AttemptKind.FIRST)
            else:
                self._mark_missing(shard, MissingReason.NO_LIVE_REPLICA)

    def _candidates(self, shard_number: int) -> list[Replica]:
        replicas = self._snapshot.shards.get(shard_number, ())
        tried = [attempt.replica for attempt in self._shards[shard_number].attempts]
        now = self.clock.now()
        return with_room(candidates(replicas, tried, now), now)

    def _send(self, shard_number: int, replicas: list[Replica], kind: AttemptKind) -> None:
        replica = self._policy.choose(replicas, self._random, self.clock.now())
        part = Part(self._request_id, shard_number, self._snapshot.version, self._snapshot.layout)
        attempt = Attempt(self, shard_number, replica, str(part), kind)
        self._shards[shard_number].attempts.append(attempt)
        replica.pool.submit(attempt)

    def _hedge(self) -> None:
        for shard_number, shard in enumerate(self._shards):
            if shard.body is not None or shard.reason is not None or shard.hedged:
                continue
            # A replica that already has requests of this entry would probably be late as well.
            untried = [item for item in self._candidates(shard_number) if item.pool.load == 0]
            if not untried:
                self._count_extra_load("hedge_pointless")
                continue
            if not self._policy.budget.take_unreserved(1):
                self._count_extra_load("hedge_refused")
                return
            shard.hedged = True
            self._count_extra_load("hedge")
            self._send(shard_number, untried, AttemptKind.HEDGE)

    def _mark_missing(self, shard: _ShardState, reason: MissingReason) -> None:
        shard.reason = reason
        self._unresolved -= 1
        if self._unresolved == 0:
            self._wake.set()

    def _wait_until(self, until: Milliseconds) -> bool:
        """Wait for the end of the scatter; returns whether it is still running at `until`."""
        until = min(until, self.deadline_at)
        while not self._is_finished():
            now = self.clock.now()
            if now >= until:
                return True
            next_check = min(until, self._late_at) if now < self._late_at else until
            self._wake.wait((next_check - now) / SECOND)
        return False

    def _is_finished(self) -> bool:
        now = self.clock.now()
        if self._unresolved == 0 or now >= self.deadline_at:
            return True
        return now >= self._late_at and self._covered >= self._required

    def _finish(self) -> Answered:
        default_reason = (
            MissingReason.DEADLINE if self.clock.now() >= self.deadline_at else MissingReason.LATE
        )
        missing: dict[int, MissingReason] = {}
        parts: dict[int, bytes] = {}
        for shard_number, shard in enumerate(self._shards):
            for attempt in shard.attempts:
                attempt.cancel()
            if shard.body is not None:
                parts[shard_number] = shard.body
            else:
                missing[shard_number] = shard.reason or default_reason
        coverage = Coverage(self._snapshot.total, missing)
        for reason in missing.values():
            self._counters.add(
                "parts_missing", service=self._policy.service.name, reason=reason.value
            )
        return Answered(
            Snapshot(self._snapshot.layout, self._snapshot.version),
            coverage,
            parts,
            coverage.covered >= self._required,
        )

    def _count_extra_load(self, kind: str) -> None:
        self._counters.add("extra_load", service=self._policy.service.name, kind=kind)
