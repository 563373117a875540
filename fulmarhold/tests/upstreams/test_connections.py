"""Connections to upstreams whose responses are malformed, late or missing."""

from __future__ import annotations

import gevent
import gevent.event
import gevent.socket
import pytest

from fulmarhold.clock import Clock
from fulmarhold.fleet.ports import PortAllocator
from fulmarhold.observe.counters import Counters
from fulmarhold.upstreams.pool import OVERDUE_MARGIN, ConnectionPool
from fulmarhold.upstreams.protocol import MAX_RESPONSE_BYTES, RequestTemplate

OK = b"HTTP/1.1 200 OK\r\nFulmarhold-Part: p\r\nContent-Length: 2\r\n\r\n{}"


class Upstream:
    """A server that sends given bytes for each request, then keeps or closes the connection."""

    def __init__(self, answers, close=False, late=b""):
        self.endpoint = PortAllocator().allocate_endpoint()
        self.connections = 0
        self.requests = 0
        self._answers = answers
        self._close = close
        self._late = late
        self.late_sent = gevent.event.Event()
        address, _, port = self.endpoint.rpartition(":")
        self._listener = gevent.socket.socket()
        self._listener.bind((address, int(port)))
        self._listener.listen()
        self._accepting = gevent.spawn(self._accept)

    def stop(self):
        self._accepting.kill()
        self._listener.close()

    def _accept(self):
        while True:
            connection, _ = self._listener.accept()
            self.connections += 1
            gevent.spawn(self._serve, connection)

    def _serve(self, connection):
        while connection.recv(65_536):
            answer = self._answers[min(self.requests, len(self._answers) - 1)]
            self.requests += 1
            connection.sendall(answer)
            if self._late:
                gevent.sleep(0.01)
                connection.sendall(self._late)
                self.late_sent.set()
            if self._close:
                break
        connection.close()


class Request:
    """An exchange that records its response or failure."""

    memory_owners = ("caller a",)
    flow = None

    def __init__(self, trusted=True, wanted=True, expires_at=float("inf")):
        self.ended = gevent.event.AsyncResult()
        self.expires_at = expires_at
        self._trusted = trusted
        self._wanted = wanted

    def may_send(self):
        return self._wanted

    def encode(self):
        return RequestTemplate("s", "t", b"{}").encode("127.0.0.1:1", "p", 100.0)

    def completed(self, response):
        self.ended.set(response)
        return self._trusted

    def failed(self, reason, *, sent):
        if not self.ended.ready():
            self.ended.set((reason, sent))

    def outcome(self):
        return self.ended.get(timeout=5)


@pytest.fixture
def make(request):
    """Return a function that creates an upstream and a connection pool for it."""

    def make(answers, limit=1, close=False, late=b""):
        upstream = Upstream(answers, close, late)
        pool = ConnectionPool(upstream.endpoint, limit, 0, Clock(), Counters())
        request.addfinalizer(upstream.stop)
        request.addfinalizer(pool.close)
        return upstream, pool

    return make


def ask(pool, **options):
    request = Request(**options)
    pool.submit(request)
    return request.outcome()


def test_a_connection_is_reused(make):
    upstream, pool = make([OK])
    for _ in range(5):
        response = ask(pool)
        assert (response.status, response.part, response.body) == (200, "p", b"{}")
    assert (upstream.connections, pool.connections) == (1, 1)


def test_a_pool_counts_the_bytes_of_requests_and_responses(make):
    _, pool = make([OK])
    for _ in range(2):
        ask(pool)
    assert pool.take_bytes() == 2 * (len(Request().encode()) + len(OK))
    assert pool.take_bytes() == 0


def test_the_connection_of_an_untrusted_response_is_not_reused(make):
    upstream, pool = make([OK])
    ask(pool, trusted=False)
    ask(pool)
    assert upstream.connections == 2


@pytest.mark.parametrize(
    ("answer", "reason"),
    [
        (b"no HTTP at all\r\n\r\n", "malformed response"),
        (b"HTTP/1.1 200 OK\r\nContent-Length: nonsense\r\n\r\n", "malformed response"),
        (
            b"HTTP/1.1 200 OK\r\nContent-Length: 99999999\r\n\r\n"
            + b"x" * (MAX_RESPONSE_BYTES + 1),
            "response too large",
        ),
    ],
    ids=["no HTTP", "bad length", "too large"],
)
def test_an_unusable_response_fails_as_sent(make, answer, reason):
    _, pool = make([answer])
    assert ask(pool) == (reason, True)


def test_a_connection_with_a_second_response_is_not_reused(make):
    upstream, pool = make([OK + OK, OK])
    assert ask(pool).body == b"{}"
    assert ask(pool).body == b"{}"
    assert upstream.connections == 2


