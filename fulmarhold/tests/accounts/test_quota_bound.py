"""Guards against a sequence of failures in which an account gets more than its quota."""

from __future__ import annotations

from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from fulmarhold.accounts.bucket import QuotaBound, QuotaLimit, divide
from fulmarhold.tests.accounts.model import Fleet

ENTRIES = 8
LIMITS = [
    QuotaLimit(20.0),
    QuotaLimit(20.0, 30.0),
    QuotaLimit(3.0, 2.0),
    QuotaLimit(0.3),
    QuotaLimit(60.0, 10.0),
]
number = st.integers(0, ENTRIES - 1)
steps = st.one_of(
    st.tuples(st.just("flood"), st.sets(number, min_size=1), st.integers(1, 120)),
    st.tuples(st.just("trickle"), st.sets(number, min_size=1), st.integers(1, 10)),
    st.tuples(st.just("wait"), st.sampled_from([10.0, 90.0, 400.0, 1_500.0, 4_000.0, 9_000.0])),
    st.tuples(st.just("restart"), st.sets(number, min_size=1, max_size=3)),
    st.tuples(st.just("suspend"), number, st.sampled_from([300.0, 2_000.0, 8_000.0])),
    st.tuples(st.just("cut"), number, st.booleans()),
    st.tuples(st.just("activate"), st.sets(number)),
    st.tuples(st.just("elect"), st.booleans()),
    st.tuples(st.just("limit"), st.sampled_from(LIMITS)),
    st.tuples(st.just("give back"), st.integers(1, 10)),
    st.tuples(st.just("delay"), st.sampled_from([5.0, 100.0, 380.0, 3_000.0])),
)


scenario = given(
    st.sampled_from(LIMITS), st.integers(1, ENTRIES), st.lists(steps, max_size=60), st.integers(0)
)


@settings(max_examples=120, deadline=None)
@scenario
def test_no_window_exceeds_the_bound(
    limit: QuotaLimit, active: int, actions: list[tuple[Any, ...]], seed: int
) -> None:
    fleet = Fleet(ENTRIES, active, {"a": limit}, seed)
    over_capacity = []
    fleet.check = lambda: over_capacity.append(fleet.most_tokens_over_capacity("a"))
    run(fleet, actions)
    assert max(over_capacity) <= 1e-6
    assert fleet.most_runs_over_bound() <= 0


@settings(max_examples=120, deadline=None)
@scenario
def test_the_reserves_of_all_entries_stay_below_their_sum(
    limit: QuotaLimit, active: int, actions: list[tuple[Any, ...]], seed: int
) -> None:
    fleet = Fleet(ENTRIES, active, {"a": limit}, seed)
    fleet.leader = None
    fleet.allowed = lambda item: divide(item, fleet.bound).reserve
    run(fleet, [item for item in actions if item[0] != "elect"])
    assert fleet.most_runs_over_bound() <= 0


def run(fleet: Fleet, actions: list[tuple[Any, ...]]) -> None:
    fleet.advance(8_000.0)
    for action in actions:
        apply(fleet, action)
    fleet.advance(100.0)


def apply(fleet: Fleet, action: tuple[Any, ...]) -> None:
    match action:
        case ("flood", chosen, count):
            for _ in range(count):
                for index in chosen:
                    fleet.request(fleet.entries[index], "a")
        case ("trickle", chosen, count):
            for _ in range(10 * count):
                fleet.advance(50.0)
                for index in chosen:
                    fleet.request(fleet.entries[index], "a")
        case ("wait", duration):
            fleet.advance(duration)
        case ("restart", chosen):
            for index in chosen:
                fleet.restart(fleet.entries[index])
        case ("suspend", index, duration):
            fleet.entries[index].suspended_until = fleet.now + duration
        case ("cut", index, is_cut):
            fleet.entries[index].is_cut = is_cut
        case ("activate", chosen):
            fleet.active = {fleet.entries[index].name for index in chosen}
        case ("elect", has_leader):
            fleet.leader = None
            if has_leader:
                fleet.elect()
        case ("limit", limit):
            fleet.change_limits({"a": limit})
        case ("give back", count):
            for _ in range(count):
                fleet.give_back_last()
        case ("delay", most):
            fleet.delay = lambda: fleet.random.uniform(0.3 * most, most)


@pytest.mark.parametrize("limit", [*LIMITS, QuotaLimit(1_000.0, 500.0)])
@pytest.mark.parametrize("bound", [QuotaBound(), QuotaBound(2_000.0, 0.0, 0.0)])
def test_parts_stay_below_the_bound(limit: QuotaLimit, bound: QuotaBound) -> None:
    parts = divide(limit, bound)
    used = parts.reserve + parts.capacity + parts.fill * bound.window
    assert used <= bound.most_in(limit, bound.window) + 1e-6
