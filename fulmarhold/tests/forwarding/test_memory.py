"""What forwarding holds for a request, and requests for which there is no memory.

No network: scripted connection pools complete the exchanges from greenlets.
"""

from __future__ import annotations

import gc
import weakref
from types import SimpleNamespace
from typing import Any

import gevent
import pytest

from fulmarhold.clock import Clock
from fulmarhold.forwarding.attempt import FIRST, CallAttempt
from fulmarhold.forwarding.codec import UpstreamCodec
from fulmarhold.forwarding.forwarder import Forwarder
from fulmarhold.forwarding.records import RECORD_BYTES, greatest_records
from fulmarhold.forwarding.request import ForwardRequest, Refused, RefusedReason, Reply, Verdict
from fulmarhold.forwarding.upstreams import UpstreamTable
from fulmarhold.limits.budget import ExtraLoadBound
from fulmarhold.limits.memory import ADMITTED_SHARE, Holder, MemoryBudget
from fulmarhold.observe.counters import Counters
from fulmarhold.observe.events import EventLog
from fulmarhold.routes.configuration import Route, RouteConfiguration, WeightedService
from fulmarhold.routes.table import RouteTable
from fulmarhold.routing.replica import FAILURES_BEFORE_EJECTION
from fulmarhold.tests.forwarding.scripted import (
    ForwardingFixture,
    ScriptedCodec,
    ScriptedPool,
    make_replica,
    shards,
)
from fulmarhold.upstreams.channel import NO_MEMORY, SHARE_USED

LIMIT = 1_000_000
TOP = 3
# Records of a part, which is far larger than what can be in the answer.
RECORDS = 1_000


class LargePartsCodec(ScriptedCodec):
    def read(self, response, request_id):
        records = [f"{response.address}-{number}".encode() for number in range(RECORDS)]
        body = b"".join(record.ljust(RECORD_BYTES, b"0") for record in records)
        return Reply(response.verdict, 200, (), body, f"stamp-{response.address}")


def test_a_part_is_held_only_as_far_as_it_can_be_in_the_answer():
    fixture, memory = ForwardingFixture(), MemoryBudget(LIMIT, Clock(), Counters())
    context = fixture.context
    context.codec, context.top_records = LargePartsCodec(), TOP
    context.held = memory.open_fixed(Holder.REPLY)
    query = fixture.scatter(shards(4), top=TOP)
    outcome = query.run()
    assert memory.held == 4 * TOP * RECORD_BYTES
    parts = (LargePartsCodec().read(pools.replicas[0].pool, "").body for pools in query.calls)
    assert outcome.records == greatest_records(parts, TOP)
    assert context.replies.size > TOP * RECORD_BYTES, "the size on the wire is still known"


class Forwarding:
    """A forwarder with an urgent and another route, without upstreams."""

    def __init__(self):
        clock, counters = Clock(), Counters()
        self.memory = MemoryBudget(LIMIT, clock, counters)
        codec: UpstreamCodec = ScriptedCodec()
        self.forwarder = Forwarder(
            UpstreamTable("a", clock, counters, self.memory),
            codec,
            ExtraLoadBound(0.2, 10.0, 10_000.0),
            clock,
            counters,
            EventLog("test", clock, counters),
            memory=self.memory,
        )
        services = (WeightedService("s", 1),)
        routes = tuple(
            Route(name, "h", f"/{name}/", True, 400.0, 100.0, rank, 2, services)
            for rank, name in enumerate(("urgent", "other"))
        )
        self.forwarder.use(RouteTable(RouteConfiguration(1, routes, {})))
        self._clock = clock

    def send(self, name):
        now = self._clock.now()
        request = ForwardRequest("id", "GET", f"/{name}/", "h", (), b"", now, now + 400.0)
        return self.forwarder.forward(request, lambda callback: None)


# Guards against new work that is taken while what callers wait for fills the memory.
@pytest.mark.parametrize(
    ("share", "reasons"),
    [
        (ADMITTED_SHARE, [RefusedReason.NO_UPSTREAM, RefusedReason.NO_UPSTREAM]),
        (ADMITTED_SHARE + 0.1, [RefusedReason.NO_UPSTREAM, RefusedReason.NO_MEMORY]),
        (1.0, [RefusedReason.NO_MEMORY, RefusedReason.NO_MEMORY]),
    ],
)
def test_without_memory_new_requests_are_refused_at_once_the_least_urgent_first(share, reasons):
    forwarding = Forwarding()
    answers = forwarding.memory.open_fixed(Holder.ANSWER)
    answers.grow(int(share * LIMIT))
    outcomes = [forwarding.send(name) for name in ("urgent", "other")]
    assert [outcome.reason for outcome in outcomes] == reasons
    assert all(isinstance(item, Refused) and item.retry_after > 0 for item in outcomes)
    answers.release()
    assert forwarding.memory.held == 0


# Guards against sound upstreams that get no requests because of callers that don't read.
@pytest.mark.parametrize(("reason", "is_at_fault"), [(SHARE_USED, False), (NO_MEMORY, True)])
def test_an_upstream_is_not_at_fault_for_a_share_that_a_caller_has_used_up(reason, is_at_fault):
    fixture, replica = ForwardingFixture(), make_replica(ScriptedPool("0"))
    call: Any = SimpleNamespace(service="s", attempt_failed=lambda attempt, reason: None)
    for _ in range(FAILURES_BEFORE_EJECTION):
        attempt = CallAttempt(call, fixture.context, replica, FIRST)
        attempt.encode()
        attempt.failed(reason, sent=True)
    assert replica.is_ejected(fixture.clock.now()) is is_at_fault
    assert fixture.counters.value("attempts_failed", reason=reason) == FAILURES_BEFORE_EJECTION


def test_failed_replies_are_held_until_the_outcome():
    fixture, memory = ForwardingFixture(), MemoryBudget(LIMIT, Clock(), Counters())
    fixture.context.held = held = memory.open_fixed(Holder.REPLY)
    pools = shards(1)["s0"]
    for pool in pools:
        pool.verdict, pool.status = Verdict.FAILURE, 500
    fixture.single(pools).run()
    assert memory.held == len(pools) * RECORD_BYTES
    held.release()
    assert memory.held == 0


# Guards against replies that stay in memory until the garbage collector finds them.
@pytest.mark.parametrize("kind", ["single", "shards", "hedged"])
def test_a_reply_is_gone_with_its_outcome_without_the_garbage_collector(kind):
    # Takes long in a large process, so that the time of a request must begin after it.
    gc.collect()
    fixture = ForwardingFixture()
    if kind == "shards":
        operation = fixture.scatter(shards(3))
    else:
        slow, fast = ScriptedPool("0", delay=30.0), ScriptedPool("1")
        fast.load = 1
        operation = fixture.single([slow, fast], hedge_after=5.0 if kind == "hedged" else 1_000.0)
    gc.disable()
    try:
        operation.run()
        calls = operation.calls if kind == "shards" else [operation._call]
        replies = [weakref.ref(call.reply) for call in calls]
        operation.release()
        del calls, operation
        gevent.sleep(0.04)
        assert [reply() for reply in replies] == [None] * len(replies)
    finally:
        gc.enable()
