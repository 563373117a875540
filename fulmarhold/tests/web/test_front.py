"""The HTTP server for callers: requests as sent, limits, disconnections and shutdown."""

from __future__ import annotations

import socket
import struct
import threading
import time
from contextlib import contextmanager, suppress

import gevent
import pytest
from gevent.event import Event
from hypothesis import given, settings
from hypothesis import strategies as st

from fulmarhold.clock import SECOND, Clock
from fulmarhold.fleet.ports import PortAllocator
from fulmarhold.forwarding.stopping import StopSchedule
from fulmarhold.limits import connections, progress
from fulmarhold.limits.connections import Refusal
from fulmarhold.limits.memory import Holder, MemoryBudget, Shortage
from fulmarhold.observe.counters import Counters
from fulmarhold.routes.configuration import CallerLimits
from fulmarhold.web.front import FrontServer, RawResponse
from fulmarhold.web.partial import HEADER_LINE_BYTES, REQUEST_BYTES
from fulmarhold.web.reader import SEPARATOR_BYTES

LIMITS = CallerLimits(header_bytes=1_000, body_bytes=500, header_timeout=300.0, idle_timeout=2_000)
TIMEOUT_SECONDS = 5.0
MEMORY_BYTES = 1_000_000
PORTS = PortAllocator()


class RunningServer:
    """A running server that records requests and responds with its `answer` function."""

    def __init__(self):
        self.requests = []
        self.counters = Counters()
        self.memory = MemoryBudget(MEMORY_BYTES, Clock(), self.counters)
        self.answer = lambda request, on_disconnect: RawResponse(200, (("X-A", "1"),), request.body)
        port = PORTS.allocate()
        self.endpoint = ("127.0.0.1", port)
        self.server = FrontServer(
            f"127.0.0.1:{port}", self._handle, lambda: LIMITS, Clock(), self.counters, self.memory
        )
        self.server.start()

    @property
    def shortages(self):
        counts = (self.counters.value("memory_shortages", result=item.value) for item in Shortage)
        return sum(counts)

    def _handle(self, request, on_disconnect):
        self.requests.append(request)
        return self.answer(request, on_disconnect)

    def connect(self):
        return gevent.socket.create_connection(self.endpoint, timeout=TIMEOUT_SECONDS)

    def exchange(self, data):
        """Send bytes and return everything received until the server closes the connection."""
        with self.connect() as connection:
            connection.sendall(data)
            connection.shutdown(socket.SHUT_WR)
            received = b""
            while part := connection.recv(65_536):
                received += part
        return received


@pytest.fixture
def served():
    running = RunningServer()
    yield running
    running.server.stop_accepting()


def receive_response(connection):
    received = b""
    while b"\r\n\r\n" not in received:
        received += connection.recv(65_536)
    head, _, body = received.partition(b"\r\n\r\n")
    length = int(head.lower().split(b"content-length: ")[1].split(b"\r\n")[0])
    while len(body) < length:
        body += connection.recv(65_536)
    return head, body


def test_path_query_headers_and_body_are_passed_on_unchanged(served):
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


def test_chunked_body_is_joined(served):
    with served.connect() as connection:
        connection.sendall(
            b"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n"
        )
        gevent.sleep(0)
        connection.sendall(b"1;e=1\r\nc\r\n0\r\n\r\n")
        assert receive_response(connection)[1] == b"abc"


def test_pipelined_request_waits_for_the_first_response(served):
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


