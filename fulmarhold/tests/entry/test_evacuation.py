"""Evacuation of a data centre on the project's own interface, ordered on the command line."""

from __future__ import annotations

import subprocess
import sys

import gevent
import pytest

from fulmarhold.clock import ManualClock
from fulmarhold.control.messages import RosterEntry
from fulmarhold.fleet.fleet import read_metrics
from fulmarhold.fleet.processes import await_condition
from fulmarhold.membership.announced import AnnouncedSet
from fulmarhold.membership.directory import Directory
from fulmarhold.membership.evacuation import Evacuations
from fulmarhold.membership.records import Announcement, PeerReply, UpstreamRecord, located_reply
from fulmarhold.membership.running import RunningState
from fulmarhold.observe.counters import Counters
from fulmarhold.routing.table import RoutingTable
from fulmarhold.tests.load import SearchLoad
from fulmarhold.tests.membership.test_version_model import DOCUMENT
from fulmarhold.wire.messages import from_values, to_values

LEASE_MS = 1_000.0
BOUND_MS = 3_000.0
OWN = RosterEntry("e", "a", "e:1", "e:2")


def record(address):
    return UpstreamRecord("lookup", 0, "l", 4, (1,), address, 5, 1, 4, 10, "serving")


@pytest.mark.parametrize("is_relayed", [False, True])
def test_upstreams_that_named_an_evacuated_data_centre_are_left_out(is_relayed):
    clock, counters = ManualClock(), Counters()
    announced = AnnouncedSet(clock, counters)
    directory, running = Directory(announced, clock), RunningState("e", clock)
    table = RoutingTable(directory, running, clock, counters)
    running.apply(1, 1, DOCUMENT, (OWN,))
    places = {"10.0.0.1:80": "a", "10.0.0.2:80": "b", "10.0.0.3:80": ""}
    if is_relayed:
        reply = PeerReply("s", 1, tuple(map(record, places)), "serving", 1)
        told = from_values(to_values(located_reply(reply, {k: v for k, v in places.items() if v})))
        directory.apply_reply("peer", told, clock.now(), LEASE_MS)
    else:
        for address, place in places.items():
            announcement = Announcement(record(address), announced.issue_token(), place)
            assert announced.apply(announcement, LEASE_MS)
    for evacuations, expected in [
        (Evacuations(), {1, 2, 3}),
        (Evacuations(1, ("a",)), {2, 3}),
        (Evacuations(2, ("a", "b")), {3}),
        (Evacuations(1, ()), {3}),
        (Evacuations(3, ()), {1, 2, 3}),
    ]:
        running.apply_evacuations(evacuations)
        table.maintain()
        held = {item.pool.address for item in table.replicas}
        assert held == {f"10.0.0.{number}:80" for number in expected}


def run(fleet, *arguments):
    controls = [part for endpoint in fleet.operator_endpoints for part in ("--control", endpoint)]
    return subprocess.run(
        [sys.executable, "-m", "fulmarhold", *arguments, *controls],
        capture_output=True,
        text=True,
        check=False,
    )


def last_run_at(fleet, standin):
    report = fleet.report()
    return [report[address]["last_run_at"] for address in fleet._hosted_addresses[standin.name]]


def missing_shards(document):
    return {item["shard"] for item in document["coverage"]["missing"]}


def test_orders_on_the_command_line_bind_all_entries_also_those_that_start(make_fleet):
    fleet = make_fleet(plan={"standin_processes": 3})
    fleet.start()
    load = SearchLoad(fleet, pause=5.0)
    gevent.sleep(0.5)
    ordered = run(fleet, "evacuate", "a")
    assert (ordered.returncode, ordered.stdout) == (0, "evacuated: a\n")
    gevent.sleep(BOUND_MS / 1_000)
    before = last_run_at(fleet, fleet.standins[0])
    load.documents.clear()
    gevent.sleep(0.5)
    documents = list(load.documents)
    assert len(documents) > 20 and not any(map(missing_shards, documents))
    entry = fleet.entries[0]
    entry.kill()
    entry.start()
    entry.await_answer(status=200)
    gevent.sleep(1.0)
    load.stop()
    assert last_run_at(fleet, fleet.standins[0]) == before
    assert read_metrics(entry.endpoint)["fulmarhold_entry_evacuated_data_centres"] == 1

    # Shards 0 and 3 have their last replicas in `b`.
    assert run(fleet, "evacuate", "b").stdout == "evacuated: a, b\n"
    assert run(fleet, "evacuations").stdout == "evacuated: a, b\n"
    gevent.sleep(BOUND_MS / 1_000)
    load = SearchLoad(fleet, pause=5.0)
    gevent.sleep(0.5)
    documents = load.stop()
    assert documents and all(missing_shards(item) == {0, 3} for item in documents)

    assert run(fleet, "restore", "a").stdout == "evacuated: b\n"
    assert run(fleet, "restore", "b").stdout == "evacuated: none\n"
    await_condition(
        lambda: all(
            read_metrics(item.endpoint).get("fulmarhold_entry_upstreams") == 8
            for item in fleet.entries
        ),
        "the upstreams to be used again",
        BOUND_MS,
    )
    refused = run(fleet, "evacuate", "no name")
    assert refused.returncode == 1 and "1 to 64 letters" in refused.stderr
    assert "Traceback" not in refused.stderr
