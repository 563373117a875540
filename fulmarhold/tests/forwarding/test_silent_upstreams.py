"""Upstreams that are only slow to report: their running work is neither repeated nor given up.

Control declares an upstream silent after missed heartbeats, and entries then remove it from their
tables while requests to it are under way. Real connections to a scripted upstream on loopback.
"""

from __future__ import annotations

from random import Random

import gevent
import pytest

from fulmarhold.clock import Clock
from fulmarhold.forwarding.call import ServiceCall
from fulmarhold.forwarding.context import CallContext
from fulmarhold.forwarding.request import ForwardRequest, Relayed
from fulmarhold.forwarding.single import SingleForward
from fulmarhold.forwarding.upstreams import UpstreamTable
from fulmarhold.limits.budget import SlackBudget
from fulmarhold.membership.statements import READY, UpstreamStatement
from fulmarhold.observe.counters import Counters
from fulmarhold.observe.estimates import ReplyEstimates
from fulmarhold.observe.events import EventLog
from fulmarhold.platform.headers import PlatformCodec
from fulmarhold.routes.configuration import RouteConfiguration, UpstreamService
from fulmarhold.routing.choice import choosers
from fulmarhold.tests.upstreams.test_connections import Upstream

DEADLINE = 3_000.0
ANSWER = (
    b"HTTP/1.1 200 OK\r\nX-Fulmarhold-Attempt-Id: id\r\nX-Fulmarhold-Server-Stamp: stamp\r\n"
    b"Content-Length: 4\r\n\r\ndone"
)


class WorkingUpstream(Upstream):
    """Answers each request once it is told to."""

    def __init__(self):
        super().__init__([ANSWER])
        self.may_answer = gevent.event.Event()
        self.asked = gevent.event.Event()

    def _serve(self, connection):
        while connection.recv(65_536):
            self.requests += 1
            self.asked.set()
            self.may_answer.wait()
            connection.sendall(ANSWER)
        connection.close()


def statement(upstream, name):
    return UpstreamStatement(name, 1, 1, READY, "s", upstream.endpoint, "a", 2)


@pytest.mark.parametrize("idempotent", [False, True])
def test_work_of_an_upstream_that_falls_silent_is_awaited_and_not_repeated(idempotent):
    clock, counters = Clock(), Counters()
    silent, other = WorkingUpstream(), WorkingUpstream()
    configuration = RouteConfiguration(1, (), {"s": UpstreamService("s", 8)})
    table = UpstreamTable("a", clock, counters)
    table.update([statement(silent, "silent")], configuration, 1, keep_warm=False)
    now = clock.now()
    request = ForwardRequest("id", "POST", "/", "h", (), b"", now, now + DEADLINE)
    context = CallContext(
        request, PlatformCodec(), now + DEADLINE, idempotent, 2,
        choosers.find("least_expected"), ReplyEstimates(0.93, 20.0), clock, Random(1), counters,
        EventLog("test", clock, counters), useful_until=now + DEADLINE / 2,
    )  # fmt: skip
    forward = SingleForward(
        context,
        lambda owner: ServiceCall(
            "s", table.of_service("s"), SlackBudget(0.2, 20.0), context, owner
        ),
        DEADLINE,
        lambda: 50.0,
    )
    outcome = gevent.spawn(forward.run)
    assert silent.asked.wait(timeout=5)
    # The feed now lists another upstream only, as after the first one's missed heartbeats.
    table.update([statement(other, "other")], configuration, 1, keep_warm=False)
    table.maintain()
    gevent.sleep(0.05)
    assert not outcome.ready()
    silent.may_answer.set()
    result = outcome.get(timeout=5)
    assert isinstance(result, Relayed) and result.reply.body == b"done"
    assert (silent.requests, other.requests) == (1, 0)
    table.close()
    silent.stop()
    other.stop()
