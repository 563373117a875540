"""Hedges, retries and early returns of a scatter over simulated upstreams."""

from __future__ import annotations

from random import Random
from types import SimpleNamespace
from typing import Any

import gevent
import pytest

from fulmarhold.clock import Clock
from fulmarhold.conftest import small_questionnaire
from fulmarhold.gather.outcome import MissingReason
from fulmarhold.gather.scatter import RESPONSE_RESERVE, Policy, Scatter
from fulmarhold.gather.subrequest import AttemptKind
from fulmarhold.limits.budget import ExtraLoadBudget
from fulmarhold.observe.counters import Counters
from fulmarhold.observe.estimates import QuantileEstimate
from fulmarhold.questionnaire.derive import derive_configuration
from fulmarhold.routing.choice import choosers
from fulmarhold.routing.replica import Replica
from fulmarhold.routing.table import SnapshotReplicas
from fulmarhold.upstreams.pool import CONNECT_REFUSED
from fulmarhold.upstreams.protocol import (
    OUTCOME_HEADER,
    PART_HEADER,
    RequestTemplate,
    UpstreamResponse,
)

DEADLINE = 600.0
SLACK = 3_000.0


class FakePool:
    """Accepts requests and replies to them with `answer` after `delay` ms."""

    def __init__(self, answer="ok", delay=0.0):
        self.address = "127.0.0.1:1"
        self.load = 0
        self.sent: list[Any] = []
        self._answer = answer
        self._delay = delay

    def submit(self, request):
        if self._answer == "unreachable":
            gevent.spawn(request.failed, CONNECT_REFUSED, sent=False)
            return
        request.encode()
        self.sent.append(request)
        if self._answer is not None:
            gevent.spawn_later(self._delay / 1_000, self._respond, request)

    def try_send(self, request):
        return False

    def _respond(self, request):
        if self._answer == "lost":
            request.failed("closed", sent=True)
            return
        status, outcome = {
            "ok": (200, ""),
            "shed": (503, "not_run"),
            "gone": (409, "snapshot_gone"),
        }[self._answer]
        request.completed(
            UpstreamResponse(
                status, ((PART_HEADER, request.part), (OUTCOME_HEADER, outcome)), b"{}", True
            )
        )


def run(*shards, hedge_after=1_000.0, early=False, budget=20, chosen=None):
    """Scatter over shards, each a list of pools; returns the answer and the time it took."""
    replicas = {}
    for number, pools in enumerate(shards):
        record = SimpleNamespace(address=f"a{number}", incarnation=1, slots=4)
        upstream: Any = SimpleNamespace(record=record, is_live=lambda _: True)
        replicas[number] = tuple(Replica(upstream, pool, 100.0, 0.0) for pool in pools)
    service = derive_configuration(small_questionnaire()).services["lookup"]

    def choose(candidates, random, now):
        preferred = [item for item in candidates if item.pool is chosen]
        return (preferred or [choosers.find("least_expected")(candidates, random, now)])[0]

    extra = ExtraLoadBudget(0.0, 1)
    extra._tokens = budget
    policy = Policy(
        service,
        choose,
        True,
        early,
        extra,
        QuantileEstimate(0.95, hedge_after),
    )
    clock = Clock()
    started_at = clock.now()
    scatter = Scatter(
        "id",
        RequestTemplate("lookup", "search", b""),
        SnapshotReplicas("l", 1, len(shards), replicas),
        policy,
        started_at + DEADLINE,
        clock,
        Random(1),
        Counters(),
        lambda address, incarnation: None,
    )
    return scatter.run(), clock.now() - started_at


def missing_reasons(answer):
    return {shard: reason.value for shard, reason in answer.coverage.missing.items()}


@pytest.mark.parametrize("hedge_after", [1.0, 20.0, 10_000.0])
def test_the_answer_returns_by_the_deadline_for_any_hedge_delay(hedge_after):
    answer, elapsed = run([FakePool()], [FakePool(answer=None)], hedge_after=hedge_after)
    assert missing_reasons(answer) == {1: "deadline"}
    assert DEADLINE - RESPONSE_RESERVE - 1 <= elapsed < DEADLINE + SLACK


def run_hedged(second, **options):
    """Scatter over one shard with two replicas: one that never replies, and `second`."""
    first = FakePool(answer=None)
    answer, elapsed = run([first, second], hedge_after=10.0, chosen=first, **options)
    return answer, elapsed, len(first.sent), len(second.sent)


def test_a_late_part_is_hedged_once_on_another_replica():
    answer, elapsed, first, second = run_hedged(FakePool(delay=1.0))
    assert not answer.coverage.missing
    assert (first, second) == (1, 1)
    assert elapsed < DEADLINE / 2


def test_without_budget_there_is_no_hedge():
    answer, _, _, second = run_hedged(FakePool(), budget=0)
    assert (missing_reasons(answer), second) == ({0: "deadline"}, 0)


def test_a_busy_replica_gets_no_hedge():
    busy = FakePool()
    busy.load = 1
    answer, _, _, second = run_hedged(busy)
    assert (missing_reasons(answer), second) == ({0: "deadline"}, 0)


@pytest.mark.parametrize("failure", ["lost", "shed", "gone"])
def test_a_failed_part_is_retried_on_another_replica(failure):
    failing, working = FakePool(answer=failure), FakePool()
    working.load = 100
    answer, _ = run([failing, working])
    assert not answer.coverage.missing
    assert (len(failing.sent), len(working.sent)) == (1, 1)


def test_an_unreachable_replica_is_skipped_without_using_budget():
    failing, working = FakePool(answer="unreachable"), FakePool()
    working.load = 100
    answer, _ = run([failing, working], budget=0)
    assert not answer.coverage.missing
    assert working.sent[0].kind is AttemptKind.RETRY


def test_hedges_leave_half_of_the_budget_to_retries():
    budget = ExtraLoadBudget(0.0, 10)
    hedges = sum(budget.take_unreserved(1) for _ in range(100))
    retries = sum(budget.take(1) for _ in range(100))
    assert (hedges, retries) == (10, 10)


@pytest.mark.parametrize(
    ("pools", "budget", "reason"),
    [
        ([], 5, MissingReason.NO_LIVE_REPLICA),
        (["shed"], 5, MissingReason.SHED),
        (["lost"], 5, MissingReason.CONNECTION_LOST),
        (["gone", "gone"], 5, MissingReason.SNAPSHOT_GONE),
        (["shed", "ok"], 0, MissingReason.BUDGET_SPENT),
    ],
)
def test_a_missing_part_is_reported_with_its_reason(pools, budget, reason):
    replica_pools = [FakePool(answer=name) for name in pools]
    for position, pool in enumerate(replica_pools):
        pool.load = position * 100
    answer, elapsed = run([FakePool()], replica_pools, budget=budget)
    assert answer.coverage.missing == {1: reason}
    assert (answer.coverage.covered, answer.coverage.total) == (1, 2)
    assert elapsed < DEADLINE / 2


def test_a_latency_first_service_returns_early_with_sufficient_coverage():
    shards = [[FakePool()], [FakePool(answer=None)]]
    answer, elapsed = run(*shards, early=True, hedge_after=5.0)
    assert missing_reasons(answer) == {1: "late"}
    assert answer.sufficient
    assert elapsed < DEADLINE / 2


def test_a_latency_first_service_waits_for_sufficient_coverage():
    shards = [[FakePool()], [FakePool(answer=None)], [FakePool(answer=None)]]
    answer, elapsed = run(*shards, early=True, hedge_after=5.0)
    assert not answer.sufficient
    assert elapsed > DEADLINE / 2
