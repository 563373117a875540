"""Guards against requests that are lost because a restarted entry opens too many connections.

Its earlier connections still count towards the upstream's limit, so the upstream resets new ones.
"""

from __future__ import annotations

import gevent
import pytest

from fulmarhold.clock import Clock
from fulmarhold.observe.counters import Counters
from fulmarhold.tests.upstreams.test_connections import OK, Request, Upstream
from fulmarhold.upstreams.pool import RECONNECT_DELAY, ConnectionPool

OUTCOME_TIMEOUT_S = 5.0
SHARE = 4


class LimitedUpstream(Upstream):
    """Serves a limited number of connections and closes others right after accepting them."""

    def __init__(self, connection_limit):
        super().__init__([OK])
        self.open = 0
        self.most_open = 0
        self.refused = 0
        self._connection_limit = connection_limit

    def _serve(self, connection):
        if self.open == self._connection_limit:
            self.refused += 1
            connection.close()
            return
        self.open += 1
        self.most_open = max(self.most_open, self.open)
        try:
            while connection.recv(65_536):
                gevent.sleep(0.01)
                connection.sendall(OK)
        finally:
            self.open -= 1
            connection.close()


class ClosingUpstream(Upstream):
    """Closes its first connection after it has been idle for a while."""

    def __init__(self, answers):
        super().__init__(answers)
        self.closed = gevent.event.Event()

    def _serve(self, connection):
        if self.closed.is_set():
            super()._serve(connection)
            return
        gevent.sleep(0.1)
        connection.close()
        self.closed.set()


@pytest.fixture(params=[1, 2])
def limited_upstream(request):
    upstream = LimitedUpstream(request.param)
    yield upstream
    upstream.stop()


@pytest.fixture
def ample_upstream():
    upstream = LimitedUpstream(connection_limit=100)
    yield upstream
    upstream.stop()


def submit(upstream, count):
    pool = ConnectionPool(upstream.endpoint, SHARE, 0, Clock(), Counters())
    requests = [Request() for _ in range(count)]
    for request in requests:
        pool.submit(request)
    return pool, requests


def test_a_new_pool_does_not_lose_its_first_requests_to_a_low_connection_limit(limited_upstream):
    pool, (first, *others) = submit(limited_upstream, SHARE)
    outcomes = [item.ended.get(timeout=OUTCOME_TIMEOUT_S) for item in (first, *others)]
    lost = [item for item in outcomes if isinstance(item, tuple)]
    # After each reply the pool tries one connection more than were accepted, to find its share.
    assert len(lost) <= 1
    pool.close()


def test_no_request_is_lost_to_a_connection_beyond_the_limit(limited_upstream):
    # Load pattern: entries that all lost power come back while upstreams still count their old
    # connections. A request on a connection that is reset would count as one that may have run.
    clock = Clock()
    started_at = clock.now()
    pool, requests = submit(limited_upstream, 5 * SHARE)
    outcomes = [item.ended.get(timeout=OUTCOME_TIMEOUT_S) for item in requests]
    assert not [item for item in outcomes if isinstance(item, tuple)]
    # One at the start, and one each time that the pool may try again.
    assert limited_upstream.refused <= 1 + (clock.now() - started_at) / RECONNECT_DELAY
    pool.close()


def test_a_request_to_an_upstream_without_room_was_not_sent():
    upstream = LimitedUpstream(connection_limit=0)
    pool, requests = submit(upstream, SHARE)
    outcomes = [item.ended.get(timeout=OUTCOME_TIMEOUT_S) for item in requests]
    assert outcomes == [("connect refused", False)] * SHARE
    assert upstream.refused == 1
    late = Request()
    pool.submit(late)
    assert late.ended.get(timeout=OUTCOME_TIMEOUT_S) == ("connect refused", False)
    assert upstream.refused == 1
    pool.close()
    upstream.stop()


def test_a_warm_connection_that_is_closed_while_idle_is_no_sign_of_a_limit():
    upstream = ClosingUpstream([OK])
    clock = Clock()
    pool = ConnectionPool(upstream.endpoint, SHARE, 1, clock, Counters())
    pool.maintain()
    assert upstream.closed.wait(timeout=OUTCOME_TIMEOUT_S)
    while pool.connections:
        gevent.sleep(0.001)
    request = Request()
    pool.submit(request)
    assert request.ended.get(timeout=OUTCOME_TIMEOUT_S).status == 200
    pool.close()
    upstream.stop()


def test_a_pool_grows_to_its_share_where_the_limit_allows(ample_upstream):
    pool, requests = submit(ample_upstream, 10 * SHARE)
    for request in requests:
        assert not isinstance(request.ended.get(timeout=OUTCOME_TIMEOUT_S), tuple)
    assert ample_upstream.most_open == SHARE
    pool.close()
