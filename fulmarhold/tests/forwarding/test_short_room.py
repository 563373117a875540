"""Requests of accounts where upstreams are congested: whose are refused at once, and until when."""

from __future__ import annotations

from random import Random
from types import SimpleNamespace
from typing import Any

import pytest

from fulmarhold.clock import Clock
from fulmarhold.forwarding.request import Gathered, Refused, RefusedReason, Relayed
from fulmarhold.limits.memory import ADMITTED_SHARE, Holder, MemoryBudget
from fulmarhold.limits.retry_after import ReturnSchedule
from fulmarhold.limits.sharing import FairShares
from fulmarhold.observe.counters import Counters
from fulmarhold.tests.forwarding.scripted import ForwardingFixture, ScriptedPool
from fulmarhold.upstreams.pool import MAX_QUEUE_LENGTH, ConnectionPool

# Replies so late that the limit of an upstream is lowered to one request at a time.
LATE_MS, USEFUL_MS, LATE_ROUNDS = 400.0, 100.0, 12


def known_shares(now, excess=1_000):
    """Return shares of two accounts with the same usual demand, and the last flow of each.

    `flood` has sent `excess` requests more than usual just now.
    """
    shares = FairShares()
    shares.use([("usual", 5.0), ("flood", 5.0)])
    flows: dict[str, Any] = {}
    for number in range(10):
        for account in ("usual", "flood"):
            flows[account] = shares.flow(account, 1, now - 2_000.0 + 200.0 * number)
    for _ in range(excess):
        flows["flood"] = shares.flow("flood", 1, now)
    return flows


class Congested(ForwardingFixture):
    def __init__(self, account, *, is_urgent=True, is_congested=True):
        super().__init__()
        self.now = self.clock.now()
        self.is_congested = is_congested
        self.context.flow = known_shares(self.now)[account] if account else None
        self.context.is_urgent = is_urgent

    def call(self, service, pools, owner):
        call = super().call(service, pools, owner)
        for replica in call.replicas if self.is_congested else ():
            for number in range(LATE_ROUNDS):
                sent_at = self.now - 1e4 + 500.0 * number
                replica.concurrency.note_reply(LATE_MS, USEFUL_MS, 2, sent_at)
            # One request is open, which is what the lowered limit leaves.
            replica.pool.load = 1
        return call


# Guards against one account whose excess is served at the cost of others, and against refusals
# that no shortage asks for.
@pytest.mark.parametrize(
    ("account", "options", "reason"),
    [
        ("flood", {}, RefusedReason.ACCOUNT_EXCESS),
        ("flood", {"is_congested": False}, None),
        ("usual", {}, None),
        ("usual", {"is_urgent": False}, RefusedReason.OVERLOADED),
        ("usual", {"is_urgent": False, "is_congested": False}, None),
        ("", {}, None),
        ("", {"is_urgent": False}, None),
    ],
)
@pytest.mark.parametrize("kind", ["single", "shards"])
def test_excess_and_less_urgent_work_is_refused_at_once_where_room_is_short(
    account, options, reason, kind
):
    fixture = Congested(account, **options)
    pools = [ScriptedPool("0"), ScriptedPool("1")]
    if kind == "single":
        outcome = fixture.single(pools).run()
    else:
        outcome = fixture.scatter({"s0": pools[:1], "s1": pools[1:]}, share=1.0).run()
    if reason is None:
        assert isinstance(outcome, Relayed | Gathered)
    else:
        assert isinstance(outcome, Refused) and outcome.reason is reason
        assert not pools[0].sent and not pools[1].sent, "not run"


def test_memory_is_refused_first_to_the_account_that_asks_for_more_than_usual():
    clock = Clock()
    memory = MemoryBudget(1_000_000, clock, Counters())
    flows = known_shares(clock.now())
    held = memory.open_fixed(Holder.ANSWER)
    admitted = {}
    for share in (0.4, 0.8, 1.1):
        held.grow(int(share * ADMITTED_SHARE * memory.limit) - held.size)
        admitted[share] = [
            memory.may_admit((), is_urgent=False, flow=flow)
            for flow in (flows["usual"], flows["flood"], None)
        ]
    assert admitted == {0.4: [True] * 3, 0.8: [True, False, True], 1.1: [False] * 3}


# Guards against requests that wait for a reply that can't come in time.
def test_work_that_cant_end_in_time_is_refused_at_once():
    fixture = Congested("usual")
    pools = [ScriptedPool("0"), ScriptedPool("1")]
    forward = fixture.single(pools)
    for replica in forward._call.replicas:
        replica.latency.value = 2 * (fixture.context.deadline_at - fixture.now)
        replica._has_own_estimate = True
    outcome = forward.run()
    assert isinstance(outcome, Refused) and outcome.reason is RefusedReason.NO_TIME
    assert not pools[0].sent and not pools[1].sent, "not run"


class Waiting(SimpleNamespace):
    failure = None

    def failed(self, reason, *, sent):
        self.failure = reason, sent


# Guards against an upstream whose places are all taken by requests of one account that wait.
def test_a_full_queue_gives_the_place_of_a_flood_to_another_account():
    clock = Clock()
    flows = known_shares(clock.now())
    pool = ConnectionPool("127.0.0.1:9", 0, 0, clock, Counters())
    flood = [Waiting(flow=flows["flood"]) for _ in range(MAX_QUEUE_LENGTH + 1)]
    for request in flood:
        pool.submit(request)  # type: ignore[arg-type]
    other = Waiting(flow=flows["usual"])
    pool.submit(other)  # type: ignore[arg-type]
    assert other.failure is None and pool.load == MAX_QUEUE_LENGTH
    failed = [number for number, item in enumerate(flood) if item.failure]
    assert failed == [MAX_QUEUE_LENGTH - 1, MAX_QUEUE_LENGTH]
    assert flood[-1].failure == ("queue full", False)


# Guards against callers that return in one burst, or later than they wait.
def test_refused_callers_return_as_fast_as_work_drains_and_within_a_third_of_their_time():
    schedule, random = ReturnSchedule(), Random(1)
    lefts = [3_000.0, 900.0, 300.0] * 60
    delays = [schedule.assign(0.0, left, 200.0, random) for left in lefts]
    assert all(0 < delay <= left / 3 for delay, left in zip(delays, lefts, strict=True))
    patient = [delay for delay, left in zip(delays, lefts, strict=True) if left == 3_000.0]
    in_any_100_ms = max(sum(at <= other < at + 100.0 for other in patient) for at in patient)
    assert in_any_100_ms <= 25
