"""Admission of queries: work that can't finish in time is refused before it starts."""

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

# An entry runs this many queries at once; less urgent ones may use only a part of that.
QUERIES_AT_ONCE = 192
URGENCY_SHARES: dict[Urgency, float] = {"urgent": 1.0, "normal": 0.75, "background": 0.5}
LONGEST_QUEUE = 256
LEAST_BOUND = 1.0
LEAST_NEEDED: Milliseconds = 1.0
LATE_FACTOR = 0.7
SLOW_FACTOR = 0.9
RAISE_STEP = 0.2
# A whole answer has queued at upstreams once it took this share of the way from the time of the
# fastest answers to the deadline.
QUEUEING_SHARE = 1 / 3
FAST_QUANTILE = 0.1
LONG_QUANTILE = 0.98


class ServiceGate:
    """Lets a bounded number of queries of one service run; others wait while there is time.

    The bound follows what the upstreams can do: it falls when parts miss the deadline, or when
    whole answers take so long that they must have queued while it is reached, once for each round
    of queries, and grows slowly while answers are whole, up to the configured limit.
    """

    def __init__(self, urgency: Urgency, limit: int, clock: Clock) -> None:
        self.urgency = urgency
        self._most = limit
        self._bound = float(limit)
        self._clock = clock
        self._running = 0
        self._usual: LatencyAverage | None = None
        self._renewed_at: Milliseconds = float("-inf")
        self._fast = QuantileEstimate(FAST_QUANTILE, LEAST_NEEDED)
        self._long = QuantileEstimate(LONG_QUANTILE, LEAST_NEEDED)
        self._lowered_at: Milliseconds = float("-inf")
        self._waiting: deque[AsyncResult] = deque()

    @property
    def limit(self) -> int:
        """How many queries may run now."""
        return max(1, int(self._bound))

    @property
    def needed(self) -> Milliseconds:
        """How long a whole answer has taken lately; fades while nothing renews it."""
        if self._usual is None:
            return LEAST_NEEDED
        # Queries that are refused renew nothing: one slow answer could refuse all that follow.
        return max(LEAST_NEEDED, decay(self._usual.value, self._clock.now() - self._renewed_at))

    @property
    def needed_at_most(self) -> Milliseconds:
        """How long nearly all whole answers have taken lately at most."""
        return max(self.needed, self._long.value)

    def configure(self, urgency: Urgency, limit: int) -> None:
        """Change the configured limit, keeping what runs."""
        self.urgency = urgency
        if limit != self._most:
            self._most, self._bound = limit, float(limit)

    def note_complete(self, duration: Milliseconds, allowed: Milliseconds) -> None:
        """Take in a whole answer that took `duration` ms of the `allowed` ms."""
        if self._usual is None:
            self._usual = LatencyAverage(duration)
            self._fast.value = self._long.value = duration
        self._renewed_at = self._clock.now()
        for estimate in (self._usual, self._fast, self._long):
            estimate.update(duration)
        fast = self._fast.value
        if duration > fast + QUEUEING_SHARE * (allowed - fast) and self._running >= self.limit:
            self._lower(SLOW_FACTOR)
        else:
            self._bound = min(float(self._most), self._bound + RAISE_STEP / self._bound)

    def note_partial(self) -> None:
        """Take in an answer that lacks parts because the deadline came."""
        self._lower(LATE_FACTOR)

    def enter(self, wait_until: Milliseconds) -> None:
        """Take a place, waiting for one until `wait_until`; raises `Refused`."""
        if self._running < self.limit:
            self._running += 1
            return
        left = wait_until - self._clock.now()
        if left <= 0 or len(self._waiting) >= LONGEST_QUEUE:
            raise Refused(NotRunReason.OVERLOADED, f"{self.limit} queries run already")
        place: AsyncResult = AsyncResult()
        self._waiting.append(place)
        try:
            place.get(timeout=left / SECOND)
        except gevent.Timeout:
            if place.ready():
                return
            self._waiting.remove(place)
            raise Refused(NotRunReason.OVERLOADED, "no place came free in time") from None

    def leave(self) -> None:
        """Give a place back, and let in as many of those that wait as the bound allows now."""
        self._running -= 1
        while self._waiting and self._running < self.limit:
            self._running += 1
            self._next().set()

    def _next(self) -> AsyncResult:
        # Once more wait than run, the oldest have too little time left to be worth a place.
        if len(self._waiting) > self.limit:
            return self._waiting.pop()
        return self._waiting.popleft()

    def _lower(self, factor: float) -> None:
        now = self._clock.now()
        if now >= self._lowered_at + self.needed:
            self._lowered_at = now
            self._bound = max(LEAST_BOUND, factor * self._bound)


class Admission:
    """The gates of all services of one entry."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._gates: dict[str, ServiceGate] = {}
        self._running = 0

    @property
    def running(self) -> int:
        """Queries that run now."""
        return self._running

    def configure(self, service: str, urgency: Urgency, limit: int) -> ServiceGate:
        """Return the gate of a service, with its limit set."""
        gate = self._gates.get(service)
        if gate is None:
            gate = self._gates[service] = ServiceGate(urgency, limit, self._clock)
        gate.configure(urgency, limit)
        return gate

    @contextmanager
    def admitted(self, gate: ServiceGate, deadline_at: Milliseconds) -> Iterator[None]:
        """Hold a place for one query; raises `Refused` without one or without enough time."""
        if self._clock.now() + gate.needed > deadline_at:
            raise Refused(NotRunReason.DEADLINE_TOO_SHORT, f"it takes about {gate.needed:.0f} ms")
        if self._running >= QUERIES_AT_ONCE * URGENCY_SHARES[gate.urgency]:
            raise Refused(NotRunReason.OVERLOADED, "the entry runs too many queries")
        gate.enter(deadline_at - gate.needed_at_most)
        self._running += 1
        try:
            yield
        finally:
            self._running -= 1
            gate.leave()
