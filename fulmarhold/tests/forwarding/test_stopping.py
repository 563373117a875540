"""Requests that are open or arrive while the entry stops; scripted pools, no network."""

from __future__ import annotations

import gevent
import pytest
from hypothesis import given
from hypothesis import strategies as st

from fulmarhold.forwarding.request import (
    Failed,
    FailedReason,
    Gathered,
    Refused,
    RefusedReason,
    Verdict,
)
from fulmarhold.forwarding.stopping import StopSchedule, expected_duration
from fulmarhold.observe.estimates import RecentLatencies
from fulmarhold.tests.forwarding.scripted import ForwardingFixture, ScriptedPool, shards

MOMENTS = st.floats(0.0, 100_000.0)


class WaitingPool(ScriptedPool):
    """Has no connection, so that requests wait without being sent."""

    def submit(self, exchange):
        self.sent.append(exchange)


def end_while_open(operation):
    """Run an operation, end it once it waits, and return its outcome."""
    running = gevent.spawn(operation.run)
    gevent.sleep(0.02)
    assert not running.ready()
    operation.end()
    return running.get(timeout=1)


@given(MOMENTS, st.floats(0.0, 60_000.0), st.floats(0.0, 20_000.0))
def test_a_stop_accepts_answers_and_exits_in_this_order_within_its_grace(now, grace, lifetime):
    schedule = StopSchedule.plan(now, grace, lifetime)
    assert now <= schedule.accepts_until <= schedule.answers_by <= schedule.exits_by
    assert schedule.exits_by <= now + grace
    assert schedule.accepts_until <= now + lifetime


# Guards against requests that are accepted although the entry exits before they can end.
@given(MOMENTS, MOMENTS, st.floats(0.0, 5_000.0))
def test_what_is_accepted_has_its_deadline_or_its_expected_time_before_the_exit(
    now, allowed, expected
):
    schedule = StopSchedule.plan(0.0, 6_000.0, 3_600.0)
    deadline_at = now + allowed
    ends_at = min(deadline_at, now + expected)
    if schedule.can_complete(now, deadline_at, expected):
        assert ends_at <= schedule.answers_by
    else:
        assert ends_at > schedule.answers_by - 500.0


def recent(*latencies):
    made = RecentLatencies()
    for latency in latencies:
        made.note(latency)
    return made


# Guards against requests that are accepted although every reply so far took longer than the time
# that is left, and against an unknown outcome of what may not be repeated.
@pytest.mark.parametrize("is_idempotent", [True, False])
def test_what_is_accepted_can_be_expected_to_end_by_the_few_replies_of_its_route(is_idempotent):
    schedule = StopSchedule.plan(0.0, 6_000.0, 3_600.0)
    expected = expected_duration(recent(*[2_500.0] * 20), is_idempotent=is_idempotent)
    now, deadline_at = 3_000.0, 15_000.0
    assert now + 2_500.0 > schedule.answers_by
    assert not schedule.can_complete(now, deadline_at, expected)


def test_one_slow_reply_counts_for_what_may_not_be_repeated_only():
    durations = recent(*[100.0] * 30, 2_500.0)
    assert expected_duration(durations, is_idempotent=True) == 100.0
    assert expected_duration(durations, is_idempotent=False) == 2_500.0


# Guards against a stop that refuses what has ample time, so that callers go from one stopping entry
# to another.
def test_a_request_that_took_a_second_at_most_is_accepted_until_the_address_expires():
    schedule = StopSchedule.plan(0.0, 6_000.0, 3_600.0)
    expected = expected_duration(recent(300.0, 1_000.0, 600.0), is_idempotent=False)
    assert schedule.can_complete(schedule.accepts_until, 15_000.0, expected)


@pytest.mark.parametrize("idempotent", [True, False])
def test_a_request_that_was_sent_ends_as_unknown_and_its_work_is_cancelled(idempotent):
    fixture, pool = ForwardingFixture(idempotent=idempotent), ScriptedPool("0", delay=None)
    outcome = end_while_open(fixture.single([pool]))
    assert outcome == Failed(FailedReason.STOPPING)
    assert pool.withdrawn == pool.sent


# Guards against a refusal that isn't true, and against one that isn't given where it would be.
@pytest.mark.parametrize("idempotent", [True, False])
def test_a_request_that_waits_for_a_connection_is_refused_and_never_sent(idempotent):
    fixture, pool = ForwardingFixture(idempotent=idempotent), WaitingPool("0")
    outcome = end_while_open(fixture.single([pool]))
    assert isinstance(outcome, Refused) and outcome.reason is RefusedReason.STOPPING
    assert pool.withdrawn == pool.sent and not pool.sent[0].may_send()


def test_a_request_that_one_upstream_rejected_and_no_other_got_is_refused():
    fixture, waiting = ForwardingFixture(idempotent=False), WaitingPool("1")
    rejecting = ScriptedPool("0", verdict=Verdict.NOT_RUN, status=503)
    waiting.load = 1
    outcome = end_while_open(fixture.single([rejecting, waiting]))
    assert isinstance(outcome, Refused) and outcome.reason is RefusedReason.STOPPING


def test_a_query_ends_with_the_parts_that_it_has_if_they_are_enough():
    pools = {"s0": [ScriptedPool("0", delay=None)], "s1": [ScriptedPool("1", delay=None)]}
    fixture = ForwardingFixture(deadline=4_000.0)
    outcome = end_while_open(fixture.scatter(shards(8, **pools), target=3_000.0))
    assert isinstance(outcome, Gathered) and outcome.missing == 2


def test_a_query_without_enough_parts_ends_as_unknown():
    silent = {f"s{number}": [ScriptedPool(f"{number}", delay=None)] for number in range(4)}
    fixture = ForwardingFixture(deadline=4_000.0)
    outcome = end_while_open(fixture.scatter(shards(8, **silent), target=3_000.0))
    assert outcome == Failed(FailedReason.STOPPING, "4 of 6 parts")
    assert all(pool.withdrawn == pool.sent for [pool] in silent.values())