def test_disconnection_of_a_caller_is_detected_while_its_request_runs(served):
    disconnected = Event()

    def answer(request, on_disconnect):
        on_disconnect(disconnected.set)
        assert disconnected.wait(TIMEOUT_SECONDS)
        return RawResponse(200)

    served.answer = answer
    connection = served.connect()
    connection.sendall(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n")
    while not served.requests:
        gevent.sleep(0.001)
    connection.close()
    assert disconnected.wait(TIMEOUT_SECONDS)


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
def test_request_that_violates_the_protocol_or_a_limit_is_refused_and_not_handled(
    served, data, status
):
    assert served.exchange(data).split(b" ")[1] == status
    assert served.requests == []


def test_incomplete_headers_time_out(served):
    with served.connect() as connection:
        connection.sendall(b"GET / HTTP/1.1\r\nHost:")
        assert connection.recv(65_536).startswith(b"HTTP/1.1 408")


def test_every_response_closes_its_connection_during_shutdown(served):
    with served.connect() as connection:
        connection.sendall(b"GET /1 HTTP/1.1\r\nHost: h\r\n\r\n")
        assert b"Connection: close" not in receive_response(connection)[0]
        served.server.is_closing = True
        connection.sendall(b"GET /2 HTTP/1.1\r\nHost: h\r\n\r\n")
        assert b"Connection: close" in receive_response(connection)[0]
        assert connection.recv(10) == b""


def test_close_idle_keeps_connections_with_a_request_in_progress(served):
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
def test_server_keeps_serving_after_arbitrary_bytes(data):
    served = RunningServer()
    try:
        served.exchange(data)
        answer = served.exchange(b"GET /after HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
        assert served.requests[-1].target == "/after"
        assert not answer or answer.startswith(b"HTTP/1.1")
    finally:
        served.server.stop_accepting()


# Guards against a stop that ends while a response is still being written to a slow caller.
def test_a_request_is_in_flight_until_its_whole_response_has_left(served):
    body = b"a" * 16_000_000
    served.answer = lambda request, on_disconnect: RawResponse(200, (), body)
    with served.connect() as connection:
        connection.sendall(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n")
        while not served.requests:
            gevent.sleep(0.001)
        gevent.sleep(0.05)
        assert served.server.in_flight == 1
        assert receive_response(connection)[1] == body
        gevent.sleep(0.01)
        assert served.server.in_flight == 0


def connect_without_switch(served):
    """Connect without letting the server run, so that it hasn't accepted the connection yet."""
    return socket.create_connection(served.endpoint, timeout=TIMEOUT_SECONDS)


def receive_blocking(connection):
    """Receive until the server closes the connection."""
    with gevent.socket.socket(fileno=connection.detach()) as received_on:
        received_on.settimeout(TIMEOUT_SECONDS)
        received = b""
        while part := received_on.recv(65_536):
            received += part
    return received


REQUEST = b"GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"


# Guards against closing a connection as idle while a request on it has arrived.
def test_a_request_that_has_arrived_is_answered_although_idle_connections_are_closed(served):
    connection = connect_without_switch(served)
    gevent.sleep(0.05)
    assert served.server.connections == 1
    connection.sendall(REQUEST)
    served.server.close_idle()
    assert receive_blocking(connection).startswith(b"HTTP/1.1 200 OK")


# Guards against an error in the closing of idle connections, which would end a stop at once.
def test_closing_idle_connections_passes_over_one_that_its_caller_has_reset(served):
    reset, idle = connect_without_switch(served), connect_without_switch(served)
    gevent.sleep(0.05)
    reset.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    reset.close()
    served.server.close_idle()
    assert receive_blocking(idle) == b""


# Guards against resetting connections that callers have opened and the server hasn't accepted.
def test_a_request_on_a_connection_that_waits_to_be_accepted_is_answered(served):
    waiting = [connect_without_switch(served) for _ in range(3)]
    for connection in waiting:
        connection.sendall(REQUEST)
    served.server.stop_accepting()
    for connection in waiting:
        assert receive_blocking(connection).startswith(b"HTTP/1.1 200 OK")
    with pytest.raises(ConnectionRefusedError):
        connect_without_switch(served)


# Guards against a stop that accepts new connections until the process is killed, because callers
# open them as fast as they are accepted (60 requests were open after the end of the grace period).
def test_the_port_is_closed_in_time_while_callers_connect_again_and_again(served):
    schedule = StopSchedule.plan(0.0, grace=6_000.0, address_lifetime=3_600.0)
    served.server.is_closing = True

    def answer(request, on_disconnect):
        # Occupies the event loop, as work on the processor does.
        time.sleep(0.005)
        return RawResponse(503)

    is_over = threading.Event()

    def call_until_refused():
        with suppress(OSError):
            while not is_over.is_set():
                with connect_without_switch(served) as connection:
                    connection.sendall(REQUEST)
                    while connection.recv(65_536):
                        pass

    served.answer = answer
    callers = [threading.Thread(target=call_until_refused, daemon=True) for _ in range(10)]
    for caller in callers:
        caller.start()
    while len(served.requests) < len(callers):
        gevent.sleep(0.001)
    try:
        with gevent.Timeout((schedule.answers_by - schedule.accepts_until) / SECOND):
            served.server.stop_accepting()
    finally:
        is_over.set()


# Guards against a stop that drops a request which was read behind another one on its connection.
def test_a_request_that_was_read_before_the_shutdown_is_answered_behind_the_first_one(served):
    held = Event()
    served.answer = lambda request, on_disconnect: held.wait() and RawResponse(
        200, (), request.target.encode()
    )
    with served.connect() as connection:
        connection.sendall(b"GET /1 HTTP/1.1\r\nHost: h\r\n\r\nGET /2 HTTP/1.1\r\nHost: h\r\n\r\n")
        while not served.requests:
            gevent.sleep(0.001)
        served.server.is_closing = True
        held.set()
        received = b""
        while part := connection.recv(65_536):
            received += part
    assert [part.split(b" ")[0] for part in received.split(b"HTTP/1.1 ")[1:]] == [b"200", b"200"]


HEAD = b"POST / HTTP/1.1\r\nHost: h\r\n"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n64\r\n" + b"a" * 100


@contextmanager
def fill_memory(served):
    """Hold all memory for others; nothing of it is left over afterwards."""
    others = served.memory.open_fixed(Holder.ANSWER)
    others.grow(MEMORY_BYTES)
    yield
    others.release()


# Guards against an entry that reads requests until it has no memory left.
@pytest.mark.parametrize(
    "data",
    [HEAD + b"Content-Length: 100\r\n\r\n", HEAD + b"Content-Length: 100\r\n\r\n" + b"a" * 100,
     CHUNKED, HEAD[:-10]],
    ids=["announced", "whole", "chunked", "head"],
)  # fmt: skip
def test_a_request_for_which_there_is_no_memory_is_refused_as_not_run(served, data):
    with fill_memory(served):
        response = served.exchange(data).lower()
    assert response.startswith(b"http/1.1 503 ") and b"\r\nretry-after: 0." in response
    assert served.requests == []
    assert served.shortages > 0
    assert served.memory.held == 0


# Guards against requests that the reader refuses by itself where the forwarder knows their rank.
@pytest.mark.parametrize(
    "head", [b"GET / HTTP/1.1\r\n", HEAD[:17], HEAD[:17] + b"Content-Length: 0\r\n"]
)
def test_without_memory_a_request_without_a_body_is_passed_on(served, head):
    with fill_memory(served):
        response = served.exchange(head + b"Host: h\r\n\r\n")
    assert response.startswith(b"HTTP/1.1 200 ")
    assert served.shortages == 0


def test_without_memory_the_end_of_a_connection_is_no_shortage(served):
    running, disconnected = Event(), Event()

    def answer(request, on_disconnect):
        on_disconnect(disconnected.set)
        running.set()
        disconnected.wait()
        return RawResponse(200, (), b"")

    served.answer = answer
    with fill_memory(served):
        with served.connect() as connection:
            connection.sendall(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n")
            assert running.wait(timeout=5)
        assert disconnected.wait(timeout=5)
    assert served.shortages == 0


def test_requests_and_answers_are_counted_until_their_callers_have_them(served):
    running = Event()

    def answer(request, on_disconnect):
        running.wait()
        return RawResponse(200, (), b"b" * 1_000)

    served.answer = answer
    lines = (("Host", "h"), ("Content-Length", "100"))
    cost = (
        REQUEST_BYTES
        + len("/")
        + sum(HEADER_LINE_BYTES + SEPARATOR_BYTES + len(a + b) for a, b in lines)
    )
    with served.connect() as first, served.connect() as second:
        for connection in (first, second):
            connection.sendall(HEAD + b"Content-Length: 100\r\n\r\n" + b"a" * 100)
        while len(served.requests) < 2:
            gevent.sleep(0.001)
        assert served.memory.held == 2 * (100 + cost)
        # A pipelined request counts as well.
        first.sendall(HEAD + b"Content-Length: 100\r\n\r\n" + b"a" * 100)
        while served.memory.held == 2 * (100 + cost):
            gevent.sleep(0.001)
        running.set()
        assert receive_response(second)[1] == b"b" * 1_000
        received = b""
        while received.count(b"b" * 1_000) < 2:
            received += first.recv(65_536)
    while served.server.connections:
        gevent.sleep(0.001)
    assert served.memory.held == 0
    assert {request.owners for request in served.requests} == {("caller 127.0.0.1", "account h")}


def test_an_answer_counts_while_its_caller_does_not_read_it(served):
    body = b"b" * 16_000_000
    served.answer = lambda request, on_disconnect: RawResponse(200, (), body)
    with served.connect() as connection:
        connection.sendall(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n")
        while served.memory.held < len(body):
            gevent.sleep(0.001)
        request = REQUEST_BYTES + len("/") + HEADER_LINE_BYTES + len("Hosth") + SEPARATOR_BYTES
        assert served.memory.held == len(body) + request
        assert not served.memory.may_admit(("caller 127.0.0.1",), is_urgent=True)
        assert receive_response(connection)[1] == body
    while served.server.connections:
        gevent.sleep(0.001)
    assert served.memory.held == 0


# Guards against a head that is kept unfinished by bytes that come faster than any time-out.
def test_a_head_that_trickles_is_ended_by_its_time(served):
    with served.connect() as connection:
        connection.sendall(b"GET / HTTP/1.1\r\nX: ")
        with suppress(OSError):
            for _ in range(400):
                connection.sendall(b"a")
                gevent.sleep(0.005)
        assert connection.recv(65_536).startswith(b"HTTP/1.1 408")


# Guards against connections that hold a descriptor or memory for as long as their callers like.
@pytest.mark.parametrize(
    ("sent", "expected"),
    [
        (HEAD + b"Content-Length: 100\r\n\r\na", b"HTTP/1.1 503 "),
        (HEAD, b"HTTP/1.1 503 "),
        (b"", b""),
    ],
    ids=["body", "head", "idle"],
)
@pytest.mark.parametrize("wait", [False, True])
def test_a_connection_gives_way_only_once_it_is_stalled(served, sent, expected, wait, monkeypatch):
    monkeypatch.setattr(connections, "STALLED_AFTER", 100.0)
    monkeypatch.setattr(progress, "STALLED_AFTER", 100.0)
    with served.connect() as connection:
        connection.sendall(sent)
        while served.server.budget.count < 1:
            gevent.sleep(0.001)
        gevent.sleep(0.15 if wait else 0.01)
        refusal = served.server.budget.refusal("10.0.0.1", descriptor=1_000, limit=1_024)
        assert refusal is Refusal.DESCRIPTORS
        connection.settimeout(0.1)
        if wait:
            answer = connection.recv(65_536)
            assert answer.startswith(expected) and bool(answer) == (b"Retry-After" in answer)
        else:
            with pytest.raises(TimeoutError):
                connection.recv(65_536)
    assert served.requests == []
    while served.server.connections:
        gevent.sleep(0.001)
    assert served.memory.held == served.server.budget.count == 0
