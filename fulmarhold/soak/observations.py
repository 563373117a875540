"""Records of what callers, upstreams and operators observed, and of the disturbances."""

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

ALL_SUBJECTS = "everything"
NEVER = float("inf")
TIMED_OUT = -1


@dataclass(frozen=True)
class SentRequest:
    """A request as a caller sent it; `entry` and `incarnation` identify the receiving process.

    `until` is when its deadline or the timeout of its route is reached.
    """

    request_id: str
    method: str
    target: str
    body: bytes
    is_idempotent: bool
    entry: str
    incarnation: int
    at: Milliseconds
    until: Milliseconds = NEVER


@dataclass
class Run:
    """A request that reached an upstream at `at`; its work starts when the upstream has room.

    `broke_off` tells that the upstream ended the connection without a complete response.
    """

    request_id: str
    method: str
    target: str
    body: bytes
    service: str
    upstream: str
    at: Milliseconds
    started_at: Milliseconds = NEVER
    until: Milliseconds = NEVER
    broke_off: bool = False
    data_centre: str = ""


@dataclass(frozen=True)
class UpstreamReply:
    """A response that an upstream sent, stored under its signature.

    `leaving` is the name of the upstream if the response says that it leaves.
    """

    request_id: str
    service: str
    status: int
    body: bytes
    leaving: str = ""


@dataclass(frozen=True)
class Response:
    """What a caller received; `status` is 0 if the connection closed before a complete response.

    A `status` of `TIMED_OUT` means that the caller stopped waiting.
    """

    request: SentRequest
    status: int
    at: Milliseconds
    signature: str = ""
    signatures: tuple[str, ...] = ()
    missing: int = 0
    body: bytes = b""


@dataclass(frozen=True)
class DrainAcknowledgement:
    """Control acknowledged at `at` that the upstream is draining."""

    upstream: str
    at: Milliseconds


@dataclass
class Evacuation:
    """A data centre that was evacuated from `acknowledged_at` until its end was ordered."""

    data_centre: str
    acknowledged_at: Milliseconds
    ended_at: Milliseconds = NEVER


@dataclass(frozen=True)
class PauseAnswer:
    """An upstream answered a request at `at` that it wants no work until `until`.

    `place` is where the upstream runs.
    """

    upstream: str
    place: str
    request_id: str
    at: Milliseconds
    until: Milliseconds


@dataclass(frozen=True)
class SubmittedConfiguration:
    """A configuration that was sent; `acknowledged_at` is `NEVER` until it is acknowledged."""

    configuration: RouteConfiguration
    sent_at: Milliseconds
    acknowledged_at: Milliseconds = NEVER


@dataclass(frozen=True)
class ReadBack:
    """The version that a control instance returned, and whether its content is what was sent."""

    version: int
    sent_at: Milliseconds
    matches_submitted: bool


@dataclass
class Disturbance:
    """A fault or change that affected one subject or all of them.

    Stronger guarantees apply during planned disturbances.
    """

    name: str
    subject: str
    at: Milliseconds
    until: Milliseconds = NEVER
    is_planned: bool = False


@dataclass
class Observations:
    """Everything observed during one soak."""

    clock: Clock
    # All entries depend on these control instances.
    control_names: tuple[str, ...] = ()
    sent_requests: dict[str, SentRequest] = field(default_factory=dict)
    runs: dict[str, list[Run]] = field(default_factory=lambda: defaultdict(list))
    upstream_replies: dict[str, UpstreamReply] = field(default_factory=dict)
    responses: list[Response] = field(default_factory=list)
    drain_acknowledgements: list[DrainAcknowledgement] = field(default_factory=list)
    pause_answers: list[PauseAnswer] = field(default_factory=list)
    evacuations: list[Evacuation] = field(default_factory=list)
    submitted: dict[int, SubmittedConfiguration] = field(default_factory=dict)
    refused_versions: set[int] = field(default_factory=set)
    reads: list[ReadBack] = field(default_factory=list)
    disturbances: list[Disturbance] = field(default_factory=list)
    # Spans of time in which the soak itself did not run, so that its measurements are late.
    pauses: list[tuple[Milliseconds, Milliseconds]] = field(default_factory=list)
    # When each run of a process, by its name and incarnation, was first asked to stop.
    stops: dict[tuple[str, int], Milliseconds] = field(default_factory=dict)
    # Names of processes that were told to read their settings again, and when.
    reloads: list[tuple[str, Milliseconds]] = field(default_factory=list)
    # Violations that were detected while the soak was running.
    violations: list[str] = field(default_factory=list)

    @contextmanager
    def disturbance(self, name: str, subject: str, *, is_planned: bool = False) -> Iterator[None]:
        """Record a disturbance that lasts until the block ends."""
        disturbance = Disturbance(name, subject, self.clock.now(), is_planned=is_planned)
        self.disturbances.append(disturbance)
        try:
            yield
        finally:
            disturbance.until = self.clock.now()

    def was_undisturbed(
        self, start: Milliseconds, end: Milliseconds, subjects: tuple[str, ...] = (), *,
        include_planned: bool = True, except_for: tuple[str, ...] = (),
    ) -> bool:  # fmt: skip
        """Return whether no disturbance of the subjects overlaps the interval.

        Without subjects, every disturbance counts but those named in `except_for`.
        """
        return not any(
            item.at <= end
            and item.until >= start
            and (include_planned or not item.is_planned)
            and item.name not in except_for
            and (not subjects or item.subject in subjects or item.subject == ALL_SUBJECTS)
            for item in self.disturbances
        )

    def time_between(self, start: Milliseconds, end: Milliseconds) -> Milliseconds:
        """Return the time from `start` to `end` without the pauses of the soak."""
        paused = sum(max(0.0, min(end, to) - max(start, at)) for at, to in self.pauses)
        return end - start - paused

    def newest_acknowledged(self, before: Milliseconds) -> int:
        """Return the highest version acknowledged before a time, or 0 if there is none."""
        return max(
            (version for version, item in self.submitted.items() if item.acknowledged_at < before),
            default=0,
        )
