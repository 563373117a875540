"""Admission control: refuses queries that can't finish in time before they start."""

from __future__ import annotations

from collections import deque
from contextlib import contextmanager
from typing import TYPE_CHECKING

import gevent
from gevent.event import AsyncResult

from fulmarhold.clock import SECOND, Milliseconds
from fulmarhold.gather.outcome import NotRunReason, Refused
from fulmarhold.observe.estimates import LatencyAverage, QuantileEstimate, decay

if TYPE_CHECKING:
    from collections.abc import Iterator

    from fulmarhold.clock import Clock
    from fulmarhold.configuration import Urgency

# Queries that one entry runs at once; URGENCY_SHARES limits less urgent ones to a part of them.
MAX_CONCURRENT_QUERIES = 192
URGENCY_SHARES: dict[Urgency, float] = {"urgent": 1.0, "normal": 0.75, "background": 0.5}
MAX_QUEUE_LENGTH = 256
MIN_LIMIT = 1.0
MIN_EXPECTED_DURATION: Milliseconds = 1.0
PARTIAL_ANSWER_FACTOR = 0.7
QUEUEING_FACTOR = 0.9
INCREASE_STEP = 0.2
# A complete answer counts as queued at upstreams if it took longer than the fastest answers by this
# share of the time between them and the deadline.
QUEUEING_THRESHOLD = 1 / 3
FAST_QUANTILE = 0.1
SLOW_QUANTILE = 0.98


class ServiceGate:
    """Limits the concurrent queries of one service; others wait while there is time.

    The limit adapts to the capacity of the upstreams. It is decreased when answers lack parts at
    the deadline, or when the limit is reached and complete answers take so long that they must
    have queued at upstreams; at most once per expected duration of a query. Other complete answers
    increase it slowly, up to the configured limit.
    """

    def __init__(self, urgency: Urgency, limit: int, clock: Clock) -> None:
        self.urgency = urgency
        self._configured_limit = limit
        self._current_limit = float(limit)
        self._clock = clock
        self._running = 0
        self._average_duration: LatencyAverage | None = None
        self._average_updated_at: Milliseconds = float("-inf")
        self._fast_duration = QuantileEstimate(FAST_QUANTILE, MIN_EXPECTED_DURATION)
        self._slow_duration = QuantileEstimate(SLOW_QUANTILE, MIN_EXPECTED_DURATION)
        self._decreased_at: Milliseconds = float("-inf")
        self._waiting: deque[AsyncResult] = deque()

    @property
    def limit(self) -> int:
        """The number of queries that may run now."""
        return max(1, int(self._current_limit))

    @property
    def expected_duration(self) -> Milliseconds:
        """The recent average duration of complete answers; decays without new ones."""
        if self._average_duration is None:
            return MIN_EXPECTED_DURATION
        # Refused queries yield no new durations: without decay, one slow answer could make the gate
        # refuse all later queries.
        return max(
            MIN_EXPECTED_DURATION,
            decay(self._average_duration.value, self._clock.now() - self._average_updated_at),
        )

    @property
    def slow_duration(self) -> Milliseconds:
        """The duration that nearly all recent complete answers stayed below."""
        return max(self.expected_duration, self._slow_duration.value)

    def configure(self, urgency: Urgency, limit: int) -> None:
        """Change urgency and configured limit; running queries are unaffected."""
        self.urgency = urgency
        if limit != self._configured_limit:
            self._configured_limit, self._current_limit = limit, float(limit)

    def note_complete(self, duration: Milliseconds, allowed: Milliseconds) -> None:
        """Record a complete answer that took `duration` of the `allowed` milliseconds."""
        if self._average_duration is None:
            self._average_duration = LatencyAverage(duration)
            self._fast_duration.value = self._slow_duration.value = duration
        self._average_updated_at = self._clock.now()
        for estimate in (self._average_duration, self._fast_duration, self._slow_duration):
            estimate.update(duration)
        fast = self._fast_duration.value
        if duration > fast + QUEUEING_THRESHOLD * (allowed - fast) and self._running >= self.limit:
            self._decrease_limit(QUEUEING_FACTOR)
        else:
            self._current_limit = min(
                float(self._configured_limit),
                self._current_limit + INCREASE_STEP / self._current_limit,
            )

    def note_partial(self) -> None:
        """Record an answer that lacks parts because the deadline passed."""
        self._decrease_limit(PARTIAL_ANSWER_FACTOR)

    def acquire(self, wait_until: Milliseconds) -> None:
        """Take a slot, waiting for one until `wait_until`; raises `Refused` without one."""
        if self._running < self.limit:
            self._running += 1
            return
        left = wait_until - self._clock.now()
        if left <= 0 or len(self._waiting) >= MAX_QUEUE_LENGTH:
            raise Refused(
                NotRunReason.OVERLOADED, f"the limit of {self.limit} running queries is reached"
            )
        waiter: AsyncResult = AsyncResult()
        self._waiting.append(waiter)
        try:
            waiter.get(timeout=left / SECOND)
        except gevent.Timeout:
            if waiter.ready():
                return
            self._waiting.remove(waiter)
            raise Refused(NotRunReason.OVERLOADED, "no slot became free in time") from None

    def release(self) -> None:
        """Return a slot, and admit as many waiting queries as the limit allows now."""
        self._running -= 1
        while self._waiting and self._running < self.limit:
            self._running += 1
            self._next_waiter().set()

    def _next_waiter(self) -> AsyncResult:
        # If more queries wait than may run, the oldest have too little time left to use a slot.
        if len(self._waiting) > self.limit:
            return self._waiting.pop()
        return self._waiting.popleft()

    def _decrease_limit(self, factor: float) -> None:
        now = self._clock.now()
        if now >= self._decreased_at + self.expected_duration:
            self._decreased_at = now
            self._current_limit = max(MIN_LIMIT, factor * self._current_limit)


class Admission:
    """Admission control of one entry, with a gate for each service."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._gates: dict[str, ServiceGate] = {}
        self._running = 0

    @property
    def running(self) -> int:
        """The number of queries that run now."""
        return self._running

    def configure(self, service: str, urgency: Urgency, limit: int) -> ServiceGate:
        """Return the gate of a service with the given configuration applied."""
        gate = self._gates.get(service)
        if gate is None:
            gate = self._gates[service] = ServiceGate(urgency, limit, self._clock)
        gate.configure(urgency, limit)
        return gate

    @contextmanager
    def admitted(self, gate: ServiceGate, deadline_at: Milliseconds) -> Iterator[None]:
        """Hold a slot for one query.

        Raises `Refused` if the remaining time is too short, the entry runs too many queries, or
        no slot becomes free in time.
        """
        if self._clock.now() + gate.expected_duration > deadline_at:
            raise Refused(
                NotRunReason.DEADLINE_TOO_SHORT,
                f"a complete answer takes about {gate.expected_duration:.0f} ms",
            )
        if self._running >= MAX_CONCURRENT_QUERIES * URGENCY_SHARES[gate.urgency]:
            raise Refused(NotRunReason.OVERLOADED, "the entry runs too many queries")
        gate.acquire(deadline_at - gate.slow_duration)
        self._running += 1
        try:
            yield
        finally:
            self._running -= 1
            gate.release()
