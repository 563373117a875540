"""Control processes under kills, freezes, lost disks, racing operators and many changes."""

from __future__ import annotations

import shutil
from pathlib import Path

import gevent
import pytest

from fulmarhold.control.identifiers import new_identifier
from fulmarhold.errors import FulmarholdError
from fulmarhold.fleet.processes import await_condition
from fulmarhold.operators.commands.clusters import admit_instance, form_cluster, remove_instance
from fulmarhold.operators.commands.configurations import SupersededError, accept_configuration
from fulmarhold.operators.control import read_instance, read_query

ELECTION_TIMEOUT = 8_000.0
RESTART_BOUND = 5_000.0
CHANGES = 500
FILES_BOUND_BYTES = 8 * 1024 * 1024


@pytest.fixture
def fleet(make_fleet):
    """A fleet of control processes only, which have formed a cluster."""
    fleet = make_fleet()
    for process in fleet.control:
        process.start()
    for process in fleet.control:
        process.await_answer()
    form_cluster(fleet.operator_endpoints)
    read_query(fleet.operator_endpoints, "status")
    return fleet


def endpoints(fleet):
    return [process.endpoint for process in fleet.control if process.is_running]


def leader(fleet):
    """Return the leading process and a list of the others."""
    status = read_query(endpoints(fleet), "status")
    for process in fleet.control:
        if process.name == status["name"]:
            return process, [item for item in fleet.control if item is not process]
    raise AssertionError("the leader is not one of the fleet's processes")


def accept(fleet, base, operator="anna", command_id="", where=None):
    return accept_configuration(
        where or endpoints(fleet), fleet.configuration, base, operator, command_id
    ).revision


def revision(fleet):
    return read_query(endpoints(fleet), "configuration")["revision"]


def await_applied(process, expected):
    await_condition(
        lambda: read_instance(process.endpoint, "status")["revision"] == expected,
        f"{process.name} to apply revision {expected}",
        ELECTION_TIMEOUT,
    )


def test_a_killed_leader_loses_no_revision_and_a_resent_command_gets_the_first_outcome(fleet):
    command = new_identifier()
    assert accept(fleet, 0, command_id=command) == 1
    first, _ = leader(fleet)
    first.kill()
    assert accept(fleet, 0, command_id=command) == 1
    assert accept(fleet, 1) == 2
    first.start()
    first.await_answer()
    await_applied(first, 2)
    assert accept(fleet, 0, command_id=command) == 1
    assert revision(fleet) == 2


def test_a_leader_killed_during_commands_leaves_exactly_one_outcome_for_each(fleet):
    outcomes = {}

    def submit(number):
        command = new_identifier()
        for base in range(100):
            try:
                outcomes[number] = accept(fleet, base, f"op-{number}", command)
                return
            except SupersededError:
                command = new_identifier()

    tasks = [gevent.spawn(submit, number) for number in range(6)]
    gevent.sleep(0.03)
    killed, _ = leader(fleet)
    killed.kill()
    gevent.joinall(tasks, raise_error=True)
    assert sorted(outcomes.values()) == [1, 2, 3, 4, 5, 6]
    assert revision(fleet) == 6


def test_a_leader_resumed_after_a_freeze_neither_serves_stale_reads_nor_accepts_commands(fleet):
    accept(fleet, 0)
    frozen, others = leader(fleet)
    command = new_identifier()
    frozen.freeze()
    stuck = gevent.spawn(accept, fleet, 1, "late", command, [frozen.endpoint])
    where = [process.endpoint for process in others]
    await_condition(
        lambda: read_query(where, "status")["name"] != frozen.name, "a leader", ELECTION_TIMEOUT
    )
    assert accept(fleet, 1, "bert", where=where) == 2
    frozen.thaw()
    reads = [read_instance(frozen.endpoint, "configuration") for _ in range(50)]
    assert all(read["stale"] or read["revision"] == 2 for read in reads)
    gevent.wait([stuck], timeout=0.1)
    stuck.kill()
    with pytest.raises(SupersededError, match="bert"):
        accept(fleet, 1, "late", command)
    assert revision(fleet) == 2


