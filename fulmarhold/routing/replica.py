"""An upstream as a target of sub-requests: lease, connections, latency and health."""

from __future__ import annotations

from typing import TYPE_CHECKING, Generic, Protocol, TypeVar

from fulmarhold.limits.concurrency import ConcurrencyLimit
from fulmarhold.limits.pace import FullPace, Pace, PaceReason
from fulmarhold.observe.estimates import LatencyAverage, QuantileEstimate, decay
from fulmarhold.routing.availability import (
    AVAILABLE,
    DRAINED,
    AnswerSignals,
    Availability,
    Reason,
)

if TYPE_CHECKING:
    from fulmarhold.clock import Milliseconds
    from fulmarhold.limits.cold import ColdGate
    from fulmarhold.limits.sharing import Flow
    from fulmarhold.upstreams.pool import ConnectionPool

INITIAL_LATENCY: Milliseconds = 5.0
FAILURES_BEFORE_EJECTION = 3
MIN_SLOW_START_FACTOR = 0.1
MAX_EJECTION_DOUBLINGS = 4
# A request that has waited this many times the typical latency, and at least MIN_STALL, indicates
# a stalled upstream.
STALL_FACTOR = 3.0
MIN_STALL: Milliseconds = 20.0
# Longer than the occasional pauses of healthy upstreams (up to 250 ms). An upstream that does not
# reply for this long hangs or is unreachable, even if its connections are still open.
UNRESPONSIVE_AFTER: Milliseconds = 300.0
# An unresponsive upstream gets one request per period, which detects its recovery; a hedge covers
# that request.
PROBE_PERIOD: Milliseconds = 1_000.0
# An upstream that was unresponsive for longer than this, and than several of its usual latencies,
# counts as recovered when it replies again. Pauses of healthy upstreams are shorter.
RECOVERY_AFTER: Milliseconds = 1_000.0
RECOVERY_FACTOR = 3.0
# How long an upstream whose address answers for another one gets no request. Control forgets a
# silent upstream after about as long; one that is there all the same is tried again.
SUPERSEDED_FOR: Milliseconds = 10_000.0
# A reply that took more than this multiple of the usual latency may have been delayed by a pause.
PAUSE_FACTOR = 2.0
# The failure share averages over about the last ten replies and halves in FAILURE_HALF_LIFE
# without new ones.
FAILURE_WEIGHT = 0.15
FAILURE_HALF_LIFE: Milliseconds = 2_000.0
# Latency equivalent of a failed attempt: its own time, the time of another attempt, and the part
# of the budget that it uses.
FAILURE_PENALTY: Milliseconds = 100.0
# By how much a replica in another data centre must be faster to be chosen. Traffic between data
# centres is expensive, and a remote replica that was not used for a while must not be preferred to
# a local one just because its estimate has decayed. The factor is for long requests, whose latency
# varies by more than the fixed penalty.
OTHER_DATA_CENTRE_PENALTY: Milliseconds = 15.0
OTHER_DATA_CENTRE_FACTOR = 1.25
# Without recent replies, a replica is estimated at this share of the typical latency, so that it is
# tried again next to one with typical latency. The share exactly cancels OTHER_DATA_CENTRE_FACTOR,
# so only the fixed penalty keeps replicas in other data centres from being tried needlessly.
TYPICAL_LATENCY_SHARE = 0.8


class UpstreamRecord(Protocol):
    """The attributes of an upstream that routing uses."""

    @property
    def address(self) -> str: ...
    @property
    def incarnation(self) -> int: ...
    @property
    def slots(self) -> int: ...


class RoutedUpstream(Protocol):
    """An upstream that accepts requests while its lease is valid."""

    @property
    def record(self) -> UpstreamRecord: ...

    def is_live(self, now: Milliseconds) -> bool: ...


Upstream = TypeVar("Upstream", bound=RoutedUpstream)


