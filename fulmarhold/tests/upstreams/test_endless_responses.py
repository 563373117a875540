"""Upstreams that send bytes without end, or that never finish a response they have begun.

Such bytes must cost bounded memory and time, and the request must fail as one that may have run.
"""

from __future__ import annotations

import gevent
import pytest

from fulmarhold.clock import Clock, ManualClock
from fulmarhold.limits.memory import MemoryBudget
from fulmarhold.observe.counters import Counters
from fulmarhold.tests.upstreams.test_connections import OK, Request, Upstream, ask
from fulmarhold.upstreams.channel import NO_MEMORY, READ_BYTES, SHARE_USED
from fulmarhold.upstreams.pool import OVERDUE_MARGIN, ConnectionPool
from fulmarhold.upstreams.protocol import (
    BLOCK_BYTES,
    MAX_FRAMING_BYTES,
    MAX_HEAD_BYTES,
    MAX_HEADER_FIELDS,
    MAX_RESPONSE_BYTES,
    ResponseReader,
)

PIECE_BYTES = 16_384
# What the kernel buffers on both sides of a loopback connection, far below the smallest excess
# that a missing limit would allow.
KERNEL_BUFFER_BYTES = 8 * 1024 * 1024


def fill(text):
    return text * (PIECE_BYTES // len(text) + 1)


ENDLESS = {
    "header line": (b"HTTP/1.1 200 OK\r\nX-Long: ", fill(b"a"), MAX_HEAD_BYTES),
    "header name": (b"HTTP/1.1 200 OK\r\n", fill(b"a"), MAX_HEAD_BYTES),
    "headers": (b"HTTP/1.1 200 OK\r\n", fill(b"X-More: 1\r\n"), MAX_HEAD_BYTES),
    "status line": (b"HTTP/1.1 200 ", fill(b"O"), MAX_HEAD_BYTES),
    "interim responses": (b"", fill(b"HTTP/1.1 102 Processing\r\n\r\n"), MAX_HEAD_BYTES),
    "body without length": (b"HTTP/1.1 200 OK\r\n\r\n", fill(b"b"), MAX_RESPONSE_BYTES),
    "chunks": (
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
        fill(b"1\r\nb\r\n"),
        MAX_RESPONSE_BYTES,
    ),
    "chunk extension": (
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;",
        fill(b"e"),
        MAX_RESPONSE_BYTES,
    ),
    "trailer": (
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n",
        fill(b"X-More: 1\r\n"),
        MAX_RESPONSE_BYTES,
    ),
}


class EndlessUpstream(Upstream):
    """Answers `before` requests, then sends a beginning and pieces until it is disconnected."""

    def __init__(self, start, piece, before=0):
        super().__init__([OK])
        self.bytes_sent = 0
        self.disconnected = gevent.event.Event()
        self._start, self._piece, self._before = start, piece, before

    def _serve(self, connection):
        for _ in range(self._before):
            connection.recv(65_536)
            connection.sendall(OK)
        connection.recv(65_536)
        try:
            connection.sendall(self._start)
            while True:
                connection.sendall(self._piece)
                self.bytes_sent += len(self._piece)
        except OSError:
            self.disconnected.set()
        finally:
            connection.close()


@pytest.mark.parametrize("before", [0, 2], ids=["first response", "third response"])
@pytest.mark.parametrize(("start", "piece", "limit"), ENDLESS.values(), ids=ENDLESS.keys())
def test_endless_bytes_end_the_connection_and_fail_the_request(start, piece, limit, before):
    upstream = EndlessUpstream(start, piece, before)
    pool = ConnectionPool(upstream.endpoint, 1, 0, Clock(), Counters())
    for _ in range(before):
        assert ask(pool).body == b"{}"
    reason, sent = ask(pool)
    assert reason in ("response too large", "malformed response")
    assert sent
    assert pool.connections == 0
    assert upstream.disconnected.wait(timeout=5)
    assert upstream.bytes_sent <= limit + KERNEL_BUFFER_BYTES
    assert pool.take_bytes() <= limit + 2 * 65_536 + before * 1_000
    upstream.stop()


@pytest.mark.parametrize(
    "begun", [b"", b"HTTP/1.1 200 OK\r\nX-S", OK[:-1]], ids=["none", "head", "body"]
)
def test_a_response_that_never_ends_gives_its_connection_back_after_the_deadline(begun):
    upstream = Upstream([begun, OK])
    clock = ManualClock()
    pool = ConnectionPool(upstream.endpoint, 1, 0, clock, Counters())
    stuck = Request(expires_at=clock.now() + 20.0)
    pool.submit(stuck)
    waiting = Request()
    pool.submit(waiting)
    while pool.connections and upstream.requests == 0:
        gevent.sleep(0.001)
    clock.advance(20.0 + OVERDUE_MARGIN)
    pool.maintain()
    assert not stuck.ended.ready()
    clock.advance(1.0)
    pool.maintain()
    assert stuck.outcome() == ("response overdue", True)
    assert waiting.outcome().body == b"{}"
    upstream.stop()
    pool.close()


def read_response(data, piece_bytes):
    """Return the reader of a response, once it is complete or too large."""
    reader = ResponseReader()
    for start in range(0, len(data), piece_bytes):
        reader.feed(data[start : start + piece_bytes])
        if reader.is_too_large or reader.is_complete:
            break
    return reader


CHUNK = b"2\r\nbb\r\n"
CHUNKED_HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


# Guards against responses that cost far more memory or time than their bytes suggest.
@pytest.mark.parametrize("piece_bytes", [100, READ_BYTES])
@pytest.mark.parametrize(
    "data",
    [
        b"HTTP/1.1 200 OK\r\n" + b"A:\r\n" * (MAX_HEADER_FIELDS + 1) + b"\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % (MAX_RESPONSE_BYTES + 1),
        CHUNKED_HEAD + CHUNK * (MAX_FRAMING_BYTES // 5),
    ],
    ids=["header fields", "announced length", "short chunks"],
)
def test_what_is_too_large_is_found_as_soon_as_it_is_known(data, piece_bytes):
    assert read_response(data, piece_bytes).is_too_large


@pytest.mark.parametrize("chunk_bytes", [1, 1_000, BLOCK_BYTES, 3 * BLOCK_BYTES + 1])
def test_a_body_in_chunks_of_any_size_is_whole(chunk_bytes):
    body = bytes(number % 251 for number in range(20 * min(chunk_bytes, BLOCK_BYTES)))
    chunks = [body[at : at + chunk_bytes] for at in range(0, len(body), chunk_bytes)]
    framed = b"".join(b"%x\r\n%b\r\n" % (len(chunk), chunk) for chunk in chunks)
    reader = read_response(CHUNKED_HEAD + framed + b"0\r\n\r\n", READ_BYTES)
    assert reader.is_complete and not reader.is_too_large
    assert reader.take().body == body


# Guards against an upstream whose endless responses take the memory of others' responses.
def test_unfinished_responses_give_way_and_their_upstream_is_at_fault():
    endless = EndlessUpstream(*ENDLESS["body without length"][:2])
    sound = Upstream([OK])
    memory = MemoryBudget(1_000_000, Clock(), Counters())
    pools = [
        ConnectionPool(upstream.endpoint, 4, 0, Clock(), Counters(), memory)
        for upstream in (endless, sound)
    ]
    requests = [Request() for _ in range(4)]
    for request in requests:
        pools[0].submit(request)
    assert ask(pools[1]).body == b"{}"
    assert [request.outcome() for request in requests] == [(NO_MEMORY, True)] * 4
    assert memory.held == 0
    for upstream in (endless, sound):
        upstream.stop()


def test_responses_of_one_caller_give_way_to_its_share_and_no_upstream_is_at_fault():
    begun = b"HTTP/1.1 200 OK\r\nContent-Length: 900000\r\n\r\n" + b"b" * 300_000
    upstreams = [Upstream([begun]) for _ in range(2)]
    memory = MemoryBudget(1_000_000, Clock(), Counters())
    pools = [
        ConnectionPool(upstream.endpoint, 4, 0, Clock(), Counters(), memory)
        for upstream in upstreams
    ]
    requests = [Request(), Request()]
    for pool, request in zip(pools, requests, strict=True):
        pool.submit(request)
    ended = gevent.wait([request.ended for request in requests], timeout=5, count=1)
    assert [event.get() for event in ended] == [(SHARE_USED, True)]
    assert memory.held <= 500_000
    for pool, upstream in zip(pools, upstreams, strict=True):
        pool.close()
        upstream.stop()
    assert memory.held == 0
