"""The server of the HTTP interfaces: what it has read when it stops is answered in full."""

from __future__ import annotations

import socket
import time
from collections import Counter
from contextlib import suppress
from random import Random

import falcon
import gevent
import pytest
from gevent.event import Event

from fulmarhold.clock import SECOND, Clock
from fulmarhold.fleet.ports import PortAllocator
from fulmarhold.limits.connections import ConnectionBudget, Refusal
from fulmarhold.limits.progress import STALLED_AFTER
from fulmarhold.observe.counters import Counters
from fulmarhold.tests.connections import TIMEOUT_SECONDS, HttpConnection
from fulmarhold.web.serving import start_server

# Far more than the buffers of a loopback connection hold.
LARGE_BODY = bytes(24 * 1024 * 1024)
PORTS = PortAllocator()
GET = b"GET /%s HTTP/1.1\r\nHost: h\r\n\r\n"


class Resource:
    """GET and PUT: respond when `may_respond` is set; PUT reads the body before."""

    def __init__(self):
        self.may_respond = Event()
        self.started = Event()
        self.served = 0
        self.run = self._wait

    def on_get(self, request, response):
        self.run(request, response)

    def _wait(self, _, response):
        self.started.set()
        self.may_respond.wait()
        self.served += 1
        response.data = b"answer"

    def on_put(self, request, response):
        self.started.set()
        response.data = request.bounded_stream.read()


class LargeResource:
    """GET: a body that doesn't fit into the buffers of the connection."""

    def on_get(self, _, response):
        response.data = LARGE_BODY


class Served:
    """A running server and its resource."""

    def __init__(self):
        self.resource = Resource()
        application = falcon.App()
        application.add_route("/", self.resource)
        application.add_route("/large", LargeResource())
        port = PORTS.allocate()
        self.endpoint = ("127.0.0.1", port)
        self.counters = Counters()
        self.budget = ConnectionBudget(Clock(), self.counters)
        self.server = start_server(application, *self.endpoint, self.counters, self.budget)

    def connect(self):
        return HttpConnection(self.endpoint)

    def stop(self, seconds=TIMEOUT_SECONDS):
        """Stop, and return how many seconds that took."""
        started_at = time.monotonic()
        self.server.stop(timeout=seconds)
        return time.monotonic() - started_at


@pytest.fixture
def served():
    running = Served()
    yield running
    running.resource.may_respond.set()
    running.server.stop(timeout=0)


# Guards against a stop that lasts as long as its timeout because callers keep connections open.
def test_idle_connections_do_not_delay_the_stop(served):
    served.resource.may_respond.set()
    clients = [served.connect() for _ in range(3)]
    for client in clients[1:]:
        client.send(GET % b"")
        assert client.read()[0] == 200
    assert served.stop() < TIMEOUT_SECONDS / 2
    assert all(client.is_closed() for client in clients)


# Guards against kept connections that are used through the whole stop and cut at its end.
def test_a_kept_connection_is_told_to_close_with_the_answer_to_its_request(served):
    client = served.connect()
    client.send(GET % b"")
    served.resource.started.wait()
    stop = gevent.spawn(served.stop)
    gevent.sleep(0)
    served.resource.may_respond.set()
    status, headers, body = client.read()
    assert (status, headers["connection"], body) == (200, "close", b"answer")
    assert client.is_closed()
    assert stop.get() < TIMEOUT_SECONDS / 2


# Guards against a connection that is closed as idle although its request has arrived.
@pytest.mark.parametrize("is_accepted", [True, False])
def test_a_request_that_has_arrived_and_was_not_read_is_answered(served, is_accepted):
    served.resource.may_respond.set()
    # A socket of the standard library, so that the server doesn't run before it stops.
    with socket.create_connection(served.endpoint, timeout=TIMEOUT_SECONDS) as connection:
        if is_accepted:
            gevent.sleep(0.05)
        connection.sendall(GET % b"")
        assert served.stop() < TIMEOUT_SECONDS / 2
        assert connection.recv(65_536).startswith(b"HTTP/1.1 200")
    assert served.resource.served == 1


# Guards against answers that are cut because the caller reads them slowly.
def test_an_answer_that_is_being_read_slowly_is_sent_in_full(served):
    client = served.connect()
    client.send(GET % b"large")
    gevent.sleep(0.05)
    stop = gevent.spawn(served.stop)
    gevent.sleep(0.05)
    status, _, body = client.read()
    assert (status, len(body)) == (200, len(LARGE_BODY))
    assert stop.get() < TIMEOUT_SECONDS / 2


# Guards against requests that outlast the stop and end without a truthful answer.
def test_a_request_that_outlasts_the_stop_is_answered_with_503(served):
    client = served.connect()
    client.send(GET % b"")
    served.resource.started.wait()
    assert served.stop(0.1) < TIMEOUT_SECONDS / 2
    status, headers, _ = client.read()
    assert (status, headers["connection"]) == (503, "close")
    assert client.is_closed()


