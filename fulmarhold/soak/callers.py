"""Callers: they ask the directory, keep connections and judge nothing themselves."""

from __future__ import annotations

import itertools
from typing import TYPE_CHECKING, Any

import gevent
import gevent.socket
from geventhttpclient.response import HTTPParseError

from fulmarhold.clock import SECOND, Milliseconds
from fulmarhold.errors import PeerUnavailable
from fulmarhold.platform.encoding import LOOKUP_PATH, read_addresses, write_request
from fulmarhold.platform.headers import PART_SIGNATURES, PARTS_MISSING, SIGNATURE
from fulmarhold.soak.observations import TIMED_OUT, Answer, Sent
from fulmarhold.upstreams.protocol import ResponseReader, UpstreamResponse
from fulmarhold.web.client import request_json

if TYPE_CHECKING:
    from random import Random

    from fulmarhold.soak.observations import Observations
    from fulmarhold.soak.processes import Instance
    from fulmarhold.soak.world import World

HOST = "soak.example"
DEADLINE: Milliseconds = 2_000.0
# Beyond the deadline, for an answer that is on its way.
PATIENCE: Milliseconds = 600.0
CONNECT_TIMEOUT: Milliseconds = 1_000.0
READ_BYTES = 65_536
PAUSE: Milliseconds = 60.0
LOOKUP_TIMEOUT: Milliseconds = 1_000.0
_ids = itertools.count(1)


class CallerConnection:
    """One connection to an entry, by way of its proxy."""

    def __init__(self, entry: Instance, endpoint: tuple[str, int]) -> None:
        self._entry = entry
        self._life = entry.life
        self._socket = gevent.socket.create_connection(endpoint, timeout=CONNECT_TIMEOUT / SECOND)
        self._reader = ResponseReader()
        self.is_open = True

    def ask(
        self, method: str, target: str, body: bytes, *, is_idempotent: bool, seen: Observations
    ) -> Answer:
        """Send a request and wait for its answer; what comes is noted as it is."""
        request_id = f"soak-{next(_ids)}"
        clock = seen.clock
        sent = Sent(
            request_id, method, target, body, is_idempotent, self._entry.name, self._life,
            clock.now(),
        )  # fmt: skip
        seen.sent[request_id] = sent
        data = write_request(method, HOST, target, request_id, DEADLINE, body)
        try:
            with gevent.Timeout((DEADLINE + PATIENCE) / SECOND):
                self._socket.sendall(data)
                response = self._read()
        except gevent.Timeout:
            self.close()
            answer = Answer(sent, TIMED_OUT, clock.now())
        except (OSError, HTTPParseError):
            # The connection ended, or what came is no answer: the same to this caller.
            self.close()
            answer = Answer(sent, 0, clock.now())
        else:
            if not response.keep_open:
                self.close()
            answer = _read_answer(sent, response, clock.now())
        seen.answers.append(answer)
        return answer

    def close(self) -> None:
        """Close the connection."""
        self.is_open = False
        self._socket.close()

    def _read(self) -> UpstreamResponse:
        while not self._reader.is_complete:
            data = self._socket.recv(READ_BYTES)
            if not data:
                raise ConnectionError("closed before the answer was whole")
            self._reader.feed(data)
        return self._reader.take()


class Caller:
    """Sends one request after the other, over a kept connection while there is one."""

    def __init__(self, world: World, random: Random) -> None:
        self._world = world
        self._random = random
        self._connection: CallerConnection | None = None
        self._addresses: list[str] = []
        self._kept_until: Milliseconds = 0.0

    def run(self) -> None:
        """Ask until killed."""
        while True:
            kind = self._random.choice(("one", "all", "all", "effect"))
            try:
                self.ask(kind)
            except OSError:
                # Nobody listens there now, or the proxy was told to refuse; another entry is next.
                self._kept_until = 0.0
            gevent.sleep(self._random.uniform(0.5, 1.5) * PAUSE / SECOND)

    def ask(self, kind: str) -> Answer | None:
        """Send one request of a kind; returns its answer, if any entry is known."""
        if self._connection is None or not self._connection.is_open:
            self._connection = self._connect()
        if self._connection is None:
            return None
        is_effect = kind == "effect"
        body = self._random.randbytes(self._random.randrange(200)) if is_effect else b""
        target = f"/{kind}/{self._random.randrange(1_000)}?x=%20{self._random.randrange(9)}"
        return self._connection.ask(
            "POST" if is_effect else "GET",
            target,
            body,
            is_idempotent=not is_effect,
            seen=self._world.seen,
        )

    def _connect(self) -> CallerConnection | None:
        now = self._world.clock.now()
        if now > self._kept_until:
            self._look_up(now)
        if not self._addresses:
            return None
        return self._world.connect(self._random.choice(self._addresses))

    def _look_up(self, now: Milliseconds) -> None:
        for endpoint in self._world.shuffled(self._world.directory_endpoints()):
            path = f"{LOOKUP_PATH}?name={HOST}&region=r&zone=a"
            try:
                answer = request_json(endpoint, "GET", path, timeout=LOOKUP_TIMEOUT)
            except PeerUnavailable:
                continue
            if answer.status == 200:
                self._addresses, kept = read_addresses(answer.body)
                self._kept_until = now + kept
                return


def _read_answer(sent: Sent, response: UpstreamResponse, at: Milliseconds) -> Answer:
    signatures: list[str] = []
    for name, value in response.headers:
        if name.lower() == PART_SIGNATURES.lower():
            signatures += [item.strip() for item in value.split(",") if item.strip()]
    missing: Any = response.header(PARTS_MISSING.lower()) or 0
    return Answer(
        sent, response.status, at, response.header(SIGNATURE.lower()), tuple(signatures),
        int(missing), response.body,
    )  # fmt: skip