@pytest.mark.parametrize(
    "extra",
    [
        OK.replace(b"200 OK", b"503 Service Unavailable"),
        OK.replace(b"200 OK", b"404 Not Found")[:40],
        b"HTTP/1.1 103 Early Hints\r\n\r\n",
        b"HTTP/1.1 204 No Content\r\nFulmarhold-Part: q\r\n\r\n",
        b"no HTTP at all\r\n\r\n",
    ],
    ids=["another", "part of another", "interim", "empty", "no HTTP"],
)
def test_bytes_after_a_response_change_nothing_in_it(make, extra):
    upstream, pool = make([OK + extra, OK])
    response = ask(pool)
    assert (response.status, response.part, response.body) == (200, "p", b"{}")
    assert ask(pool).status == 200
    assert upstream.connections == 2


def test_interim_responses_before_a_response_are_skipped(make):
    interim = b"HTTP/1.1 103 Early Hints\r\nFulmarhold-Part: q\r\n\r\n"
    upstream, pool = make([interim + interim + OK])
    for _ in range(2):
        response = ask(pool)
        assert (response.status, response.part, response.body) == (200, "p", b"{}")
    assert upstream.connections == 1


def test_the_fields_of_a_trailer_do_not_pass_for_fields_of_the_head(make):
    _, pool = make(
        [
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n"
            b"0\r\nFulmarhold-Part: p\r\nX-Last: 1\r\n\r\n"
        ]
    )
    response = ask(pool)
    assert (response.part, response.body) == ("", b"{}")


def test_a_late_second_response_is_never_taken_for_the_next_one(make):
    upstream, pool = make([OK], late=OK.replace(b"{}", b"[]"))
    assert ask(pool).body == b"{}"
    upstream.late_sent.wait(timeout=5)
    gevent.sleep(0.01)
    assert ask(pool).body == b"{}"
    assert upstream.connections == 2


@pytest.mark.parametrize("answer", [b"", OK[:30]], ids=["nothing", "a part"])
def test_a_connection_lost_before_the_whole_response_fails_as_sent(make, answer):
    _, pool = make([answer], close=True)
    assert ask(pool) == ("closed by upstream", True)


def test_a_connection_that_closes_while_idle_is_replaced(make):
    upstream, pool = make([OK], close=True)
    for _ in range(3):
        assert ask(pool).status == 200
        gevent.sleep(0.02)
    assert upstream.connections == 3


def test_a_refused_connection_fails_as_not_sent():
    pool = ConnectionPool(PortAllocator().allocate_endpoint(), 2, 0, Clock(), Counters())
    reason, sent = ask(pool)
    assert not sent
    assert reason == "connect refused"


def test_requests_beyond_the_share_wait_in_order_and_unwanted_ones_are_not_sent(make):
    upstream, pool = make([OK])
    requests = [Request(wanted=number != 2) for number in range(6)]
    for request in requests:
        pool.submit(request)
    outcomes = [request.outcome() for request in requests]
    assert outcomes.pop(2) == ("not sent in time", False)
    assert all(outcome.status == 200 for outcome in outcomes)
    assert (upstream.connections, upstream.requests) == (1, 5)


def test_the_connection_of_an_overdue_response_is_closed(make):
    _, pool = make([b""])
    request = Request(expires_at=Clock().now() + 10.0 - OVERDUE_MARGIN)
    pool.submit(request)
    gevent.sleep(0.05)
    pool.maintain()
    assert request.outcome() == ("response overdue", True)
    assert pool.connections == 0


def test_a_pool_closed_when_idle_finishes_sent_requests_and_refuses_new_ones(make):
    _, pool = make([OK])
    sent, waiting = Request(), Request()
    pool.submit(sent)
    gevent.sleep(0)
    pool.submit(waiting)
    gevent.sleep(0.05)
    pool.close_when_idle()
    assert sent.outcome().status == 200
    assert ask(pool) == ("pool closed", False)


@pytest.mark.parametrize(
    ("answers", "options"),
    [
        ([OK], {}),
        ([OK], {"close": True}),
        ([b"HTTP/1.1 bad\r\n\r\n", OK], {}),
        ([OK], {"late": b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"}),
    ],
)
def test_the_load_is_the_number_of_requests_without_an_outcome(make, answers, options):
    _, pool = make(answers, limit=3, **options)
    for count in (1, 2, 5, 9):
        requests = [Request() for _ in range(count)]
        for request in requests:
            pool.submit(request)
        assert pool.load == count
        for request in requests:
            request.outcome()
        gevent.sleep(0)
        assert pool.load == 0


def test_a_connection_that_is_refused_leaves_no_load():
    pool = ConnectionPool(PortAllocator().allocate_endpoint(), 2, 0, Clock(), Counters())
    assert ask(pool) == ("connect refused", False)
    gevent.sleep(0)
    assert (pool.load, pool.connections) == (0, 0)
