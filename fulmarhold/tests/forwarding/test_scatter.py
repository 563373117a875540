"""Queries over all shards whose upstreams pause, fail, shed load or are gone.

No network: scripted connection pools complete the exchanges from greenlets.
"""

from __future__ import annotations

from random import Random

import gevent
import pytest

from fulmarhold.clock import Clock
from fulmarhold.forwarding.call import CallContext, ServiceCall
from fulmarhold.forwarding.request import (
    Failed,
    FailedReason,
    ForwardRequest,
    Gathered,
    Refused,
    RefusedReason,
    Relayed,
    Reply,
    Verdict,
)
from fulmarhold.forwarding.scatter import ShardQuery
from fulmarhold.forwarding.shard_timing import partial_answer_at
from fulmarhold.forwarding.single import SingleForward
from fulmarhold.forwarding.upstreams import EJECTION_TIME, ServingUpstream
from fulmarhold.limits.budget import SlackBudget
from fulmarhold.membership.statements import READY, UpstreamStatement
from fulmarhold.observe.counters import Counters
from fulmarhold.observe.estimates import QuantileEstimate
from fulmarhold.observe.events import EventLog
from fulmarhold.routes.configuration import Route
from fulmarhold.routing.choice import choosers
from fulmarhold.routing.replica import FAILURE_HALF_LIFE, UNRESPONSIVE_AFTER, Replica

FAST_MS = 4.0
PAUSE_MS = 150.0


class ScriptedPool:
    """Completes each exchange after a delay with a given verdict, or never."""

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


class ScriptedCodec:
    def prepare(self, request):
        return b"", b""

    def encode(self, prepared, upstream, left):
        return b""

    def read(self, response, request_id):
        body = response.address.encode().ljust(16, b"0")
        return Reply(response.verdict, response.status, (), body, f"stamp-{response.address}")


