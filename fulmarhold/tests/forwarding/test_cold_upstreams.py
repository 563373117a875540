"""Load: requests for a service whose upstreams are cold, at one of several active entries.

No network: scripted connection pools complete the exchanges from greenlets.
"""

from __future__ import annotations

from dataclasses import replace
from typing import Any, cast

import pytest

from fulmarhold.clock import ManualClock
from fulmarhold.forwarding.call import ServiceCall
from fulmarhold.forwarding.upstreams import UpstreamTable
from fulmarhold.limits.cold import VIEW_HOLD
from fulmarhold.membership.statements import READY, UpstreamStatement
from fulmarhold.observe.counters import Counters
from fulmarhold.routes.configuration import RouteConfiguration, UpstreamService
from fulmarhold.tests.forwarding.scripted import ForwardingFixture, ScriptedPool

COLD = UpstreamService("s", 80, warm_up=20_000.0, warm_up_rate=20.0)
# Of 20 requests a second, with the margins of the bound, that two entries share.
PART = 14
BORN = 1_700_000_000_000


class Owner:
    def call_finished(self, call):
        pass


class TablePool(ScriptedPool):
    def resize(self, limit, warm):
        pass

    def maintain(self):
        pass

    def take_bytes(self):
        return 0


class Shard:
    """The upstreams of a service at one entry, in contact with control."""

    def __init__(self, *names, service=COLD, active=("own", "other")):
        self.clock, self.counters = ManualClock(wall=BORN + 1_000.0), Counters()
        self.table = UpstreamTable("a", self.clock, self.counters, own="own")
        self.configuration = RouteConfiguration(1, (), {"s": service})
        self.active = active
        self.statements = [
            UpstreamStatement(name, BORN, 1, READY, "s", name, "a", 100) for name in names
        ]
        self.update()
        self.advance(VIEW_HOLD + 250.0)

    def update(self, **changes):
        self.statements = [replace(item, **changes) for item in self.statements]
        self.table.update(
            self.statements, self.configuration, 2, keep_warm=False, active=self.active
        )
        for replica in self.table.replicas:
            replica.pool = cast("Any", TablePool(replica.address))

    def advance(self, duration):
        for _ in range(int(duration / 50)):
            self.clock.advance(50.0)
            self.table.note_contact(0.0)

    def send(self):
        fixture = ForwardingFixture(attempts=1)
        fixture.context.clock = self.clock
        fixture.context.deadline_at = self.clock.now() + 400.0
        call = ServiceCall(
            "s", self.table.of_service("s"), fixture.budget, fixture.context, Owner()
        )
        call.start()
        return call

    def sent(self, count=50):
        """Return how many of some requests are sent; the others must be refused at once."""
        calls = [self.send() for _ in range(count)]
        assert all(call.was_sent != (call.refusal is not None) for call in calls)
        return sum(call.was_sent for call in calls)


@pytest.mark.parametrize(
    ("options", "expected"),
    [
        ({}, PART),
        ({"service": replace(COLD, warm_up_rate=0.0)}, 50),
        ({"service": replace(COLD, warm_up=0.0)}, 50),
        ({"active": ("other",)}, 0),
        ({"active": ()}, 0),
    ],
    ids=["bound", "no bound", "not cold", "standby", "unknown entries"],
)
def test_an_entry_sends_its_part_to_a_cold_upstream_and_refuses_the_rest_at_once(options, expected):
    assert Shard("u", **options).sent() == expected


def test_other_replicas_take_the_work():
    shard = Shard("u", "v")
    shard.table.of_service("s")[1].cold = None
    assert shard.sent() == 50


def test_an_upstream_is_used_without_a_bound_again_once_it_is_warm():
    shard = Shard("u")
    shard.table.maintain()
    assert shard.table.cold == 1
    shard.advance(COLD.warm_up)
    shard.table.maintain()
    assert shard.table.cold == 0 and shard.sent() == 50
    assert shard.counters.value("upstreams_cold") == 1


@pytest.mark.parametrize("source", ["heartbeat", "response"])
def test_an_upstream_that_says_that_it_is_cold_again_is_held_back(source):
    shard = Shard("u", service=replace(COLD, warm_up=0.0))
    if source == "heartbeat":
        shard.update(sequence=2, warm_up=9_000.0)
    else:
        shard.table.of_service("s")[0].note_cold(9_000.0, shard.clock.now())
    assert shard.sent() == PART
    # The same statement, used again with another change, says nothing new.
    shard.advance(8_950.0)
    shard.update()
    shard.advance(100.0)
    assert shard.sent() == 50


def test_without_contact_to_control_nothing_is_sent():
    shard = Shard("u")
    shard.clock.advance(1_500.0)
    assert shard.sent() == 0


def test_a_waiting_request_is_not_sent_once_the_part_is_used_up():
    shard = Shard("u")
    waiting = shard.send()._attempts[0]
    assert waiting.may_send()
    assert shard.sent(PART - 1) == PART - 1
    assert not waiting.may_send()
