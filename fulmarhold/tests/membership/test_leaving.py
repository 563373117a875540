"""Tests of how long upstreams that drain, go silent or restart receive work."""

from __future__ import annotations

import time

import gevent

from fulmarhold.fleet.processes import await_condition
from fulmarhold.tests.load import SearchLoad

LEAVING_BOUND_MS = 3_000.0
OBSERVED_MS = 5_000.0


def measure_last_work(fleet, address, change):
    """Apply `change` under load; return how long the upstream got work after it, in ms."""
    load = SearchLoad(fleet, pause=5.0)
    gevent.sleep(0.5)
    left_at = time.time() * 1_000
    change()
    gevent.sleep(OBSERVED_MS / 1_000)
    outcomes = load.stop()
    report = fleet.report()[address]
    return report["last_run_at"] - left_at, outcomes


def test_an_announced_drain_ends_new_work_within_the_bound_and_costs_no_coverage(fleet):
    address = fleet.upstreams["lookup"][0]
    late, outcomes = measure_last_work(
        fleet, address, lambda: fleet.command("announce", [address], state="draining")
    )
    assert late < LEAVING_BOUND_MS
    assert all(document["outcome"] == "answered" for document in outcomes)
    assert all(not document["coverage"]["missing"] for document in outcomes)


def test_a_drain_whose_announcement_is_lost_ends_new_work_by_silence(fleet):
    address = fleet.upstreams["lookup"][0]
    late, outcomes = measure_last_work(
        fleet, address, lambda: fleet.command("behave", [address], announces=False)
    )
    assert 0 < late < LEAVING_BOUND_MS
    assert all(not document["coverage"]["missing"] for document in outcomes)


def test_an_entry_cut_off_from_the_others_stops_as_well(fleet):
    address = fleet.upstreams["lookup"][0]

    def cut_and_drain():
        for entry in fleet.entries[1:]:
            entry.freeze()
        fleet.command("behave", [address], announces=False)

    load = SearchLoad(fleet, pause=5.0)
    gevent.sleep(0.5)
    left_at = time.time() * 1_000
    cut_and_drain()
    gevent.sleep(OBSERVED_MS / 1_000)
    late = fleet.report()[address]["last_run_at"] - left_at
    for entry in fleet.entries[1:]:
        entry.thaw()
    load.stop()
    assert late < LEAVING_BOUND_MS


def test_an_entry_frozen_over_the_bound_sends_nothing_on_old_leases(fleet):
    address = fleet.upstreams["lookup"][0]
    frozen = fleet.entries[0]
    load = SearchLoad(fleet, pause=5.0)
    gevent.sleep(0.5)
    frozen.freeze()
    left_at = time.time() * 1_000
    fleet.command("behave", [address], announces=False)
    gevent.sleep(OBSERVED_MS / 1_000)
    frozen.thaw()
    gevent.sleep(1.0)
    load.stop()
    assert fleet.report()[address]["last_run_at"] - left_at < LEAVING_BOUND_MS


def test_a_silently_dead_upstream_is_skipped_and_returns_as_a_new_incarnation(fleet):
    address = fleet.upstreams["lookup"][0]
    fleet.command("stop", [address])
    gevent.sleep(LEAVING_BOUND_MS / 1_000)
    load = SearchLoad(fleet, pause=5.0)
    gevent.sleep(0.5)
    assert all(not document["coverage"]["missing"] for document in load.stop())
    before = fleet.report()[address]["runs"]
    fleet.command("restart", [address])
    load = SearchLoad(fleet, pause=5.0)
    await_condition(
        lambda: fleet.report()[address]["runs"] != before, "the upstream to get work", 6_000.0
    )
    load.stop()


def test_an_old_incarnation_is_not_revived(fleet):
    address = fleet.upstreams["lookup"][0]
    fleet.command("announce", [address], incarnation=50)
    gevent.sleep(1.0)
    fleet.command("announce", [address], state="draining")
    gevent.sleep(1.0)
    before = fleet.report()[address]["runs"]
    fleet.command("announce", [address], incarnation=1, state="serving")
    load = SearchLoad(fleet, pause=5.0)
    gevent.sleep(2.0)
    load.stop()
    after = fleet.report()[address]["runs"]
    assert after.get("/run/lookup/search", 0) == before.get("/run/lookup/search", 0)


def test_a_lost_shard_counts_as_missing(fleet):
    lost = [item for number, item in enumerate(fleet.upstreams["lookup"]) if number % 4 == 1]
    fleet.command("stop", lost)
    gevent.sleep(LEAVING_BOUND_MS / 1_000)
    load = SearchLoad(fleet, pause=5.0)
    gevent.sleep(0.3)
    for document in load.stop():
        assert document["coverage"]["total"] == 4
        assert [item["shard"] for item in document["coverage"]["missing"]] == [1]
