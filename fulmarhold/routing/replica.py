"""One upstream as a target of sub-requests: its lease, connections, latency and health."""

from __future__ import annotations

from typing import TYPE_CHECKING, Generic, Protocol, TypeVar

from fulmarhold.limits.concurrency import ConcurrencyLimit
from fulmarhold.observe.estimates import LatencyAverage, QuantileEstimate, decay

if TYPE_CHECKING:
    from fulmarhold.clock import Milliseconds
    from fulmarhold.upstreams.pool import ConnectionPool

INITIAL_LATENCY: Milliseconds = 5.0
FAILURES_BEFORE_EJECTION = 3
MOST_EJECTION_DOUBLINGS = 4
SLOW_START_FLOOR = 0.1
# A reply that takes this many times the usual, and this long at least, points at a stall.
STALL_FACTOR = 3.0
LEAST_STALL: Milliseconds = 20.0
# Longer than the pauses that upstreams take now and then (up to 250 ms): what does not reply for
# that long hangs or is cut off, whether its connections say so or not.
UNRESPONSIVE_AFTER: Milliseconds = 300.0
# One request in this time finds out whether a dark upstream is back; a hedge covers for it.
PROBE_PERIOD: Milliseconds = 1_000.0
# The share of failures follows the last ten or so, and is forgotten by half in this time.
FAILURE_WEIGHT = 0.15
FAILURE_HALF_LIFE: Milliseconds = 2_000.0
# What a failed attempt costs: its own time, that of another attempt, and a part of the budget.
FAILURE_COST: Milliseconds = 100.0
# What a replica in another data centre must be faster by: its traffic is dear, and one that was
# not asked for a while must not look near because its estimate has faded. The factor holds for
# long requests, whose latency varies by more than the fixed part.
OTHER_DATA_CENTRE_COST: Milliseconds = 15.0
OTHER_DATA_CENTRE_FACTOR = 1.25
# A replica that was not heard of for long is taken for this much of what is usual for its kind, so
# that it is tried again beside one that is as fast as usual; with the factor above it just offsets
# the distance, and the fixed part keeps replicas elsewhere from being tried for nothing.
SILENT_SHARE_OF_USUAL = 0.8


class UpstreamRecord(Protocol):
    """What routing needs to know of an upstream."""

    @property
    def address(self) -> str: ...
    @property
    def incarnation(self) -> int: ...
    @property
    def slots(self) -> int: ...


class RoutedUpstream(Protocol):
    """An upstream that work may be sent to while it is live."""

    @property
    def record(self) -> UpstreamRecord: ...

    def is_live(self, now: Milliseconds) -> bool: ...


Upstream = TypeVar("Upstream", bound=RoutedUpstream)


