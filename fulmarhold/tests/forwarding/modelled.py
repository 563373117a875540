"""A fleet of upstreams without network: real pools and calls on modelled connections and time.

It fails if a request reaches an incarnation that has said that it leaves, or that wants no work.
"""

from __future__ import annotations

import json
from contextlib import contextmanager
from dataclasses import replace
from random import Random
from typing import Any
from unittest.mock import patch

from fulmarhold.clock import ManualClock
from fulmarhold.forwarding.call import ServiceCall
from fulmarhold.forwarding.request import Pause, Reply, Verdict
from fulmarhold.forwarding.single import SingleForward
from fulmarhold.forwarding.upstreams import UpstreamTable
from fulmarhold.membership.statements import READY, UpstreamStatement
from fulmarhold.observe.counters import Counters
from fulmarhold.observe.events import EventLog
from fulmarhold.routes.configuration import RouteConfiguration, UpstreamService
from fulmarhold.tests.forwarding.scripted import ForwardingFixture
from fulmarhold.upstreams.channel import ChannelState

LATENCY_MS = 5.0
DONE = Reply(Verdict.SUCCESS, 200, (), b"x" * 16, "stamp")
NOT_RUN = Reply(Verdict.NOT_RUN, 503, (), b"", "")
LEAVING = replace(DONE, is_leaving=True)


def pausing(length):
    return replace(NOT_RUN, pause=Pause(length))


class ModelChannel:
    def __init__(self, fleet, owner):
        self.fleet, self.owner = fleet, owner
        self.exchange: Any = None
        self.state, self.busy_since = ChannelState.CONNECTING, 0.0
        self.expires_at = self.usable_until = float("inf")
        fleet.opening.append(self)

    @property
    def key(self):
        """The name and the start of the upstream at the other end."""
        record = self.owner.gate.upstream.record
        return record.name, record.born

    def send(self, exchange, now):
        self.state, self.exchange, self.busy_since = ChannelState.BUSY, exchange, now
        exchange.encode()
        self.fleet.note_reached(self)

    def carries(self, exchange):
        return self.exchange is exchange

    def mark_idle(self, now):
        pass

    def close(self, reason):
        if self.state is ChannelState.CLOSED:
            return
        self.state = ChannelState.CLOSED
        exchange, self.exchange = self.exchange, None
        self.owner.channel_closed(self, reason)
        if exchange is not None:
            exchange.failed(reason, sent=True)

    def answer(self, reply):
        exchange, self.exchange = self.exchange, None
        self.fleet.note_answer(self.key, reply)
        exchange.completed(reply)
        self.state = ChannelState.FREE
        self.owner.channel_free(self)


class ModelCodec:
    def for_account(self, request, account):
        return replace(request, account=account, key=b"")

    def prepare(self, request):
        return b"", b""

    def encode(self, prepared, upstream, left):
        return b""

    def read(self, reply, request_id):
        return reply


class Fleet:
    """`table` is what an entry knows; `reached` counts the requests of each incarnation."""

    def __init__(self, connections):
        services = {"s": UpstreamService("s", connections)}
        self.configuration = RouteConfiguration(1, (), services)
        self.clock, self.counters = ManualClock(1_000.0), Counters()
        self.events = EventLog("test", self.clock, self.counters)
        self.table = UpstreamTable("a", self.clock, self.counters, events=self.events)
        self.statements: dict[str, Any] = {}
        self.opening: list[Any] = []
        self.channels: list[Any] = []
        self.calls: list[Any] = []
        self.random = Random(1)
        self.left, self.paused_until, self.reached = (
            set[Any](),
            dict[Any, float](),
            dict[Any, int](),
        )
        self.behaviour = lambda record, now: DONE

    def update(self, **changes):
        """Change statements by name, `None` for an upstream that is not listed; apply them all."""
        self.statements |= changes
        listed = [item for item in self.statements.values() if item is not None]
        self.table.update(listed, self.configuration, 1, keep_warm=True)
        self.settle()

    def settle(self):
        while self.opening:
            channel = self.opening.pop(0)
            if channel.state is ChannelState.CONNECTING:
                channel.state = ChannelState.FREE
                self.channels.append(channel)
                channel.owner._use(channel)

    def busy(self):
        return [item for item in self.channels if item.state is ChannelState.BUSY]

    def log(self, event):
        """Return the fields of the logged events of a kind."""
        lines = [json.loads(line) for line in self.events._lines]
        return [line for line in lines if line["event"] == event]

    def idle(self):
        return [item for item in self.channels if item.state is ChannelState.FREE]

    def note_reached(self, channel):
        key, now = channel.key, self.clock.now()
        assert key not in self.left, f"{key} has said that it leaves"
        assert now >= self.paused_until.get(key, 0.0), f"{key} wants no work"
        self.reached[key] = self.reached.get(key, 0) + 1

    def note_answer(self, key, reply):
        if reply.is_leaving and not reply.sender:
            self.left.add(key)
        if reply.is_pausing:
            until = self.clock.now() + reply.pause.length
            self.paused_until[key] = max(until, self.paused_until.get(key, 0.0))

    def fixture(self, number=0, deadline=2_000.0):
        fixture = ForwardingFixture(deadline=deadline)
        context, now = fixture.context, self.clock.now()
        context.clock, context.codec, context.deadline_at = self.clock, ModelCodec(), now + deadline
        context.events, context.counters = self.events, self.counters
        context.useful_until, context.random = now + deadline / 2, self.random
        context.request = replace(
            fixture.request, request_id=f"r{number}", received_at=now, deadline_at=now + deadline
        )
        return fixture

    def send(self, deadline=2_000.0):
        fixture = self.fixture(len(self.calls), deadline)
        replicas = self.table.of_service("s")
        call = ServiceCall("s", replicas, fixture.budget, fixture.context, self)
        self.calls.append(call)
        call.start()
        self.settle()
        return call

    def refuse(self, deadline=2_000.0):
        """Return the outcome of a request that must be refused at once."""
        fixture = self.fixture(deadline=deadline)
        replicas = self.table.of_service("s")
        forward = SingleForward(
            fixture.context,
            lambda owner: ServiceCall("s", replicas, fixture.budget, fixture.context, owner),
            0.0, lambda: 50.0,
        )  # fmt: skip
        forward._call.start()
        assert forward._call.is_done
        return forward._outcome()

    def call_finished(self, call):
        pass

    def answer(self, channel, reply):
        channel.answer(reply)
        self.settle()

    def step(self, length=1.0):
        """Let time pass; upstreams answer what they have had for their latency."""
        self.clock.advance(length)
        now = self.clock.now()
        for channel in self.busy():
            if channel.state is ChannelState.BUSY and now - channel.busy_since >= LATENCY_MS:
                self.answer(channel, self.behaviour(channel.owner.gate.upstream.record, now))
        self.table.maintain()
        self.settle()

    def run(self, length, between=2.0):
        """Send requests at a steady rate for a time; returns their calls."""
        until, calls = self.clock.now() + length, []
        while self.clock.now() < until:
            calls.append(self.send())
            self.step(between)
        while self.busy():
            self.step()
        return calls


@contextmanager
def fleet(*names, connections=4):
    model = Fleet(connections)
    with patch("fulmarhold.upstreams.pool.Channel", lambda _, owner: ModelChannel(model, owner)):
        model.update(**{name: statement(name, 1) for name in names})
        yield model


def statement(name, born, address=""):
    address = address or f"{name}:{born}"
    return UpstreamStatement(name, born, 1, READY, "s", address, "a", 2)