class Replica(Generic[Upstream]):
    """Latency and health of one incarnation of an upstream, as this entry has observed them.

    `typical_latency` is the median latency of the replicas of the same kind, if known. One that
    `is_starting` is used at a limited pace until its replies show that it bears more; `phase`, from
    0 to 1, spreads the first requests of many entries. One that is not `is_paced` counts as slower
    than it is for `slow_start` ms instead.
    """

    def __init__(
        self,
        upstream: Upstream,
        pool: ConnectionPool,
        ejection: Milliseconds,
        now: Milliseconds,
        *,
        is_local: bool = True,
        signals: AnswerSignals | None = None,
        is_starting: bool = False,
        is_paced: bool = True,
        slow_start: Milliseconds = 0.0,
        entries: int = 1,
        phase: float = 1.0,
    ) -> None:
        self.upstream = upstream
        self.pool = pool
        pool.gate = self
        self.signals = signals or AnswerSignals()
        self.latency = LatencyAverage(INITIAL_LATENCY, is_guess=True)
        # Set if there are other replicas of the same kind.
        self.typical_latency: QuantileEstimate | None = None
        self._has_own_estimate = False
        self.concurrency = ConcurrencyLimit()
        self.ejected_until: Milliseconds = float("-inf")
        self._superseded_until: Milliseconds = float("-inf")
        self._ejection = ejection
        self.is_local = is_local
        self._distance_penalty = 0.0 if is_local else OTHER_DATA_CENTRE_PENALTY
        self._distance_factor = 1.0 if is_local else OTHER_DATA_CENTRE_FACTOR
        self._estimate_updated_at = now
        self._consecutive_failures = 0
        self._consecutive_ejections = 0
        self._failure_share = 0.0
        self._failure_share_updated_at = now
        # When the last reply arrived that was late and may have been delayed by a pause.
        self._pause_seen_at: Milliseconds | None = None
        self._sent_at: Milliseconds = float("-inf")
        self._unanswered_since: Milliseconds | None = None
        # Set if the service has a bound for upstreams that are cold.
        self.cold: ColdGate | None = None
        self._slow_start = 0.0 if is_paced else slow_start
        self._started_at = now
        pace_type = Pace if is_paced else FullPace
        self.pace = pace_type(upstream.record.slots, entries, phase)
        if is_starting:
            self._restart_pace(PaceReason.STARTED, now)

    @property
    def address(self) -> str:
        return self.upstream.record.address

    @property
    def key(self) -> tuple[str, int]:
        return self.upstream.record.address, self.upstream.record.incarnation

    def is_live(self, now: Milliseconds) -> bool:
        """Whether the lease of the upstream is still valid, and its address still its own."""
        return now >= self._superseded_until and self.upstream.is_live(now)

    def availability(
        self, now: Milliseconds, *, is_urgent: bool, flow: Flow | None = None
    ) -> Availability:
        """Return why new work should not go to the upstream now, if there is a reason."""
        held = self.held_back(now)
        if held.reason is not None:
            return held
        if self.is_ejected(now):
            return Availability(Reason.EJECTED, until=self.ejected_until)
        if not self.is_responsive(now):
            return Availability(Reason.UNRESPONSIVE, since=self._unanswered_since)
        if not self.may_send(now, is_urgent=is_urgent, flow=flow):
            return Availability(Reason.AT_LIMIT)
        return AVAILABLE

    def held_back(self, now: Milliseconds, *, is_admitted: bool = False) -> Availability:
        """Return why no request may go to the upstream even if there is no other, if so.

        With `is_admitted`, the answer is for a request that is already counted in the pool's load.
        """
        if not self.signals.is_clear:
            held = self.signals.held_back(0 if is_admitted else self.pool.load, now)
            if held.reason is not None:
                return held
        if self.cold is not None and not self.cold.has_room(now):
            return Availability(Reason.COLD, until=self.cold.room_at(now))
        if now < self._superseded_until:
            since = self._superseded_until - SUPERSEDED_FOR
            return Availability(Reason.SUPERSEDED, since, self._superseded_until)
        return AVAILABLE if self.upstream.is_live(now) else DRAINED

    def may_connect(self, now: Milliseconds) -> bool:
        """Whether connections to the upstream may be opened."""
        return self.signals.is_clear or self.held_back(now, is_admitted=True).may_connect

    def note_leaving(self, source: str, now: Milliseconds) -> bool:
        """Record that an answer says that the upstream leaves; returns whether that is new."""
        is_new = self.signals.note_leaving(source, now)
        self.pool.close_when_idle()
        return is_new

    def note_pause(
        self, length: Milliseconds, source: str, now: Milliseconds, spread: float
    ) -> bool:
        """Record that an answer asks for no work for `length` ms; returns whether that is new."""
        is_new = self.signals.note_pause(length, source, now, spread)
        self.pool.fail_waiting("upstream paused")
        return is_new

    def is_ejected(self, now: Milliseconds) -> bool:
        """Whether it is excluded from selection for now, after failures."""
        return now < self.ejected_until

    def is_stalled(self, now: Milliseconds) -> bool:
        """Whether a request has waited much longer than replies typically take.

        The upstream then hangs, pauses or is unreachable, and further requests would wait too.
        """
        return self.pool.longest_wait(now) > max(MIN_STALL, STALL_FACTOR * self._estimated_latency)

    def is_unresponsive(self, now: Milliseconds) -> bool:
        """Whether no reply has arrived for `UNRESPONSIVE_AFTER` ms after a request was sent."""
        since = self._unanswered_since
        return since is not None and now - since > UNRESPONSIVE_AFTER

    def is_responsive(self, now: Milliseconds) -> bool:
        """Whether a request sent now is likely to get a reply soon, or is due as a probe."""
        if self.is_unresponsive(now):
            return now > self._sent_at + PROBE_PERIOD
        return not self.is_stalled(now)

    def may_send(self, now: Milliseconds, *, is_urgent: bool, flow: Flow | None = None) -> bool:
        """Whether the concurrency limit, and the pace after a start, admit one more request now."""
        if self.pace.is_held_back and not self.pace.has_room(now):
            return False
        return self.concurrency.may_send(self.pool.load, now, is_urgent=is_urgent, flow=flow)

    def has_room(self, now: Milliseconds) -> bool:
        """Whether its pace admits one more request now; always true at full pace."""
        return self.pace.has_room(now)

    def bears_one_more(self, now: Milliseconds) -> bool:
        """Whether one more request of this entry may reach it; false only while it is cold."""
        return self.cold is None or self.cold.has_room(now)

    def note_cold(self, remaining: Milliseconds, now: Milliseconds) -> None:
        """Record that the upstream says that it stays cold for `remaining` ms."""
        if self.cold is not None:
            self.cold.note_cold(remaining, now)

    def note_warm(self, now: Milliseconds) -> None:
        """Record that the upstream is no longer cold, and can be used beyond the bound."""
        self._restart_pace(PaceReason.STARTED, now)

    def note_transmitted(self, now: Milliseconds) -> None:
        """Record that the bytes of a request leave for the upstream."""
        if self.cold is not None:
            self.cold.note_sent(now)

    def share_pace(self, entries: int) -> None:
        """Set how many entries share the slots of the upstream."""
        self.pace.resize(self.upstream.record.slots, entries)

    def expected_latency(self, now: Milliseconds) -> Milliseconds:
        """Return the expected latency of a new request.

        Includes queueing, slow start, and penalties for failures and for another data centre.
        """
        slots = self.upstream.record.slots
        extra = FAILURE_PENALTY * self._decayed_failure_share(now) + self._distance_penalty
        if self.pool.load:
            base_latency = self._estimated_latency * (1 + self.pool.load / slots)
        else:
            base_latency = self._decayed_latency(now)
        return self._distance_factor * base_latency / self._slow_start_factor(now) + extra

    def note_sent(self, now: Milliseconds) -> None:
        """Record that a request was sent."""
        self._sent_at = now
        self.pace.note_sent(now)
        if self._unanswered_since is None:
            self._unanswered_since = now

    def note_reply(self) -> None:
        """Record that a response arrived, successful or not."""
        self._unanswered_since = None

    def note_success(self, latency: Milliseconds, now: Milliseconds) -> None:
        """Record a successful response."""
        self._consecutive_failures = 0
        self._consecutive_ejections = 0
        self._update_failure_share(0.0, now)
        if self.typical_latency is not None:
            self.typical_latency.update(latency)
        typical = self.typical_latency.value if self.typical_latency is not None else None
        self.pace.note_success(latency, typical, now)
        if not self._was_single_pause(latency, now):
            self._update_estimate(latency, now)

    def _update_estimate(self, latency: Milliseconds, now: Milliseconds) -> None:
        # The first response after a silence moves the estimate to its latency, but not below the
        # decayed estimate or above the last one.
        self.latency.value = max(self._decayed_latency(now), min(self._estimated_latency, latency))
        self.latency.update(latency)
        self._has_own_estimate = True
        self._estimate_updated_at = now

    def _was_single_pause(self, latency: Milliseconds, now: Milliseconds) -> bool:
        """Whether one pause of a healthy upstream explains a reply, which then says nothing.

        After a pause an upstream is as fast as before. If each pause raised the estimate, many
        requests would go to other data centres for seconds. What a request has waited since the
        first late reply arrived is not explained by that pause: the upstream has become slow.
        """
        own = self.latency.value if self._has_own_estimate else 0.0
        usual = max(own, self.typical_latency.value if self.typical_latency else 0.0)
        excess = latency - usual
        if not usual or latency <= PAUSE_FACTOR * usual or excess <= MIN_STALL:
            self._pause_seen_at = None
            return False
        if excess > UNRESPONSIVE_AFTER:
            return False
        if self._pause_seen_at is None:
            self._pause_seen_at = now
        since_pause = now - max(now - latency, self._pause_seen_at)
        return since_pause <= max(PAUSE_FACTOR * usual, usual + MIN_STALL)

    def note_abandoned(self, elapsed: Milliseconds, now: Milliseconds) -> None:
        """Record that a request was abandoned after `elapsed` ms without a response."""
        self.latency.value = self._estimated_latency
        self._has_own_estimate = True
        self._estimate_updated_at = now
        if elapsed > self.latency.value:
            self.latency.update(elapsed)

    def note_failure(self, now: Milliseconds) -> bool:
        """Record a failure; return whether it ejects the replica."""
        self._consecutive_failures += 1
        self._update_failure_share(1.0, now)
        self.pace.note_failure(now)
        if self._consecutive_failures < FAILURES_BEFORE_EJECTION or self.is_ejected(now):
            return False
        doublings = min(self._consecutive_ejections, MAX_EJECTION_DOUBLINGS)
        self.ejected_until = now + self._ejection * 2**doublings
        self._consecutive_ejections += 1
        # After the ejection ends, a single failure ejects the replica again.
        self._consecutive_failures = FAILURES_BEFORE_EJECTION - 1
        self._restart_pace(PaceReason.RECOVERED, self.ejected_until)
        return True

    def note_unreachable(self, now: Milliseconds) -> None:
        """Record that the upstream is not at its address; ejects the replica at once."""
        self.ejected_until = max(self.ejected_until, now + self._ejection)
        self._restart_pace(PaceReason.RECOVERED, self.ejected_until)

    def note_responsive_again(self, silent_for: Milliseconds, now: Milliseconds) -> None:
        """Record that it replies again, after it was unresponsive for `silent_for` ms."""
        if silent_for > max(RECOVERY_AFTER, RECOVERY_FACTOR * self._estimated_latency):
            self._restart_pace(PaceReason.RECOVERED, now)

    def note_superseded(self, now: Milliseconds) -> None:
        """Record that another upstream answers at its address.

        Unlike one that is ejected, it gets no request even if there is no other replica: each one
        would be extra load for the upstream that is there now.
        """
        self._superseded_until = now + SUPERSEDED_FOR

    def _update_failure_share(self, failed: float, now: Milliseconds) -> None:
        share = self._decayed_failure_share(now)
        self._failure_share = share + FAILURE_WEIGHT * (failed - share)
        self._failure_share_updated_at = now

    def _decayed_failure_share(self, now: Milliseconds) -> float:
        silence = now - self._failure_share_updated_at
        return float(self._failure_share * 0.5 ** (silence / FAILURE_HALF_LIFE))

    @property
    def _estimated_latency(self) -> Milliseconds:
        """Its average latency, or an estimate from replicas of its kind before the first reply."""
        if self._has_own_estimate or self.typical_latency is None:
            return self.latency.value
        return TYPICAL_LATENCY_SHARE * self.typical_latency.value

    def _decayed_latency(self, now: Milliseconds) -> Milliseconds:
        estimate = self._estimated_latency
        decayed = decay(estimate, now - self._estimate_updated_at)
        if self.typical_latency is None:
            return decayed
        # Without replies, a slow replica's estimate decays to about the typical latency, but no
        # further.
        return max(decayed, min(estimate, TYPICAL_LATENCY_SHARE * self.typical_latency.value))

    def _slow_start_factor(self, now: Milliseconds) -> float:
        if self._slow_start <= 0:
            return 1.0
        return min(1.0, max(MIN_SLOW_START_FACTOR, (now - self._started_at) / self._slow_start))

    def _restart_pace(self, reason: PaceReason, now: Milliseconds) -> None:
        typical = self.typical_latency
        usual = typical.value if typical is not None else self._estimated_latency
        self.pace.restart(reason, usual, now)