def make_replica(pool):
    statement = UpstreamStatement(pool.address, 1, 1, READY, "s", pool.address, "a", 2)
    replica = Replica(ServingUpstream(statement), pool, EJECTION_TIME, 0.0, 0.0)
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
            QuantileEstimate(0.93, 20.0),
            self.clock,
            Random(1),
            self.counters,
            EventLog("test", self.clock, self.counters),
            useful_until=now + 88.0,
        )
        self.budget = budget or SlackBudget(0.2, 200.0)
        self.budget.earn(1_000)

    def call(self, service, pools, owner):
        replicas = [make_replica(pool) for pool in pools]
        return ServiceCall(service, replicas, self.budget, self.context, owner)

    def scatter(self, shards, *, target=100.0, share=0.75, top=3):
        names = tuple(shards)
        self.context.useful_until = partial_answer_at(
            self.request.received_at, target, 0.0, is_first=False
        )
        route = Route("r", "h", "/", True, 400.0, target, 1, 2, (), names, top, share)
        return ShardQuery(
            self.context, route, lambda name, owner: self.call(name, shards[name], owner),
            20.0, lambda: 50.0,
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


def test_all_parts_make_a_whole_answer_with_the_greatest_records():
    outcome = ForwardingFixture().scatter(shards(4)).run()
    assert isinstance(outcome, Gathered)
    assert (len(outcome.signatures), outcome.missing) == (4, 0)
    assert outcome.records == b"".join(f"{n}-0".encode().ljust(16, b"0") for n in (3, 2, 1))


def test_a_pausing_upstream_is_hedged_soon_after_the_other_parts_are_in():
    pausing = [ScriptedPool("2-0", PAUSE_MS), ScriptedPool("2-1")]
    fixture = ForwardingFixture()
    outcome = fixture.scatter(shards(4, s2=pausing)).run()
    assert outcome.missing == 0
    assert len(pausing[1].sent) == 1
    assert elapsed_ms(fixture) < PAUSE_MS / 2


def test_a_partial_answer_is_sent_in_time_for_the_target():
    silent = [ScriptedPool("2-0", None), ScriptedPool("2-1", None)]
    fixture = ForwardingFixture()
    outcome = fixture.scatter(shards(4, s2=silent), target=60.0).run()
    assert (len(outcome.signatures), outcome.missing) == (3, 1)
    assert elapsed_ms(fixture) <= 60.0


def test_a_query_below_the_required_share_waits_past_the_target():
    late = {f"s{n}": [ScriptedPool(f"{n}-0", 90.0), ScriptedPool(f"{n}-1", 90.0)] for n in (1, 2)}
    outcome = ForwardingFixture().scatter(shards(4, **late), target=40.0).run()
    assert isinstance(outcome, Gathered) and len(outcome.signatures) >= 3


def test_a_shard_without_upstreams_counts_as_missing():
    outcome = ForwardingFixture().scatter(shards(4, s1=[])).run()
    assert (len(outcome.signatures), outcome.missing) == (3, 1)


def test_too_few_parts_fail_at_once_and_not_at_the_deadline():
    gone = {f"s{n}": [ScriptedPool(f"{n}-0", verdict="lost")] for n in (0, 1)}
    fixture = ForwardingFixture()
    outcome = fixture.scatter(shards(4, **gone)).run()
    assert isinstance(outcome, Failed) and outcome.reason is FailedReason.PARTS_MISSING
    assert elapsed_ms(fixture) < 100.0


def test_a_query_without_any_upstream_is_refused_as_not_run():
    outcome = ForwardingFixture().scatter({"s0": [], "s1": []}).run()
    assert outcome == Refused(RefusedReason.NO_UPSTREAM, 50.0)


def test_a_shard_whose_upstreams_are_all_unresponsive_is_not_waited_for():
    dark = [ScriptedPool("2-0", None), ScriptedPool("2-1", None)]
    fixture = ForwardingFixture()
    query = fixture.scatter(shards(4, s2=dark), target=200.0)
    long_ago = fixture.clock.now() - 2 * UNRESPONSIVE_AFTER
    for replica in query.calls[2].replicas:
        replica.note_sent(long_ago)
    outcome = query.run()
    assert (len(outcome.signatures), outcome.missing) == (3, 1)
    assert elapsed_ms(fixture) < 100.0
    assert len(dark[0].sent) + len(dark[1].sent) == 1


def test_a_failure_after_the_answer_is_not_retried():
    pools = [ScriptedPool("2-0", 80.0, "lost"), ScriptedPool("2-1", None)]
    fixture = ForwardingFixture(attempts=3)
    fixture.scatter(shards(4, s2=pools), target=40.0).run()
    sent = len(pools[0].sent) + len(pools[1].sent)
    gevent.sleep(0.1)
    assert len(pools[0].sent) + len(pools[1].sent) == sent


def test_an_upstream_that_sheds_load_is_chosen_less_and_tried_again_later():
    shedding, healthy = make_replica(ScriptedPool("0")), make_replica(ScriptedPool("1"))
    healthy.latency.value = 3 * FAST_MS
    for _ in range(4):
        shedding.note_failure(0.0)
        shedding.note_success(FAST_MS, 0.0)
    assert shedding.expected_latency(0.0) > healthy.expected_latency(0.0)
    later = 5 * FAILURE_HALF_LIFE
    healthy.note_success(3 * FAST_MS, later)
    assert shedding.expected_latency(later) < healthy.expected_latency(later)


def test_the_work_at_every_shard_ends_when_the_caller_disconnects():
    made = shards(3, **{f"s{n}": [ScriptedPool(f"{n}-0", None)] for n in range(3)})
    query = ForwardingFixture().scatter(made)
    gevent.spawn_later(0.01, query.caller_gone)
    assert query.run() == Failed(FailedReason.CALLER_GONE)
    assert all(pools[0].withdrawn for pools in made.values())


@pytest.mark.parametrize("verdict", [Verdict.NOT_RUN, Verdict.OTHER_OWNER])
def test_a_request_that_was_not_run_is_retried_even_when_not_idempotent(verdict):
    pools = [ScriptedPool("0", verdict=verdict, status=503), ScriptedPool("1", 8.0)]
    outcome = ForwardingFixture(idempotent=False).single(pools).run()
    assert isinstance(outcome, Relayed) and outcome.reply.signature == "stamp-1"


@pytest.mark.parametrize("verdict", ["lost", Verdict.FAILURE, Verdict.WRONG_ECHO])
def test_a_request_that_may_have_run_is_never_retried_when_not_idempotent(verdict):
    pools = [ScriptedPool("0", verdict=verdict, status=500), ScriptedPool("1", 8.0)]
    outcome = ForwardingFixture(idempotent=False).single(pools, hedge_after=1.0).run()
    assert not pools[1].sent
    assert not isinstance(outcome, Refused)


def test_a_lost_idempotent_request_is_retried_up_to_the_maximum_attempts():
    pools = [ScriptedPool(str(n), verdict="lost") for n in range(3)]
    outcome = ForwardingFixture(attempts=2).single(pools).run()
    assert outcome == Failed(FailedReason.CONNECTION_LOST)
    assert sum(len(pool.sent) for pool in pools) == 2


def test_nothing_is_retried_without_budget():
    budget = SlackBudget(0.0, 2.0)
    pools = [ScriptedPool(str(n), verdict="lost") for n in range(2)]
    outcome = ForwardingFixture(budget=budget).single(pools).run()
    assert outcome == Failed(FailedReason.CONNECTION_LOST)
    assert sum(len(pool.sent) for pool in pools) == 1


def test_refused_connections_cost_no_attempt_and_end_as_not_run():
    pools = [ScriptedPool("0", verdict="refused"), ScriptedPool("1", verdict="refused")]
    assert ForwardingFixture(idempotent=False).single(pools).run() == Refused(
        RefusedReason.UNREACHABLE, 50.0
    )


def test_no_answer_by_the_deadline_is_a_timeout_not_a_refusal():
    fixture = ForwardingFixture(deadline=60.0)
    outcome = fixture.single([ScriptedPool("0", None)]).run()
    assert outcome == Failed(FailedReason.DEADLINE)
    assert elapsed_ms(fixture) < 120.0


def congest(replica, now):
    for moment in range(8):
        replica.concurrency.note_reply(400.0, 80.0, 1, now + 1_000.0 * moment)


def test_a_shard_that_cannot_reply_in_time_is_left_out_at_once():
    # Load pattern: a shard has one upstream left, and every query would wait for it in vain.
    fixture = ForwardingFixture()
    query = fixture.scatter(shards(4, s2=[ScriptedPool("2-0", 400.0)]))
    for replica in query.calls[2].replicas:
        congest(replica, fixture.clock.now())
    outcome = query.run()
    assert (len(outcome.signatures), outcome.missing) == (3, 1)
    assert elapsed_ms(fixture) < 40.0
    assert fixture.counters.value("shards_left_out", reason="overloaded") == 1


def test_no_more_shards_are_left_out_than_may_be_missing():
    fixture = ForwardingFixture()
    query = fixture.scatter(shards(4))
    for call in query.calls[1:]:
        for replica in call.replicas:
            congest(replica, fixture.clock.now())
    outcome = query.run()
    assert (len(outcome.signatures), outcome.missing) == (3, 1)


def test_a_shard_that_was_left_out_is_called_when_another_fails():
    fixture = ForwardingFixture(attempts=1)
    query = fixture.scatter(shards(4, s1=[ScriptedPool("1-0", verdict="lost")]))
    for replica in query.calls[2].replicas:
        congest(replica, fixture.clock.now())
    outcome = query.run()
    assert (len(outcome.signatures), outcome.missing) == (3, 1)
    assert query.calls[2].reply is not None


@pytest.mark.parametrize("failed", [[], [ScriptedPool("0-0", verdict="refused")]])
def test_a_shard_that_was_left_out_is_called_once_when_another_fails_at_once(failed):
    # Load pattern: a crashed shard refuses connections while another is congested. The first call
    # fails while calls are still being started, and a second request would be outside the budget.
    fixture = ForwardingFixture(attempts=1)
    congested = [ScriptedPool("2-0"), ScriptedPool("2-1")]
    query = fixture.scatter(shards(4, s0=failed, s2=congested))
    for replica in query.calls[2].replicas:
        congest(replica, fixture.clock.now())
    outcome = query.run()
    assert (len(outcome.signatures), outcome.missing) == (3, 1)
    assert sum(len(pool.sent) for pool in congested) == 1
