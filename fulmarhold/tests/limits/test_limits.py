"""Tests of budgets for extra load and of admission control."""

from __future__ import annotations

import gevent
import pytest
from hypothesis import example, given, settings
from hypothesis import strategies as st

from fulmarhold.clock import Clock, ManualClock
from fulmarhold.gather.outcome import NotRunReason, Refused
from fulmarhold.limits.admission import MAX_CONCURRENT_QUERIES, Admission, ServiceGate
from fulmarhold.limits.budget import ExtraLoadBudget, SlackBudget
from fulmarhold.membership.settling import SETTLING_TIME, Settling

ALLOWED = 400.0


@given(st.lists(st.tuples(st.integers(0, 300), st.integers(0, 30)), max_size=60))
def test_extra_requests_never_exceed_the_share_of_first_tries_plus_the_initial_tokens(steps):
    budget = ExtraLoadBudget(0.05, 10)
    first = extra = 0
    for tries, wanted in steps:
        budget.earn(tries)
        first += tries
        extra += wanted if budget.take(wanted) else 0
        assert extra <= 0.05 * first + 20 + 1e-6


# Load pattern: all entries restart within one window and spend as much as possible at once.
@given(
    slack=st.floats(10, 400),
    entries=st.integers(1, 80),
    steps=st.lists(st.tuples(st.floats(0, 0.2), st.integers(0, 40), st.booleans()), max_size=40),
)
def test_entries_that_share_a_slack_stay_within_it_when_all_restart_in_one_window(
    slack, entries, steps
):
    share = 0.2
    budgets = [SlackBudget(share, slack / entries) for _ in range(min(entries, 3))]
    scale = entries / len(budgets)
    for budget in budgets:
        budget.refill(10.0)
    spent = first = elapsed = 0.0
    restarted = set()
    for windows, tries, restarts in steps:
        elapsed += windows
        if elapsed > 1:
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


# Load pattern: all upstreams of a shard are down, every query wants an extra attempt, and attempts
# wait for a connection or for a congested link for up to a second.
@given(
    slack=st.floats(10, 400),
    entries=st.integers(1, 200),
    tries=st.lists(st.integers(0, 60), min_size=20, max_size=20),
)
def test_extra_requests_that_arrive_a_tenth_of_a_window_late_stay_within_the_bound(
    slack, entries, tries
):
    share = 0.2
    budget = SlackBudget(share, slack / entries)
    budget.refill(10.0)
    # One window of twenty steps, at a steady rate as the bound takes the busiest nearby window.
    rate = max(tries)
    spent = 0.0
    for _ in range(22):
        budget.refill(1 / 20)
        for _ in range(rate):
            budget.earn(1)
            while budget.take(1):
                spent += entries
    assert spent <= share * rate * entries * 20 + slack + 1e-6


# Load pattern: the processes of all entries are killed at once, and each entry learns of the others
# one after the other while every query wants an extra attempt.
@settings(deadline=None)
@given(slack=st.floats(10, 400), entries=st.integers(1, 160), gap=st.floats(1.0, SETTLING_TIME))
@example(slack=400.0, entries=160, gap=5.0)
def test_entries_that_learn_of_each_other_one_by_one_stay_within_the_slack(slack, entries, gap):
    share = 0.2
    spent = 0
    for known in range(1, entries + 1):
        budget, settling = SlackBudget(share, 0.0), Settling(0.0)
        for count in range(known, entries + 1):
            now = (count - known) * gap
            settling.update({f"{count} entries"}, now)
            settling.check(now)
            if settling.has_settled:
                budget.resize(slack / count)
            if count == known:
                budget.earn(1)
            while budget.take(1):
                spent += 1
    assert spent <= share * entries + slack


def test_new_entry_can_hedge_its_first_query():
    # Load pattern: fifteen entries start while some upstreams are slow. Each shard has its own
    # budget, and the entry needs one hedge to learn which upstream to avoid.
    budget = SlackBudget(0.2, 170 / 15)
    budget.earn(1)
    assert budget.take_unreserved(1)


@pytest.fixture
def admission():
    return Admission(Clock())


