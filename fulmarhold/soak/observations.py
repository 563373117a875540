"""What callers, upstreams and operators have seen, and which disturbances there were."""

from __future__ import annotations

from collections import defaultdict
from contextlib import contextmanager
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from fulmarhold.clock import Milliseconds

if TYPE_CHECKING:
    from collections.abc import Iterator

    from fulmarhold.clock import Clock
    from fulmarhold.routes.configuration import RouteConfiguration

EVERYTHING = "everything"
NEVER = float("inf")
TIMED_OUT = -1


@dataclass(frozen=True)
class Sent:
    """A request as a caller has sent it; `entry` and `life` name the process that it went to."""

    request_id: str
    method: str
    target: str
    body: bytes
    is_idempotent: bool
    entry: str
    life: int
    at: Milliseconds


@dataclass(frozen=True)
class Run:
    """A request as an upstream began to work on it."""

    request_id: str
    method: str
    target: str
    body: bytes
    service: str
    upstream: str
    at: Milliseconds


@dataclass(frozen=True)
class Part:
    """What an upstream answered; its signature names it."""

    request_id: str
    service: str
    status: int
    body: bytes


@dataclass(frozen=True)
class Answer:
    """What a caller got; `status` is zero where the connection ended without a whole answer.

    `TIMED_OUT` stands for a caller that stopped waiting.
    """

    sent: Sent
    status: int
    at: Milliseconds
    signature: str = ""
    signatures: tuple[str, ...] = ()
    missing: int = 0
    body: bytes = b""


@dataclass(frozen=True)
class Leave:
    """An upstream was told at `at` that it is known to leave."""

    upstream: str
    at: Milliseconds


@dataclass(frozen=True)
class Stored:
    """A configuration that was sent and, unless `acknowledged_at` is never, acknowledged."""

    configuration: RouteConfiguration
    sent_at: Milliseconds
    acknowledged_at: Milliseconds = NEVER


@dataclass(frozen=True)
class ReadBack:
    """The version that a control instance named, and whether all of it is as it was sent."""

    version: int
    sent_at: Milliseconds
    is_as_sent: bool


@dataclass
class Disturbance:
    """Something was done to an instance, or to everything; planned ones promise more."""

    name: str
    subject: str
    at: Milliseconds
    until: Milliseconds = NEVER
    is_planned: bool = False


@dataclass
class Observations:
    """Everything that one soak has seen."""

    clock: Clock
    # The names of the control instances, on which all entries depend.
    control: tuple[str, ...] = ()
    sent: dict[str, Sent] = field(default_factory=dict)
    runs: dict[str, list[Run]] = field(default_factory=lambda: defaultdict(list))
    parts: dict[str, Part] = field(default_factory=dict)
    answers: list[Answer] = field(default_factory=list)
    leaves: list[Leave] = field(default_factory=list)
    stored: dict[int, Stored] = field(default_factory=dict)
    refused_versions: set[int] = field(default_factory=set)
    reads: list[ReadBack] = field(default_factory=list)
    disturbances: list[Disturbance] = field(default_factory=list)
    # What broke a promise in a way that is known at once.
    broken: list[str] = field(default_factory=list)

    @contextmanager
    def disturbing(self, name: str, subject: str, *, is_planned: bool = False) -> Iterator[None]:
        """Note a disturbance from now until the block ends."""
        disturbance = Disturbance(name, subject, self.clock.now(), is_planned=is_planned)
        self.disturbances.append(disturbance)
        try:
            yield
        finally:
            disturbance.until = self.clock.now()

    def was_calm(
        self,
        start: Milliseconds,
        end: Milliseconds,
        subjects: tuple[str, ...] = (),
        *,
        plans_count: bool = True,
    ) -> bool:
        """Whether nothing disturbed the subjects, or all of them if none is named, in a time."""
        return not any(
            item.at <= end
            and item.until >= start
            and (plans_count or not item.is_planned)
            and (not subjects or item.subject in subjects or item.subject == EVERYTHING)
            for item in self.disturbances
        )

    def newest_acknowledged(self, before: Milliseconds) -> int:
        """Return the highest version acknowledged before a time, zero without any."""
        return max(
            (version for version, item in self.stored.items() if item.acknowledged_at < before),
            default=0,
        )
