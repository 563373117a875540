"""Budgets and admission."""

from __future__ import annotations

import gevent
import pytest
from hypothesis import given
from hypothesis import strategies as st

from fulmarhold.clock import Clock, ManualClock
from fulmarhold.gather.outcome import NotRunReason, Refused
from fulmarhold.limits.admission import QUERIES_AT_ONCE, Admission, ServiceGate
from fulmarhold.limits.budget import ExtraLoadBudget, SlackBudget

ALLOWED = 400.0


@given(st.lists(st.tuples(st.integers(0, 300), st.integers(0, 30)), max_size=60))
def test_extra_requests_never_exceed_the_share_and_what_the_budget_began_with(steps):
    budget = ExtraLoadBudget(0.05, 10)
    first = extra = 0
    for tries, wanted in steps:
        budget.earn(tries)
        first += tries
        extra += wanted if budget.take(wanted) else 0
        assert extra <= 0.05 * first + 20 + 1e-6


# Load pattern: all entries start again within one window and spend all that they may at once.
@given(
    slack=st.floats(10, 400),
    entries=st.integers(1, 80),
    steps=st.lists(st.tuples(st.floats(0, 0.2), st.integers(0, 40), st.booleans()), max_size=40),
)
def test_entries_that_share_a_slack_keep_its_bound_in_a_window_also_if_all_start_again_once(
    slack, entries, steps
):
    share = 0.2
    budgets = [SlackBudget(share, slack / entries) for _ in range(min(entries, 3))]
    scale = entries / len(budgets)
    for budget in budgets:
        budget.refill(10.0)
    spent = first = passed = 0.0
    restarted = set()
    for windows, tries, restarts in steps:
        passed += windows
        if passed > 1:
            break
        for number, budget in enumerate(budgets):
            budget.refill(windows)
            budget.earn(tries)
            first += scale * tries
            while budget.take(1):
                spent += scale
            if restarts and number not in restarted:
                restarted.add(number)
                budgets[number] = SlackBudget(share, slack / entries)
    assert spent <= share * first + slack + 1e-6


def test_a_started_entry_may_hedge_a_shard_that_is_slow_at_its_first_query():
    # Load pattern: fifteen entries start while some upstreams are slow; each shard has its own
    # budget, and one hedge is what it takes to learn which upstream to avoid.
    budget = SlackBudget(0.2, 170 / 15)
    budget.earn(1)
    assert budget.take_unreserved(1)


@pytest.fixture
def admission():
    return Admission(Clock())


@pytest.fixture
def gate(admission):
    return admission.configure("s", "background", 1)


def test_work_that_can_not_finish_is_refused_at_once(admission, gate):
    gate.note_complete(50.0, ALLOWED)
    with pytest.raises(Refused) as caught, admission.admitted(gate, Clock().now() + 5):
        pytest.fail("must not be admitted")
    assert caught.value.reason is NotRunReason.DEADLINE_TOO_SHORT


def test_a_query_waits_for_a_place_while_there_is_time(admission, gate):
    order = []

    def hold():
        with admission.admitted(gate, Clock().now() + 1_000):
            order.append("first")
            gevent.sleep(0.02)

    holder = gevent.spawn(hold)
    gevent.sleep(0)
    with admission.admitted(gate, Clock().now() + 1_000):
        order.append("second")
    holder.get()
    assert order == ["first", "second"]
    assert admission.running == 0


def test_without_a_place_in_time_it_is_refused_and_the_place_is_not_lost(admission, gate):
    with (
        admission.admitted(gate, Clock().now() + 1_000),
        pytest.raises(Refused) as caught,
        admission.admitted(gate, Clock().now() + 20),
    ):
        pytest.fail("must not be admitted")
    assert caught.value.reason is NotRunReason.OVERLOADED
    with admission.admitted(gate, Clock().now() + 500):
        assert admission.running == 1


