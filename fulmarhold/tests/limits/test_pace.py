"""Loads: upstreams that start, recover and slow down, noise, pauses, and entries that all probe."""

from __future__ import annotations

from math import exp

import pytest

from fulmarhold.limits.pace import MIN_SHARE, Pace, PaceReason
from fulmarhold.tests.limits.paced_fleet import SERVICE, SLOTS, PacedFleet

CAPACITY = SLOTS * 1e3 / SERVICE


def cold_cache(upstream, now):
    return SERVICE * (1 + 3 * exp(-now / 2_000) * (upstream == 0))


def noise(upstream, now):
    return SERVICE * (2.5 if upstream == 0 and now % 3_600 < 600 else 1.0)


@pytest.mark.parametrize("entries", [1, 5, 16, 100])
def test_cold_cache_is_neither_overloaded_nor_left_idle(entries):
    fleet = PacedFleet(entries, 3, cold_cache, paced=[0]).run(1.5 * CAPACITY, 10)
    assert not fleet.refused and fleet.longest_queue < 10
    assert fleet.share(0) > 0.95
    # A third of the load once it is warm.
    assert fleet.served_since(8_000, upstream=0) > 0.8 * CAPACITY


@pytest.mark.parametrize("entries", [1, 5, 16, 100])
def test_after_the_loss_of_all_replicas_work_flows_again_without_an_overload(entries):
    """Load: the usual load of four fifths of the capacity meets replicas that have all started."""
    fleet = PacedFleet(entries, 3, paced=[0, 1, 2]).run(2.4 * CAPACITY, 10)
    assert fleet.served_since(0) > 0.8 * 2.4 * CAPACITY * 10
    assert fleet.served_since(5_000) > 0.95 * 2.4 * CAPACITY * 5
    assert fleet.longest_queue <= 12
    assert all(at < 5_000 for at in fleet.refused)


def test_entries_that_probe_at_once_stay_within_the_slots():
    """Load: 100 entries that could send three times what the started upstream bears."""
    fleet = PacedFleet(100, 1, paced=[0]).run(3 * CAPACITY, 1)
    assert fleet.longest_queue <= 3 and fleet.refused


@pytest.mark.parametrize("entries", [1, 16])
@pytest.mark.parametrize("factor", [0.5, 2.0], ids=["faster", "slower"])
def test_faster_and_slower_neighbours_reach_full_pace(entries, factor):
    fleet = PacedFleet(entries, 3, lambda item, _: SERVICE * factor**item, paced=[1])
    fleet.run(CAPACITY, 10)
    assert fleet.share(1) > 0.95 and fleet.served_since(0, 1) > CAPACITY


@pytest.mark.parametrize("paced", [(), (0,)], ids=["full pace", "started"])
@pytest.mark.parametrize("entries", [1, 16, 100])
def test_noise_does_not_hold_an_upstream_back(entries, paced):
    fleet = PacedFleet(entries, 3, noise, paced=paced).run(1.5 * CAPACITY, 20)
    assert not fleet.refused and fleet.share(0) > (0.99 if not paced else 0.85)
    assert fleet.served_since(10_000, 0) > 0.35 * CAPACITY * 10


def test_a_healthy_fleet_is_never_limited():
    fleet = PacedFleet(16, 3).run(2.4 * CAPACITY, 20)
    assert all(pace.is_full for paces in fleet.paces for pace in paces)


@pytest.mark.parametrize("pause", [100.0, 250.0])
def test_pauses_do_not_limit_an_upstream(pause):
    """Load: 40 requests a second to an upstream that stops for a moment every 2.4 s."""
    pace = Pace(SLOTS)
    for sent_at in range(0, 60_000, 25):
        left = max(0.0, pause - sent_at % 2_400)
        pace.note_success(SERVICE + left, SERVICE, sent_at + SERVICE + left)
        assert pace.is_full


def test_an_upstream_that_stays_slow_is_used_less_and_then_by_its_new_latency():
    fleet = PacedFleet(5, 3, lambda item, now: SERVICE * (3 if item == 0 and now > 2_000 else 1))
    fleet.run(2 * CAPACITY, 4)
    assert fleet.share(0) < 0.8 and not fleet.paces[0][0].is_held_back
    fleet.run(1.5 * CAPACITY, 30)
    assert fleet.share(0) > 0.9


@pytest.mark.parametrize("entries", [1, 16, 100])
def test_fast_errors_do_not_look_good(entries):
    fleet = PacedFleet(entries, 3, errors=[0], paced=[0]).run(1.5 * CAPACITY, 10)
    assert fleet.share(0) < 0.3
    assert fleet.served_since(0) > 0.8 * 1.5 * CAPACITY * 10


def test_refusals_lower_the_pace_to_a_floor_from_which_it_recovers():
    pace, now = Pace(SLOTS), 0.0
    pace.restart(PaceReason.RECOVERED, SERVICE, now)
    for _ in range(60):
        now = pace.room_at(now)
        pace.note_sent(now)
        pace.note_failure(now + 1.0, 1.0)
    assert pace.share == MIN_SHARE
    recovering_since = now
    while not pace.is_full:
        now = pace.room_at(now) + 1.0
        pace.note_sent(now)
        pace.note_success(SERVICE, SERVICE, now + SERVICE)
    assert now - recovering_since < 15_000


def test_pace_is_kept_while_there_is_no_traffic():
    pace = Pace(SLOTS, entries=16)
    pace.restart(PaceReason.STARTED, SERVICE, 0.0)
    assert pace.share == 0.5 and not pace.is_full
    pace.note_sent(10_000.0)
    assert pace.room_at(10_001.0) > 10_001.0 and pace.share == 0.5