# Guards against a stop that waits for a caller that doesn't finish its request.
def test_a_request_that_does_not_arrive_in_full_is_refused_with_503(served):
    client = served.connect()
    client.send(b"PUT / HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\n12345")
    served.resource.started.wait()
    assert served.stop(0.1) < TIMEOUT_SECONDS / 2
    status, headers, _ = client.read()
    assert (status, headers["connection"]) == (503, "close")


def test_a_request_that_is_completed_during_the_stop_is_answered(served):
    client = served.connect()
    client.send(b"PUT / HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\n12345")
    served.resource.started.wait()
    stop = gevent.spawn(served.stop)
    gevent.sleep(0.05)
    client.send(b"67890")
    assert client.read()[2] == b"1234567890"
    assert stop.get() < TIMEOUT_SECONDS / 2


def test_a_stop_cuts_a_caller_that_does_not_read_its_answer(served):
    client = served.connect()
    client.send(GET % b"large")
    gevent.sleep(0.05)
    assert served.stop(0.1) < TIMEOUT_SECONDS / 2
    assert client.read()[0] == 0


def test_a_stopped_server_accepts_no_connection(served):
    served.stop()
    with pytest.raises(ConnectionRefusedError):
        served.connect()


# Guards against requests that are read, run and not answered, wherever the stop finds them.
@pytest.mark.parametrize("seed", range(5))
def test_as_many_requests_are_answered_as_are_run(served, seed):
    random = Random(seed)
    counts: Counter[str] = Counter()
    may_stop, stop_after = Event(), random.randrange(500, 1_000)

    def run(_, response):
        counts["run"] += 1
        if counts["run"] == stop_after:
            may_stop.set()
        gevent.sleep(random.choice([0.0, 0.001, 0.02]))
        response.data = b"answer"

    served.resource.run = run

    def call():
        while True:
            try:
                connection = served.connect()
            except ConnectionRefusedError:
                return
            is_open = True
            while is_open:
                status, headers = 0, {}
                with suppress(BrokenPipeError, ConnectionResetError):
                    connection.send(GET % b"")
                    status, headers, _ = connection.read()
                if status == 200:
                    counts["answered"] += 1
                is_open = status == 200 and headers.get("connection") != "close"
                gevent.sleep(random.choice([0.0, 0.001, 0.005]))

    callers = [gevent.spawn(call) for _ in range(30)]
    assert may_stop.wait(TIMEOUT_SECONDS)
    duration = served.stop()
    gevent.joinall(callers, timeout=TIMEOUT_SECONDS, raise_error=True)
    assert counts["answered"] == counts["run"] >= stop_after
    assert duration < TIMEOUT_SECONDS / 2


# Guards against heads of any size and number of lines, which the WSGI server reads whole.
@pytest.mark.parametrize(
    "lines",
    [
        b"X-Long: " + 20_000 * b"a" + b"\r\n",
        101 * b"a: b\r\n",
        30 * (b"X: " + 600 * b"a" + b"\r\n"),
    ],
    ids=["line", "lines", "bytes"],
)
def test_a_head_that_is_too_large_is_refused_and_the_connection_closed(served, lines):
    connection = served.connect()
    connection.send(b"GET / HTTP/1.1\r\nHost: h\r\n" + lines + b"\r\n")
    assert connection.read()[0] == 431
    assert connection.is_closed()
    assert served.resource.served == 0


# Guards against connections that hold a descriptor for as long as their callers like.
@pytest.mark.parametrize(
    ("sent", "status"),
    [
        (b"PUT / HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\nabc", 503),
        (b"GET / HTTP/1.1\r\nHost:", 503),
        (b"", 0),
    ],
    ids=["body", "head", "idle"],
)
def test_a_stalled_connection_gives_way_and_its_request_is_refused_as_not_run(served, sent, status):
    connection = served.connect()
    connection.send(sent)
    while served.budget.count < 1:
        gevent.sleep(0.001)
    gevent.sleep(STALLED_AFTER / SECOND + 0.1)
    assert served.budget.refusal("10.0.0.1", descriptor=900, limit=1_024) is None
    answer, headers, _ = connection.read()
    assert answer == status
    assert bool(status) == ("retry-after" in headers)
    assert connection.is_closed()
    assert served.resource.served == served.budget.count == 0


def test_a_connection_beyond_the_budget_is_refused_at_once(served):
    served.budget.refusal = lambda *_, **__: Refusal.DESCRIPTORS
    connection = served.connect()
    assert connection.read()[0] == 503
    assert connection.is_closed()


def test_a_head_that_is_not_sent_in_time_ends(served):
    connection = served.connect()
    connection.send(b"GET / HTTP/1.1\r\nHost:")
    assert connection.read()[0] == 408
    assert connection.is_closed()
