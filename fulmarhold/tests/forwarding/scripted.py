"""Scripted connection pools, and queries whose calls use them; no network.

The pools complete the exchanges from greenlets.
"""

from __future__ import annotations

from dataclasses import replace
from random import Random
from typing import Any

import gevent

from fulmarhold.clock import Clock
from fulmarhold.forwarding.call import ServiceCall
from fulmarhold.forwarding.context import CallContext
from fulmarhold.forwarding.request import ForwardRequest, Reply, Verdict
from fulmarhold.forwarding.scatter import ShardQuery
from fulmarhold.forwarding.shard_timing import partial_answer_at
from fulmarhold.forwarding.single import SingleForward
from fulmarhold.forwarding.upstreams import EJECTION_TIME, ServingUpstream
from fulmarhold.limits.budget import SlackBudget
from fulmarhold.membership.statements import READY, UpstreamStatement
from fulmarhold.observe.counters import Counters
from fulmarhold.observe.estimates import ReplyEstimates
from fulmarhold.observe.events import EventLog
from fulmarhold.routes.configuration import Route
from fulmarhold.routing.choice import choosers
from fulmarhold.routing.replica import Replica

FAST_MS = 4.0
HOME = "a"
PAUSE_MS = 150.0


class ScriptedPool:
    """Completes each exchange after a delay with a given verdict, or never."""

    data_centre = HOME
    # Fields of the replies that say something about further work.
    said: dict[str, Any] = {}

    def __init__(self, address, delay=FAST_MS, verdict=Verdict.SUCCESS, status=200):
        self.address, self.delay, self.verdict, self.status = address, delay, verdict, status
        self.load, self.connections, self.limit = 0, 1, 4
        self.sent, self.withdrawn = [], []

    def submit(self, exchange):
        if self.verdict == "refused":
            exchange.failed("connect refused", sent=False)
            return
        exchange.encode()
        self.sent.append(exchange)
        if self.verdict == "lost":
            gevent.spawn_later(self.delay / 1e3, exchange.failed, "connection lost", sent=True)
        elif self.delay is not None:
            gevent.spawn_later(self.delay / 1e3, exchange.completed, self)

    def withdraw(self, exchange):
        self.withdrawn.append(exchange)

    def longest_wait(self, now):
        return 0.0

    def close_when_idle(self):
        self.connections = 0

    def fail_waiting(self, reason):
        pass


class ScriptedCodec:
    def for_account(self, request, account):
        return replace(request, account=account, key=b"")

    def prepare(self, request):
        return b"", b""

    def encode(self, prepared, upstream, left):
        return b""

    def read(self, response, request_id):
        body = response.address.encode().ljust(16, b"0")
        stamp = f"stamp-{response.address}"
        return Reply(response.verdict, response.status, (), body, stamp, **response.said)


def make_replica(pool, data_centre=HOME):
    statement = UpstreamStatement(pool.address, 1, 1, READY, "s", pool.address, data_centre, 2)
    is_local = data_centre == HOME
    replica = Replica(ServingUpstream(statement), pool, EJECTION_TIME, 0.0, is_local=is_local)
    replica.latency.value = FAST_MS
    return replica


class ForwardingFixture:
    def __init__(self, *, idempotent=True, attempts=2, deadline=400.0, budget=None):
        self.clock, self.counters = Clock(), Counters()
        now = self.clock.now()
        self.request = ForwardRequest("id", "GET", "/", "h", (), b"", now, now + deadline)
        self.context = CallContext(
            self.request,
            ScriptedCodec(),
            now + deadline,
            idempotent,
            attempts,
            choosers.find("least_expected"),
            ReplyEstimates(0.93, 20.0),
            self.clock,
            Random(1),
            self.counters,
            EventLog("test", self.clock, self.counters),
            useful_until=now + 88.0,
        )
        self.budget = budget or SlackBudget(0.2, 200.0)
        self.budget.earn(1_000)

    def call(self, service, pools, owner):
        replicas = [make_replica(pool, pool.data_centre) for pool in pools]
        return ServiceCall(service, replicas, self.budget, self.context, owner)

    def scatter(
        self,
        shards,
        *,
        target=100.0,
        share=0.75,
        top=3,
        collectors=None,
        usual=20.0,
        part_bytes=1_000,
    ):
        names = tuple(shards)
        self.context.useful_until = partial_answer_at(
            self.request.received_at, target, 0.0, is_first=False
        )
        self.context.replies.typical.value = usual
        self.context.replies.size = part_bytes
        route = Route("r", "h", "/", True, 400.0, target, 1, 2, (), names, top, share)
        return ShardQuery(
            self.context, route, lambda name, owner: self.call(name, shards[name], owner),
            usual, lambda: 50.0, lambda: collectors or {},
        )  # fmt: skip

    def single(self, pools, hedge_after=1_000.0):
        return SingleForward(
            self.context, lambda owner: self.call("s", pools, owner), hedge_after, lambda: 50.0
        )


def shards(count, **special):
    made = {}
    for number in range(count):
        pools = [ScriptedPool(f"{number}-0"), ScriptedPool(f"{number}-1")]
        made[f"s{number}"] = special.get(f"s{number}", pools)
    return made


def elapsed_ms(fixture):
    return fixture.clock.now() - fixture.request.received_at
