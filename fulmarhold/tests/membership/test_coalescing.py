"""Guards against work that grows with the square of the fleet when all its instances start.

Load pattern: an entry is told of 190 other entries within a second, each twice.
"""

from __future__ import annotations

from fulmarhold.clock import ManualClock
from fulmarhold.membership.coalescing import CoalescedUpdate

INTERVAL = 50.0
MAINTENANCE_PERIOD = 100.0
CHANGES = 380


def test_many_changes_within_a_second_are_applied_a_few_times_and_the_last_one_too():
    clock, known = ManualClock(), 0
    seen: list[int] = []
    update = CoalescedUpdate(lambda: seen.append(known), INTERVAL, clock)
    next_maintenance = MAINTENANCE_PERIOD
    for number in range(CHANGES):
        clock.advance(1_000.0 / CHANGES)
        if clock.now() >= next_maintenance:
            update.run_pending()
            next_maintenance += MAINTENANCE_PERIOD
        known = number + 1
        update.request()
    clock.advance(MAINTENANCE_PERIOD)
    update.run_pending()
    assert len(seen) <= 1_000.0 / INTERVAL + 2
    assert seen[-1] == CHANGES


def test_a_single_change_is_applied_at_once():
    clock = ManualClock()
    runs: list[float] = []
    update = CoalescedUpdate(lambda: runs.append(clock.now()), INTERVAL, clock)
    for moment in (0.0, 60.0, 300.0):
        clock.advance(moment - clock.now())
        update.request()
    assert runs == [0.0, 60.0, 300.0]


def test_an_expedited_change_does_not_wait():
    clock = ManualClock()
    runs: list[float] = []
    update = CoalescedUpdate(lambda: runs.append(clock.now()), INTERVAL, clock)
    update.request()
    update.expedite()
    update.request()
    assert runs == [0.0, 0.0]