def test_a_voter_frozen_for_long_catches_up_and_causes_no_election(fleet):
    _, others = leader(fleet)
    silent = others[0]
    silent.freeze()
    for base in range(60):
        accept(fleet, base, where=[p.endpoint for p in fleet.control if p is not silent])
    gevent.sleep(3)
    term = read_query([p.endpoint for p in fleet.control if p is not silent], "status")["term"]
    silent.thaw()
    await_applied(silent, 60)
    assert read_query(endpoints(fleet), "status")["term"] == term


def test_only_one_of_two_racing_operators_succeeds_and_the_other_learns_who_did(fleet):
    def submit(operator):
        try:
            return accept(fleet, 0, operator)
        except SupersededError as error:
            return str(error)

    tasks = [gevent.spawn(submit, name) for name in ("anna", "bert")]
    values = [task.get() for task in tasks]
    assert values.count(1) == 1
    winner = ("anna", "bert")[values.index(1)]
    assert winner in next(value for value in values if value != 1)


def test_a_voter_with_a_replaced_disk_preserves_the_state_when_a_second_disk_is_lost(fleet):
    for base in range(3):
        accept(fleet, base)
    _, others = leader(fleet)
    replaced, second = others
    old_identity = read_instance(replaced.endpoint, "identity")["identity"]
    replaced.kill()
    shutil.rmtree(Path(replaced.settings["data_folder"]))
    replaced.start()
    replaced.await_answer()
    status = read_instance(replaced.endpoint, "identity")
    assert status["identity"] != old_identity
    assert not status[
        "cluster"
    ], "an instance with a new disk must not be in the cluster before it is admitted"
    remove_instance(endpoints(fleet), old_identity)
    identity = admit_instance(endpoints(fleet), replaced.endpoint)
    await_condition(
        lambda: identity in read_query(endpoints(fleet), "status")["voters"],
        "the new voter",
        ELECTION_TIMEOUT,
    )
    second.kill()
    shutil.rmtree(Path(second.settings["data_folder"]))
    assert revision(fleet) == 3
    assert accept(fleet, 3) == 4
    await_applied(replaced, 4)


def test_an_instance_with_an_empty_disk_does_not_vote_in_an_election(fleet):
    accept(fleet, 0)
    first, others = leader(fleet)
    for process in others:
        process.kill()
    emptied = others[0]
    shutil.rmtree(Path(emptied.settings["data_folder"]))
    emptied.start()
    emptied.await_answer()
    gevent.sleep(3)
    reads = [read_instance(p.endpoint, "configuration") for p in (first, emptied)]
    assert all(read["stale"] for read in reads)
    others[1].start()
    others[1].await_answer()
    assert revision(fleet) == 1


def test_after_many_changes_a_full_restart_takes_bounded_time_and_disk_space(fleet):
    first_command = new_identifier()
    accept(fleet, 0, command_id=first_command)
    for base in range(1, CHANGES):
        accept(fleet, base)
    for process in fleet.control:
        process.kill()
    for process in fleet.control:
        process.start()
    for process in fleet.control:
        process.await_answer()
    await_condition(
        lambda: read_query(endpoints(fleet), "configuration")["revision"] == CHANGES,
        "the accepted revision",
        RESTART_BOUND,
    )
    assert accept(fleet, 0, command_id=first_command) == 1
    for process in fleet.control:
        folder = Path(process.settings["data_folder"])
        assert sum(path.stat().st_size for path in folder.iterdir()) < FILES_BOUND_BYTES


def test_no_command_is_accepted_without_a_majority(fleet):
    first, others = leader(fleet)
    for process in others:
        process.kill()
    command = new_identifier()
    with pytest.raises(FulmarholdError):
        accept_configuration(
            [first.endpoint], fleet.configuration, 0, "anna", command, timeout=3_000.0
        )
    assert read_instance(first.endpoint, "configuration")["revision"] == 0
    others[0].start()
    others[0].await_answer()
    assert accept(fleet, 0, command_id=command) == 1
    assert revision(fleet) == 1
