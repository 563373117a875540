"""Upstreams that say in their answers that they leave or want no work; connections on loopback."""

from __future__ import annotations

import gevent
import pytest

from fulmarhold.clock import Clock
from fulmarhold.forwarding.call import ServiceCall
from fulmarhold.forwarding.upstreams import UpstreamTable
from fulmarhold.membership.statements import READY, UpstreamStatement
from fulmarhold.observe.counters import Counters
from fulmarhold.platform.headers import PlatformCodec
from fulmarhold.routes.configuration import RouteConfiguration, UpstreamService
from fulmarhold.tests.forwarding.scripted import ForwardingFixture
from fulmarhold.tests.upstreams.test_connections import Upstream

STAMP = b"X-Fulmarhold-Server-Stamp: stamp\r\n"
NOT_RUN = b"X-Fulmarhold-Not-Executed: 1\r\nRetry-After: 5\r\n"
REQUESTS = 8


def answer(status, fields):
    return b"HTTP/1.1 %d X\r\n%sContent-Length: 4\r\n\r\ndone" % (status, fields)


# Guards against new work for an upstream that has said in an answer that it wants none, and against
# taking a pause for ill health.
@pytest.mark.parametrize(
    ("status", "fields", "requests", "connections"),
    [
        (200, STAMP + b"Server-Leaving: 1\r\n", 1, 0),
        (500, STAMP + b"x-fulmarhold-server-leaving: 1\r\n", 1, 0),
        (503, NOT_RUN + b"Server-Leaving: 1\r\n", 1, 0),
        (503, NOT_RUN, 1, 1),
        (429, NOT_RUN, 1, 1),
        (404, STAMP, REQUESTS, 1),
    ],
)
def test_an_upstream_gets_no_request_after_it_has_said_that_it_wants_none(
    status, fields, requests, connections
):
    upstream = Upstream([answer(status, fields)])
    clock = Clock()
    table = UpstreamTable("a", clock, Counters())
    statement = UpstreamStatement("u", 1, 1, READY, "s", upstream.endpoint, "a", 2)
    configuration = RouteConfiguration(1, (), {"s": UpstreamService("s", 8)})
    for _ in range(REQUESTS):
        table.update([statement], configuration, 1, keep_warm=True)
        fixture = ForwardingFixture()
        fixture.context.codec = PlatformCodec()
        ended = gevent.event.Event()
        owner = type("Owner", (), {"call_finished": lambda *_, ended=ended: ended.set()})()
        call = ServiceCall("s", table.of_service("s"), fixture.budget, fixture.context, owner)
        call.start()
        assert ended.wait(timeout=5)
    table.maintain()
    gevent.sleep(0.02)
    (replica,) = table.replicas
    assert (upstream.requests, replica.pool.connections) == (requests, connections)
    assert not replica.is_ejected(clock.now())
    table.close()
    upstream.stop()