@pytest.fixture
def gate(admission):
    return admission.configure("s", "background", 1)


def test_query_that_can_not_finish_in_time_is_refused_at_once(admission, gate):
    gate.note_complete(50.0, ALLOWED)
    with pytest.raises(Refused) as caught, admission.admitted(gate, Clock().now() + 5):
        pytest.fail("must not be admitted")
    assert caught.value.reason is NotRunReason.DEADLINE_TOO_SHORT


def test_query_waits_for_a_slot_while_there_is_time(admission, gate):
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


def test_query_without_a_slot_in_time_is_refused_and_leaks_no_slot(admission, gate):
    with (
        admission.admitted(gate, Clock().now() + 1_000),
        pytest.raises(Refused) as caught,
        admission.admitted(gate, Clock().now() + 20),
    ):
        pytest.fail("must not be admitted")
    assert caught.value.reason is NotRunReason.OVERLOADED
    with admission.admitted(gate, Clock().now() + 500):
        assert admission.running == 1


def test_less_urgent_queries_are_refused_first(admission):
    urgent = admission.configure("urgent", "urgent", MAX_CONCURRENT_QUERIES)
    background = admission.configure("background", "background", MAX_CONCURRENT_QUERIES)
    admission._running = MAX_CONCURRENT_QUERIES // 2
    with (
        pytest.raises(Refused, match="too many"),
        admission.admitted(background, Clock().now() + 1_000),
    ):
        pytest.fail("must not be admitted")
    with admission.admitted(urgent, Clock().now() + 1_000):
        pass


def test_limit_decreases_once_per_query_duration_and_grows_back_to_the_configured_limit():
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
def test_complete_answers_that_queued_lower_the_limit_before_any_part_is_late(
    usual, duration, running, lowers
):
    gate = ServiceGate("urgent", 4, ManualClock())
    for _ in range(50):
        gate.note_complete(usual, ALLOWED)
    for _ in range(running):
        gate.acquire(0.0)
    gate.note_complete(duration, ALLOWED)
    assert (gate.limit < 4) is lowers


def wait_for_slot(gate, order, name):
    gate.acquire(Clock().now() + 5_000)
    order.append(name)


@pytest.mark.parametrize(
    ("limit", "waiting", "expected"),
    [(3, 3, ["1", "2", "3"]), (1, 4, ["4", "3", "2", "1"])],
)
def test_newest_query_is_admitted_first_once_more_wait_than_run(limit, waiting, expected):
    gate = ServiceGate("urgent", limit, Clock())
    order: list[str] = []
    for _ in range(limit):
        gate.acquire(0.0)
    tasks = [
        gevent.spawn(wait_for_slot, gate, order, str(number)) for number in range(1, waiting + 1)
    ]
    gevent.sleep(0)
    for _ in range(waiting):
        gate.release()
        gevent.sleep(0)
    gevent.joinall(tasks, raise_error=True)
    assert order == expected


def test_raised_limit_admits_all_waiting_queries_that_fit():
    gate = ServiceGate("urgent", 1, Clock())
    order: list[int] = []
    gate.acquire(0.0)
    tasks = [gevent.spawn(wait_for_slot, gate, order, number) for number in range(3)]
    gevent.sleep(0)
    gate.configure("urgent", 4)
    gate.release()
    gevent.joinall(tasks, raise_error=True)
    assert len(order) == 3


def test_query_stops_waiting_when_a_slow_answer_would_miss_the_deadline(admission):
    gate = admission.configure("s", "urgent", 4)
    for number in range(400):
        gate.note_complete(80.0 if number % 5 == 0 else 10.0, ALLOWED)
    assert gate.expected_duration < 40.0
    assert 70.0 < gate.slow_duration < 100.0
    for _ in range(gate.limit):
        gate.acquire(0.0)
    with (
        pytest.raises(Refused, match="limit of 4 running queries"),
        admission.admitted(gate, Clock().now() + 60),
    ):
        pytest.fail("must not wait until only the average duration remains")


def test_one_answer_past_the_deadline_does_not_refuse_all_later_queries():
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
