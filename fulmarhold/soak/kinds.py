"""The kinds of requests that callers send, each on a route of its own."""

from __future__ import annotations

from dataclasses import dataclass

from fulmarhold.clock import Milliseconds

QUICK_DEADLINE: Milliseconds = 2_000.0
QUICK_TIMEOUT: Milliseconds = 1_800.0


@dataclass(frozen=True)
class RequestKind:
    """A kind of requests; its route has the path prefix `/name/`.

    Callers choose a deadline between the two, and the route has its own timeout.
    """

    name: str
    is_idempotent: bool = True
    shortest_deadline: Milliseconds = QUICK_DEADLINE
    longest_deadline: Milliseconds = QUICK_DEADLINE
    timeout: Milliseconds = QUICK_TIMEOUT

    @property
    def prefix(self) -> str:
        return f"/{self.name}/"

    @property
    def method(self) -> str:
        return "GET" if self.is_idempotent else "POST"


ONE, ALL = RequestKind("one"), RequestKind("all")
EFFECT = RequestKind("effect", is_idempotent=False)
QUICK_KINDS = (ONE, ALL, ALL, EFFECT)
# Their work and the wait for it can outlast a planned stop.
SLOW = RequestKind("slow", True, 4_000.0, 15_000.0, 15_000.0)
SLOW_EFFECT = RequestKind("slow-effect", False, 4_000.0, 15_000.0, 15_000.0)
SLOW_KINDS = (SLOW, SLOW_EFFECT)
