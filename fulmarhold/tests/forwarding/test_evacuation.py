"""Requests that wait for a connection to an upstream whose data centre is evacuated."""

from __future__ import annotations

from random import Random

import gevent
import pytest

from fulmarhold.clock import Clock
from fulmarhold.forwarding.call import ServiceCall
from fulmarhold.forwarding.context import CallContext
from fulmarhold.forwarding.request import ForwardRequest, Refused, RefusedReason, Relayed
from fulmarhold.forwarding.single import SingleForward
from fulmarhold.forwarding.upstreams import UpstreamTable
from fulmarhold.limits.budget import SlackBudget
from fulmarhold.observe.counters import Counters
from fulmarhold.observe.estimates import ReplyEstimates
from fulmarhold.observe.events import EventLog
from fulmarhold.platform.headers import PlatformCodec
from fulmarhold.routes.configuration import RouteConfiguration, UpstreamService
from fulmarhold.routing.choice import choosers
from fulmarhold.tests.forwarding.test_silent_upstreams import WorkingUpstream, statement

DEADLINE = 3_000.0
# Every upstream accepts one connection.
CONFIGURATION = RouteConfiguration(1, (), {"s": UpstreamService("s", 1)})


class Entry:
    def __init__(self):
        self.clock, self.counters = Clock(), Counters()
        self.table = UpstreamTable("a", self.clock, self.counters)

    def update(self, statements, evacuated=()):
        self.table.update(statements, CONFIGURATION, 1, keep_warm=True, evacuated=evacuated)

    def send(self):
        now = self.clock.now()
        request = ForwardRequest("id", "POST", "/", "h", (), b"", now, now + DEADLINE)
        # Not idempotent, so that nothing is sent twice.
        context = CallContext(
            request, PlatformCodec(), now + DEADLINE, False, 2, choosers.find("least_expected"),
            ReplyEstimates(0.93, 20.0), self.clock, Random(1), self.counters,
            EventLog("test", self.clock, self.counters), useful_until=now + DEADLINE / 2,
        )  # fmt: skip
        forward = SingleForward(
            context,
            lambda owner: ServiceCall(
                "s", self.table.of_service("s"), SlackBudget(0.2, 20.0), context, owner
            ),
            DEADLINE,
            lambda: 50.0,
        )
        return gevent.spawn(forward.run)


@pytest.mark.parametrize("has_other", [True, False])
def test_waiting_requests_go_elsewhere_or_are_refused_and_running_ones_end(has_other):
    entry, near, other = Entry(), WorkingUpstream(), WorkingUpstream()
    stated = [statement(near, "near")]
    entry.update(stated)
    running = entry.send()
    assert near.asked.wait(timeout=5)
    if has_other:
        stated.append(statement(other, "other"))
        entry.update(stated)
        # The other one is passed over for a moment, so that the next request waits at the near one.
        passed_over = entry.table.find("other")
        assert passed_over is not None
        passed_over.note_unreachable(entry.clock.now())
    other.may_answer.set()
    waiting = entry.send()
    gevent.sleep(0.05)
    assert (near.requests, other.requests, waiting.ready()) == (1, 0, False)

    entry.update(stated[1:], evacuated=["near"])
    result = waiting.get(timeout=5)
    if has_other:
        assert isinstance(result, Relayed) and other.requests == 1
    else:
        assert isinstance(result, Refused) and result.reason is RefusedReason.UNREACHABLE
    assert not running.ready() and entry.table.is_evacuated("near")
    near.may_answer.set()
    assert isinstance(running.get(timeout=5), Relayed)
    gevent.sleep(0.05)
    entry.table.maintain()
    assert near.requests == 1 and entry.table.find("near") is None
    assert not entry.table._draining, "the connection is closed once it has no work"
    entry.table.close()
    near.stop()
    other.stop()
