"""Admission of queries: work that can't finish in time is refused before it starts."""

from __future__ import annotations

from collections import deque
from contextlib import contextmanager
from typing import TYPE_CHECKING

import gevent
from gevent.event import AsyncResult

from fulmarhold.clock import SECOND
from fulmarhold.gather.outcome import NotRunReason, Refused

if TYPE_CHECKING:
    from collections.abc import Iterator

    from fulmarhold.clock import Clock, Milliseconds
    from fulmarhold.configuration import Urgency

# An entry runs this many queries at once; less urgent ones may use only a part of that.
QUERIES_AT_ONCE = 192
URGENCY_SHARES: dict[Urgency, float] = {"urgent": 1.0, "normal": 0.75, "background": 0.5}
LONGEST_QUEUE = 256


class ServiceGate:
    """Lets a bounded number of queries of one service run; others wait while there is time."""

    def __init__(self, service: str, urgency: Urgency, limit: int, clock: Clock) -> None:
        self.service = service
        self.urgency = urgency
        self.limit = limit
        self._clock = clock
        self._running = 0
        self._waiting: deque[AsyncResult] = deque()

    @property
    def running(self) -> int:
        return self._running

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
        """Give a place back, to the first that waits."""
        if self._waiting:
            self._waiting.popleft().set()
        else:
            self._running -= 1


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

    def configure(self, service: str, urgency: Urgency, limit: int) -> None:
        """Set the limit of a service, keeping what runs."""
        gate = self._gates.get(service)
        if gate is None:
            self._gates[service] = ServiceGate(service, urgency, limit, self._clock)
        else:
            gate.urgency, gate.limit = urgency, limit

    @contextmanager
    def admitted(
        self, service: str, deadline_at: Milliseconds, needed: Milliseconds
    ) -> Iterator[None]:
        """Hold a place for one query that needs `needed` ms; raises `Refused` without one."""
        gate = self._gates[service]
        if self._clock.now() + needed > deadline_at:
            raise Refused(NotRunReason.DEADLINE_TOO_SHORT, f"it takes about {needed:.0f} ms")
        if self._running >= QUERIES_AT_ONCE * URGENCY_SHARES[gate.urgency]:
            raise Refused(NotRunReason.OVERLOADED, "the entry runs too many queries")
        gate.enter(deadline_at - needed)
        self._running += 1
        try:
            yield
        finally:
            self._running -= 1
            gate.leave()
