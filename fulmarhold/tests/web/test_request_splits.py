"""Requests of callers, read in pieces of any size: without a network, over a scripted socket."""

from __future__ import annotations

import socket

from hypothesis import given, settings
from hypothesis import strategies as st

from fulmarhold.clock import Clock
from fulmarhold.limits.memory import MemoryBudget
from fulmarhold.observe.counters import Counters
from fulmarhold.routes.configuration import CallerLimits
from fulmarhold.tests.upstreams.test_fuzz import split_at
from fulmarhold.web.front import FrontServer, RawResponse

CASES = 500
LIMITS = CallerLimits(header_bytes=200, body_bytes=50, header_timeout=300.0, idle_timeout=2_000)
GET = b"GET /g HTTP/1.1\r\nHost: h\r\nX-A: 1\r\n\r\n"
POST = b"POST /p HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nabcde"
CHUNKED = (
    b"PUT /c HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
    b"3;x\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"
)
CLOSING = b"GET /last HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"
OLD = b"GET /old HTTP/1.0\r\nHost: h\r\n\r\n"
TOO_LARGE = b"POST /l HTTP/1.1\r\nHost: h\r\nContent-Length: 51\r\n\r\n" + b"a" * 51
LONG_HEAD = b"GET /h HTTP/1.1\r\nHost: h\r\nX-Long: " + b"a" * 200 + b"\r\n\r\n"
TWO_LENGTHS = CHUNKED.replace(b"\r\n\r\n", b"\r\nContent-Length: 5\r\n\r\n", 1)
WHOLE = (GET, POST, CHUNKED, OLD, CLOSING)
REFUSED = (TOO_LARGE, LONG_HEAD, TWO_LENGTHS, b"nonsense\r\n\r\n")
streams = st.lists(
    st.sampled_from([*WHOLE, *WHOLE, *REFUSED, GET[:-2], b"\r\n"]) | st.binary(max_size=12),
    min_size=1,
    max_size=5,
).map(b"".join)
cuts = st.lists(st.integers(0, 600), max_size=6)


class ScriptedSocket:
    """Delivers given pieces, then the end of the stream, and keeps what is sent."""

    def __init__(self, pieces):
        self.sent = b""
        self._pieces = list(pieces)
        self._own, self._peer = socket.socketpair()

    def recv(self, size):
        return self._pieces.pop(0) if self._pieces else b""

    def sendall(self, data):
        self.sent += data

    def fileno(self):
        return self._own.fileno()

    def getsockopt(self, *arguments):
        return self._own.getsockopt(*arguments)

    def setsockopt(self, *arguments):
        """Options have no effect here."""

    def settimeout(self, timeout):
        """Nothing is waited for."""

    def shutdown(self, how):
        """What was sent is kept."""

    def close(self):
        self._own.close()
        self._peer.close()


def serve(pieces):
    """Return the requests that the pieces form, the status of each answer, and the held bytes."""
    served, counters = [], Counters()
    memory = MemoryBudget(1_000_000, Clock(), counters)

    def handle(request, on_disconnect):
        served.append((request.method, request.target, request.headers, request.body))
        return RawResponse(200)

    server = FrontServer("127.0.0.1:0", handle, lambda: LIMITS, Clock(), counters, memory)
    connection = ScriptedSocket(pieces)
    server._serve(connection, ("127.0.0.1", 1))
    statuses = [int(part[:3]) for part in connection.sent.split(b"HTTP/1.1 ")[1:]]
    assert server.connections == server.in_flight == 0
    return served, statuses, memory.held


@settings(max_examples=CASES, deadline=None)
@given(streams, cuts)
def test_requests_do_not_depend_on_how_their_bytes_are_split(data, cuts):
    whole = serve([data])
    assert serve(split_at(data, cuts)) == whole
    assert serve([data[index : index + 1] for index in range(len(data))]) == whole
    assert whole[2] == 0


@settings(max_examples=CASES, deadline=None)
@given(st.lists(st.sampled_from([GET, POST, CHUNKED]), max_size=4), st.sampled_from(REFUSED), cuts)
def test_what_comes_before_a_refused_request_is_answered(before, refused, cuts):
    served, statuses, _ = serve(split_at(b"".join(before) + refused + GET, cuts))
    assert [target for _, target, _, _ in served] == [
        item.split(b" ")[1].decode() for item in before
    ]
    assert statuses[:-1] == [200] * len(before)
    assert 400 <= statuses[-1] < 500
