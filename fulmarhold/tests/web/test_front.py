"""Contract of the server for callers: what it passes on, refuses and notices."""

from __future__ import annotations

import socket

import gevent
import pytest
from gevent.event import Event
from hypothesis import given, settings
from hypothesis import strategies as st

from fulmarhold.clock import Clock
from fulmarhold.fleet.ports import PortAllocator
from fulmarhold.observe.counters import Counters
from fulmarhold.routes.configuration import CallerLimits
from fulmarhold.web.front import FrontServer, RawResponse

LIMITS = CallerLimits(header_bytes=1_000, body_bytes=500, header_timeout=300.0, idle_timeout=2_000)
PATIENCE_SECONDS = 5.0
PORTS = PortAllocator()


class Served:
    """A server that records requests and answers by its `answer` function."""

    def __init__(self):
        self.requests = []
        self.counters = Counters()
        self.answer = lambda request, on_disconnect: RawResponse(200, (("X-A", "1"),), request.body)
        port = PORTS.allocate()
        self.endpoint = ("127.0.0.1", port)
        self.server = FrontServer(
            f"127.0.0.1:{port}", self._handle, lambda: LIMITS, Clock(), self.counters
        )
        self.server.start()

    def _handle(self, request, on_disconnect):
        self.requests.append(request)
        return self.answer(request, on_disconnect)

    def connect(self):
        return gevent.socket.create_connection(self.endpoint, timeout=PATIENCE_SECONDS)

    def exchange(self, data):
        """Send bytes and return all that comes until the server closes or falls silent."""
        with self.connect() as connection:
            connection.sendall(data)
            connection.shutdown(socket.SHUT_WR)
            received = b""
            while part := connection.recv(65_536):
                received += part
        return received


@pytest.fixture
def served():
    made = Served()
    yield made
    made.server.stop_accepting()


def receive_response(connection):
    received = b""
    while b"\r\n\r\n" not in received:
        received += connection.recv(65_536)
    head, _, body = received.partition(b"\r\n\r\n")
    length = int(head.lower().split(b"content-length: ")[1].split(b"\r\n")[0])
    while len(body) < length:
        body += connection.recv(65_536)
    return head, body


def test_path_query_headers_and_body_come_as_sent(served):
    with served.connect() as connection:
        connection.sendall(
            b"POST /a%2Fb/../c?x=%41&x=2 HTTP/1.1\r\nHost: h\r\nX-Two: 1\r\nX-Two: 2\r\n"
            b"Content-Length: 3\r\n\r\nabc"
        )
        head, body = receive_response(connection)
    (request,) = served.requests
    assert (request.method, request.target) == ("POST", "/a%2Fb/../c?x=%41&x=2")
    assert [pair for pair in request.headers if pair[0] == "X-Two"] == [
        ("X-Two", "1"),
        ("X-Two", "2"),
    ]
    assert (head.split(b"\r\n")[0], body) == (b"HTTP/1.1 200 OK", b"abc")


def test_a_body_in_chunks_is_put_together(served):
    with served.connect() as connection:
        connection.sendall(
            b"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n"
        )
        gevent.sleep(0)
        connection.sendall(b"1;e=1\r\nc\r\n0\r\n\r\n")
        assert receive_response(connection)[1] == b"abc"


def test_a_second_request_waits_for_the_first_answer(served):
    held = Event()

    def answer(request, on_disconnect):
        if request.target == "/1":
            held.wait()
        return RawResponse(200, (), request.target.encode())

    served.answer = answer
    with served.connect() as connection:
        connection.sendall(b"GET /1 HTTP/1.1\r\nHost: h\r\n\r\nGET /2 HTTP/1.1\r\nHost: h\r\n\r\n")
        while not served.requests:
            gevent.sleep(0.001)
        assert len(served.requests) == 1
        held.set()
        received = b""
        while not received.endswith(b"/2"):
            received += connection.recv(65_536)
        assert received.index(b"\r\n\r\n/1HTTP/1.1 200") < received.index(b"\r\n\r\n/2")
    assert [request.is_first for request in served.requests] == [True, False]


def test_a_caller_that_leaves_is_noticed_while_its_request_runs(served):
    gone = Event()

    def answer(request, on_disconnect):
        on_disconnect(gone.set)
        assert gone.wait(PATIENCE_SECONDS)
        return RawResponse(200)

    served.answer = answer
    connection = served.connect()
    connection.sendall(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n")
    while not served.requests:
        gevent.sleep(0.001)
    connection.close()
    assert gone.wait(PATIENCE_SECONDS)


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (b"GET / HTTP/1.1\r\nHost: h\r\nX: " + b"a" * 1_200 + b"\r\n\r\n", b"431"),
        (b"GET / HTTP/1.1\r\nHost: h\r\nX: " + b"a" * 1_200, b"431"),
        (b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 501\r\n\r\n", b"413"),
        (
            b"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n1f5\r\n"
            + b"a" * 501
            + b"\r\n",
            b"413",
        ),
        (
            b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n"
            b"\r\n0\r\n\r\n",
            b"400",
        ),
        (b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\na", b"400"),
        (b"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", b"400"),
        (b"GET / HTTP/1.1\r\nHost : h\r\n\r\n", b"400"),
        (b"\x00\x01\x02\r\n\r\n", b"400"),
    ],
)
def test_what_breaks_the_protocol_or_a_limit_is_refused_and_passed_on_nowhere(served, data, status):
    assert served.exchange(data).split(b" ")[1] == status
    assert served.requests == []


def test_headers_that_take_too_long_end_the_connection(served):
    with served.connect() as connection:
        connection.sendall(b"GET / HTTP/1.1\r\nHost:")
        assert connection.recv(65_536).startswith(b"HTTP/1.1 408")


def test_while_closing_every_answer_ends_its_connection(served):
    with served.connect() as connection:
        connection.sendall(b"GET /1 HTTP/1.1\r\nHost: h\r\n\r\n")
        assert b"Connection: close" not in receive_response(connection)[0]
        served.server.is_closing = True
        connection.sendall(b"GET /2 HTTP/1.1\r\nHost: h\r\n\r\n")
        assert b"Connection: close" in receive_response(connection)[0]
        assert connection.recv(10) == b""


def test_idle_connections_are_closed_and_busy_ones_kept(served):
    held = Event()
    served.answer = lambda request, on_disconnect: held.wait() and RawResponse(200)
    with served.connect() as idle, served.connect() as busy:
        busy.sendall(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n")
        while not served.requests or served.server.connections < 2:
            gevent.sleep(0.001)
        gevent.sleep(0.01)
        served.server.close_idle()
        assert idle.recv(10) == b""
        held.set()
        assert receive_response(busy)[0].startswith(b"HTTP/1.1 200")


@settings(max_examples=300, deadline=None)
@given(st.binary(max_size=400))
def test_any_bytes_leave_the_server_serving(data):
    served = Served()
    try:
        served.exchange(data)
        answer = served.exchange(b"GET /after HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
        assert served.requests[-1].target == "/after"
        assert not answer or answer.startswith(b"HTTP/1.1")
    finally:
        served.server.stop_accepting()
