"""Pattern: all upstreams of a shard are gone, and another upstream answers at the address of one.

No network: scripted connection pools complete the exchanges from greenlets.
"""

from __future__ import annotations

import gevent
import pytest

from fulmarhold.clock import ManualClock
from fulmarhold.forwarding.call import ServiceCall
from fulmarhold.forwarding.request import RefusedReason, Verdict
from fulmarhold.routing.replica import SUPERSEDED_FOR
from fulmarhold.tests.forwarding.scripted import ForwardingFixture, ScriptedPool, make_replica

REQUESTS = 30


class Owner:
    def call_finished(self, call):
        pass


class Shard:
    """Requests, one after the other, to the same replicas."""

    def __init__(self, *pools):
        self.clock = ManualClock()
        self.replicas = [make_replica(pool) for pool in pools]

    def send(self):
        fixture = ForwardingFixture()
        fixture.context.clock = self.clock
        fixture.context.deadline_at = self.clock.now() + 400.0
        call = ServiceCall("s", self.replicas, fixture.budget, fixture.context, Owner())
        call.start()
        with gevent.Timeout(5):
            while not call.is_done:
                gevent.sleep(0.001)
        return call


# Guards against requests that all go to an address which answers for another upstream, because no
# other replica is left: they count as extra load of that upstream's service (BUDGET).
@pytest.mark.parametrize("others", ["refused", None], ids=["others refuse", "no others"])
def test_an_address_with_another_owner_gets_no_further_request(others):
    moved = ScriptedPool("moved", verdict=Verdict.OTHER_OWNER, status=421)
    rest = [ScriptedPool(f"gone-{number}", verdict=others) for number in (0, 1) if others]
    shard = Shard(moved, *rest)
    calls = [shard.send() for _ in range(REQUESTS)]
    assert len(moved.sent) == 1
    assert all(call.refusal is not None and call.reply is None for call in calls)
    if not others:
        assert calls[-1].refusal is RefusedReason.NO_UPSTREAM


def test_an_upstream_is_tried_again_in_case_it_is_there_all_the_same():
    pool = ScriptedPool("back", verdict=Verdict.OTHER_OWNER, status=421)
    shard = Shard(pool)
    shard.send()
    pool.verdict, pool.status = Verdict.SUCCESS, 200
    assert shard.send().reply is None
    shard.clock.advance(SUPERSEDED_FOR)
    assert shard.send().reply is not None


def test_a_request_that_waits_for_a_connection_is_not_sent_to_another_owner():
    shard = Shard(ScriptedPool("moved"))
    fixture = ForwardingFixture()
    call = fixture.call("s", [ScriptedPool("a")], Owner())
    call.start()
    attempt = call._attempts[0]
    assert attempt.may_send()
    attempt.replica.note_superseded(fixture.clock.now())
    assert not attempt.may_send()
    assert shard.send().reply is not None
