"""Rolling restarts under load, and entries cut off from control."""

from __future__ import annotations

from random import Random

import gevent

from fulmarhold.callers.caller import Caller
from fulmarhold.fleet.processes import await_condition
from fulmarhold.operators.commands.configurations import accept_configuration, drain_entry
from fulmarhold.operators.control import read_query
from fulmarhold.tests.load import SearchLoad

CONFIGURATION_BOUND_MS = 4_000.0


def test_a_rolling_restart_of_the_whole_fleet_cuts_no_request(fleet):
    load = SearchLoad(fleet, callers=6, pinned=False)
    gevent.sleep(0.5)
    for process in [*fleet.entries, *fleet.control]:
        process.terminate()
        assert process.await_exit() == 0
        process.start()
        process.await_answer(status=200)
        fleet.await_ready()
    documents = load.stop()
    assert len(documents) > 500
    assert load.connection_errors == []
    assert [item for item in documents if item["outcome"] != "answered"] == []
    assert [item for item in documents if item["coverage"]["missing"]] == []


def test_a_leaving_entry_is_no_longer_named_and_still_serves(fleet):
    leaving = fleet.entries[0]
    drain_entry(leaving.endpoint)
    await_condition(
        lambda: all(
            leaving.endpoint not in fleet.instances(entry.endpoint) for entry in fleet.entries
        ),
        "every entry to leave it out",
        2_000.0,
    )
    caller = Caller(fleet.entry_endpoints, "a", Random(1))
    answer = caller.send("lookup", "search", deadline=400.0, entry=leaving.endpoint)
    assert answer.outcome == "answered"


def ask(fleet, entry):
    caller = Caller(fleet.entry_endpoints, "a", Random(1))
    try:
        return caller.send("lookup", "search", deadline=400.0, entry=entry.endpoint).document
    finally:
        caller.close()


def revisions(fleet):
    entries = read_query(fleet.operator_endpoints, "status")["entries"]
    return {entry["name"]: entry["version"] for entry in entries}


def test_losing_control_altogether_does_not_stop_entries_that_agree(fleet):
    for process in fleet.control:
        process.kill()
    gevent.sleep(CONFIGURATION_BOUND_MS / 1_000 + 1)
    for entry in fleet.entries:
        assert ask(fleet, entry)["outcome"] == "answered"


def test_a_minority_cut_off_from_everyone_stops_within_the_bound(fleet):
    for process in [*fleet.control, *fleet.entries[1:]]:
        process.freeze()
    gevent.sleep(CONFIGURATION_BOUND_MS / 1_000)
    document = ask(fleet, fleet.entries[0])
    for process in [*fleet.control, *fleet.entries[1:]]:
        process.thaw()
    assert (document["outcome"], document["reason"]) == ("not_run", "configuration_unconfirmed")


def test_an_entry_restarted_while_cut_off_from_control_serves_nothing(fleet):
    for process in fleet.control:
        process.kill()
    entry = fleet.entries[0]
    entry.kill()
    entry.start()
    entry.await_answer()
    gevent.sleep(2.0)
    document = ask(fleet, entry)
    assert (document["outcome"], document["reason"]) == ("not_run", "configuration_unknown")
    for process in fleet.control:
        process.start()
    entry.await_answer(status=200)


def test_an_accepted_change_is_in_force_everywhere_and_status_shows_it(fleet):
    acceptance = accept_configuration(fleet.operator_endpoints, fleet.configuration, 1, "anna")
    assert (acceptance.revision, acceptance.is_in_force) == (2, True)
    status = read_query(fleet.operator_endpoints, "status")
    assert set(revisions(fleet).values()) == {status["version"]}


def test_with_one_entry_frozen_a_change_is_in_force_only_after_its_lease(fleet):
    frozen = fleet.entries[0]
    frozen.freeze()
    acceptance = accept_configuration(fleet.operator_endpoints, fleet.configuration, 1, "anna")
    assert acceptance.is_in_force
    assert acceptance.waiting_for == (frozen.name,)
    frozen.thaw()
    document = ask(fleet, frozen)
    served = document["outcome"] == "answered"
    assert not served or revisions(fleet)[frozen.name] == max(revisions(fleet).values())


def test_with_the_majority_of_entries_frozen_a_change_is_not_said_to_be_in_force(fleet):
    for entry in fleet.entries[1:]:
        entry.freeze()
    acceptance = accept_configuration(fleet.operator_endpoints, fleet.configuration, 1, "anna")
    for entry in fleet.entries[1:]:
        entry.thaw()
    assert not acceptance.is_in_force
    await_condition(
        lambda: len(set(revisions(fleet).values())) == 1, "every entry to follow", 4_000.0
    )
