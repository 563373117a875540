"""A started entry whose earlier connections still count at upstreams that accept no more."""

from __future__ import annotations

import gevent
import pytest

from fulmarhold.clock import Clock
from fulmarhold.observe.counters import Counters
from fulmarhold.tests.upstreams.test_connections import OK, Request, Upstream
from fulmarhold.upstreams.pool import ConnectionPool

EVENT_BOUND_S = 5.0
SHARE = 4


class CrowdedUpstream(Upstream):
    """Has room for some connections and closes others as soon as it has accepted them."""

    def __init__(self, room):
        super().__init__([OK])
        self.open = 0
        self.most_open = 0
        self.refused = 0
        self._room = room

    def _serve(self, connection):
        if self.open == self._room:
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


@pytest.fixture(params=[1, 2])
def crowded(request):
    upstream = CrowdedUpstream(request.param)
    yield upstream
    upstream.stop()


@pytest.fixture
def roomy():
    upstream = CrowdedUpstream(room=100)
    yield upstream
    upstream.stop()


def submit(upstream, count):
    pool = ConnectionPool(upstream.endpoint, SHARE, 0, Clock(), Counters())
    requests = [Request() for _ in range(count)]
    for request in requests:
        pool.submit(request)
    return pool, requests


def test_the_first_requests_of_a_fresh_pool_are_not_lost_where_there_is_little_room(crowded):
    pool, (first, *others) = submit(crowded, SHARE)
    outcomes = [item.ended.get(timeout=EVENT_BOUND_S) for item in (first, *others)]
    lost = [item for item in outcomes if isinstance(item, tuple)]
    # One more than fits is tried for every reply, so that the share is found.
    assert len(lost) <= 1
    pool.close()


def test_a_pool_grows_to_its_share_where_there_is_room(roomy):
    pool, requests = submit(roomy, 10 * SHARE)
    for request in requests:
        assert not isinstance(request.ended.get(timeout=EVENT_BOUND_S), tuple)
    assert roomy.most_open == SHARE
    pool.close()
