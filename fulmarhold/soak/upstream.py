"""A stand-in upstream that speaks the platform's protocol and tells what it has run."""

from __future__ import annotations

import itertools
from random import Random
from typing import TYPE_CHECKING, Any

import gevent
from gevent.server import StreamServer

from fulmarhold.clock import SECOND, Milliseconds
from fulmarhold.errors import PeerUnavailable
from fulmarhold.membership.statements import DRAINING, READY, State, UpstreamStatement
from fulmarhold.platform.encoding import HEARTBEAT_PATH, write_heartbeat
from fulmarhold.platform.headers import NOT_RUN, REQUEST_ID, SIGNATURE, TARGET, UPSTREAM_ID
from fulmarhold.soak.observations import Leave, Part, Run
from fulmarhold.web.client import request_json

if TYPE_CHECKING:
    from collections.abc import Callable

    from fulmarhold.clock import Clock
    from fulmarhold.soak.observations import Observations

RECORDS = 4
RECORD_BYTES = 16
HEARTBEAT_TIMEOUT: Milliseconds = 1_000.0
DRAIN_PATIENCE: Milliseconds = 8_000.0
RETRY: Milliseconds = 150.0
_births = itertools.count(1)


class SoakUpstream:
    """One incarnation of an upstream; `public` is the address that it announces."""

    def __init__(
        self,
        service: str,
        listen: tuple[str, int],
        public: str,
        control: Callable[[], list[str]],
        heartbeat_period: Milliseconds,
        seen: Observations,
        random: Random,
    ) -> None:
        clock = seen.clock
        born = int(clock.wall()) + next(_births)
        self.statement = UpstreamStatement(
            f"i-{born}", born, 0, READY, service, public, "a", slots=8
        )
        self.work: Milliseconds = 3.0
        # Shares of requests that are run and not answered, that are shed, and that hang.
        self.losing = self.shedding = self.hanging = 0.0
        self.is_gone = False
        self._control = control
        self._period = heartbeat_period
        self._seen = seen
        self._clock: Clock = clock
        self._random = random
        self._signatures = itertools.count(1)
        self._connections: set[Any] = set()
        self._server = StreamServer(listen, self._serve)
        self._server.start()
        self._beats = gevent.spawn(self._beat)

    def crash(self) -> None:
        """End without a word."""
        self.is_gone = True
        self._beats.kill(block=False)
        self._server.stop(timeout=0)
        for connection in list(self._connections):
            connection.close()

    def leave(self, serve_on: Milliseconds) -> None:
        """Say that it leaves until that is acknowledged, serve on, say goodbye and end."""
        self._beats.kill()
        until = self._clock.now() + DRAIN_PATIENCE
        while self._clock.now() < until:
            if self._announce(DRAINING):
                self._seen.leaves.append(Leave(self.statement.name, self._clock.now()))
                break
            gevent.sleep(RETRY / SECOND)
        gevent.sleep(serve_on / SECOND)
        self._call("DELETE", None)
        self.crash()

    def _beat(self) -> None:
        while True:
            self._announce(READY)
            gevent.sleep(self._period / SECOND)

    def _announce(self, state: State) -> bool:
        known = self.statement
        self.statement = UpstreamStatement(
            known.name, known.born, known.sequence + 1, state, known.service, known.address,
            known.data_centre, known.slots,
        )  # fmt: skip
        return self._call("PUT", write_heartbeat(self.statement))

    def _call(self, method: str, body: Any) -> bool:
        endpoints = self._control()
        self._random.shuffle(endpoints)
        for endpoint in endpoints:
            try:
                path = HEARTBEAT_PATH + self.statement.name
                answer = request_json(endpoint, method, path, body=body, timeout=HEARTBEAT_TIMEOUT)
            except PeerUnavailable:
                continue
            if answer.status == 200:
                return True
        return False

    def _serve(self, connection: Any, _: Any) -> None:
        self._connections.add(connection)
        try:
            self._answer_all(connection)
        except OSError:
            # The entry or the proxy between has closed the connection; nothing is owed to it.
            return
        finally:
            self._connections.discard(connection)
            connection.close()

    def _answer_all(self, connection: Any) -> None:
        file = connection.makefile("rb")
        while line := file.readline():
            method, target, _ = line.decode("latin-1").split(" ", 2)
            headers = {}
            while (field := file.readline()).strip():
                key, _, value = field.decode("latin-1").partition(":")
                headers[key.lower()] = value.strip()
            body = file.read(int(headers.get("content-length", "0")))
            if not self._answer(connection, method, target, headers, body):
                return

    def _answer(
        self, connection: Any, method: str, target: str, headers: dict[str, str], body: bytes
    ) -> bool:
        name, request_id = self.statement.name, headers.get(REQUEST_ID.lower(), "")
        if headers.get(TARGET.lower(), name) != name:
            self._respond(connection, 421, {NOT_RUN: "1", UPSTREAM_ID: name}, b"")
            return True
        if self._random.random() < self.shedding:
            self._respond(connection, 503, {NOT_RUN: "1", REQUEST_ID: request_id}, b"")
            return True
        service = self.statement.service
        self._seen.runs[request_id].append(
            Run(request_id, method, target, body, service, name, self._clock.now())
        )
        if self._random.random() < self.hanging:
            gevent.sleep(10)
        gevent.sleep(self._random.uniform(0.3, 1.7) * self.work / SECOND)
        if self._random.random() < self.losing:
            return False
        signature = f"{name}.{next(self._signatures)}"
        records = self._random.randbytes(RECORDS * RECORD_BYTES)
        self._seen.parts[signature] = Part(request_id, service, 200, records)
        self._respond(connection, 200, {SIGNATURE: signature, REQUEST_ID: request_id}, records)
        return True

    def _respond(self, connection: Any, status: int, headers: dict[str, str], body: bytes) -> None:
        lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}", "Keep-Alive: timeout=4"]
        lines += [f"{key}: {value}" for key, value in headers.items()]
        connection.sendall("\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body)
