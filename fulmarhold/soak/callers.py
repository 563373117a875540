"""Callers that look up entries, reuse connections and record responses without checking them."""

from __future__ import annotations

import itertools
from typing import TYPE_CHECKING, Any

import gevent
import gevent.socket

from fulmarhold.clock import SECOND, Milliseconds
from fulmarhold.errors import MalformedInput, PeerUnavailable
from fulmarhold.platform.encoding import LOOKUP_PATH, read_addresses, write_request
from fulmarhold.platform.headers import PART_SIGNATURES, PARTS_MISSING, SIGNATURE
from fulmarhold.soak.kinds import QUICK_DEADLINE
from fulmarhold.soak.observations import TIMED_OUT, Response, SentRequest
from fulmarhold.upstreams.protocol import ResponseReader, UpstreamResponse
from fulmarhold.web.client import request_json

if TYPE_CHECKING:
    from random import Random

    from fulmarhold.soak.environment import Environment
    from fulmarhold.soak.kinds import RequestKind
    from fulmarhold.soak.observations import Observations
    from fulmarhold.soak.processes import Instance

HOST = "soak.example"
# Extra time after the deadline for a response that is already in transit.
RESPONSE_GRACE: Milliseconds = 600.0
CONNECT_TIMEOUT: Milliseconds = 1_000.0
READ_BYTES = 65_536
MEAN_PAUSE: Milliseconds = 60.0
LOOKUP_TIMEOUT: Milliseconds = 1_000.0
# Some callers use directory answers for this many times as long as they should.
LONGEST_STALENESS = 3
_request_numbers = itertools.count(1)


class CallerConnection:
    """A connection to an entry, through its proxy or direct."""

    def __init__(self, entry: Instance, endpoint: tuple[str, int]) -> None:
        self._entry = entry
        self._incarnation = entry.incarnation
        self._socket = gevent.socket.create_connection(endpoint, timeout=CONNECT_TIMEOUT / SECOND)
        self._socket.settimeout(None)
        self._reader = ResponseReader()
        self.is_open = True

    def send_request(
        self, kind: RequestKind, target: str, observations: Observations, *, body: bytes = b"",
        deadline: Milliseconds = QUICK_DEADLINE,
    ) -> Response:  # fmt: skip
        """Send a request, wait for its response and record both without checking them."""
        request_id = f"soak-{next(_request_numbers)}"
        clock = observations.clock
        now = clock.now()
        request = SentRequest(
            request_id, kind.method, target, body, kind.is_idempotent, self._entry.name,
            self._incarnation, now, now + min(deadline, kind.timeout),
        )  # fmt: skip
        observations.sent_requests[request_id] = request
        data = write_request(kind.method, HOST, target, request_id, deadline, body)
        try:
            with gevent.Timeout((deadline + RESPONSE_GRACE) / SECOND):
                self._socket.sendall(data)
                parsed = self._read()
        except gevent.Timeout:
            self.close()
            response = Response(request, TIMED_OUT, clock.now())
        except (OSError, MalformedInput):
            # A closed connection and an unparseable response are the same to this caller.
            self.close()
            response = Response(request, 0, clock.now())
        else:
            if not parsed.keep_open:
                self.close()
            response = _make_response(request, parsed, clock.now())
        observations.responses.append(response)
        return response

    def close(self) -> None:
        """Close the connection."""
        self.is_open = False
        self._socket.close()

    def _read(self) -> UpstreamResponse:
        while not self._reader.is_complete:
            data = self._socket.recv(READ_BYTES)
            if not data:
                raise ConnectionError("connection closed before the response was complete")
            self._reader.feed(data)
        return self._reader.take()


class Caller:
    """Sends requests sequentially, over one persistent connection while it stays open."""

    def __init__(
        self, environment: Environment, random: Random, kinds: tuple[RequestKind, ...]
    ) -> None:
        self._environment = environment
        self._random = random
        self._kinds = kinds
        self._staleness = random.randint(1, LONGEST_STALENESS)
        self._connection: CallerConnection | None = None
        self._addresses: list[str] = []
        self._address = ""
        self._addresses_valid_until: Milliseconds = 0.0

    def run(self) -> None:
        """Send requests until killed."""
        while True:
            try:
                self.send_request(self._random.choice(self._kinds))
            except OSError:
                # The entry has no listener now, or the proxy refuses; use the other ones.
                self._addresses.remove(self._address)
            gevent.sleep(self._random.uniform(0.5, 1.5) * MEAN_PAUSE / SECOND)

    def send_request(self, kind: RequestKind) -> Response | None:
        """Send one request of a kind; return its response, or `None` if no entry is known."""
        if self._connection is None or not self._connection.is_open:
            self._connection = self._connect()
        if self._connection is None:
            return None
        random = self._random
        body = b"" if kind.is_idempotent else random.randbytes(random.randrange(200))
        target = f"{kind.prefix}{random.randrange(1_000)}?x=%20{random.randrange(9)}"
        deadline = random.uniform(kind.shortest_deadline, kind.longest_deadline)
        return self._connection.send_request(
            kind, target, self._environment.observations, body=body, deadline=deadline
        )

    def _connect(self) -> CallerConnection | None:
        now = self._environment.clock.now()
        if now > self._addresses_valid_until or not self._addresses:
            self._look_up(now)
        if not self._addresses:
            return None
        self._address = self._random.choice(self._addresses)
        return self._environment.connect(self._address)

    def _look_up(self, now: Milliseconds) -> None:
        for endpoint in self._environment.shuffled(self._environment.directory_endpoints()):
            path = f"{LOOKUP_PATH}?name={HOST}&region=r&zone=a"
            try:
                response = request_json(endpoint, "GET", path, timeout=LOOKUP_TIMEOUT)
            except PeerUnavailable:
                continue
            if response.status == 200:
                self._addresses, lifetime = read_addresses(response.body)
                self._addresses_valid_until = now + self._staleness * lifetime
                return


def _make_response(request: SentRequest, parsed: UpstreamResponse, at: Milliseconds) -> Response:
    signatures: list[str] = []
    for name, value in parsed.headers:
        if name.lower() == PART_SIGNATURES.lower():
            signatures += [item.strip() for item in value.split(",") if item.strip()]
    missing: Any = parsed.header(PARTS_MISSING.lower()) or 0
    return Response(
        request, parsed.status, at, parsed.header(SIGNATURE.lower()), tuple(signatures),
        int(missing), parsed.body,
    )  # fmt: skip
