"""A simulated upstream that speaks the platform's protocol and records what it runs."""

from __future__ import annotations

import itertools
from dataclasses import replace
from random import Random
from typing import TYPE_CHECKING, Any

import gevent
from gevent.lock import BoundedSemaphore
from gevent.server import StreamServer

from fulmarhold.clock import SECOND, Milliseconds
from fulmarhold.errors import PeerUnavailable
from fulmarhold.membership.statements import DRAINING, READY, State, UpstreamStatement
from fulmarhold.platform.encoding import HEARTBEAT_PATH, write_heartbeat
from fulmarhold.platform.headers import (
    LEAVING,
    NOT_RUN,
    REQUEST_ID,
    RETRY_AFTER,
    SIGNATURE,
    TARGET,
    UPSTREAM_ID,
)
from fulmarhold.soak.kinds import SLOW
from fulmarhold.soak.observations import DrainAcknowledgement, PauseAnswer, Run, UpstreamReply
from fulmarhold.web.client import request_json

if TYPE_CHECKING:
    from collections.abc import Callable

    from fulmarhold.clock import Clock
    from fulmarhold.soak.kinds import SLOW
from fulmarhold.soak.observations import Observations

RECORDS_PER_REPLY = 4
RECORD_BYTES = 16
# Work takes between these multiples of its mean.
LEAST_WORK, MOST_WORK = 0.17, 1.83
MEAN_WORK: Milliseconds = 3.0
MEAN_SLOW_WORK: Milliseconds = 1_200.0
SLOTS, SLOW_SLOTS = 8, 2
QUEUED = 8
# Statuses of responses to requests that ran; none says whether they did, and 000 is no answer.
FAILURES = (0, 408, 429, 500, 503)
ENDLESS_PIECE = b"X-More: 1\r\n" * 1_000
HEARTBEAT_TIMEOUT: Milliseconds = 1_000.0
DRAIN_TIMEOUT: Milliseconds = 8_000.0
RETRY_INTERVAL: Milliseconds = 150.0
_birth_offsets = itertools.count(1)


