"""A stand-in upstream that runs requests in slots, records them and injects faults on command."""

from __future__ import annotations

import json
import socket
import time
from collections import Counter
from dataclasses import asdict, replace
from typing import TYPE_CHECKING, Any

import gevent
from gevent.event import Event
from gevent.lock import BoundedSemaphore
from gevent.pywsgi import WSGIServer

from fulmarhold.clock import SECOND, Clock
from fulmarhold.membership.records import UpstreamRecord
from fulmarhold.upstreams.protocol import (
    OUTCOME_CANCELLED,
    OUTCOME_NOT_RUN,
    OUTCOME_SNAPSHOT_GONE,
    STATE_DRAINING,
)
from fulmarhold.wire.server import listen

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable
    from random import Random

    from fulmarhold.standin.behaviour import Behaviour

STATUS_TEXTS = {
    200: "200 OK",
    404: "404 Not Found",
    409: "409 Conflict",
    499: "499 Cancelled",
    500: "500 Internal Server Error",
    503: "503 Service Unavailable",
}
QUEUE_PER_SLOT = 8
WRONG_BODY = b'{"held": "another request", "key": ""}'
DEFAULT_DEADLINE_MS = 1_000.0


class StandinUpstream:
    """A simulated upstream that listens on one port."""

    def __init__(self, record: UpstreamRecord, connection_cost_ms: float, behaviour: Behaviour,
                 random: Random, clock: Clock) -> None:  # fmt: skip
        self.record = record
        self.behaviour = behaviour
        self.effects: Counter[str] = Counter()
        self.runs: Counter[str] = Counter()
        self.last_run_at = 0.0
        self._connection_cost_ms = connection_cost_ms
        self._random = random
        self._clock = clock
        self._started_at = clock.now()
        self._slots = BoundedSemaphore(record.slots)
        self._queued = 0
        self._cancels: dict[str, Event] = {}
        self._server: _LimitedServer | None = None

    @property
    def load(self) -> float:
        if self.behaviour.reported_load is not None:
            return self.behaviour.reported_load
        busy = self.record.slots - self._slots.counter
        return (busy + self._queued) / self.record.slots

    @property
    def is_running(self) -> bool:
        return self._server is not None

    def start(self) -> None:
        """Start to listen."""
        address, _, port = self.record.address.rpartition(":")
        cost = self._connection_cost_ms / SECOND
        self._server = _LimitedServer(
            listen(address, int(port)), self._serve, self.record.connection_limit, cost
        )
        self._server.start()

    def stop(self) -> None:
        """Stop without notice, as a crashed server does."""
        if self._server is not None:
            self._server.stop(timeout=0)
            self._server = None

    def restart(self) -> None:
        """Start again, cold, as a new incarnation."""
        self._started_at = self._clock.now()
        self.update(incarnation=int(time.time() * SECOND), sequence=0, state="serving")
        self.start()

    def update(self, **changes: Any) -> None:
        """Change the announced record; increments the sequence number unless it is given."""
        changes.setdefault("sequence", self.record.sequence + 1)
        self.record = replace(self.record, **changes)

    def report(self) -> dict[str, Any]:
        """Return the state and the counts that tests check."""
        return {
            "record": asdict(self.record),
            "effects": dict(self.effects),
            "runs": dict(self.runs),
            "last_run_at": self.last_run_at,
            "is_running": self.is_running,
        }

    def _serve(
        self, environ: dict[str, Any], start_response: Callable[..., Any]
    ) -> Iterable[bytes]:
        environ["wsgi.input"].read()
        path = environ["PATH_INFO"]
        part = environ.get("HTTP_FULMARHOLD_PART", "")
        if path == "/cancel":
            return self._cancel(part, start_response)
        segments = path.split("/")
        if len(segments) != 4 or segments[1] != "run":
            return self._respond(start_response, 404, part, "")
        status, outcome, body = self._run(environ, part)
        if self._happens(self.behaviour.lose_response_share):
            raise gevent.GreenletExit
        if self._happens(self.behaviour.wrong_echo_share):
            # Simulates a misrouted response: it names the part of another request.
            return self._respond(start_response, 200, f"other-{part}", "", WRONG_BODY)
        return self._respond(start_response, status, part, outcome, body)

    def _run(self, environ: dict[str, Any], part: str) -> tuple[int, str, bytes]:
        arrived_at = self._clock.now()
        network = self.behaviour.draw_network_time(self._random)
        if network:
            gevent.sleep(network / SECOND)
        if self.record.state == STATE_DRAINING or self._happens(self.behaviour.shed_share):
            return self._shed()
        _, shard, version, layout = part.rsplit(";", 3)
        is_held = int(version) in self.record.versions and layout == self.record.layout
        if not is_held or int(shard) != self.record.shard:
            return 409, OUTCOME_SNAPSHOT_GONE, b""
        deadline = float(environ.get("HTTP_FULMARHOLD_DEADLINE_MS", DEFAULT_DEADLINE_MS))
        left = arrived_at + deadline - self._clock.now()
        if self._queued >= QUEUE_PER_SLOT * self.record.slots or not self._acquire_slot(left):
            return self._shed()
        try:
            return self._execute(environ, part)
        finally:
            self._slots.release()

    def _execute(self, environ: dict[str, Any], part: str) -> tuple[int, str, bytes]:
        self.runs[environ["PATH_INFO"]] += 1
        self.last_run_at = time.time() * SECOND
        key = environ.get("HTTP_IDEMPOTENCY_KEY", "")
        if key:
            self.effects[key] += 1
        # The version may change while the request runs; the response names the one at its start.
        _, shard, version, layout = part.rsplit(";", 3)
        age = self._clock.now() - self._started_at
        duration = self.behaviour.draw_service_time(self._random, age)
        cancelled = self._cancels[part] = Event()
        try:
            if cancelled.wait(duration / SECOND) and not key:
                gevent.sleep(self.behaviour.late_after_cancel_ms / SECOND)
                return 499, OUTCOME_CANCELLED, b""
        finally:
            self._cancels.pop(part, None)
        if self._happens(self.behaviour.error_share):
            return 500, "", b""
        body = {"held": f"{self.record.service}/{layout}/{version}/{shard}", "key": key}
        return 200, "", json.dumps(body).encode()

    def _acquire_slot(self, left: float) -> bool:
        if self._slots.acquire(blocking=False):
            return True
        self._queued += 1
        try:
            return bool(self._slots.acquire(timeout=max(0.0, left) / SECOND))
        finally:
            self._queued -= 1

    def _shed(self) -> tuple[int, str, bytes]:
        self.runs["shed"] += 1
        return 503, OUTCOME_NOT_RUN, b""

    def _cancel(self, part: str, start_response: Callable[..., Any]) -> Iterable[bytes]:
        event = self._cancels.get(part)
        if event is not None:
            self.runs["cancelled"] += 1
            event.set()
        return self._respond(start_response, 200, part, "")

    def _respond(self, start_response: Callable[..., Any], status: int, part: str, outcome: str,
                 body: bytes = b"") -> Iterable[bytes]:  # fmt: skip
        headers = [("Content-Length", str(len(body))), ("Fulmarhold-Part", part)]
        if outcome:
            headers.append(("Fulmarhold-Outcome", outcome))
        if self.record.state == STATE_DRAINING:
            headers.append(("Fulmarhold-State", STATE_DRAINING))
        start_response(STATUS_TEXTS[status], headers)
        return [body]

    def _happens(self, share: float) -> bool:
        return bool(share) and self._random.random() < share


class _LimitedServer(WSGIServer):
    """A WSGI server with a connection limit and a simulated setup time per connection."""

    def __init__(self, listener: Any, application: Any, limit: int, cost: float) -> None:
        super().__init__(listener, application, log=None, error_log=None)
        self._limit = limit
        self._cost = cost
        self._open = 0
        self._sockets: set[Any] = set()

    def handle(self, connection: Any, address: Any) -> None:
        if self._open >= self._limit:
            connection.close()
            return
        self._open += 1
        self._sockets.add(connection)
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        try:
            gevent.sleep(self._cost)
            super().handle(connection, address)
        finally:
            self._sockets.discard(connection)
            self._open -= 1

    def stop(self, timeout: float | None = None) -> None:
        super().stop(timeout=timeout)
        for connection in list(self._sockets):
            # A handler holds file objects on the socket, so close() would not end the connection.
            connection.shutdown(socket.SHUT_RDWR)
