"""Load: greedy entries that start, stop, are suspended or cut off share one cold upstream."""

from __future__ import annotations

from bisect import bisect_left, bisect_right
from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from fulmarhold.limits.cold import (
    CONTACT_TIME,
    VIEW_HOLD,
    WINDOW,
    ColdGate,
    EntryShares,
    WarmUpBound,
    own_part,
)

BOUND = WarmUpBound()
SILENCE = 1_500.0
STEP = 20.0
FEED_PERIOD = 400.0
HOUR = 3_600_000.0


class Entry:
    """An entry that sends whenever it may, and asks control for the set of entries."""

    def __init__(self, name, rate, now):
        self.name, self.rate = name, rate
        self.cut_until = self.suspended_until = 0.0
        self.start(now)

    def start(self, now):
        self.shares = EntryShares(self.name)
        self.gate = ColdGate(self.shares, "u", BOUND, self.rate)
        self.gate.note_cold(HOUR, now)
        self.asks_at, self.starts_at = now, now

    def work(self, now, control, random, arrivals):
        if now < max(self.starts_at, self.suspended_until):
            return
        while self.gate.has_room(now):
            self.gate.note_sent(now)
            arrivals.append(now + random.uniform(0.0, 200.0))
        if now >= self.asks_at and now >= self.cut_until:
            self.asks_at = now + FEED_PERIOD
            names, told_at = control.watch(self.name, now, random)
            self.shares.note_contact(told_at, now)
            self.shares.update(names, now)


class Control:
    """Tells entries who is active; what one of its instances tells may be up to 300 ms old."""

    def __init__(self):
        self.heard: dict = {}
        self.history: list = [(0.0, frozenset())]

    def watch(self, name, now, random):
        self.heard[name] = now
        self.expire(now)
        told_at = now - random.uniform(0.0, 300.0)
        return (
            next(names for at, names in reversed(self.history) if at <= max(0.0, told_at)),
            told_at,
        )

    def expire(self, now):
        names = frozenset(name for name, at in self.heard.items() if now - at <= SILENCE)
        if names != self.history[-1][1]:
            self.history.append((now, names))


def run(entries, rate, events, seed, seconds=12):
    """Return when requests reach the upstream; `events` are (time, kind, first entry, duration)."""
    random, control = Random(seed), Control()
    arrivals: list = []
    fleet = [Entry(f"e{number}", rate, random.uniform(0.0, 400.0)) for number in range(entries)]
    due = sorted(events)
    for tick in range(int(seconds * 1e3 / STEP)):
        now = tick * STEP
        while due and due[0][0] <= now:
            _, kind, first, count, lasts = due.pop(0)
            for entry in [fleet[(first + item) % entries] for item in range(count)]:
                if kind == "cut":
                    entry.cut_until = now + lasts
                elif kind == "suspended":
                    entry.suspended_until = now + lasts
                else:
                    entry.start(now + lasts)
        control.expire(now)
        for entry in fleet:
            entry.work(now, control, random, arrivals)
    return sorted(arrivals)


def most_in_a_second(arrivals):
    return max(
        (bisect_right(arrivals, at) - bisect_left(arrivals, at - 1_000.0) for at in arrivals),
        default=0,
    )


@settings(deadline=None, max_examples=60, derandomize=True)
@given(
    entries=st.integers(1, 40),
    rate=st.sampled_from([0.5, 3.0, 20.0, 100.0]),
    events=st.lists(
        st.tuples(
            st.floats(0.0, 11_000.0),
            st.sampled_from(["cut", "suspended", "restarted"]),
            st.integers(0, 39),
            st.integers(1, 20),
            st.floats(100.0, 5_000.0),
        ),
        max_size=8,
    ),
    seed=st.integers(0, 1_000),
)
def test_the_sum_over_all_entries_stays_within_the_bound_in_every_second(
    entries, rate, events, seed
):
    assert most_in_a_second(run(entries, rate, events, seed)) <= BOUND.total(rate)


@pytest.mark.parametrize(("entries", "rate"), [(1, 20.0), (16, 20.0), (62, 3.0), (100, 100.0)])
def test_steady_entries_use_what_the_upstream_bears(entries, rate):
    assert len(run(entries, rate, [], 1)) >= 0.9 * rate * (12 - 3)


def test_rolling_restarts_leave_most_of_the_bound_to_the_others():
    """Load: three of sixteen entries restart at a time, every 1.4 s."""
    events = [(1_400.0 * item, "restarted", 3 * item, 3, 300.0) for item in range(2, 9)]
    arrivals = run(16, 20.0, events, 5)
    assert most_in_a_second(arrivals) <= BOUND.total(20.0)
    assert len(arrivals) > 0.4 * 20.0 * 9


def gate_of(names, rate=20.0, now=0.0):
    shares = EntryShares("a")
    shares.update(names, now)
    return ColdGate(shares, "u", BOUND, rate)


def keep_contact(gate, since, until):
    for moment in range(int(since), int(until) + 1, 400):
        gate._shares.note_contact(float(moment), float(moment))


def test_an_entry_sends_nothing_without_contact_or_without_knowing_the_entries():
    ready_at = 2 * VIEW_HOLD
    for names, contact_at, expected in (
        ({"a"}, ready_at, True),
        ((), ready_at, False),
        ({"b"}, ready_at, False),
        ({"a"}, ready_at - CONTACT_TIME - 100, False),
    ):
        gate = gate_of(names)
        gate.note_cold(HOUR, 0.0)
        keep_contact(gate, 0.0, contact_at)
        assert gate.has_room(ready_at) is expected, (names, contact_at)


def test_without_a_bound_or_after_the_warm_up_nothing_is_held_back():
    unbounded, warm = gate_of((), rate=0.0), gate_of(())
    unbounded.note_cold(HOUR, 0.0)
    warm.note_cold(500.0, 0.0)
    assert unbounded.has_room(1.0) and warm.has_room(500.0) and not warm.has_room(499.0)


def test_an_upstream_that_turns_cold_again_is_left_alone_for_a_window():
    gate, now = gate_of({"a"}), 2 * VIEW_HOLD
    keep_contact(gate, 0.0, now + WINDOW)
    gate.note_sent(now)
    gate.note_cold(HOUR, now + 10.0)
    assert not gate.has_room(now + WINDOW - 1)
    assert gate.has_room(now + WINDOW)


def test_the_next_request_has_room_when_the_first_one_leaves_the_window():
    gate, now = gate_of({"a"}, rate=0.0), 2 * VIEW_HOLD
    gate.resize(BOUND, 1.0)
    keep_contact(gate, 0.0, now + WINDOW)
    gate.note_cold(HOUR, 0.0)
    assert gate.room_at(1.0) == HOUR and gate.part(now) == 5
    while gate.has_room(now):
        assert gate.room_at(now) == now
        gate.note_sent(now)
        now += 10.0
    room_at = gate.room_at(now)
    assert room_at == 2 * VIEW_HOLD + WINDOW and not gate.has_room(room_at - 1)
    assert gate.has_room(room_at)


def test_a_change_of_one_entry_moves_few_requests_of_a_small_bound():
    """Load: 62 entries share 8 requests; the parts of two sets of entries are used for a moment."""
    names = {f"e{number}" for number in range(62)}
    moved = sum(
        own_part(f"u{upstream}", name, names, 8)
        != own_part(f"u{upstream}", name, names - {"e0"}, 8)
        for upstream in range(100)
        for name in names - {"e0"}
    )
    assert moved < 30
