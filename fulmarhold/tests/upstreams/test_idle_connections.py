"""Pattern: many entries, of which each seldom sends a request to most of the upstreams.

A warm connection that idles out unused and is opened again costs the upstream a handshake each
time, and gains nothing.
"""

from __future__ import annotations

import gevent
import pytest

from fulmarhold.clock import Clock
from fulmarhold.observe.counters import Counters
from fulmarhold.tests.upstreams.test_connections import OK, Request, Upstream
from fulmarhold.upstreams.pool import ConnectionPool

OUTCOME_TIMEOUT_S = 5.0
IDLE_S = 0.02


class ImpatientUpstream(Upstream):
    """Closes connections that are idle for `IDLE_S`."""

    def _serve(self, connection):
        connection.settimeout(IDLE_S)
        try:
            super()._serve(connection)
        except TimeoutError:
            connection.close()


@pytest.fixture
def pool():
    upstream = ImpatientUpstream([OK])
    made = ConnectionPool(upstream.endpoint, 4, 1, Clock(), Counters())
    yield made, upstream
    made.close()
    upstream.stop()


def wait_until(is_met, pool):
    with gevent.Timeout(OUTCOME_TIMEOUT_S):
        while not is_met():
            pool.maintain()
            gevent.sleep(IDLE_S / 10)


def test_a_warm_connection_that_idled_out_unused_is_not_opened_again(pool):
    pool, upstream = pool
    wait_until(lambda: upstream.connections == 1, pool)
    wait_until(lambda: pool.connections == 0, pool)
    for _ in range(20):
        pool.maintain()
        gevent.sleep(IDLE_S / 10)
    assert upstream.connections == 1


def test_one_that_was_used_is_opened_again_once(pool):
    pool, upstream = pool
    wait_until(lambda: upstream.connections == 1, pool)
    wait_until(lambda: pool.connections == 0, pool)
    request = Request()
    pool.submit(request)
    assert request.ended.get(timeout=OUTCOME_TIMEOUT_S).status == 200
    wait_until(lambda: upstream.connections == 3, pool)
    wait_until(lambda: pool.connections == 0, pool)
    for _ in range(20):
        pool.maintain()
        gevent.sleep(IDLE_S / 10)
    assert upstream.connections == 3