class Replica(Generic[Upstream]):
    """What this entry itself saw of one incarnation of an upstream.

    `typical_latency` is the latency that replicas of its kind usually have, if that is known.
    """

    def __init__(
        self,
        upstream: Upstream,
        pool: ConnectionPool,
        ejection: Milliseconds,
        slow_start: Milliseconds,
        now: Milliseconds,
        *,
        is_local: bool = True,
    ) -> None:
        self.upstream = upstream
        self.pool = pool
        self.latency = LatencyAverage(INITIAL_LATENCY, is_guess=True)
        # Set where there are others of the same kind.
        self.typical_latency: QuantileEstimate | None = None
        self._is_known = False
        self.concurrency = ConcurrencyLimit()
        self.ejected_until: Milliseconds = float("-inf")
        self._ejection = ejection
        self._slow_start = slow_start
        self._distance_cost = 0.0 if is_local else OTHER_DATA_CENTRE_COST
        self._distance_factor = 1.0 if is_local else OTHER_DATA_CENTRE_FACTOR
        self._started_at = now
        self._heard_at = now
        self._failures = 0
        self._ejections = 0
        self._failure_share = 0.0
        self._failure_noted_at = now
        self._sent_at: Milliseconds = float("-inf")
        self._unanswered_since: Milliseconds | None = None

    @property
    def address(self) -> str:
        return self.upstream.record.address

    @property
    def key(self) -> tuple[str, int]:
        return self.upstream.record.address, self.upstream.record.incarnation

    def is_live(self, now: Milliseconds) -> bool:
        """Whether its lease still runs."""
        return self.upstream.is_live(now)

    def is_ejected(self, now: Milliseconds) -> bool:
        """Whether it is passed over for now because it failed repeatedly."""
        return now < self.ejected_until

    def is_stalled(self, now: Milliseconds) -> bool:
        """Whether a request waits there for much longer than replies usually take.

        It then hangs, pauses or is cut off, and further requests would only wait as well.
        """
        return self.pool.longest_wait(now) > max(LEAST_STALL, STALL_FACTOR * self._believed)

    def is_unresponsive(self, now: Milliseconds) -> bool:
        """Whether it has replied to nothing since a request that was sent long ago."""
        since = self._unanswered_since
        return since is not None and now - since > UNRESPONSIVE_AFTER

    def is_responsive(self, now: Milliseconds) -> bool:
        """Whether a request sent now is likely to be replied to soon, or is due as a probe."""
        if self.is_unresponsive(now):
            return now > self._sent_at + PROBE_PERIOD
        return not self.is_stalled(now)

    def may_send(self, now: Milliseconds, *, is_urgent: bool) -> bool:
        """Whether one more request sent now is likely to be answered in time."""
        return self.concurrency.may_send(self.pool.load, now, is_urgent=is_urgent)

    def expected_latency(self, now: Milliseconds) -> Milliseconds:
        """Return the latency a new request may expect, with queueing, failures and distance."""
        slots = self.upstream.record.slots
        extra = FAILURE_COST * self._faded_failures(now) + self._distance_cost
        if self.pool.load:
            base_latency = self._believed * (1 + self.pool.load / slots)
        else:
            base_latency = self._faded(now)
        return self._distance_factor * base_latency / self._warmth(now) + extra

    def note_sent(self, now: Milliseconds) -> None:
        """Take in that a request was sent."""
        self._sent_at = now
        if self._unanswered_since is None:
            self._unanswered_since = now

    def note_reply(self) -> None:
        """Take in that any response came."""
        self._unanswered_since = None

    def note_success(self, latency: Milliseconds, now: Milliseconds) -> None:
        """Take in a good response."""
        # A response after a silence confirms the old estimate or the faded one, or lies between.
        self.latency.value = max(self._faded(now), min(self._believed, latency))
        self.latency.update(latency)
        if self.typical_latency is not None:
            self.typical_latency.update(latency)
        self._is_known = True
        self._heard_at = now
        self._failures = 0
        self._ejections = 0
        self._update_failures(0.0, now)

    def note_abandoned(self, elapsed: Milliseconds, now: Milliseconds) -> None:
        """Take in that a request was given up after `elapsed` ms without a response."""
        self.latency.value = self._believed
        self._is_known = True
        self._heard_at = now
        if elapsed > self.latency.value:
            self.latency.update(elapsed)

    def note_failure(self, now: Milliseconds) -> bool:
        """Take in a failure; returns whether the replica is ejected by it."""
        self._failures += 1
        self._update_failures(1.0, now)
        if self._failures < FAILURES_BEFORE_EJECTION or self.is_ejected(now):
            return False
        doublings = min(self._ejections, MOST_EJECTION_DOUBLINGS)
        self.ejected_until = now + self._ejection * 2**doublings
        self._ejections += 1
        # One more failure after the return is enough for the next ejection.
        self._failures = FAILURES_BEFORE_EJECTION - 1
        return True

    def note_unreachable(self, now: Milliseconds) -> None:
        """Take in that nobody listens at its address: it is passed over at once."""
        self.ejected_until = max(self.ejected_until, now + self._ejection)

    def _update_failures(self, failed: float, now: Milliseconds) -> None:
        share = self._faded_failures(now)
        self._failure_share = share + FAILURE_WEIGHT * (failed - share)
        self._failure_noted_at = now

    def _faded_failures(self, now: Milliseconds) -> float:
        silence = now - self._failure_noted_at
        return float(self._failure_share * 0.5 ** (silence / FAILURE_HALF_LIFE))

    @property
    def _believed(self) -> Milliseconds:
        """The latency of its last replies, or of replicas of its kind while it has sent none."""
        if self._is_known or self.typical_latency is None:
            return self.latency.value
        return SILENT_SHARE_OF_USUAL * self.typical_latency.value

    def _faded(self, now: Milliseconds) -> Milliseconds:
        believed = self._believed
        faded = decay(believed, now - self._heard_at)
        if self.typical_latency is None:
            return faded
        # Silence makes a slow replica look like any other, and none look better than that.
        return max(faded, min(believed, SILENT_SHARE_OF_USUAL * self.typical_latency.value))

    def _warmth(self, now: Milliseconds) -> float:
        if self._slow_start <= 0:
            return 1.0
        return min(1.0, max(SLOW_START_FLOOR, (now - self._started_at) / self._slow_start))