def test_less_urgent_work_gives_way_first(admission):
    urgent = admission.configure("urgent", "urgent", QUERIES_AT_ONCE)
    background = admission.configure("background", "background", QUERIES_AT_ONCE)
    admission._running = QUERIES_AT_ONCE // 2
    with (
        pytest.raises(Refused, match="too many"),
        admission.admitted(background, Clock().now() + 1_000),
    ):
        pytest.fail("must not be admitted")
    with admission.admitted(urgent, Clock().now() + 1_000):
        pass


def test_the_bound_falls_once_a_round_and_grows_back_to_the_configured_limit():
    clock = ManualClock()
    gate = ServiceGate("urgent", 20, clock)
    gate.note_complete(100.0, ALLOWED)
    for _ in range(5):
        gate.note_partial()
    assert gate.limit == 14
    clock.advance(100)
    gate.note_partial()
    assert gate.limit == 9
    for _ in range(40):
        clock.advance(100)
        gate.note_partial()
    assert gate.limit == 1
    for _ in range(2_000):
        gate.note_complete(100.0, ALLOWED)
    assert gate.limit == 20


@pytest.mark.parametrize(
    ("usual", "duration", "running", "lowers"),
    [
        (50.0, 180.0, 4, True),
        (50.0, 180.0, 3, False),
        (50.0, 150.0, 4, False),
        (300.0, 320.0, 4, False),
        (300.0, 390.0, 4, True),
    ],
)
def test_whole_answers_that_queued_lower_the_bound_before_any_part_is_late(
    usual, duration, running, lowers
):
    gate = ServiceGate("urgent", 4, ManualClock())
    for _ in range(50):
        gate.note_complete(usual, ALLOWED)
    for _ in range(running):
        gate.enter(0.0)
    gate.note_complete(duration, ALLOWED)
    assert (gate.limit < 4) is lowers


def wait_in(gate, order, name):
    gate.enter(Clock().now() + 5_000)
    order.append(name)


@pytest.mark.parametrize(
    ("limit", "waiting", "expected"),
    [(3, 3, ["1", "2", "3"]), (1, 4, ["4", "3", "2", "1"])],
)
def test_the_newest_comes_first_once_more_wait_than_run(limit, waiting, expected):
    gate = ServiceGate("urgent", limit, Clock())
    order: list[str] = []
    for _ in range(limit):
        gate.enter(0.0)
    tasks = [gevent.spawn(wait_in, gate, order, str(number)) for number in range(1, waiting + 1)]
    gevent.sleep(0)
    for _ in range(waiting):
        gate.leave()
        gevent.sleep(0)
    gevent.joinall(tasks, raise_error=True)
    assert order == expected


def test_a_bound_that_has_grown_lets_in_all_that_fit():
    gate = ServiceGate("urgent", 1, Clock())
    order: list[int] = []
    gate.enter(0.0)
    tasks = [gevent.spawn(wait_in, gate, order, number) for number in range(3)]
    gevent.sleep(0)
    gate.configure("urgent", 4)
    gate.leave()
    gevent.joinall(tasks, raise_error=True)
    assert len(order) == 3


def test_a_query_waits_no_longer_than_leaves_nearly_every_answer_enough_time(admission):
    gate = admission.configure("s", "urgent", 4)
    for number in range(400):
        gate.note_complete(80.0 if number % 5 == 0 else 10.0, ALLOWED)
    assert gate.needed < 40.0
    assert 70.0 < gate.needed_at_most < 100.0
    for _ in range(gate.limit):
        gate.enter(0.0)
    with pytest.raises(Refused, match="run already"), admission.admitted(gate, Clock().now() + 60):
        pytest.fail("must not wait for what leaves it only the average time")


def test_one_answer_that_took_longer_than_the_deadline_does_not_shut_the_gate_for_ever():
    clock = ManualClock()
    admission = Admission(clock)
    gate = admission.configure("s", "urgent", 4)
    gate.note_complete(1.5 * ALLOWED, ALLOWED)
    admitted_at = []
    for _ in range(100):
        clock.advance(100.0)
        try:
            with admission.admitted(gate, clock.now() + ALLOWED):
                admitted_at.append(clock.now())
        except Refused as refusal:
            assert refusal.reason is NotRunReason.DEADLINE_TOO_SHORT
    assert admitted_at