class SoakUpstream:
    """One incarnation of an upstream; `public_address` is the address that it announces."""

    def __init__(
        self, service: str, listen: tuple[str, int], public_address: str, data_centre: str,
        control_endpoints: Callable[[], list[str]], heartbeat_period: Milliseconds,
        observations: Observations, random: Random,
    ) -> None:  # fmt: skip
        clock = observations.clock
        born = int(clock.wall()) + next(_birth_offsets)
        is_slow = service == SLOW.name
        slots = SLOW_SLOTS if is_slow else SLOTS
        self.statement = UpstreamStatement(
            f"i-{born}", born, 0, READY, service, public_address, data_centre, slots
        )
        self.work: Milliseconds = MEAN_SLOW_WORK if is_slow else MEAN_WORK
        # Fractions of requests that run without a response, are shed, and hang.
        self.losing = self.shedding = self.hanging = 0.0
        # Fraction of requests that run and get a response that tells of a failure.
        self.failing = 0.0
        # Fractions of responses that end early, and that go on without end in head or body.
        self.cutting = self.endless = 0.0
        # Whether its answers say that it leaves, and until when that it wants no work.
        self.is_leaving = False
        self.pausing_until: Milliseconds = 0.0
        self.is_stopped = False
        self._control_endpoints = control_endpoints
        self._period = heartbeat_period
        self._observations = observations
        self._clock: Clock = clock
        self._random = random
        self._signatures = itertools.count(1)
        self._slots = BoundedSemaphore(slots)
        # Requests that run or wait for a slot.
        self._accepted: list[Run] = []
        self._connections: set[Any] = set()
        self._server = StreamServer(listen, self._serve)
        self._server.start()
        self._heartbeats = gevent.spawn(self._send_heartbeats)

    def crash(self) -> None:
        """Stop abruptly, without announcing it."""
        self.is_stopped = True
        for run in self._accepted:
            run.broke_off = True
        self._heartbeats.kill(block=False)
        self._server.stop(timeout=0)
        for connection in list(self._connections):
            connection.close()

    def drain(self, serving_time: Milliseconds) -> None:
        """Announce draining until acknowledged, keep serving, deregister and stop."""
        self._heartbeats.kill()
        until = self._clock.now() + DRAIN_TIMEOUT
        while self._clock.now() < until:
            if self._announce(DRAINING):
                self._observations.drain_acknowledgements.append(
                    DrainAcknowledgement(self.statement.name, self._clock.now())
                )
                break
            gevent.sleep(RETRY_INTERVAL / SECOND)
        gevent.sleep(serving_time / SECOND)
        self._call("DELETE", None)
        self.crash()

    def _send_heartbeats(self) -> None:
        while True:
            self._announce(READY)
            gevent.sleep(self._period / SECOND)

    def _announce(self, state: State) -> bool:
        sequence = self.statement.sequence + 1
        self.statement = replace(self.statement, sequence=sequence, state=state)
        return self._call("PUT", write_heartbeat(self.statement))

    def _call(self, method: str, body: Any) -> bool:
        endpoints = self._control_endpoints()
        self._random.shuffle(endpoints)
        path = HEARTBEAT_PATH + self.statement.name
        for endpoint in endpoints:
            try:
                response = request_json(
                    endpoint, method, path, body=body, timeout=HEARTBEAT_TIMEOUT
                )
            except PeerUnavailable:
                continue
            if response.status == 200:
                return True
        return False

    def _serve(self, connection: Any, _: Any) -> None:
        self._connections.add(connection)
        try:
            self._handle_requests(connection)
        except OSError:
            # The entry or the proxy closed the connection, so no response is due.
            return
        finally:
            self._connections.discard(connection)
            connection.close()

    def _handle_requests(self, connection: Any) -> None:
        file = connection.makefile("rb")
        while line := file.readline():
            method, target, _ = line.decode("latin-1").split(" ", 2)
            headers = {}
            while (field := file.readline()).strip():
                key, _, value = field.decode("latin-1").partition(":")
                headers[key.lower()] = value.strip()
            body = file.read(int(headers.get("content-length", "0")))
            if not self._handle_request(connection, method, target, headers, body):
                return

    def _handle_request(
        self, connection: Any, method: str, target: str, headers: dict[str, str], body: bytes
    ) -> bool:
        name, request_id = self.statement.name, headers.get(REQUEST_ID.lower(), "")
        if headers.get(TARGET.lower(), name) != name:
            connection.sendall(_encode_response(421, {NOT_RUN: "1", UPSTREAM_ID: name}, b""))
            return True
        if self._clock.now() < self.pausing_until:
            connection.sendall(self._ask_for_pause(request_id))
            return True
        is_full = len(self._accepted) >= self.statement.slots + QUEUED
        if is_full or self._random.random() < self.shedding:
            fields = {NOT_RUN: "1", REQUEST_ID: request_id}
            connection.sendall(_encode_response(503, fields, b""))
            return True
        service = self.statement.service
        run = Run(request_id, method, target, body, service, name, self._clock.now())
        run.data_centre = self.statement.data_centre
        self._observations.runs[request_id].append(run)
        self._work(run)
        if self.is_stopped:
            return False
        if self._random.random() < self.losing:
            run.broke_off = True
            return False
        if self._random.random() < self.failing:
            status = self._random.choice(FAILURES)
            connection.sendall(_encode_response(status, {REQUEST_ID: request_id}, b""))
            return True
        signature = f"{name}.{next(self._signatures)}"
        records = self._random.randbytes(RECORDS_PER_REPLY * RECORD_BYTES)
        leaving = name if self.is_leaving else ""
        reply = UpstreamReply(request_id, service, 200, records, leaving)
        self._observations.upstream_replies[signature] = reply
        fields = {SIGNATURE: signature, REQUEST_ID: request_id}
        if leaving:
            fields[self._random.choice(LEAVING)] = "1"
        response = _encode_response(200, fields, records)
        if self._random.random() < self.cutting:
            run.broke_off = True
            connection.sendall(response[: self._random.randrange(len(response))])
            return False
        if self._random.random() < self.endless:
            self._send_without_end(connection, response)
        connection.sendall(response)
        return True

    def _ask_for_pause(self, request_id: str) -> bytes:
        """Record and return the response that asks for no work until the pause ends."""
        name, now = self.statement.name, self._clock.now()
        place = f"place-{self.statement.address.rpartition(':')[0]}"
        answer = PauseAnswer(name, place, request_id, now, self.pausing_until)
        self._observations.pause_answers.append(answer)
        seconds = f"{(self.pausing_until - now) / SECOND:.3f}"
        status = self._random.choice((429, 503))
        fields = {NOT_RUN: "1", REQUEST_ID: request_id, RETRY_AFTER: seconds}
        return _encode_response(status, fields, b"")

    def _work(self, run: Run) -> None:
        """Wait for a slot and do the work of a request."""
        self._accepted.append(run)
        with self._slots:
            if self.is_stopped:
                return
            run.started_at = self._clock.now()
            if self._random.random() < self.hanging:
                gevent.sleep(10)
            gevent.sleep(self._random.uniform(LEAST_WORK, MOST_WORK) * self.work / SECOND)
            run.until = self._clock.now()
        self._accepted.remove(run)

    def _send_without_end(self, connection: Any, response: bytes) -> None:
        """Send the beginning of a response and more of it until the connection is closed."""
        head, _, body = response.partition(b"\r\nContent-Length")
        is_body = self._random.random() < 0.5
        connection.sendall(head + (b"\r\n\r\n" + body if is_body else b"\r\n"))
        while True:
            connection.sendall(ENDLESS_PIECE)
            gevent.sleep(0)


def _encode_response(status: int, headers: dict[str, str], body: bytes) -> bytes:
    lines = [f"HTTP/1.1 {status:03} X", f"Content-Length: {len(body)}", "Keep-Alive: timeout=4"]
    lines += [f"{key}: {value}" for key, value in headers.items()]
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body
