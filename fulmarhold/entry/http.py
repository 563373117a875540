"""The HTTP API of an entry for callers and upstreams."""

from __future__ import annotations

import json
import math
import re
import uuid
from contextlib import ExitStack
from typing import TYPE_CHECKING, Any

import falcon
from pydantic import ValidationError

from fulmarhold.entry.request_handler import CallerRequest, RequestHandler
from fulmarhold.errors import MalformedInput
from fulmarhold.gather.outcome import Answered, NotRun, NotRunReason, Outcome, Unknown
from fulmarhold.membership.announced import DEFAULT_ANNOUNCEMENT_LEASE, DEFAULT_ANNOUNCEMENT_PERIOD
from fulmarhold.membership.records import Announcement
from fulmarhold.settings.loading import type_adapter
from fulmarhold.web.serving import (
    LARGEST_BODY_BYTES,
    BodyTooLarge,
    NoMemory,
    held_body,
    make_application,
    read_json,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from fulmarhold.clock import Clock, Milliseconds
    from fulmarhold.entry.addresses import EntryAddresses
    from fulmarhold.limits.memory import MemoryBudget
    from fulmarhold.membership.announced import AnnouncedSet
    from fulmarhold.membership.running import RunningState
    from fulmarhold.observe.counters import Counters

DEADLINE_HEADER = "Fulmarhold-Deadline-Ms"
REQUEST_ID_HEADER = "Fulmarhold-Request-Id"
SHARD_KEY_HEADER = "Fulmarhold-Shard-Key"
IDEMPOTENCY_KEY_HEADER = "Idempotency-Key"

REQUEST_ID_PATTERN = re.compile(r"^[A-Za-z0-9_.-]{1,64}$")
MAX_SHARD_KEY_LENGTH = 256
MAX_ANNOUNCEMENT_BYTES = 16 * 1024

BAD_REQUEST_REASONS = {
    NotRunReason.UNKNOWN_SERVICE,
    NotRunReason.UNKNOWN_REQUEST_TYPE,
    NotRunReason.MALFORMED_REQUEST,
    NotRunReason.DEADLINE_MISSING,
    NotRunReason.KEY_MISSING,
    NotRunReason.KEY_INVALID,
    NotRunReason.KEY_REUSED,
    NotRunReason.KEY_EXPIRED,
}


class QueryResource:
    """POST /query/SERVICE/TYPE: runs a request and returns its tagged outcome."""

    def __init__(
        self,
        handler: RequestHandler,
        clock: Clock,
        update_in_flight: Callable[[int], None],
        memory: MemoryBudget,
    ) -> None:
        self._handler = handler
        self._clock = clock
        self._update_in_flight = update_in_flight
        self._memory = memory

    def on_post(
        self, request: falcon.Request, response: falcon.Response, service: str, request_type: str
    ) -> None:
        arrived_at = self._clock.now()
        self._update_in_flight(1)
        try:
            outcome, request_id = self._answer(request, service, request_type, arrived_at)
        finally:
            self._update_in_flight(-1)
        response.status = http_status(outcome)
        response.content_type = falcon.MEDIA_JSON
        response.data = encode_outcome(outcome, request_id)

    def _answer(
        self, request: falcon.Request, service: str, request_type: str, arrived_at: Milliseconds
    ) -> tuple[Outcome, str]:
        request_id = request.get_header(REQUEST_ID_HEADER) or uuid.uuid4().hex
        with ExitStack() as held:
            try:
                shard_key = _read_shard_key(request, request_id)
                body = held.enter_context(held_body(request, LARGEST_BODY_BYTES, self._memory))
            except NoMemory as error:
                return self._refuse(service, NotRunReason.OVERLOADED, str(error)), request_id
            except BodyTooLarge as error:
                return self._refuse(service, NotRunReason.BODY_TOO_LARGE, str(error)), request_id
            except MalformedInput as error:
                return self._refuse(service, NotRunReason.MALFORMED_REQUEST, str(error)), ""
            deadline = _parse_deadline(request.get_header(DEADLINE_HEADER))
            if deadline is None:
                detail = f"{DEADLINE_HEADER} must be a number of milliseconds"
                return self._refuse(service, NotRunReason.DEADLINE_MISSING, detail), request_id
            key = request.get_header(IDEMPOTENCY_KEY_HEADER) or ""
            parsed = CallerRequest(
                request_id, service, request_type, arrived_at + deadline, key, shard_key, body
            )
            return self._handler.handle(parsed), request_id

    def _refuse(self, service: str, reason: NotRunReason, detail: str) -> NotRun:
        outcome = NotRun(reason, detail)
        self._handler.count_outcome(service, outcome)
        return outcome


class InstancesResource:
    """GET /instances: lists the entry instances to use and how long to cache the list."""

    def __init__(self, addresses: EntryAddresses, running: RunningState) -> None:
        self._addresses = addresses
        self._running = running

    def on_get(self, request: falcon.Request, response: falcon.Response) -> None:
        service = request.get_param("service") or ""
        configuration = self._running.configuration
        if service and configuration is not None and service not in configuration.services:
            raise MalformedInput(f"service: unknown service {service!r:.70}")
        answer = self._addresses.answer(request.get_param("data_centre") or "")
        response.media = {"addresses": list(answer.addresses), "keep_ms": answer.keep_ms}


class AnnounceResource:
    """POST /announce: records the state of an upstream and returns the next token."""

    def __init__(self, announced: AnnouncedSet, running: RunningState, counters: Counters) -> None:
        self._announced = announced
        self._running = running
        self._counters = counters

    def on_post(self, request: falcon.Request, response: falcon.Response) -> None:
        try:
            body = read_json(request, MAX_ANNOUNCEMENT_BYTES)
            announcement = type_adapter(Announcement).validate_python(body)
        except MalformedInput:
            self._counters.add("announcement_refusals", reason="malformed")
            raise
        except ValidationError as error:
            self._counters.add("announcement_refusals", reason="malformed")
            detail = error.errors()[0]
            path = ".".join(str(part) for part in detail["loc"])
            raise MalformedInput(f"{path}: {detail['msg']}", step="announcing") from error
        lease, period = self._announcement_timings()
        is_held = self._announced.apply(announcement, lease)
        response.media = {
            "token": self._announced.issue_token(),
            "lease_ms": lease,
            "period_ms": period,
            "is_held": is_held,
        }

    def _announcement_timings(self) -> tuple[Milliseconds, Milliseconds]:
        configuration = self._running.configuration
        if configuration is None:
            return DEFAULT_ANNOUNCEMENT_LEASE, DEFAULT_ANNOUNCEMENT_PERIOD
        timings = configuration.timings
        return timings.announcement_lease_ms, timings.announcement_period_ms


class DrainResource:
    """POST /drain: the entry announces that it is leaving and keeps serving."""

    def __init__(self, drain: Callable[[], None]) -> None:
        self._drain = drain

    def on_post(self, _: falcon.Request, response: falcon.Response) -> None:
        self._drain()
        response.media = {"outcome": "leaving"}


def caller_application(
    counters: Counters,
    health: Callable[[], str],
    resources: dict[str, Any],
) -> falcon.App:
    """Return the WSGI application with the given resources."""
    application = make_application(counters, health)
    for path, resource in resources.items():
        application.add_route(path, resource)
    return application


def http_status(outcome: Outcome) -> str:
    """Return the HTTP status for an outcome."""
    match outcome:
        case NotRun(reason) if reason in BAD_REQUEST_REASONS:
            return falcon.HTTP_400
        case NotRun(NotRunReason.BODY_TOO_LARGE):
            return falcon.HTTP_413
        case NotRun():
            return falcon.HTTP_503
        case Unknown():
            return falcon.HTTP_504
    return falcon.HTTP_200


def encode_outcome(outcome: Outcome, request_id: str) -> bytes:
    """Return an outcome as the JSON document for callers."""
    match outcome:
        case Answered():
            document = _answered_document(outcome)
        case NotRun(reason, detail):
            document = {"outcome": "not_run", "reason": reason.value, "detail": detail}
        case Unknown(unknown_reason, detail):
            document = {"outcome": "unknown", "reason": unknown_reason.value, "detail": detail}
    document["request_id"] = request_id
    return json.dumps(document).encode()


def _answered_document(outcome: Answered) -> dict[str, Any]:
    coverage = outcome.coverage
    return {
        "outcome": "answered",
        "snapshot": {"layout": outcome.snapshot.layout, "version": outcome.snapshot.version},
        "coverage": {
            "covered": coverage.covered,
            "total": coverage.total,
            "missing": [
                {"shard": shard, "reason": reason.value}
                for shard, reason in coverage.missing.items()
            ],
        },
        "sufficient": outcome.sufficient,
        "parts": [
            {"shard": shard, "body": body.decode("utf-8", "replace")}
            for shard, body in sorted(outcome.parts.items())
        ],
    }


def _read_shard_key(request: falcon.Request, request_id: str) -> str:
    """Return the shard key; raises `MalformedInput` if it or the request id is not valid."""
    if not REQUEST_ID_PATTERN.match(request_id):
        raise MalformedInput(f"{REQUEST_ID_HEADER} must match {REQUEST_ID_PATTERN.pattern}")
    shard_key = request.get_header(SHARD_KEY_HEADER) or ""
    if len(shard_key) > MAX_SHARD_KEY_LENGTH:
        raise MalformedInput(f"{SHARD_KEY_HEADER} is longer than {MAX_SHARD_KEY_LENGTH} characters")
    return shard_key


def _parse_deadline(text: str | None) -> Milliseconds | None:
    try:
        value = float(text or "")
    except ValueError:
        return None
    return value if math.isfinite(value) else None
