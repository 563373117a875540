"""Queries over all shards whose upstreams pause, fail, shed load or are gone.

No network: scripted connection pools complete the exchanges from greenlets.
"""

from __future__ import annotations

import gevent
import pytest

from fulmarhold.forwarding.request import (
    Failed,
    FailedReason,
    Gathered,
    Refused,
    RefusedReason,
    Relayed,
    Verdict,
)
from fulmarhold.limits.budget import SlackBudget
from fulmarhold.routing.replica import FAILURE_HALF_LIFE, UNRESPONSIVE_AFTER
from fulmarhold.tests.forwarding.scripted import (
    FAST_MS,
    PAUSE_MS,
    ForwardingFixture,
    ScriptedPool,
    elapsed_ms,
    make_replica,
    shards,
)


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
